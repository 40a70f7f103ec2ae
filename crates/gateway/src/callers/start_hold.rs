//! Holds requests that reach a node right after its start.
//!
//! A node loads the data of its site within some tenths of a second after its start. When
//! many nodes restart at once, callers that are refused meanwhile retry at other nodes that
//! have no data either, and are served later than if they had waited. So requests wait for
//! the configuration, for a time that is short compared with their deadline.

use crate::readiness::knows_site;
use crate::state::Gateway;
use crate::time::within;

/// A request waits at most for its caller's deadline divided by this: most of the time is
/// reserved for the engine or for a retry.
const DEADLINE_DIVISOR: u64 = 4;

/// Time for which a request may wait now, in milliseconds; `None` when it need not wait.
pub(super) fn start_hold_ms(gateway: &Gateway, deadline_ms: Option<u64>) -> Option<u64> {
    let age_ms = gateway.clock.now().since(gateway.started_at);
    let left_ms = gateway
        .settings()
        .callers
        .start_hold_ms
        .saturating_sub(age_ms);
    if left_ms == 0 || knows_site(gateway) {
        return None;
    }
    let longest_ms = deadline_ms.map_or(left_ms, |deadline_ms| deadline_ms / DEADLINE_DIVISOR);
    Some(left_ms.min(longest_ms))
}

/// Waits until this node has loaded the data of its site, for at most `longest_ms`
/// milliseconds.
pub(super) async fn wait_for_site(gateway: &Gateway, longest_ms: u64) {
    let knowing = async {
        loop {
            let changed = gateway.site_updated.listen();
            if knows_site(gateway) {
                return;
            }
            changed.await;
        }
    };
    within(longest_ms, knowing).await;
}
