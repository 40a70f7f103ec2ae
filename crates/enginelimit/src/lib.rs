//! Rate limits that engines advertise, kept by the whole fleet.
//!
//! Pure: no I/O, no clock, no randomness. The engines of a service belong to groups, and one
//! node holds a group: it alone counts what the engines of the group get, and grants tokens,
//! one for each request that goes on the wire. All other nodes ask it. Holding needs no
//! store: whoever hears an engine advertise first holds the group, and whoever finds the
//! holder silent takes the group over in a later term. A holder begins with empty buckets, so
//! what an earlier one granted does not add up.
//!
//! ```text
//! answer ─▶ Observation ─▶ holder ── GroupUpdate ──▶ all nodes: who holds, which limits
//!                            ▲  │
//!            TokenRequest ───┘  └──▶ TokenAnswer: granted, or when to ask again
//! ```
//!
//! | module | concern |
//! | --- | --- |
//! | [`group`] | which engines one node counts for, and which node of two holds |
//! | [`observation`] | what an answer said of a limit, and which of two is the newer |
//! | [`account`] | tokens of one engine, at the holder |
//! | [`backoff`] | how many nodes ask, and how long each backs off |
//! | [`tokens`] | asking for tokens and granting them |
//! | [`node_messages`] | what the nodes tell each other |
//! | [`limits`] | what one node knows of all limits |
//! | [`exchange`] | what it tells, and what it takes in |
//! | [`retry_schedule`] | when callers that were rejected may come back |

pub mod account;
pub mod backoff;
pub mod exchange;
pub mod group;
pub mod limits;
pub mod node_messages;
pub mod observation;
pub mod retry_schedule;
pub mod tokens;
