//! The task of a relay. A relay collects the reports of the nodes of its zone and sends
//! them the sums of the whole fleet, what it reads from the store, and where prompts are
//! cached. Relays of different zones exchange the sums of their zones.
//!
//! The number of reports that a node sends and receives does not depend on the size of the
//! fleet. The cost of a relay grows with the size of its zone and with the number of zones.

use super::address_book::PeerAddress;
use super::limits::{send_levels, UseStream};
use super::message_fields::IncludedReport;
use super::messages::{encode, encode_body, PeerMessage};
use super::relay_contents::RelayContents;
use super::relay_forwarding::MAX_WAITING_PLACEMENTS;
use super::relay_messages::{included_message, relay_report_message};
use super::roles::{role, Role};
use crate::state::Gateway;
use crate::time::{sleep, within};
use ploverlift_balancing::prefix_holders::PlacementChange;
use ploverlift_policy::ids::Millis;
use ploverlift_wire::peers::peer_message::Body;
use smol::net::UdpSocket;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;

/// Interval between two reports to the nodes of the zone, in milliseconds.
const RELAY_PERIOD_MS: u64 = 100;
/// Interval at which a node that does not relay checks its role, in milliseconds: relays
/// have to be in place before they are needed.
const ROLE_POLL_MS: u64 = 250;
/// Minimum interval between two reports, in milliseconds. An urgent change, such as an
/// engine that is about to load weights, is sent at once; changes within this interval are
/// sent together.
const MIN_PERIOD_MS: u64 = 15;

/// The task of a node that relays.
pub struct Relay {
    gateway: Arc<Gateway>,
    socket: Arc<UdpSocket>,
    contents: RelayContents,
    own_placements_from: u64,
    zone_uses: UseStream,
    role: Role,
}

impl Relay {
    /// A relay that has not reported yet.
    pub fn new(gateway: Arc<Gateway>, socket: Arc<UdpSocket>) -> Self {
        let contents = RelayContents::new(Arc::clone(&gateway));
        Self {
            gateway,
            socket,
            contents,
            own_placements_from: 0,
            zone_uses: UseStream::default(),
            role: Role::Undecided,
        }
    }

    /// Sends reports while this node is a relay, until the task is dropped.
    pub async fn run(mut self) {
        let gateway = Arc::clone(&self.gateway);
        let mut urgent_report = gateway.report_due.listen();
        loop {
            sleep(MIN_PERIOD_MS).await;
            within(RELAY_PERIOD_MS - MIN_PERIOD_MS, urgent_report).await;
            // Changes that become urgent while reports are sent go out with the next ones.
            urgent_report = gateway.report_due.listen();
            let now = gateway.clock.now();
            self.update_role(now);
            if self.role != Role::Relay {
                self.contents.reset_reported();
                sleep(ROLE_POLL_MS).await;
                continue;
            }
            self.contents.begin_period(now);
            self.queue_own_placements();
            self.report_to_zone().await;
            self.report_levels(now).await;
            self.report_to_other_zones(now).await;
        }
    }

    fn update_role(&mut self, now: Millis) {
        let present = role(&self.gateway, now);
        let before = std::mem::replace(&mut self.role, present);
        if before != present {
            let relays = self
                .gateway
                .address_book()
                .relays_of(self.contents.zone(), now);
            let relays: Vec<String> = relays
                .iter()
                .map(|relay| relay.address.to_string())
                .collect();
            slog::info!(self.gateway.log, "role";
                "role" => present.name(), "before" => before.name(),
                "relays" => relays.join(","));
        }
    }

    /// Queues placements that result from the requests of this node itself.
    fn queue_own_placements(&mut self) {
        let mut beliefs = self.gateway.beliefs();
        let (placements, next) = beliefs
            .holders
            .changes_after(self.own_placements_from, MAX_WAITING_PLACEMENTS);
        self.own_placements_from = next;
        for placement in placements {
            let change = match placement.is_kept {
                true => PlacementChange::Kept { holders: 1 },
                false => PlacementChange::Dropped,
            };
            let forwarding = &mut beliefs.relaying;
            forwarding.forward_placement(placement, change, &[], true);
        }
    }

    /// Sends the reports to the nodes of the zone. A receiver takes the data to be as old
    /// as its own included report plus the age in the report. The ages are therefore
    /// computed after the included reports were looked up: a report that arrives later, for
    /// example while this process is suspended, is included only in the next reports.
    async fn report_to_zone(&mut self) {
        let receivers: Vec<(SocketAddr, IncludedReport)> = {
            let beliefs = self.gateway.beliefs();
            beliefs.relaying.receivers()
        };
        let now = self.gateway.clock.now();
        let reports = self.contents.next_reports(now);
        for report in reports {
            let common = encode_body(Body::RelayReport(relay_report_message(&report)));
            for (receiver, included) in &receivers {
                let mut datagram = common.clone();
                let included = Body::RelayReport(included_message(*included));
                datagram.extend_from_slice(&encode_body(included));
                // A lost report is repaired by the next ones.
                let _ = self.socket.send_to(&datagram, receiver).await;
            }
        }
    }

    async fn report_levels(&self, now: Millis) {
        let receivers = self.gateway.beliefs().relaying.level_receivers();
        let period = self.contents.period();
        send_levels(&self.gateway, &self.socket, &receivers, period, now).await;
    }

    async fn report_to_other_zones(&mut self, now: Millis) {
        let receivers = self.relays_of_other_zones(now);
        if receivers.is_empty() {
            return;
        }
        for receiver in &receivers {
            self.gateway
                .address_book()
                .note_awaiting_reply(*receiver, now);
        }
        for report in self.contents.zone_reports(now) {
            let datagram = encode(&PeerMessage::ZoneReport(report));
            for receiver in &receivers {
                // Loads are sent again; a lost placement causes a worse choice of engine.
                let _ = self.socket.send_to(&datagram, receiver).await;
            }
        }
        let receivers: Vec<SocketAddr> = receivers.into_iter().collect();
        let zone_uses = &mut self.zone_uses;
        zone_uses
            .send_zone(&self.gateway, &self.socket, &receivers)
            .await;
    }

    fn relays_of_other_zones(&self, now: Millis) -> BTreeSet<SocketAddr> {
        let book = self.gateway.address_book();
        let mut receivers = BTreeSet::new();
        for zone in book.zones() {
            if zone != self.contents.zone() {
                let relays = book.relays_of(zone, now);
                receivers.extend(relays.iter().map(|relay: &PeerAddress| relay.address));
                receivers.extend(book.relays_to_probe(zone, now));
            }
        }
        drop(book);
        let beliefs = self.gateway.beliefs();
        receivers.extend(beliefs.relaying.zone_reporters());
        receivers
    }
}
