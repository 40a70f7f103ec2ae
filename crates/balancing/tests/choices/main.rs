//! The choice of an engine, and the information on which it is based.

mod cache_moves;
mod cache_stores;
mod fleet;
mod one_node;
mod peer_loads;
mod prefix_holders;
mod regions;
mod reports;
mod round_trips;
mod shared_knowledge;
mod site;
mod unreported_load;
