//! Waiting for an engine that admits another connection of this node.

use super::load_shedding::Unservable;
use super::Forwarding;
use crate::time::within;
use ploverlift_balancing::overload::Urgency;

/// Share of the route's objective for which a request waits for room. A request that could be
/// served later than that is rejected at once, so that its caller can try another node.
const WAIT_SHARE: f64 = 0.25;
/// Longest time between two checks for room, in milliseconds.
const CHECK_PERIOD_MS: u64 = 20;
/// Range of the retry time of the more urgent requests, in milliseconds. It is random, so that the
/// callers do not all return at once.
const RETRY_MS: std::ops::Range<u64> = 150..450;
/// The least urgent requests return after this many times as long.
const LEAST_URGENT_FACTOR: u64 = 2;

impl Forwarding {
    /// Waits until an engine may have room for the request.
    ///
    /// # Errors
    /// When the request has waited for as long as it may.
    pub(super) async fn wait_for_room(&mut self) -> Result<(), Unservable> {
        let now = self.gateway.clock.now();
        let objective_ms = self.received.admission.route.objective_ms as f64;
        let longest_ms = ((objective_ms * WAIT_SHARE) as u64).min(self.left_ms() / 4);
        let until = &mut self.progress.waits_for_room_until;
        let until = *until.get_or_insert(now.plus(longest_ms));
        let left_ms = until.since(now);
        if left_ms == 0 {
            return Err(self.no_room());
        }
        // A request that ends may leave its connection, or its place.
        let ended = self.gateway.work_ended.listen();
        within(left_ms.min(CHECK_PERIOD_MS), ended).await;
        Ok(())
    }

    fn no_room(&self) -> Unservable {
        let factor = match self.urgency() {
            Urgency::Higher => 1,
            Urgency::Least => LEAST_URGENT_FACTOR,
        };
        Unservable {
            reason: "the engines admit no further connection".to_owned(),
            retry_after_ms: fastrand::u64(RETRY_MS) * factor,
        }
    }
}
