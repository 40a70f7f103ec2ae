//! Reports on parts of prompts as datagrams.

use ploverlift_balancing::peer_loads::{EngineTag, PeerId};
use ploverlift_gateway::peers::messages::{decode, encode, PeerMessage};
use ploverlift_gateway::peers::quarantine_messages::QuarantineReport;
use ploverlift_quarantine::fingerprint::{RequestFingerprint, RequestTag};
use ploverlift_quarantine::node_messages::{ReportedEnd, ReportedRefusal, ReportedSubject};
use ploverlift_quarantine::subject::{PartFingerprint, Subject};
use ploverlift_routing::rate_limit::TenantTag;
use ploverlift_wire::peers::peer_message::Body;
use ploverlift_wire::peers::PeerMessage as Message;
use ploverlift_wire::{decode_peer_message, MAX_DATAGRAM_BYTES};

/// Subjects in one datagram, and ends of each.
const SUBJECTS: u64 = 6;
const ENDS: u32 = 8;
/// The oldest age that occurs, in milliseconds: an hour.
const AGE_MS: u64 = 3_600_000;

fn reported(subject: Subject, tag: impl Fn(u32) -> RequestTag) -> ReportedSubject {
    let ends = (0..ENDS).map(|number| ReportedEnd {
        engine: EngineTag(u32::MAX - number),
        begun_age_ms: AGE_MS,
        age_ms: AGE_MS,
        request: tag(number),
    });
    ReportedSubject {
        subject,
        tenant: TenantTag(u64::MAX),
        ends: ends.collect(),
        software: Vec::new(),
        claim: None,
        refusal: Some(ReportedRefusal {
            age_ms: AGE_MS,
            trials: 2,
            is_stored: true,
        }),
        clearing: None,
    }
}

fn report(subjects: Vec<ReportedSubject>) -> QuarantineReport {
    QuarantineReport {
        sender: PeerId(u64::MAX),
        subjects,
    }
}

#[test]
fn a_full_report_on_parts_fits_into_one_datagram_and_is_read_back() {
    let parts = (0..SUBJECTS).map(|number| {
        let part = PartFingerprint(u64::MAX - number);
        reported(part.into(), |end| RequestTag(u32::MAX - end))
    });
    let sent = report(parts.collect());
    let datagram = encode(&PeerMessage::Quarantine(sent.clone()));
    assert!(
        datagram.len() <= MAX_DATAGRAM_BYTES,
        "{} bytes",
        datagram.len()
    );
    let read = decode(&datagram).expect("a message");
    assert_eq!(read, Some(PeerMessage::Quarantine(sent)));
}

/// An earlier release would refuse, report and delete a part as if it were a request.
#[test]
fn parts_are_not_among_the_requests_that_earlier_releases_read() {
    let request = RequestFingerprint(5);
    let request = reported(request.into(), |_| request.into());
    let part = reported(PartFingerprint(6).into(), RequestTag);
    let datagram = encode(&PeerMessage::Quarantine(report(vec![part, request])));
    let message: Message = decode_peer_message(&datagram).expect("a message");
    let Some(Body::QuarantineReport(report)) = message.body else {
        panic!("another message");
    };
    let requests: Vec<u64> = report.requests.iter().map(|known| known.request).collect();
    assert_eq!(requests, [5]);
}
