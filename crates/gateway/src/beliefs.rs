//! A node's view of its site, from the store, its own traffic and other nodes. Any part of
//! it may be outdated.

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
use ploverlift_balancing::engine_paths::EnginePaths;
use ploverlift_balancing::fleet::{FleetView, StoreView};
use ploverlift_balancing::health::Outcome;
use ploverlift_balancing::moves::MovesUnderWay;
use ploverlift_balancing::overload::Overload;
use ploverlift_balancing::peer_loads::{EngineTag, LoadedWeights, ModelTag, PeerId, PeerLoads};
use ploverlift_balancing::prefill_rate::PrefillRate;
use ploverlift_balancing::prefix_holders::{Placement, PrefixHolders};
use ploverlift_balancing::retry_budget::{RetryBudget, RetryLimits};
use ploverlift_balancing::round_trips::RoundTrips;
use ploverlift_balancing::route_durations::RouteDurations;
use ploverlift_balancing::tunnel_peers::TunnelPeers;
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
use ploverlift_routing::tenants::{TenantDirectory, TenantTerms};
use ploverlift_routing::topology::Topology;
use ploverlift_streamorigin::journal::Journal;
use ploverlift_streamorigin::known_sources::KnownSources;
use ploverlift_streamorigin::origins::StreamOrigins;
use ploverlift_streamorigin::stored_origins::StoredOrigins;
use ploverlift_wire::peers::StoredConfiguration;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;

/// Time during which each report repeats that an engine has loaded weights, in
/// milliseconds: some reports are lost.
const LOADED_REPORT_MS: u64 = 2_000;
/// Maximum number of loaded engines in one report; the latest ones are reported.
const MAX_LOADED_REPORTS: usize = 12;

/// A configuration in force, with its lookup tables.
#[derive(Debug, Default)]
pub struct ActiveConfiguration {
    /// As the operator wrote it.
    pub document: Configuration,
    /// Route table.
    pub routes: RouteTable,
    /// Tenants; `None` when requests need no key.
    pub tenants: Option<TenantDirectory>,
}

impl ActiveConfiguration {
    /// Builds the lookup tables of a configuration.
    pub fn new(document: Configuration) -> Self {
        let routes = RouteTable::new(&document.routes);
        let tenants = document.tenants.as_deref().map(TenantDirectory::new);
        Self {
            document,
            routes,
            tenants,
        }
    }

    /// The scope within which the cache of a tenant's requests may be shared.
    pub fn cache_scope<'a>(&'a self, tenant: Option<&'a TenantTerms>) -> &'a str {
        let directory = self.tenants.as_ref();
        directory.map_or("", |directory| directory.cache_scope(tenant))
    }
}

/// This node's view of the site.
#[derive(Debug, Default)]
pub struct Beliefs {
    /// The newest configuration received since the process started.
    pub configuration: Option<Arc<ActiveConfiguration>>,
    /// The same configuration in stored form, for nodes that request it.
    pub stored_configuration: Option<Arc<StoredConfiguration>>,
    /// When the configuration was last proven to be the newest.
    pub freshness: Freshness,
    /// When this node last read the configuration from the store.
    pub store_reached_at: Option<Millis>,
    /// Known engines.
    pub engines: EngineCatalogue,
    /// Numbered changes of the engines.
    pub catalogue_log: CatalogueLog,
    /// Proof that this node's list of engines is complete, and its age.
    pub engines_proof: EnginesProof,
    /// Revision of the store up to which the engines are known.
    pub engines_revision: u64,
    /// Revision of the last list of all engines that this node read from the store itself;
    /// 0 before the first.
    pub listed_revision: u64,
    /// Relays that this node follows.
    pub followed: FollowedRelays,
    /// Duties towards the nodes that follow this one as a relay.
    pub relaying: RelayForwarding,
    /// Outages of the store, as observed in calls.
    pub store_outage: StoreOutage,
    /// Whether the engines were listed at least once.
    pub has_listed_engines: bool,
    /// Since when lists of the engines have ended before their end, if the last one did.
    pub engines_incomplete_since: Option<Millis>,
    /// Rate limits of tenants.
    pub limiter: RateLimiter,
    /// Rollouts of engines' software.
    pub rollouts: RolloutBeliefs,
    /// The register of stream sources.
    pub stream_sources: KnownSources,
    /// Services whose streams may be taken up, by the configuration.
    pub stream_services: BTreeSet<ServiceName>,
    /// Sources of streams that this node forwards or keeps for others.
    pub origins: StreamOrigins,
    /// Running streams whose sources this node stores.
    pub journal: Journal,
    /// Sources of streams that were read from the store.
    pub stored_origins: StoredOrigins,
    /// Whether they were read at least once.
    pub has_read_journals: bool,
    /// Named weights, and the proofs of which are the newest.
    pub weights: NamedWeights,
    /// Exchange of reports on the newest weights with other nodes.
    pub weights_exchange: WeightsExchange,
    /// Weighted splits of routes.
    pub splitter: WeightedSplitter,
    /// The KV cache stores.
    pub cache_stores: CacheStores,
    /// KV cache transfers that this node's requests have started.
    pub moves: MovesUnderWay,
    /// Measured round-trip times from this node to other zones.
    pub round_trips: RoundTrips,
    /// Loads that the other nodes report.
    pub peer_loads: PeerLoads,
    /// Engines that shared parts of prompts were sent to.
    pub holders: PrefixHolders,
    /// Cache contents of the engines whose cache events are followed.
    pub engine_caches: EngineCaches,
    /// Prompt tokens that this node recently sent to engines for prefill.
    pub assigned_prefill: RecentPrefill,
    /// Engines that are loading weights by this node's order.
    pub loading: Vec<InstanceId>,
    /// Engines whose completed load of weights is reported to other nodes, and when it was
    /// queued.
    pub loaded: Vec<(Millis, LoadedWeights)>,
    /// Leases that this node holds or that their holders reported.
    pub leases: LeaseBeliefs,
    /// How long the requests of each route have taken at this node.
    pub route_durations: RouteDurations,
    /// Overload observed in engines' answers, by service.
    pub overloads: BTreeMap<ServiceName, Overload>,
    /// Engines that ended a connection, and the requests that they were running.
    pub engine_ends: EngineEnds,
    /// Requests during which engines terminated.
    pub quarantine: Quarantine,
    /// Rate limits that engines advertise.
    pub engine_limits: EngineLimits,
    /// Whether another node has sent its engine signals to this one.
    pub has_received_signals: bool,
    /// Headers of engines, and values, that this release does not know; each is logged once.
    pub unread_signals: BTreeSet<String>,
    /// Engines that accept no connections any more.
    pub losses: EngineLosses,
    /// Engines that are cut off from this node.
    pub engine_paths: EnginePaths,
    /// Peers that are asked for tunnels to such engines.
    pub tunnel_peers: TunnelPeers,
    retry_budgets: BTreeMap<ServiceName, RetryBudget>,
    prefill_rates: BTreeMap<ServiceName, PrefillRate>,
}

impl Beliefs {
    /// View of the fleet for the choice of an engine. `stores` are the KV cache stores that
    /// may be used.
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
            paths: &self.engine_paths,
            peer_loads: &self.peer_loads,
            holders: &self.holders,
            caches: &self.engine_caches,
            recent_prefill: &self.assigned_prefill,
        }
    }

    /// Records that an engine has loaded weights by this node's order.
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

    /// Engines whose recent load of weights is to be reported to the other nodes.
    pub fn recently_loaded(&self, now: Millis) -> Vec<LoadedWeights> {
        let recent = self.loaded.iter().rev();
        let recent = recent.filter(|(at, _)| now.since(*at) < LOADED_REPORT_MS);
        let recent = recent.take(MAX_LOADED_REPORTS);
        recent.map(|(_, loaded)| *loaded).collect()
    }

    /// Queues a load of weights for this node's reports to the other nodes.
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

    /// Applies the parts of a report other than loads; they are not passed on to other nodes.
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

    /// The retry budget of a service, with the limits of these settings.
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
        let budget = self.retry_budgets.entry(service.clone());
        let budget = budget.or_insert_with(|| RetryBudget::new(limits));
        budget.set_limits(limits);
        budget
    }

    /// Prefill rate of a service's engines, in prompt tokens per millisecond; `usual` until
    /// it was learned from their answers.
    pub fn tokens_per_ms(&self, service: &ServiceName, usual: f64) -> f64 {
        let learned = self.prefill_rates.get(service);
        learned.map_or(usual, |rate| rate.tokens_per_ms(usual))
    }

    /// The prefill rate of a service, as learned from its engines' answers.
    pub fn prefill_rate(&mut self, service: &ServiceName) -> &mut PrefillRate {
        self.prefill_rates.entry(service.clone()).or_default()
    }

    /// Applies a rollout order or its status; `None` when nothing changed. When the rollout
    /// is complete, the engines of the earlier versions have been stopped and are removed.
    pub fn apply_rollout_order(
        &mut self,
        order: RolloutOrder,
        settings: RolloutSettings,
        now: Millis,
    ) -> Option<OrderUpdate> {
        let service = order.service.clone();
        let update = self.rollouts.apply_order(order, settings, now)?;
        let is_complete = self.rollouts.of_service(&service)?.is_complete();
        if is_complete {
            let records = self.engines.of_service(&service);
            let records: Vec<EngineRecord> = records.map(|engine| engine.record.clone()).collect();
            for (instance, revision) in self.rollouts.retire(&service, &records) {
                self.remove_engine(&instance, revision, now);
            }
        }
        Some(update)
    }

    /// Records the outcome of an attempt at an engine in everything that depends on it: the
    /// engine's health, whether it is reachable, and the evidence on its software version.
    pub fn observe(&mut self, attempt: &ObservedAttempt, now: Millis) {
        let engine = self.engines.get(&attempt.instance);
        let condition = EngineCondition::of(engine, now);
        self.rollouts.observe(attempt, condition);
        self.note_outcome(&attempt.instance, attempt.outcome, now);
    }

    /// Records the outcome of a request to an engine or a call of it, for its health and
    /// for whether it is reachable.
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
            // A broken connection does not show whether the engine is reachable.
            Outcome::Broken => {}
        }
    }

    /// Applies another node's or a relay's report of lost engines: this node checks the
    /// ones that it knows.
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

    /// Applies a configuration if it is newer than the known one; returns whether it was.
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
        self.route_durations.retain(&document.routes);
        self.limiter.set_limits(rate_limits(&document));
        self.configuration = Some(Arc::new(ActiveConfiguration::new(document)));
        self.stored_configuration = Some(Arc::new(stored));
        true
    }
}

fn rate_limits(document: &Configuration) -> HashMap<TenantTag, RateLimit> {
    let tenants = document.tenants.iter().flatten();
    let limits = tenants.filter_map(|tenant| {
        let limit = tenant.rate_limit?;
        Some((limit.account(tenant.name.as_str()), limit))
    });
    limits.collect()
}

/// Fraction of the site's retry ratio that a node uses: nodes count requests and retries
/// in separate windows, which are not aligned.
const RETRY_RATIO_SHARE: f64 = 0.8;
