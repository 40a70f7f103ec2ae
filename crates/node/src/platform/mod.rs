//! The platform's object API: its client, and the copies that follow it.

pub mod client;
pub mod config_feed;
