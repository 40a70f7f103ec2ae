//! The simulated object API.

use ploverlift_cluster::config_store::Record;
use ploverlift_policy::ids::ResourceVersion;
use ploverlift_policy::objects::{Kind, Object, ObjectKey};
use std::collections::BTreeMap;

/// Behaviour of the object API.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum PlatformMode {
    /// Works normally.
    #[default]
    Up,
    /// Does not answer.
    Down,
    /// Stores changes, but the replies are lost.
    LosesReplies,
    /// Answers reads with an older state.
    Stale,
}

/// Result of a write.
#[derive(Clone, Debug, PartialEq)]
pub enum WriteAnswer {
    /// Stored as this object.
    Stored(Object),
    /// The object was changed by another write.
    Conflict,
    /// The reply was lost; the change may have taken effect.
    Lost,
    /// The object API could not be reached; nothing took effect.
    Unreachable,
}

/// The object API: every change ever made, in order.
#[derive(Clone, Debug, Default)]
pub struct Platform {
    /// Present behaviour.
    pub mode: PlatformMode,
    log: Vec<Record>,
    version: u64,
    stale_version: u64,
    /// Number of lists answered.
    pub reads: u64,
}

impl Platform {
    /// Changes the behaviour. From now on, stale reads show the state of
    /// [`STALE_READ_LAG`] changes before this call.
    pub fn set_mode(&mut self, mode: PlatformMode) {
        if mode == PlatformMode::Stale {
            self.stale_version = self.version.saturating_sub(STALE_READ_LAG);
        }
        self.mode = mode;
    }

    /// Stores an object by compare-and-set of its version.
    pub fn put(&mut self, mut object: Object) -> WriteAnswer {
        if self.mode == PlatformMode::Down {
            return WriteAnswer::Unreachable;
        }
        let stored = self.stored_version(&object.key());
        if object.metadata.resource_version.0 != stored {
            return WriteAnswer::Conflict;
        }
        self.version += 1;
        object.metadata.resource_version = ResourceVersion(self.version);
        self.log.push(Record::stored(object.clone()));
        if self.mode == PlatformMode::LosesReplies {
            return WriteAnswer::Lost;
        }
        WriteAnswer::Stored(object)
    }

    /// Deletes an object whatever its version.
    pub fn delete(&mut self, key: ObjectKey) {
        if self.stored_version(&key) > 0 {
            self.version += 1;
            self.log
                .push(Record::deleted(key, ResourceVersion(self.version)));
        }
    }

    fn stored_version(&self, key: &ObjectKey) -> u64 {
        let last = self.log.iter().rev().find(|record| record.key == *key);
        last.filter(|record| record.content.is_some())
            .map_or(0, |record| record.version.0)
    }

    /// The newest stored object.
    pub fn read(&self, kind: Kind, name: &str) -> Option<Object> {
        let mut newest = self.log.iter().rev();
        let record = newest.find(|record| record.key.kind == kind && record.key.name == name)?;
        record
            .content
            .as_ref()
            .map(|object| object.as_ref().clone())
    }

    /// Whether exactly this object, version included, was ever stored.
    pub fn accepted(&self, object: &Object) -> bool {
        let mut records = self.log.iter();
        records.any(|record| record.content.as_deref() == Some(object))
    }

    /// The newest version.
    pub fn version(&self) -> u64 {
        self.version
    }

    fn visible_version(&self) -> u64 {
        match self.mode {
            PlatformMode::Stale => self.stale_version,
            _ => self.version,
        }
    }

    /// All objects of a kind as reads currently show them, and the version of
    /// that state. `None` when the object API is down.
    pub fn list(&mut self, kind: Kind) -> Option<(Vec<Object>, ResourceVersion)> {
        if self.mode == PlatformMode::Down {
            return None;
        }
        self.reads += 1;
        let visible = self.visible_version();
        let mut objects: BTreeMap<&str, Option<&Object>> = BTreeMap::new();
        for record in self.log.iter().filter(|record| record.key.kind == kind) {
            if record.version.0 <= visible {
                objects.insert(&record.key.name, record.content.as_deref());
            }
        }
        let listed = objects.into_values().flatten().cloned().collect();
        Some((listed, ResourceVersion(visible)))
    }

    /// Changes after `version` as a watch currently shows them. `None` when the
    /// object API is down.
    pub fn changes_after(&self, version: u64) -> Option<Vec<Record>> {
        if self.mode == PlatformMode::Down {
            return None;
        }
        let visible = self.visible_version();
        let after = self.log.iter().filter(|record| record.version.0 > version);
        Some(
            after
                .filter(|record| record.version.0 <= visible)
                .cloned()
                .collect(),
        )
    }
}

/// Number of changes that a stale read is behind the newest one.
const STALE_READ_LAG: u64 = 3;
