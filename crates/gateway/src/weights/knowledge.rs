//! Which weights are the newest: a watch of the store tells at once, calls of the store
//! prove it again and again, and other nodes tell what they know.
//!
//! A watch alone proves nothing: one that was opened while the store's watches hear
//! nothing stays silent until it ends. So a call that answers at once renews the proof
//! while it is young. The nodes take turns, and each tells the others, so one call
//! serves all of them.

use crate::leases::succession::succession_rank;
use crate::peers::roles::{are_engines_told, role, waits_for_store_alone, Role};
use crate::ports::{StoreKind, StoreObject};
use crate::state::Gateway;
use crate::store::backoff::Backoff;
use crate::store::feed::{Feed, EVERY_REVISION};
use crate::time::sleep;
use ploverlift_balancing::peer_loads::PeerId;
use ploverlift_balancing::weights::{ListedVersions, WeightsNews};
use ploverlift_policy::ids::Millis;
use std::sync::Arc;

/// Part of the time for which a proof is relied on after which it is renewed. What is
/// left is enough for all engines to load once a version is named (4 of 6 s where weights
/// must be in use within 8 s).
const RENEWED_AFTER_SHARE: f64 = 0.25;
/// The same for a node that is told by relays: they have failed to renew it by then.
const READ_ANYWAY_AFTER_SHARE: f64 = 0.6;
/// Time between the turns of two nodes, in milliseconds. A proof that is told seems older
/// by up to the time between two reports of the node that is told (250 ms), and is told a
/// call later; the next node must not renew it for that.
const TURN_MS: u64 = 400;
/// Turns; nodes beyond them take the last one.
const TURNS: u64 = 4;
/// Time after its start from which a node that has no proof asks for one, in milliseconds:
/// its first list or the others have told it before.
const FIRST_PROOF_MS: u64 = 1_000;
/// Longest time between two looks at the age of the proof, in milliseconds.
const LOOK_PERIOD_MS: u64 = 200;
/// Shortest time between two looks, in milliseconds.
const SHORTEST_LOOK_MS: u64 = 5;

/// Where a version was heard of.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NewsOrigin {
    /// This node's watch of the store, or its list before the watch.
    Watch,
    /// This node's call that renewed the proof.
    Renewal,
    /// The report of another node.
    Node,
    /// The report of a relay.
    Relay,
}

impl NewsOrigin {
    /// Its name in logs.
    fn name(self) -> &'static str {
        match self {
            NewsOrigin::Watch => "watch",
            NewsOrigin::Renewal => "renewal",
            NewsOrigin::Node => "node",
            NewsOrigin::Relay => "relay",
        }
    }
}

/// A version as it stands in the store.
struct StoredVersion {
    model: String,
    version: u64,
    revision: u64,
}

/// Follows the named weights until the task is dropped.
pub async fn follow_weights(gateway: Arc<Gateway>) {
    let mut feed = Feed::new(Arc::clone(&gateway), StoreKind::Weights);
    let mut backoff = Backoff::new();
    loop {
        let (objects, mut revision, sent) = feed.list(&mut backoff).await;
        take_list(&gateway, &objects, sent, NewsOrigin::Watch);
        if revision == EVERY_REVISION {
            // A store without the kind has nothing to watch; renewals show when it has.
            sleep(gateway.settings().store.other_watch_ms).await;
            continue;
        }
        while let Some((events, next, _)) = feed.changes(revision, &mut backoff).await {
            for event in events.iter().filter(|event| !event.is_gone) {
                take_change(&gateway, &event.object);
            }
            revision = next;
        }
    }
}

/// Renews the proof of which weights are the newest, in turns with the other nodes, until
/// the task is dropped.
pub async fn renew_proof(gateway: Arc<Gateway>) {
    let mut feed = Feed::new(Arc::clone(&gateway), StoreKind::Weights);
    let mut backoff = Backoff::new();
    loop {
        wait_until_due(&gateway).await;
        let sent = gateway.clock.now();
        match feed.list_once(&mut backoff).await {
            Some((objects, _)) => take_list(&gateway, &objects, sent, NewsOrigin::Renewal),
            None => feed.pause(&mut backoff).await,
        }
    }
}

async fn wait_until_due(gateway: &Gateway) {
    loop {
        let left_ms = due_in_ms(gateway, gateway.clock.now());
        if left_ms == 0 {
            return;
        }
        sleep(left_ms.clamp(SHORTEST_LOOK_MS, LOOK_PERIOD_MS)).await;
    }
}

/// Time until this node should renew the proof, in milliseconds.
fn due_in_ms(gateway: &Gateway, now: Millis) -> u64 {
    if waits_for_store_alone(gateway) {
        return LOOK_PERIOD_MS;
    }
    let Some(age_ms) = gateway.beliefs().weights.proof_age_ms(now) else {
        return gateway.started_at.plus(FIRST_PROOF_MS).since(now);
    };
    let is_told = role(gateway, now) == Role::Follower && are_engines_told(gateway);
    let share = match is_told {
        true => READ_ANYWAY_AFTER_SHARE,
        false => RENEWED_AFTER_SHARE,
    };
    (relied_on_ms(gateway, share) + turn_ms(gateway)).saturating_sub(age_ms)
}

/// Time by which this node leaves the renewal to the ones before it, in milliseconds.
/// Those that follow relays are spread: there are many of them.
fn turn_ms(gateway: &Gateway) -> u64 {
    match succession_rank(gateway) {
        Some(position) => position.min(TURNS) * TURN_MS,
        None => PeerId::of(&gateway.settings().node.name).0 % (TURNS * TURN_MS),
    }
}

/// A part of the time for which a proof is relied on, in milliseconds.
fn relied_on_ms(gateway: &Gateway, share: f64) -> u64 {
    let margin_ms = gateway.settings().weights.margin_ms;
    let limit_ms = gateway.weights_bounds(margin_ms).avoid_after_ms;
    (limit_ms as f64 * share) as u64
}

/// How late this node may learn of a version while some node renews the proof, in
/// milliseconds: whoever learns of it later takes it to have been named by then.
pub fn latest_news_ms(gateway: &Gateway) -> u64 {
    relied_on_ms(gateway, RENEWED_AFTER_SHARE) + TURNS * TURN_MS
}

/// Takes in what another node tells. Ages count from `sent`, as for
/// [`ploverlift_balancing::weights::NamedWeights::hear`].
pub fn hear_weights(
    gateway: &Gateway,
    news: &WeightsNews,
    sent: Option<Millis>,
    origin: NewsOrigin,
) {
    let now = gateway.clock.now();
    let named = gateway.beliefs().weights.apply_reported(news, sent, now);
    for told in &named {
        note_named(gateway, &told.model, told.version, None, origin);
    }
}

/// A call that was sent at `sent` told the newest version of every model.
fn take_list(gateway: &Gateway, objects: &[StoreObject], sent: Millis, origin: NewsOrigin) {
    let versions = objects.iter().filter_map(|object| read(gateway, object));
    let versions: Vec<StoredVersion> = versions.collect();
    for stored in &versions {
        name(gateway, stored, origin);
    }
    let newest = versions.iter();
    let newest = newest.map(|stored| (stored.model.as_str(), stored.version));
    let listed = ListedVersions {
        versions: newest.collect(),
        is_complete: versions.len() == objects.len(),
    };
    let now = gateway.clock.now();
    gateway.beliefs().weights.note_listed(&listed, sent, now);
    // The others need not ask for it.
    gateway.weights_report_due.notify(usize::MAX);
}

fn take_change(gateway: &Gateway, object: &StoreObject) {
    if let Some(stored) = read(gateway, object) {
        name(gateway, &stored, NewsOrigin::Watch);
    }
}

fn read(gateway: &Gateway, object: &StoreObject) -> Option<StoredVersion> {
    match gateway.site.named_version(object) {
        Ok(named) => Some(StoredVersion {
            model: named.model,
            version: named.version,
            revision: object.revision,
        }),
        Err(error) => {
            slog::warn!(gateway.log, "named weights do not fit";
                "name" => &object.name, "error" => error.to_string());
            None
        }
    }
}

fn name(gateway: &Gateway, stored: &StoredVersion, origin: NewsOrigin) {
    let now = gateway.clock.now();
    let (model, version) = (&stored.model, stored.version);
    if gateway.beliefs().weights.note_version(model, version, now) {
        note_named(gateway, model, version, Some(stored.revision), origin);
    }
}

/// Logs a version that is news, and tells those who wait for it.
fn note_named(
    gateway: &Gateway,
    model: &str,
    version: u64,
    revision: Option<u64>,
    origin: NewsOrigin,
) {
    let now = gateway.clock.now();
    let proof_age_ms = gateway.beliefs().weights.proof_age_ms(now);
    slog::info!(gateway.log, "weights named";
        "model" => model, "version" => version, "revision" => revision,
        "origin" => origin.name(),
        "proof_age_ms" => proof_age_ms);
    gateway.weights_named.notify(usize::MAX);
    gateway.weights_report_due.notify(usize::MAX);
    if origin != NewsOrigin::Watch {
        gateway.weights_missed.notify(usize::MAX);
    }
}
