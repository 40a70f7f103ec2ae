//! Rollout contents of reports between nodes: their messages, sums that count nothing twice,
//! and a large fleet in which followers rely on relays.

mod beliefs;
mod evidence;
mod followers;
mod messages;
mod sums;
#[path = "../support/mod.rs"]
mod support;
mod unplaced;
