//! Reports of the newest weights, and of the age of the proof that they are the newest.
//!
//! One node's call of the store thus serves the whole fleet: a node whose calls the store
//! rejects, whose watch gets no events, or that has just started, learns what the others
//! know. An age counts from when the receiver sent the report that the sender includes:
//! however long a datagram was under way, the proof is never taken to be younger than it
//! is.

use super::message_fields::IncludedReport;
use super::messages::{encode, PeerMessage};
use super::roles::{peer_relays, role, Role};
use super::weights_messages::{WeightsReport, MAX_REPORTED_VERSIONS};
use crate::state::Gateway;
use crate::time::{sleep, within};
use crate::weights::knowledge::{apply_weights_report, VersionSource};
use ploverlift_policy::ids::Millis;
use smol::net::UdpSocket;
use std::net::SocketAddr;
use std::sync::Arc;

/// Interval between two reports, in milliseconds: the delay with which a node learns what
/// the node that called the store knows. It is small against any bound on weights, which
/// are seconds.
const REPORT_PERIOD_MS: u64 = 250;
/// Minimum interval between two reports, in milliseconds.
const MIN_PERIOD_MS: u64 = 15;

/// Reports to the nodes of a small fleet or, on a relay, to the other relays, until the
/// task is dropped.
pub async fn report_weights(gateway: Arc<Gateway>, socket: Arc<UdpSocket>) {
    loop {
        let due = gateway.weights_report_due.listen();
        for (receiver, report) in next_reports(&gateway) {
            let datagram = encode(&PeerMessage::Weights(report));
            // A lost report is repaired by the next one.
            let _ = socket.send_to(&datagram, receiver).await;
        }
        sleep(MIN_PERIOD_MS).await;
        within(REPORT_PERIOD_MS - MIN_PERIOD_MS, due).await;
    }
}

fn next_reports(gateway: &Gateway) -> Vec<(SocketAddr, WeightsReport)> {
    let receivers = receivers(gateway, gateway.clock.now());
    if receivers.is_empty() {
        return Vec::new();
    }
    let mut beliefs = gateway.beliefs();
    // Both under one lock, and the time is read last: a report that arrived after the ages
    // were computed must not be named as included.
    let now = gateway.clock.now();
    let current = beliefs
        .weights
        .current_report(&gateway.weights_bounds(0), now);
    let sequence = beliefs.weights_exchange.next_sequence(now);
    let parts = current.parts(MAX_REPORTED_VERSIONS);
    let reports = receivers.into_iter().flat_map(|receiver| {
        let included = beliefs.weights_exchange.last_received(&receiver);
        parts.iter().map(move |part| {
            let report = WeightsReport {
                life: gateway.life,
                sequence,
                news: part.clone(),
                included,
            };
            (receiver, report)
        })
    });
    reports.collect()
}

fn receivers(gateway: &Gateway, now: Millis) -> Vec<SocketAddr> {
    match role(gateway, now) {
        Role::Direct | Role::Undecided => gateway.address_book().live(now),
        Role::Relay => peer_relays(gateway, now).into_iter().collect(),
        // A follower receives them in the reports of its relays.
        Role::Follower => Vec::new(),
    }
}

/// Applies the report of another node.
pub fn handle_weights_report(gateway: &Gateway, report: &WeightsReport, from: SocketAddr) {
    let now = gateway.clock.now();
    let received = IncludedReport {
        life: report.life,
        sequence: report.sequence,
    };
    let included = report.included.filter(|known| known.life == gateway.life);
    let (is_first, sent_at) = {
        let exchange = &mut gateway.beliefs().weights_exchange;
        let is_first = exchange.note_received(from, received, now);
        let sent_at = included.and_then(|included| exchange.sent_at(included.sequence));
        (is_first, sent_at)
    };
    if is_first {
        // One of the two nodes has just started: the answer gives it what the others know.
        gateway.weights_report_due.notify(usize::MAX);
    }
    apply_weights_report(gateway, &report.news, sent_at, VersionSource::Node);
}
