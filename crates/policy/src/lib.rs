//! Pure routing decisions: nothing in this crate reads a clock, a socket or a
//! global random source. Time, randomness and messages are arguments, so the
//! same code runs in a node, in network simulations and in experiments.
//!
//! | module | purpose |
//! | --- | --- |
//! | [`ids`] | newtypes for every identifier and unit |
//! | [`labels`] | labels and selectors |
//! | [`objects`] | operator objects as the object API stores them, and their validation |
//! | [`snapshot`] | the typed, indexed view of all objects that decisions use |
//! | [`decaying_sum`] | recent rates |
//! | [`chain`] | prompts split into hashed blocks |
//! | [`prompt`] | the prompt text that is split into blocks |
//! | [`directory`] | which engine is believed to hold which block |
//! | [`fleet`] | known state of each engine |
//! | [`cost`] | the scoring function, in milliseconds of time to first token |
//! | [`decide`] | candidate filter, engine choice, explanation |
//! | [`decimal`] | parsing of numbers in headers from other parties |
//! | [`admission`] | rate limits and deadline admission |
//! | [`retry`] | the retry budget |
//! | [`attempt`] | the state of one attempt and the run state reported for it |
//! | [`update_broadcast`] | the schedule on which a change is broadcast to other nodes |
//! | [`request`] | the state machine of one request across all its attempts |

pub mod admission;
pub mod attempt;
pub mod chain;
pub mod cost;
pub mod decaying_sum;
pub mod decide;
pub mod decimal;
pub mod directory;
pub mod fleet;
pub mod ids;
pub mod labels;
pub mod object_checks;
pub mod objects;
pub mod prompt;
pub mod request;
pub mod retry;
pub mod snapshot;
pub mod store_revision;
pub mod update_broadcast;
