//! The process of a gateway: signals, and ports that are in use when it starts.

mod ports;
mod process;
mod signals;
