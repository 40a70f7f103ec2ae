//! Tracking of the newest weights: a watch of the store reports changes at once, periodic
//! calls of the store prove which versions are the newest, and other nodes report what they
//! know.
//!
//! A watch alone proves nothing: one that was opened while the store delivers no events
//! reports nothing until it ends. Therefore a call that is answered at once renews the proof
//! well before it expires. The nodes take turns and report the result to each other, so one
//! call serves all of them.

use crate::leases::succession::succession_rank;
use crate::peers::roles::{are_engines_relayed, awaits_store_recovery, role, Role};
use crate::ports::{StoreKind, StoreObject};
use crate::state::Gateway;
use crate::store::backoff::Backoff;
use crate::store::feed::{Feed, EVERY_REVISION};
use crate::store::rejected_entries::note_rejected;
use crate::time::sleep;
use ploverlift_balancing::peer_loads::PeerId;
use ploverlift_balancing::weights::{ListedVersions, WeightsNews};
use ploverlift_policy::ids::Millis;
use std::sync::Arc;

/// Share of the lifetime of a proof after which it is renewed. The rest is enough for all
/// engines to load once a version is named (4 of 6 s where weights must be in use within
/// 8 s).
const RENEW_AFTER_SHARE: f64 = 0.25;
/// The same for a follower of relays: by then the relays have failed to renew the proof.
const FOLLOWER_RENEW_AFTER_SHARE: f64 = 0.6;
/// Time between the turns of two nodes, in milliseconds. A reported proof seems older by up
/// to the report period of the receiving node (250 ms), and arrives one call later; the next
/// node must not renew the proof because of this.
const TURN_MS: u64 = 400;
/// Number of turns; all further nodes share the last one.
const MAX_TURNS: u64 = 4;
/// Time after its start from which a node without a proof requests one, in milliseconds:
/// usually its first list or the other nodes have provided one before.
const FIRST_PROOF_MS: u64 = 1_000;
/// Maximum period of checks of the age of the proof, in milliseconds.
const CHECK_PERIOD_MS: u64 = 200;
/// Minimum period of these checks, in milliseconds.
const MIN_CHECK_PERIOD_MS: u64 = 5;

/// Where this node learned of a version.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum VersionSource {
    /// This node's watch of the store, or the list before the watch.
    Watch,
    /// This node's call to renew the proof.
    Renewal,
    /// The report of another node.
    Node,
    /// The report of a relay.
    Relay,
}

impl VersionSource {
    /// The name used in logs.
    fn name(self) -> &'static str {
        match self {
            VersionSource::Watch => "watch",
            VersionSource::Renewal => "renewal",
            VersionSource::Node => "node",
            VersionSource::Relay => "relay",
        }
    }
}

/// A version as stored.
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
        let (objects, mut revision, sent_at) = feed.list(&mut backoff).await;
        apply_list(&gateway, &objects, sent_at, VersionSource::Watch);
        if revision == EVERY_REVISION {
            // A store that does not support the kind has nothing to watch; a renewal of the
            // proof shows when it does.
            sleep(gateway.settings().store.other_watch_ms).await;
            continue;
        }
        while let Some((events, next, _)) = feed.changes(revision, &mut backoff).await {
            for event in events.iter().filter(|event| !event.is_gone) {
                apply_change(&gateway, &event.object);
            }
            revision = next;
        }
    }
}

/// Renews the proof of the newest weights, in turns with the other nodes, until the task is
/// dropped.
pub async fn renew_proof(gateway: Arc<Gateway>) {
    let mut feed = Feed::new(Arc::clone(&gateway), StoreKind::Weights);
    let mut backoff = Backoff::new();
    loop {
        wait_until_due(&gateway).await;
        let sent_at = gateway.clock.now();
        match feed.list_once(&mut backoff).await {
            Some((objects, _)) => apply_list(&gateway, &objects, sent_at, VersionSource::Renewal),
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
        sleep(left_ms.clamp(MIN_CHECK_PERIOD_MS, CHECK_PERIOD_MS)).await;
    }
}

/// Time until this node has to renew the proof, in milliseconds.
fn due_in_ms(gateway: &Gateway, now: Millis) -> u64 {
    if awaits_store_recovery(gateway) {
        return CHECK_PERIOD_MS;
    }
    let Some(age_ms) = gateway.beliefs().weights.proof_age_ms(now) else {
        return gateway.started_at.plus(FIRST_PROOF_MS).since(now);
    };
    let is_covered = role(gateway, now) == Role::Follower && are_engines_relayed(gateway);
    let share = match is_covered {
        true => FOLLOWER_RENEW_AFTER_SHARE,
        false => RENEW_AFTER_SHARE,
    };
    (proof_lifetime_ms(gateway, share) + turn_delay_ms(gateway)).saturating_sub(age_ms)
}

/// Delay of this node's renewal compared with the first node's, in milliseconds. Followers
/// of relays are spread by their ids, because there are many of them.
fn turn_delay_ms(gateway: &Gateway) -> u64 {
    match succession_rank(gateway) {
        Some(position) => position.min(MAX_TURNS) * TURN_MS,
        None => PeerId::of(&gateway.settings().node.name).0 % (MAX_TURNS * TURN_MS),
    }
}

/// A share of the time for which a proof is valid, in milliseconds.
fn proof_lifetime_ms(gateway: &Gateway, share: f64) -> u64 {
    let margin_ms = gateway.settings().weights.margin_ms;
    let limit_ms = gateway.weights_bounds(margin_ms).avoid_after_ms;
    (limit_ms as f64 * share) as u64
}

/// Maximum delay with which this node learns of a version while some node renews the proof,
/// in milliseconds. A node that learns of a version later assumes that it was named by then.
pub fn max_report_delay_ms(gateway: &Gateway) -> u64 {
    proof_lifetime_ms(gateway, RENEW_AFTER_SHARE) + MAX_TURNS * TURN_MS
}

/// Applies the report of another node. Ages count from `sent_at`, as for
/// [`ploverlift_balancing::weights::NamedWeights::apply_reported`].
pub fn apply_weights_report(
    gateway: &Gateway,
    report: &WeightsNews,
    sent_at: Option<Millis>,
    origin: VersionSource,
) {
    let now = gateway.clock.now();
    let named = gateway
        .beliefs()
        .weights
        .apply_reported(report, sent_at, now);
    for newer in &named {
        announce_version(gateway, &newer.model, newer.version, None, origin);
    }
}

/// Applies a list of the newest version of every model, from a call sent at `sent_at`.
fn apply_list(gateway: &Gateway, objects: &[StoreObject], sent_at: Millis, origin: VersionSource) {
    let versions = objects
        .iter()
        .filter_map(|object| read_version(gateway, object));
    let versions: Vec<StoredVersion> = versions.collect();
    for stored in &versions {
        record_version(gateway, stored, origin);
    }
    let newest = versions.iter();
    let newest = newest.map(|stored| (stored.model.as_str(), stored.version));
    let listed = ListedVersions {
        versions: newest.collect(),
        is_complete: versions.len() == objects.len(),
    };
    let now = gateway.clock.now();
    gateway.beliefs().weights.note_listed(&listed, sent_at, now);
    // Other nodes then need not renew the proof.
    gateway.weights_report_due.notify(usize::MAX);
}

fn apply_change(gateway: &Gateway, object: &StoreObject) {
    if let Some(stored) = read_version(gateway, object) {
        record_version(gateway, &stored, VersionSource::Watch);
    }
}

fn read_version(gateway: &Gateway, object: &StoreObject) -> Option<StoredVersion> {
    match gateway.site.named_version(object) {
        Ok(named) => Some(StoredVersion {
            model: named.model,
            version: named.version,
            revision: object.revision,
        }),
        Err(invalid) => {
            note_rejected(gateway, StoreKind::Weights, &invalid);
            None
        }
    }
}

fn record_version(gateway: &Gateway, stored: &StoredVersion, origin: VersionSource) {
    let now = gateway.clock.now();
    let (model, version) = (&stored.model, stored.version);
    if gateway.beliefs().weights.note_version(model, version, now) {
        announce_version(gateway, model, version, Some(stored.revision), origin);
    }
}

/// Logs a new version and notifies the tasks that wait for it.
fn announce_version(
    gateway: &Gateway,
    model: &str,
    version: u64,
    revision: Option<u64>,
    origin: VersionSource,
) {
    let now = gateway.clock.now();
    let proof_age_ms = gateway.beliefs().weights.proof_age_ms(now);
    slog::info!(gateway.log, "weights named";
        "model" => model, "version" => version, "revision" => revision,
        "origin" => origin.name(),
        "proof_age_ms" => proof_age_ms);
    gateway.weights_named.notify(usize::MAX);
    gateway.weights_report_due.notify(usize::MAX);
    if origin != VersionSource::Watch {
        gateway.weights_watch_lagged.notify(usize::MAX);
    }
}
