//! Streams that go on after a break, within one answer or in their caller's next attempt: only
//! engines of the service and the software version that began a stream may continue it.

use super::choice::ChosenEngine;
use super::Forwarding;
use crate::peers::stream_origins::{announce, place_stream, ResumedStream};
use crate::stream_sources::may_be_confused;
use crate::stream_sources::present::is_resumable;
use ploverlift_balancing::selection::NoChoice;
use ploverlift_policy::ids::Millis;
use ploverlift_routing::configuration::{Route, ServiceName};
use ploverlift_routing::software::SoftwareVersion;
use ploverlift_streamorigin::origins::StreamOrigin;
use ploverlift_streamorigin::placement::Placement;
use ploverlift_streamorigin::source::{ServiceHash, StreamSource};
use ploverlift_streamorigin::stream_key::StreamKey;

/// Time after its caller's deadline for which a stream's origin is kept, in milliseconds.
const KEPT_AFTER_DEADLINE_MS: u64 = 1_000;
/// Retry time if a node that may know a stream's origin did not answer, in milliseconds: a node
/// that was killed is back within about a second.
const UNANSWERED_RETRY_AFTER_MS: u64 = 1_000;

/// Why a stream can't be continued.
pub(super) struct Unplaced {
    pub(super) reason: &'static str,
    /// Time after which the caller may retry, in milliseconds.
    pub(super) retry_after_ms: u64,
}

impl Forwarding {
    /// Finds the version that may continue the stream that the request takes up, if it takes
    /// one up.
    ///
    /// # Errors
    /// When no node can tell which version began it.
    pub(super) async fn place_resumed_stream(&mut self) -> Result<(), Unplaced> {
        let request = &self.received.request;
        let is_stream = self.received.admission.route.delivery.is_stream();
        if request.resume_after.is_none() || !is_stream {
            return Ok(());
        }
        if !self.is_resumable() {
            return Err(Unplaced {
                reason: "streams of the route may not be taken up",
                retry_after_ms: self.left_ms(),
            });
        }
        let resumes = request.resumes.as_deref();
        let resumed = ResumedStream {
            stream: resumes.map(|id| self.stream_key(id)),
            host: request.host.clone(),
            path: request.path().to_owned(),
        };
        let placed = place_stream(&self.gateway, &resumed).await;
        self.gateway
            .metrics
            .streams
            .count_placement(&placed.placement);
        let placed_by_journal = &self.gateway.metrics.streams.placed_by_journal;
        placed_by_journal.inc_by(u64::from(placed.is_by_journal));
        self.record.record_placement(&placed);
        match placed.placement {
            Placement::Began(source) | Placement::Only(source) => self.continue_at(source),
            Placement::Unknown { may_become_known } => Err(Unplaced {
                reason: "it is not known which software version began the stream",
                retry_after_ms: match may_become_known {
                    true => UNANSWERED_RETRY_AFTER_MS,
                    false => self.left_ms(),
                },
            }),
        }
    }

    /// Continues the stream at the engines that may continue it, if the route leads there.
    fn continue_at(&mut self, source: StreamSource) -> Result<(), Unplaced> {
        let service = service_of(&self.received.admission.route, source.service);
        let Some(service) = service.cloned() else {
            return Err(Unplaced {
                reason: "the route does not lead to the service that began the stream",
                retry_after_ms: self.left_ms(),
            });
        };
        self.progress.software = Some(source.software);
        self.received.set_service(service);
        Ok(())
    }

    /// Records, before an engine's first event is forwarded, that its version began the stream,
    /// so that other nodes know it if this one is gone.
    pub(super) fn note_stream_origin(&mut self, chosen: &ChosenEngine) {
        if !self.is_resumable() {
            return;
        }
        let software = self
            .progress
            .software
            .get_or_insert(chosen.software.clone());
        let software = software.clone();
        let origin = StreamOrigin {
            stream: self.own_stream(),
            tenant: self.tenant_tag(),
            source: StreamSource::new(&self.received.admission.service, software),
            expires_at: self.origin_expiry(),
        };
        self.keep_origin(&origin);
    }

    /// Records that all events were forwarded: the caller will hardly take the stream up.
    pub(super) fn note_stream_ended(&self) {
        if self.is_resumable() {
            let now = self.gateway.clock.now();
            let stream = self.own_stream();
            self.gateway.beliefs().journal.note_ended(stream, now);
        }
    }

    /// The stream that the request begins or takes up.
    fn own_stream(&self) -> StreamKey {
        let request = &self.received.request;
        // Without a position the caller has no event of the stream that it names.
        let continues = request.resume_after.is_some();
        let named = request.resumes.as_deref().filter(|_| continues);
        self.stream_key(named.unwrap_or(&request.id))
    }

    fn keep_origin(&self, origin: &StreamOrigin) {
        let now = self.gateway.clock.now();
        let request = &self.received.request;
        let mut beliefs = self.gateway.beliefs();
        let is_kept = beliefs.origins.keep(origin.clone(), now);
        // With one source, the register tells it.
        let is_announced = may_be_confused(&self.gateway, &beliefs, &request.host, request.path());
        if !is_announced {
            beliefs.origins.note_unannounced(origin.stream);
        }
        let known = beliefs.origins.len();
        drop(beliefs);
        let dropped = usize::from(!is_kept);
        self.gateway.metrics.streams.note_kept(known, dropped);
        if is_announced {
            announce(&self.gateway, origin);
        }
    }

    /// Why no engine of the stream's version was chosen, if the request continues a stream.
    pub(super) fn unplaced(&self, none: NoChoice) -> Option<Unplaced> {
        let software = self.progress.software.as_ref()?;
        let is_served = self.has_engine_of(software);
        match none {
            _ if !is_served => Some(Unplaced {
                reason: "no engine has the software version that began the stream",
                retry_after_ms: self.left_ms(),
            }),
            NoChoice::SoftwareHeldBack => Some(Unplaced {
                reason: "the software version that began the stream may not serve",
                retry_after_ms: self.left_ms(),
            }),
            _ => None,
        }
    }

    fn has_engine_of(&self, software: &SoftwareVersion) -> bool {
        let service = &self.received.admission.service;
        let beliefs = self.gateway.beliefs();
        let mut engines = beliefs.engines.of_service(service);
        engines.any(|engine| engine.record.software == *software)
    }

    fn is_resumable(&self) -> bool {
        is_resumable(&self.received.admission.route)
    }

    fn stream_key(&self, request_id: &str) -> StreamKey {
        StreamKey::new(self.tenant_tag(), request_id)
    }

    /// Time left for the request, in milliseconds.
    pub(super) fn left_ms(&self) -> u64 {
        self.received.limits.left_ms(self.gateway.clock.now())
    }

    /// When the caller stops taking the stream up.
    fn origin_expiry(&self) -> Millis {
        let limits = &self.received.limits;
        let deadline = limits.deadline.unwrap_or(limits.timeout);
        deadline.plus(KEPT_AFTER_DEADLINE_MS)
    }
}

/// The service with this hash, if the route leads to it.
fn service_of(route: &Route, service: ServiceHash) -> Option<&ServiceName> {
    let mut services = route.targets_in_use().map(|target| &target.service);
    services.find(|name| ServiceHash::of(name) == service)
}
