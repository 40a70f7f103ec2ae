//! Streams of nodes that are killed, taken up at other nodes.

use crate::site::{is_rest_after, resumption_after, Resumptions, VersionedSite};
use crate::support::caller::send;
use crate::support::engine::{Behaviour, EVENTS};
use ploverlift_gateway::time::sleep;

/// Three versions with two engines each.
const VERSIONS: [&str; 6] = ["v1", "v1", "v2", "v2", "v3", "v3"];
const NODES: usize = 7;
/// Number of nodes that are killed one after another, each with streams of its own.
const KILLS: usize = 8;
/// Number of streams at a node that is killed.
const STREAMS: usize = 12;
/// Share of streams that must go on while two engines of their version serve.
const MIN_CONTINUED_SHARE: f64 = 0.9;
/// Time for a restarted node to get the streams that it keeps, in milliseconds.
const FILLED_AFTER_MS: u64 = 150;

fn assert_one_version(site: &VersionedSite, began: &str, resumed: &str) {
    let used = site.versions_of(&[began, resumed]);
    assert!(used.len() <= 1, "{began}: {used:?}");
}

/// Begins streams at nodes, kills these nodes, and takes the streams up at nodes that are left.
async fn kill_and_take_up(site: &mut VersionedSite, victims: &[usize], case: &str) -> Resumptions {
    site.set_all(&Behaviour::StreamSlowly(EVENTS));
    let mut streams = Vec::new();
    for victim in victims {
        for number in 0..STREAMS {
            let id = format!("{case}-{victim}-{number}");
            streams.push(site.begin(*victim, &id).await);
        }
    }
    let mut killed = Vec::new();
    for victim in victims.iter().rev() {
        killed.push(site.kill(*victim));
    }
    site.set_all(&Behaviour::Answer);
    let mut resumptions = Resumptions::default();
    for (number, stream) in streams.into_iter().enumerate() {
        let began = stream.id.clone();
        let last = stream.break_off();
        assert!(last < EVENTS, "{began}: nothing is left");
        let resumed = format!("{began}-again");
        let node = site.callers_of(number % site.nodes.len());
        let answer = send(node, &resumption_after(last, &resumed, &began)).await;
        resumptions.note(&answer, last, &began);
        assert_one_version(site, &began, &resumed);
    }
    while let Some(node) = killed.pop() {
        site.start_again(node).await;
    }
    resumptions
}

// Guards against a stream that goes on at another software version because the node that began
// it is gone, and against rejecting all of them.
#[test]
fn streams_of_a_killed_node_go_on_at_the_version_that_began_them() {
    smol::block_on(async {
        let mut site = VersionedSite::start(NODES, &VERSIONS, Behaviour::Answer).await;
        let mut all = Resumptions::default();
        for kill in 0..KILLS {
            let case = format!("k{kill}");
            let ended = kill_and_take_up(&mut site, &[kill % NODES], &case).await;
            all.continued += ended.continued;
            all.rejected += ended.rejected;
            sleep(FILLED_AFTER_MS).await;
        }
        assert!(all.continued_share() >= MIN_CONTINUED_SHARE, "{all:?}");
    });
}

// Guards against streams that are forgotten with half of the nodes going on at any version.
#[test]
fn streams_of_half_of_the_nodes_never_mix_versions() {
    smol::block_on(async {
        let mut site = VersionedSite::start(NODES, &VERSIONS, Behaviour::Answer).await;
        for kill in 0..3 {
            let victims: Vec<usize> = (0..NODES).filter(|node| node % 2 == kill % 2).collect();
            let ended = kill_and_take_up(&mut site, &victims, &format!("h{kill}")).await;
            assert!(ended.continued_share() >= 0.5, "{ended:?}");
            sleep(FILLED_AFTER_MS).await;
        }
    });
}

// Guards against a stream that is forgotten once each of its keepers has started again.
#[test]
fn a_stream_is_known_after_all_nodes_were_restarted_one_after_another() {
    smol::block_on(async {
        let versions = ["v1", "v1", "v2", "v2"];
        let mut site = VersionedSite::start(4, &versions, Behaviour::Answer).await;
        site.begin_broken(0, "began").await;
        for node in 0..site.nodes.len() {
            let killed = site.kill(node);
            site.start_again(killed).await;
            sleep(FILLED_AFTER_MS).await;
        }
        let answer = site.take_up(1, "resumed", "began").await;
        assert!(is_rest_after(2, &answer), "{}", answer.text());
        assert_one_version(&site, "began", "resumed");
    });
}
