//! Deadline until which a request that waits at its engine may start there.
//!
//! A newer version of the weights may be announced while the request waits at its engine.
//! The request is withdrawn before it could start on outdated weights after the bound,
//! regardless of when the newer version was announced.

use super::choice::ChosenEngine;
use super::Forwarding;
use crate::time::sleep;
use std::future::Future;

/// A request that has not started is withdrawn from its engine when the configured margin
/// on outdated weights, divided by this, is left until the bound.
const START_MARGIN_DIVISOR: u64 = 4;

impl Forwarding {
    /// Runs `work`; returns `None` when the request must no longer start before `work` is done.
    pub(super) async fn unless_outdated<T>(
        &self,
        chosen: &ChosenEngine,
        work: impl Future<Output = T>,
    ) -> Option<T> {
        let working = async { Some(work.await) };
        let outdating = async {
            self.wait_until_outdated(chosen).await;
            None
        };
        // Polled first, so that nothing is sent once the deadline has passed.
        futures_lite::future::or(outdating, working).await
    }

    /// Waits until the request must no longer start. The deadline moves on with each proof that
    /// the engine's weights are the newest.
    async fn wait_until_outdated(&self, chosen: &ChosenEngine) {
        loop {
            match self.remaining_start_ms(chosen) {
                None => std::future::pending().await,
                Some(0) => return,
                Some(left_ms) => sleep(left_ms).await,
            }
        }
    }

    /// Remaining time for which the request may start, in milliseconds; `None` when it needs
    /// no weights. Unknown weights count as version 0, since the engine may have any.
    fn remaining_start_ms(&self, chosen: &ChosenEngine) -> Option<u64> {
        let prompt = self.received.request.prompt.as_ref()?;
        let weights = chosen.weights.unwrap_or(0);
        let margin_ms = self.gateway.settings().weights.margin_ms / START_MARGIN_DIVISOR;
        let bounds = self.gateway.weights_bounds(margin_ms);
        let now = self.gateway.clock.now();
        let beliefs = self.gateway.beliefs();
        Some(
            beliefs
                .weights
                .left_ms(&prompt.model, weights, &bounds, now),
        )
    }
}
