//! Connections of callers.

mod connection;
mod connection_end;
mod idle_wait;
mod listener;
mod open_connections;
mod request_body;
mod start_hold;

pub use connection::serve_connection;
pub use connection_end::{ConnectionEnd, ConnectionMetrics};
pub use listener::{accept_callers, bind};
pub use open_connections::{ConnectionLimits, IdleConnection, OpenConnection, OpenConnections};
