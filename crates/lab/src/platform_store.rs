//! The objects of the stand-in object API with their versions and watchers.

use async_channel::Sender;
use ploverlift_node::callers::body_channel::BodyChunk;
use ploverlift_node::platform::client::{ObjectList, WatchEvent, WatchType};
use ploverlift_policy::ids::ResourceVersion;
use ploverlift_policy::objects::{Kind, Object, ObjectKey};
use std::collections::{BTreeMap, VecDeque};

/// Number of past changes that are kept for watches that begin at an older version.
const MAX_HISTORY: usize = 10_000;

/// All objects, a log of changes and the open watches.
#[derive(Default)]
pub struct ObjectTable {
    objects: BTreeMap<ObjectKey, Object>,
    version: u64,
    history: VecDeque<WatchEvent>,
    evicted_up_to: u64,
    watchers: Vec<Watcher>,
}

struct Watcher {
    kind: Kind,
    sender: Sender<BodyChunk>,
}

/// Why a write was refused.
#[derive(Debug, PartialEq, Eq)]
pub enum WriteError {
    /// The stored version differs from the given one.
    Conflict {
        /// The stored version; 0 when there is no object.
        stored: u64,
    },
    /// There is no such object.
    NotFound,
}

/// The changes that a watch requested are no longer kept.
#[derive(Debug, PartialEq, Eq)]
pub struct HistoryExpired;

impl ObjectTable {
    /// Creates an empty table whose versions continue after `version`, as after a restart.
    pub fn starting_at(version: u64) -> Self {
        Self {
            version,
            evicted_up_to: version,
            ..Self::default()
        }
    }

    /// All objects of a kind.
    pub fn list(&self, kind: Kind) -> ObjectList {
        let items = self.objects.values().filter(|object| object.kind == kind);
        ObjectList {
            resource_version: ResourceVersion(self.version),
            items: items.cloned().collect(),
        }
    }

    /// One object.
    pub fn read(&self, kind: Kind, name: &str) -> Option<&Object> {
        self.objects.get(&object_key(kind, name))
    }

    /// Stores an object when its version is the stored one.
    ///
    /// # Errors
    /// [`WriteError::Conflict`] when it is not.
    pub fn put(&mut self, mut object: Object) -> Result<Object, WriteError> {
        let key = object.key();
        let stored = self.objects.get(&key);
        let stored_version = stored.map_or(0, |known| known.metadata.resource_version.0);
        if object.metadata.resource_version.0 != stored_version {
            return Err(WriteError::Conflict {
                stored: stored_version,
            });
        }
        let change = if stored.is_some() {
            WatchType::Modified
        } else {
            WatchType::Added
        };
        self.version += 1;
        object.metadata.resource_version = ResourceVersion(self.version);
        self.objects.insert(key, object.clone());
        self.publish(change, object.clone());
        Ok(object)
    }

    /// Deletes an object when its version is the stored one.
    ///
    /// # Errors
    /// When there is no such object or the version is another one.
    pub fn delete(&mut self, kind: Kind, name: &str, version: u64) -> Result<Object, WriteError> {
        let key = object_key(kind, name);
        let Some(stored) = self.objects.get(&key) else {
            return Err(WriteError::NotFound);
        };
        let stored_version = stored.metadata.resource_version.0;
        if version != stored_version {
            return Err(WriteError::Conflict {
                stored: stored_version,
            });
        }
        let mut object = stored.clone();
        self.objects.remove(&key);
        self.version += 1;
        object.metadata.resource_version = ResourceVersion(self.version);
        self.publish(WatchType::Deleted, object.clone());
        Ok(object)
    }

    fn publish(&mut self, change: WatchType, object: Object) {
        let event = WatchEvent {
            r#type: change,
            object,
        };
        let line = watch_line(&event);
        // A watcher that does not keep up is dropped; its client lists the objects again.
        self.watchers.retain(|watcher| {
            if watcher.kind != event.object.kind {
                return !watcher.sender.is_closed();
            }
            let chunk = BodyChunk::Bytes(line.clone());
            watcher.sender.try_send(chunk).is_ok()
        });
        self.history.push_back(event);
        if self.history.len() > MAX_HISTORY {
            if let Some(oldest) = self.history.pop_front() {
                self.evicted_up_to = oldest.object.metadata.resource_version.0;
            }
        }
    }

    /// Adds a watcher; past changes after `version` are sent first.
    ///
    /// # Errors
    /// When changes after `version` are no longer kept.
    pub fn watch(
        &mut self,
        kind: Kind,
        version: u64,
        sender: Sender<BodyChunk>,
    ) -> Result<(), HistoryExpired> {
        if version < self.evicted_up_to {
            return Err(HistoryExpired);
        }
        for event in &self.history {
            let newer = event.object.metadata.resource_version.0 > version;
            if event.object.kind == kind && newer {
                let chunk = BodyChunk::Bytes(watch_line(event));
                sender.try_send(chunk).map_err(|_| HistoryExpired)?;
            }
        }
        self.watchers.push(Watcher { kind, sender });
        Ok(())
    }

    /// Ends every open watch.
    pub fn drop_watchers(&mut self) {
        self.watchers.clear();
    }

    /// Number of open watches.
    pub fn watchers(&self) -> usize {
        let open = self
            .watchers
            .iter()
            .filter(|watcher| !watcher.sender.is_closed());
        open.count()
    }
}

fn object_key(kind: Kind, name: &str) -> ObjectKey {
    ObjectKey {
        kind,
        name: name.to_owned(),
    }
}

fn watch_line(event: &WatchEvent) -> Vec<u8> {
    let mut line = serde_json::to_vec(event).unwrap_or_default();
    line.push(b'\n');
    line
}
