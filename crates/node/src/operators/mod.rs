//! Operators: their requests, and the metrics.

pub mod handler;
pub mod metrics;
