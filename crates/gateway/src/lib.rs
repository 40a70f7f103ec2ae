//! The gateway: forwards callers' HTTP requests to engines according to the
//! operator's configuration, which is read from an object store.
//!
//! All nodes run the same program, and each can work without the others. Durable
//! state is in the store; a node holds copies of it and tracks their staleness.
//!
//! | module | concern |
//! | --- | --- |
//! | [`ports`] | interfaces that a site's adapter implements |
//! | [`settings`] | the settings file |
//! | [`state`] | state shared by the tasks of a node |
//! | [`beliefs`] | a node's view of its site |
//! | [`callers`] | connections of callers |
//! | [`forward`] | one request, from its head to the end of its answer |
//! | `engine_signals` | signals that engines set in the heads of their answers |
//! | [`answer_limits`] | limits on the answers that a node reads |
//! | [`engine_connection`] | one request on one connection to an engine |
//! | `engine_liveness` | proof that an engine instance runs, after the end of an answer |
//! | [`engine_ends`] | detects that an engine has terminated, and the requests that it was running |
//! | [`quarantine`] | stored list of requests during which engines terminated |
//! | [`engine_checks`] | connection checks of engines that could not be reached |
//! | [`engine_paths`] | connections to engines, as far as this node reaches them |
//! | [`engine_sentinels`] | an idle connection to each engine whose answers end with their connections |
//! | [`kept_connections`] | idle connections to engines |
//! | [`store`] | client of the object store and the copies that follow it |
//! | [`peers`] | reports between nodes: loads, and the engines that cache each prompt |
//! | `peer_stream` | messages with a length prefix on TCP connections between nodes |
//! | [`cache_feeds`] | follows the contents of engine caches and of the KV cache store |
//! | [`rollouts`] | rollouts of engines' software |
//! | [`engines_proof`] | age and source of the node's list of engines |
//! | [`outcomes`] | outcomes of attempts at engines |
//! | [`leases`] | leases in the store, for duties of one node at a time |
//! | [`weights`] | loads new weights into engines, by one lease holder |
//! | [`suspension`] | detects that this node was suspended |
//! | [`stream_journal`] | sources of running streams in the store |
//! | [`requirements`] | what a node needs before it accepts callers, and for how long it has lacked it |
//! | [`readiness`], [`metrics`], [`stream_metrics`], [`logging`] | how a node reports its own state |
//! | [`planned_stop`] | phases of a planned stop |
//! | [`listeners`] | the sockets on which a node listens |
//! | [`assembly`] | puts the parts together; start, reload, planned stop |

pub mod answer_limits;
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
mod engine_liveness;
mod engine_log;
pub mod engine_paths;
mod engine_places;
pub mod engine_sentinels;
mod engine_signals;
pub mod engines_proof;
pub mod forward;
pub mod held_body;
pub mod http_call;
pub mod kept_connections;
pub mod leases;
pub mod listeners;
pub mod logging;
mod machine_memory;
pub mod memory_metrics;
pub mod metrics;
pub mod outcomes;
mod peer_stream;
pub mod peers;
pub mod planned_stop;
pub mod ports;
pub mod quarantine;
pub mod readiness;
pub mod reliance;
pub mod requirements;
mod reservation;
pub mod rollouts;
pub mod settings;
pub mod state;
pub mod store;
pub mod stream_journal;
pub mod stream_metrics;
pub mod stream_sources;
pub mod suspension;
pub mod time;
pub mod weights;
