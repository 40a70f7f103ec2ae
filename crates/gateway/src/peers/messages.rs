//! Reports as datagrams.

use ploverlift_balancing::peer_loads::{EngineLoad, EngineTag, LoadReport, PeerId};
use ploverlift_balancing::prefix_holders::Placement;
use ploverlift_routing::prompt::ChainKey;
use ploverlift_wire::{decode_report, encode_report, peers, WireError};

/// Placements in one report. With the largest number of loads a report stays
/// within one unfragmented datagram.
pub const MAX_PLACEMENTS: usize = 16;

/// What one node tells the others.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PeerReport {
    /// Its requests at the engines.
    pub loads: LoadReport,
    /// Prompts that engines have read for it.
    pub placements: Vec<Placement>,
    /// Revision of the lease on orders, while it holds that.
    pub lease_revision: Option<u64>,
}

/// A report as a datagram.
pub fn encode(report: &PeerReport) -> Vec<u8> {
    let loads = &report.loads;
    encode_report(&peers::PeerReport {
        sender: loads.sender.0,
        life: loads.life,
        sequence: loads.sequence,
        is_full: loads.is_full,
        loads: loads.loads.iter().map(load_message).collect(),
        placements: report.placements.iter().map(placement_message).collect(),
        loading: loads.loading.iter().map(|tag| tag.0).collect(),
        lease_revision: report.lease_revision.unwrap_or(0),
    })
}

/// Reads a datagram.
///
/// # Errors
/// When it is not a report.
pub fn decode(datagram: &[u8]) -> Result<PeerReport, WireError> {
    let message = decode_report(datagram)?;
    let loads = message.loads.iter().map(|load| {
        let engine = EngineTag(load.engine);
        let load = EngineLoad {
            requests: load.requests,
            waiting_tokens: u64::from(load.waiting_tokens),
        };
        (engine, load)
    });
    let placements = message.placements.iter().map(|placement| Placement {
        chain: ChainKey(placement.chain),
        engine: EngineTag(placement.engine),
    });
    Ok(PeerReport {
        loads: LoadReport {
            sender: PeerId(message.sender),
            life: message.life,
            sequence: message.sequence,
            is_full: message.is_full,
            loads: loads.collect(),
            loading: message.loading.iter().copied().map(EngineTag).collect(),
        },
        placements: placements.collect(),
        lease_revision: Some(message.lease_revision).filter(|revision| *revision > 0),
    })
}

fn load_message((engine, load): &(EngineTag, EngineLoad)) -> peers::EngineLoad {
    peers::EngineLoad {
        engine: engine.0,
        requests: load.requests,
        waiting_tokens: u32::try_from(load.waiting_tokens).unwrap_or(u32::MAX),
    }
}

fn placement_message(placement: &Placement) -> peers::Placement {
    peers::Placement {
        chain: placement.chain.0,
        engine: placement.engine.0,
    }
}
