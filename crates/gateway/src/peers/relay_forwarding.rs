//! State of a relay: which nodes report to it, and which placements it has yet to forward.

use super::message_fields::IncludedReport;
use super::store_contents::StoreChanges;
use ploverlift_balancing::peer_loads::{EngineTag, PeerId};
use ploverlift_balancing::prefix_holders::{Placement, PlacementChange};
use ploverlift_policy::ids::Millis;
use std::collections::{HashMap, VecDeque};
use std::net::SocketAddr;

/// Time after which a silent node no longer gets reports, in milliseconds: as long as its
/// loads count.
const REPORTER_SILENCE_MS: u64 = 1_800;
/// Time for which a relay of another zone gets reports after its last report, in
/// milliseconds.
const ZONE_REPORTER_SILENCE_MS: u64 = 1_000;
/// Engines reported to other zones for each cached part: one to fetch it from, and two more
/// in case the first evicts it.
pub(super) const MAX_REPORTED_HOLDERS: usize = 3;
/// Maximum number of queued placements; the oldest are discarded.
pub(super) const MAX_WAITING_PLACEMENTS: usize = 512;

/// A node that reports to this one.
#[derive(Clone, Copy, Debug)]
struct Reporter {
    id: PeerId,
    included: IncludedReport,
    heard_at: Millis,
}

/// The nodes that report to this relay, and what it forwards to them.
#[derive(Clone, Debug, Default)]
pub struct RelayForwarding {
    reporters: HashMap<SocketAddr, Reporter>,
    zone_reporters: HashMap<SocketAddr, Millis>,
    for_zone: VecDeque<Placement>,
    for_other_zones: VecDeque<Placement>,
    /// Changes of KV cache stores of other regions, to be reported to the zone.
    pub store_changes: StoreChanges,
}

impl RelayForwarding {
    /// Whether any node uses this one as a relay.
    pub fn has_reporters(&self, now: Millis) -> bool {
        let mut reporters = self.reporters.values();
        reporters.any(|reporter| now.since(reporter.heard_at) < REPORTER_SILENCE_MS)
    }

    /// Nodes to which this relay reports, with the last report received from each.
    pub(super) fn receivers(&self) -> Vec<(SocketAddr, IncludedReport)> {
        let reporters = self.reporters.iter();
        reporters
            .map(|(address, reporter)| (*address, reporter.included))
            .collect()
    }

    /// Nodes that receive the levels of tenant limits.
    pub(super) fn level_receivers(&self) -> Vec<(SocketAddr, PeerId)> {
        let reporters = self.reporters.iter();
        reporters
            .map(|(address, reporter)| (*address, reporter.id))
            .collect()
    }

    /// Relays of other zones that report to this one.
    pub(super) fn zone_reporters(&self) -> impl Iterator<Item = SocketAddr> + '_ {
        self.zone_reporters.keys().copied()
    }

    /// Takes at most `count` placements from the queue for the nodes of the zone.
    pub(super) fn next_for_zone(&mut self, count: usize) -> Vec<Placement> {
        take_up_to(&mut self.for_zone, count)
    }

    /// Takes at most `count` placements from the queue for other zones.
    pub(super) fn next_for_other_zones(&mut self, count: usize) -> Vec<Placement> {
        take_up_to(&mut self.for_other_zones, count)
    }

    /// Records a node that uses this one as a relay, and its last applied report.
    pub(super) fn note_reporter(
        &mut self,
        from: SocketAddr,
        id: PeerId,
        included: IncludedReport,
        now: Millis,
    ) {
        let reporter = Reporter {
            id,
            included,
            heard_at: now,
        };
        self.reporters.insert(from, reporter);
    }

    /// Records a relay of another zone that reports to this node.
    pub(super) fn note_zone_reporter(&mut self, from: SocketAddr, now: Millis) {
        self.zone_reporters.insert(from, now);
    }

    /// Removes nodes that no longer report.
    pub(super) fn expire(&mut self, now: Millis) {
        self.reporters
            .retain(|_, reporter| now.since(reporter.heard_at) < REPORTER_SILENCE_MS);
        self.zone_reporters
            .retain(|_, heard_at| now.since(*heard_at) < ZONE_REPORTER_SILENCE_MS);
    }

    /// Queues a placement for the nodes of the zone and, where needed, for other zones:
    /// those need only a few engines with the part, not all of them. `others` are engines
    /// that still cache a part that this engine evicted.
    pub(super) fn forward_placement(
        &mut self,
        placement: Placement,
        change: PlacementChange,
        others: &[EngineTag],
        is_from_zone: bool,
    ) {
        let is_relevant_to_other_zones = match change {
            PlacementChange::Known => return,
            PlacementChange::Kept { holders } => holders <= MAX_REPORTED_HOLDERS,
            PlacementChange::Dropped => true,
        };
        push_bounded(&mut self.for_zone, placement);
        if !is_from_zone || !is_relevant_to_other_zones {
            return;
        }
        push_bounded(&mut self.for_other_zones, placement);
        for other in others {
            let remaining = Placement {
                part: placement.part,
                engine: *other,
                is_kept: true,
            };
            push_bounded(&mut self.for_other_zones, remaining);
        }
    }
}

fn push_bounded(queue: &mut VecDeque<Placement>, placement: Placement) {
    if queue.len() >= MAX_WAITING_PLACEMENTS {
        queue.pop_front();
    }
    queue.push_back(placement);
}

fn take_up_to(queue: &mut VecDeque<Placement>, count: usize) -> Vec<Placement> {
    let count = count.min(queue.len());
    queue.drain(..count).collect()
}
