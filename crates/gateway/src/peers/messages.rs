//! Messages between nodes as datagrams.

use super::engine_limit_messages::{self, NumberedAnswer, ReportedObservation};
use super::engine_signal_messages::{self, EngineSignalReport};
use super::limit_messages::{level_message, read_levels, read_use, use_message, UseMessage};
use super::message_fields::{
    era_plus_one, load_message, loaded_message, placement_message, read_era, read_load,
    read_loaded, read_lost, read_placement, read_renewal,
};
use super::quarantine_messages::{
    quarantine_report_message, read_quarantine_report, QuarantineReport,
};
use super::relay_messages::{read_relay_report, relay_report_message, RelayReport};
use super::rollout_messages::{
    confirmation_message, counts_message, read_confirmation, read_counts, RolloutReport,
};
use super::weights_messages::{read_weights_report, weights_report_message, WeightsReport};
use crate::leases::LeaseRenewal;
use ploverlift_balancing::engine_losses::LostEngine;
use ploverlift_balancing::peer_loads::{EngineTag, LoadReport, LoadedWeights, PeerId, ZoneTag};
use ploverlift_balancing::prefix_holders::Placement;
use ploverlift_enginelimit::node_messages::TokenRequest;
use ploverlift_policy::ids::StoreEra;
use ploverlift_ratelimit::reports::LevelReport;
use ploverlift_wire::peers::peer_message::Body;
use ploverlift_wire::{decode_peer_message, encode_peer_message, peers, WireError};

/// Placements in one report. With the largest number of loads a report stays
/// within one unfragmented datagram.
pub const MAX_PLACEMENTS: usize = 20;

/// Placements that make way for lost engines, so that the report stays within its
/// datagram. On calm days there are none.
const PLACEMENTS_DISPLACED_BY_LOSSES: usize = 6;

/// Placements for which a report has room that would hold so many without losses.
pub fn placement_capacity(most: usize, lost: &[LostEngine]) -> usize {
    match lost.is_empty() {
        true => most,
        false => most - PLACEMENTS_DISPLACED_BY_LOSSES,
    }
}

/// What one node tells the others.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PeerReport {
    /// Its requests at the engines.
    pub loads: LoadReport,
    /// Parts of prompts that engines have read for it, or have dropped.
    pub placements: Vec<Placement>,
    /// Engines that loaded weights by its order a short time ago.
    pub loaded: Vec<LoadedWeights>,
    /// Its last renewal of the lease on orders, while it holds that.
    pub lease: Option<LeaseRenewal>,
    /// The latest era of the store that it knows.
    pub store_era: Option<StoreEra>,
    /// Whether it takes the receiver for a relay and wants its reports.
    pub wants_relay_reports: bool,
    /// What it tells of rollouts.
    pub rollouts: RolloutReport,
    /// Engines that are lost, as it or the nodes of its zone have found.
    pub lost: Vec<LostEngine>,
}

/// What a datagram says.
#[derive(Clone, Debug, PartialEq)]
pub enum PeerMessage {
    /// What one node has at the engines.
    Report(PeerReport),
    /// What the nodes of the sender's zone have at the engines.
    ZoneReport(PeerReport),
    /// What all nodes have at the engines, and what a relay read from the store.
    RelayReport(Box<RelayReport>),
    /// What tenants were admitted at the sender or in its zone.
    Use(UseMessage),
    /// What is left of tenants' limits.
    Levels(LevelReport),
    /// What is known of the newest weights.
    Weights(WeightsReport),
    /// Requests under which engines ended.
    Quarantine(QuarantineReport),
    /// What engines said of themselves in answers.
    EngineSignals(EngineSignalReport),
    /// What an answer of an engine said of its limit.
    EngineLimitObserved(ReportedObservation),
    /// A question for a token.
    TokenRequest(TokenRequest),
    /// Its answer.
    TokenAnswer(NumberedAnswer),
    /// A token of this engine was not used.
    TokenReturn(EngineTag),
}

/// A message as a datagram.
pub fn encode(message: &PeerMessage) -> Vec<u8> {
    let body = match message {
        PeerMessage::Report(report) => Body::Report(report_message(report)),
        PeerMessage::ZoneReport(report) => Body::ZoneReport(report_message(report)),
        PeerMessage::RelayReport(report) => Body::RelayReport(relay_report_message(report)),
        PeerMessage::Use(message) => Body::UseReport(use_message(message)),
        PeerMessage::Levels(report) => {
            let counted = report
                .levels
                .iter()
                .map(|reported| reported.counted)
                .collect();
            Body::LevelReport(peers::LevelReport {
                counted,
                ..level_message(report)
            })
        }
        PeerMessage::Weights(report) => Body::WeightsReport(weights_report_message(report)),
        PeerMessage::Quarantine(report) => {
            Body::QuarantineReport(quarantine_report_message(report))
        }
        PeerMessage::EngineSignals(report) => {
            Body::EngineSignalReport(engine_signal_messages::report_message(report))
        }
        PeerMessage::EngineLimitObserved(observation) => {
            Body::EngineLimitObservation(engine_limit_messages::observation_message(observation))
        }
        PeerMessage::TokenRequest(request) => {
            Body::EngineTokenRequest(engine_limit_messages::request_message(request))
        }
        PeerMessage::TokenAnswer(answer) => {
            Body::EngineTokenAnswer(engine_limit_messages::answer_message(answer))
        }
        PeerMessage::TokenReturn(engine) => {
            Body::EngineTokenReturn(peers::EngineTokenReturn { engine: engine.0 })
        }
    };
    encode_body(body)
}

/// A message's body as a datagram.
pub fn encode_body(body: Body) -> Vec<u8> {
    encode_peer_message(&peers::PeerMessage { body: Some(body) })
}

/// Reads a datagram; nothing when it says nothing that this version knows.
///
/// # Errors
/// When it is not a message.
pub fn decode(datagram: &[u8]) -> Result<Option<PeerMessage>, WireError> {
    let message = decode_peer_message(datagram)?;
    Ok(match message.body {
        Some(Body::Report(report)) => Some(PeerMessage::Report(read_report(&report))),
        Some(Body::ZoneReport(report)) => Some(PeerMessage::ZoneReport(read_report(&report))),
        Some(Body::RelayReport(report)) => {
            let report = Box::new(read_relay_report(&report));
            Some(PeerMessage::RelayReport(report))
        }
        Some(Body::UseReport(report)) => Some(PeerMessage::Use(read_use(&report))),
        Some(Body::LevelReport(report)) => Some(PeerMessage::Levels(read_levels(&report))),
        Some(Body::WeightsReport(report)) => {
            Some(PeerMessage::Weights(read_weights_report(&report)))
        }
        Some(Body::QuarantineReport(report)) => {
            Some(PeerMessage::Quarantine(read_quarantine_report(&report)))
        }
        Some(Body::EngineSignalReport(report)) => Some(PeerMessage::EngineSignals(
            engine_signal_messages::read_report(&report),
        )),
        Some(Body::EngineLimitObservation(observation)) => Some(PeerMessage::EngineLimitObserved(
            engine_limit_messages::read_observation(&observation),
        )),
        Some(Body::EngineTokenRequest(request)) => Some(PeerMessage::TokenRequest(
            engine_limit_messages::read_request(&request),
        )),
        Some(Body::EngineTokenAnswer(answer)) => {
            engine_limit_messages::read_answer(&answer).map(PeerMessage::TokenAnswer)
        }
        Some(Body::EngineTokenReturn(returned)) => {
            Some(PeerMessage::TokenReturn(EngineTag(returned.engine)))
        }
        None => None,
    })
}

fn report_message(report: &PeerReport) -> peers::PeerReport {
    let loads = &report.loads;
    peers::PeerReport {
        sender: loads.sender.0,
        zone: loads.zone.0,
        life: loads.life,
        sequence: loads.sequence,
        is_full: loads.is_full,
        loads: loads.loads.iter().map(load_message).collect(),
        placements: report.placements.iter().map(placement_message).collect(),
        loading: loads.loading.iter().map(|tag| tag.0).collect(),
        loaded: report.loaded.iter().map(loaded_message).collect(),
        lease_revision: report.lease.map_or(0, |lease| lease.revision),
        lease_token: report.lease.map_or(0, |lease| lease.token.0),
        wants_relay_reports: report.wants_relay_reports,
        rollouts: report.rollouts.counts.iter().map(counts_message).collect(),
        confirmations: report
            .rollouts
            .confirmations
            .iter()
            .map(confirmation_message)
            .collect(),
        rollout_lease_revision: report.rollouts.lease.map_or(0, |lease| lease.revision),
        rollout_lease_token: report.rollouts.lease.map_or(0, |lease| lease.token.0),
        store_era_plus_one: era_plus_one(report.store_era),
        lost: report.lost.iter().map(|lost| lost.engine.0).collect(),
        lost_nodes: report.lost.iter().map(|lost| lost.nodes).collect(),
    }
}

fn read_report(message: &peers::PeerReport) -> PeerReport {
    PeerReport {
        loads: LoadReport {
            sender: PeerId(message.sender),
            zone: ZoneTag(message.zone),
            life: message.life,
            sequence: message.sequence,
            is_full: message.is_full,
            loads: message.loads.iter().map(read_load).collect(),
            loading: message.loading.iter().copied().map(EngineTag).collect(),
        },
        placements: message.placements.iter().map(read_placement).collect(),
        loaded: message.loaded.iter().map(read_loaded).collect(),
        lease: read_renewal(message.lease_revision, message.lease_token),
        store_era: read_era(message.store_era_plus_one),
        wants_relay_reports: message.wants_relay_reports,
        rollouts: RolloutReport {
            counts: message.rollouts.iter().map(read_counts).collect(),
            confirmations: message
                .confirmations
                .iter()
                .map(read_confirmation)
                .collect(),
            lease: read_renewal(message.rollout_lease_revision, message.rollout_lease_token),
        },
        lost: read_lost(&message.lost, &message.lost_nodes),
    }
}
