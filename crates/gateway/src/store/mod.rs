//! The object store: a client, and local copies that follow the stored objects.

pub mod answer_timeout;
pub(crate) mod backoff;
mod client;
mod engine_feed;
pub mod era;
pub(crate) mod feed;
mod lapsed;
pub mod listing;
pub mod outage;
pub mod rejected_entries;
pub mod shared_reads;

pub use client::StoreClient;
pub use engine_feed::{apply_engine_change, follow_engines};
pub use feed::{apply_configuration, follow_configuration};
