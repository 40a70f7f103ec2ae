//! Connections to engines: directly, or through a peer where this node does not reach the
//! engine itself.
//!
//! | module | concern |
//! | --- | --- |
//! | [`connect`] | opens a connection by the path that works |
//! | [`tunnel_client`] | asks peers for a tunnel |
//! | [`tunnel_server`] | opens tunnels for other nodes |
//! | `tunnel_copy` | copies the bytes of an open tunnel |
//! | [`probes`] | probes direct paths until they work again |
//! | [`metrics`] | metrics of all of these |
//!
//! Requests, the other calls that may come from any node, and checks use [`connect`].
//! Orders to engines don't: an order through a peer would count as the peer's.

pub mod connect;
pub mod metrics;
pub mod probes;
pub mod tunnel_client;
mod tunnel_copy;
pub mod tunnel_server;
