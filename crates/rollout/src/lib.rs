//! Progressive delivery of an engine's software: moving a service's traffic to
//! engines of another version, and back if that version is bad.
//!
//! The crate contains pure state machines: time, counts and stored documents are
//! arguments; there is no I/O, no clock and no randomness. The gateway stores, reports
//! and enforces their decisions.
//!
//! ```text
//! order + status ──▶ progress ──▶ gate of each node ──▶ software rule of a request
//!                       ▲               │
//!                       │               ▼
//!                    decider ◀── counts in reports ──▶ fleet sums
//! ```
//!
//! | module | concern |
//! | --- | --- |
//! | [`order`] | the operator's order, and the status that is recorded with it |
//! | [`settings`] | bounds of a rollout |
//! | [`stage`] | stages, epochs, and the stored progress of a rollout |
//! | [`first_byte`] | a coarse histogram of times to the first byte |
//! | [`counts`] | counts that nodes report, and their sums over the fleet |
//! | [`credits`] | how many requests a node may send to the target on its own |
//! | [`share`] | a node's gate: which versions may serve this request |
//! | [`canary_choice`] | which requests and engines the canary uses |
//! | [`own_stop`] | a node stops because of its own answers alone |
//! | [`placement`] | whether a version may be used before all orders are known |
//! | [`detector`] | a sequential test that detects a rise of a rate |
//! | [`evidence`] | comparison of the target with the established engines, by route |
//! | `baseline` | tolerated rates, from the established engines' answers |
//! | `finding` | evidence against a version |
//! | [`excess`] | a stop without a test when many answers are bad |
//! | [`acceptance`] | whether a version has enough good answers to be completed |
//! | [`schedule`] | the time of the cut-over, so that the exposure stays within its bound |
//! | [`decider`] | the lease holder's state machine |
//! | `transition_context` | the context of one decision |
//! | `present_rollout` | the decider's state for the current rollout, and its transitions |
//! | `supply` | available engines and known versions of the service |

pub mod acceptance;
mod baseline;
pub mod canary_choice;
pub mod counts;
pub mod credits;
pub mod decider;
mod decision;
pub mod detector;
pub mod evidence;
pub mod excess;
mod finding;
pub mod first_byte;
mod gate_terms;
pub mod order;
pub mod own_stop;
pub mod placement;
mod present_rollout;
pub mod schedule;
pub mod settings;
pub mod share;
pub mod stage;
mod supply;
mod transition_context;
