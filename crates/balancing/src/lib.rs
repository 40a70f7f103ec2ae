//! Selects the engine of a service that serves a request.
//!
//! Pure: no I/O, no clock, no randomness. Every node decides alone, from the shared
//! catalogue, from what its own traffic has shown and from the reports of other nodes.
//! Two nodes with the same catalogue place a prompt on the same engine without
//! communicating, because the home of a prompt is a rendezvous hash.
//!
//! | module | concern |
//! | --- | --- |
//! | [`attempts`] | whether a request may be sent again, and its reported run state |
//! | [`cache_contents`] | contents of an engine's cache or a KV cache store, from its events |
//! | [`cache_followers`] | how nodes divide the engines whose cache events they follow |
//! | [`cache_stores`] | the KV cache stores, and which one saves a prompt |
//! | [`catalogue`] | engines, from their records and this node's traffic |
//! | [`service_index`] | index of one service's engines, in the orders of a choice |
//! | [`connection_window`] | how many connections a node opens to an engine |
//! | [`cost`] | the cost of an engine, by named terms in milliseconds |
//! | `engine` | one engine, from its record and this node's traffic |
//! | [`engine_caches`] | which engines' events are followed, and the contents they report |
//! | [`engine_load`] | requests at one engine, and sums of them |
//! | [`engine_losses`] | engines that accept no connections, and which other nodes report them |
//! | [`engine_notices`] | announcements of engines that outlast the answer that carried them |
//! | [`engine_paths`] | which engines are cut off from this node, and how connections to them are opened |
//! | [`fleet`] | a node's view of the fleet, and the criteria of a choice |
//! | [`health`] | ejecting engines that fail, and trying them again |
//! | [`named_nodes`] | nodes that relays named recently |
//! | [`names`] | names of engines, nodes, models and zones, and their short forms |
//! | [`peer_loads`] | loads of engines that other nodes report |
//! | [`relayed_loads`] | loads that relays sum up in large fleets |
//! | [`moves`] | durations of KV cache moves, and the moves in progress |
//! | [`prefix_holders`] | engines to which shared parts of prompts were sent, as nodes announce them |
//! | [`prefix_locations`] | which parts of one prompt each engine caches, and the sources of the others |
//! | [`prefill_rate`] | prefill rate of engines, learned from their answers |
//! | [`rendezvous`] | rendezvous order of the engines for a prompt |
//! | [`round_trips`] | round-trip times to other zones, measured on connections |
//! | [`route_durations`] | how long the requests of each route have taken |
//! | [`selection`] | the choice, by a cost in milliseconds with named terms |
//! | [`engine_rate_limits`] | which engines with a rate limit can take requests |
//! | [`report_position`] | which of a sender's reports is the newest |
//! | [`retry_budget`] | how many retries may be sent |
//! | [`load_schedule`] | when engines load new weights, and how many concurrently |
//! | [`load_width`] | how many engines can load concurrently without slowing each other |
//! | [`overload`] | detection of overload, and the share of requests to refuse |
//! | [`stop_window`] | which requests a stopping node still accepts |
//! | [`store_admission`] | which prompts are worth saving in the KV cache store |
//! | [`transfer_sources`] | sources of the prompt parts that an engine lacks |
//! | [`tunnel_peers`] | which peers open tunnels to engines that are cut off |
//! | [`unreported_load`] | estimated load that other nodes sent since their last reports |
//! | [`weights`] | weights versions that a request may start on |

pub mod attempts;
pub mod cache_contents;
pub mod cache_followers;
pub mod cache_stores;
mod candidates;
pub mod catalogue;
pub mod connection_window;
pub mod cost;
pub mod eligibility;
mod engine;
pub mod engine_caches;
pub mod engine_load;
pub mod engine_losses;
pub mod engine_notices;
pub mod engine_paths;
pub mod engine_rate_limits;
pub mod fleet;
pub mod health;
mod heartbeat;
pub mod load_schedule;
pub mod load_width;
pub mod moves;
pub mod named_nodes;
pub mod names;
pub mod overload;
pub mod peer_loads;
pub mod prefill_rate;
pub mod prefix_holders;
pub mod prefix_locations;
pub mod relayed_loads;
pub mod rendezvous;
pub mod report_position;
pub mod retry_budget;
pub mod round_trips;
pub mod route_durations;
pub mod selection;
pub mod service_index;
pub mod stop_window;
pub mod store_admission;
pub mod transfer_sources;
pub mod tunnel_peers;
pub mod unreported_load;
pub mod weights;
