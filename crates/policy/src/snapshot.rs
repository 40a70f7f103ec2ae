//! The typed view of all objects that decisions read. It is rebuilt as a whole
//! when an object changes and shared by reference, so a request sees one
//! configuration from its start to its end.

use crate::ids::{CacheScope, ResourceVersion, TenantName};
use crate::labels::Labels;
use crate::objects::{Kind, Object, ObjectError, PoolSpec, RouteSpec, TenantSpec};
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use subtle::ConstantTimeEq;

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
    /// The scope within which the tenant's cached prompts are shared.
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

/// An object that was left out of the view, and why.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Rejected {
    /// Kind of the object.
    pub kind: Kind,
    /// Name of the object.
    pub name: String,
    /// What is wrong with it.
    pub reason: String,
}

/// Pools, tenants and routes at one version of the configuration.
#[derive(Clone, Debug, Default)]
pub struct Snapshot {
    /// The highest version of any object in the view.
    pub version: ResourceVersion,
    /// All pools, by name.
    pub pools: Vec<Pool>,
    /// All tenants, by name.
    pub tenants: Vec<Tenant>,
    /// All routes, in the order in which they are tried.
    pub routes: Vec<Route>,
    /// Objects that did not fit; the rest stays in force.
    pub rejected: Vec<Rejected>,
}

impl Snapshot {
    /// Builds the view; an object that does not fit is listed and left out.
    pub fn build<'a>(objects: impl Iterator<Item = &'a Object>) -> Self {
        let mut snapshot = Snapshot::default();
        for object in objects {
            snapshot.version = snapshot.version.max(object.metadata.resource_version);
            if let Err(error) = snapshot.add(object) {
                snapshot.rejected.push(Rejected {
                    kind: object.kind,
                    name: object.metadata.name.clone(),
                    reason: error.to_string(),
                });
            }
        }
        snapshot.pools.sort_by(|a, b| a.name.cmp(&b.name));
        snapshot.tenants.sort_by(|a, b| a.name.cmp(&b.name));
        snapshot.routes.sort_by(|a, b| {
            let by_precedence = b.spec.precedence.cmp(&a.spec.precedence);
            by_precedence.then_with(|| a.name.cmp(&b.name))
        });
        snapshot
    }

    fn add(&mut self, object: &Object) -> Result<(), ObjectError> {
        object.validate()?;
        let name = object.metadata.name.clone();
        match object.kind {
            Kind::Pool => self.pools.push(Pool {
                name,
                spec: object.typed()?,
            }),
            Kind::Tenant => self.tenants.push(Tenant {
                name: TenantName(name),
                labels: object.metadata.labels.clone(),
                spec: object.typed()?,
            }),
            Kind::Route => self.routes.push(Route {
                name,
                spec: object.typed()?,
            }),
            Kind::Machine | Kind::ClaimGroup | Kind::Lease => {}
        }
        Ok(())
    }

    /// Finds the tenant whose key this is. Every hash is compared in constant time.
    pub fn authenticate(&self, key: &str) -> Option<&Tenant> {
        let digest = hash_key(key);
        let mut found = None;
        for tenant in &self.tenants {
            for hash in &tenant.spec.key_hashes {
                if bool::from(hash.as_bytes().ct_eq(digest.as_bytes())) {
                    found = Some(tenant);
                }
            }
        }
        found
    }

    /// The first route that matches, in order of precedence.
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

    /// Models and services that a tenant can reach, in order and without repeats.
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

/// The lower-case hexadecimal SHA-256 of a bearer key, as tenants list it.
pub fn hash_key(key: &str) -> String {
    let digest = Sha256::digest(key.as_bytes());
    digest.iter().map(|byte| format!("{byte:02x}")).collect()
}
