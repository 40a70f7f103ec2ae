//! Fields shared by several kinds of messages, and their encoding.

use crate::leases::LeaseRenewal;
use ploverlift_balancing::engine_losses::LostEngine;
use ploverlift_balancing::peer_loads::{EngineLoad, EngineTag, LoadedWeights, ModelTag};
use ploverlift_balancing::prefix_holders::Placement;
use ploverlift_lease::FencingToken;
use ploverlift_policy::ids::StoreEra;
use ploverlift_policy::store_revision::StoreRevision;
use ploverlift_routing::prompt::PartKey;
use ploverlift_wire::peers;

/// A report that the data of a relay or of another node already includes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct IncludedReport {
    /// Incarnation of its sender.
    pub life: u64,
    /// Its sequence number.
    pub sequence: u64,
}

/// Reads which report is included; both fields are 0 when there is none.
pub(super) fn read_included(life: u64, sequence: u64) -> Option<IncludedReport> {
    let included = IncludedReport { life, sequence };
    Some(included).filter(|included| included.sequence > 0)
}

/// Reads the renewal of a lease; the revision is 0 when there is none.
pub(super) fn read_renewal(revision: u64, token: u64) -> Option<LeaseRenewal> {
    let renewal = LeaseRenewal {
        token: FencingToken(token),
        revision,
    };
    Some(renewal).filter(|renewal| renewal.revision > 0)
}

/// Splits a packed revision of the store into its number and its era. Nodes of earlier
/// releases read only the number.
pub(super) fn revision_fields(packed: u64) -> (u64, u64) {
    let revision = StoreRevision::of_packed(packed);
    (revision.number, revision.era.0)
}

/// Reads a revision of the store into its packed form.
pub(super) fn read_revision(number: u64, era: u64) -> u64 {
    StoreRevision::pack(number, StoreEra(era))
}

/// A packed revision's number in another era.
pub(super) fn revision_in_era(packed: u64, era: StoreEra) -> u64 {
    StoreRevision::pack(StoreRevision::of_packed(packed).number, era)
}

/// Encodes an era of the store; 0 for none.
pub(super) fn era_plus_one(era: Option<StoreEra>) -> u64 {
    era.map_or(0, |era| era.0.saturating_add(1))
}

/// Reads an era of the store.
pub(super) fn read_era(encoded_era: u64) -> Option<StoreEra> {
    encoded_era.checked_sub(1).map(StoreEra)
}

pub(super) fn load_message((engine, load): &(EngineTag, EngineLoad)) -> peers::EngineLoad {
    peers::EngineLoad {
        engine: engine.0,
        requests: load.requests,
        waiting_tokens: u32::try_from(load.waiting_tokens).unwrap_or(u32::MAX),
    }
}

pub(super) fn read_load(message: &peers::EngineLoad) -> (EngineTag, EngineLoad) {
    let load = EngineLoad {
        requests: message.requests,
        waiting_tokens: u64::from(message.waiting_tokens),
    };
    (EngineTag(message.engine), load)
}

pub(super) fn loaded_message(loaded: &LoadedWeights) -> peers::LoadedWeights {
    peers::LoadedWeights {
        engine: loaded.engine.0,
        model: loaded.model.0,
        version: loaded.version,
    }
}

pub(super) fn read_loaded(message: &peers::LoadedWeights) -> LoadedWeights {
    LoadedWeights {
        engine: EngineTag(message.engine),
        model: ModelTag(message.model),
        version: message.version,
    }
}

pub(super) fn placement_message(placement: &Placement) -> peers::Placement {
    peers::Placement {
        part: placement.part.0,
        engine: placement.engine.0,
        is_dropped: !placement.is_kept,
    }
}

pub(super) fn read_placement(message: &peers::Placement) -> Placement {
    Placement {
        part: PartKey(message.part),
        engine: EngineTag(message.engine),
        is_kept: !message.is_dropped,
    }
}

/// Reads lost engines. Of lists of unequal length, excess entries are ignored.
pub(super) fn read_lost(engines: &[u32], nodes: &[u32]) -> Vec<LostEngine> {
    let lost = engines.iter().zip(nodes);
    let lost = lost.map(|(engine, nodes)| LostEngine {
        engine: EngineTag(*engine),
        nodes: *nodes,
    });
    lost.collect()
}

/// Reads a value for which 0 means unknown.
pub(super) fn nonzero(value: u64) -> Option<u64> {
    Some(value).filter(|value| *value > 0)
}

/// Encodes an age in milliseconds as the age plus one; 0 when it is unknown.
pub(super) fn encode_age(age_ms: Option<u64>) -> u64 {
    age_ms.map_or(0, |age_ms| age_ms + 1)
}

/// Reads an age in milliseconds; `None` when it is unknown.
pub(super) fn read_age(age_plus_one: u64) -> Option<u64> {
    nonzero(age_plus_one).map(|age| age - 1)
}
