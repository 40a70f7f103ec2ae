//! Other nodes: messages, their readers, and tasks that wait for the core.

pub mod reader;
pub mod transport;
pub mod waiters;
