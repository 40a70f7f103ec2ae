//! Copies of what is stored: a list, then every change, for one kind each.
//!
//! The watch of the configuration waits briefly, because its answer proves that
//! the configuration is the newest; it also notices first when the store is
//! lost or back. The other watches wait long and are begun anew when the store
//! is back. A node that relies on readers ([`crate::peers::readers`]) waits long
//! for the configuration too, until its proof grows old.

use super::lapsed::{remove_engine, replace_engines};
use super::StoreClient;
use crate::peers::readers::{has_stale_proof, reads_for_others, relies_on_readers};
use crate::ports::{StoreCall, StoreError, StoreKind, StoreObject, StoreReply, WatchEvent};
use crate::state::Gateway;
use crate::time::{sleep, within};
use ploverlift_balancing::catalogue::InstanceId;
use ploverlift_policy::ids::Millis;
use std::sync::Arc;

/// First pause after a failed call, in milliseconds.
const FIRST_PAUSE_MS: u64 = 60;
/// Longest pause after failed calls, in milliseconds.
const LONGEST_PAUSE_MS: u64 = 250;
/// Pause between two changes of engines, in milliseconds: engines change in
/// groups, and each answer of a watch is a call.
const GATHER_MS: u64 = 800;
/// The same at a node that other nodes tell of changes, in milliseconds. It may
/// miss what it is told, so it must read by itself within the time in which a
/// leaving engine may still get requests (2 s on the tightest site known): what it
/// reads repairs what it was not told.
pub const RELYING_GATHER_MS: u64 = 1_300;
/// Time between two looks at the age of a proof, in milliseconds.
const PROOF_LOOK_MS: u64 = 200;

/// Pauses between failed calls: doubled each time and jittered, so that nodes
/// which lost the store together do not come back together.
struct Backoff {
    pause_ms: u64,
}

impl Backoff {
    fn new() -> Self {
        Self {
            pause_ms: FIRST_PAUSE_MS,
        }
    }

    fn reset(&mut self) {
        self.pause_ms = FIRST_PAUSE_MS;
    }

    async fn wait(&mut self) {
        let jittered = self.pause_ms / 2 + fastrand::u64(0..=self.pause_ms / 2);
        sleep(jittered).await;
        self.pause_ms = (self.pause_ms * 2).min(LONGEST_PAUSE_MS);
    }
}

/// How a watch ended.
enum WatchEnd {
    Answered(StoreReply),
    /// It was given up: its answer would come too late.
    Abandoned,
}

/// Waits until the proof that the configuration is the newest has grown old, or
/// another node has a newer one.
async fn wait_for_stale_proof(gateway: &Gateway) {
    while !has_stale_proof(gateway, gateway.clock.now()) {
        let outdated = gateway.configuration_outdated.listen();
        if within(PROOF_LOOK_MS, outdated).await.is_some() {
            return;
        }
    }
}

/// One copy.
struct Feed {
    gateway: Arc<Gateway>,
    client: StoreClient,
    kind: StoreKind,
    is_lost: bool,
}

impl Feed {
    fn new(gateway: Arc<Gateway>, kind: StoreKind) -> Self {
        Self {
            client: StoreClient::new(&gateway),
            gateway,
            kind,
            is_lost: false,
        }
    }

    /// Reads all objects, however long the store is away.
    async fn list(&mut self, backoff: &mut Backoff) -> (Vec<StoreObject>, u64, Millis) {
        loop {
            let sent = self.gateway.clock.now();
            match self.client.list(self.kind).await {
                Ok((objects, revision)) => {
                    self.note_reached();
                    backoff.reset();
                    return (objects, revision, sent);
                }
                Err(error) => {
                    self.note_lost(&error);
                    backoff.wait().await;
                }
            }
        }
    }

    /// Waits for changes after a revision; nothing when a list must come first.
    async fn changes(
        &mut self,
        revision: u64,
        backoff: &mut Backoff,
    ) -> Option<(Vec<WatchEvent>, u64, Millis)> {
        loop {
            let sent = self.gateway.clock.now();
            match self.watch(revision).await {
                Ok(WatchEnd::Abandoned) => {
                    self.client.reset();
                    if self.kind == StoreKind::Configuration {
                        return None;
                    }
                }
                Ok(WatchEnd::Answered(StoreReply::Changes { events, revision })) => {
                    self.note_reached();
                    backoff.reset();
                    return Some((events, revision, sent));
                }
                Ok(WatchEnd::Answered(_)) => return None,
                Err(StoreError::HistoryGone) => {
                    slog::info!(self.gateway.log, "history gone"; "kind" => self.kind_name());
                    return None;
                }
                Err(error) => {
                    self.note_lost(&error);
                    backoff.wait().await;
                    if self.kind == StoreKind::Configuration {
                        // A list answers at once: it proves sooner than a watch,
                        // which waits for a change, that keys may be accepted.
                        return None;
                    }
                }
            }
        }
    }

    async fn watch(&mut self, revision: u64) -> Result<WatchEnd, StoreError> {
        let store = &self.gateway.settings().store;
        let is_probe = self.kind == StoreKind::Configuration;
        let relies_on_readers = relies_on_readers(&self.gateway);
        let wait_ms = match is_probe && !relies_on_readers {
            // A proof ages on its way to those who rely on it.
            true if reads_for_others(&self.gateway) => store.configuration_watch_ms / 2,
            true => store.configuration_watch_ms,
            false => store.other_watch_ms,
        };
        let call = StoreCall::Watch {
            kind: self.kind,
            revision,
            wait_ms,
        };
        let gateway = Arc::clone(&self.gateway);
        let watching = async {
            let answered = self.client.call(&call).await;
            answered.map(WatchEnd::Answered)
        };
        let abandoning = async {
            match is_probe {
                true if relies_on_readers => wait_for_stale_proof(&gateway).await,
                true => std::future::pending().await,
                false => gateway.store_recovered.listen().await,
            }
            Ok(WatchEnd::Abandoned)
        };
        futures_lite::future::or(watching, abandoning).await
    }

    fn kind_name(&self) -> String {
        format!("{:?}", self.kind).to_lowercase()
    }

    fn note_reached(&mut self) {
        if !std::mem::take(&mut self.is_lost) {
            return;
        }
        slog::info!(self.gateway.log, "store regained"; "kind" => self.kind_name());
        let now = self.gateway.clock.now();
        self.gateway.beliefs().store_returned_at = Some(now);
        if self.kind == StoreKind::Configuration {
            self.gateway.store_recovered.notify(usize::MAX);
        }
    }

    fn note_lost(&mut self, error: &StoreError) {
        self.client.reset();
        if self.kind == StoreKind::Configuration {
            let now = self.gateway.clock.now();
            self.gateway.beliefs().weights.on_store_trouble(now);
        }
        if !std::mem::replace(&mut self.is_lost, true) {
            slog::warn!(self.gateway.log, "store lost";
                "kind" => self.kind_name(), "error" => error.to_string());
        }
    }
}

/// Follows the configuration until the task is dropped.
pub async fn follow_configuration(gateway: Arc<Gateway>) {
    let mut feed = Feed::new(Arc::clone(&gateway), StoreKind::Configuration);
    let mut backoff = Backoff::new();
    loop {
        let (objects, mut revision, sent) = feed.list(&mut backoff).await;
        for object in &objects {
            take_configuration(&gateway, object);
        }
        gateway.beliefs().freshness.prove(sent);
        while let Some((events, next, sent)) = feed.changes(revision, &mut backoff).await {
            let objects = events.iter().map(|event| &event.object);
            objects.for_each(|object| take_configuration(&gateway, object));
            gateway.beliefs().freshness.prove(sent);
            revision = next;
        }
    }
}

fn take_configuration(gateway: &Gateway, object: &StoreObject) {
    let document = match gateway.site.configuration(object) {
        Ok(document) => document,
        Err(error) => {
            slog::warn!(gateway.log, "configuration does not fit";
                "revision" => object.revision, "error" => error.to_string());
            return;
        }
    };
    let version = document.version;
    if gateway.beliefs().take_configuration(document) {
        let gauge = i64::try_from(version).unwrap_or(i64::MAX);
        gateway.metrics.configuration_version.set(gauge);
        slog::info!(gateway.log, "configuration in force";
            "version" => version, "revision" => object.revision);
    }
}

/// Follows the engines until the task is dropped.
pub async fn follow_engines(gateway: Arc<Gateway>) {
    let mut feed = Feed::new(Arc::clone(&gateway), StoreKind::Engines);
    let mut backoff = Backoff::new();
    loop {
        let (objects, mut revision, _) = feed.list(&mut backoff).await;
        take_list_of_engines(&gateway, &objects, revision);
        while let Some((events, next, _)) = feed.changes(revision, &mut backoff).await {
            let has_events = !events.is_empty();
            for event in events {
                take_engine(&gateway, &event);
                // When too many wait, the others read this one by themselves.
                let _ = gateway.catalogue_changes.0.try_send(event);
            }
            let count = gateway.beliefs().engines.len();
            gateway.metrics.engines.set(count as i64);
            revision = next;
            if has_events {
                sleep(match relies_on_readers(&gateway) {
                    true => RELYING_GATHER_MS,
                    false => GATHER_MS,
                })
                .await;
            }
        }
    }
}

fn take_list_of_engines(gateway: &Arc<Gateway>, objects: &[StoreObject], revision: u64) {
    let read = objects.iter().map(|object| gateway.site.engine(object));
    let mut records = Vec::new();
    for result in read {
        match result {
            Ok(record) => records.push(record),
            Err(error) => {
                slog::warn!(gateway.log, "engine does not fit"; "error" => error.to_string());
            }
        }
    }
    let count = records.len();
    replace_engines(gateway, records, revision);
    gateway.metrics.engines.set(count as i64);
    slog::info!(gateway.log, "engines listed"; "count" => count);
}

/// Takes in a change of an engine, from the store or from another node.
pub fn take_engine(gateway: &Arc<Gateway>, event: &WatchEvent) {
    let object = &event.object;
    if event.is_gone {
        let instance = InstanceId(object.name.clone());
        if remove_engine(gateway, instance, object.revision) {
            slog::info!(gateway.log, "engine gone";
                "engine" => &object.name, "revision" => object.revision);
        }
        return;
    }
    match gateway.site.engine(object) {
        Ok(record) => {
            let service = record.service.0.clone();
            let is_leaving = record.is_leaving;
            let weights = format!("{:?}", record.weights);
            if gateway.beliefs().engines.upsert(record) {
                slog::info!(gateway.log, "engine changed";
                    "engine" => &object.name,
                    "service" => service,
                    "leaving" => is_leaving,
                    "weights" => weights,
                    "revision" => object.revision);
            }
        }
        Err(error) => {
            slog::warn!(gateway.log, "engine does not fit"; "error" => error.to_string());
        }
    }
}

/// Follows the named weights until the task is dropped.
pub async fn follow_weights(gateway: Arc<Gateway>) {
    let mut feed = Feed::new(Arc::clone(&gateway), StoreKind::Weights);
    let mut backoff = Backoff::new();
    let mut is_start = true;
    loop {
        let (objects, mut revision, _) = feed.list(&mut backoff).await;
        for object in &objects {
            take_weights(&gateway, object, is_start);
        }
        is_start = false;
        while let Some((events, next, _)) = feed.changes(revision, &mut backoff).await {
            let objects = events.iter().map(|event| &event.object);
            objects.for_each(|object| take_weights(&gateway, object, false));
            revision = next;
        }
    }
}

fn take_weights(gateway: &Gateway, object: &StoreObject, is_start: bool) {
    match gateway.site.named_version(object) {
        Ok(named) => {
            let now = gateway.clock.now();
            let weights = &mut gateway.beliefs().weights;
            let is_new = match is_start {
                true => weights.name_from_start(&named.model, named.version, now),
                false => weights.name(&named.model, named.version, now),
            };
            if is_new {
                slog::info!(gateway.log, "weights named";
                    "model" => &named.model, "version" => named.version,
                    "revision" => object.revision);
                gateway.weights_named.notify(usize::MAX);
            }
        }
        Err(error) => {
            slog::warn!(gateway.log, "named weights do not fit"; "error" => error.to_string());
        }
    }
}
