//! Pure routing decisions: nothing in this crate reads a clock, a socket or a
//! global random source. Time, randomness and messages are arguments, so the
//! same code runs in a node, under the simulated network and in experiments.
//!
//! | module | job |
//! | --- | --- |
//! | [`ids`] | newtypes for every identifier and unit |
//! | [`labels`] | labels and selectors |
//! | [`objects`] | operator objects as the object API stores them, and their validation |
//! | [`snapshot`] | the typed, indexed view of all objects that decisions read |
//! | [`decaying_sum`] | rates of the recent past |
//! | [`chain`] | prompts cut into hashed blocks |
//! | [`prompt`] | the text that blocks are cut from |
//! | [`directory`] | which engine is believed to hold which block |
//! | [`fleet`] | what is known of each engine |
//! | [`cost`] | the scoring function, in milliseconds of time to first token |
//! | [`decide`] | route match, candidate filter, choice, explanation |
//! | [`decimal`] | numbers in headers of other parties |
//! | [`admission`] | rate limits and deadline admission |
//! | [`retry`] | the retry budget |
//! | [`attempt`] | the state of one attempt and what may be said of it |
//! | [`update_broadcast`] | when a change is told to other nodes |
//! | [`request`] | the state machine of one request over all its attempts |

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
