//! Engines: requests, looks at their state, and orders to them.

pub mod body;
pub mod client;
pub mod orders;
pub mod poll;
