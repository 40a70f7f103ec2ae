//! The streams whose source this node knows: those that it forwards, and those that it keeps
//! for other nodes.

use crate::source::{ServiceHash, StreamSource};
use crate::stream_key::StreamKey;
use ploverlift_policy::ids::Millis;
use ploverlift_routing::rate_limit::TenantTag;
use std::collections::{BTreeSet, HashMap, HashSet};

/// Maximum number of streams.
const MAX_STREAMS: usize = 65_536;
/// Maximum number of streams of one tenant.
const MAX_STREAMS_OF_TENANT: usize = 16_384;
/// Maximum time for which a stream is kept, in milliseconds.
const MAX_KEPT_MS: u64 = 120_000;

/// The service and the software version that began a stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StreamOrigin {
    /// The stream.
    pub stream: StreamKey,
    /// The tenant to which it belongs.
    pub tenant: TenantTag,
    /// The service and the version of the engine that wrote its first event.
    pub source: StreamSource,
    /// When its caller stops taking it up.
    pub expires_at: Millis,
}

/// The known streams, bounded in all and by tenant.
#[derive(Clone, Debug, Default)]
pub struct StreamOrigins {
    by_stream: HashMap<StreamKey, StreamOrigin>,
    by_expiry: BTreeSet<(Millis, StreamKey)>,
    of_tenant: HashMap<TenantTag, usize>,
    /// Streams of this node that have not been announced.
    unannounced: HashSet<StreamKey>,
}

impl StreamOrigins {
    /// Keeps a stream; returns false if there is no room for it. The source of a stream never
    /// changes, so a known stream is only kept for longer, or gets the service that was unnamed.
    pub fn keep(&mut self, origin: StreamOrigin, now: Millis) -> bool {
        self.expire(now);
        let expires_at = origin.expires_at.min(now.plus(MAX_KEPT_MS));
        if expires_at <= now {
            return true;
        }
        if let Some(known) = self.by_stream.get_mut(&origin.stream) {
            if !known.source.is_named() {
                known.source = origin.source;
            }
            if expires_at > known.expires_at {
                self.by_expiry.remove(&(known.expires_at, origin.stream));
                self.by_expiry.insert((expires_at, origin.stream));
                known.expires_at = expires_at;
            }
            return true;
        }
        let count = self.of_tenant.entry(origin.tenant).or_default();
        if self.by_stream.len() >= MAX_STREAMS || *count >= MAX_STREAMS_OF_TENANT {
            return false;
        }
        *count += 1;
        self.by_expiry.insert((expires_at, origin.stream));
        let origin = StreamOrigin {
            expires_at,
            ..origin
        };
        self.by_stream.insert(origin.stream, origin);
        true
    }

    /// Notes that a kept stream of this node has not been announced to other nodes.
    pub fn note_unannounced(&mut self, stream: StreamKey) {
        if self.by_stream.contains_key(&stream) {
            self.unannounced.insert(stream);
        }
    }

    /// Returns the streams of a service that have not been announced, which counts as
    /// announcing them.
    pub fn take_unannounced(&mut self, service: ServiceHash, now: Millis) -> Vec<StreamOrigin> {
        self.expire(now);
        let by_stream = &self.by_stream;
        let mut taken = Vec::new();
        self.unannounced.retain(|stream| {
            let origin = by_stream.get(stream);
            let of_service = origin.filter(|origin| origin.source.service == service);
            taken.extend(of_service.cloned());
            of_service.is_none()
        });
        taken
    }

    /// The source of a stream, if this node knows it.
    pub fn source(&self, stream: StreamKey, now: Millis) -> Option<&StreamSource> {
        let origin = self.by_stream.get(&stream)?;
        (origin.expires_at > now).then_some(&origin.source)
    }

    /// All streams that are still kept.
    pub fn iter(&self, now: Millis) -> impl Iterator<Item = &StreamOrigin> {
        let origins = self.by_stream.values();
        origins.filter(move |origin| origin.expires_at > now)
    }

    /// Number of kept streams, including those that have expired since the last change.
    pub fn len(&self) -> usize {
        self.by_stream.len()
    }

    /// Whether no stream is kept.
    pub fn is_empty(&self) -> bool {
        self.by_stream.is_empty()
    }

    fn expire(&mut self, now: Millis) {
        while let Some((expires_at, stream)) = self.by_expiry.first().copied() {
            if expires_at > now {
                return;
            }
            self.by_expiry.pop_first();
            self.unannounced.remove(&stream);
            let Some(origin) = self.by_stream.remove(&stream) else {
                continue;
            };
            if let Some(count) = self.of_tenant.get_mut(&origin.tenant) {
                *count -= 1;
                if *count == 0 {
                    self.of_tenant.remove(&origin.tenant);
                }
            }
        }
    }
}
