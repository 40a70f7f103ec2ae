//! What the tasks of a node share.

use crate::metrics::Metrics;
use crate::peers::address_book::AddressBook;
use crate::ports::{Site, WatchEvent};
use crate::settings::GatewaySettings;
use crate::time::Clock;
use async_channel::{Receiver, Sender};
use event_listener::Event;
use ploverlift_balancing::cache_contents::CacheContents;
use ploverlift_balancing::catalogue::{EngineCatalogue, InstanceId};
use ploverlift_balancing::peer_loads::{EngineTag, LoadedWeights, ModelTag, PeerLoads};
use ploverlift_balancing::prefix_holders::PrefixHolders;
use ploverlift_balancing::retry_budget::{RetryBudget, RetryLimits};
use ploverlift_balancing::selection::{CostRates, FleetView};
use ploverlift_balancing::weights::{NamedWeights, WeightsBounds};
use ploverlift_policy::ids::{Millis, ZoneName};
use ploverlift_routing::configuration::{Configuration, ServiceName};
use ploverlift_routing::freshness::Freshness;
use ploverlift_routing::split::WeightedSplitter;
use ploverlift_routing::table::RouteTable;
use ploverlift_routing::tenants::TenantDirectory;
use slog::Logger;
use std::collections::BTreeMap;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};

/// A configuration that was taken in, with what is looked up in it.
#[derive(Debug, Default)]
pub struct ActiveConfiguration {
    /// As the operator wrote it.
    pub document: Configuration,
    /// Its routes.
    pub routes: RouteTable,
    /// Its tenants; nothing when requests need no key.
    pub tenants: Option<TenantDirectory>,
}

impl ActiveConfiguration {
    /// Prepares a configuration for look-ups.
    pub fn new(document: Configuration) -> Self {
        let routes = RouteTable::new(&document.routes);
        let tenants = document.tenants.as_deref().map(TenantDirectory::new);
        Self {
            document,
            routes,
            tenants,
        }
    }
}

/// What is known of the store of kept cache.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum CacheStoreState {
    /// It does not answer: nothing is fetched from it or saved to it.
    #[default]
    Lost,
    /// It works, and has no room for this node's calls for events: what it holds
    /// is not known, but for what this node has had saved.
    Unobserved,
    /// Its events are followed.
    Followed,
}

/// What this node believes of the store of kept cache.
#[derive(Debug, Default)]
pub struct CacheBeliefs {
    /// What is known of the store itself.
    pub state: CacheStoreState,
    /// What it holds.
    pub contents: CacheContents,
}

/// A renewal of the lease on orders of which its holder told this node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HeardLease {
    /// The revision that the renewal was given.
    pub revision: u64,
    /// When this node first heard of it.
    pub heard_at: Millis,
}

/// What this node believes of the site.
#[derive(Debug, Default)]
pub struct Beliefs {
    /// The newest configuration seen in this life of the process.
    pub configuration: Option<Arc<ActiveConfiguration>>,
    /// When it was last proven to be the newest.
    pub freshness: Freshness,
    /// Engines.
    pub engines: EngineCatalogue,
    /// Whether the engines were listed once.
    pub engines_listed: bool,
    /// Named weights.
    pub weights: NamedWeights,
    /// Splits of routes.
    pub splitter: WeightedSplitter,
    /// The store of kept cache.
    pub cache: CacheBeliefs,
    /// Requests of the other nodes.
    pub peer_loads: PeerLoads,
    /// Engines that keep shared parts of prompts.
    pub holders: PrefixHolders,
    /// Engines that load weights by this node's order.
    pub loading: Vec<InstanceId>,
    /// Engines that loaded weights by this node's order, and when.
    pub loaded: Vec<(Millis, LoadedWeights)>,
    /// Revision of the lease on orders, while this node holds it.
    pub held_lease: Option<u64>,
    /// The newest revision of that lease of which its holder told this node.
    pub heard_lease: Option<HeardLease>,
    retry_budgets: BTreeMap<ServiceName, RetryBudget>,
}

/// One node.
pub struct Gateway {
    /// Settings in force.
    settings: Mutex<Arc<GatewaySettings>>,
    /// Zone of this node.
    pub zone: ZoneName,
    /// Translates the site's protocols.
    pub site: Arc<dyn Site>,
    /// Steady clock.
    pub clock: Clock,
    /// Log.
    pub log: Logger,
    /// Counters and histograms.
    pub metrics: Metrics,
    /// Told whenever the store was reached again after a failure.
    pub store_recovered: Event,
    /// Told whenever a version of weights was named.
    pub weights_named: Event,
    /// Told when another node has a newer configuration.
    pub configuration_outdated: Event,
    /// Told when the other nodes should hear from this one at once.
    pub report_due: Event,
    /// Told when a planned stop begins.
    pub stop_began: Event,
    /// Told whenever a request or a connection has ended.
    pub work_ended: Event,
    /// Changes of the engines that this node has read, for the nodes of its zone.
    pub catalogue_changes: (Sender<WatchEvent>, Receiver<WatchEvent>),
    /// Number of the next report to other nodes.
    pub report_sequence: AtomicU64,
    /// Where the splits of this node begin, in 0 to 1.
    pub split_start: f64,
    stopping: AtomicBool,
    refusing: AtomicBool,
    requests_under_way: AtomicUsize,
    success_lines: Mutex<LineAllowance>,
    beliefs: Mutex<Beliefs>,
    address_book: Mutex<AddressBook>,
}

/// Changes of the engines that wait to be passed on; more are left out.
const MAX_CHANGES_WAITING: usize = 256;

/// Time for which reports tell that an engine has loaded, in milliseconds: some
/// reports are lost.
const LOADED_NEWS_MS: u64 = 2_000;
/// Loaded engines in one report: the latest ones.
const MAX_LOADED_NEWS: usize = 12;

/// Log lines that were written in the present second.
#[derive(Debug, Default)]
struct LineAllowance {
    second: u64,
    lines: u32,
}

impl Gateway {
    /// A node that believes nothing yet.
    pub fn new(settings: GatewaySettings, site: Arc<dyn Site>, log: Logger) -> Self {
        Self {
            zone: ZoneName(settings.node.zone.clone()),
            settings: Mutex::new(Arc::new(settings)),
            site,
            clock: Clock::default(),
            log,
            metrics: Metrics::default(),
            store_recovered: Event::new(),
            weights_named: Event::new(),
            configuration_outdated: Event::new(),
            report_due: Event::new(),
            stop_began: Event::new(),
            work_ended: Event::new(),
            catalogue_changes: async_channel::bounded(MAX_CHANGES_WAITING),
            report_sequence: AtomicU64::new(1),
            split_start: fastrand::f64(),
            stopping: AtomicBool::new(false),
            refusing: AtomicBool::new(false),
            requests_under_way: AtomicUsize::new(0),
            success_lines: Mutex::new(LineAllowance::default()),
            beliefs: Mutex::new(Beliefs::default()),
            address_book: Mutex::new(AddressBook::default()),
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

    /// Addresses of the other nodes, locked. Never held over I/O.
    pub fn address_book(&self) -> MutexGuard<'_, AddressBook> {
        let address_book = self.address_book.lock();
        address_book.unwrap_or_else(|poisoned| poisoned.into_inner())
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
    pub fn requests_under_way(&self) -> usize {
        self.requests_under_way.load(Ordering::Acquire)
    }

    /// Counts a request as under way until the guard is dropped.
    pub fn request_guard(self: &Arc<Self>) -> RequestGuard {
        self.requests_under_way.fetch_add(1, Ordering::AcqRel);
        RequestGuard {
            gateway: Arc::clone(self),
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
            prompt_tokens_per_ms: cost.prompt_tokens_per_ms,
            transfer_share: cost.transfer_share,
            zone_ms: cost.zone_ms,
            slot_ms: cost.slot_ms,
            senders: cost.senders,
        }
    }

    /// When a request must no longer be on older weights, so long before the
    /// site's bound, in milliseconds.
    pub fn weights_bounds(&self, margin: u64) -> WeightsBounds {
        let settings = self.settings();
        WeightsBounds {
            avoid_after_ms: settings.bounds.weights_ms.saturating_sub(margin),
            avoid_after_total_ms: settings.bounds.weights_total_ms.saturating_sub(margin),
            avoid_after_start_ms: AVOID_AFTER_START_MS,
        }
    }
}

/// Time from the start after which weights older than those in use leave the
/// choice, in milliseconds: the bound of a version that was named before the
/// start may be near.
const AVOID_AFTER_START_MS: u64 = 2_500;

/// Part of the bound on revoked keys for which a configuration is relied on. The
/// rest covers what a watch may lag behind the store.
const KEY_FRESHNESS_SHARE: f64 = 0.94;

/// Longest age of the proof that a configuration is the newest while keys are
/// accepted, in milliseconds.
pub fn key_freshness_limit_ms(settings: &GatewaySettings) -> u64 {
    (settings.bounds.key_revocation_ms as f64 * KEY_FRESHNESS_SHARE) as u64
}

impl Beliefs {
    /// What is known of the fleet, for the choice of an engine.
    pub fn fleet(&self) -> FleetView<'_> {
        FleetView {
            catalogue: &self.engines,
            peer_loads: &self.peer_loads,
            holders: &self.holders,
        }
    }

    /// An engine has loaded weights by this node's order.
    pub fn note_loaded(&mut self, instance: &InstanceId, model: &str, version: u64, now: Millis) {
        self.engines.note_weights(instance, model, version);
        self.engines.note_loaded(instance);
        let loaded = LoadedWeights {
            engine: EngineTag::of(instance),
            model: ModelTag::of(model),
            version,
        };
        self.loaded
            .retain(|(at, _)| now.since(*at) < LOADED_NEWS_MS);
        self.loaded.push((now, loaded));
    }

    /// Engines of which the other nodes should hear that they have loaded.
    pub fn loaded_lately(&self, now: Millis) -> Vec<LoadedWeights> {
        let lately = self.loaded.iter().rev();
        let lately = lately.filter(|(at, _)| now.since(*at) < LOADED_NEWS_MS);
        let lately = lately.take(MAX_LOADED_NEWS);
        lately.map(|(_, loaded)| *loaded).collect()
    }

    /// The holder of the lease on orders told of its last renewal.
    pub fn hear_of_lease(&mut self, revision: u64, now: Millis) {
        if self
            .heard_lease
            .is_none_or(|known| known.revision < revision)
        {
            self.heard_lease = Some(HeardLease {
                revision,
                heard_at: now,
            });
        }
    }

    /// The retry budget of a service.
    pub fn retry_budget(
        &mut self,
        service: &ServiceName,
        settings: &GatewaySettings,
    ) -> &mut RetryBudget {
        let limits = RetryLimits {
            ratio: settings.bounds.retry_ratio * RETRY_RATIO_SHARE,
            reserve: settings.attempts.retry_reserve,
            window_ms: (settings.bounds.retry_window_seconds * 1_000.0) as u64,
        };
        let budgets = self.retry_budgets.entry(service.clone());
        budgets.or_insert_with(|| RetryBudget::new(limits))
    }

    /// The lowest version of a model's weights on which a request may begin.
    pub fn required_weights(&self, model: &str, bounds: &WeightsBounds, now: Millis) -> u64 {
        let in_use = self.engines.newest_weights(model);
        self.weights.required(model, in_use, bounds, now)
    }

    /// Takes in a configuration if it is newer; tells whether it was.
    pub fn take_configuration(&mut self, document: Configuration) -> bool {
        let known = self.configuration.as_ref();
        if known.is_some_and(|known| known.document.version >= document.version) {
            return false;
        }
        self.splitter.retain(&document.routes);
        self.configuration = Some(Arc::new(ActiveConfiguration::new(document)));
        true
    }
}

/// Part of the site's retry ratio that is used: nodes count requests and repeats
/// in windows of their own.
const RETRY_RATIO_SHARE: f64 = 0.8;

/// Counts a request as under way.
pub struct RequestGuard {
    gateway: Arc<Gateway>,
}

impl Drop for RequestGuard {
    fn drop(&mut self) {
        self.gateway
            .requests_under_way
            .fetch_sub(1, Ordering::AcqRel);
        self.gateway.work_ended.notify(usize::MAX);
    }
}
