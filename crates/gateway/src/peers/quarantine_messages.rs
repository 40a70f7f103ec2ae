//! Requests during which engines terminated, as messages.

use super::message_fields::{encode_age, read_age};
use ploverlift_balancing::peer_loads::{EngineTag, PeerId};
use ploverlift_quarantine::fingerprint::RequestFingerprint;
use ploverlift_quarantine::node_messages::{
    ReportedClaim, ReportedClearing, ReportedEnd, ReportedRefusal, ReportedRequest,
};
use ploverlift_routing::rate_limit::TenantTag;
use ploverlift_routing::software::SoftwareVersion;
use ploverlift_wire::peers;

/// Report of a node on requests during which engines terminated.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct QuarantineReport {
    /// The sender.
    pub sender: PeerId,
    /// The requests.
    pub requests: Vec<ReportedRequest>,
}

pub(super) fn quarantine_report_message(report: &QuarantineReport) -> peers::QuarantineReport {
    peers::QuarantineReport {
        sender: report.sender.0,
        requests: report.requests.iter().map(request_message).collect(),
    }
}

pub(super) fn read_quarantine_report(message: &peers::QuarantineReport) -> QuarantineReport {
    QuarantineReport {
        sender: PeerId(message.sender),
        requests: message.requests.iter().map(read_request).collect(),
    }
}

fn request_message(reported: &ReportedRequest) -> peers::QuarantinedRequest {
    let clearing_age = |is_answer: bool| {
        let clearing = reported.clearing;
        let clearing = clearing.filter(|clearing| clearing.is_answer == is_answer);
        encode_age(clearing.map(|clearing| clearing.age_ms))
    };
    peers::QuarantinedRequest {
        request: reported.request.0,
        tenant: reported.tenant.0,
        ended: reported.ends.iter().map(|end| end.engine.0).collect(),
        ended_ages: reported.ends.iter().map(|end| end.age_ms).collect(),
        begun_ages: reported.ends.iter().map(|end| end.begun_age_ms).collect(),
        software: reported
            .software
            .iter()
            .map(|known| known.0.clone())
            .collect(),
        claimed_by: reported.claim.map_or(0, |claim| claim.node.0),
        is_sent: reported.claim.is_some_and(|claim| claim.is_sent),
        claim_age: reported.claim.map_or(0, |claim| claim.age_ms),
        refused_age_plus_one: encode_age(reported.refusal.map(|refusal| refusal.age_ms)),
        trials: reported.refusal.map_or(0, |refusal| refusal.trials),
        is_stored: reported.refusal.is_some_and(|refusal| refusal.is_stored),
        answered_age_plus_one: clearing_age(true),
        released_age_plus_one: clearing_age(false),
    }
}

/// Reads a request. Of lists of unequal length, excess entries are ignored.
fn read_request(message: &peers::QuarantinedRequest) -> ReportedRequest {
    let ages = message.begun_ages.iter().zip(&message.ended_ages);
    let ends = message.ended.iter().zip(ages);
    let ends = ends.map(|(engine, (begun_age_ms, age_ms))| ReportedEnd {
        engine: EngineTag(*engine),
        begun_age_ms: *begun_age_ms,
        age_ms: *age_ms,
    });
    let claim = ReportedClaim {
        node: PeerId(message.claimed_by),
        is_sent: message.is_sent,
        age_ms: message.claim_age,
    };
    let refusal = read_age(message.refused_age_plus_one).map(|age_ms| ReportedRefusal {
        age_ms,
        trials: message.trials,
        is_stored: message.is_stored,
    });
    let clearing = |is_answer: bool, age_plus_one: u64| {
        read_age(age_plus_one).map(|age_ms| ReportedClearing { is_answer, age_ms })
    };
    let answered = clearing(true, message.answered_age_plus_one);
    let software = message.software.iter().cloned().map(SoftwareVersion);
    ReportedRequest {
        request: RequestFingerprint(message.request),
        tenant: TenantTag(message.tenant),
        ends: ends.collect(),
        software: software.collect(),
        claim: Some(claim).filter(|claim| claim.node.0 > 0),
        refusal,
        clearing: answered.or_else(|| clearing(false, message.released_age_plus_one)),
    }
}
