//! The gateway: forwards callers' HTTP requests to engines, by the operator's
//! configuration from an object store.
//!
//! Every node is the same program and needs no other node. What must last lies
//! in the store; a node holds copies whose age it knows.
//!
//! | module | concern |
//! | --- | --- |
//! | [`ports`] | what a site's adapter translates |
//! | [`settings`] | the settings file |
//! | [`state`] | what the tasks of a node share |
//! | [`beliefs`] | what a node believes of its site |
//! | [`callers`] | connections of callers |
//! | [`forward`] | one request, from its head to the end of its answer |
//! | `engine_signals` | what engines say of themselves in their answers |
//! | [`engine_connection`] | one request on one connection to an engine |
//! | [`engine_ends`] | whether an engine that ended a connection has ended, and under which requests |
//! | [`quarantine`] | requests under which engines ended, as they are stored |
//! | [`engine_checks`] | whether an engine that took no connection still is there |
//! | [`kept_connections`] | connections to engines between two requests |
//! | [`store`] | client of the object store and the copies that follow it |
//! | [`peers`] | reports between nodes: loads, and who keeps which prompts |
//! | [`cache_feeds`] | follows what engines and the KV cache store hold |
//! | [`rollouts`] | rollouts of engines' software |
//! | [`engines_proof`] | how recent the knowledge of the engines is, and who proved it |
//! | [`outcomes`] | how attempts at engines went |
//! | [`leases`] | leases in the store, for duties that one node at a time has |
//! | [`weights`] | bringing engines to new weights, by one holder of a lease |
//! | [`suspension`] | noticing that this node stood still |
//! | [`readiness`], [`metrics`], [`logging`] | what a node tells of itself |
//! | [`assembly`] | puts the parts together; start, reload, planned stop |

pub mod assembly;
pub mod beliefs;
pub mod cache_feeds;
pub mod callers;
pub mod catalogue_log;
pub mod cut_requests;
mod engine_beliefs;
pub mod engine_checks;
pub mod engine_connection;
pub mod engine_ends;
pub mod engine_limits;
mod engine_log;
mod engine_signals;
pub mod engines_proof;
pub mod forward;
pub mod http_call;
pub mod kept_connections;
pub mod leases;
pub mod logging;
pub mod metrics;
pub mod outcomes;
pub mod peers;
pub mod ports;
pub mod quarantine;
pub mod readiness;
pub mod reliance;
mod reservation;
pub mod rollouts;
pub mod settings;
pub mod state;
pub mod store;
pub mod suspension;
pub mod time;
pub mod weights;
