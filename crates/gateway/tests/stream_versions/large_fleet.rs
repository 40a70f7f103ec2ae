//! Streams of a large fleet, whose relays store the sources of their followers' streams.

use crate::site::{metric, resumption_after, Resumptions, VersionedSite};
use crate::support::caller::send;
use crate::support::engine::Behaviour;
use crate::support::fleet::role_of;
use ploverlift_gateway::peers::roles::Role;
use ploverlift_gateway::time::sleep;
use std::collections::BTreeSet;

/// Nodes that run; two of them relay, and the others of the fleet are only listed.
const NODES: usize = 5;
const RELAYS: usize = 2;
/// Number of streams of each node.
const STREAMS_OF_NODE: usize = 8;
/// Number of events of a stream that outlasts the test's disruption.
const LONG: u64 = 60;
/// Share of the streams that must go on.
const MIN_CONTINUED_SHARE: f64 = 0.9;
/// Time after which the last streams are stored, in milliseconds.
const SETTLED_MS: u64 = 400;
/// Polling interval, in milliseconds.
const POLL_MS: u64 = 5;
/// Kind of the objects with the sources of streams.
const KIND: &str = "StreamOrigins";

/// Waits until the nodes know their roles; returns the names of the relays.
async fn relays(site: &VersionedSite) -> BTreeSet<String> {
    loop {
        let relays = site
            .nodes
            .iter()
            .filter(|node| role_of(node) == Role::Relay);
        let relays = relays.map(|node| node.gateway.settings().node.name.clone());
        let relays: BTreeSet<String> = relays.collect();
        let is_follower = |node| role_of(node) == Role::Follower;
        let followers = site.nodes.iter().filter(|node| is_follower(node)).count();
        if (relays.len(), followers) == (RELAYS, NODES - RELAYS) {
            return relays;
        }
        sleep(POLL_MS).await;
    }
}

// Guards against streams of followers of relays whose sources are lost with all nodes, and
// against followers that call the store for them.
#[test]
fn streams_of_followers_go_on_at_their_version_after_all_nodes_were_killed() {
    smol::block_on(async {
        let mut site = VersionedSite::start_large(NODES, &["v1", "v1", "v2", "v2"]).await;
        let before = relays(&site).await;
        site.set_all(&Behaviour::StreamSlowly(LONG));
        let mut streams = Vec::new();
        for number in 0..STREAMS_OF_NODE {
            for node in 0..NODES {
                let id = format!("large-{node}-{number}");
                let stream = site.begin_patiently(node, &id).await;
                streams.push((id, stream.break_off()));
            }
        }
        sleep(SETTLED_MS).await;
        let writers: BTreeSet<String> = site.store.names(KIND).into_iter().collect();
        assert_eq!(writers, before, "the relays alone write");
        let killed = site.kill_all();
        site.start_all_again(killed).await;
        relays(&site).await;
        site.set_all(&Behaviour::Answer);
        let mut resumptions = Resumptions::default();
        for (number, (began, last)) in streams.into_iter().enumerate() {
            let resumed = format!("{began}-again");
            let node = site.callers_of(number % NODES);
            let answer = send(node, &resumption_after(last, &resumed, &began)).await;
            resumptions.note(&answer, last, &began);
            let used = site.versions_of(&[&began, &resumed]);
            assert!(used.len() <= 1, "{began}: {used:?}");
        }
        let followers = site
            .nodes
            .iter()
            .filter(|node| role_of(node) == Role::Follower);
        for follower in followers {
            let reads = metric(follower, "stream_journal_reads_total");
            assert_eq!(reads, 0.0, "a follower reads");
        }
        println!("{resumptions:?}");
        assert!(
            resumptions.continued_share() >= MIN_CONTINUED_SHARE,
            "{resumptions:?}"
        );
    });
}
