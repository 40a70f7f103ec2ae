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
use std::sync::Arc;

/// Why there is no answer, where the engine is gone.
pub(super) const ENGINE_LOST: &str = "the engine is lost";

/// A request that was sent to an engine.
#[derive(Clone)]
pub(super) struct EngineWatch {
    gateway: Arc<Gateway>,
    instance: InstanceId,
    sent: Millis,
    may_run_again: bool,
}

impl EngineWatch {
    /// Waits until the engine is known to be lost.
    pub(super) async fn lost(&self) {
        loop {
            let news = self.gateway.engine_lost.listen();
            if self.is_lost() {
                return;
            }
            news.await;
        }
    }

    fn is_lost(&self) -> bool {
        let now = self.gateway.clock.now();
        let beliefs = self.gateway.beliefs();
        match self.may_run_again {
            true => beliefs.losses.is_lost_since(&self.instance, self.sent),
            false => beliefs.losses.is_dead_since(&self.instance, self.sent, now),
        }
    }
}

impl Forwarding {
    /// Watches the engine of an attempt that is being sent now.
    pub(super) fn watch_engine(&self, instance: &InstanceId) -> EngineWatch {
        EngineWatch {
            gateway: Arc::clone(&self.gateway),
            instance: instance.clone(),
            sent: self.gateway.clock.now(),
            may_run_again: self.received.admission.route.delivery.is_repeatable(),
        }
    }
}
