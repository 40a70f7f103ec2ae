//! Large fleets: few nodes read the store and tell the others, and what happens when
//! one of those is silent, cut off, overtaken or gone.

mod address_book;
mod followed_relays;
mod listed_nodes;
mod partial_reports;
mod reports;
mod running_nodes;
mod sizes;
#[path = "../support/mod.rs"]
mod support;
