//! Sending reports: often to the nodes of the zone, which send to the same
//! engines, and less often to those of other zones, where bytes are dear.

use super::address_book::Reach;
use super::messages::{encode, PeerMessage, PeerReport, MAX_PLACEMENTS};
use crate::state::Gateway;
use crate::time::within;
use ploverlift_balancing::peer_loads::{LoadedWeights, PeerId, ReportBuilder, ZoneTag};
use smol::net::UdpSocket;
use std::net::SocketAddr;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::{SystemTime, UNIX_EPOCH};

/// Shortest time between two reports, in milliseconds.
const REPORT_PERIOD_MS: u64 = 40;
/// Datagrams that a node sends within its zone in that time. With more peers it
/// reports less often, so what reports cost stays the same however large the
/// fleet.
const NEAR_PER_PERIOD: usize = 8;
/// The same for nodes of other zones.
const FAR_PER_PERIOD: usize = 4;

/// Reports to the nodes of the zone, or of other zones.
pub struct ReportStream {
    gateway: Arc<Gateway>,
    socket: Arc<UdpSocket>,
    reach: Reach,
    builder: ReportBuilder,
    reported_lease: Option<u64>,
    reported_loaded: Vec<LoadedWeights>,
    placements_from: u64,
}

impl ReportStream {
    /// A stream that has reported nothing yet.
    pub fn new(gateway: Arc<Gateway>, socket: Arc<UdpSocket>, reach: Reach) -> Self {
        let sender = PeerId::of(&gateway.settings().node.name);
        let zone = ZoneTag::of(&gateway.zone);
        Self {
            builder: ReportBuilder::new(sender, zone, unix_ms()),
            gateway,
            socket,
            reach,
            reported_lease: None,
            reported_loaded: Vec::new(),
            placements_from: 0,
        }
    }

    /// Reports until the task is dropped.
    pub async fn run(mut self) {
        loop {
            let due = self.gateway.report_due.listen();
            let receivers = {
                let now = self.gateway.clock.now();
                self.gateway.address_book().receivers(self.reach, now)
            };
            if !receivers.is_empty() {
                self.send(&receivers).await;
            }
            let per_period = match self.reach {
                Reach::Near => NEAR_PER_PERIOD,
                Reach::Far => FAR_PER_PERIOD,
            };
            let periods = receivers.len().div_ceil(per_period).max(1);
            within(REPORT_PERIOD_MS * periods as u64, due).await;
        }
    }

    async fn send(&mut self, receivers: &[SocketAddr]) {
        let Some(report) = self.next_report() else {
            return;
        };
        let datagram = encode(&PeerMessage::Report(report));
        for receiver in receivers {
            // A report that cannot be sent is as good as a lost one.
            let _ = self.socket.send_to(&datagram, receiver).await;
        }
    }

    fn next_report(&mut self) -> Option<PeerReport> {
        let now = self.gateway.clock.now();
        let sequence = self.gateway.report_sequence.fetch_add(1, Ordering::Relaxed);
        let mut beliefs = self.gateway.beliefs();
        beliefs.peer_loads.expire(now);
        let peers = beliefs.peer_loads.peer_count();
        self.gateway.metrics.peers.set(peers as i64);
        let news = beliefs
            .holders
            .news_after(self.placements_from, MAX_PLACEMENTS);
        let (placements, placements_from) = news;
        let lease_revision = beliefs.held_lease;
        let loaded = beliefs.loaded_lately(now);
        let has_other_news = !placements.is_empty()
            || lease_revision != self.reported_lease
            || loaded != self.reported_loaded;
        let loads = self.builder.next(
            sequence,
            &beliefs.engines,
            &beliefs.loading,
            has_other_news,
            now,
        )?;
        self.placements_from = placements_from;
        self.reported_lease = lease_revision;
        self.reported_loaded.clone_from(&loaded);
        Some(PeerReport {
            loads,
            placements,
            loaded,
            lease_revision,
        })
    }
}

fn unix_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |duration| duration.as_millis() as u64)
}
