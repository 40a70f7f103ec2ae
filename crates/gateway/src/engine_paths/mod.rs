//! Connections to engines, as far as this node reaches them.

pub mod metrics;
