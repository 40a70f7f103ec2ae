//! Stand-ins for the systems around the router, and tools that measure the router.
//!
//! | module | job |
//! | --- | --- |
//! | [`platform`] | object API and machine list over HTTP |
//! | [`engine`] | a model engine or plain service over HTTP |
//! | [`bench`] | the latency that a node adds |
//! | [`experiment`] | routing policies on an emulated fleet |
//! | [`losses`] | causes of delays and failures, from nodes' logs |
//! | [`engine_cache`] | the engine's bounded cache of prompt blocks |

pub mod bench;
pub mod engine;
pub mod engine_cache;
pub mod engine_state;
mod engine_tokens;
pub mod experiment;
pub mod http_call;
pub mod losses;
pub mod platform;
pub mod platform_store;
