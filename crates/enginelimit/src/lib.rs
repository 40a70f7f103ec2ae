//! Rate limits that engines advertise, enforced across the whole fleet.
//!
//! Pure: no I/O, no clock, no randomness. The engines of a service belong to groups, and one
//! node holds each group: only the holder accounts for the requests that the engines of the
//! group get. It grants tokens, one for each request that is sent; all other nodes request
//! tokens from it. Holding a group needs no store: the first node that sees an engine
//! advertise a limit becomes the holder, and a node that finds the holder unresponsive takes
//! the group over in a later term. A new holder starts with empty buckets, so that its grants
//! do not add up with those of its predecessor.
//!
//! ```text
//! answer ─▶ Observation ─▶ holder ── GroupUpdate ──▶ all nodes: holder and limits
//!                            ▲  │
//!            TokenRequest ───┘  └──▶ TokenAnswer: granted, or when to retry
//! ```
//!
//! | module | concern |
//! | --- | --- |
//! | [`group`] | groups of engines, and which of two claimants holds one |
//! | [`observation`] | the limit in an answer, and which of two answers is newer |
//! | [`account`] | the tokens of one engine, at the holder |
//! | [`backoff`] | how many nodes request tokens, and how long each backs off |
//! | [`tokens`] | requesting and granting tokens |
//! | [`node_messages`] | messages that nodes exchange |
//! | [`limits`] | what one node knows of all limits |
//! | [`exchange`] | sending and applying updates |
//! | [`retry_schedule`] | when rejected callers may retry |

pub mod account;
pub mod backoff;
pub mod exchange;
pub mod group;
pub mod limits;
pub mod node_messages;
pub mod observation;
pub mod retry_schedule;
pub mod tokens;
