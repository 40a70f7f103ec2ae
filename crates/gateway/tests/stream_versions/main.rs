//! Streams of services whose engines run several versions of their software.

mod attempts;
mod journal;
mod killed_nodes;
mod large_fleet;
mod messages;
mod moved_routes;
mod one_answer;
mod register;
mod site;
mod sources;
#[path = "../support/mod.rs"]
mod support;
mod unplaced;
