//! Counters and histograms of a node, in the OpenMetrics text format.

use crate::callers::ConnectionMetrics;
use crate::engine_paths::metrics::PathMetrics;
use crate::forward::AnswerMetrics;
use crate::memory_metrics::MemoryMetrics;
use crate::ports::StoreCall;
use crate::rollouts::Arrival;
use crate::stream_metrics::StreamMetrics;
use ploverlift_enginelimit::node_messages::TokenAnswer;
use ploverlift_ratelimit::standing::Standing;
use ploverlift_rollout::counts::Side;
use ploverlift_routing::topology::Distance;
use prometheus_client::encoding::text::encode;
use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::{exponential_buckets, Histogram};
use prometheus_client::registry::{Registry, Unit};
use std::sync::atomic::AtomicU64;

/// Prefix of every metric's name.
const PREFIX: &str = "ploverlift_gateway";
/// Upper bound of the first bucket of durations, in seconds.
const FIRST_BUCKET_SECONDS: f64 = 0.005;
/// Number of buckets of durations; each upper bound is twice the one before.
const BUCKETS: u16 = 12;

/// Outcome of a request.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct OutcomeLabel {
    /// Name of the outcome, as in the log.
    pub outcome: &'static str,
}

/// Something that a node needs before it accepts callers.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct RequirementLabel {
    /// Its name, as in the log.
    pub requirement: &'static str,
}

/// A new connection that an engine ended without an answer.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct RejectionLabel {
    /// What had been sent on it: `nothing`, so that the engine did not admit it, or `request`.
    pub sent: &'static str,
}

/// A kind of call of the object store.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct StoreCallLabel {
    /// Operation: list, list_stale, get, watch, create or replace.
    pub call: &'static str,
    /// The kind of objects.
    pub kind: &'static str,
}

/// A kind of stored objects.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct StoredKindLabel {
    /// The kind of objects.
    pub kind: &'static str,
}

/// Labels of requests of tenants that have a rate limit.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct LimitLabel {
    /// Size class of the limit: there are too many tenants for one label each.
    pub class: &'static str,
    /// Basis of the decision.
    pub basis: &'static str,
    /// Whether the request was admitted.
    pub decision: &'static str,
}

impl LimitLabel {
    fn of(standing: &Standing) -> Self {
        let class = match standing.limit.per_second {
            limit if limit < 1_000.0 => "under_1k",
            limit if limit < 100_000.0 => "under_100k",
            limit if limit < 1_000_000.0 => "under_1m",
            _ => "over_1m",
        };
        Self {
            class,
            basis: standing.basis.name(),
            decision: match standing.is_admitted {
                true => "admitted",
                false => "over_limit",
            },
        }
    }
}

/// An engine that advertises a rate limit.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct LimitedEngineLabel {
    /// The engine.
    pub engine: String,
}

/// A signal that an engine sets in its answers.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct SignalLabel {
    /// `limit`, `leaving` or `backoff`.
    pub signal: &'static str,
}

/// A lease.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct LeaseLabel {
    /// Its name in the store.
    pub lease: &'static str,
}

/// Answer to a token request.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct TokenLabel {
    /// The answer.
    pub answer: &'static str,
}

/// A stage of a service's rollout.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct RolloutLabel {
    /// The service.
    pub service: String,
    /// The stage, as in the log.
    pub stage: &'static str,
}

/// Requests sent to engines of one side of a rollout.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct ArrivalLabel {
    /// The service.
    pub service: String,
    /// `target` or `established`.
    pub side: &'static str,
    /// The stage, as in the log.
    pub stage: &'static str,
    /// Epoch of the stage.
    pub epoch: u64,
}

/// Distance to the engine or to the sender.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct DistanceLabel {
    /// As in [`Distance::name`].
    pub distance: &'static str,
}

/// Expected supply of the shared tokens of a prompt when an engine was chosen.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct SharedTokensLabel {
    /// `held`: in the engine's cache; `moved`: transferred to it; `read`: to be prefilled.
    pub supply: &'static str,
}

/// All metrics.
#[derive(Debug)]
pub struct Metrics {
    /// Requests by outcome.
    pub requests: Family<OutcomeLabel, Counter>,
    /// Requests sent to engines.
    pub attempts: Counter,
    /// Requests sent to engines, by distance.
    pub attempts_by_distance: Family<DistanceLabel, Counter>,
    /// Bytes of request bodies sent to engines, by distance.
    pub request_bytes: Family<DistanceLabel, Counter>,
    /// Shared tokens of the prompts that were sent, by expected supply.
    pub shared_tokens: Family<SharedTokensLabel, Counter>,
    /// Bytes of the answers to calls for cache events, by distance to the sender.
    pub cache_event_bytes: Family<DistanceLabel, Counter>,
    /// Retries: requests sent again to an engine.
    pub repeats: Counter,
    /// Requests that were not sent because engines terminated while running them.
    pub withheld_requests: Counter,
    /// Terminations of engines while they ran requests of this node.
    pub engine_ends: Counter,
    /// Answers in which engines advertised a rate limit.
    pub limited_answers: Counter,
    /// Engines that advertise a rate limit.
    pub limited_engines: Gauge,
    /// Rate limits that engines advertise, in requests per second.
    pub engine_limits: Family<LimitedEngineLabel, Gauge<f64, AtomicU64>>,
    /// Requests to such engines that this node has granted as the limit holder.
    pub granted_requests: Family<LimitedEngineLabel, Counter>,
    /// Token requests that this node answered, by answer.
    pub tokens: Family<TokenLabel, Counter>,
    /// Token requests that no other node answered.
    pub unanswered_tokens: Counter,
    /// Requests that were rejected because all engines are at their rate limits.
    pub rejected_for_limits: Counter,
    /// Answers in which engines announced that they leave.
    pub leaving_answers: Counter,
    /// Answers in which engines requested a backoff.
    pub backoff_answers: Counter,
    /// Signals in engines' answers that could not be parsed.
    pub invalid_signals: Family<SignalLabel, Counter>,
    /// Headers with the engines' own prefix that this release does not know.
    pub unread_headers: Counter,
    /// Requests sent on a reused connection.
    pub reused_connections: Counter,
    /// New connections that engines ended without an answer.
    pub rejected_connections: Family<RejectionLabel, Counter>,
    /// Idle connections of callers that were closed to free capacity for others.
    pub connections_closed_for_room: Counter,
    /// Calls of the object store, by operation and kind of objects.
    pub store_calls: Family<StoreCallLabel, Counter>,
    /// Calls of the object store that failed.
    pub store_failures: Counter,
    /// Stored entries that were read and rejected, by kind.
    pub rejected_entries: Family<StoredKindLabel, Counter>,
    /// Lists of stored objects that could not be read to their end, by kind.
    pub incomplete_lists: Family<StoredKindLabel, Counter>,
    /// Number of times that the store was restored from a copy.
    pub store_restorations: Counter,
    /// The era of the store.
    pub store_era: Gauge,
    /// Known leases that were missing in the store.
    pub missing_leases: Counter,
    /// Fencing tokens that engines refused.
    pub refused_fencing_tokens: Counter,
    /// This node's fencing token, by lease; 0 while it does not hold the lease.
    pub fencing_tokens: Family<LeaseLabel, Gauge>,
    /// Orders to engines.
    pub orders: Counter,
    /// Requests of tenants that have a rate limit.
    pub limited_requests: Family<LimitLabel, Counter>,
    /// Units of rate limits that such requests asked for.
    pub limited_units: Family<LimitLabel, Counter>,
    /// Requests sent to engines of services that have a rollout.
    pub rollout_arrivals: Family<ArrivalLabel, Counter>,
    /// Epoch of the current stage of a service's rollout.
    pub rollout_epoch: Family<RolloutLabel, Gauge>,
    /// For how long this node has lacked what it needs before it accepts callers, in seconds.
    pub lacking_seconds: Family<RequirementLabel, Gauge<f64, AtomicU64>>,
    /// Version of the configuration in force.
    pub configuration_version: Gauge,
    /// Other nodes from which a report arrived recently.
    pub peers: Gauge,
    /// Engines in the catalogue.
    pub engines: Gauge,
    /// Engines whose cache events are followed.
    pub followed_caches: Gauge,
    /// Number of times that this node began to follow an engine's cache.
    pub begun_cache_feeds: Counter,
    /// Log lines on requests that were skipped.
    pub log_lines_skipped: Counter,
    /// Requests that were held until the list of engines was up to date.
    pub held_requests: Counter,
    /// Time from the request's head to the first byte of the answer.
    pub first_byte_seconds: Histogram,
    /// Connections to engines.
    pub paths: PathMetrics,
    /// Engines' answers.
    pub answers: AnswerMetrics,
    /// Streams that go on after a break.
    pub streams: StreamMetrics,
    /// Connections of callers.
    pub connections: ConnectionMetrics,
    /// Bytes that this node holds for others.
    pub memory: MemoryMetrics,
}

impl Default for Metrics {
    fn default() -> Self {
        let buckets = exponential_buckets(FIRST_BUCKET_SECONDS, 2.0, BUCKETS);
        Self {
            requests: Family::default(),
            attempts: Counter::default(),
            attempts_by_distance: Family::default(),
            request_bytes: Family::default(),
            shared_tokens: Family::default(),
            cache_event_bytes: Family::default(),
            repeats: Counter::default(),
            withheld_requests: Counter::default(),
            engine_ends: Counter::default(),
            limited_answers: Counter::default(),
            limited_engines: Gauge::default(),
            engine_limits: Family::default(),
            granted_requests: Family::default(),
            tokens: Family::default(),
            unanswered_tokens: Counter::default(),
            rejected_for_limits: Counter::default(),
            leaving_answers: Counter::default(),
            backoff_answers: Counter::default(),
            invalid_signals: Family::default(),
            unread_headers: Counter::default(),
            reused_connections: Counter::default(),
            rejected_connections: Family::default(),
            connections_closed_for_room: Counter::default(),
            store_calls: Family::default(),
            store_failures: Counter::default(),
            rejected_entries: Family::default(),
            incomplete_lists: Family::default(),
            store_restorations: Counter::default(),
            store_era: Gauge::default(),
            missing_leases: Counter::default(),
            refused_fencing_tokens: Counter::default(),
            fencing_tokens: Family::default(),
            orders: Counter::default(),
            limited_requests: Family::default(),
            limited_units: Family::default(),
            rollout_arrivals: Family::default(),
            rollout_epoch: Family::default(),
            lacking_seconds: Family::default(),
            configuration_version: Gauge::default(),
            peers: Gauge::default(),
            engines: Gauge::default(),
            followed_caches: Gauge::default(),
            begun_cache_feeds: Counter::default(),
            log_lines_skipped: Counter::default(),
            held_requests: Counter::default(),
            first_byte_seconds: Histogram::new(buckets),
            paths: PathMetrics::default(),
            answers: AnswerMetrics::default(),
            streams: StreamMetrics::default(),
            connections: ConnectionMetrics::default(),
            memory: MemoryMetrics::default(),
        }
    }
}

impl Metrics {
    /// Counts a request by outcome.
    pub fn count_request(&self, outcome: &'static str) {
        self.requests.get_or_create(&OutcomeLabel { outcome }).inc();
    }

    /// Counts a request with a body of `body_bytes` by the distance to its engine.
    pub fn count_distance(&self, distance: Distance, body_bytes: u64) {
        let label = DistanceLabel {
            distance: distance.name(),
        };
        self.attempts_by_distance.get_or_create(&label).inc();
        self.request_bytes.get_or_create(&label).inc_by(body_bytes);
    }

    /// Counts bytes of an answer to a call for cache events.
    pub fn count_event_bytes(&self, distance: Distance, bytes: u64) {
        let label = DistanceLabel {
            distance: distance.name(),
        };
        self.cache_event_bytes.get_or_create(&label).inc_by(bytes);
    }

    /// Counts shared tokens of a prompt that was sent.
    pub fn count_shared_tokens(&self, supply: &'static str, tokens: u64) {
        let label = SharedTokensLabel { supply };
        self.shared_tokens.get_or_create(&label).inc_by(tokens);
    }

    /// Counts a call of the object store.
    pub fn count_store_call(&self, call: &StoreCall) {
        let label = StoreCallLabel {
            call: call.name(),
            kind: call.kind().name(),
        };
        self.store_calls.get_or_create(&label).inc();
    }

    /// Records that a service's rollout has reached a stage.
    pub fn note_rollout_stage(&self, service: &str, stage: &'static str, epoch: u64) {
        let service = service.to_owned();
        let epoch = i64::try_from(epoch).unwrap_or(i64::MAX);
        let label = RolloutLabel { service, stage };
        self.rollout_epoch.get_or_create(&label).set(epoch);
    }

    /// Counts an attempt at an engine of a service with an open rollout.
    pub fn count_arrival(&self, service: &str, arrival: &Arrival) {
        let label = ArrivalLabel {
            service: service.to_owned(),
            side: match arrival.side {
                Side::Target => "target",
                Side::Established => "established",
            },
            stage: arrival.stage.name(),
            epoch: arrival.epoch.0,
        };
        self.rollout_arrivals.get_or_create(&label).inc();
    }

    /// Replaces the rate limits that engines advertise by the given ones.
    pub fn set_engine_limits(&self, limits: impl Iterator<Item = (String, f64)>) {
        self.engine_limits.clear();
        let mut count = 0;
        for (engine, limit) in limits {
            let label = LimitedEngineLabel { engine };
            self.engine_limits.get_or_create(&label).set(limit);
            count += 1;
        }
        self.limited_engines.set(count);
        if count == 0 {
            // Otherwise the labels of engines that are gone would accumulate.
            self.granted_requests.clear();
        }
    }

    /// Sets this node's fencing token of a lease; `None` while it does not hold the lease.
    pub fn set_fencing_token(&self, lease: &'static str, token: Option<u64>) {
        let token = token.map_or(0, |token| i64::try_from(token).unwrap_or(i64::MAX));
        self.fencing_tokens
            .get_or_create(&LeaseLabel { lease })
            .set(token);
    }

    /// Counts a new connection that an engine ended without an answer, by what had been sent on
    /// it.
    pub fn count_rejected_connection(&self, sent: &'static str) {
        let label = RejectionLabel { sent };
        self.rejected_connections.get_or_create(&label).inc();
    }

    /// Counts a signal of an engine that could not be parsed.
    pub fn count_invalid_signal(&self, signal: &'static str) {
        let label = SignalLabel { signal };
        self.invalid_signals.get_or_create(&label).inc();
    }

    /// Counts a token request by its answer.
    pub fn count_token(&self, answer: &TokenAnswer) {
        let answer = match answer {
            TokenAnswer::Granted { .. } => "granted",
            TokenAnswer::Denied(_) => "denied",
            TokenAnswer::Unlimited => "unlimited",
            TokenAnswer::NotHolder => "not_holder",
        };
        self.tokens.get_or_create(&TokenLabel { answer }).inc();
    }

    /// Counts a request of a tenant that has a rate limit.
    pub fn count_limited(&self, standing: &Standing) {
        let label = LimitLabel::of(standing);
        self.limited_requests.get_or_create(&label).inc();
        let units = self.limited_units.get_or_create(&label);
        units.inc_by(standing.cost);
    }

    /// Encodes the current metrics as an OpenMetrics page.
    pub fn page(&self) -> String {
        let mut registry = Registry::with_prefix(PREFIX);
        registry.register(
            "requests",
            "Requests by how they ended",
            self.requests.clone(),
        );
        let counters = [
            ("attempts", "Requests sent to engines", &self.attempts),
            (
                "begun_cache_feeds",
                "Engines whose cache this node began to follow",
                &self.begun_cache_feeds,
            ),
            ("repeats", "Requests sent a second time", &self.repeats),
            (
                "withheld_requests",
                "Requests that were not sent because engines ended under them",
                &self.withheld_requests,
            ),
            (
                "engine_ends",
                "Engines that ended under requests of this node",
                &self.engine_ends,
            ),
            (
                "limited_answers",
                "Answers in which engines named a rate limit",
                &self.limited_answers,
            ),
            (
                "unanswered_tokens",
                "Questions for tokens that no other node answered",
                &self.unanswered_tokens,
            ),
            (
                "rejected_for_limits",
                "Requests rejected because all engines get as many as they take",
                &self.rejected_for_limits,
            ),
            (
                "leaving_answers",
                "Answers in which engines said that they leave",
                &self.leaving_answers,
            ),
            (
                "backoff_answers",
                "Answers in which engines asked this node to back off",
                &self.backoff_answers,
            ),
            (
                "unread_headers",
                "Headers of the engines' own family in answers that are not read",
                &self.unread_headers,
            ),
            (
                "reused_connections",
                "Requests sent on a kept connection",
                &self.reused_connections,
            ),
            (
                "connections_closed_for_room",
                "Resting connections of callers closed to make room",
                &self.connections_closed_for_room,
            ),
            (
                "store_failures",
                "Failed calls of the store",
                &self.store_failures,
            ),
            (
                "store_restorations",
                "Times that the store came back from a copy",
                &self.store_restorations,
            ),
            (
                "missing_leases",
                "Leases that were known and that the store lacked",
                &self.missing_leases,
            ),
            (
                "refused_fencing_tokens",
                "Fencing tokens that engines refused",
                &self.refused_fencing_tokens,
            ),
            ("orders", "Orders to engines", &self.orders),
            (
                "log_lines_skipped",
                "Log lines left out",
                &self.log_lines_skipped,
            ),
            (
                "held_requests",
                "Requests that waited for news of the engines",
                &self.held_requests,
            ),
        ];
        for (name, help, counter) in counters {
            registry.register(name, help, counter.clone());
        }
        registry.register(
            "attempts_by_distance",
            "Requests sent to engines, by how far these are",
            self.attempts_by_distance.clone(),
        );
        registry.register(
            "request_bytes",
            "Bytes of requests' bodies sent to engines, by how far these are",
            self.request_bytes.clone(),
        );
        registry.register(
            "shared_tokens",
            "Shared tokens of prompts that were sent, by where they were expected",
            self.shared_tokens.clone(),
        );
        registry.register(
            "cache_event_bytes",
            "Bytes of answers to calls for cache events, by how far they came",
            self.cache_event_bytes.clone(),
        );
        let help = "New connections that engines ended without an answer, by what had been sent";
        registry.register(
            "rejected_connections",
            help,
            self.rejected_connections.clone(),
        );
        let help = "Calls of the object store by what they do and of which kind";
        registry.register("store_calls", help, self.store_calls.clone());
        let help = "Stored entries that were read and rejected, by kind";
        registry.register("rejected_entries", help, self.rejected_entries.clone());
        let help = "Lists of stored objects that could not be read to their end, by kind";
        registry.register("incomplete_lists", help, self.incomplete_lists.clone());
        registry.register(
            "limited_requests",
            "Requests of tenants that have a limit, by its size and the decision",
            self.limited_requests.clone(),
        );
        registry.register(
            "limited_units",
            "Units of limits that requests asked for, by size and decision",
            self.limited_units.clone(),
        );
        let help = "Requests sent to engines of services with a rollout";
        registry.register("rollout_arrivals", help, self.rollout_arrivals.clone());
        let help = "Epoch of the last rollout stage of each name";
        registry.register("rollout_epoch", help, self.rollout_epoch.clone());
        registry.register("store_era", "Era of the store", self.store_era.clone());
        let help = "Fencing token of this node by lease, 0 while it does not hold it";
        registry.register("fencing_token", help, self.fencing_tokens.clone());
        let help = "Age of the lack of what this node needs before it is ready; 0 once it is met";
        let lacking = self.lacking_seconds.clone();
        registry.register_with_unit("lacking", help, Unit::Seconds, lacking);
        let version = self.configuration_version.clone();
        registry.register("configuration_version", "Configuration in force", version);
        registry.register("engines", "Engines in the catalogue", self.engines.clone());
        let followed = self.followed_caches.clone();
        registry.register(
            "followed_caches",
            "Engines whose cache is followed",
            followed,
        );
        registry.register(
            "limited_engines",
            "Engines that advertise a rate limit",
            self.limited_engines.clone(),
        );
        let help = "Rate limits that engines advertise, in requests a second";
        registry.register("engine_limit", help, self.engine_limits.clone());
        let help = "Requests granted at engines that advertise a limit, by the node that counts";
        registry.register("granted_requests", help, self.granted_requests.clone());
        let help = "Signals of engines in answers that could not be read";
        registry.register("invalid_signals", help, self.invalid_signals.clone());
        let help = "Questions for tokens of limited engines, by the answer";
        registry.register("tokens", help, self.tokens.clone());
        registry.register("peers", "Other nodes heard of lately", self.peers.clone());
        let first_byte = self.first_byte_seconds.clone();
        let help = "Time to the first byte of the answer";
        registry.register_with_unit("first_byte", help, Unit::Seconds, first_byte);
        self.paths.register(&mut registry);
        self.answers.register(&mut registry);
        self.streams.register(&mut registry);
        self.connections.register(&mut registry);
        self.memory.register(&mut registry);
        let mut text = String::new();
        // Writing to a string does not fail.
        let _ = encode(&mut text, &registry);
        text
    }
}
