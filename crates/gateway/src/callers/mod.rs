//! Connections of callers.

mod connection;
mod listener;
mod open_connections;
mod start_hold;

pub use connection::serve_connection;
pub use listener::{accept_callers, bind};
pub use open_connections::{ConnectionLimits, IdleConnection, OpenConnection, OpenConnections};
