//! Telling the other nodes which weights are the newest, and how old the proof is.
//!
//! One node's call of the store then serves the whole fleet, and a node that the store
//! refuses, whose watch is deaf or that has just started knows what the others know. An
//! age counts from when the receiver sent the report that the sender answers: however
//! long a datagram travelled, the proof is not taken for younger than it is.

use super::message_fields::IncludedReport;
use super::messages::{encode, PeerMessage};
use super::roles::{fellow_relays, role, Role};
use super::weights_messages::{WeightsReport, MAX_TOLD_VERSIONS};
use crate::state::Gateway;
use crate::time::{sleep, within};
use crate::weights::knowledge::{apply_weights_report, VersionSource};
use ploverlift_policy::ids::Millis;
use smol::net::UdpSocket;
use std::net::SocketAddr;
use std::sync::Arc;

/// Time between two reports, in milliseconds: what a node may know later than the one
/// that has called the store, small against the seconds of any bound on weights.
const REPORT_PERIOD_MS: u64 = 250;
/// Shortest time between two reports, in milliseconds.
const SHORTEST_PERIOD_MS: u64 = 15;

/// Reports to the nodes of a small fleet, or as a relay to the other relays, until the
/// task is dropped.
pub async fn report_weights(gateway: Arc<Gateway>, socket: Arc<UdpSocket>) {
    loop {
        let due = gateway.weights_report_due.listen();
        for (receiver, report) in next_reports(&gateway) {
            let datagram = encode(&PeerMessage::Weights(report));
            // A lost report is repaired by the next one.
            let _ = socket.send_to(&datagram, receiver).await;
        }
        sleep(SHORTEST_PERIOD_MS).await;
        within(REPORT_PERIOD_MS - SHORTEST_PERIOD_MS, due).await;
    }
}

fn next_reports(gateway: &Gateway) -> Vec<(SocketAddr, WeightsReport)> {
    let receivers = receivers(gateway, gateway.clock.now());
    if receivers.is_empty() {
        return Vec::new();
    }
    let mut beliefs = gateway.beliefs();
    // Under one lock, and the time last: no report that came after the ages were worked
    // out may be named as answered.
    let now = gateway.clock.now();
    let news = beliefs
        .weights
        .current_report(&gateway.weights_bounds(0), now);
    let sequence = beliefs.weights_exchange.next_sequence(now);
    let parts = news.parts(MAX_TOLD_VERSIONS);
    let reports = receivers.into_iter().flat_map(|receiver| {
        let included = beliefs.weights_exchange.last_heard(&receiver);
        parts.iter().map(move |news| {
            let report = WeightsReport {
                life: gateway.life,
                sequence,
                news: news.clone(),
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
        Role::Relay => fellow_relays(gateway, now).into_iter().collect(),
        // Its relays tell it with their reports.
        Role::Follower => Vec::new(),
    }
}

/// Takes in what another node tells.
pub fn take_weights_report(gateway: &Gateway, report: &WeightsReport, from: SocketAddr) {
    let now = gateway.clock.now();
    let heard = IncludedReport {
        life: report.life,
        sequence: report.sequence,
    };
    let included = report.included.filter(|known| known.life == gateway.life);
    let (is_first, sent_at) = {
        let exchange = &mut gateway.beliefs().weights_exchange;
        let is_first = exchange.note_heard(from, heard, now);
        let sent_at = included.and_then(|included| exchange.sent_at(included.sequence));
        (is_first, sent_at)
    };
    if is_first {
        // One of the two has just started: the answer tells it what the others know.
        gateway.weights_report_due.notify(usize::MAX);
    }
    apply_weights_report(gateway, &report.news, sent_at, VersionSource::Node);
}
