//! State shared by the tasks of a node.

use crate::beliefs::{ActiveConfiguration, Beliefs};
use crate::engine_liveness::EngineProbes;
use crate::engines_proof::engines_age_limit_ms;
use crate::kept_connections::KeptConnections;
use crate::machine_memory::memory_mb;
use crate::metrics::Metrics;
use crate::peers::address_book::AddressBook;
use crate::peers::encoded_engines::EngineEncoding;
use crate::peers::outbox::Outbox;
use crate::peers::pending_requests::PendingRequests;
use crate::peers::stream_origins::ReceivedOriginAnswer;
use crate::peers::token_requests::PendingTokenRequests;
use crate::planned_stop::{PlannedStop, StopPhase};
use crate::ports::Site;
use crate::requirements::Lacks;
use crate::rollouts::choice::OwnSeat;
use crate::settings::{GatewaySettings, NodeSettings};
use crate::store::era::KnownEra;
use crate::store::outage::StoreOutage;
use crate::store::rejected_entries::RejectedEntries;
use crate::store::shared_reads::SharedReads;
use event_listener::Event;
use ploverlift_balancing::catalogue::InstanceId;
use ploverlift_balancing::cost::{CostRates, RegionRates};
use ploverlift_balancing::health::Outcome;
use ploverlift_balancing::peer_loads::{EngineTag, PeerId};
use ploverlift_balancing::stop_window::StopWindow;
use ploverlift_balancing::weights::WeightsBounds;
use ploverlift_bytebudget::limits::BudgetLimits;
use ploverlift_bytebudget::ByteBudget;
use ploverlift_clock::{unix_ms, Clock};
use ploverlift_policy::ids::{Millis, ZoneName};
use ploverlift_routing::topology::Topology;
use ploverlift_tunnel::limits::{TunnelLimits, TunnelUse};
use slog::Logger;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
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
    /// The clock that all ages are measured with.
    pub clock: Clock,
    /// Log.
    pub log: Logger,
    /// Counters and histograms.
    pub metrics: Metrics,
    /// Notified whenever the store was reached again after a failure.
    pub store_recovered: Event,
    /// Notified when this node was suspended: watches may have missed changes meanwhile.
    pub suspension_detected: Event,
    /// Notified whenever a version of weights was named in the store.
    pub weights_named: Event,
    /// Notified when the newest weights should be reported to the other nodes at once.
    pub weights_report_due: Event,
    /// Notified when another source reported a version of weights before this node's watch.
    pub weights_watch_lagged: Event,
    /// Notified when a relay has data that this node lacks.
    pub snapshot_due: Event,
    /// Notified when the configuration was read or proven to be the newest, or the engines
    /// were listed.
    pub site_updated: Event,
    /// Notified when a check of an engine is due.
    pub engine_check_due: Event,
    /// The era of the store.
    pub store_era: KnownEra,
    /// Notified when the store was restored from a copy.
    pub store_restored: Event,
    /// Notified when an engine was found to be lost.
    pub engine_lost: Event,
    /// Notified when an engine was found to be cut off from this node.
    pub engine_cut_off: Event,
    /// Notified when a report to the other nodes should be sent at once.
    pub report_due: Event,
    /// Notified when an engine appeared whose software version may belong to a rollout order
    /// that is not known yet.
    pub orders_due: Event,
    /// Notified when a rollout order or its status changed at this node.
    pub order_changed: Event,
    /// Notified when the quarantine of requests during which engines terminated changed.
    pub quarantine_changed: Event,
    /// Notified when a signal that engines set in their answers changed.
    pub engine_signals_changed: Event,
    /// Pending requests to other nodes for tokens of engines that have a rate limit.
    pub token_questions: PendingTokenRequests,
    /// Pending questions to other nodes for the software versions that began streams.
    pub origin_queries: PendingRequests<ReceivedOriginAnswer>,
    /// Notified when the register of stream sources was read or written.
    pub stream_sources_changed: Event,
    /// Reads of that register for streams that are taken up.
    pub source_reads: SharedReads,
    /// Notified when the journal of running streams has a new one.
    pub stream_journal_changed: Event,
    /// Reads of the journals of all nodes.
    pub journal_reads: SharedReads,
    /// Queue of messages to other nodes.
    pub outbox: Outbox,
    /// Notified when a planned stop begins.
    pub stop_began: Event,
    /// Notified whenever a request or a connection has ended.
    pub work_ended: Event,
    /// How far a planned stop has come.
    pub planned_stop: PlannedStop,
    /// Incarnation of this node; a restarted node has a higher one.
    pub life: u64,
    /// When this node started.
    pub started_at: Millis,
    /// Number of the next report to other nodes.
    pub report_sequence: AtomicU64,
    /// Start of this node's weighted splits, from 0 to 1.
    pub split_start: f64,
    /// Bytes that this node holds for others.
    pub byte_budget: ByteBudget,
    requests_in_flight: AtomicUsize,
    success_lines: Mutex<LineAllowance>,
    beliefs: Mutex<Beliefs>,
    address_book: Mutex<AddressBook>,
    engine_encoding: Mutex<EngineEncoding>,
    kept_connections: Mutex<KeptConnections>,
    tunnel_use: Mutex<TunnelUse>,
    lacks: Mutex<Lacks>,
    rejected_entries: Mutex<RejectedEntries>,
    /// Probes of engines after the ends of their answers.
    pub(crate) engine_probes: EngineProbes,
}

/// Log lines written in the current second.
#[derive(Debug, Default)]
struct LineAllowance {
    second: u64,
    lines: u32,
}

impl Gateway {
    /// A node whose view of the site is still empty.
    pub fn new(settings: GatewaySettings, site: Arc<dyn Site>, log: Logger) -> Self {
        Self::with_clock(settings, site, log, Clock::default())
    }

    /// Like [`Self::new`], with the given clock.
    pub fn with_clock(
        settings: GatewaySettings,
        site: Arc<dyn Site>,
        log: Logger,
        clock: Clock,
    ) -> Self {
        let age_limit_ms = engines_age_limit_ms(&settings);
        let tunnel_limits = tunnel_limits(&settings.node);
        let memory_mb = memory_mb(&settings.node);
        let byte_budget = ByteBudget::new(&BudgetLimits::for_memory_mb(memory_mb));
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
            engine_cut_off: Event::new(),
            report_due: Event::new(),
            orders_due: Event::new(),
            order_changed: Event::new(),
            quarantine_changed: Event::new(),
            engine_signals_changed: Event::new(),
            token_questions: PendingTokenRequests::default(),
            origin_queries: PendingRequests::default(),
            stream_sources_changed: Event::new(),
            source_reads: SharedReads::default(),
            stream_journal_changed: Event::new(),
            journal_reads: SharedReads::default(),
            outbox: Outbox::default(),
            stop_began: Event::new(),
            work_ended: Event::new(),
            planned_stop: PlannedStop::default(),
            life: unix_ms(),
            report_sequence: AtomicU64::new(1),
            split_start: fastrand::f64(),
            byte_budget,
            requests_in_flight: AtomicUsize::new(0),
            success_lines: Mutex::new(LineAllowance::default()),
            beliefs: Mutex::new(beliefs),
            address_book: Mutex::new(AddressBook::default()),
            engine_encoding: Mutex::default(),
            kept_connections: Mutex::default(),
            tunnel_use: Mutex::new(TunnelUse::new(tunnel_limits)),
            lacks: Mutex::default(),
            rejected_entries: Mutex::default(),
            engine_probes: EngineProbes::default(),
        }
    }

    /// The settings in force.
    pub fn settings(&self) -> Arc<GatewaySettings> {
        let settings = self.settings.lock();
        Arc::clone(&settings.unwrap_or_else(|poisoned| poisoned.into_inner()))
    }

    /// Replaces the settings in force.
    pub fn replace_settings(&self, settings: GatewaySettings) {
        let current = self.settings.lock();
        *current.unwrap_or_else(|poisoned| poisoned.into_inner()) = Arc::new(settings);
    }

    /// Locks the beliefs. The guard must not be held over I/O.
    pub fn beliefs(&self) -> MutexGuard<'_, Beliefs> {
        let beliefs = self.beliefs.lock();
        beliefs.unwrap_or_else(|poisoned| poisoned.into_inner())
    }

    /// Records the outcome of a call of an engine other than a request. One that is cut off
    /// from this node alone still serves requests through peers, so it is not ejected.
    pub fn note_outcome(&self, instance: &InstanceId, outcome: Outcome) {
        let now = self.clock.now();
        let mut beliefs = self.beliefs();
        let is_cut = beliefs.engine_paths.is_cut(EngineTag::of(instance));
        if outcome == Outcome::Unreachable && is_cut {
            return;
        }
        beliefs.note_outcome(instance, outcome, now);
        drop(beliefs);
        if outcome == Outcome::Unreachable {
            self.engine_check_due.notify(usize::MAX);
        }
    }

    /// Locks the addresses of the other nodes. The guard must not be held over I/O.
    pub fn address_book(&self) -> MutexGuard<'_, AddressBook> {
        let address_book = self.address_book.lock();
        address_book.unwrap_or_else(|poisoned| poisoned.into_inner())
    }

    /// Locks the encoding of all engines that is sent to nodes on request. Lock order: the
    /// beliefs are locked after it.
    pub fn engine_encoding(&self) -> MutexGuard<'_, EngineEncoding> {
        let encoding = self.engine_encoding.lock();
        encoding.unwrap_or_else(|poisoned| poisoned.into_inner())
    }

    /// Locks the idle connections to engines. The guard must not be held over I/O.
    pub fn kept_connections(&self) -> MutexGuard<'_, KeptConnections> {
        let kept = self.kept_connections.lock();
        kept.unwrap_or_else(|poisoned| poisoned.into_inner())
    }

    /// Locks the use of the limits on tunnels. The guard must not be held over I/O.
    pub fn tunnel_use(&self) -> MutexGuard<'_, TunnelUse> {
        let tunnel_use = self.tunnel_use.lock();
        tunnel_use.unwrap_or_else(|poisoned| poisoned.into_inner())
    }

    /// Locks what this node lacks before it is ready.
    pub fn lacks(&self) -> MutexGuard<'_, Lacks> {
        let lacks = self.lacks.lock();
        lacks.unwrap_or_else(|poisoned| poisoned.into_inner())
    }

    /// Locks the stored entries that were rejected.
    pub fn rejected_entries(&self) -> MutexGuard<'_, RejectedEntries> {
        let rejected = self.rejected_entries.lock();
        rejected.unwrap_or_else(|poisoned| poisoned.into_inner())
    }

    /// The configuration in force.
    pub fn configuration(&self) -> Option<Arc<ActiveConfiguration>> {
        self.beliefs().configuration.clone()
    }

    /// Whether a planned stop has begun.
    pub fn is_stopping(&self) -> bool {
        self.planned_stop.has_begun(StopPhase::Accepting)
    }

    /// Begins a planned stop; returns the time that it leaves to requests.
    pub fn begin_stop(&self) -> StopWindow {
        let bound_ms = self.settings().bounds.stop_seconds * 1_000.0;
        let window = self
            .planned_stop
            .begin_accepting(bound_ms, self.clock.now());
        self.stop_began.notify(usize::MAX);
        window
    }

    /// Whether a planned stop has reached the phase in which new requests are refused.
    pub fn is_refusing(&self) -> bool {
        self.planned_stop.has_begun(StopPhase::Refusing)
    }

    /// Refuses new requests from now on.
    pub fn begin_refusing(&self) {
        self.planned_stop.begin(StopPhase::Refusing);
    }

    /// Number of requests that were read and not answered yet.
    pub fn requests_in_flight(&self) -> usize {
        self.requests_in_flight.load(Ordering::Acquire)
    }

    /// Counts a request as in flight until the guard is dropped.
    pub fn request_guard(self: &Arc<Self>) -> RequestGuard {
        self.requests_in_flight.fetch_add(1, Ordering::AcqRel);
        RequestGuard {
            gateway: Arc::clone(self),
        }
    }

    /// Identity of this node among the nodes that rollouts count.
    pub fn own_seat(&self) -> OwnSeat {
        let node = PeerId::of(&self.settings().node.name);
        OwnSeat {
            node,
            life: self.life,
            seat: self.address_book().seat(node),
        }
    }

    /// Whether callers' keys may be accepted now: the configuration is recent enough, or the
    /// settings accept keys regardless of its age.
    pub fn accepts_keys(&self) -> bool {
        let settings = self.settings();
        let limit = key_freshness_limit_ms(&settings);
        let now = self.clock.now();
        !settings.bounds.revoke_when_cut || self.beliefs().freshness.allows_keys(now, limit)
    }

    /// Whether one more successful request may be logged in this second; counts the line.
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

    /// Cost rates for the choice of an engine.
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

    /// When requests must no longer begin on outdated weights: `margin_ms` milliseconds
    /// before the site's bound, or at half of the bound if the margin is larger than that.
    pub fn weights_bounds(&self, margin_ms: u64) -> WeightsBounds {
        let bounds = &self.settings().bounds;
        // Both bounds count from the last proof without interruption, so the shorter one
        // implies the longer one.
        let bound_ms = bounds.weights_ms.min(bounds.weights_total_ms);
        WeightsBounds {
            avoid_after_ms: bound_ms - margin_ms.min(bound_ms / 2),
            avoid_after_start_ms: AVOID_AFTER_START_MS,
        }
    }
}

/// Time after the first proof of the newest weights during which requests may still begin
/// on older weights, in milliseconds, if no other node knows more. It lets a fleet that
/// starts from scratch serve at once while its engines load.
const AVOID_AFTER_START_MS: u64 = 2_500;

/// Fraction of the bound on revoked keys during which a configuration is relied on. The
/// rest covers the lag of a watch behind the store.
const KEY_FRESHNESS_SHARE: f64 = 0.94;

/// Maximum age, in milliseconds, of the proof that the configuration is the newest;
/// beyond it, keys are not accepted.
pub fn key_freshness_limit_ms(settings: &GatewaySettings) -> u64 {
    (settings.bounds.key_revocation_ms as f64 * KEY_FRESHNESS_SHARE) as u64
}

/// Maximum number of tunnels that a node carries for others.
const MAX_TUNNELS: usize = 512;
/// Maximum number of requests for a tunnel that a node handles at once.
const MAX_OPENING_TUNNELS: usize = 64;
/// Part of a node's link that tunnels may use.
const TUNNEL_LINK_SHARE: f64 = 0.25;
/// Bytes that a link of one megabit per second transfers in a second.
const BYTES_PER_MEGABIT: f64 = 125_000.0;

fn tunnel_limits(node: &NodeSettings) -> TunnelLimits {
    TunnelLimits {
        max_open: MAX_TUNNELS,
        max_opening: MAX_OPENING_TUNNELS,
        bytes_per_second: (node.link_mbps > 0.0)
            .then_some(node.link_mbps * BYTES_PER_MEGABIT * TUNNEL_LINK_SHARE),
    }
}

/// Counts a request as in flight until it is dropped.
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
