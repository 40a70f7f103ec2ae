//! Which engine of a service serves a request.
//!
//! Pure: no I/O, no clock, no randomness. Every node decides alone, from the
//! catalogue that all share, from what its own traffic has shown and from what
//! other nodes report of theirs; two nodes with the same catalogue place a prompt
//! on the same engine without asking each other, because the home of a prompt is
//! a rendezvous hash.
//!
//! | module | concern |
//! | --- | --- |
//! | [`attempts`] | whether a request may be sent again, and what may be said of it |
//! | [`cache_contents`] | what an engine or a KV cache store holds, by its events |
//! | [`cache_followers`] | how nodes divide which engines' caches each follows |
//! | [`cache_stores`] | the KV cache stores, one by one, and which saves a prompt |
//! | [`catalogue`] | engines, as their records and this node's traffic show them |
//! | [`service_index`] | the engines of one service, in the orders of a choice |
//! | [`cost`] | the cost of an engine, by named terms in milliseconds |
//! | `engine` | one engine, as its record and this node's own traffic show it |
//! | [`engine_caches`] | which engines' events are followed, and what they tell |
//! | [`engine_load`] | requests at one engine, and sums of them |
//! | [`engine_losses`] | which engines take no connection any more, and who else says so |
//! | [`engine_notices`] | what engines said of themselves that outlasts the answer |
//! | [`fleet`] | what a node knows of the fleet, and what the choice depends on |
//! | [`health`] | putting engines aside that fail, and trying them again |
//! | [`named_nodes`] | the nodes that relays named lately |
//! | [`names`] | names of engines, nodes, models and zones, and their short ones |
//! | [`peer_loads`] | what other nodes have at the engines, as they report |
//! | [`relayed_loads`] | the same as relays sum it up in large fleets |
//! | [`moves`] | how long moves of KV cache take, and those under way |
//! | [`prefix_holders`] | where shared parts of prompts were read, as nodes tell each other |
//! | [`prefix_reach`] | what each engine holds of one prompt, and where the rest can be had |
//! | [`prefill_rate`] | how fast engines read prompts, learned from their answers |
//! | [`rendezvous`] | the order of engines for a prompt |
//! | [`round_trips`] | how long round trips to other zones take, learned from connections |
//! | [`selection`] | the choice, by a cost in milliseconds with named terms |
//! | [`engine_rate_limits`] | which engines that advertise a rate limit have room |
//! | [`report_position`] | which of a sender's reports is the newest |
//! | [`retry_budget`] | how many requests may be sent a second time |
//! | [`load_schedule`] | when engines load new weights, and how many at once |
//! | [`load_width`] | how many of them load at once without slowing each other |
//! | [`overload`] | when engines are overloaded, and which part of the requests to refuse |
//! | [`store_room`] | which prompts are worth their room in the KV cache store |
//! | [`supply`] | from where an engine can have what it lacks of a prompt |
//! | [`unseen_reading`] | what other nodes sent since their loads were told |
//! | [`weights`] | which versions of weights a request may begin on |

pub mod attempts;
pub mod cache_contents;
pub mod cache_followers;
pub mod cache_stores;
mod candidates;
pub mod catalogue;
pub mod cost;
pub mod eligibility;
mod engine;
pub mod engine_caches;
pub mod engine_load;
pub mod engine_losses;
pub mod engine_notices;
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
pub mod prefix_reach;
pub mod relayed_loads;
pub mod rendezvous;
pub mod report_position;
pub mod retry_budget;
pub mod round_trips;
pub mod selection;
pub mod service_index;
pub mod store_room;
pub mod supply;
pub mod unseen_reading;
pub mod weights;
