//! All engines that this node knows, encoded once for all requests.
//!
//! After a start, or after the loss of a relay, all nodes of a zone send requests at once.
//! With 10,000 engines encoded separately for each of 64 concurrent requests, a relay used
//! 423 MB.

use super::relay_messages::{change_message, EngineChange};
use crate::beliefs::Beliefs;
use ploverlift_balancing::catalogue::{Engine, EngineRecord};
use ploverlift_policy::ids::Millis;
use ploverlift_wire::{encode_snapshot, peers};
use std::sync::Arc;

/// Time for which an encoding is reused although engines have changed since, in
/// milliseconds: less than the time for which the reports of a relay repeat a change, so
/// that no change is missed.
const MAX_CHANGED_REUSE_MS: u64 = 150;
/// Time for which an encoding of unchanged engines is reused, in milliseconds: the
/// remaining time for which a started engine is slow is given as of the encoding.
const MAX_REUSE_MS: u64 = 1_000;

/// The part of a snapshot with the engines.
#[derive(Clone, Debug)]
pub(super) struct EncodedEngines {
    /// A snapshot message with only these engines. Concatenated messages are merged when
    /// they are read, so the other fields of a snapshot may precede it.
    pub(super) message: Arc<[u8]>,
    /// Number of the last change that it contains.
    pub(super) changes_through: u64,
    /// Revision of the store up to which the engines are known.
    pub(super) revision: u64,
    encoded_at: Millis,
}

/// The last encoding.
#[derive(Debug, Default)]
pub struct EngineEncoding {
    last: Option<EncodedEngines>,
}

impl EngineEncoding {
    /// The engines as they are now, or a recent encoding.
    pub(super) fn present(&mut self, beliefs: &Beliefs, now: Millis) -> EncodedEngines {
        let last = self.last.take();
        let usable = last.filter(|last| last.is_usable(beliefs, now));
        let present = usable.unwrap_or_else(|| EncodedEngines::of(beliefs, now));
        self.last = Some(present.clone());
        present
    }
}

impl EncodedEngines {
    fn of(beliefs: &Beliefs, now: Millis) -> Self {
        let engines = beliefs.engines.iter();
        let snapshot = peers::Snapshot {
            engines: engines.map(|engine| message_of(engine, now)).collect(),
            ..peers::Snapshot::default()
        };
        Self {
            message: encode_snapshot(&snapshot).into(),
            changes_through: beliefs.catalogue_log.through(),
            revision: beliefs.engines_revision,
            encoded_at: now,
        }
    }

    fn is_usable(&self, beliefs: &Beliefs, now: Millis) -> bool {
        let age_ms = now.since(self.encoded_at);
        let is_same = self.changes_through == beliefs.catalogue_log.through();
        age_ms < MAX_CHANGED_REUSE_MS || (is_same && age_ms < MAX_REUSE_MS)
    }
}

fn message_of(engine: &Engine, now: Millis) -> peers::EngineChange {
    let cold_until = engine.cold_until.unwrap_or(now);
    let record = EngineRecord {
        cold_ms: cold_until.since(now),
        ..engine.record.clone()
    };
    change_message(&EngineChange {
        instance: record.instance.clone(),
        revision: record.revision,
        record: Some(record),
    })
}
