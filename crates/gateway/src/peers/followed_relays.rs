//! The last known state of each relay, and how far this node has applied its changes of the
//! engines.

use super::relay_messages::{EngineChange, RelayReport};
use ploverlift_balancing::peer_loads::PeerId;
use ploverlift_balancing::relayed_loads::RELAY_SILENCE_MS;
use ploverlift_policy::ids::Millis;
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// Time for which a node may miss a change of the engines before it reads them from the
/// store, in milliseconds: enough for two requests to a relay.
const MAX_BEHIND_MS: u64 = 600;
/// Time after which a missed change is requested, in milliseconds: the next two reports
/// repeat it.
const REQUEST_DELAY_MS: u64 = 220;
/// Time for which no relay is relied on after requests failed, in milliseconds.
const DISTRUST_MS: u64 = 2_000;

/// Maximum wait for the answer of a relay, in milliseconds: 200 nodes of a zone share two
/// relays, whose links need 4 s to send a list of 10,000 engines to all of them.
pub const MAX_FETCH_MS: u64 = 10_000;

/// The last known state of one relay.
#[derive(Clone, Copy, Debug)]
struct FollowedRelay {
    address: SocketAddr,
    life: u64,
    heard_at: Millis,
    /// Latest time at which the relay is proven to have known all engines.
    engines_known_at: Option<Millis>,
    configuration: Option<u64>,
    changes_through: u64,
}

impl FollowedRelay {
    fn is_live(&self, now: Millis) -> bool {
        now.since(self.heard_at) < RELAY_SILENCE_MS
    }
}

/// How far the changes of one relay were applied.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CatalogueCursor {
    /// The relay.
    pub relay: PeerId,
    /// Its incarnation.
    pub life: u64,
    /// Number of the last applied change.
    pub through: u64,
}

/// What this node has to request from a relay.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SnapshotNeed {
    /// The relay to ask.
    pub relay: PeerId,
    /// Its address.
    pub address: SocketAddr,
    /// Whether the engines are requested; otherwise only the configuration.
    pub wants_engines: bool,
}

/// The relays from which this node receives reports.
#[derive(Clone, Debug, Default)]
pub struct FollowedRelays {
    relays: BTreeMap<PeerId, FollowedRelay>,
    cursor: Option<CatalogueCursor>,
    behind_since: Option<Millis>,
    distrusted_until: Option<Millis>,
    fetching_since: Option<Millis>,
}

impl FollowedRelays {
    /// Records a report of a relay. `answers_sent_at` is when this node sent the newest of
    /// its reports that the relay had applied: the data of the relay is at most as old as
    /// that time plus the age that it reports.
    pub fn note_report(
        &mut self,
        report: &RelayReport,
        address: SocketAddr,
        answers_sent_at: Option<Millis>,
        now: Millis,
    ) {
        let known_at =
            |age_ms: u64| answers_sent_at.map(|sent| Millis(sent.0 - age_ms.min(sent.0)));
        let engines_known_at = report.engines_age_ms.and_then(known_at);
        let life = report.loads.life;
        let before = self.relays.get(&report.loads.sender);
        let before = before.filter(|relay| relay.life == life);
        let known_before = before.and_then(|relay| relay.engines_known_at);
        let through_before = before.map_or(0, |relay| relay.changes_through);
        let relay = FollowedRelay {
            address,
            life,
            heard_at: now,
            engines_known_at: engines_known_at.max(known_before),
            configuration: report.configuration,
            // Reports may arrive out of order.
            changes_through: report.changes_through.max(through_before),
        };
        let is_other_incarnation =
            |cursor: CatalogueCursor| cursor.relay == report.loads.sender && cursor.life != life;
        if self.cursor.is_some_and(is_other_incarnation) {
            // What the current incarnation knows proves nothing about the reports of the
            // former one.
            self.behind_since.get_or_insert(now);
        }
        self.relays.insert(report.loads.sender, relay);
        self.relays.retain(|_, relay| relay.is_live(now));
    }

    /// The changes of a report that this node has not applied yet; empty when another relay
    /// is followed or earlier changes are missing.
    pub fn next_changes<'a>(&mut self, report: &'a RelayReport) -> &'a [EngineChange] {
        let Some(cursor) = &mut self.cursor else {
            return &[];
        };
        let is_followed = cursor.relay == report.loads.sender && cursor.life == report.loads.life;
        let is_next = cursor.through >= report.changes_after;
        if !is_followed || !is_next || cursor.through >= report.changes_through {
            return &[];
        }
        let known = (cursor.through - report.changes_after) as usize;
        cursor.through = report.changes_through;
        report.changes.get(known..).unwrap_or(&[])
    }

    /// Records that the engines were taken over from a relay.
    pub fn set_cursor(&mut self, cursor: CatalogueCursor) {
        self.cursor = Some(cursor);
        self.behind_since = None;
    }

    /// Records that all engines are being requested from a relay.
    pub fn begin_fetch(&mut self, now: Millis) {
        self.fetching_since = Some(now);
    }

    /// Records that the request was answered or abandoned.
    pub fn end_fetch(&mut self) {
        self.fetching_since = None;
    }

    /// Whether a request for all engines is pending.
    pub fn is_fetching(&self, now: Millis) -> bool {
        let since = self.fetching_since;
        since.is_some_and(|since| now.since(since) < MAX_FETCH_MS)
    }

    /// Whether a report of this relay was received recently.
    pub fn is_live(&self, relay: PeerId, now: Millis) -> bool {
        let relay = self.relays.get(&relay);
        relay.is_some_and(|relay| relay.is_live(now))
    }

    /// Whether a report of any relay was received recently.
    pub fn has_live_relay(&self, now: Millis) -> bool {
        let mut relays = self.relays.values();
        relays.any(|relay| relay.is_live(now))
    }

    /// Stops relying on relays for a time, after requests failed.
    pub fn distrust(&mut self, now: Millis) {
        self.distrusted_until = Some(now.plus(DISTRUST_MS));
    }

    /// Whether this node knows the engines through a relay whose own knowledge is at most
    /// `limit_ms` old.
    pub fn is_current(&self, limit_ms: u64, now: Millis) -> bool {
        if self.distrusted_until.is_some_and(|until| now < until) {
            return false;
        }
        let Some(cursor) = self.cursor else {
            return false;
        };
        let is_behind = self
            .behind_since
            .is_some_and(|since| now.since(since) >= MAX_BEHIND_MS);
        let relay = self.trusted(cursor.relay, limit_ms, now);
        !is_behind && relay.is_some()
    }

    /// Time as of which the followed relay proves the engines that this node knows; `None`
    /// while some of its changes are missing, or after it restarted.
    pub fn proven_at(&self) -> Option<Millis> {
        let cursor = self.cursor?;
        let relay = self.relays.get(&cursor.relay)?;
        let has_all = relay.life == cursor.life && cursor.through >= relay.changes_through;
        relay.engines_known_at.filter(|_| has_all)
    }

    /// Latest time as of which any relay knew all engines, whether this node has applied
    /// its changes or not.
    pub fn newest_proof(&self) -> Option<Millis> {
        let proofs = self.relays.values();
        proofs.filter_map(|relay| relay.engines_known_at).max()
    }

    fn trusted(&self, relay: PeerId, limit_ms: u64, now: Millis) -> Option<&FollowedRelay> {
        let relay = self.relays.get(&relay)?;
        let known_at = relay.engines_known_at;
        let is_recent = known_at.is_some_and(|at| now.since(at) <= limit_ms);
        (relay.is_live(now) && is_recent).then_some(relay)
    }

    /// What to request now, and from which relay. `configuration` is the version that this
    /// node has.
    pub fn snapshot_need(
        &mut self,
        configuration: Option<u64>,
        limit_ms: u64,
        now: Millis,
    ) -> Option<SnapshotNeed> {
        if let Some(snapshot_need) = self.engine_snapshot_need(limit_ms, now) {
            return Some(snapshot_need);
        }
        let mut newer = self
            .relays
            .iter()
            .filter(|(_, relay)| relay.configuration > configuration && relay.is_live(now));
        let count = newer.clone().count();
        let chosen = newer.nth(fastrand::usize(0..count.max(1)));
        chosen.map(|(id, relay)| SnapshotNeed {
            relay: *id,
            address: relay.address,
            wants_engines: false,
        })
    }

    fn engine_snapshot_need(&mut self, limit_ms: u64, now: Millis) -> Option<SnapshotNeed> {
        let followed = self.cursor.filter(|cursor| {
            let relay = self.trusted(cursor.relay, limit_ms, now);
            relay.is_some_and(|relay| relay.life == cursor.life)
        });
        let Some(cursor) = followed else {
            // The followed relay is no longer trusted: another one takes its place.
            return self.any_trusted(limit_ms, now);
        };
        let relay = *self.relays.get(&cursor.relay)?;
        if cursor.through >= relay.changes_through {
            self.behind_since = None;
            return None;
        }
        let since = *self.behind_since.get_or_insert(now);
        (now.since(since) >= REQUEST_DELAY_MS).then_some(SnapshotNeed {
            relay: cursor.relay,
            address: relay.address,
            wants_engines: true,
        })
    }

    fn any_trusted(&self, limit_ms: u64, now: Millis) -> Option<SnapshotNeed> {
        let trusted = self
            .relays
            .keys()
            .filter(|id| self.trusted(**id, limit_ms, now).is_some())
            .copied();
        let trusted: Vec<PeerId> = trusted.collect();
        let id = *trusted.get(fastrand::usize(0..trusted.len().max(1)))?;
        let address = self.relays.get(&id)?.address;
        Some(SnapshotNeed {
            relay: id,
            address,
            wants_engines: true,
        })
    }
}
