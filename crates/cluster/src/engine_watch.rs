//! Observations of engines, and how they reach other nodes.
//!
//! Two nodes observe each engine: those of its zone with the highest rendezvous
//! weight. They publish changes, and periodically the full state, to the nodes
//! that route to the engine. A change of health, incarnation or weights is
//! published at once and repeated, because a lost message must not keep a
//! leaving engine in use; a change of load is published when it is large.

use crate::membership::Membership;
use crate::node_key::NodeKey;
use crate::output::Outbox;
use ploverlift_policy::fleet::{Engine, EngineKey, EngineObservation, Fleet, Health, LoadReport};
use ploverlift_policy::ids::{Incarnation, Millis, WeightsVersion};
use ploverlift_wire::messages::envelope::Body;
use ploverlift_wire::messages::{EngineReport, EngineReports};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Interval between polls of an engine, in milliseconds.
pub const POLL_PERIOD_MS: u64 = 300;
/// Time-out of a poll, in milliseconds.
pub const POLL_TIMEOUT_MS: u64 = 500;
/// Number of consecutive polls without an answer after which an engine counts
/// as dead.
const FAILED_POLLS_UNTIL_DEAD: u32 = 2;
/// Number of nodes that observe one engine.
pub const OBSERVERS_PER_ENGINE: usize = 2;
/// Interval between publications, in milliseconds.
pub const PUBLISH_PERIOD_MS: u64 = 250;
/// Interval at which the full state of an engine is published again, in
/// milliseconds.
pub const REFRESH_PERIOD_MS: u64 = 10_000;
/// Interval of the heartbeat of an observer without changes to publish, in
/// milliseconds.
const HEARTBEAT_PERIOD_MS: u64 = 1_000;
/// Time without a message after which an observer counts as silent, in
/// milliseconds. Within this time and one tick, a leaving engine must be out of
/// use even when both its observers are lost at the same moment.
const OBSERVER_TIMEOUT_MS: u64 = 2_400;
/// Number of times that a change of health, incarnation or weights is
/// published.
const ELIGIBILITY_REPEATS: u32 = 3;
/// Up to this number of nodes, every node receives reports on every engine; in
/// larger fleets a node receives those on the engines of its zone.
pub const SMALL_FLEET_NODES: usize = 32;
/// A load counts as changed when requests or queued tokens differ by at least
/// this fraction.
const LOAD_CHANGE_SHARE: f64 = 0.25;
/// Smaller differences in requests are not published between refreshes.
const MIN_REQUEST_CHANGE: u32 = 2;
/// Smaller differences in queued tokens are not published between refreshes.
const MIN_TOKEN_CHANGE: u32 = 2_000;
/// Maximum number of reports in one message, so that it fits into one datagram.
const REPORTS_PER_MESSAGE: usize = 24;

#[derive(Clone, Debug)]
struct OwnObservation {
    latest: EngineObservation,
    published: Option<EngineObservation>,
    repeats: u32,
    published_at: Millis,
    /// Order in which this node learned what it knows.
    order: u64,
}

/// The latest report of another observer.
#[derive(Clone, Debug)]
struct PeerReport {
    observer: NodeKey,
    observation: EngineObservation,
    /// Order in which this node learned what it knows.
    order: u64,
}

/// One node's own observations and the reports of other observers.
#[derive(Debug, Default)]
pub struct EngineWatch {
    own: BTreeMap<EngineKey, OwnObservation>,
    failed_polls: BTreeMap<EngineKey, u32>,
    peer_reports: BTreeMap<EngineKey, Vec<PeerReport>>,
    /// Engines that are known to leave, with the incarnation that leaves.
    leaving: BTreeMap<EngineKey, Incarnation>,
    next_order: u64,
    next_publish: Millis,
    published_at: Millis,
    /// Time of the last message from each other node as an observer.
    last_heartbeats: BTreeMap<NodeKey, Millis>,
}

impl EngineWatch {
    /// Records an observation by this node. Returns the merged observation of
    /// the engine.
    pub fn record_observation(&mut self, observation: EngineObservation) -> EngineObservation {
        let key = observation.key;
        if observation.health != Health::Dead {
            self.failed_polls.remove(&key);
        }
        self.next_order += 1;
        let known = self.own.entry(key).or_insert_with(|| OwnObservation {
            latest: observation.clone(),
            published: None,
            repeats: ELIGIBILITY_REPEATS,
            published_at: Millis(0),
            order: 0,
        });
        if eligibility_changed(&known.latest, &observation) {
            known.repeats = ELIGIBILITY_REPEATS;
        }
        known.latest = observation;
        known.order = self.next_order;
        self.merged_observation(key)
            .unwrap_or_else(|| self.own[&key].latest.clone())
    }

    /// Records a poll without an answer. Returns the merged observation of the
    /// engine once it counts as dead.
    pub fn record_failed_poll(&mut self, engine: &Engine) -> Option<EngineObservation> {
        let count = self.failed_polls.entry(engine.key).or_default();
        *count += 1;
        if *count < FAILED_POLLS_UNTIL_DEAD {
            return None;
        }
        Some(self.record_observation(EngineObservation {
            key: engine.key,
            incarnation: engine.incarnation,
            weights: engine.weights,
            health: Health::Dead,
            load: LoadReport::default(),
        }))
    }

    /// Records a report published by another node. `observers` are the engine's
    /// present observers: reports of former ones are removed, because they may
    /// be long out of date. Returns the merged observation.
    pub fn record_peer_report(
        &mut self,
        from: NodeKey,
        observation: EngineObservation,
        observers: &[NodeKey],
    ) -> EngineObservation {
        self.next_order += 1;
        let reports = self.peer_reports.entry(observation.key).or_default();
        reports.retain(|peer| peer.observer != from && observers.contains(&peer.observer));
        reports.push(PeerReport {
            observer: from,
            observation: observation.clone(),
            order: self.next_order,
        });
        self.update_leaving(observation.key).unwrap_or(observation)
    }

    /// Records that a node was active as an observer at `now`.
    pub fn record_heartbeat(&mut self, observer: NodeKey, now: Millis) {
        self.last_heartbeats.insert(observer, now);
    }

    /// Whether a node published anything within [`OBSERVER_TIMEOUT_MS`].
    pub fn is_observer_active(&self, observer: NodeKey, now: Millis) -> bool {
        let last_heartbeat = self.last_heartbeats.get(&observer);
        last_heartbeat.is_some_and(|at| now.since(*at) < OBSERVER_TIMEOUT_MS)
    }

    /// Removes the reports of a dead observer. Returns the merged observations
    /// of the engines that it observed.
    pub fn remove_observer(&mut self, observer: NodeKey) -> Vec<EngineObservation> {
        self.last_heartbeats.remove(&observer);
        let mut touched = Vec::new();
        for (engine, reports) in &mut self.peer_reports {
            let before = reports.len();
            reports.retain(|known| known.observer != observer);
            if reports.len() != before {
                touched.push(*engine);
            }
        }
        touched
            .into_iter()
            .filter_map(|engine| self.merged_observation(engine))
            .collect()
    }

    /// Removes own observations of engines that this node no longer observes.
    pub fn retain_own(&mut self, observes: impl Fn(EngineKey) -> bool) {
        self.own.retain(|engine, _| observes(*engine));
        self.failed_polls.retain(|engine, _| observes(*engine));
    }

    /// Merges the reports on an engine and records whether it is leaving.
    fn update_leaving(&mut self, engine: EngineKey) -> Option<EngineObservation> {
        let merged = self.merged_observation(engine)?;
        if merged.health == Health::Leaving {
            self.leaving.insert(engine, merged.incarnation);
        } else {
            self.leaving.remove(&engine);
        }
        Some(merged)
    }

    /// Merges the reports of all observers of an engine. Only the latest
    /// incarnation counts. An engine that any observer reports as leaving is
    /// leaving; it is dead only when all report it dead; otherwise the report
    /// received last wins.
    pub fn merged_observation(&self, engine: EngineKey) -> Option<EngineObservation> {
        let own = self.own.get(&engine);
        let own = own.map(|observed| (&observed.latest, observed.order));
        let peers = self.peer_reports.get(&engine).into_iter().flatten();
        let peers = peers.map(|peer| (&peer.observation, peer.order));
        let reports = own.into_iter().chain(peers);
        let best = reports
            .max_by_key(|(report, order)| (report.incarnation, preference(report.health), *order));
        best.map(|(report, _)| report.clone())
    }

    /// The merged observations of all engines, for a node that has just joined.
    pub fn reports_for_joiner(&self, fleet: &Fleet) -> Vec<EngineReports> {
        let engines = fleet.iter().map(|(_, engine)| engine.key);
        let merged_reports: Vec<EngineReport> = engines
            .filter_map(|engine| self.merged_observation(engine))
            .map(|observation| to_message(&observation))
            .collect();
        let parts = merged_reports.chunks(REPORTS_PER_MESSAGE);
        parts
            .map(|part| EngineReports {
                reports: part.to_vec(),
            })
            .collect()
    }

    /// Digest over the engines that are known to leave. A leaving engine stays
    /// so for the rest of its incarnation, so a difference can be resolved by
    /// sending the reports.
    pub fn leaving_root(&self) -> u64 {
        self.leaving.iter().fold(0, |root, (engine, life)| {
            root ^ xxh3_64_with_seed(&life.0.to_le_bytes(), engine.0)
        })
    }

    /// Reports on the engines that are known to leave.
    pub fn leaving_reports(&self) -> Vec<EngineReports> {
        let observations = self
            .leaving
            .keys()
            .filter_map(|engine| self.merged_observation(*engine));
        let reports: Vec<EngineReport> = observations
            .map(|latest_merged| to_message(&latest_merged))
            .collect();
        let parts = reports.chunks(REPORTS_PER_MESSAGE);
        parts
            .map(|part| EngineReports {
                reports: part.to_vec(),
            })
            .collect()
    }

    /// Publishes due reports and heartbeats. Only the first observer of an
    /// engine publishes changes of its load, which are the largest part of all
    /// reports.
    pub fn tick(
        &mut self,
        now: Millis,
        members: &Membership,
        publishes_load: impl Fn(EngineKey) -> bool,
        outbox: &mut Outbox,
    ) {
        if now < self.next_publish {
            return;
        }
        self.next_publish = now.plus(PUBLISH_PERIOD_MS);
        let reports = self.due_reports(now, publishes_load);
        let heartbeat = now.since(self.published_at) >= HEARTBEAT_PERIOD_MS;
        if reports.is_empty() && (self.own.is_empty() || !heartbeat) {
            return;
        }
        self.published_at = now;
        let targets = report_targets(members);
        if reports.is_empty() {
            for target in &targets {
                outbox.send(*target, Body::EngineReports(EngineReports::default()));
            }
        }
        for part in reports.chunks(REPORTS_PER_MESSAGE) {
            let message = EngineReports {
                reports: part.to_vec(),
            };
            for target in &targets {
                outbox.send(*target, Body::EngineReports(message.clone()));
            }
        }
    }

    fn due_reports(
        &mut self,
        now: Millis,
        publishes_load: impl Fn(EngineKey) -> bool,
    ) -> Vec<EngineReport> {
        let mut due = Vec::new();
        for (engine, observed) in &mut self.own {
            let stale = now.since(observed.published_at) >= REFRESH_PERIOD_MS;
            let known = observed.published.as_ref();
            let changed = known.is_none_or(|published| {
                publishes_load(*engine) && load_changed(&published.load, &observed.latest.load)
            });
            if observed.repeats == 0 && !stale && !changed {
                continue;
            }
            observed.repeats = observed.repeats.saturating_sub(1);
            observed.published_at = now;
            observed.published = Some(observed.latest.clone());
            due.push(to_message(&observed.latest));
        }
        due
    }
}

/// Addresses of the nodes that receive this node's reports.
fn report_targets(members: &Membership) -> Vec<SocketAddr> {
    let small = members.live_count() < SMALL_FLEET_NODES;
    let own_zone = &members.own().zone;
    let live = members.live();
    let near = live.filter(|(_, member)| small || member.identity.zone == *own_zone);
    near.map(|(_, member)| member.identity.address).collect()
}

/// Precedence of a report among reports of the same incarnation; among equal
/// ones the later report wins.
fn preference(health: Health) -> u8 {
    match health {
        Health::Dead => 0,
        Health::Unknown | Health::Ready | Health::Loading => 1,
        Health::Leaving => 2,
    }
}

fn eligibility_changed(before: &EngineObservation, after: &EngineObservation) -> bool {
    before.health != after.health
        || before.incarnation != after.incarnation
        || before.weights != after.weights
}

fn load_changed(before: &LoadReport, after: &LoadReport) -> bool {
    let requests_before = before.running + before.waiting;
    let requests_after = after.running + after.waiting;
    let requests = requests_before.abs_diff(requests_after);
    let tokens = before.queued_tokens.abs_diff(after.queued_tokens);
    let share = |change: u32, base: u32| f64::from(change) >= LOAD_CHANGE_SHARE * f64::from(base);
    let by_requests = requests >= MIN_REQUEST_CHANGE && share(requests, requests_before);
    let by_tokens = tokens >= MIN_TOKEN_CHANGE && share(tokens, before.queued_tokens);
    by_requests || by_tokens
}

fn health_code(health: Health) -> u32 {
    match health {
        Health::Unknown => 0,
        Health::Ready => 1,
        Health::Loading => 2,
        Health::Leaving => 3,
        Health::Dead => 4,
    }
}

fn health_of_code(code: u32) -> Health {
    match code {
        1 => Health::Ready,
        2 => Health::Loading,
        3 => Health::Leaving,
        4 => Health::Dead,
        _ => Health::Unknown,
    }
}

fn to_message(observation: &EngineObservation) -> EngineReport {
    EngineReport {
        engine: observation.key.0,
        incarnation: observation.incarnation.0,
        weights: observation.weights.0,
        health: health_code(observation.health),
        running: observation.load.running,
        waiting: observation.load.waiting,
        slots: observation.load.slots,
        queued_tokens: observation.load.queued_tokens,
        eviction_age_ms: observation.load.eviction_age_ms,
    }
}

/// Converts a report of another observer.
pub fn from_message(report: &EngineReport) -> EngineObservation {
    EngineObservation {
        key: EngineKey(report.engine),
        incarnation: Incarnation(report.incarnation),
        weights: WeightsVersion(report.weights),
        health: health_of_code(report.health),
        load: LoadReport {
            running: report.running,
            waiting: report.waiting,
            slots: report.slots,
            queued_tokens: report.queued_tokens,
            eviction_age_ms: report.eviction_age_ms,
        },
    }
}
