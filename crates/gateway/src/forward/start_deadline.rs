//! Until when a request that waits at its engine may begin there.
//!
//! Its engine's weights may be replaced while it waits. It is taken back before it could
//! begin on them after the bound, whenever the newer version was named.

use super::choice::ChosenEngine;
use super::Forwarding;
use crate::time::sleep;
use std::future::Future;

/// Part of the margin on outdated weights that is left when a request that has
/// not begun is taken back from its engine.
const START_MARGIN_DIVISOR: u64 = 4;

impl Forwarding {
    /// Does the work; nothing when the request must no longer begin before it is done.
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
        // Nothing is sent any more once it is too late.
        futures_lite::future::or(outdating, working).await
    }

    /// Proofs that the engine's weights are the newest put the moment off.
    async fn wait_until_outdated(&self, chosen: &ChosenEngine) {
        loop {
            match self.remaining_start_ms(chosen) {
                None => std::future::pending().await,
                Some(0) => return,
                Some(left_ms) => sleep(left_ms).await,
            }
        }
    }

    /// Time for which the request may yet begin, in milliseconds; nothing where it needs
    /// no weights. An engine whose weights are not known may have any.
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
