//! Requests that reach a node in its first moments.
//!
//! A node that has just started knows its site within some tenths of a second. When
//! many nodes are restarted at once, callers that are sent away meanwhile come back to
//! other nodes that know no more, and later than they would have been served. So their
//! requests wait for the configuration, for a time that is short beside what they have.

use crate::readiness::knows_site;
use crate::state::Gateway;
use crate::time::within;

/// Part of a caller's deadline for which its request may wait: most of it is for the
/// engine, or for another try.
const DEADLINE_DIVISOR: u64 = 4;

/// Time for which a request may wait now, in milliseconds; nothing where it need not.
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

/// Waits until this node knows its site, for so long at most.
pub(super) async fn wait_for_site(gateway: &Gateway, longest_ms: u64) {
    let knowing = async {
        loop {
            let changed = gateway.site_learned.listen();
            if knows_site(gateway) {
                return;
            }
            changed.await;
        }
    };
    within(longest_ms, knowing).await;
}
