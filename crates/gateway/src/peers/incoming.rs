//! Taking in the reports of other nodes, and of relays of other zones.

use super::message_fields::IncludedReport;
use super::messages::PeerReport;
use super::relay_duties::HOLDERS_TOLD;
use crate::beliefs::Beliefs;
use crate::leases::LeaseName;
use crate::rollouts::exchange::Reporter;
use crate::state::Gateway;
use ploverlift_balancing::engine_losses::ReportSource;
use ploverlift_balancing::peer_loads::{EngineTag, LoadReport, PeerId};
use ploverlift_balancing::prefix_holders::PlacementChange;
use ploverlift_policy::ids::Millis;
use std::net::SocketAddr;

/// Takes in the report of another node, as one of a small fleet or as its relay.
pub fn take_report(gateway: &Gateway, report: &PeerReport, from: SocketAddr) {
    let sender = report.loads.sender;
    if sender == PeerId::of(&gateway.settings().node.name) {
        return;
    }
    let now = gateway.clock.now();
    gateway.note_peer_era(report.store_era);
    gateway.address_book().heard(from, sender, now);
    let fleet = gateway.address_book().listed_nodes();
    let mut beliefs = gateway.beliefs();
    if !report.lost.is_empty() {
        beliefs.hear_of_losses(ReportSource::Node, sender, &report.lost, fleet, now);
        gateway.engine_check_due.notify(usize::MAX);
    }
    if report.wants_relay_reports {
        take_member_report(gateway, &mut beliefs, report, from);
        return;
    }
    beliefs.peer_loads.apply(&report.loads, now);
    let (placements, loaded) = (&report.placements, &report.loaded);
    beliefs.note_reported(placements, loaded, report.lease, now);
    take_rollouts(&mut beliefs, report, now);
}

/// Takes in the report of a node of the zone that takes this one for a relay.
fn take_member_report(
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
    take_news(beliefs, report, true, now);
    take_rollouts(beliefs, report, now);
}

/// Takes in the sums of another zone from one of its relays.
pub fn take_zone_report(gateway: &Gateway, report: &PeerReport, from: SocketAddr) {
    let now = gateway.clock.now();
    gateway.note_peer_era(report.store_era);
    gateway.address_book().heard(from, report.loads.sender, now);
    let fleet = gateway.address_book().listed_nodes();
    let mut beliefs = gateway.beliefs();
    beliefs.relaying.note_zone_reporter(from, now);
    // The relays of a zone report the same sums. They count as one sender, of whom
    // the higher life is heard until it is silent for as long as a report may be late.
    let loads = LoadReport {
        sender: PeerId(u64::from(report.loads.zone.0)),
        ..report.loads.clone()
    };
    apply_loads(gateway, &mut beliefs, &loads, now);
    if !report.lost.is_empty() {
        let zone = loads.sender;
        beliefs.hear_of_losses(ReportSource::OtherZone, zone, &report.lost, fleet, now);
        gateway.engine_check_due.notify(usize::MAX);
    }
    take_news(&mut beliefs, report, false, now);
    let zone = report.loads.zone;
    beliefs
        .rollouts
        .merge_zone_report(zone, &report.rollouts, now);
    hear_of_rollout_lease(&mut beliefs, report, now);
}

/// What a node tells of rollouts.
fn take_rollouts(beliefs: &mut Beliefs, report: &PeerReport, now: Millis) {
    let from = Reporter {
        node: report.loads.sender,
        life: report.loads.life,
    };
    beliefs
        .rollouts
        .merge_node_report(from, &report.rollouts, now);
    hear_of_rollout_lease(beliefs, report, now);
}

fn hear_of_rollout_lease(beliefs: &mut Beliefs, report: &PeerReport, now: Millis) {
    if let Some(renewal) = report.rollouts.lease {
        beliefs
            .leases
            .of_mut(LeaseName::Rollouts)
            .note_announced(renewal, now);
    }
}

/// Takes in loads. Which engines are about to load weights is told on at once.
fn apply_loads(gateway: &Gateway, beliefs: &mut Beliefs, loads: &LoadReport, now: Millis) -> bool {
    let tells_loading = loads
        .loading
        .iter()
        .any(|engine| !beliefs.peer_loads.is_loading(*engine));
    let is_news = beliefs.peer_loads.apply(loads, now);
    if is_news && tells_loading {
        gateway.report_due.notify(usize::MAX);
    }
    is_news
}

/// What a report tells besides loads. It passes on what was news here, so nothing
/// goes round.
fn take_news(beliefs: &mut Beliefs, report: &PeerReport, is_from_zone: bool, now: Millis) {
    for placement in &report.placements {
        let news = beliefs.holders.note(*placement, now);
        let others: Vec<EngineTag> = match news {
            PlacementChange::Dropped => {
                let others = beliefs.holders.holders_of(placement.part, now);
                others.take(HOLDERS_TOLD).collect()
            }
            _ => Vec::new(),
        };
        let duties = &mut beliefs.relaying;
        duties.pass_on(*placement, news, &others, is_from_zone);
    }
    for loaded in &report.loaded {
        if beliefs.engines.note_loaded_weights(loaded) {
            beliefs.pass_on_loaded(*loaded, now);
        }
    }
    if let Some(renewal) = report.lease {
        beliefs
            .leases
            .of_mut(LeaseName::Weights)
            .note_announced(renewal, now);
    }
}
