//! Streams that may be taken up begin only at registered sources: until the store has
//! acknowledged that a route leads to a service and that its engines have a software version,
//! no stream of that route begins at that version.

use super::resumption::Unplaced;
use super::Forwarding;
use crate::beliefs::Beliefs;
use crate::rollouts::choice::SoftwareChoice;
use crate::stream_sources::known_era;
use crate::stream_sources::present::is_resumable;
use crate::time::within;
use ploverlift_policy::ids::Millis;
use ploverlift_routing::software::SoftwareVersion;
use ploverlift_streamorigin::sources::{RouteKey, SourceLink};

/// Longest wait of a request for the registration of a source, in milliseconds.
const MAX_WAIT_MS: u64 = 1_000;
/// A request waits at most for its remaining time divided by this.
const WAIT_DIVISOR: u64 = 4;
/// Retry time of a request whose sources are not registered, in milliseconds.
const RETRY_AFTER_MS: u64 = 1_000;

impl Forwarding {
    /// Whether the request may begin a stream that its caller may take up.
    fn may_begin_stream(&self) -> bool {
        is_resumable(&self.received.admission.route) && self.progress.software.is_none()
    }

    /// Waits until the request may begin a stream at some engine of its service.
    ///
    /// # Errors
    /// When the store has acknowledged no source in time.
    pub(super) async fn await_registered_source(&mut self) -> Result<(), Unplaced> {
        if !self.may_begin_stream() || self.has_registered_source() {
            return Ok(());
        }
        let began = self.gateway.clock.now();
        self.gateway.source_reads.request();
        let limit_ms = MAX_WAIT_MS.min(self.left_ms() / WAIT_DIVISOR);
        let registering = async {
            loop {
                let changed = self.gateway.stream_sources_changed.listen();
                if self.has_registered_source() {
                    return;
                }
                changed.await;
            }
        };
        within(limit_ms, registering).await;
        let is_registered = self.has_registered_source();
        let waited_ms = self.gateway.clock.now().since(began);
        self.gateway.metrics.streams.count_held(is_registered);
        self.record.record_source_wait(waited_ms, is_registered);
        if is_registered {
            return Ok(());
        }
        Err(Unplaced {
            reason: "the store has not acknowledged a source for the stream",
            retry_after_ms: RETRY_AFTER_MS,
        })
    }

    fn has_registered_source(&self) -> bool {
        let admission = &self.received.admission;
        let (era, now) = (known_era(&self.gateway), self.gateway.clock.now());
        let beliefs = self.gateway.beliefs();
        let known = &beliefs.stream_sources;
        known.has_usable_source(self.route_key(), &admission.service, era, now)
    }

    /// Restricts the choice of a request that begins a stream to registered sources.
    pub(super) fn restrict_to_registered(
        &self,
        choice: SoftwareChoice,
        beliefs: &Beliefs,
        now: Millis,
    ) -> Option<SoftwareChoice> {
        if !self.may_begin_stream() {
            return Some(choice);
        }
        let service = &self.received.admission.service;
        let known = &beliefs.stream_sources;
        let unusable = known.unusable_versions(service, known_era(&self.gateway), now);
        choice.excluding(&unusable)
    }

    /// Whether the request may run at an engine of this version: it continues a stream, or the
    /// store has acknowledged the source.
    pub(super) fn is_registered(
        &self,
        software: &SoftwareVersion,
        beliefs: &Beliefs,
        now: Millis,
    ) -> bool {
        let service = &self.received.admission.service;
        let target = SourceLink::Target(self.route_key(), service.clone());
        let version = SourceLink::Software(service.clone(), software.clone());
        let era = known_era(&self.gateway);
        let mut links = [target, version].into_iter();
        !self.may_begin_stream()
            || links.all(|link| beliefs.stream_sources.is_usable(&link, era, now))
    }

    fn route_key(&self) -> RouteKey {
        let route = &self.received.admission.route;
        RouteKey::new(&route.host, &route.path_prefix)
    }
}
