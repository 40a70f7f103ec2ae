//! Ends a request's wait for an engine that is known to be lost.
//!
//! Silence alone proves nothing: the engine may be at the prefill of a long prompt. Several
//! failed connections to it are a reason to try another engine beside it. A wait ends only when
//! a fault of this node's link is ruled out, since an answer may still arrive.

use super::Forwarding;
use crate::state::Gateway;
use ploverlift_balancing::catalogue::InstanceId;
use ploverlift_policy::ids::Millis;
use std::future::Future;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;

/// Watches the engine of one attempt.
pub(super) struct EngineWatch {
    gateway: Arc<Gateway>,
    instance: InstanceId,
    /// Time of the engine's last sign of life, in milliseconds of the clock: the start of the
    /// watch (its connection has been established, or its answer has started), or the arrival
    /// of bytes of its answer.
    last_activity: AtomicU64,
}

impl EngineWatch {
    /// Records that bytes of the answer arrived: only connections that fail from now on count
    /// against the engine.
    pub(super) fn record_activity(&self) {
        let now = self.gateway.clock.now();
        self.last_activity.store(now.0, Ordering::Relaxed);
    }

    /// Runs `work`; returns `None` when the engine is known to be lost before `work` is done.
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

    /// Waits until this node takes the engine for lost, whether or not another node confirms it.
    pub(super) async fn wait_until_suspected(&self) {
        loop {
            let changed = self.gateway.engine_lost.listen();
            if self.is_suspected() {
                return;
            }
            changed.await;
        }
    }

    fn is_lost(&self) -> bool {
        let now = self.gateway.clock.now();
        let beliefs = self.gateway.beliefs();
        let (losses, engines) = (&beliefs.losses, beliefs.engines.len());
        losses.is_dead_since(&self.instance, self.last_activity_at(), engines, now)
    }

    fn is_suspected(&self) -> bool {
        let beliefs = self.gateway.beliefs();
        let (losses, engines) = (&beliefs.losses, beliefs.engines.len());
        losses.is_lost_since(&self.instance, self.last_activity_at(), engines)
    }

    fn last_activity_at(&self) -> Millis {
        Millis(self.last_activity.load(Ordering::Relaxed))
    }
}

impl Forwarding {
    /// Starts to watch the engine of an attempt; now counts as its last sign of life.
    pub(super) fn watch_engine(&self, instance: &InstanceId) -> EngineWatch {
        EngineWatch {
            gateway: Arc::clone(&self.gateway),
            instance: instance.clone(),
            last_activity: AtomicU64::new(self.gateway.clock.now().0),
        }
    }
}
