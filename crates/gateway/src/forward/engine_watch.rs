//! What ends a request's wait for an engine that does not answer any more.
//!
//! Silence alone proves nothing: an engine may read a long prompt. That it takes no
//! connection, checked several times, is a reason to ask another one. For a request that
//! may not run again it is a reason to tell the caller only when this node's link is not
//! at fault: an answer may be on its way.

use super::Forwarding;
use crate::state::Gateway;
use ploverlift_balancing::catalogue::InstanceId;
use ploverlift_policy::ids::Millis;
use std::future::Future;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;

/// A request that was sent to an engine.
pub(super) struct EngineWatch {
    gateway: Arc<Gateway>,
    instance: InstanceId,
    /// When the engine gave its last sign of life, in milliseconds of the clock: its
    /// connection came about, or bytes of its answer arrived.
    last_activity: AtomicU64,
    may_run_again: bool,
}

impl EngineWatch {
    /// Bytes of the answer arrived: only what fails from now on speaks against the engine.
    pub(super) fn record_activity(&self) {
        let now = self.gateway.clock.now();
        self.last_activity.store(now.0, Ordering::Relaxed);
    }

    /// Does the work; nothing when the engine is known to be lost before it is done.
    pub(super) async fn unless_lost<T>(&self, work: impl Future<Output = T>) -> Option<T> {
        let working = async { Some(work.await) };
        let losing = async {
            self.wait_until_lost().await;
            None
        };
        futures_lite::future::or(working, losing).await
    }

    async fn wait_until_lost(&self) {
        loop {
            let changed = self.gateway.engine_lost.listen();
            if self.is_lost() {
                return;
            }
            changed.await;
        }
    }

    fn is_lost(&self) -> bool {
        let now = self.gateway.clock.now();
        let last_activity_at = Millis(self.last_activity.load(Ordering::Relaxed));
        let beliefs = self.gateway.beliefs();
        let (losses, engines) = (&beliefs.losses, beliefs.engines.len());
        match self.may_run_again {
            true => losses.is_lost_since(&self.instance, last_activity_at, engines),
            false => losses.is_dead_since(&self.instance, last_activity_at, engines, now),
        }
    }
}

impl Forwarding {
    /// Watches the engine of an attempt that is being sent now.
    pub(super) fn watch_engine(&self, instance: &InstanceId) -> EngineWatch {
        EngineWatch {
            gateway: Arc::clone(&self.gateway),
            instance: instance.clone(),
            last_activity: AtomicU64::new(self.gateway.clock.now().0),
            may_run_again: self.received.admission.route.delivery.is_repeatable(),
        }
    }
}
