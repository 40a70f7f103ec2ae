//! The state machines by which nodes act together, without any I/O: time,
//! randomness and messages are arguments, and what must be done is returned.
//!
//! | module | job |
//! | --- | --- |
//! | [`config_store`] | versioned objects; the highest version wins; deletions are remembered |

pub mod claim_group_plan;
pub mod claim_proposer;
pub mod claims;
pub mod config_store;
pub mod config_sync;
pub mod core;
pub mod engine_watch;
pub mod lease;
pub mod membership;
pub mod node_key;
pub mod output;
pub mod quota;
pub mod readers;
pub mod rollout;
pub mod router;
