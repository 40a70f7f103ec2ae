//! The runtime of one node: listeners, clients of engines and of the platform,
//! and the tasks that drive the state machines of `policy` and `cluster`.
//!
//! [`assembly::start`] is the only place in which the parts are put together.

pub mod assembly;
pub mod body_channel;
pub mod caller_request;
pub mod callers;
pub mod clock;
pub mod cluster_transport;
pub mod config_feed;
pub mod engine_body;
pub mod engine_client;
pub mod engine_poll;
pub mod executor;
pub mod listener;
pub mod logging;
pub mod metrics;
pub mod operators;
pub mod orders;
pub mod platform_client;
pub mod recorded_answer;
pub mod relay;
pub mod reply;
pub mod settings;
pub mod sse;
pub mod state;
pub mod waiters;
