//! The state machines by which nodes act together, without any I/O: time,
//! randomness and messages are arguments, and what must be done is returned.
//!
//! | module | job |
//! | --- | --- |
//! | [`config_store`] | versioned objects; the highest version wins; deletions are remembered |

pub mod config_store;
