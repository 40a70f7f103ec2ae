//! What a relay owes to those who report to it: whom it answers, and which placements
//! it has yet to pass on.

use super::message_fields::IncludedReport;
use super::store_contents::StoreChanges;
use ploverlift_balancing::peer_loads::{EngineTag, PeerId};
use ploverlift_balancing::prefix_holders::{Placement, PlacementChange};
use ploverlift_policy::ids::Millis;
use std::collections::{HashMap, VecDeque};
use std::net::SocketAddr;

/// Time after which a node that reports no longer is not reported to, in
/// milliseconds: as long as its loads count.
const REPORTER_SILENCE_MS: u64 = 1_800;
/// Time for which another zone's relay that reported here is reported to, in
/// milliseconds.
const ZONE_REPORTER_SILENCE_MS: u64 = 1_000;
/// Engines that keep a part of which other zones are told: one to fetch it from, and
/// two more in case that one drops it.
pub(super) const MAX_REPORTED_HOLDERS: usize = 3;
/// Placements that wait to be passed on; the oldest give way.
pub(super) const MAX_WAITING_PLACEMENTS: usize = 512;

/// A node that reports to this one.
#[derive(Clone, Copy, Debug)]
struct Reporter {
    id: PeerId,
    included: IncludedReport,
    heard_at: Millis,
}

/// What this node owes to those who take it for a relay.
#[derive(Clone, Debug, Default)]
pub struct RelayForwarding {
    reporters: HashMap<SocketAddr, Reporter>,
    zone_reporters: HashMap<SocketAddr, Millis>,
    for_zone: VecDeque<Placement>,
    for_other_zones: VecDeque<Placement>,
    /// Changes of KV cache stores of other regions, to be told to the zone.
    pub store_changes: StoreChanges,
}

impl RelayForwarding {
    /// Whether any node takes this one for a relay.
    pub fn has_reporters(&self, now: Millis) -> bool {
        let mut reporters = self.reporters.values();
        reporters.any(|reporter| now.since(reporter.heard_at) < REPORTER_SILENCE_MS)
    }

    /// Nodes that this one reports to, with the last report of each that it has.
    pub(super) fn receivers(&self) -> Vec<(SocketAddr, IncludedReport)> {
        let reporters = self.reporters.iter();
        reporters
            .map(|(address, reporter)| (*address, reporter.included))
            .collect()
    }

    /// Nodes that this one tells what is left of limits.
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

    /// Placements to tell the nodes of the zone next, at most so many.
    pub(super) fn next_for_zone(&mut self, count: usize) -> Vec<Placement> {
        take_up_to(&mut self.for_zone, count)
    }

    /// Placements to tell other zones next, at most so many.
    pub(super) fn next_for_other_zones(&mut self, count: usize) -> Vec<Placement> {
        take_up_to(&mut self.for_other_zones, count)
    }

    /// A node takes this one for a relay; its report is taken in.
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

    /// Another zone's relay reports here.
    pub(super) fn note_zone_reporter(&mut self, from: SocketAddr, now: Millis) {
        self.zone_reporters.insert(from, now);
    }

    /// Forgets those who report no longer.
    pub(super) fn expire(&mut self, now: Millis) {
        self.reporters
            .retain(|_, reporter| now.since(reporter.heard_at) < REPORTER_SILENCE_MS);
        self.zone_reporters
            .retain(|_, heard_at| now.since(*heard_at) < ZONE_REPORTER_SILENCE_MS);
    }

    /// Passes a placement on to the nodes of the zone, and to other zones what they
    /// need: a few engines that have the part, not all of them. `others` are engines
    /// that still have what this one dropped.
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
