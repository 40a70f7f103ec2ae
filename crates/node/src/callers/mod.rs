//! Callers: their requests, the relay of each to an engine, and the answers.

pub mod body_channel;
pub mod events;
pub mod handler;
pub mod recorded_answer;
pub mod relay;
pub mod reply;
pub mod request;
