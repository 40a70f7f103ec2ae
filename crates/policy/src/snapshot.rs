//! The typed view of all objects that decisions use. A new snapshot is built when an
//! object changes and shared by reference, so each request uses one configuration from
//! start to end.

use crate::ids::{CacheScope, ResourceVersion, TenantName};
use crate::labels::Labels;
use crate::objects::{Kind, Object, ObjectError, PoolSpec, RouteSpec, TenantSpec};
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use subtle::ConstantTimeEq;
use xxhash_rust::xxh3::xxh3_64;

/// A pool with its name.
#[derive(Clone, Debug)]
pub struct Pool {
    /// Object name.
    pub name: String,
    /// Specification.
    pub spec: PoolSpec,
}

/// A tenant with its name and labels.
#[derive(Clone, Debug)]
pub struct Tenant {
    /// Object name.
    pub name: TenantName,
    /// Labels for `tenantSelector`.
    pub labels: Labels,
    /// Specification.
    pub spec: TenantSpec,
}

impl Tenant {
    /// The scope within which the tenant's cached prompts are shared. A prefix separates
    /// scopes of single tenants from configured ones.
    pub fn cache_scope(&self) -> CacheScope {
        if self.spec.cache_scope.0.is_empty() {
            CacheScope(format!("tenant:{}", self.name))
        } else {
            CacheScope(format!("shared:{}", self.spec.cache_scope))
        }
    }
}

/// A route with its name.
#[derive(Clone, Debug)]
pub struct Route {
    /// Object name.
    pub name: String,
    /// Specification.
    pub spec: RouteSpec,
}

/// An object that was left out of the snapshot, with the reason.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Rejected {
    /// Kind of the object.
    pub kind: Kind,
    /// Name of the object.
    pub name: String,
    /// The validation error.
    pub reason: String,
}

/// Pools, tenants and routes at one version of the configuration.
#[derive(Clone, Debug, Default)]
pub struct Snapshot {
    /// The highest object version in the snapshot.
    pub version: ResourceVersion,
    /// All pools, by name.
    pub pools: Arc<Vec<Pool>>,
    /// All routes, in matching order.
    pub routes: Arc<Vec<Route>>,
    /// All tenants.
    pub tenants: Arc<TenantTable>,
    /// Invalid objects; all others stay in effect.
    pub rejected: Vec<Rejected>,
}

/// All tenants, indexed by name and by API key. The table is split into shards that
/// snapshots share, so that a change copies one shard and not all tenants.
#[derive(Clone, Debug)]
pub struct TenantTable {
    tenants: Vec<Arc<BTreeMap<TenantKey, Arc<Tenant>>>>,
    /// Tenants by the prefix of an API key's hash. The full hash is compared in constant
    /// time.
    keys: Vec<Arc<HashMap<KeyPrefix, Vec<TenantKey>>>>,
}

/// Number of shards of a tenant table.
const TENANT_SHARDS: usize = 128;

impl Default for TenantTable {
    fn default() -> Self {
        Self {
            tenants: vec![Arc::default(); TENANT_SHARDS],
            keys: vec![Arc::default(); TENANT_SHARDS],
        }
    }
}

/// Hash of a tenant's name, the compact form used in messages.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TenantKey(pub u64);

impl TenantKey {
    /// The key of a tenant's name.
    pub fn of(name: &TenantName) -> Self {
        Self(xxh3_64(name.0.as_bytes()))
    }
}

/// The prefix of an API key's hash, in hexadecimal.
type KeyPrefix = [u8; KEY_PREFIX_BYTES];

/// Length of the hash prefix that indexes tenants, in characters.
const KEY_PREFIX_BYTES: usize = 16;

fn key_prefix(hash: &str) -> Option<KeyPrefix> {
    hash.as_bytes().get(..KEY_PREFIX_BYTES)?.try_into().ok()
}

fn tenant_shard(key: TenantKey) -> usize {
    (key.0 % TENANT_SHARDS as u64) as usize
}

fn key_shard(prefix: &KeyPrefix) -> usize {
    (xxh3_64(prefix) % TENANT_SHARDS as u64) as usize
}

impl TenantTable {
    fn insert(&mut self, tenant: Tenant) {
        let key = TenantKey::of(&tenant.name);
        self.remove(&tenant.name);
        for prefix in tenant
            .spec
            .key_hashes
            .iter()
            .filter_map(|hash| key_prefix(hash))
        {
            let shard = Arc::make_mut(&mut self.keys[key_shard(&prefix)]);
            shard.entry(prefix).or_default().push(key);
        }
        let shard = Arc::make_mut(&mut self.tenants[tenant_shard(key)]);
        shard.insert(key, Arc::new(tenant));
    }

    fn remove(&mut self, name: &TenantName) {
        let key = TenantKey::of(name);
        let number = tenant_shard(key);
        if !self.tenants[number].contains_key(&key) {
            return;
        }
        let Some(known) = Arc::make_mut(&mut self.tenants[number]).remove(&key) else {
            return;
        };
        for prefix in known
            .spec
            .key_hashes
            .iter()
            .filter_map(|hash| key_prefix(hash))
        {
            let shard = Arc::make_mut(&mut self.keys[key_shard(&prefix)]);
            if let Some(keys) = shard.get_mut(&prefix) {
                keys.retain(|other| *other != key);
            }
        }
    }

    /// The tenant with this name.
    pub fn get(&self, name: &TenantName) -> Option<&Arc<Tenant>> {
        self.get_by_key(TenantKey::of(name))
    }

    /// The tenant whose name has this hash.
    pub fn get_by_key(&self, key: TenantKey) -> Option<&Arc<Tenant>> {
        self.tenants[tenant_shard(key)].get(&key)
    }

    /// All tenants, in unspecified order.
    pub fn iter(&self) -> impl Iterator<Item = &Arc<Tenant>> {
        self.tenants.iter().flat_map(|shard| shard.values())
    }

    fn find_by_hash(&self, digest: &str) -> Option<&Arc<Tenant>> {
        let prefix = key_prefix(digest)?;
        let keys = self.keys[key_shard(&prefix)].get(&prefix)?;
        let tenants = keys.iter().filter_map(|key| self.get_by_key(*key));
        let mut found = None;
        for tenant in tenants {
            for hash in &tenant.spec.key_hashes {
                if bool::from(hash.as_bytes().ct_eq(digest.as_bytes())) {
                    found = Some(tenant);
                }
            }
        }
        found
    }
}

/// Builds snapshots incrementally, so that the cost of a change depends on its size and
/// not on that of the whole configuration.
#[derive(Clone, Debug, Default)]
pub struct SnapshotBuilder {
    version: ResourceVersion,
    pools: BTreeMap<String, Pool>,
    routes: BTreeMap<String, Route>,
    tenants: Arc<TenantTable>,
    rejected: BTreeMap<(Kind, String), Rejected>,
    built_pools: Arc<Vec<Pool>>,
    built_routes: Arc<Vec<Route>>,
}

impl SnapshotBuilder {
    /// Applies an object, or its deletion when `object` is `None`. An invalid object is left
    /// out and listed as rejected.
    pub fn apply(
        &mut self,
        kind: Kind,
        name: &str,
        object: Option<&Object>,
        version: ResourceVersion,
    ) {
        self.version = self.version.max(version);
        let key = (kind, name.to_owned());
        self.rejected.remove(&key);
        let Some(object) = object else {
            return self.remove(kind, name);
        };
        if let Err(error) = self.insert(object) {
            self.remove(kind, name);
            let rejected = Rejected {
                kind,
                name: name.to_owned(),
                reason: error.to_string(),
            };
            self.rejected.insert(key, rejected);
        }
    }

    fn insert(&mut self, object: &Object) -> Result<(), ObjectError> {
        object.validate()?;
        let name = object.metadata.name.clone();
        match object.kind {
            Kind::Pool => {
                let spec = object.typed()?;
                self.pools.insert(name.clone(), Pool { name, spec });
                self.build_pools();
            }
            Kind::Route => {
                let spec = object.typed()?;
                self.routes.insert(name.clone(), Route { name, spec });
                self.build_routes();
            }
            Kind::Tenant => Arc::make_mut(&mut self.tenants).insert(Tenant {
                name: TenantName(name),
                labels: object.metadata.labels.clone(),
                spec: object.typed()?,
            }),
            Kind::Machine | Kind::ClaimGroup | Kind::Lease => {}
        }
        Ok(())
    }

    fn remove(&mut self, kind: Kind, name: &str) {
        match kind {
            Kind::Pool => {
                self.pools.remove(name);
                self.build_pools();
            }
            Kind::Route => {
                self.routes.remove(name);
                self.build_routes();
            }
            Kind::Tenant => {
                let name = TenantName::from(name);
                Arc::make_mut(&mut self.tenants).remove(&name);
            }
            Kind::Machine | Kind::ClaimGroup | Kind::Lease => {}
        }
    }

    fn build_pools(&mut self) {
        self.built_pools = Arc::new(self.pools.values().cloned().collect());
    }

    fn build_routes(&mut self) {
        let mut routes: Vec<Route> = self.routes.values().cloned().collect();
        routes.sort_by(|a, b| {
            let by_precedence = b.spec.precedence.cmp(&a.spec.precedence);
            by_precedence.then_with(|| a.name.cmp(&b.name))
        });
        self.built_routes = Arc::new(routes);
    }

    /// Builds a snapshot of all objects applied so far.
    pub fn build(&self) -> Snapshot {
        Snapshot {
            version: self.version,
            pools: Arc::clone(&self.built_pools),
            routes: Arc::clone(&self.built_routes),
            tenants: Arc::clone(&self.tenants),
            rejected: self.rejected.values().cloned().collect(),
        }
    }
}

impl Snapshot {
    /// Builds a snapshot of all given objects.
    pub fn of<'a>(objects: impl Iterator<Item = &'a Object>) -> Self {
        let mut builder = SnapshotBuilder::default();
        for object in objects {
            let (name, version) = (&object.metadata.name, object.metadata.resource_version);
            builder.apply(object.kind, name, Some(object), version);
        }
        builder.build()
    }

    /// Finds the tenant that owns an API key.
    pub fn authenticate(&self, key: &str) -> Option<&Arc<Tenant>> {
        self.tenants.find_by_hash(&hash_key(key))
    }

    /// The first matching route in order of precedence, with its position in `routes`.
    pub fn route(&self, tenant: &Tenant, model: &str) -> Option<(usize, &Route)> {
        self.routes.iter().enumerate().find(|(_, route)| {
            let rule = &route.spec.r#match;
            let pool_serves = self
                .pool(&route.spec.pool)
                .is_some_and(|pool| pool.spec.model == model);
            let named = rule.models.is_empty() || rule.models.iter().any(|name| name == model);
            pool_serves && named && rule.tenant_selector.matches(&tenant.labels)
        })
    }

    /// Finds a pool by name.
    pub fn pool(&self, name: &str) -> Option<&Pool> {
        let position = self
            .pools
            .binary_search_by(|pool| pool.name.as_str().cmp(name))
            .ok()?;
        self.pools.get(position)
    }

    /// Models and services that a tenant can reach, sorted and without duplicates.
    pub fn models_for(&self, tenant: &Tenant) -> Vec<&str> {
        let mut models: Vec<&str> = self
            .pools
            .iter()
            .map(|pool| pool.spec.model.as_str())
            .filter(|model| self.route(tenant, model).is_some())
            .collect();
        models.sort_unstable();
        models.dedup();
        models
    }
}

/// The SHA-256 of an API key in lower-case hexadecimal, as in [`TenantSpec::key_hashes`].
pub fn hash_key(key: &str) -> String {
    let digest = Sha256::digest(key.as_bytes());
    digest.iter().map(|byte| format!("{byte:02x}")).collect()
}
