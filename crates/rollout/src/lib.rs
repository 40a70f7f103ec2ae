//! Progressive delivery of an engine's software: moving a service's traffic to
//! engines of another version, and back when that version is bad.
//!
//! Pure state machines: time, counts and stored documents are arguments; no I/O, no
//! clock, no randomness. The gateway stores, reports and enforces what they decide.
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
//! | [`order`] | what the operator orders, and the state that is recorded with it |
//! | [`settings`] | bounds that a rollout keeps |
//! | [`stage`] | stages, epochs, and what a successor of the decider needs |
//! | [`first_byte`] | a coarse histogram of times to the first byte |
//! | [`counts`] | what nodes count and report, and sums over the fleet |
//! | [`credits`] | how many requests a node may send to the target by itself |
//! | [`share`] | a node's gate: which versions may serve this request |
//! | [`canary_choice`] | which of its requests those are, and at which engines |
//! | [`own_stop`] | a node stops by what it sees alone |
//! | [`placement`] | engines of a version that can't be placed yet |
//! | [`detector`] | a sequential test that finds a change |
//! | [`evidence`] | target against established engines, by route |
//! | `baseline` | what of the target's answers is borne by the established engines' |
//! | `finding` | what speaks against a version |
//! | [`excess`] | many bad answers: a stop without a test |
//! | [`acceptance`] | whether it has answered well enough to be completed |
//! | [`schedule`] | when to cut over so that the exposure stays within its bound |
//! | [`decider`] | the lease holder's state machine |
//! | `transition_context` | what one decision weighs |
//! | `present_rollout` | where it goes on from each stage, and by what it has learned |
//! | `supply` | engines and versions of the service |

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
