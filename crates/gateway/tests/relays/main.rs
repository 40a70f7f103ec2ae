//! Large fleets: a few relays read the store and report to the other nodes; what happens
//! when one of them is silent, cut off, overtaken or gone.

mod address_book;
mod followed_relays;
mod listed_nodes;
mod partial_reports;
mod reports;
mod running_nodes;
mod sizes;
#[path = "../support/mod.rs"]
mod support;
