//! Changes of the engines that need several reports of a relay.

use crate::reports::address;
use crate::support::configuration;
use crate::support::engine::{Behaviour, StandInEngine};
use crate::support::fleet::{empty_report, list_silent_nodes, role_of, start_peer, wait_until};
use crate::support::store::StandInStore;
use ploverlift_balancing::peer_loads::ZoneTag;
use ploverlift_gateway::peers::messages::{decode, encode, PeerMessage};
use ploverlift_gateway::peers::relay_messages::{RelayReport, MAX_RELAYED_CHANGES};
use ploverlift_gateway::peers::roles::Role;
use ploverlift_policy::ids::ZoneName;
use smol::net::UdpSocket;
use std::net::SocketAddr;

/// Engines that are added at once: their changes need four reports.
const ENGINES: usize = 4 * MAX_RELAYED_CHANGES;

/// The next report of a relay.
async fn next_report(socket: &UdpSocket) -> RelayReport {
    let mut datagram = [0; 2_048];
    loop {
        let (length, _) = socket.recv_from(&mut datagram).await.expect("a report");
        let message = decode(&datagram[..length]).expect("a message");
        if let Some(PeerMessage::RelayReport(report)) = message {
            return *report;
        }
    }
}

/// A node that has applied only a part of the changes does not know all engines: only the
/// report with the last of them proves that its receiver does.
#[test]
fn a_report_with_a_part_of_the_changes_proves_no_freshness() {
    smol::block_on(async {
        let store = StandInStore::start().await;
        store.put("Configuration", "main", configuration(1));
        list_silent_nodes(&store);
        let node = start_peer(&store, "small", 0.1);
        wait_until(&node, |node| role_of(node) == Role::Relay).await;
        wait_until(&node, |node| node.gateway.beliefs().has_listed_engines).await;
        let socket = UdpSocket::bind(address(0)).await.expect("bind");
        let mut report = empty_report();
        report.loads.zone = ZoneTag::of(&ZoneName::from("z"));
        let record = store.content("Nodes", "small").expect("its record");
        let relay: SocketAddr = record["address"]
            .as_str()
            .and_then(|text| text.parse().ok())
            .expect("an address");
        let report = encode(&PeerMessage::Report(report));
        socket.send_to(&report, relay).await.expect("sent");
        next_report(&socket).await;
        let llm = StandInEngine::start("llm-1", "llm", Behaviour::Answer).await;
        for number in 0..ENGINES {
            store.put("Engines", &format!("llm-{number}"), llm.record());
        }
        let mut partial = 0;
        let mut before = next_report(&socket).await;
        while partial < 3 {
            socket.send_to(&report, relay).await.expect("sent");
            let after = next_report(&socket).await;
            let is_next = after.loads.sequence == before.loads.sequence + 1;
            let is_contiguous = after.changes_after == before.changes_through;
            if is_next && is_contiguous && !before.changes.is_empty() && !after.changes.is_empty() {
                assert_eq!(before.engines_age_ms, None);
                partial += 1;
            }
            before = after;
        }
        while before.changes_through < ENGINES as u64 || before.engines_age_ms.is_none() {
            before = next_report(&socket).await;
        }
    });
}
