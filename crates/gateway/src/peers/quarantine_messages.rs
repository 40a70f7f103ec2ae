//! Requests and parts of prompts during which engines terminated, as messages.

use super::message_fields::{encode_age, read_age};
use ploverlift_balancing::peer_loads::{EngineTag, PeerId};
use ploverlift_quarantine::fingerprint::{RequestFingerprint, RequestTag};
use ploverlift_quarantine::node_messages::{
    ReportedClaim, ReportedClearing, ReportedEnd, ReportedRefusal, ReportedSubject,
};
use ploverlift_quarantine::subject::{PartFingerprint, Subject};
use ploverlift_routing::rate_limit::TenantTag;
use ploverlift_routing::software::SoftwareVersion;
use ploverlift_wire::peers;

/// Report of a node on subjects during which engines terminated.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct QuarantineReport {
    /// The sender.
    pub sender: PeerId,
    /// The requests and the parts of prompts.
    pub subjects: Vec<ReportedSubject>,
}

pub(super) fn quarantine_report_message(report: &QuarantineReport) -> peers::QuarantineReport {
    let subjects = report.subjects.iter();
    let (parts, requests): (Vec<&ReportedSubject>, Vec<&ReportedSubject>) =
        subjects.partition(|reported| reported.subject.is_part());
    peers::QuarantineReport {
        sender: report.sender.0,
        requests: requests.into_iter().map(subject_message).collect(),
        parts: parts.into_iter().map(subject_message).collect(),
    }
}

pub(super) fn read_quarantine_report(message: &peers::QuarantineReport) -> QuarantineReport {
    let requests = message.requests.iter().map(|reported| {
        let request = RequestFingerprint(reported.request);
        read_subject(reported, request.into())
    });
    let parts = message.parts.iter().map(|reported| {
        let part = PartFingerprint(reported.request);
        read_subject(reported, part.into())
    });
    QuarantineReport {
        sender: PeerId(message.sender),
        subjects: requests.chain(parts).collect(),
    }
}

fn subject_message(reported: &ReportedSubject) -> peers::QuarantinedRequest {
    let clearing_age = |is_answer: bool| {
        let clearing = reported.clearing;
        let clearing = clearing.filter(|clearing| clearing.is_answer == is_answer);
        encode_age(clearing.map(|clearing| clearing.age_ms))
    };
    peers::QuarantinedRequest {
        request: reported.subject.hash(),
        tenant: reported.tenant.0,
        ended: reported.ends.iter().map(|end| end.engine.0).collect(),
        ended_ages: reported.ends.iter().map(|end| end.age_ms).collect(),
        begun_ages: reported.ends.iter().map(|end| end.begun_age_ms).collect(),
        ran: match reported.subject {
            Subject::Request(_) => Vec::new(),
            Subject::Part(_) => reported.ends.iter().map(|end| end.request.0).collect(),
        },
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

/// Reads a subject. Of lists of unequal length, excess entries are ignored.
fn read_subject(message: &peers::QuarantinedRequest, subject: Subject) -> ReportedSubject {
    let ages = message.begun_ages.iter().zip(&message.ended_ages);
    let ends = message.ended.iter().zip(ages).enumerate();
    let ends = ends.map(|(index, (engine, (begun_age_ms, age_ms)))| ReportedEnd {
        engine: EngineTag(*engine),
        begun_age_ms: *begun_age_ms,
        age_ms: *age_ms,
        request: match subject {
            Subject::Request(request) => request.into(),
            Subject::Part(_) => RequestTag(message.ran.get(index).copied().unwrap_or(0)),
        },
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
    ReportedSubject {
        subject,
        tenant: TenantTag(message.tenant),
        ends: ends.collect(),
        software: software.collect(),
        claim: Some(claim).filter(|claim| claim.node.0 > 0),
        refusal,
        clearing: answered.or_else(|| clearing(false, message.released_age_plus_one)),
    }
}
