//! Reports of relays to the nodes of their zone, as messages.

use super::message_fields::{
    encode_age, era_plus_one, load_message, loaded_message, nonzero, placement_message, read_age,
    read_era, read_included, read_load, read_loaded, read_lost, read_placement, read_renewal,
    read_revision, revision_fields, revision_in_era, IncludedReport,
};
use super::rollout_messages::{news_message, read_news, RolloutNews};
use super::store_contents::{read_store, store_message};
use super::weights_messages::{read_weights, weights_message};
use crate::leases::LeaseRenewal;
use ploverlift_balancing::cache_stores::StoreUpdate;
use ploverlift_balancing::catalogue::{EngineRecord, Heartbeat, InstanceId};
use ploverlift_balancing::engine_losses::LostEngine;
use ploverlift_balancing::peer_loads::{EngineLoad, EngineTag, LoadedWeights, PeerId, ZoneTag};
use ploverlift_balancing::prefix_holders::Placement;
use ploverlift_balancing::relayed_loads::RelayedReport;
use ploverlift_balancing::weights::{ReportedVersion, WeightsNews};
use ploverlift_policy::ids::{StoreEra, ZoneName};
use ploverlift_routing::configuration::ServiceName;
use ploverlift_routing::software::SoftwareVersion;
use ploverlift_wire::peers;
use std::collections::BTreeMap;

/// Maximum number of loads in one datagram of a relay. With the maximum number of
/// placements and changes it stays within one unfragmented datagram.
pub const MAX_RELAYED_LOADS: usize = 50;
/// Maximum number of loads in a datagram of a relay that also reports weights.
const MAX_LOADS_BESIDE_WEIGHTS: usize = 20;
/// Maximum number of placements in one datagram of a relay.
pub const MAX_RELAYED_PLACEMENTS: usize = 12;
/// Maximum number of changes of engines in one datagram of a relay.
pub const MAX_RELAYED_CHANGES: usize = 4;

/// A change of one engine, as a relay read it from the store.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineChange {
    /// The engine.
    pub instance: InstanceId,
    /// The store's revision of the change.
    pub revision: u64,
    /// The record; `None` when the engine is gone.
    pub record: Option<EngineRecord>,
}

impl EngineChange {
    /// The same change with its revision in an era of the store.
    fn in_era(mut self, era: StoreEra) -> Self {
        self.revision = revision_in_era(self.revision, era);
        if let Some(record) = &mut self.record {
            record.revision = self.revision;
        }
        self
    }
}

/// Report of a relay to a node of its zone.
#[derive(Clone, Debug, PartialEq)]
pub struct RelayReport {
    /// Loads of all nodes, and the nodes themselves.
    pub loads: RelayedReport,
    /// Parts of prompts that engines have cached or evicted.
    pub placements: Vec<Placement>,
    /// Engines that recently loaded weights.
    pub loaded: Vec<LoadedWeights>,
    /// Newest known renewal of the lease on orders.
    pub lease: Option<LeaseRenewal>,
    /// The latest era of the store that the relay knows.
    pub store_era: Option<StoreEra>,
    /// Version of the relay's configuration.
    pub configuration: Option<u64>,
    /// Age of the proof that it is the newest one, in milliseconds.
    pub proof_age_ms: Option<u64>,
    /// Age of the relay's last proof that it knows all engines, in milliseconds.
    pub engines_age_ms: Option<u64>,
    /// The newest weights, as the relay knows them; empty when another report has them.
    pub weights: WeightsNews,
    /// Number of the change before the first of `changes`.
    pub changes_after: u64,
    /// Number of the last change in the report.
    pub changes_through: u64,
    /// Changes of the engines.
    pub changes: Vec<EngineChange>,
    /// The last report of the receiver that the relay has applied.
    pub included: Option<IncludedReport>,
    /// Rollout data; `None` when this report has none.
    pub rollouts: Option<RolloutNews>,
    /// Contents of KV cache stores of other regions.
    pub stores: Vec<StoreUpdate>,
    /// Engines that the nodes of the fleet have found to be lost.
    pub lost: Vec<LostEngine>,
    /// Number of requests that are refused on all nodes; `None` while the relay does not
    /// know the refusals in the store.
    pub refused_requests: Option<u32>,
}

impl RelayReport {
    /// Whether the report has enough space left for [`MAX_REPORTED_VERSIONS`].
    pub fn has_space_for_weights(&self) -> bool {
        let is_half_empty = self.loads.loads.len() <= MAX_LOADS_BESIDE_WEIGHTS;
        let is_brief = self.changes.is_empty() && self.lost.is_empty() && self.stores.is_empty();
        is_half_empty && is_brief && self.loads.members.is_empty() && self.rollouts.is_none()
    }
}

impl RelayReport {
    /// The same report with all its revisions in an era of the store.
    pub fn in_era(mut self, era: StoreEra) -> Self {
        let changes = self.changes.into_iter();
        self.changes = changes.map(|change| change.in_era(era)).collect();
        self.rollouts = self.rollouts.map(|broadcast| broadcast.in_era(era));
        self
    }
}

/// The message for a report of a relay.
pub fn relay_report_message(report: &RelayReport) -> peers::RelayReport {
    let loads = &report.loads;
    peers::RelayReport {
        sender: loads.sender.0,
        life: loads.life,
        sequence: loads.sequence,
        loads: Some(loads_message(&loads.loads)),
        placements: report.placements.iter().map(placement_message).collect(),
        loading: loads.loading.iter().map(|tag| tag.0).collect(),
        loaded: report.loaded.iter().map(loaded_message).collect(),
        lease_revision: report.lease.map_or(0, |lease| lease.revision),
        lease_token: report.lease.map_or(0, |lease| lease.token.0),
        store_era_plus_one: era_plus_one(report.store_era),
        members: loads.members.iter().map(|member| member.0).collect(),
        zones: loads.zones.iter().map(|zone| zone.0).collect(),
        configuration: report.configuration.unwrap_or(0),
        proof_age_plus_one: encode_age(report.proof_age_ms),
        engines_age_plus_one: encode_age(report.engines_age_ms),
        target_versions: target_messages(&report.weights),
        weights: Some(weights_message(&report.weights)),
        changes_after: report.changes_after,
        changes_through: report.changes_through,
        changes: report.changes.iter().map(change_message).collect(),
        included_life: report.included.map_or(0, |included| included.life),
        included_sequence: report.included.map_or(0, |included| included.sequence),
        rollouts: report.rollouts.as_ref().map(news_message),
        stores: report.stores.iter().map(store_message).collect(),
        lost: report.lost.iter().map(|lost| lost.engine.0).collect(),
        lost_nodes: report.lost.iter().map(|lost| lost.nodes).collect(),
        refused_plus_one: report.refused_requests.map_or(0, |refused| refused + 1),
    }
}

/// The part of a report for one receiver. It is appended to the common bytes: concatenated
/// messages of one kind are merged when they are read.
pub fn included_message(included: IncludedReport) -> peers::RelayReport {
    peers::RelayReport {
        included_life: included.life,
        included_sequence: included.sequence,
        ..peers::RelayReport::default()
    }
}

/// Reads the report of a relay.
pub fn read_relay_report(message: &peers::RelayReport) -> RelayReport {
    RelayReport {
        loads: RelayedReport {
            sender: PeerId(message.sender),
            life: message.life,
            sequence: message.sequence,
            loads: message.loads.as_ref().map(read_loads).unwrap_or_default(),
            loading: message.loading.iter().copied().map(EngineTag).collect(),
            members: message.members.iter().copied().map(PeerId).collect(),
            zones: message.zones.iter().copied().map(ZoneTag).collect(),
        },
        placements: message.placements.iter().map(read_placement).collect(),
        loaded: message.loaded.iter().map(read_loaded).collect(),
        lease: read_renewal(message.lease_revision, message.lease_token),
        store_era: read_era(message.store_era_plus_one),
        configuration: nonzero(message.configuration),
        proof_age_ms: read_age(message.proof_age_plus_one),
        engines_age_ms: read_age(message.engines_age_plus_one),
        weights: read_relayed_weights(message),
        changes_after: message.changes_after,
        changes_through: message.changes_through,
        changes: message.changes.iter().filter_map(read_change).collect(),
        included: read_included(message.included_life, message.included_sequence),
        rollouts: message.rollouts.as_ref().map(read_news),
        stores: message.stores.iter().map(read_store).collect(),
        lost: read_lost(&message.lost, &message.lost_nodes),
        refused_requests: message.refused_plus_one.checked_sub(1),
    }
}

fn loads_message(loads: &[(EngineTag, EngineLoad)]) -> peers::EngineLoads {
    let messages: Vec<peers::EngineLoad> = loads.iter().map(load_message).collect();
    peers::EngineLoads {
        engines: messages.iter().map(|load| load.engine).collect(),
        requests: messages.iter().map(|load| load.requests).collect(),
        waiting_tokens: messages.iter().map(|load| load.waiting_tokens).collect(),
    }
}

/// Reads loads. Of lists of unequal length, excess entries are ignored.
fn read_loads(message: &peers::EngineLoads) -> Vec<(EngineTag, EngineLoad)> {
    let numbers = message.requests.iter().zip(&message.waiting_tokens);
    let loads = message.engines.iter().zip(numbers);
    let loads = loads.map(|(engine, (requests, waiting_tokens))| {
        read_load(&peers::EngineLoad {
            engine: *engine,
            requests: *requests,
            waiting_tokens: *waiting_tokens,
        })
    });
    loads.collect()
}

/// The message for a change of an engine.
pub fn change_message(change: &EngineChange) -> peers::EngineChange {
    let record = change.record.as_ref().map(|record| peers::EngineRecord {
        service: record.service.0.clone(),
        address: record.address.to_string(),
        zone: record.zone.0.clone(),
        slots: record.slots,
        cold_ms: record.cold_ms,
        is_leaving: record.is_leaving,
        software: record.software.0.clone(),
        born_ms: record.heartbeat.born_ms,
        heartbeat_sequence: record.heartbeat.sequence,
        weights: record
            .weights
            .iter()
            .map(|(model, version)| peers::TargetVersion {
                model: model.clone(),
                version: *version,
            })
            .collect(),
    });
    let (revision, revision_era) = revision_fields(change.revision);
    peers::EngineChange {
        instance: change.instance.0.clone(),
        revision,
        revision_era,
        record,
    }
}

/// Reads a change of an engine; `None` when its address is invalid, as it may be in a later
/// version of the protocol.
pub fn read_change(message: &peers::EngineChange) -> Option<EngineChange> {
    let instance = InstanceId(message.instance.clone());
    let revision = read_revision(message.revision, message.revision_era);
    let record = match &message.record {
        None => None,
        Some(record) => Some(EngineRecord {
            instance: instance.clone(),
            revision,
            heartbeat: Heartbeat {
                born_ms: record.born_ms,
                sequence: record.heartbeat_sequence,
            },
            service: ServiceName(record.service.clone()),
            address: record.address.parse().ok()?,
            zone: ZoneName(record.zone.clone()),
            software: SoftwareVersion(record.software.clone()),
            slots: record.slots,
            cold_ms: record.cold_ms,
            is_leaving: record.is_leaving,
            weights: record
                .weights
                .iter()
                .map(|weights| (weights.model.clone(), weights.version))
                .collect(),
        }),
    };
    Some(EngineChange {
        instance,
        revision,
        record,
    })
}

/// Only the newest version of each model: the versions of a model are in ascending order.
fn target_messages(weights: &WeightsNews) -> Vec<peers::TargetVersion> {
    let newest: BTreeMap<&str, u64> = weights
        .versions
        .iter()
        .map(|reported| (reported.model.as_str(), reported.version))
        .collect();
    let targets = newest
        .into_iter()
        .map(|(model, version)| peers::TargetVersion {
            model: model.to_owned(),
            version,
        });
    targets.collect()
}

/// The newest weights, as a relay knows them. A relay of an earlier release reports
/// versions without a proof.
fn read_relayed_weights(message: &peers::RelayReport) -> WeightsNews {
    if let Some(weights) = &message.weights {
        return read_weights(weights);
    }
    let versions = message
        .target_versions
        .iter()
        .map(|target| ReportedVersion {
            model: target.model.clone(),
            version: target.version,
            named_age_ms: None,
            proof_age_ms: None,
        });
    WeightsNews {
        versions: versions.collect(),
        ..WeightsNews::default()
    }
}
