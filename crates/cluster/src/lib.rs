//! The state machines by which nodes act together, without any I/O: time,
//! randomness and messages are arguments, and what must be done is returned.
//!
//! | module | job |
//! | --- | --- |
//! | [`core`] | the whole of one node without its I/O |
//! | [`router`] | the tables that decisions read and write |
//! | [`membership`] | who is a member: probes, suspicion, gossip, digests |
//! | [`node_key`] | identity of nodes, and rendezvous hashing over them |
//! | [`config_store`] | versioned objects; the highest version wins; deletions are remembered |
//! | [`config_sync`] | news pushed between nodes, and differences mended |
//! | [`readers`] | which nodes read the object API |
//! | [`observer_duties`] | which nodes observe which engine |
//! | [`engine_watch`] | observations and how they reach other nodes |
//! | [`claims`], [`claim_proposer`], [`claim_group_plan`], [`claim_messages`] | requests that run at most once |
//! | [`quota`] | rate limits over the whole fleet |
//! | [`rollout`] | orders to engines |
//! | [`output`] | what a state machine asks its driver to do |

pub mod claim_group_plan;
pub mod claim_key;
pub mod claim_messages;
pub mod claim_proposer;
pub mod claims;
pub mod config_store;
pub mod config_sync;
pub mod core;
pub mod engine_watch;
pub mod membership;
pub mod node_key;
pub mod observer_duties;
pub mod output;
pub mod quota;
pub mod readers;
pub mod rollout;
pub mod router;
