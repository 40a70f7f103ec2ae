//! Counts a request against its tenant's share of the pool.

use crate::callers::reply::ErrorReply;
use crate::state::Node;
use ploverlift_cluster::router::RoutedRequest;
use ploverlift_policy::ids::TenantName;
use std::sync::Arc;
use trillium::Status;

/// A request's part of its tenant's share; given back when it is dropped.
pub struct PoolShare {
    node: Arc<Node>,
    pool: String,
    tenant: TenantName,
}

impl PoolShare {
    /// Starts a request.
    ///
    /// # Errors
    /// Status 429 when the pool is overloaded and the tenant is over its share.
    pub fn start(node: &Arc<Node>, routed: &RoutedRequest) -> Result<Self, ErrorReply> {
        let pool = routed.snapshot.routes[routed.route].spec.pool.clone();
        let tenant = &routed.tenant;
        let started = node.with_core(|core, _| {
            let nodes = core.members.live_count() + 1;
            core.router
                .start_in_pool(&pool, tenant, routed.route, nodes)
        });
        started.map_err(|come_back| {
            let message = "the pool is full and the tenant is over its share of it";
            let seconds = come_back.seconds_rounded_up();
            ErrorReply::try_later(Status::TooManyRequests, "over_share", message, seconds)
        })?;
        Ok(Self {
            node: Arc::clone(node),
            pool,
            tenant: tenant.name.clone(),
        })
    }
}

impl Drop for PoolShare {
    fn drop(&mut self) {
        let mut core = self.node.core();
        core.router.finish_in_pool(&self.pool, &self.tenant);
    }
}
