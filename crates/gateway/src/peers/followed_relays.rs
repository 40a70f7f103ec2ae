//! What a node has heard of each relay, and how far it has followed their changes of
//! the engines.

use super::relay_messages::{EngineChange, RelayReport};
use ploverlift_balancing::peer_loads::PeerId;
use ploverlift_balancing::relayed_loads::RELAY_SILENCE_MS;
use ploverlift_policy::ids::Millis;
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// Time for which a node may lack a change of the engines before it reads them by
/// itself, in milliseconds: enough for asking a relay twice.
const MAX_BEHIND_MS: u64 = 600;
/// Time after which a missed change is asked for, in milliseconds: the next two
/// reports tell it again.
const ASK_AFTER_MS: u64 = 220;
/// Time for which no relay is relied on after none answered, in milliseconds.
const DISTRUST_MS: u64 = 2_000;

/// Longest time that a node waits for a relay's answer, in milliseconds: 200 nodes of a
/// zone take turns at two relays, whose links carry a list of 10,000 engines to all of
/// them in 4 s.
pub const LONGEST_FETCH_MS: u64 = 10_000;

/// What was last heard of one relay.
#[derive(Clone, Copy, Debug)]
struct FollowedRelay {
    address: SocketAddr,
    life: u64,
    heard_at: Millis,
    /// When, at the latest, the relay knew all engines.
    engines_known_at: Option<Millis>,
    configuration: Option<u64>,
    changes_through: u64,
}

impl FollowedRelay {
    fn is_live(&self, now: Millis) -> bool {
        now.since(self.heard_at) < RELAY_SILENCE_MS
    }
}

/// How far the changes of one relay were followed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CatalogueCursor {
    /// The relay.
    pub relay: PeerId,
    /// Its life.
    pub life: u64,
    /// Number of the last change that was taken in.
    pub through: u64,
}

/// What this node should ask a relay for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SnapshotNeed {
    /// Whom to ask.
    pub relay: PeerId,
    /// Where.
    pub address: SocketAddr,
    /// Whether the engines are needed, or else the configuration alone.
    pub wants_engines: bool,
}

/// The relays that this node hears.
#[derive(Clone, Debug, Default)]
pub struct FollowedRelays {
    relays: BTreeMap<PeerId, FollowedRelay>,
    cursor: Option<CatalogueCursor>,
    behind_since: Option<Millis>,
    distrusted_until: Option<Millis>,
    fetching_since: Option<Millis>,
}

impl FollowedRelays {
    /// A relay was heard. `answers_sent_at` is when the newest of this node's own
    /// reports was sent that the relay had taken in: what the relay tells is not
    /// older than that, less the age that it tells.
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
            // Reports may overtake each other.
            changes_through: report.changes_through.max(through_before),
        };
        let is_other_life =
            |cursor: CatalogueCursor| cursor.relay == report.loads.sender && cursor.life != life;
        if self.cursor.is_some_and(is_other_life) {
            // What the present life knows proves nothing of what the former one told.
            self.behind_since.get_or_insert(now);
        }
        self.relays.insert(report.loads.sender, relay);
        self.relays.retain(|_, relay| relay.is_live(now));
    }

    /// The changes of a report that this node has not taken in yet; none when
    /// another relay is followed or some before them are missing.
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

    /// The engines were taken over from a relay.
    pub fn set_cursor(&mut self, cursor: CatalogueCursor) {
        self.cursor = Some(cursor);
        self.behind_since = None;
    }

    /// A relay is asked for all engines.
    pub fn begin_fetch(&mut self, now: Millis) {
        self.fetching_since = Some(now);
    }

    /// The relay that was asked has answered, or does not.
    pub fn end_fetch(&mut self) {
        self.fetching_since = None;
    }

    /// Whether a relay's answer with all engines is on its way.
    pub fn is_fetching(&self, now: Millis) -> bool {
        let since = self.fetching_since;
        since.is_some_and(|since| now.since(since) < LONGEST_FETCH_MS)
    }

    /// Whether a relay was heard lately.
    pub fn is_live(&self, relay: PeerId, now: Millis) -> bool {
        let relay = self.relays.get(&relay);
        relay.is_some_and(|relay| relay.is_live(now))
    }

    /// Whether any relay was heard lately.
    pub fn has_live_relay(&self, now: Millis) -> bool {
        let mut relays = self.relays.values();
        relays.any(|relay| relay.is_live(now))
    }

    /// No relay answered.
    pub fn distrust(&mut self, now: Millis) {
        self.distrusted_until = Some(now.plus(DISTRUST_MS));
    }

    /// Whether this node knows the engines through a relay whose own knowledge is
    /// at most `limit_ms` old.
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

    /// As of when the relay that is followed vouches for the engines that this node has;
    /// nothing while some of its changes are lacking, or it is in another life.
    pub fn proven_at(&self) -> Option<Millis> {
        let cursor = self.cursor?;
        let relay = self.relays.get(&cursor.relay)?;
        let has_all = relay.life == cursor.life && cursor.through >= relay.changes_through;
        relay.engines_known_at.filter(|_| has_all)
    }

    /// As of when any relay last knew all engines, whether this node has them or not.
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

    /// What to ask which relay for now; `configuration` is the version that this
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
            // The relay that was followed is gone: another one takes its place.
            return self.any_trusted(limit_ms, now);
        };
        let relay = *self.relays.get(&cursor.relay)?;
        if cursor.through >= relay.changes_through {
            self.behind_since = None;
            return None;
        }
        let since = *self.behind_since.get_or_insert(now);
        (now.since(since) >= ASK_AFTER_MS).then_some(SnapshotNeed {
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
