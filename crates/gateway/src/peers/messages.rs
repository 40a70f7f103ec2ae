//! Messages between nodes as datagrams.

use crate::ports::{StoreObject, WatchEvent};
use ploverlift_balancing::peer_loads::{
    EngineLoad, EngineTag, LoadReport, LoadedWeights, ModelTag, PeerId, ZoneTag,
};
use ploverlift_balancing::prefix_holders::Placement;
use ploverlift_policy::ids::Millis;
use ploverlift_routing::prompt::PartKey;
use ploverlift_wire::peers::peer_message::Body;
use ploverlift_wire::{decode_peer_message, encode_peer_message, peers, WireError};

/// Placements in one report. With the largest number of loads a report stays
/// within one unfragmented datagram.
pub const MAX_PLACEMENTS: usize = 20;

/// What one node tells the others.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PeerReport {
    /// Its requests at the engines.
    pub loads: LoadReport,
    /// Parts of prompts that engines have read for it, or have dropped.
    pub placements: Vec<Placement>,
    /// Engines that loaded weights by its order a short time ago.
    pub loaded: Vec<LoadedWeights>,
    /// Revision of the lease on orders, while it holds that.
    pub lease_revision: Option<u64>,
}

/// A node's word on how fresh its configuration is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FreshnessAnswer {
    /// When the asker asked, by the asker's clock.
    pub asked_at: Millis,
    /// Version of the configuration in force.
    pub configuration: u64,
    /// Age of the proof that it is the newest one, in milliseconds.
    pub proof_age_ms: u64,
}

/// What a datagram says.
#[derive(Clone, Debug, PartialEq)]
pub enum PeerMessage {
    /// A report.
    Report(PeerReport),
    /// How fresh is the configuration? The time is the asker's.
    FreshnessQuestion {
        /// When the asker asked.
        asked_at: Millis,
    },
    /// The answer to that.
    FreshnessAnswer(FreshnessAnswer),
    /// A change of the engines that the store told the sender.
    CatalogueChange(WatchEvent),
}

/// A message as a datagram.
pub fn encode(message: &PeerMessage) -> Vec<u8> {
    let body = match message {
        PeerMessage::Report(report) => Body::Report(report_message(report)),
        PeerMessage::FreshnessQuestion { asked_at } => {
            Body::FreshnessQuestion(peers::FreshnessQuestion {
                asked_at: asked_at.0,
            })
        }
        PeerMessage::FreshnessAnswer(answer) => Body::FreshnessAnswer(peers::FreshnessAnswer {
            asked_at: answer.asked_at.0,
            configuration: answer.configuration,
            proof_age_ms: answer.proof_age_ms,
        }),
        PeerMessage::CatalogueChange(change) => Body::CatalogueChange(peers::CatalogueChange {
            name: change.object.name.clone(),
            revision: change.object.revision,
            is_deleting: change.object.is_deleting,
            is_gone: change.is_gone,
            content: change.object.content.to_string(),
        }),
    };
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
        Some(Body::FreshnessQuestion(question)) => Some(PeerMessage::FreshnessQuestion {
            asked_at: Millis(question.asked_at),
        }),
        Some(Body::FreshnessAnswer(answer)) => {
            Some(PeerMessage::FreshnessAnswer(FreshnessAnswer {
                asked_at: Millis(answer.asked_at),
                configuration: answer.configuration,
                proof_age_ms: answer.proof_age_ms,
            }))
        }
        Some(Body::CatalogueChange(change)) => {
            read_change(change).map(PeerMessage::CatalogueChange)
        }
        None => None,
    })
}

fn read_change(change: peers::CatalogueChange) -> Option<WatchEvent> {
    Some(WatchEvent {
        object: StoreObject {
            name: change.name,
            revision: change.revision,
            is_deleting: change.is_deleting,
            content: serde_json::from_str(&change.content).ok()?,
        },
        is_gone: change.is_gone,
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
        lease_revision: report.lease_revision.unwrap_or(0),
    }
}

fn read_report(message: &peers::PeerReport) -> PeerReport {
    let loads = message.loads.iter().map(|load| {
        let engine = EngineTag(load.engine);
        let load = EngineLoad {
            requests: load.requests,
            waiting_tokens: u64::from(load.waiting_tokens),
        };
        (engine, load)
    });
    let placements = message.placements.iter().map(|placement| Placement {
        part: PartKey(placement.part),
        engine: EngineTag(placement.engine),
        is_kept: !placement.is_dropped,
    });
    let loaded = message.loaded.iter().map(|loaded| LoadedWeights {
        engine: EngineTag(loaded.engine),
        model: ModelTag(loaded.model),
        version: loaded.version,
    });
    PeerReport {
        loads: LoadReport {
            sender: PeerId(message.sender),
            zone: ZoneTag(message.zone),
            life: message.life,
            sequence: message.sequence,
            is_full: message.is_full,
            loads: loads.collect(),
            loading: message.loading.iter().copied().map(EngineTag).collect(),
        },
        placements: placements.collect(),
        loaded: loaded.collect(),
        lease_revision: Some(message.lease_revision).filter(|revision| *revision > 0),
    }
}

fn load_message((engine, load): &(EngineTag, EngineLoad)) -> peers::EngineLoad {
    peers::EngineLoad {
        engine: engine.0,
        requests: load.requests,
        waiting_tokens: u32::try_from(load.waiting_tokens).unwrap_or(u32::MAX),
    }
}

fn loaded_message(loaded: &LoadedWeights) -> peers::LoadedWeights {
    peers::LoadedWeights {
        engine: loaded.engine.0,
        model: loaded.model.0,
        version: loaded.version,
    }
}

fn placement_message(placement: &Placement) -> peers::Placement {
    peers::Placement {
        part: placement.part.0,
        engine: placement.engine.0,
        is_dropped: !placement.is_kept,
    }
}
