//! State machines that coordinate the nodes, without any I/O: time, randomness
//! and messages are arguments, and messages to send and events are returned.
//!
//! | module | job |
//! | --- | --- |
//! | [`core`] | the complete logic of one node without its I/O |
//! | [`router`] | the state that routing decisions read and write |
//! | [`membership`] | cluster membership: probes, suspicion, gossip, digests |
//! | [`node_key`] | identity of nodes, and rendezvous hashing over them |
//! | [`config_store`] | versioned objects; the highest version wins; deletions are kept as tombstones |
//! | [`config_sync`] | changes pushed between nodes, and differences resolved |
//! | [`readers`] | which nodes read the object API |
//! | [`observer_duties`] | which nodes observe which engine |
//! | [`engine_watch`] | observations and how they reach other nodes |
//! | [`claims`], [`claim_proposer`], [`claim_group_plan`], [`claim_messages`] | claims of requests that run at most once |
//! | [`quota`] | rate limits over the whole fleet |
//! | [`rollout`] | rollout of weights by orders to engines |
//! | [`output`] | messages that the driver sends |

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
