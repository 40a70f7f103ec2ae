//! Versioned configuration objects. Versions only increase, so a stale source
//! can never overwrite a newer object. Deletions are kept as tombstones, so
//! that a stale source cannot restore a deleted object either.

use ploverlift_policy::ids::ResourceVersion;
use ploverlift_policy::objects::{Kind, Object, ObjectKey};
use std::collections::BTreeMap;
use std::sync::Arc;
use xxhash_rust::xxh3::xxh3_64;

/// Hash of an object's kind and name: its identity in digests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct KeyHash(pub u64);

/// Order-independent hash over (identity, version) of a set of objects.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SetHash(pub u64);

/// Number of buckets by which two stores locate their differences.
pub const DIGEST_BUCKETS: usize = 64;

/// One object or deletion with its version.
#[derive(Clone, Debug, PartialEq)]
pub struct Record {
    /// Identity.
    pub key: ObjectKey,
    /// Version assigned by the object API.
    pub version: ResourceVersion,
    /// The object, or `None` when it was deleted at `version`.
    pub content: Option<Arc<Object>>,
}

impl Record {
    /// The record of a stored object.
    pub fn stored(object: Object) -> Self {
        Self {
            key: object.key(),
            version: object.metadata.resource_version,
            content: Some(Arc::new(object)),
        }
    }

    /// The record of a deletion.
    pub fn deleted(key: ObjectKey, version: ResourceVersion) -> Self {
        Self {
            key,
            version,
            content: None,
        }
    }

    /// The identity's hash.
    pub fn key_hash(&self) -> KeyHash {
        key_hash(&self.key)
    }

    fn digest(&self) -> u64 {
        let mut bytes = [0u8; 16];
        bytes[..8].copy_from_slice(&self.key_hash().0.to_le_bytes());
        bytes[8..].copy_from_slice(&self.version.0.to_le_bytes());
        xxh3_64(&bytes)
    }
}

/// The identity hash of an object key.
pub fn key_hash(key: &ObjectKey) -> KeyHash {
    let text = format!("{}/{}", key.kind.plural(), key.name);
    KeyHash(xxh3_64(text.as_bytes()))
}

/// The bucket of an identity.
pub fn bucket_of(key: KeyHash) -> usize {
    (key.0 % DIGEST_BUCKETS as u64) as usize
}

/// All objects that a node knows, with digests that are updated on every
/// change.
#[derive(Clone, Debug)]
pub struct ConfigStore {
    /// Records by bucket, so that one bucket can be sent without iterating over
    /// all records.
    records: Vec<BTreeMap<KeyHash, Record>>,
    buckets: [SetHash; DIGEST_BUCKETS],
    highest: ResourceVersion,
}

impl Default for ConfigStore {
    fn default() -> Self {
        Self {
            records: vec![BTreeMap::new(); DIGEST_BUCKETS],
            buckets: [SetHash::default(); DIGEST_BUCKETS],
            highest: ResourceVersion::default(),
        }
    }
}

impl ConfigStore {
    /// Stores a record if its version is higher than the known one. Returns
    /// whether anything changed.
    pub fn merge(&mut self, record: Record) -> bool {
        let key = record.key_hash();
        let number = bucket_of(key);
        let bucket = &mut self.buckets[number];
        if let Some(known) = self.records[number].get(&key) {
            if known.version >= record.version {
                return false;
            }
            bucket.0 ^= known.digest();
        }
        bucket.0 ^= record.digest();
        self.highest = self.highest.max(record.version);
        self.records[number].insert(key, record);
        true
    }

    /// Merges a complete list of one kind that was read at `version`. Known
    /// objects that are missing from the list and not newer than it were
    /// deleted. Returns the records that changed.
    pub fn merge_list(
        &mut self,
        kind: Kind,
        objects: Vec<Object>,
        version: ResourceVersion,
    ) -> Vec<Record> {
        let mut changed = Vec::new();
        let listed: std::collections::BTreeSet<KeyHash> = objects
            .iter()
            .map(|object| key_hash(&object.key()))
            .collect();
        let missing: Vec<ObjectKey> = self
            .records
            .iter()
            .flatten()
            .filter(|(hash, record)| {
                let present = record.content.is_some() && record.key.kind == kind;
                present && record.version <= version && !listed.contains(hash)
            })
            .map(|(_, record)| record.key.clone())
            .collect();
        let deletions = missing.into_iter().map(|key| Record::deleted(key, version));
        for record in objects.into_iter().map(Record::stored).chain(deletions) {
            if self.merge(record.clone()) {
                changed.push(record);
            }
        }
        changed
    }

    /// All live objects.
    pub fn objects(&self) -> impl Iterator<Item = &Arc<Object>> {
        let records = self.records.iter().flat_map(BTreeMap::values);
        records.filter_map(|record| record.content.as_ref())
    }

    /// Live objects of one kind.
    pub fn of_kind(&self, kind: Kind) -> impl Iterator<Item = &Arc<Object>> {
        self.objects().filter(move |object| object.kind == kind)
    }

    /// The record of one identity, including tombstones.
    pub fn record(&self, key: KeyHash) -> Option<&Record> {
        self.records[bucket_of(key)].get(&key)
    }

    /// The live object of one kind and name.
    pub fn get(&self, kind: Kind, name: &str) -> Option<&Arc<Object>> {
        let key = ObjectKey {
            kind,
            name: name.to_owned(),
        };
        self.record(key_hash(&key))?.content.as_ref()
    }

    /// The highest version of any record.
    pub fn highest(&self) -> ResourceVersion {
        self.highest
    }

    /// Number of records, including tombstones.
    pub fn len(&self) -> usize {
        self.records.iter().map(BTreeMap::len).sum()
    }

    /// Whether the store has no records.
    pub fn is_empty(&self) -> bool {
        self.records.iter().all(BTreeMap::is_empty)
    }

    /// Digest over all records: equal stores have equal roots.
    pub fn root(&self) -> SetHash {
        let joined = self
            .buckets
            .iter()
            .fold(0, |root: u64, bucket| root.rotate_left(1) ^ bucket.0);
        SetHash(joined)
    }

    /// Digest of every bucket.
    pub fn bucket_hashes(&self) -> &[SetHash; DIGEST_BUCKETS] {
        &self.buckets
    }

    /// Identity and version of every record of one bucket.
    pub fn bucket_versions(&self, bucket: usize) -> Vec<(KeyHash, ResourceVersion)> {
        let records = self.records.get(bucket).into_iter().flatten();
        records
            .map(|(key, record)| (*key, record.version))
            .collect()
    }
}
