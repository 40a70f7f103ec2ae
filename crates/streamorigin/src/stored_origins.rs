//! The sources of streams that a node has read from the journals of all nodes.

use crate::encoding::StoredStream;
use crate::source::StreamSource;
use crate::stream_key::StreamKey;
use ploverlift_policy::ids::Millis;
use std::collections::HashMap;
use std::sync::Arc;

/// Maximum number of streams: the journals of 64 nodes.
const MAX_STREAMS: usize = 262_144;
/// Difference between the clocks of two machines that is allowed for, in milliseconds. A stream
/// that is known for too long does no harm as long as its request's id is not used again.
const CLOCK_TOLERANCE_MS: u64 = 60_000;

/// Time for which a stream may still be taken up, in milliseconds, if it could for `left_ms` when
/// it was stored; `None` if it can't any more, or if the time of storage is too far ahead. Both
/// times are those of day, of different machines.
pub fn left_now_ms(left_ms: u64, written_unix_ms: u64, unix_ms: u64) -> Option<u64> {
    if written_unix_ms > unix_ms.saturating_add(CLOCK_TOLERANCE_MS) {
        return None;
    }
    let age_ms = unix_ms.saturating_sub(written_unix_ms);
    let left_now_ms = (left_ms + CLOCK_TOLERANCE_MS).saturating_sub(age_ms);
    (left_now_ms > 0).then_some(left_now_ms.min(left_ms))
}

#[derive(Clone, Debug)]
struct StoredOrigin {
    /// `None` if journals contradict each other.
    source: Option<Arc<StreamSource>>,
    expires_at: Millis,
}

/// Sources of streams from all journals.
#[derive(Clone, Debug, Default)]
pub struct StoredOrigins {
    by_stream: HashMap<StreamKey, StoredOrigin>,
}

impl StoredOrigins {
    /// Adds a stream of a journal; returns false if there is no room for it. What was read before
    /// stays true: the source of a stream never changes. If two journals contradict each other, a
    /// request's id was used for two streams, and the stream has no source that can be relied on.
    pub fn add(&mut self, stored: &StoredStream, now: Millis) -> bool {
        let expires_at = now.plus(stored.left_ms);
        if let Some(known) = self.by_stream.get_mut(&stored.stream) {
            if known.source.as_ref() != Some(&stored.source) {
                known.source = None;
            }
            known.expires_at = known.expires_at.max(expires_at);
            return true;
        }
        if self.by_stream.len() >= MAX_STREAMS {
            return false;
        }
        let origin = StoredOrigin {
            source: Some(Arc::clone(&stored.source)),
            expires_at,
        };
        self.by_stream.insert(stored.stream, origin);
        true
    }

    /// Removes the streams that can't be taken up any more.
    pub fn expire(&mut self, now: Millis) {
        self.by_stream.retain(|_, origin| origin.expires_at > now);
    }

    /// Removes all streams: what was read is not believed any more.
    pub fn clear(&mut self) {
        self.by_stream.clear();
    }

    /// The source of a stream, if a journal holds it and none contradicts.
    pub fn source(&self, stream: StreamKey, now: Millis) -> Option<&StreamSource> {
        let origin = self.by_stream.get(&stream)?;
        let source = origin.source.as_deref()?;
        (origin.expires_at > now).then_some(source)
    }

    /// Number of streams.
    pub fn len(&self) -> usize {
        self.by_stream.len()
    }

    /// Whether there are no streams.
    pub fn is_empty(&self) -> bool {
        self.by_stream.is_empty()
    }
}
