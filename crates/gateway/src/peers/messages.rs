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
use super::stream_origin_messages::{self, NumberedOriginAnswer, OriginQuery, ReportedOrigin};
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

/// Maximum number of placements in one report. With the maximum number of loads the report
/// stays within one unfragmented datagram.
pub const MAX_PLACEMENTS: usize = 20;

/// Number of placements by which a report is reduced when it has lost engines, so that it
/// stays within its datagram. Usually there are no lost engines.
const PLACEMENTS_DISPLACED_BY_LOSSES: usize = 6;

/// Maximum number of placements in a report with these lost engines, where
/// `max_without_losses` is the maximum without them.
pub fn placement_capacity(max_without_losses: usize, lost: &[LostEngine]) -> usize {
    match lost.is_empty() {
        true => max_without_losses,
        false => max_without_losses - PLACEMENTS_DISPLACED_BY_LOSSES,
    }
}

/// Report of one node to others.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PeerReport {
    /// Load of the sender on the engines.
    pub loads: LoadReport,
    /// Parts of prompts that engines have cached for the sender, or have evicted.
    pub placements: Vec<Placement>,
    /// Engines that recently loaded weights on the order of the sender.
    pub loaded: Vec<LoadedWeights>,
    /// Last renewal of the lease on orders, while the sender holds it.
    pub lease: Option<LeaseRenewal>,
    /// The latest era of the store that the sender knows.
    pub store_era: Option<StoreEra>,
    /// Whether the sender uses the receiver as a relay and requests its reports.
    pub wants_relay_reports: bool,
    /// Rollout data of the sender.
    pub rollouts: RolloutReport,
    /// Engines that the sender or the nodes of its zone have found to be lost.
    pub lost: Vec<LostEngine>,
}

/// A message between nodes.
#[derive(Clone, Debug, PartialEq)]
pub enum PeerMessage {
    /// Load of one node on the engines.
    Report(PeerReport),
    /// Load of the nodes of the sender's zone on the engines.
    ZoneReport(PeerReport),
    /// Load of all nodes on the engines, and what a relay read from the store.
    RelayReport(Box<RelayReport>),
    /// Usage of tenants admitted by the sender or in its zone.
    Use(UseMessage),
    /// Levels of tenants' limits.
    Levels(LevelReport),
    /// The newest weights, as the sender knows them.
    Weights(WeightsReport),
    /// Requests during which engines terminated.
    Quarantine(QuarantineReport),
    /// Signals that engines set in answers.
    EngineSignals(EngineSignalReport),
    /// Rate limit in an answer of an engine.
    EngineLimitObserved(ReportedObservation),
    /// A request for a token.
    TokenRequest(TokenRequest),
    /// The answer to a request for a token.
    TokenAnswer(NumberedAnswer),
    /// A token of this engine is returned unused.
    TokenReturn(EngineTag),
    /// Software versions that began streams.
    StreamOrigins(Vec<ReportedOrigin>),
    /// The sender has started and lacks the streams that it keeps.
    StreamOriginsWanted(PeerId),
    /// A question for the version that began a stream.
    StreamOriginQuery(OriginQuery),
    /// The answer to such a question.
    StreamOriginAnswer(NumberedOriginAnswer),
}

/// Encodes a message as a datagram.
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
        PeerMessage::StreamOrigins(origins) => {
            Body::StreamOrigins(stream_origin_messages::origins_message(origins))
        }
        PeerMessage::StreamOriginsWanted(sender) => {
            Body::StreamOriginsWanted(stream_origin_messages::wanted_message(*sender))
        }
        PeerMessage::StreamOriginQuery(query) => {
            Body::StreamOriginQuery(stream_origin_messages::query_message(query))
        }
        PeerMessage::StreamOriginAnswer(answer) => {
            Body::StreamOriginAnswer(stream_origin_messages::answer_message(answer))
        }
    };
    encode_body(body)
}

/// Encodes the body of a message as a datagram.
pub fn encode_body(body: Body) -> Vec<u8> {
    encode_peer_message(&peers::PeerMessage { body: Some(body) })
}

/// Decodes a datagram; `None` when this version does not know the kind of message.
///
/// # Errors
/// When the datagram is not a valid message.
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
        Some(Body::StreamOrigins(origins)) => {
            let origins = stream_origin_messages::read_origins(origins);
            Some(PeerMessage::StreamOrigins(origins))
        }
        Some(Body::StreamOriginsWanted(wanted)) => {
            Some(PeerMessage::StreamOriginsWanted(PeerId(wanted.sender)))
        }
        Some(Body::StreamOriginQuery(query)) => {
            let query = stream_origin_messages::read_query(query);
            Some(PeerMessage::StreamOriginQuery(query))
        }
        Some(Body::StreamOriginAnswer(answer)) => {
            let answer = stream_origin_messages::read_answer(answer);
            Some(PeerMessage::StreamOriginAnswer(answer))
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
