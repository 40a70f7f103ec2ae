//! The operator's objects as the object API stores them.

use crate::ids::{CacheScope, NodeName, ResourceVersion, ZoneName};
use crate::labels::{Labels, Selector};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use snafu::Snafu;

/// Kinds of objects that the router reads.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Kind {
    /// A group of engines that serve one model or one plain service.
    Pool,
    /// An organisation that sends requests, with its keys and limits.
    Tenant,
    /// Maps traffic to a pool.
    Route,
    /// An entry of the platform's machine list.
    Machine,
    /// The agreed set of replicas that hold claims on requests that run at most once.
    ClaimGroup,
    /// A lease on a duty that only one node may perform.
    Lease,
}

impl Kind {
    /// Every kind, in listing order.
    pub const ALL: [Kind; 6] = [
        Kind::Pool,
        Kind::Tenant,
        Kind::Route,
        Kind::Machine,
        Kind::ClaimGroup,
        Kind::Lease,
    ];

    /// The plural, lower-case name used in paths of the object API.
    pub fn plural(self) -> &'static str {
        match self {
            Kind::Pool => "pools",
            Kind::Tenant => "tenants",
            Kind::Route => "routes",
            Kind::Machine => "machines",
            Kind::ClaimGroup => "claimgroups",
            Kind::Lease => "leases",
        }
    }

    /// Finds a kind by its plural or singular name, ignoring case.
    pub fn parse(text: &str) -> Option<Kind> {
        let wanted = text.to_ascii_lowercase();
        Kind::ALL.into_iter().find(|kind| {
            let plural = kind.plural();
            wanted == plural || plural.strip_suffix('s') == Some(wanted.as_str())
        })
    }
}

/// Name, labels and version of an object.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase", deny_unknown_fields)]
pub struct Metadata {
    /// Unique within the kind.
    pub name: String,
    /// Labels that selectors match.
    #[serde(default)]
    pub labels: Labels,
    /// Version of the object; zero if it was never stored.
    #[serde(default)]
    pub resource_version: ResourceVersion,
}

/// An object. [`Object::validate`] checks `spec` before it is used.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Object {
    /// Kind of the object.
    pub kind: Kind,
    /// Name, labels and version.
    pub metadata: Metadata,
    /// Desired state; its shape depends on `kind`.
    pub spec: serde_json::Value,
    /// State reported by the system.
    #[serde(default, skip_serializing_if = "serde_json::Value::is_null")]
    pub status: serde_json::Value,
}

/// Kind and name of an object, unique among all objects.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ObjectKey {
    /// Kind of the object.
    pub kind: Kind,
    /// Name within the kind.
    pub name: String,
}

/// Specification of an engine pool: its members and the properties of its engines.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase", deny_unknown_fields)]
pub struct PoolSpec {
    /// The model name in requests, or the name of the plain service.
    pub model: String,
    /// Selects the machines that belong to the pool.
    #[serde(default)]
    pub selector: Selector,
    /// Size of the engines' cache blocks, in tokens.
    #[serde(default = "default_block_tokens")]
    pub block_tokens: u32,
    /// Mean length of a token, in bytes, used to estimate token counts.
    #[serde(default = "default_bytes_per_token")]
    pub bytes_per_token: u32,
    /// Time to prefill one uncached token, in microseconds.
    #[serde(default = "default_prefill_micros")]
    pub prefill_micros_per_token: u32,
    /// Factor by which recomputed tokens count more than the time that they take.
    #[serde(default = "default_recompute_weight")]
    pub recompute_weight: f64,
    /// Most engines that may load weights at the same time.
    #[serde(default = "default_concurrent_loads")]
    pub max_concurrent_loads: u32,
    /// Weights version that engines of the pool should serve; 0 accepts any.
    #[serde(default)]
    pub weights_version: u64,
}

fn default_block_tokens() -> u32 {
    1_000
}
fn default_bytes_per_token() -> u32 {
    4
}
fn default_prefill_micros() -> u32 {
    100
}
fn default_recompute_weight() -> f64 {
    DEFAULT_RECOMPUTE_WEIGHT
}

/// Default of [`PoolSpec::recompute_weight`]. Recomputing a prefix at another engine takes
/// capacity from every later request. If it counted only the time that it takes, a loaded
/// fleet would collapse under recomputation; docs/design/cost.md has the measurement.
pub const DEFAULT_RECOMPUTE_WEIGHT: f64 = 3.0;
fn default_concurrent_loads() -> u32 {
    2
}

/// Specification of a tenant.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase", deny_unknown_fields)]
pub struct TenantSpec {
    /// SHA-256 of each API key, in lower-case hexadecimal.
    pub key_hashes: Vec<String>,
    /// Requests per second across the whole fleet; 0 means no limit.
    #[serde(default)]
    pub requests_per_second: u32,
    /// Most requests accepted at once after an idle period.
    #[serde(default)]
    pub burst: u32,
    /// Tenants with the same scope share cached prompts; empty selects a scope of the
    /// tenant's own.
    #[serde(default)]
    pub cache_scope: CacheScope,
    /// Weight that determines the tenant's share of an overloaded pool.
    #[serde(default = "default_weight")]
    pub weight: u32,
}

fn default_weight() -> u32 {
    1
}

/// The traffic that a route matches.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase", deny_unknown_fields)]
pub struct RouteMatch {
    /// Model or service names; empty matches all.
    #[serde(default)]
    pub models: Vec<String>,
    /// Selects tenants by their labels.
    #[serde(default)]
    pub tenant_selector: Selector,
}

/// Specification of a route, which sends matching traffic to a pool.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase", deny_unknown_fields)]
pub struct RouteSpec {
    /// The traffic that the route matches.
    #[serde(default)]
    pub r#match: RouteMatch,
    /// Name of the pool that serves the traffic.
    pub pool: String,
    /// Restricts the route to some of the pool's engines.
    #[serde(default)]
    pub engine_selector: Selector,
    /// Among matching routes the highest precedence wins; ties go to the route whose name
    /// sorts first.
    #[serde(default)]
    pub precedence: i32,
    /// Whether a request may run more than once.
    #[serde(default = "default_true")]
    pub repeatable: bool,
    /// Longest time from a request to the first byte of its answer, in milliseconds.
    #[serde(default = "default_deadline")]
    pub deadline_ms: u64,
    /// Priority passed to the engine; lower values run first.
    #[serde(default)]
    pub priority: i32,
}

fn default_true() -> bool {
    true
}
fn default_deadline() -> u64 {
    30_000
}

/// The role of a machine in the machine list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum MachineRole {
    /// A model engine.
    Engine,
    /// A plain service, reached under `/services/`.
    Service,
    /// A router node.
    Node,
}

/// Whether a machine may get new work.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum MachineState {
    /// In use.
    #[default]
    Live,
    /// Drains: finishes its requests and receives no new ones.
    Leaving,
}

/// An entry of the machine list.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase", deny_unknown_fields)]
pub struct MachineSpec {
    /// Role of the machine.
    pub role: MachineRole,
    /// Address of its listener, as `IP:port`.
    pub address: String,
    /// Its failure domain.
    pub zone: ZoneName,
    /// Whether it may get new work.
    #[serde(default)]
    pub state: MachineState,
}

/// Specification of a claim group: the replicas that together hold claims. Each change of
/// replicas has a higher generation.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase", deny_unknown_fields)]
pub struct ClaimGroupSpec {
    /// Incremented on every change of `replicas`.
    pub generation: u64,
    /// Names of the nodes that hold claims, at most one per zone if there are enough zones.
    pub replicas: Vec<NodeName>,
    /// Replicas of the previous generation, from which the new ones recover claims. Empty
    /// for the first generation.
    #[serde(default)]
    pub previous: Vec<NodeName>,
    /// Incarnations of the replicas when this generation was created, in the order of
    /// `replicas`. A replica that still runs in that incarnation has not voted in this
    /// generation in an earlier one.
    #[serde(default)]
    pub lives: Vec<u64>,
}

/// A lease on a duty, held until `expires_unix_ms`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase", deny_unknown_fields)]
pub struct LeaseSpec {
    /// The lease holder.
    pub holder: NodeName,
    /// The holder's incarnation. After a restart a node counts as a different holder.
    pub holder_life: u64,
    /// Fencing token, raised on every change of holder; engines reject orders with a lower
    /// one.
    pub fencing_token: u64,
    /// Expiry of the lease, in milliseconds since the Unix epoch.
    pub expires_unix_ms: u64,
}

/// Why an object was rejected. The message names its kind, name, field, value and the fix.
#[derive(Debug, Snafu, PartialEq)]
pub enum ObjectError {
    /// The specification does not have the shape required by its kind.
    #[snafu(display("{kind:?} '{name}': spec does not fit: {reason}"))]
    Shape {
        /// Kind of the object.
        kind: Kind,
        /// Name of the object.
        name: String,
        /// The parser's error, with the name of the field.
        reason: String,
    },
    /// A field has a value outside its bounds.
    #[snafu(display("{kind:?} '{name}': {field} = {value}: {fix}"))]
    Field {
        /// Kind of the object.
        kind: Kind,
        /// Name of the object.
        name: String,
        /// Path of the field.
        field: &'static str,
        /// The invalid value.
        value: String,
        /// How to correct the value.
        fix: &'static str,
    },
}

impl Object {
    /// Creates an object that has not been stored yet.
    ///
    /// # Panics
    /// When `spec` cannot be serialized as JSON, which no type of this module can cause.
    pub fn new(kind: Kind, name: &str, labels: Labels, spec: impl Serialize) -> Self {
        Self {
            kind,
            metadata: Metadata {
                name: name.to_owned(),
                labels,
                resource_version: ResourceVersion(0),
            },
            spec: serde_json::to_value(spec).expect("specifications serialize"),
            status: serde_json::Value::Null,
        }
    }

    /// The object's kind and name.
    pub fn key(&self) -> ObjectKey {
        ObjectKey {
            kind: self.kind,
            name: self.metadata.name.clone(),
        }
    }

    /// Deserializes the specification.
    ///
    /// # Errors
    /// [`ObjectError::Shape`] when a field is missing, unknown or of another type.
    pub fn typed<Spec: DeserializeOwned>(&self) -> Result<Spec, ObjectError> {
        Spec::deserialize(&self.spec).map_err(|error| ObjectError::Shape {
            kind: self.kind,
            name: self.metadata.name.clone(),
            reason: error.to_string(),
        })
    }
}
