//! Deadline until which a request that waits at its engine may start there.
//!
//! A newer version of the weights may be announced while the request waits at its engine.
//! The request is withdrawn before it could start on outdated weights after the bound,
//! regardless of when the newer version was announced.

use super::choice::ChosenEngine;
use super::Forwarding;
use crate::state::Gateway;
use crate::time::sleep;
use std::future::Future;
use std::sync::Arc;

/// A request that has not started is withdrawn from its engine when the configured margin
/// on outdated weights, divided by this, is left until the bound.
const START_MARGIN_DIVISOR: u64 = 4;

/// The weights with which a request is expected to start.
struct ExpectedWeights {
    model: String,
    version: u64,
}

/// The deadline until which a request may start at the engine of an attempt.
pub(super) struct StartDeadline {
    gateway: Arc<Gateway>,
    /// `None` when the request needs no weights.
    weights: Option<ExpectedWeights>,
}

impl StartDeadline {
    /// Runs `work`; returns `None` when the request must no longer start before `work` is done.
    pub(super) async fn unless_passed<T>(&self, work: impl Future<Output = T>) -> Option<T> {
        let working = async { Some(work.await) };
        let passing = async {
            self.wait_until_passed().await;
            None
        };
        // Polled first, so that nothing is sent once the deadline has passed.
        futures_lite::future::or(passing, working).await
    }

    /// Waits until the request must no longer start. The deadline moves on with each proof that
    /// the engine's weights are the newest.
    async fn wait_until_passed(&self) {
        loop {
            match self.left_ms() {
                None => std::future::pending().await,
                Some(0) => return,
                Some(left_ms) => sleep(left_ms).await,
            }
        }
    }

    /// Remaining time for which the request may start, in milliseconds; `None` when it needs
    /// no weights.
    fn left_ms(&self) -> Option<u64> {
        let weights = self.weights.as_ref()?;
        let margin_ms = self.gateway.settings().weights.margin_ms / START_MARGIN_DIVISOR;
        let bounds = self.gateway.weights_bounds(margin_ms);
        let now = self.gateway.clock.now();
        let known = &self.gateway.beliefs().weights;
        Some(known.left_ms(&weights.model, weights.version, &bounds, now))
    }
}

impl Forwarding {
    /// The deadline of an attempt at this engine. Unknown weights count as version 0, since the
    /// engine may have any.
    pub(super) fn start_deadline(&self, chosen: &ChosenEngine) -> StartDeadline {
        let prompt = self.received.request.prompt.as_ref();
        StartDeadline {
            gateway: Arc::clone(&self.gateway),
            weights: prompt.map(|prompt| ExpectedWeights {
                model: prompt.model.clone(),
                version: chosen.weights.unwrap_or(0),
            }),
        }
    }
}
