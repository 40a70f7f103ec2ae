//! Sending of reports. In a small fleet: often to the nodes of the zone, which send
//! requests to the same engines, and less often to nodes of other zones, where traffic is
//! expensive. In a large fleet: only to the relays of the zone.

use super::address_book::Reach;
use super::limits::{advance_accounts, UseStream};
use super::messages::{encode, placement_capacity, PeerMessage, PeerReport, MAX_PLACEMENTS};
use super::roles::{role, Role};
use super::rollout_messages::RolloutReport;
use crate::leases::{LeaseName, LeaseRenewal};
use crate::rollouts::exchange::Reporter;
use crate::state::Gateway;
use crate::time::{sleep, within};
use ploverlift_balancing::peer_loads::{
    present_loads, LoadedWeights, PeerId, ReportBuilder, ZoneTag,
};
use ploverlift_policy::ids::Millis;
use smol::net::UdpSocket;
use std::net::SocketAddr;
use std::sync::atomic::Ordering;
use std::sync::Arc;

/// Minimum interval between two reports, in milliseconds.
const REPORT_PERIOD_MS: u64 = 40;
/// Datagrams that a node sends within its zone in [`REPORT_PERIOD_MS`]. With more peers it
/// reports less often, so that the cost of reports does not depend on the size of the
/// fleet.
const OWN_ZONE_DATAGRAMS_PER_PERIOD: usize = 8;
/// As [`OWN_ZONE_DATAGRAMS_PER_PERIOD`], for nodes of other zones.
const OTHER_ZONES_DATAGRAMS_PER_PERIOD: usize = 4;
/// Minimum interval between two reports to relays, in milliseconds: a little less than the
/// period of a relay.
const MIN_RELAY_INTERVAL_MS: u64 = 80;
/// Maximum interval between two reports to relays, in milliseconds: the age of the data in
/// the report of a relay counts from a report of this node that the relay includes.
const MAX_RELAY_INTERVAL_MS: u64 = 300;
/// Interval at which this node checks whether it reports to other zones itself, in
/// milliseconds.
const ROLE_POLL_MS: u64 = 500;

/// A stream of reports to the nodes of the zone, or of other zones.
pub struct ReportStream {
    gateway: Arc<Gateway>,
    socket: Arc<UdpSocket>,
    reach: Reach,
    builder: ReportBuilder,
    reported_lease: Option<LeaseRenewal>,
    reported_loaded: Vec<LoadedWeights>,
    placements_from: u64,
    uses: UseStream,
    sent_at: Option<Millis>,
}

impl ReportStream {
    /// A stream that has not reported yet.
    pub fn new(gateway: Arc<Gateway>, socket: Arc<UdpSocket>, reach: Reach) -> Self {
        let sender = PeerId::of(&gateway.settings().node.name);
        let zone = ZoneTag::of(&gateway.zone);
        Self {
            builder: ReportBuilder::new(sender, zone, gateway.life),
            gateway,
            socket,
            reach,
            reported_lease: None,
            reported_loaded: Vec::new(),
            placements_from: 0,
            uses: UseStream::default(),
            sent_at: None,
        }
    }

    /// Sends reports until the task is dropped.
    pub async fn run(mut self) {
        loop {
            let due = self.gateway.report_due.listen();
            let role = role(&self.gateway, self.gateway.clock.now());
            if matches!(role, Role::Relay | Role::Follower) {
                match self.reach {
                    Reach::OwnZone => {
                        self.report_to_relays().await;
                        within(MIN_RELAY_INTERVAL_MS, due).await;
                    }
                    // Relays report to other zones.
                    Reach::OtherZones => sleep(ROLE_POLL_MS).await,
                }
                continue;
            }
            let receivers = {
                let now = self.gateway.clock.now();
                self.gateway.address_book().receivers(self.reach, now)
            };
            if !receivers.is_empty() {
                self.send(&receivers, false).await;
            }
            if self.reach == Reach::OwnZone {
                advance_accounts(&self.gateway, self.gateway.clock.now());
            }
            let per_period = match self.reach {
                Reach::OwnZone => OWN_ZONE_DATAGRAMS_PER_PERIOD,
                Reach::OtherZones => OTHER_ZONES_DATAGRAMS_PER_PERIOD,
            };
            let periods = receivers.len().div_ceil(per_period).max(1);
            within(REPORT_PERIOD_MS * periods as u64, due).await;
        }
    }

    async fn report_to_relays(&mut self) {
        let now = self.gateway.clock.now();
        let own = PeerId::of(&self.gateway.settings().node.name);
        let zone = ZoneTag::of(&self.gateway.zone);
        let receivers: Vec<SocketAddr> = {
            let mut book = self.gateway.address_book();
            let relays = book.relays_of(zone, now);
            let others = relays.iter().filter(|relay| relay.id != own);
            let mut receivers: Vec<SocketAddr> = others.map(|relay| relay.address).collect();
            receivers.extend(book.relays_to_probe(zone, now));
            for receiver in &receivers {
                book.note_awaiting_reply(*receiver, now);
            }
            receivers
        };
        if !receivers.is_empty() {
            self.send(&receivers, true).await;
        }
    }

    async fn send(&mut self, receivers: &[SocketAddr], are_relays: bool) {
        let uses = &mut self.uses;
        uses.send_own(&self.gateway, &self.socket, receivers).await;
        let Some(report) = self.next_report(are_relays) else {
            return;
        };
        let datagram = encode(&PeerMessage::Report(report));
        for receiver in receivers {
            // A report that cannot be sent is treated like a lost one.
            let _ = self.socket.send_to(&datagram, receiver).await;
        }
    }

    fn next_report(&mut self, for_relays: bool) -> Option<PeerReport> {
        let now = self.gateway.clock.now();
        let is_interval_over = |sent_at| now.since(sent_at) >= MAX_RELAY_INTERVAL_MS;
        let is_due = for_relays && self.sent_at.is_none_or(is_interval_over);
        let sequence = self.gateway.report_sequence.fetch_add(1, Ordering::Relaxed);
        let mut beliefs = self.gateway.beliefs();
        beliefs.peer_loads.expire(now);
        let peers = beliefs.peer_loads.peer_count();
        self.gateway.metrics.peers.set(peers as i64);
        let lost = beliefs.losses.own(beliefs.engines.len());
        let capacity = placement_capacity(MAX_PLACEMENTS, &lost);
        let pending_changes = beliefs
            .holders
            .changes_after(self.placements_from, capacity);
        let (placements, placements_from) = pending_changes;
        let lease = beliefs.leases.of(LeaseName::Weights).held;
        let loaded = beliefs.recently_loaded(now);
        let is_rollout_open = beliefs.rollouts.is_any_open();
        let has_other_changes = is_due
            || is_rollout_open
            || !placements.is_empty()
            || lease != self.reported_lease
            || loaded != self.reported_loaded;
        let loads = self.builder.next(
            sequence,
            &beliefs.engines,
            &beliefs.loading,
            has_other_changes,
            now,
        )?;
        if for_relays {
            let own = present_loads(&beliefs.engines);
            let relayed = &mut beliefs.peer_loads.relayed;
            relayed.note_own_report(sequence, own, now);
        }
        let own = Reporter {
            node: loads.sender,
            life: loads.life,
        };
        self.sent_at = Some(now);
        self.placements_from = placements_from;
        self.reported_lease = lease;
        self.reported_loaded.clone_from(&loaded);
        Some(PeerReport {
            loads,
            placements,
            loaded,
            lease,
            store_era: self.gateway.store_era.get(),
            wants_relay_reports: for_relays,
            rollouts: RolloutReport {
                lease: beliefs.leases.of(LeaseName::Rollouts).held,
                ..beliefs.rollouts.own_report(own, sequence)
            },
            lost,
        })
    }
}
