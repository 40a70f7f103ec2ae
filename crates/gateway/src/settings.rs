//! The gateway's settings file (TOML). Every key but the addresses has a default.

use crate::settings_admission::AdmissionSettings;
use crate::settings_callers::CallerSettings;
use crate::settings_defaults as defaults;
use crate::settings_error::{renamed_key, ReadSnafu, RenamedSnafu, ShapeSnafu};
use ploverlift_policy::ids::ZoneName;
use ploverlift_routing::topology::{RegionName, Topology};
use serde::{Deserialize, Serialize};
use snafu::ResultExt;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::Path;

pub use crate::settings_error::SettingsError;

/// All settings.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct GatewaySettings {
    /// This node.
    pub node: NodeSettings,
    /// Where the site's zones are.
    #[serde(default)]
    pub topology: TopologySettings,
    /// Where it listens.
    pub listen: ListenSettings,
    /// The object store.
    pub store: StoreSettings,
    /// Bounds that the site promises.
    #[serde(default)]
    pub bounds: BoundSettings,
    /// Connections of callers.
    #[serde(default)]
    pub callers: CallerSettings,
    /// Admission of requests to models.
    #[serde(default)]
    pub admission: AdmissionSettings,
    /// Attempts at engines.
    #[serde(default)]
    pub attempts: AttemptSettings,
    /// Rates for the choice of an engine.
    #[serde(default)]
    pub cost: CostSettings,
    /// KV cache.
    #[serde(default)]
    pub cache: CacheSettings,
    /// Loading of new weights.
    #[serde(default)]
    pub weights: WeightSettings,
    /// Logs.
    #[serde(default)]
    pub log: LogSettings,
}

/// `[node]`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct NodeSettings {
    /// Name, unique in the site and stable over restarts.
    pub name: String,
    /// Zone, as engines name theirs.
    pub zone: String,
    /// Its share of processors, in cores. The largest nodes of a zone relay.
    #[serde(default)]
    pub cpu_cores: f64,
    /// Bandwidth of its link, in megabits a second.
    #[serde(default)]
    pub link_mbps: f64,
    /// Whether all nodes of the site start now for the first time: then they wait
    /// until they see each other.
    #[serde(default)]
    pub is_first_start: bool,
}

/// `[topology]`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct TopologySettings {
    /// The region of each zone. Zones that are left out count as in one region with
    /// all others.
    pub zones: BTreeMap<String, String>,
}

impl TopologySettings {
    /// The zones with their regions.
    pub fn topology(&self) -> Topology {
        let zones = self.zones.iter();
        let zones =
            zones.map(|(zone, region)| (ZoneName(zone.clone()), RegionName(region.clone())));
        Topology::new(zones.collect())
    }
}

/// `[listen]`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ListenSettings {
    /// For callers.
    pub callers: SocketAddr,
    /// For the load balancer's question whether this node takes callers.
    pub readiness: SocketAddr,
    /// For metrics; none when absent.
    pub metrics: Option<SocketAddr>,
    /// For reports of other nodes (UDP); none are exchanged when absent.
    pub peers: Option<SocketAddr>,
}

/// `[store]`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct StoreSettings {
    /// Where it listens.
    pub address: SocketAddr,
    /// Longest wait for an answer beyond what a call asks for, in milliseconds.
    #[serde(default = "defaults::store_timeout_ms")]
    pub timeout_ms: u64,
    /// How long a watch of the configuration waits, in milliseconds. Its answer
    /// is the proof that the configuration is the newest.
    #[serde(default = "defaults::configuration_watch_ms")]
    pub configuration_watch_ms: u64,
    /// How long other watches wait, in milliseconds.
    #[serde(default = "defaults::other_watch_ms")]
    pub other_watch_ms: u64,
}

/// `[bounds]`: what the site promises.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct BoundSettings {
    /// A key that was taken away stops to work within this time, in
    /// milliseconds, also at nodes that are cut from the store.
    pub key_revocation_ms: u64,
    /// Whether nodes that are cut from the store must stop accepting keys.
    pub revoke_when_cut: bool,
    /// A planned stop ends within this time, in seconds.
    pub stop_seconds: f64,
    /// New weights are in use within this time, in milliseconds.
    pub weights_ms: u64,
    /// The same over interrupted stretches together, in milliseconds.
    pub weights_total_ms: u64,
    /// An engine that said that it leaves, or is gone from the store, gets nothing
    /// new after this time, in milliseconds.
    pub leaving_engine_ms: u64,
    /// Two holders of a lease never act within this time, in milliseconds.
    pub lease_ms: u64,
    /// Repeated arrivals at a service for each request.
    pub retry_ratio: f64,
    /// Window of the retry budget, in seconds.
    pub retry_window_seconds: f64,
    /// Part of a service's requests that a version may receive before it is known to
    /// be good, from a rollout's order to its deadline.
    pub canary_share: f64,
    /// Requests that it may receive beyond that part.
    pub canary_slack: u64,
    /// A version that has given its 50th bad answer receives nothing after this time,
    /// in milliseconds.
    pub roll_back_ms: u64,
}

impl Default for BoundSettings {
    fn default() -> Self {
        Self {
            key_revocation_ms: 5_000,
            revoke_when_cut: true,
            stop_seconds: 8.0,
            weights_ms: 8_000,
            weights_total_ms: 11_000,
            leaving_engine_ms: 2_000,
            lease_ms: 3_000,
            retry_ratio: 0.2,
            retry_window_seconds: 10.0,
            canary_share: 0.1,
            canary_slack: 50,
            roll_back_ms: 5_000,
        }
    }
}

/// `[attempts]`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct AttemptSettings {
    /// Longest wait for a connection to an engine, in milliseconds.
    pub connect_timeout_ms: u64,
    /// Silence after which a repeatable request goes to another engine, as a
    /// multiple of the route's objective.
    pub timeout_objectives: f64,
    /// Silence between the events of a stream after which it is taken up at
    /// another engine, in milliseconds.
    pub stream_silence_ms: u64,
    /// Time to come back without a better estimate, in milliseconds.
    pub retry_after_ms: u64,
    /// Repeats that a quiet node may make within the window.
    pub retry_reserve: f64,
    /// Longest rest of a connection to an engine before it is used again, in
    /// milliseconds; 0 for a new connection for each request.
    pub keep_connection_ms: u64,
}

impl Default for AttemptSettings {
    fn default() -> Self {
        Self {
            connect_timeout_ms: 250,
            timeout_objectives: 2.0,
            stream_silence_ms: 1_500,
            retry_after_ms: 200,
            retry_reserve: 2.0,
            keep_connection_ms: 2_000,
        }
    }
}

/// `[cost]`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct CostSettings {
    /// Prompt tokens that an engine reads in a millisecond.
    pub prefill_tokens_per_ms: f64,
    /// Cost of what gives way to a copy of KV cache, as a share of the time to
    /// read it again.
    pub eviction_share: f64,
    /// Cost of reading what is kept elsewhere already, beside the time that it takes, as
    /// a multiple of that time.
    pub reread_share: f64,
    /// Cost of weights that are older than the newest in use, in milliseconds.
    pub stale_version_ms: f64,
    /// Cost of leaving the zone, in milliseconds.
    pub zone_ms: f64,
    /// Round trip to another region before one was measured, in milliseconds.
    pub region_round_trip_ms: f64,
    /// Round trips that a request to another region is worth avoiding: opening the
    /// connection and the exchange itself, and as many again for older knowledge of
    /// what is there.
    pub region_round_trips: f64,
    /// Cost of a kilobyte between regions, in milliseconds.
    pub region_kilobyte_ms: f64,
    /// Cost of a full engine, in milliseconds.
    pub slot_ms: f64,
    /// Nodes that send to the same engines.
    pub senders: f64,
}

impl Default for CostSettings {
    fn default() -> Self {
        Self {
            prefill_tokens_per_ms: 40.0,
            eviction_share: 0.5,
            reread_share: 2.0,
            stale_version_ms: 80.0,
            zone_ms: 12.0,
            region_round_trip_ms: 40.0,
            region_round_trips: 3.0,
            region_kilobyte_ms: 8.0,
            slot_ms: 30.0,
            senders: 7.0,
        }
    }
}

/// `[cache]`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct CacheSettings {
    /// Whether the events of engines are followed.
    pub follow_engines: bool,
    /// Whether the KV cache store is used.
    pub use_store: bool,
}

impl Default for CacheSettings {
    fn default() -> Self {
        Self {
            follow_engines: true,
            use_store: true,
        }
    }
}

/// `[weights]`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct WeightSettings {
    /// Engines that load at the same time. More do, when that many cannot all
    /// have loaded within `finish_ms`.
    pub loads_at_once: usize,
    /// Time that a load takes before one was seen, in milliseconds.
    pub load_ms: u64,
    /// Longest time from the naming of a version until all engines have loaded, in
    /// milliseconds. They have sooner where more can load at once without slowing
    /// each other, which loads show.
    pub finish_ms: u64,
    /// Largest part of the engines that loads at the same time, unless `finish_ms`
    /// asks for more; 0.0 to 1.0.
    pub loads_share: f64,
    /// Time before the bound at which engines with older weights leave the
    /// choice, in milliseconds: a request may wait in an engine's queue.
    pub margin_ms: u64,
    /// Longest wait for an engine's answer to an order, in milliseconds.
    pub order_timeout_ms: u64,
    /// Time between an order and the first report after it, in milliseconds.
    pub report_after_ms: u64,
}

impl Default for WeightSettings {
    fn default() -> Self {
        Self {
            loads_at_once: 2,
            load_ms: 650,
            finish_ms: 4_000,
            loads_share: 0.3,
            margin_ms: 2_000,
            order_timeout_ms: 500,
            report_after_ms: 350,
        }
    }
}

/// Least severe level that is logged.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum LogLevel {
    /// Only what an operator must act on.
    Warning,
    /// Decisions.
    #[default]
    Info,
    /// Everything.
    Debug,
}

/// `[log]`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct LogSettings {
    /// Least severe level.
    pub level: LogLevel,
    /// Lines a second for requests that went well; those beyond are counted.
    pub successes_per_second: u32,
}

impl Default for LogSettings {
    fn default() -> Self {
        Self {
            level: LogLevel::Info,
            successes_per_second: 20,
        }
    }
}

impl GatewaySettings {
    /// Reads and checks a settings file.
    ///
    /// # Errors
    /// When it cannot be read, has another shape or a value out of its bounds.
    pub fn read(file: &Path) -> Result<Self, SettingsError> {
        let text = std::fs::read_to_string(file).context(ReadSnafu { file })?;
        Self::parse(&text, file)
    }

    /// Checks the text of a settings file.
    ///
    /// # Errors
    /// When it has another shape or a value out of its bounds.
    pub fn parse(text: &str, file: &Path) -> Result<Self, SettingsError> {
        let table = toml::from_str::<toml::Table>(text).map_err(Box::new);
        let table = table.context(ShapeSnafu { file })?;
        if let Some((key, name)) = renamed_key(&table) {
            return RenamedSnafu { file, key, name }.fail();
        }
        let parsed = toml::from_str::<Self>(text).map_err(Box::new);
        let settings = parsed.context(ShapeSnafu { file })?;
        settings.check(file)?;
        Ok(settings)
    }

    fn check(&self, file: &Path) -> Result<(), SettingsError> {
        let invalid = |key, value: String, fix| {
            let file = file.to_owned();
            Err(SettingsError::Value {
                file,
                key,
                value,
                fix,
            })
        };
        let names = [
            ("node.name", &self.node.name),
            ("node.zone", &self.node.zone),
        ];
        for (key, name) in names {
            if name.is_empty() {
                return invalid(key, "''".to_owned(), "must not be empty");
            }
        }
        let positive = [
            ("store.timeout_ms", self.store.timeout_ms),
            (
                "store.configuration_watch_ms",
                self.store.configuration_watch_ms,
            ),
            ("store.other_watch_ms", self.store.other_watch_ms),
            ("bounds.key_revocation_ms", self.bounds.key_revocation_ms),
            ("bounds.weights_ms", self.bounds.weights_ms),
            ("bounds.leaving_engine_ms", self.bounds.leaving_engine_ms),
            ("bounds.lease_ms", self.bounds.lease_ms),
            ("bounds.roll_back_ms", self.bounds.roll_back_ms),
            (
                "attempts.connect_timeout_ms",
                self.attempts.connect_timeout_ms,
            ),
            (
                "attempts.stream_silence_ms",
                self.attempts.stream_silence_ms,
            ),
            (
                "callers.max_connections",
                self.callers.max_connections as u64,
            ),
            ("callers.stalled_ms", self.callers.stalled_ms),
            ("callers.peer_timeout_ms", self.callers.peer_timeout_ms),
            ("weights.loads_at_once", self.weights.loads_at_once as u64),
        ];
        for (key, value) in positive {
            if value == 0 {
                return invalid(key, value.to_string(), "use 1 or more");
            }
        }
        let not_negative = [
            ("node.cpu_cores", self.node.cpu_cores),
            ("node.link_mbps", self.node.link_mbps),
            ("cost.reread_share", self.cost.reread_share),
            ("cost.region_round_trip_ms", self.cost.region_round_trip_ms),
            ("cost.region_round_trips", self.cost.region_round_trips),
            ("cost.region_kilobyte_ms", self.cost.region_kilobyte_ms),
        ];
        for (key, value) in not_negative {
            if value.is_nan() || value < 0.0 {
                return invalid(key, value.to_string(), "use a number of 0.0 or more");
            }
        }
        if !(0.0..=1.0).contains(&self.bounds.retry_ratio) {
            let value = self.bounds.retry_ratio.to_string();
            return invalid("bounds.retry_ratio", value, "use 0.0 to 1.0");
        }
        if !(0.0..=1.0).contains(&self.admission.most_refused) {
            let value = self.admission.most_refused.to_string();
            return invalid("admission.most_refused", value, "use 0.0 to 1.0");
        }
        if !(0.0..=1.0).contains(&self.weights.loads_share) {
            let value = self.weights.loads_share.to_string();
            return invalid("weights.loads_share", value, "use 0.0 to 1.0");
        }
        if !(0.0..=1.0).contains(&self.bounds.canary_share) {
            let value = self.bounds.canary_share.to_string();
            return invalid("bounds.canary_share", value, "use 0.0 to 1.0");
        }
        let rates = [
            ("bounds.stop_seconds", self.bounds.stop_seconds),
            (
                "bounds.retry_window_seconds",
                self.bounds.retry_window_seconds,
            ),
            (
                "cost.prefill_tokens_per_ms",
                self.cost.prefill_tokens_per_ms,
            ),
            (
                "admission.bearable_objectives",
                self.admission.bearable_objectives,
            ),
            ("cost.senders", self.cost.senders),
            (
                "attempts.timeout_objectives",
                self.attempts.timeout_objectives,
            ),
        ];
        for (key, value) in rates {
            if value.is_nan() || value <= 0.0 {
                return invalid(key, value.to_string(), "use a number over 0.0");
            }
        }
        Ok(())
    }
}
