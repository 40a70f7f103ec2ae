//! The operator's objects in the form in which the object API holds them, and
//! their validation.

use crate::ids::{CacheScope, NodeName, ResourceVersion, ZoneName};
use crate::labels::{Labels, Selector};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use snafu::Snafu;

/// The kinds of object that the router reads.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Kind {
    /// A group of engines that serve one model or one plain service.
    Pool,
    /// A caller organisation with its keys and limits.
    Tenant,
    /// Says which traffic goes to which pool.
    Route,
    /// An entry of the platform's machine list.
    Machine,
    /// The agreed replicas that hold claims of requests that run at most once.
    ClaimGroup,
    /// The right to a duty that needs one holder.
    Lease,
}

impl Kind {
    /// Every kind, in the order in which they are listed.
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

    /// Finds a kind by its plural or singular name, in any case.
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
    /// Labels that selectors look at.
    #[serde(default)]
    pub labels: Labels,
    /// Zero for an object that was never stored.
    #[serde(default)]
    pub resource_version: ResourceVersion,
}

/// One object. `spec` is checked by [`Object::validate`] before it is used.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Object {
    /// Which kind of object this is.
    pub kind: Kind,
    /// Name, labels and version.
    pub metadata: Metadata,
    /// What the operator wants; its shape depends on `kind`.
    pub spec: serde_json::Value,
    /// What the system reports back.
    #[serde(default, skip_serializing_if = "serde_json::Value::is_null")]
    pub status: serde_json::Value,
}

/// The name by which objects refer to each other.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ObjectKey {
    /// Kind of the object.
    pub kind: Kind,
    /// Name within the kind.
    pub name: String,
}

/// What an engine pool is made of and how its engines behave.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase", deny_unknown_fields)]
pub struct PoolSpec {
    /// The model that callers name, or the plain service's name.
    pub model: String,
    /// Which machines belong to the pool.
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
    /// Weight of recomputed tokens over the plain time they take.
    #[serde(default = "default_recompute_weight")]
    pub recompute_weight: f64,
    /// How many engines may load weights at the same time.
    #[serde(default = "default_concurrent_loads")]
    pub max_concurrent_loads: u32,
    /// The weights that engines of the pool should serve; 0 accepts any.
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

/// Recomputing a prefix elsewhere takes capacity from every later request. At
/// the plain time it takes, a loaded fleet recomputes itself into collapse;
/// docs/design/cost.md has the measurement.
pub const DEFAULT_RECOMPUTE_WEIGHT: f64 = 3.0;
fn default_concurrent_loads() -> u32 {
    2
}

/// A caller organisation.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase", deny_unknown_fields)]
pub struct TenantSpec {
    /// SHA-256 of each bearer key, in lower-case hexadecimal.
    pub key_hashes: Vec<String>,
    /// Requests a second over the whole fleet; 0 is no limit.
    #[serde(default)]
    pub requests_per_second: u32,
    /// Requests that may come at once after a pause.
    #[serde(default)]
    pub burst: u32,
    /// Tenants with the same scope share cached prompts; empty means the tenant's own.
    #[serde(default)]
    pub cache_scope: CacheScope,
    /// Relative share of an overloaded pool.
    #[serde(default = "default_weight")]
    pub weight: u32,
}

fn default_weight() -> u32 {
    1
}

/// Which traffic a route is for.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase", deny_unknown_fields)]
pub struct RouteMatch {
    /// Model or service names; empty matches every one.
    #[serde(default)]
    pub models: Vec<String>,
    /// Which tenants, by their labels.
    #[serde(default)]
    pub tenant_selector: Selector,
}

/// Sends matching traffic to a pool.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase", deny_unknown_fields)]
pub struct RouteSpec {
    /// Which traffic.
    #[serde(default)]
    pub r#match: RouteMatch,
    /// The pool that serves it.
    pub pool: String,
    /// Narrows the pool's engines further.
    #[serde(default)]
    pub engine_selector: Selector,
    /// Among matching routes the highest precedence wins; ties go to the first name.
    #[serde(default)]
    pub precedence: i32,
    /// False when a request may run at most once.
    #[serde(default = "default_true")]
    pub repeatable: bool,
    /// Time a request may take to its first byte, in milliseconds.
    #[serde(default = "default_deadline")]
    pub deadline_ms: u64,
    /// Priority handed to the engine; lower runs first.
    #[serde(default)]
    pub priority: i32,
}

fn default_true() -> bool {
    true
}
fn default_deadline() -> u64 {
    30_000
}

/// What a machine of the machine list does.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum MachineRole {
    /// A model engine.
    Engine,
    /// A plain service, called under `/services/`.
    Service,
    /// A node of the router.
    Node,
}

/// Whether a machine may get new work.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum MachineState {
    /// In use.
    #[default]
    Live,
    /// Finishes what it has and gets nothing new.
    Leaving,
}

/// An entry of the machine list.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase", deny_unknown_fields)]
pub struct MachineSpec {
    /// What the machine does.
    pub role: MachineRole,
    /// `IP:port` of its listener.
    pub address: String,
    /// Its failure domain.
    pub zone: ZoneName,
    /// Whether it may get new work.
    #[serde(default)]
    pub state: MachineState,
}

/// The replicas that together hold claims. A change of replicas has a higher generation.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase", deny_unknown_fields)]
pub struct ClaimGroupSpec {
    /// Rises by one with every change of `replicas`.
    pub generation: u64,
    /// Names of the nodes that hold claims, at most one a zone where zones allow.
    pub replicas: Vec<NodeName>,
    /// The replicas of the generation before, from which the new ones recover.
    /// Empty for the first generation.
    #[serde(default)]
    pub previous: Vec<NodeName>,
    /// The lives of the replicas when this generation was made, in the order
    /// of `replicas`. A replica in that same life has not voted in it before.
    #[serde(default)]
    pub lives: Vec<u64>,
}

/// The right to a duty, held until `expires_unix_ms`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase", deny_unknown_fields)]
pub struct LeaseSpec {
    /// The node that holds the duty.
    pub holder: NodeName,
    /// The holder's life: after a restart a node is another holder.
    pub holder_life: u64,
    /// Rises with every change of holder; engines refuse orders with a lower one.
    pub fencing_token: u64,
    /// End of the lease, in milliseconds of Unix time.
    pub expires_unix_ms: u64,
}

/// Why an object was refused. The text names kind, object, field, value and the fix.
#[derive(Debug, Snafu, PartialEq)]
pub enum ObjectError {
    /// The specification does not have the kind's shape.
    #[snafu(display("{kind:?} '{name}': spec does not fit: {reason}"))]
    Shape {
        /// Kind of the object.
        kind: Kind,
        /// Name of the object.
        name: String,
        /// What the parser found, with the field's name.
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
        /// The value found.
        value: String,
        /// What to write instead.
        fix: &'static str,
    },
}

impl Object {
    /// Builds an object that was not stored yet.
    ///
    /// # Panics
    /// When `spec` cannot be written as JSON, which no type of this module can cause.
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

    /// Reads the specification as the type of its kind.
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
