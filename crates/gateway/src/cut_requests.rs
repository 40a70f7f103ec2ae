//! Requests whose connections an engine ended, until it is found out whether the engine has
//! ended.

use ploverlift_balancing::catalogue::InstanceId;
use ploverlift_policy::ids::Millis;
use ploverlift_quarantine::fingerprint::RequestFingerprint;
use ploverlift_routing::rate_limit::TenantTag;
use std::collections::HashMap;

/// A request whose connection its engine ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CutRequest {
    /// The request.
    pub fingerprint: RequestFingerprint,
    /// Its tenant.
    pub tenant: TenantTag,
    /// When it was sent there.
    pub begun: Millis,
    /// When the connection ended.
    pub ended: Millis,
    /// Time from the first event of its answer to the end, in milliseconds; 0 without one.
    pub streamed_ms: u64,
}

/// Engines that ended a connection, and of which it is being found out whether they have
/// ended.
#[derive(Clone, Debug, Default)]
pub struct EngineEnds {
    open: HashMap<InstanceId, Vec<CutRequest>>,
}

impl EngineEnds {
    /// An engine ended the connection of a request; tells whether it is the first one of
    /// which this node has to find out.
    pub(crate) fn note(&mut self, instance: &InstanceId, cut: CutRequest) -> bool {
        let open = self.open.entry(instance.clone()).or_default();
        open.push(cut);
        open.len() == 1
    }

    /// It was found out; tells which requests were cut.
    pub(crate) fn close(&mut self, instance: &InstanceId) -> Vec<CutRequest> {
        self.open.remove(instance).unwrap_or_default()
    }
}
