//! Connections of callers.

mod connection;
mod listener;

pub use connection::serve_connection;
pub use listener::{accept_callers, bind};
