//! Handling of reports of other nodes, and of relays of other zones.

use super::message_fields::IncludedReport;
use super::messages::PeerReport;
use super::relay_forwarding::MAX_REPORTED_HOLDERS;
use crate::beliefs::Beliefs;
use crate::leases::LeaseName;
use crate::rollouts::exchange::Reporter;
use crate::state::Gateway;
use ploverlift_balancing::engine_losses::ReportSource;
use ploverlift_balancing::peer_loads::{EngineTag, LoadReport, PeerId};
use ploverlift_balancing::prefix_holders::PlacementChange;
use ploverlift_policy::ids::Millis;
use std::net::SocketAddr;

/// Applies the report of another node, as a node of a small fleet or as its relay.
pub fn handle_report(gateway: &Gateway, report: &PeerReport, from: SocketAddr) {
    let sender = report.loads.sender;
    if sender == PeerId::of(&gateway.settings().node.name) {
        return;
    }
    let now = gateway.clock.now();
    gateway.note_peer_era(report.store_era);
    gateway.address_book().note_contact(from, sender, now);
    let fleet = gateway.address_book().listed_nodes();
    let mut beliefs = gateway.beliefs();
    if !report.lost.is_empty() {
        beliefs.apply_reported_losses(ReportSource::Node, sender, &report.lost, fleet, now);
        gateway.engine_check_due.notify(usize::MAX);
    }
    if report.wants_relay_reports {
        handle_member_report(gateway, &mut beliefs, report, from);
        return;
    }
    beliefs.peer_loads.apply(&report.loads, now);
    let (placements, loaded) = (&report.placements, &report.loaded);
    beliefs.note_reported(placements, loaded, report.lease, now);
    apply_rollouts(&mut beliefs, report, now);
}

/// Applies the report of a node of the zone that uses this one as a relay.
fn handle_member_report(
    gateway: &Gateway,
    beliefs: &mut Beliefs,
    report: &PeerReport,
    from: SocketAddr,
) {
    let now = gateway.clock.now();
    let loads = &report.loads;
    if apply_loads(gateway, beliefs, loads, now) {
        let included = IncludedReport {
            life: loads.life,
            sequence: loads.sequence,
        };
        let relaying = &mut beliefs.relaying;
        relaying.note_reporter(from, loads.sender, included, now);
    }
    apply_changes(beliefs, report, true, now);
    apply_rollouts(beliefs, report, now);
}

/// Applies the sums of another zone from one of its relays.
pub fn handle_zone_report(gateway: &Gateway, report: &PeerReport, from: SocketAddr) {
    let now = gateway.clock.now();
    gateway.note_peer_era(report.store_era);
    gateway
        .address_book()
        .note_contact(from, report.loads.sender, now);
    let fleet = gateway.address_book().listed_nodes();
    let mut beliefs = gateway.beliefs();
    beliefs.relaying.note_zone_reporter(from, now);
    // The relays of a zone report the same sums. They count as one sender: the reports of
    // the higher incarnation are applied until it has been silent for as long as a report
    // may be delayed.
    let loads = LoadReport {
        sender: PeerId(u64::from(report.loads.zone.0)),
        ..report.loads.clone()
    };
    apply_loads(gateway, &mut beliefs, &loads, now);
    if !report.lost.is_empty() {
        let zone = loads.sender;
        beliefs.apply_reported_losses(ReportSource::OtherZone, zone, &report.lost, fleet, now);
        gateway.engine_check_due.notify(usize::MAX);
    }
    apply_changes(&mut beliefs, report, false, now);
    let zone = report.loads.zone;
    beliefs
        .rollouts
        .merge_zone_report(zone, &report.rollouts, now);
    note_rollout_lease(&mut beliefs, report, now);
}

/// Applies the rollout data of a node.
fn apply_rollouts(beliefs: &mut Beliefs, report: &PeerReport, now: Millis) {
    let from = Reporter {
        node: report.loads.sender,
        life: report.loads.life,
    };
    beliefs
        .rollouts
        .merge_node_report(from, &report.rollouts, now);
    note_rollout_lease(beliefs, report, now);
}

fn note_rollout_lease(beliefs: &mut Beliefs, report: &PeerReport, now: Millis) {
    if let Some(renewal) = report.rollouts.lease {
        beliefs
            .leases
            .of_mut(LeaseName::Rollouts)
            .note_announced(renewal, now);
    }
}

/// Applies loads. Engines that are newly about to load weights are reported further at
/// once.
fn apply_loads(gateway: &Gateway, beliefs: &mut Beliefs, loads: &LoadReport, now: Millis) -> bool {
    let has_new_loading = loads
        .loading
        .iter()
        .any(|engine| !beliefs.peer_loads.is_loading(*engine));
    let is_new = beliefs.peer_loads.apply(loads, now);
    if is_new && has_new_loading {
        gateway.report_due.notify(usize::MAX);
    }
    is_new
}

/// Applies the parts of a report other than loads. Only what was new to this node is
/// forwarded, so that reports do not circulate.
fn apply_changes(beliefs: &mut Beliefs, report: &PeerReport, is_from_zone: bool, now: Millis) {
    for placement in &report.placements {
        let change = beliefs.holders.note(*placement, now);
        let others: Vec<EngineTag> = match change {
            PlacementChange::Dropped => {
                let others = beliefs.holders.holders_of(placement.part, now);
                others.take(MAX_REPORTED_HOLDERS).collect()
            }
            _ => Vec::new(),
        };
        let forwarding = &mut beliefs.relaying;
        forwarding.forward_placement(*placement, change, &others, is_from_zone);
    }
    for loaded in &report.loaded {
        if beliefs.engines.note_loaded_weights(loaded) {
            beliefs.queue_loaded_report(*loaded, now);
        }
    }
    if let Some(renewal) = report.lease {
        beliefs
            .leases
            .of_mut(LeaseName::Weights)
            .note_announced(renewal, now);
    }
}
