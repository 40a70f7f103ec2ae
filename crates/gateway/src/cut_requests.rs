//! Requests whose connections an engine ended, until a probe has shown whether the engine
//! has terminated.

use ploverlift_balancing::catalogue::InstanceId;
use ploverlift_policy::ids::Millis;
use ploverlift_quarantine::fingerprint::RequestFingerprint;
use ploverlift_quarantine::subject::SharedPart;
use ploverlift_routing::rate_limit::TenantTag;
use std::collections::HashMap;

/// A request whose connection its engine ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CutRequest {
    /// Fingerprint of the request.
    pub fingerprint: RequestFingerprint,
    /// Parts of its prompt that other requests may share.
    pub parts: Vec<SharedPart>,
    /// Tenant of the request.
    pub tenant: TenantTag,
    /// When the request was sent to the engine.
    pub begun: Millis,
    /// When the connection ended.
    pub ended: Millis,
    /// Time from the first event of the answer to the end of the connection, in
    /// milliseconds; 0 without an event.
    pub streamed_ms: u64,
}

/// Engines that ended a connection and are being probed for whether they have terminated.
#[derive(Clone, Debug, Default)]
pub struct EngineEnds {
    open: HashMap<InstanceId, Vec<CutRequest>>,
}

impl EngineEnds {
    /// Records that an engine ended the connection of a request; returns whether it is the
    /// first one, so that a probe has to be started.
    pub(crate) fn note(&mut self, instance: &InstanceId, cut: CutRequest) -> bool {
        let open = self.open.entry(instance.clone()).or_default();
        open.push(cut);
        open.len() == 1
    }

    /// Ends the probe of an engine; returns the requests whose connections were cut.
    pub(crate) fn close(&mut self, instance: &InstanceId) -> Vec<CutRequest> {
        self.open.remove(instance).unwrap_or_default()
    }
}
