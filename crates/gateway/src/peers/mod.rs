//! Reports between nodes: what each has at the engines and which engines keep
//! which prompts.
//!
//! A report is one datagram. It is advice: nothing waits for one, and a node that
//! hears none decides from its own traffic, as a single node does.
//!
//! | module | concern |
//! | --- | --- |
//! | [`address_book`] | whom reports are sent to |
//! | [`discovery`] | how nodes find each other: by records in the object store |
//! | [`messages`] | reports as datagrams |

pub mod address_book;
pub mod discovery;
pub mod messages;

use crate::state::Gateway;
use crate::time::sleep;
use messages::{decode, encode, PeerReport, MAX_PLACEMENTS};
use ploverlift_balancing::peer_loads::{PeerId, ReportBuilder};
use smol::net::UdpSocket;
use std::sync::Arc;
use std::time::{SystemTime, UNIX_EPOCH};

/// Shortest time between two reports, in milliseconds.
const REPORT_PERIOD_MS: u64 = 50;
/// Datagrams that a node sends in that time. With more peers it reports less
/// often, so what reports cost stays the same however large the fleet.
const DATAGRAMS_PER_PERIOD: usize = 8;
/// Largest datagram that is read, in bytes.
const MAX_DATAGRAM_BYTES: usize = 2_048;
/// Pause after the socket failed, in milliseconds.
const RETRY_MS: u64 = 100;

/// Reports to the other nodes until the task is dropped.
pub async fn send_reports(gateway: Arc<Gateway>, socket: Arc<UdpSocket>) {
    let sender = PeerId::of(&gateway.settings().node.name);
    let mut builder = ReportBuilder::new(sender, unix_ms());
    let mut reported_lease = None;
    loop {
        let receivers = {
            let now = gateway.clock.now();
            gateway.address_book().receivers(now)
        };
        if let Some(report) = next_report(
            &gateway,
            &mut builder,
            &mut reported_lease,
            !receivers.is_empty(),
        ) {
            let datagram = encode(&report);
            for receiver in &receivers {
                // A report that cannot be sent is as good as a lost one.
                let _ = socket.send_to(&datagram, receiver).await;
            }
        }
        let periods = receivers.len().div_ceil(DATAGRAMS_PER_PERIOD).max(1);
        sleep(REPORT_PERIOD_MS * periods as u64).await;
    }
}

fn next_report(
    gateway: &Gateway,
    builder: &mut ReportBuilder,
    reported_lease: &mut Option<u64>,
    has_receivers: bool,
) -> Option<PeerReport> {
    let now = gateway.clock.now();
    let mut beliefs = gateway.beliefs();
    beliefs.peer_loads.expire(now);
    gateway
        .metrics
        .peers
        .set(beliefs.peer_loads.peer_count() as i64);
    if !has_receivers {
        return None;
    }
    let placements = beliefs.holders.take_unreported(MAX_PLACEMENTS);
    let lease_revision = beliefs.held_lease;
    let has_other_news = !placements.is_empty() || lease_revision != *reported_lease;
    let engines = &beliefs.engines;
    let loads = builder.next(engines, &beliefs.loading, has_other_news, now)?;
    *reported_lease = lease_revision;
    Some(PeerReport {
        loads,
        placements,
        lease_revision,
    })
}

/// Takes in reports of other nodes until the task is dropped.
pub async fn receive_reports(gateway: Arc<Gateway>, socket: Arc<UdpSocket>) {
    let own = PeerId::of(&gateway.settings().node.name);
    let mut datagram = vec![0; MAX_DATAGRAM_BYTES];
    loop {
        let Ok((length, from)) = socket.recv_from(&mut datagram).await else {
            sleep(RETRY_MS).await;
            continue;
        };
        let Ok(report) = decode(&datagram[..length]) else {
            slog::debug!(gateway.log, "datagram is no report"; "from" => from.to_string());
            continue;
        };
        if report.loads.sender == own {
            continue;
        }
        let now = gateway.clock.now();
        gateway.address_book().heard(from, now);
        let mut beliefs = gateway.beliefs();
        beliefs.peer_loads.apply(&report.loads, now);
        for placement in report.placements {
            beliefs.holders.note(placement, now);
        }
        if let Some(revision) = report.lease_revision {
            beliefs.hear_of_lease(revision, now);
        }
    }
}

fn unix_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |duration| duration.as_millis() as u64)
}
