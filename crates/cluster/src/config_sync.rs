//! Spreads configuration between nodes: a change is pushed to a few members at
//! once and handed on by each node that had not seen it; what a push missed is
//! found by comparing digests on probes and mended by difference.

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

/// Members to which news is pushed by every node that learns it.
pub const PUSH_FANOUT: usize = 4;
/// More records than this at once are not news but catching up, and not handed on.
const MAX_PUSHED_CHANGES: usize = 32;
/// A digest is compared only when the own store was quiet for so long, in
/// milliseconds: before, the difference is most likely news under way.
const QUIET_MS: u64 = 200;
/// Shortest time between two comparisons that this node begins, in milliseconds.
const COMPARE_PERIOD_MS: u64 = 250;

/// One node's side of the spreading.
#[derive(Debug, Default)]
pub struct ConfigSync {
    /// All objects.
    pub store: ConfigStore,
    changed_at: Millis,
    compared_at: Option<Millis>,
    changed_records: Vec<Record>,
}

impl ConfigSync {
    /// Takes the records that changed since the last call.
    pub fn take_changed_records(&mut self) -> Vec<Record> {
        std::mem::take(&mut self.changed_records)
    }

    /// Takes in records from the object API or an operator and pushes the news.
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

    /// Takes in a complete list of one kind from the object API.
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

    /// Takes in pushed records and hands on what is news.
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

    /// Compares with a member whose digest came with a probe.
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

    /// Compares at once with the member that answered a join: in a herd of
    /// restarts it may be the only one that knows.
    pub fn compare_with(&self, from: SocketAddr, outbox: &mut Outbox) {
        outbox.send(from, self.buckets_message());
    }

    /// Compares with a random member.
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

    /// Pulls what the other side has newer and pushes what it lacks.
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

/// Records on one message; more go on several.
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
