//! Messages between nodes: what each has at the engines, which engines keep which
//! prompts, and what a few nodes have read from the object store for the others.
//!
//! A report is one datagram. It is advice: nothing waits for one, and a node that
//! hears none decides from its own traffic, as a single node does.
//!
//! | module | concern |
//! | --- | --- |
//! | [`address_book`] | whom reports are sent to |
//! | [`reports`] | sending them: often within the zone, less often beyond |
//! | [`discovery`] | how nodes find each other: by records in the object store |
//! | [`readers`] | which nodes read the store for others |
//! | [`freshness`] | proofs that the configuration is the newest, from readers |
//! | [`messages`] | messages as datagrams |

pub mod address_book;
pub mod discovery;
pub mod freshness;
pub mod messages;
pub mod readers;
pub mod reports;

use crate::state::Gateway;
use crate::store::take_engine;
use crate::time::sleep;
use messages::{decode, encode, PeerMessage, PeerReport};
use ploverlift_balancing::peer_loads::PeerId;
use readers::relies_on_readers;
use smol::net::UdpSocket;
use std::net::SocketAddr;
use std::sync::Arc;

/// Largest datagram that is read, in bytes.
const MAX_DATAGRAM_BYTES: usize = 2_048;
/// Largest change of an engine that is passed on, in bytes: it goes unfragmented.
const MAX_CHANGE_BYTES: usize = 1_200;
/// Pause after the socket failed, in milliseconds.
const RETRY_MS: u64 = 100;

/// Passes changes of the engines on to the other nodes of the zone, while this
/// node reads the store for them, until the task is dropped.
pub async fn pass_on_changes(gateway: Arc<Gateway>, socket: Arc<UdpSocket>) {
    let changes = gateway.catalogue_changes.1.clone();
    while let Ok(change) = changes.recv().await {
        if relies_on_readers(&gateway) {
            continue;
        }
        let receivers = {
            let now = gateway.clock.now();
            gateway.address_book().live_near(now)
        };
        let datagram = encode(&PeerMessage::CatalogueChange(change));
        if datagram.len() > MAX_CHANGE_BYTES {
            continue;
        }
        for receiver in receivers {
            // Who misses it reads it from the store later.
            let _ = socket.send_to(&datagram, receiver).await;
        }
    }
}

/// Takes in messages of other nodes until the task is dropped.
pub async fn receive_messages(gateway: Arc<Gateway>, socket: Arc<UdpSocket>) {
    let mut datagram = vec![0; MAX_DATAGRAM_BYTES];
    loop {
        let Ok((length, from)) = socket.recv_from(&mut datagram).await else {
            sleep(RETRY_MS).await;
            continue;
        };
        let message = match decode(&datagram[..length]) {
            Ok(message) => message,
            Err(error) => {
                slog::debug!(gateway.log, "datagram is no message";
                    "from" => from.to_string(), "error" => error.to_string());
                continue;
            }
        };
        match message {
            Some(PeerMessage::Report(report)) => take_report(&gateway, &report, from),
            Some(PeerMessage::FreshnessQuestion { asked_at }) => {
                if let Some(answer) = freshness::answer(&gateway, asked_at) {
                    let answer = encode(&PeerMessage::FreshnessAnswer(answer));
                    let _ = socket.send_to(&answer, from).await;
                }
            }
            Some(PeerMessage::FreshnessAnswer(answer)) => {
                freshness::take_answer(&gateway, &answer);
            }
            Some(PeerMessage::CatalogueChange(change)) => take_engine(&gateway, &change),
            None => {}
        }
    }
}

fn take_report(gateway: &Gateway, report: &PeerReport, from: SocketAddr) {
    let sender = report.loads.sender;
    if sender == PeerId::of(&gateway.settings().node.name) {
        return;
    }
    let now = gateway.clock.now();
    gateway.address_book().heard(from, sender, now);
    let mut beliefs = gateway.beliefs();
    beliefs.peer_loads.apply(&report.loads, now);
    for placement in &report.placements {
        beliefs.holders.note(*placement, now);
    }
    for loaded in &report.loaded {
        beliefs.engines.note_loaded_weights(loaded);
    }
    if let Some(revision) = report.lease_revision {
        beliefs.hear_of_lease(revision, now);
    }
}
