//! What a node believes of its site, from the store, its traffic and other nodes.

use crate::catalogue_log::CatalogueLog;
use crate::cut_requests::EngineEnds;
use crate::engines_proof::EnginesProof;
use crate::leases::{LeaseBeliefs, LeaseName, LeaseRenewal};
use crate::outcomes::ObservedAttempt;
use crate::peers::followed_relays::FollowedRelays;
use crate::peers::relay_forwarding::RelayForwarding;
use crate::peers::weights_exchange::WeightsExchange;
use crate::rollouts::{EngineCondition, OrderUpdate, RolloutBeliefs};
use crate::settings::GatewaySettings;
use crate::store::outage::StoreOutage;
use ploverlift_balancing::cache_stores::CacheStores;
use ploverlift_balancing::catalogue::{EngineCatalogue, EngineRecord, InstanceId};
use ploverlift_balancing::engine_caches::EngineCaches;
use ploverlift_balancing::engine_losses::{EngineLosses, LostEngine, ReportSource};
use ploverlift_balancing::fleet::{FleetView, StoreView};
use ploverlift_balancing::health::Outcome;
use ploverlift_balancing::moves::MovesUnderWay;
use ploverlift_balancing::overload::Overload;
use ploverlift_balancing::peer_loads::{EngineTag, LoadedWeights, ModelTag, PeerId, PeerLoads};
use ploverlift_balancing::prefill_rate::PrefillRate;
use ploverlift_balancing::prefix_holders::{Placement, PrefixHolders};
use ploverlift_balancing::retry_budget::{RetryBudget, RetryLimits};
use ploverlift_balancing::round_trips::RoundTrips;
use ploverlift_balancing::unreported_load::RecentPrefill;
use ploverlift_balancing::weights::NamedWeights;
use ploverlift_enginelimit::limits::EngineLimits;
use ploverlift_policy::ids::Millis;
use ploverlift_quarantine::quarantine::Quarantine;
use ploverlift_ratelimit::limiter::RateLimiter;
use ploverlift_rollout::order::RolloutOrder;
use ploverlift_rollout::settings::RolloutSettings;
use ploverlift_routing::configuration::{Configuration, ServiceName};
use ploverlift_routing::freshness::Freshness;
use ploverlift_routing::rate_limit::{RateLimit, TenantTag};
use ploverlift_routing::split::WeightedSplitter;
use ploverlift_routing::table::RouteTable;
use ploverlift_routing::tenants::TenantDirectory;
use ploverlift_routing::topology::Topology;
use ploverlift_wire::peers::StoredConfiguration;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;

/// Time for which reports tell that an engine has loaded, in milliseconds: some
/// reports are lost.
const LOADED_REPORT_MS: u64 = 2_000;
/// Loaded engines in one report: the latest ones.
const MAX_LOADED_REPORTS: usize = 12;

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

/// What this node believes of the site.
#[derive(Debug, Default)]
pub struct Beliefs {
    /// The newest configuration seen in this life of the process.
    pub configuration: Option<Arc<ActiveConfiguration>>,
    /// The same as it is stored, for nodes that ask for it.
    pub stored_configuration: Option<Arc<StoredConfiguration>>,
    /// When it was last proven to be the newest.
    pub freshness: Freshness,
    /// When this node last read it from the store.
    pub store_reached_at: Option<Millis>,
    /// Engines.
    pub engines: EngineCatalogue,
    /// Their changes, numbered.
    pub catalogue_log: CatalogueLog,
    /// What proves that this node knows them all.
    pub engines_proof: EnginesProof,
    /// Revision of the store up to which they are known.
    pub engines_revision: u64,
    /// Revision of the last list of all engines that this node read by itself; 0 before.
    pub listed_revision: u64,
    /// Relays that this node hears.
    pub followed: FollowedRelays,
    /// Nodes that take this one for a relay.
    pub relaying: RelayForwarding,
    /// Outages of the store, as calls showed them.
    pub store_outage: StoreOutage,
    /// Whether the engines were listed once.
    pub has_listed_engines: bool,
    /// Limits of tenants.
    pub limiter: RateLimiter,
    /// Rollouts of engines' software.
    pub rollouts: RolloutBeliefs,
    /// Named weights, and the proofs of which are the newest.
    pub weights: NamedWeights,
    /// What was sent and heard to tell others of them.
    pub weights_exchange: WeightsExchange,
    /// Splits of routes.
    pub splitter: WeightedSplitter,
    /// The KV cache stores.
    pub cache_stores: CacheStores,
    /// Moves of KV cache that this node's requests have begun.
    pub moves: MovesUnderWay,
    /// How long round trips from this node to other zones take.
    pub round_trips: RoundTrips,
    /// Requests of the other nodes.
    pub peer_loads: PeerLoads,
    /// Where shared parts of prompts were sent.
    pub holders: PrefixHolders,
    /// What the engines whose events are followed keep.
    pub engine_caches: EngineCaches,
    /// What this node gave engines to read lately.
    pub assigned_prefill: RecentPrefill,
    /// Engines that load weights by this node's order.
    pub loading: Vec<InstanceId>,
    /// Engines that loaded weights by this node's order, and when.
    pub loaded: Vec<(Millis, LoadedWeights)>,
    /// Leases, as far as this node holds them or their holders told it.
    pub leases: LeaseBeliefs,
    /// What answers have shown of overload, by service.
    pub overloads: BTreeMap<ServiceName, Overload>,
    /// Engines that ended a connection, and what they were sent on it.
    pub engine_ends: EngineEnds,
    /// Requests under which engines ended.
    pub quarantine: Quarantine,
    /// Rate limits that engines advertise.
    pub engine_limits: EngineLimits,
    /// Whether another node has told what engines said of themselves.
    pub has_received_signals: bool,
    /// Headers of engines, and values, that this release does not read.
    pub unread_signals: BTreeSet<String>,
    /// Engines that take no connection any more.
    pub losses: EngineLosses,
    retry_budgets: BTreeMap<ServiceName, RetryBudget>,
    prefill_rates: BTreeMap<ServiceName, PrefillRate>,
}

impl Beliefs {
    /// What is known of the fleet, for the choice of an engine. `stores` are the KV
    /// cache stores that may be used.
    pub fn fleet<'a>(
        &'a self,
        topology: &'a Topology,
        stores: Vec<StoreView<'a>>,
    ) -> FleetView<'a> {
        FleetView {
            topology,
            round_trips: &self.round_trips,
            moves: &self.moves,
            cache_stores: stores,
            catalogue: &self.engines,
            peer_loads: &self.peer_loads,
            holders: &self.holders,
            caches: &self.engine_caches,
            recent_prefill: &self.assigned_prefill,
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
        self.queue_loaded_report(loaded, now);
    }

    /// Engines of which the other nodes should hear that they have loaded.
    pub fn recently_loaded(&self, now: Millis) -> Vec<LoadedWeights> {
        let lately = self.loaded.iter().rev();
        let lately = lately.filter(|(at, _)| now.since(*at) < LOADED_REPORT_MS);
        let lately = lately.take(MAX_LOADED_REPORTS);
        lately.map(|(_, loaded)| *loaded).collect()
    }

    /// An engine was loaded by another node's order, and others should hear of it.
    pub fn queue_loaded_report(&mut self, loaded: LoadedWeights, now: Millis) {
        self.loaded
            .retain(|(at, _)| now.since(*at) < LOADED_REPORT_MS);
        self.loaded.push((now, loaded));
    }

    /// The version of the configuration in force.
    pub fn configuration_version(&self) -> Option<u64> {
        let known = self.configuration.as_ref();
        known.map(|known| known.document.version)
    }

    /// Takes in what a report tells besides loads, at a node that passes nothing on.
    pub fn note_reported(
        &mut self,
        placements: &[Placement],
        loaded: &[LoadedWeights],
        lease: Option<LeaseRenewal>,
        now: Millis,
    ) {
        for placement in placements {
            self.holders.note(*placement, now);
        }
        for loaded in loaded {
            self.engines.note_loaded_weights(loaded);
        }
        if let Some(renewal) = lease {
            self.leases
                .of_mut(LeaseName::Weights)
                .note_announced(renewal, now);
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

    /// Prompt tokens that an engine of a service reads in a millisecond; `usual` until
    /// its answers have shown it.
    pub fn tokens_per_ms(&self, service: &ServiceName, usual: f64) -> f64 {
        let learned = self.prefill_rates.get(service);
        learned.map_or(usual, |rate| rate.tokens_per_ms(usual))
    }

    /// What the answers of a service's engines have shown of their reading.
    pub fn prefill_rate(&mut self, service: &ServiceName) -> &mut PrefillRate {
        self.prefill_rates.entry(service.clone()).or_default()
    }

    /// Takes in an order of a rollout, or its status; nothing when it is no news. Engines
    /// of the versions that served before a rollout that is complete have been stopped.
    pub fn apply_rollout_order(
        &mut self,
        order: RolloutOrder,
        settings: RolloutSettings,
        now: Millis,
    ) -> Option<OrderUpdate> {
        let service = order.service.clone();
        let news = self.rollouts.apply_order(order, settings, now)?;
        let is_complete = self.rollouts.of_service(&service)?.is_complete();
        if is_complete {
            let records = self.engines.of_service(&service);
            let records: Vec<EngineRecord> = records.map(|engine| engine.record.clone()).collect();
            for (instance, revision) in self.rollouts.retire(&service, &records) {
                self.remove_engine(&instance, revision, now);
            }
        }
        Some(news)
    }

    /// Takes in how an attempt at an engine went, for all that learn from it: the
    /// health of the engine, whether it is there at all, and the evidence on a version
    /// of its software.
    pub fn observe(&mut self, attempt: &ObservedAttempt, now: Millis) {
        let engine = self.engines.get(&attempt.instance);
        let condition = EngineCondition::of(engine, now);
        self.rollouts.observe(attempt, condition);
        self.note_outcome(&attempt.instance, attempt.outcome, now);
    }

    /// Takes in how a request or a call at an engine went, for its health and for
    /// whether it is there at all.
    pub fn note_outcome(&mut self, instance: &InstanceId, outcome: Outcome, now: Millis) {
        self.engines.note_outcome(instance, outcome, now);
        match outcome {
            Outcome::Unreachable => {
                if let Some(engine) = self.engines.get(instance) {
                    let address = engine.record.address;
                    self.losses.note_suspected(instance, address);
                }
            }
            Outcome::Answered | Outcome::Failed | Outcome::Refused => {
                self.losses.note_reached(instance, now);
            }
            // A connection that breaks off shows neither.
            Outcome::Broken => {}
        }
    }

    /// Another node or a relay told of engines that are lost: this node checks those
    /// that it knows.
    pub fn apply_reported_losses(
        &mut self,
        source: ReportSource,
        sender: PeerId,
        lost: &[LostEngine],
        fleet: usize,
        now: Millis,
    ) {
        for tag in self.losses.apply_reported(source, sender, lost, fleet, now) {
            let Some(engine) = self.engines.by_tag(tag) else {
                continue;
            };
            let (instance, address) = (engine.record.instance.clone(), engine.record.address);
            self.losses.note_suspected(&instance, address);
        }
    }

    /// Takes in a configuration if it is newer; tells whether it was.
    pub fn apply_configuration(
        &mut self,
        document: Configuration,
        stored: StoredConfiguration,
    ) -> bool {
        let known = self.configuration.as_ref();
        if known.is_some_and(|known| known.document.version >= document.version) {
            return false;
        }
        self.splitter.retain(&document.routes);
        self.limiter.set_limits(rate_limits(&document));
        self.configuration = Some(Arc::new(ActiveConfiguration::new(document)));
        self.stored_configuration = Some(Arc::new(stored));
        true
    }
}

fn rate_limits(document: &Configuration) -> HashMap<TenantTag, RateLimit> {
    let tenants = document.tenants.iter().flatten();
    let limits = tenants
        .filter_map(|tenant| Some((TenantTag::of(tenant.name.as_str()), tenant.rate_limit?)));
    limits.collect()
}

/// Part of the site's retry ratio that is used: nodes count requests and repeats
/// in windows of their own.
const RETRY_RATIO_SHARE: f64 = 0.8;
