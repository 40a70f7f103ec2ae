//! The object store: a client, and copies that follow what is stored.

pub mod answer_time;
pub(crate) mod backoff;
mod client;
mod engine_feed;
pub mod era;
pub(crate) mod feed;
mod lapsed;
pub mod outage;

pub use client::StoreClient;
pub use engine_feed::{follow_engines, take_engine};
pub use feed::{follow_configuration, take_configuration};
