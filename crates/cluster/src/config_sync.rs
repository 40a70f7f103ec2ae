//! Synchronises configuration between nodes. A change is pushed to a few
//! members at once and forwarded by each node for which it is new. Changes that
//! a push missed are found by comparing digests on probes, and only the
//! differing records are sent.

use crate::config_store::{ConfigStore, KeyHash, Record, DIGEST_BUCKETS};
use crate::membership::Membership;
use crate::output::Outbox;
use ploverlift_policy::ids::{Millis, ResourceVersion};
use ploverlift_policy::objects::{Kind, Object, ObjectKey};
use ploverlift_wire::messages::envelope::Body;
use ploverlift_wire::messages::{
    ConfigBuckets, ConfigPull, ConfigPush, ConfigVersions, ObjectRecord,
};
use std::net::SocketAddr;

/// Number of members to which each node pushes a change that is new to it.
pub const PUSH_FANOUT: usize = 4;
/// Maximum number of changed records that are pushed together. More records at
/// once are a node catching up, not new changes, and are not forwarded.
const MAX_PUSHED_CHANGES: usize = 32;
/// A digest is compared only when the own store has not changed for this time,
/// in milliseconds: before that, the difference is most likely a change that is
/// still being pushed.
const QUIET_MS: u64 = 200;
/// Minimum interval between comparisons that this node starts, in milliseconds.
const COMPARE_PERIOD_MS: u64 = 250;

/// One node's part in the synchronisation.
#[derive(Debug, Default)]
pub struct ConfigSync {
    /// All objects.
    pub store: ConfigStore,
    changed_at: Millis,
    compared_at: Option<Millis>,
    changed_records: Vec<Record>,
}

impl ConfigSync {
    /// Returns the records that changed since the last call.
    pub fn take_changed_records(&mut self) -> Vec<Record> {
        std::mem::take(&mut self.changed_records)
    }

    /// Applies records from the object API or an operator and pushes those that
    /// changed.
    pub fn apply_records(
        &mut self,
        records: Vec<Record>,
        members: &Membership,
        now: Millis,
        random: &mut fastrand::Rng,
        outbox: &mut Outbox,
    ) {
        let changes = self.merge(records, now);
        self.push_changes(&changes, 0, members, random, outbox);
    }

    /// Applies a complete list of one kind from the object API and pushes what
    /// changed.
    #[allow(clippy::too_many_arguments)]
    pub fn apply_list(
        &mut self,
        kind: Kind,
        objects: Vec<Object>,
        version: ResourceVersion,
        members: &Membership,
        now: Millis,
        random: &mut fastrand::Rng,
        outbox: &mut Outbox,
    ) {
        let changes = self.store.merge_list(kind, objects, version);
        if !changes.is_empty() {
            self.changed_at = now;
        }
        self.changed_records.extend(changes.iter().cloned());
        self.push_changes(&changes, 0, members, random, outbox);
    }

    fn merge(&mut self, records: Vec<Record>, now: Millis) -> Vec<Record> {
        let mut changes = Vec::new();
        for record in records {
            if self.store.merge(record.clone()) {
                changes.push(record);
            }
        }
        if !changes.is_empty() {
            self.changed_at = now;
            self.changed_records.extend(changes.iter().cloned());
        }
        changes
    }

    fn push_changes(
        &self,
        changes: &[Record],
        hops: u32,
        members: &Membership,
        random: &mut fastrand::Rng,
        outbox: &mut Outbox,
    ) {
        if changes.is_empty() || changes.len() > MAX_PUSHED_CHANGES {
            return;
        }
        let push = ConfigPush {
            records: changes.iter().map(to_message).collect(),
            hops: hops + 1,
        };
        for target in members.random_live(PUSH_FANOUT, None, random) {
            outbox.send(target, Body::ConfigPush(push.clone()));
        }
    }

    /// Applies pushed records and forwards those that were new.
    pub fn on_push(
        &mut self,
        push: &ConfigPush,
        members: &Membership,
        now: Millis,
        random: &mut fastrand::Rng,
        outbox: &mut Outbox,
    ) {
        let records = push.records.iter().filter_map(from_message).collect();
        let changes = self.merge(records, now);
        self.push_changes(&changes, push.hops, members, random, outbox);
    }

    /// Starts a comparison with a member whose digest on a probe differs.
    pub fn on_root(&mut self, from: SocketAddr, root: u64, now: Millis, outbox: &mut Outbox) {
        if root == self.store.root().0 {
            return;
        }
        let quiet = self.store.is_empty() || now.since(self.changed_at) >= QUIET_MS;
        let recently = self
            .compared_at
            .is_some_and(|at| now.since(at) < COMPARE_PERIOD_MS);
        if quiet && !recently {
            self.compared_at = Some(now);
            outbox.send(from, self.buckets_message());
        }
    }

    /// Starts a comparison at once with the member that answered a join: when
    /// many nodes restart together, it may be the only one that has the
    /// configuration.
    pub fn compare_with(&self, from: SocketAddr, outbox: &mut Outbox) {
        outbox.send(from, self.buckets_message());
    }

    /// Starts a comparison with a random member.
    pub fn compare_with_random_member(
        &self,
        members: &Membership,
        random: &mut fastrand::Rng,
        outbox: &mut Outbox,
    ) {
        for target in members.random_live(1, None, random) {
            outbox.send(target, self.buckets_message());
        }
    }

    fn buckets_message(&self) -> Body {
        let hashes = self.store.bucket_hashes();
        Body::ConfigBuckets(ConfigBuckets {
            hashes: hashes.iter().map(|hash| hash.0).collect(),
        })
    }

    /// Answers a comparison with the versions of every bucket that differs.
    pub fn on_buckets(&self, from: SocketAddr, buckets: &ConfigBuckets, outbox: &mut Outbox) {
        if buckets.hashes.len() != DIGEST_BUCKETS {
            return;
        }
        let own = self.store.bucket_hashes();
        let mut versions = ConfigVersions::default();
        for (bucket, hash) in buckets.hashes.iter().enumerate() {
            if own[bucket].0 == *hash {
                continue;
            }
            versions.buckets.push(bucket as u32);
            for (key, version) in self.store.bucket_versions(bucket) {
                versions.keys.push(key.0);
                versions.versions.push(version.0);
            }
        }
        if !versions.buckets.is_empty() {
            outbox.send(from, Body::ConfigVersions(versions));
        }
    }

    /// Pulls records that are newer on the other side and pushes those that it
    /// lacks or has in an older version.
    pub fn on_versions(&self, from: SocketAddr, theirs: &ConfigVersions, outbox: &mut Outbox) {
        let mut pull = ConfigPull::default();
        let mut push = ConfigPush::default();
        let pairs = theirs.keys.iter().zip(&theirs.versions);
        let mut their_keys = std::collections::HashSet::new();
        for (key, version) in pairs {
            their_keys.insert(*key);
            let own = self.store.record(KeyHash(*key));
            let own_version = own.map_or(0, |record| record.version.0);
            if own_version < *version {
                pull.keys.push(*key);
            } else if let Some(record) = own.filter(|record| record.version.0 > *version) {
                push.records.push(to_message(record));
            }
        }
        for bucket in &theirs.buckets {
            for (key, _) in self.store.bucket_versions(*bucket as usize) {
                if !their_keys.contains(&key.0) {
                    push.records.extend(self.store.record(key).map(to_message));
                }
            }
        }
        if !pull.keys.is_empty() {
            outbox.send(from, Body::ConfigPull(pull));
        }
        send_in_parts(from, push.records, outbox);
    }

    /// Answers a pull.
    pub fn on_pull(&self, from: SocketAddr, pull: &ConfigPull, outbox: &mut Outbox) {
        let keys = pull.keys.iter();
        let records = keys.filter_map(|key| self.store.record(KeyHash(*key)));
        send_in_parts(from, records.map(to_message).collect(), outbox);
    }
}

/// Maximum number of records in one message; more are split over several.
const RECORDS_PER_MESSAGE: usize = 1_000;

fn send_in_parts(to: SocketAddr, records: Vec<ObjectRecord>, outbox: &mut Outbox) {
    for part in records.chunks(RECORDS_PER_MESSAGE) {
        let push = ConfigPush {
            records: part.to_vec(),
            hops: 0,
        };
        outbox.send(to, Body::ConfigPush(push));
    }
}

fn to_message(record: &Record) -> ObjectRecord {
    let content = record.content.as_ref();
    ObjectRecord {
        kind: record.key.kind.plural().to_owned(),
        name: record.key.name.clone(),
        version: record.version.0,
        content: content.map_or_else(Vec::new, |object| {
            serde_json::to_vec(object.as_ref()).unwrap_or_default()
        }),
    }
}

fn from_message(message: &ObjectRecord) -> Option<Record> {
    let key = ObjectKey {
        kind: Kind::parse(&message.kind)?,
        name: message.name.clone(),
    };
    let version = ResourceVersion(message.version);
    if message.content.is_empty() {
        return Some(Record::deleted(key, version));
    }
    let object: Object = serde_json::from_slice(&message.content).ok()?;
    let fits = object.key() == key && object.metadata.resource_version == version;
    fits.then(|| Record::stored(object))
}
