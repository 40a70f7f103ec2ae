//! Broadcast of requests and parts of prompts during which engines terminated.
//!
//! Nothing is sent while there are none. The node that finds something out reports it at
//! once and repeats it twice, since datagrams may be lost. Relays forward what they
//! receive. Refused requests are repeated in rotation for as long as they are refused, so
//! that a node that joins, or was cut off, learns of them.

use super::messages::{encode, PeerMessage};
use super::quarantine_messages::QuarantineReport;
use super::receivers::broadcast_receivers;
use super::roles::{role, Role};
use crate::state::Gateway;
use crate::time::{sleep, within};
use ploverlift_balancing::peer_loads::PeerId;
use ploverlift_policy::ids::Millis;
use ploverlift_quarantine::exchange::{MergeOutcome, ReportOptions};
use ploverlift_quarantine::subject::Subject;
use smol::net::UdpSocket;
use std::sync::Arc;

/// Maximum interval between two reports while there is something to report, in
/// milliseconds.
const REPORT_PERIOD_MS: u64 = 250;
/// Minimum interval between two reports, in milliseconds.
const MIN_PERIOD_MS: u64 = 5;
/// Number of periods after which refused requests are repeated, though nothing has changed.
const PERIODS_PER_REFUSED: u64 = 16;
/// Maximum number of subjects in one datagram: with eight terminated engines each it stays
/// under 1,200 bytes.
const SUBJECTS_PER_DATAGRAM: usize = 6;

/// Sends reports until the task is dropped.
pub async fn report_quarantine(gateway: Arc<Gateway>, socket: Arc<UdpSocket>) {
    let mut period_began = gateway.clock.now();
    let mut periods: u64 = 0;
    loop {
        let due = gateway.quarantine_changed.listen();
        let now = gateway.clock.now();
        let is_period = now.since(period_began) >= REPORT_PERIOD_MS;
        if is_period {
            period_began = now;
            periods += 1;
        }
        let occasion = ReportOptions {
            is_period,
            includes_refused: is_period && periods % PERIODS_PER_REFUSED == 0,
            passes_on: role(&gateway, now) == Role::Relay,
        };
        report(&gateway, &socket, occasion, now).await;
        sleep(MIN_PERIOD_MS).await;
        within(REPORT_PERIOD_MS - MIN_PERIOD_MS, due).await;
    }
}

async fn report(gateway: &Gateway, socket: &UdpSocket, occasion: ReportOptions, now: Millis) {
    let own = PeerId::of(&gateway.settings().node.name);
    let due_reports = {
        let quarantine = &mut gateway.beliefs().quarantine;
        quarantine.reports_due(own, occasion, now)
    };
    if due_reports.is_empty() {
        return;
    }
    let receivers = broadcast_receivers(gateway, now);
    for subjects in due_reports.chunks(SUBJECTS_PER_DATAGRAM) {
        let datagram = encode(&PeerMessage::Quarantine(QuarantineReport {
            sender: own,
            subjects: subjects.to_vec(),
        }));
        for receiver in &receivers {
            // A lost report is repaired by the next ones.
            let _ = socket.send_to(&datagram, receiver).await;
        }
    }
}

/// Applies the report of another node.
pub fn handle_quarantine_report(gateway: &Gateway, report: &QuarantineReport) {
    let own = PeerId::of(&gateway.settings().node.name);
    let now = gateway.clock.now();
    let passes_on = role(gateway, now) == Role::Relay;
    let mut is_new = false;
    let mut refused: Vec<Subject> = Vec::new();
    {
        let quarantine = &mut gateway.beliefs().quarantine;
        for reported in &report.subjects {
            match quarantine.merge(reported, report.sender, own, passes_on, now) {
                MergeOutcome::Unchanged => {}
                MergeOutcome::Changed => is_new = true,
                MergeOutcome::Refused => {
                    is_new = true;
                    refused.push(reported.subject);
                }
            }
        }
    }
    for subject in refused {
        slog::warn!(gateway.log, "request refused from now on";
            "fingerprint" => subject.to_string(), "from" => format!("{:016x}", report.sender.0));
    }
    if is_new {
        gateway.quarantine_changed.notify(usize::MAX);
    }
}
