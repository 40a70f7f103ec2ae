//! The stored object with a node's running streams; its name is the node's.

use ploverlift_policy::ids::{Millis, StoreEra};
use ploverlift_routing::software::SoftwareVersion;
use ploverlift_streamorigin::encoding::{decode, encode, StoredStream};
use ploverlift_streamorigin::journal::JournalContents;
use ploverlift_streamorigin::source::{ServiceHash, StreamSource};
use ploverlift_streamorigin::stored_origins::left_now_ms;
use serde::{Deserialize, Serialize};
use serde_json::Value;
use std::sync::Arc;

/// The stored document. Fields of later releases are ignored.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct JournalDocument {
    /// When it was sent to the store, by the time of day of its node, in milliseconds since the
    /// Unix epoch.
    written_unix_ms: u64,
    /// The era of the store in which it was sent, if the store reports eras.
    era: Option<u64>,
    /// The sources to which the streams refer.
    sources: Vec<SourceDocument>,
    /// The streams, the newest first, encoded
    /// ([`encoding`](ploverlift_streamorigin::encoding)).
    streams: String,
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct SourceDocument {
    /// Hash of the service's name, in hex.
    service: String,
    software: String,
}

/// The time and the era in which a document is written or read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DocumentTime {
    /// By this node's time of day, in milliseconds since the Unix epoch.
    pub unix_ms: u64,
    /// The era of the store.
    pub era: Option<StoreEra>,
}

impl JournalDocument {
    /// The document of these streams, and the number of streams that it leaves out.
    pub fn of(contents: &JournalContents, time: DocumentTime, now: Millis) -> (Self, usize) {
        let encoded = encode(&contents.streams, now);
        let sources = encoded.sources.iter().map(|source| SourceDocument {
            service: format!("{:016x}", source.service.0),
            software: source.software.0.clone(),
        });
        let document = Self {
            written_unix_ms: time.unix_ms,
            era: time.era.map(|era| era.0),
            sources: sources.collect(),
            streams: encoded.text,
        };
        (document, encoded.left_out)
    }

    /// Reads a stored document.
    ///
    /// # Errors
    /// When it is malformed.
    pub fn read(content: &Value) -> Result<Self, serde_json::Error> {
        Self::deserialize(content)
    }

    /// The size of the encoded streams, in bytes.
    pub fn bytes(&self) -> usize {
        self.streams.len()
    }

    /// The streams that have not expired, with the time that they have left; none of a document
    /// from an earlier era: the ids of their requests may have been used again since, in writes
    /// that the store has lost.
    pub fn streams(&self, time: DocumentTime) -> Vec<StoredStream> {
        if self.era != time.era.map(|era| era.0) {
            return Vec::new();
        }
        let sources = self.sources.iter().map(|source| {
            // A malformed service is no service that a route leads to.
            let service = u64::from_str_radix(&source.service, 16);
            Arc::new(StreamSource {
                service: service.map_or(ServiceHash::UNNAMED, ServiceHash),
                software: SoftwareVersion(source.software.clone()),
            })
        });
        let sources: Vec<Arc<StreamSource>> = sources.collect();
        let decoded = decode(&sources, &self.streams).into_iter();
        let named = decoded.filter(|stored| stored.source.is_named());
        let believed = named.filter_map(|stored| {
            let left_ms = left_now_ms(stored.left_ms, self.written_unix_ms, time.unix_ms)?;
            Some(StoredStream { left_ms, ..stored })
        });
        believed.collect()
    }

    /// Time since the document was written, in milliseconds; 0 if by this node's time of day it
    /// was written in the future.
    pub fn age_ms(&self, time: DocumentTime) -> u64 {
        time.unix_ms.saturating_sub(self.written_unix_ms)
    }
}
