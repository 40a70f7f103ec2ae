//! Broadcast of the signals that engines set in their answers: rate limits, with the node
//! that is the limit holder, and that an engine is leaving.
//!
//! Nothing is sent while no engine has set a signal. A change is broadcast at once and
//! repeated twice; for some time, a part of the known signals is repeated in each period,
//! so that a node that was cut off receives it. A node that starts requests all signals
//! before it is ready.

use super::engine_limits::{apply_limit_group, remove_gone_limits};
use super::engine_signal_messages::EngineSignalReport;
use super::messages::{encode, PeerMessage};
use super::receivers::broadcast_receivers;
use super::roles::{role, Role};
use crate::state::Gateway;
use crate::time::{sleep, within};
use ploverlift_balancing::engine_notices::exchange::{ReportRound, ReportedLeaving, MAX_REPORTED};
use ploverlift_balancing::engine_notices::NoticeSource;
use ploverlift_balancing::peer_loads::PeerId;
use ploverlift_enginelimit::node_messages::GroupUpdate;
use ploverlift_policy::ids::Millis;
use smol::net::UdpSocket;
use std::net::SocketAddr;
use std::sync::Arc;

/// Interval at which unchanged signals are repeated, in milliseconds.
const REPEAT_PERIOD_MS: u64 = 1_000;
/// Maximum interval between two checks for due reports, such as repeats, in milliseconds.
const POLL_MS: u64 = 100;
/// Minimum interval between two reports, in milliseconds.
const MIN_PERIOD_MS: u64 = 5;
/// Maximum time after its start for which a node waits for the signals, in milliseconds.
const START_WAIT_MS: u64 = 1_500;
/// Maximum number of engines listed in one log line.
const MAX_LOGGED_ENGINES: usize = 4;

/// Signals that are sent together.
#[derive(Default)]
struct SignalChanges {
    groups: Vec<GroupUpdate>,
    leaving: Vec<ReportedLeaving>,
}

impl SignalChanges {
    fn is_empty(&self) -> bool {
        self.groups.is_empty() && self.leaving.is_empty()
    }
}

/// Reports until the task is dropped.
pub async fn report_engine_signals(gateway: Arc<Gateway>, socket: Arc<UdpSocket>) {
    let mut period_began = gateway.clock.now();
    loop {
        let due = gateway.engine_signals_changed.listen();
        let now = gateway.clock.now();
        let is_period = now.since(period_began) >= REPEAT_PERIOD_MS;
        if is_period {
            period_began = now;
            remove_gone_limits(&gateway, now);
        }
        send_due_reports(&gateway, &socket, is_period, now).await;
        sleep(MIN_PERIOD_MS).await;
        within(POLL_MS - MIN_PERIOD_MS, due).await;
    }
}

async fn send_due_reports(gateway: &Gateway, socket: &UdpSocket, is_period: bool, now: Millis) {
    let round = ReportRound {
        is_period,
        passes_on: role(gateway, now) == Role::Relay,
    };
    let changes = {
        let beliefs = &mut *gateway.beliefs();
        SignalChanges {
            groups: beliefs.engine_limits.updates_due(is_period, now),
            leaving: beliefs.engines.notices.due_reports(round, now),
        }
    };
    let wants_all = !knows_signals(gateway);
    if changes.is_empty() && !wants_all {
        return;
    }
    let receivers = broadcast_receivers(gateway, now);
    for report in reports(gateway, changes, wants_all) {
        let datagram = encode(&PeerMessage::EngineSignals(report));
        for receiver in &receivers {
            // A lost report is repaired by the next ones.
            let _ = socket.send_to(&datagram, receiver).await;
        }
    }
}

/// Reports that fit one datagram each, at least one.
fn reports(gateway: &Gateway, changes: SignalChanges, wants_all: bool) -> Vec<EngineSignalReport> {
    let empty = EngineSignalReport {
        sender: PeerId::of(&gateway.settings().node.name),
        groups: Vec::new(),
        leaving: Vec::new(),
        wants_all,
    };
    let of_group = |group: GroupUpdate| EngineSignalReport {
        groups: vec![group],
        ..empty.clone()
    };
    let of_leaving = |leaving: &[ReportedLeaving]| EngineSignalReport {
        leaving: leaving.to_vec(),
        ..empty.clone()
    };
    let mut reports: Vec<EngineSignalReport> = changes.groups.into_iter().map(of_group).collect();
    reports.extend(changes.leaving.chunks(MAX_REPORTED).map(of_leaving));
    if reports.is_empty() {
        reports.push(empty);
    }
    reports
}

/// Reports of these groups.
pub(super) fn limit_reports(
    gateway: &Gateway,
    groups: impl IntoIterator<Item = GroupUpdate>,
) -> Vec<EngineSignalReport> {
    let changes = SignalChanges {
        groups: groups.into_iter().collect(),
        leaving: Vec::new(),
    };
    match changes.is_empty() {
        true => Vec::new(),
        false => reports(gateway, changes, false),
    }
}

/// Whether this node has received the signals, or there is no node from which it could.
pub fn knows_signals(gateway: &Gateway) -> bool {
    let is_alone = {
        let book = gateway.address_book();
        book.list_count() > 0 && book.listed_nodes() <= 1
    };
    let has_waited = gateway.clock.now().since(gateway.started_at) >= START_WAIT_MS;
    let has_no_peer_socket = gateway.settings().listen.peers.is_none();
    is_alone || has_waited || has_no_peer_socket || gateway.beliefs().has_received_signals
}

/// Applies a report of another node.
pub fn handle_signals(gateway: &Gateway, report: &EngineSignalReport, from: SocketAddr) {
    let now = gateway.clock.now();
    if report.wants_all {
        send_all_signals(gateway, from, now);
    }
    let passes_on = role(gateway, now) == Role::Relay;
    let mut is_new = false;
    for update in &report.groups {
        is_new |= apply_limit_group(gateway, update, passes_on, now);
    }
    is_new |= apply_leaving(gateway, &report.leaving, passes_on, now);
    // A node that requests the signals itself knows no more than this one.
    gateway.beliefs().has_received_signals |= !report.wants_all;
    if is_new {
        gateway.engine_signals_changed.notify(usize::MAX);
    }
}

fn send_all_signals(gateway: &Gateway, to: SocketAddr, now: Millis) {
    let changes = {
        let beliefs = gateway.beliefs();
        SignalChanges {
            groups: beliefs.engine_limits.all_updates(now),
            leaving: beliefs.engines.notices.all_leaving(now),
        }
    };
    for answer in reports(gateway, changes, false) {
        gateway.outbox.put(to, &PeerMessage::EngineSignals(answer));
    }
}

/// Applies reports of leaving engines; returns whether any was new.
fn apply_leaving(
    gateway: &Gateway,
    reported: &[ReportedLeaving],
    passes_on: bool,
    now: Millis,
) -> bool {
    let mut beliefs = gateway.beliefs();
    let notices = &mut beliefs.engines.notices;
    let new_reports: Vec<&ReportedLeaving> = reported
        .iter()
        .filter(|reported| notices.apply_reported(reported, passes_on, now))
        .collect();
    let engines = &beliefs.engines;
    let known = new_reports
        .iter()
        .filter_map(|reported| engines.by_tag(reported.life.engine));
    let names = known.map(|engine| engine.record.instance.0.as_str());
    let names: Vec<&str> = names.take(MAX_LOGGED_ENGINES).collect();
    if let Some(first) = new_reports.first() {
        slog::info!(gateway.log, "engine leaves";
            "engine" => names.join(" "), "engines" => new_reports.len(),
            "age_ms" => first.age_ms, "from" => NoticeSource::Node.name());
    }
    !new_reports.is_empty()
}
