//! How fast feeds of engines' caches begin.
//!
//! The first answer of a feed tells all that its engine keeps, and passes the link that
//! callers' answers pass as well. Feeds are worth a better choice, answers a caller.

use crate::settings::NodeSettings;
use crate::time::sleep;
use smol::lock::{Semaphore, SemaphoreGuard};

/// First answers that are under way together: several, so that an engine that does not
/// answer holds up few others.
const MAX_UNDER_WAY: usize = 4;
/// Part of the node's link that first answers use: with the steady events of the feeds
/// that run, most of the link stays with callers.
const LINK_SHARE: f64 = 0.25;
/// Time that a byte takes on a link of one megabit a second, in milliseconds.
const BYTE_MS_AT_ONE_MBPS: f64 = 8.0 / 1_000.0;

/// Turns of first answers.
pub(super) struct FirstAnswerLimit {
    permits: Semaphore,
    /// Time that a byte takes on a turn's part of the link, in milliseconds; 0 where
    /// the link is not known.
    byte_ms: f64,
}

/// The turn of one feed.
pub(super) struct FirstAnswerPermit<'a> {
    byte_ms: f64,
    _guard: SemaphoreGuard<'a>,
}

impl FirstAnswerLimit {
    /// Those of a node.
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
    /// Ends the turn once an answer of so many bytes has used up its part of the link.
    pub(super) async fn release_after(self, bytes: usize) {
        sleep((bytes as f64 * self.byte_ms) as u64).await;
    }
}
