//! Rate limit for beginning feeds of engine caches.
//!
//! The first answer of a feed contains the engine's whole cache contents and shares the link
//! with the answers to callers. A feed only improves the choice of engines, while a lost
//! answer costs a caller.

use crate::settings::NodeSettings;
use crate::time::sleep;
use smol::lock::{Semaphore, SemaphoreGuard};

/// Maximum number of concurrent first answers: several, so that an engine that does not
/// answer delays few others.
const MAX_UNDER_WAY: usize = 4;
/// Share of the node's link that first answers use: together with the steady events of the
/// running feeds, it leaves most of the link to callers.
const LINK_SHARE: f64 = 0.25;
/// Transfer time of a byte on a link of one megabit per second, in milliseconds.
const BYTE_MS_AT_ONE_MBPS: f64 = 8.0 / 1_000.0;

/// Limits the rate of first answers.
pub(super) struct FirstAnswerLimit {
    permits: Semaphore,
    /// Transfer time of a byte on a permit's share of the link, in milliseconds; 0 if the
    /// link rate is unknown.
    byte_ms: f64,
}

/// Permit for the first answer of one feed.
pub(super) struct FirstAnswerPermit<'a> {
    byte_ms: f64,
    _guard: SemaphoreGuard<'a>,
}

impl FirstAnswerLimit {
    /// The limit for a node's link.
    pub(super) fn of(node: &NodeSettings) -> Self {
        let permit_mbps = node.link_mbps * LINK_SHARE / MAX_UNDER_WAY as f64;
        Self {
            permits: Semaphore::new(MAX_UNDER_WAY),
            byte_ms: match permit_mbps > 0.0 {
                true => BYTE_MS_AT_ONE_MBPS / permit_mbps,
                false => 0.0,
            },
        }
    }

    /// Waits until a feed may begin.
    pub(super) async fn permit(&self) -> FirstAnswerPermit<'_> {
        FirstAnswerPermit {
            byte_ms: self.byte_ms,
            _guard: self.permits.acquire().await,
        }
    }
}

impl FirstAnswerPermit<'_> {
    /// Releases the permit after the time that an answer of `bytes` takes on its share of the
    /// link.
    pub(super) async fn release_after(self, bytes: usize) {
        sleep((bytes as f64 * self.byte_ms) as u64).await;
    }
}
