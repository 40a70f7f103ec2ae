//! What the tasks of a node share.

use crate::beliefs::{ActiveConfiguration, Beliefs};
use crate::engines_proof::engines_age_limit_ms;
use crate::kept_connections::KeptConnections;
use crate::metrics::Metrics;
use crate::peers::address_book::AddressBook;
use crate::peers::encoded_engines::EngineEncoding;
use crate::peers::outbox::Outbox;
use crate::peers::token_requests::PendingTokenRequests;
use crate::ports::Site;
use crate::rollouts::choice::OwnSeat;
use crate::settings::GatewaySettings;
use crate::store::era::KnownEra;
use crate::store::outage::StoreOutage;
use event_listener::Event;
use ploverlift_balancing::catalogue::InstanceId;
use ploverlift_balancing::cost::{CostRates, RegionRates};
use ploverlift_balancing::health::Outcome;
use ploverlift_balancing::peer_loads::PeerId;
use ploverlift_balancing::weights::WeightsBounds;
use ploverlift_clock::{unix_ms, Clock};
use ploverlift_policy::ids::{Millis, ZoneName};
use ploverlift_routing::topology::Topology;
use slog::Logger;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};

/// One node.
pub struct Gateway {
    /// Settings in force.
    settings: Mutex<Arc<GatewaySettings>>,
    /// Zone of this node.
    pub zone: ZoneName,
    /// The zones of the site and their regions.
    pub topology: Topology,
    /// Translates the site's protocols.
    pub site: Arc<dyn Site>,
    /// The clock by which all ages count.
    pub clock: Clock,
    /// Log.
    pub log: Logger,
    /// Counters and histograms.
    pub metrics: Metrics,
    /// Told whenever the store was reached again after a failure.
    pub store_recovered: Event,
    /// Told when this node has stood still: what it follows may have told nothing since.
    pub suspension_detected: Event,
    /// Told whenever a version of weights was named.
    pub weights_named: Event,
    /// Told when the other nodes should hear at once which weights are the newest.
    pub weights_report_due: Event,
    /// Told when this node's watch was not the first to tell of a version.
    pub weights_watch_lagged: Event,
    /// Told when a relay knows something that this node lacks.
    pub snapshot_due: Event,
    /// Told when the configuration was read or proven, or the engines were listed.
    pub site_updated: Event,
    /// Told when an engine is to be checked.
    pub engine_check_due: Event,
    /// The era of the store.
    pub store_era: KnownEra,
    /// Told when the store has come back from a copy.
    pub store_restored: Event,
    /// Told when an engine was found to be lost.
    pub engine_lost: Event,
    /// Told when the other nodes should hear from this one at once.
    pub report_due: Event,
    /// Told when an engine came whose software version may belong to an order that is
    /// not known yet.
    pub orders_due: Event,
    /// Told when an order of a rollout, or its status, is news here.
    pub order_changed: Event,
    /// Told when something is news of requests under which engines ended.
    pub quarantine_changed: Event,
    /// Told when something is news of what engines said of themselves.
    pub engine_signals_changed: Event,
    /// Requests to other nodes for tokens of such engines.
    pub token_questions: PendingTokenRequests,
    /// Messages to other nodes that wait to be sent.
    pub outbox: Outbox,
    /// Told when a planned stop begins.
    pub stop_began: Event,
    /// Told whenever a request or a connection has ended.
    pub work_ended: Event,
    /// This life of the node; a restarted node has a higher one.
    pub life: u64,
    /// When it started.
    pub started_at: Millis,
    /// Number of the next report to other nodes.
    pub report_sequence: AtomicU64,
    /// Where the splits of this node begin, in 0 to 1.
    pub split_start: f64,
    stopping: AtomicBool,
    refusing: AtomicBool,
    requests_in_flight: AtomicUsize,
    success_lines: Mutex<LineAllowance>,
    beliefs: Mutex<Beliefs>,
    address_book: Mutex<AddressBook>,
    engine_encoding: Mutex<EngineEncoding>,
    kept_connections: Mutex<KeptConnections>,
}

/// Log lines that were written in the present second.
#[derive(Debug, Default)]
struct LineAllowance {
    second: u64,
    lines: u32,
}

impl Gateway {
    /// A node that believes nothing yet.
    pub fn new(settings: GatewaySettings, site: Arc<dyn Site>, log: Logger) -> Self {
        Self::with_clock(settings, site, log, Clock::default())
    }

    /// The same with a clock that is handed in.
    pub fn with_clock(
        settings: GatewaySettings,
        site: Arc<dyn Site>,
        log: Logger,
        clock: Clock,
    ) -> Self {
        let age_limit_ms = engines_age_limit_ms(&settings);
        let mut beliefs = Beliefs::default();
        beliefs.store_outage = StoreOutage::new(&settings, age_limit_ms);
        Self {
            zone: ZoneName(settings.node.zone.clone()),
            topology: settings.topology.topology(),
            settings: Mutex::new(Arc::new(settings)),
            site,
            started_at: clock.now(),
            clock,
            log,
            metrics: Metrics::default(),
            store_recovered: Event::new(),
            store_era: KnownEra::default(),
            store_restored: Event::new(),
            suspension_detected: Event::new(),
            weights_named: Event::new(),
            weights_report_due: Event::new(),
            weights_watch_lagged: Event::new(),
            snapshot_due: Event::new(),
            site_updated: Event::new(),
            engine_check_due: Event::new(),
            engine_lost: Event::new(),
            report_due: Event::new(),
            orders_due: Event::new(),
            order_changed: Event::new(),
            quarantine_changed: Event::new(),
            engine_signals_changed: Event::new(),
            token_questions: PendingTokenRequests::default(),
            outbox: Outbox::default(),
            stop_began: Event::new(),
            work_ended: Event::new(),
            life: unix_ms(),
            report_sequence: AtomicU64::new(1),
            split_start: fastrand::f64(),
            stopping: AtomicBool::new(false),
            refusing: AtomicBool::new(false),
            requests_in_flight: AtomicUsize::new(0),
            success_lines: Mutex::new(LineAllowance::default()),
            beliefs: Mutex::new(beliefs),
            address_book: Mutex::new(AddressBook::default()),
            engine_encoding: Mutex::default(),
            kept_connections: Mutex::default(),
        }
    }

    /// The settings in force.
    pub fn settings(&self) -> Arc<GatewaySettings> {
        let settings = self.settings.lock();
        Arc::clone(&settings.unwrap_or_else(|poisoned| poisoned.into_inner()))
    }

    /// Puts other settings in force.
    pub fn replace_settings(&self, settings: GatewaySettings) {
        let current = self.settings.lock();
        *current.unwrap_or_else(|poisoned| poisoned.into_inner()) = Arc::new(settings);
    }

    /// Beliefs, locked. Never held over I/O.
    pub fn beliefs(&self) -> MutexGuard<'_, Beliefs> {
        let beliefs = self.beliefs.lock();
        beliefs.unwrap_or_else(|poisoned| poisoned.into_inner())
    }

    /// Takes in how a request or a call at an engine went.
    pub fn note_outcome(&self, instance: &InstanceId, outcome: Outcome) {
        let now = self.clock.now();
        self.beliefs().note_outcome(instance, outcome, now);
        if outcome == Outcome::Unreachable {
            self.engine_check_due.notify(usize::MAX);
        }
    }

    /// Addresses of the other nodes, locked. Never held over I/O.
    pub fn address_book(&self) -> MutexGuard<'_, AddressBook> {
        let address_book = self.address_book.lock();
        address_book.unwrap_or_else(|poisoned| poisoned.into_inner())
    }

    /// All engines, encoded for nodes that ask, locked. Beliefs are locked after it.
    pub fn engine_encoding(&self) -> MutexGuard<'_, EngineEncoding> {
        let encoding = self.engine_encoding.lock();
        encoding.unwrap_or_else(|poisoned| poisoned.into_inner())
    }

    /// Kept connections to engines, locked. Never held over I/O.
    pub fn kept_connections(&self) -> MutexGuard<'_, KeptConnections> {
        let kept = self.kept_connections.lock();
        kept.unwrap_or_else(|poisoned| poisoned.into_inner())
    }

    /// The configuration in force.
    pub fn configuration(&self) -> Option<Arc<ActiveConfiguration>> {
        self.beliefs().configuration.clone()
    }

    /// Whether a planned stop has begun.
    pub fn is_stopping(&self) -> bool {
        self.stopping.load(Ordering::Acquire)
    }

    /// Begins a planned stop.
    pub fn begin_stop(&self) {
        self.stopping.store(true, Ordering::Release);
        self.stop_began.notify(usize::MAX);
    }

    /// Whether a planned stop is so far that new requests are refused.
    pub fn is_refusing(&self) -> bool {
        self.refusing.load(Ordering::Acquire)
    }

    /// Refuses new requests from now on.
    pub fn begin_refusing(&self) {
        self.refusing.store(true, Ordering::Release);
    }

    /// Requests that were read and not answered yet.
    pub fn requests_in_flight(&self) -> usize {
        self.requests_in_flight.load(Ordering::Acquire)
    }

    /// Counts a request as under way until the guard is dropped.
    pub fn request_guard(self: &Arc<Self>) -> RequestGuard {
        self.requests_in_flight.fetch_add(1, Ordering::AcqRel);
        RequestGuard {
            gateway: Arc::clone(self),
        }
    }

    /// This node as the fleet counts it in rollouts.
    pub fn own_seat(&self) -> OwnSeat {
        let node = PeerId::of(&self.settings().node.name);
        OwnSeat {
            node,
            life: self.life,
            seat: self.address_book().seat(node),
        }
    }

    /// Whether keys may be accepted now: the configuration is fresh enough.
    pub fn accepts_keys(&self) -> bool {
        let settings = self.settings();
        let limit = key_freshness_limit_ms(&settings);
        let now = self.clock.now();
        !settings.bounds.revoke_when_cut || self.beliefs().freshness.allows_keys(now, limit)
    }

    /// Whether one more line on a request that went well may be logged.
    pub fn may_log_success(&self) -> bool {
        let second = self.clock.now().0 / 1_000;
        let limit = self.settings().log.successes_per_second;
        let allowance = self.success_lines.lock();
        let mut allowance = allowance.unwrap_or_else(|poisoned| poisoned.into_inner());
        if allowance.second != second {
            *allowance = LineAllowance { second, lines: 0 };
        }
        allowance.lines += 1;
        allowance.lines <= limit
    }

    /// Rates for the choice of an engine.
    pub fn cost_rates(&self) -> CostRates {
        let cost = &self.settings().cost;
        CostRates {
            prefill_tokens_per_ms: cost.prefill_tokens_per_ms,
            eviction_share: cost.eviction_share,
            reread_share: cost.reread_share,
            stale_version_ms: cost.stale_version_ms,
            zone_ms: cost.zone_ms,
            region: RegionRates {
                round_trip_ms: cost.region_round_trip_ms,
                round_trips: cost.region_round_trips,
                kilobyte_ms: cost.region_kilobyte_ms,
            },
            slot_ms: cost.slot_ms,
            senders: cost.senders,
        }
    }

    /// When a request must no longer begin on older weights: so long before the site's
    /// bound, in milliseconds, or half of the bound where that is less.
    pub fn weights_bounds(&self, margin_ms: u64) -> WeightsBounds {
        let bounds = &self.settings().bounds;
        // Counted without a break from the last proof, both hold once the shorter does.
        let bound_ms = bounds.weights_ms.min(bounds.weights_total_ms);
        WeightsBounds {
            avoid_after_ms: bound_ms - margin_ms.min(bound_ms / 2),
            avoid_after_start_ms: AVOID_AFTER_START_MS,
        }
    }
}

/// Time after the first proof of which weights are the newest for which requests may
/// begin on weights from before it, in milliseconds, where no other node knows more: a
/// fleet that starts anew serves at once, and its engines load meanwhile.
const AVOID_AFTER_START_MS: u64 = 2_500;

/// Part of the bound on revoked keys for which a configuration is relied on. The
/// rest covers what a watch may lag behind the store.
const KEY_FRESHNESS_SHARE: f64 = 0.94;

/// Longest age of the proof that a configuration is the newest while keys are
/// accepted, in milliseconds.
pub fn key_freshness_limit_ms(settings: &GatewaySettings) -> u64 {
    (settings.bounds.key_revocation_ms as f64 * KEY_FRESHNESS_SHARE) as u64
}

/// Counts a request as under way.
pub struct RequestGuard {
    gateway: Arc<Gateway>,
}

impl Drop for RequestGuard {
    fn drop(&mut self) {
        self.gateway
            .requests_in_flight
            .fetch_sub(1, Ordering::AcqRel);
        self.gateway.work_ended.notify(usize::MAX);
    }
}
