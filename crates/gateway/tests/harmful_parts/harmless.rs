//! Parts of prompts beside which engines end for other reasons.

use crate::site::{prompt_of, Load, Place, Site, HARMFUL};
use crate::support::caller;
use crate::support::engine::{Behaviour, StandInEngine};
use crate::support::site as protocol;
use ploverlift_gateway::time::{sleep, within};

/// Nodes of the site.
const NODES: usize = 3;
/// Engines of the site.
const ENGINES: usize = 6;
/// A part that few requests have.
const RARE: u64 = 4_000;
/// Time for which a long stream has run when its engine ends, in milliseconds.
const STREAMED_MS: u64 = 1_500;
/// Time within which a harmless part is served again, in milliseconds.
const MAX_REFUSED_MS: u64 = 10_000;

/// Sends requests with the rare part one after another, each to an engine that ends for
/// another reason while it runs it.
async fn end_engines_beside(site: &mut Site, times: usize, place: Place) {
    for engine in &site.engines {
        engine.set(Behaviour::Silent);
    }
    for number in 0..times {
        let node = site.nodes[number % NODES].callers;
        let id = format!("rare-{number}");
        let own = number as u64;
        let parts = match place {
            Place::Last => [own, RARE],
            _ => [RARE, own],
        };
        let asked = prompt_of("stream.test", &id, &parts);
        let mut open = caller::open(node, &asked).await;
        let engine = loop {
            let has_it = |engine: &&StandInEngine| engine.arrived_ids().contains(&id);
            if let Some(engine) = site.engines.iter().find(has_it) {
                break engine;
            }
            sleep(2).await;
        };
        engine.end().await;
        let answer = caller::read(&mut open).await.expect("an answer");
        assert_eq!(answer.status(), 502);
        sleep(150).await;
    }
    for engine in &mut site.engines {
        engine.set(Behaviour::Answer);
        if engine.ends() > 0 {
            engine.start_again();
        }
    }
}

/// A rare part has no answers that speak for it; one trial frees it on all nodes.
#[test]
fn a_rare_part_beside_unrelated_ends_is_served_again_within_seconds() {
    smol::block_on(async {
        let mut site = Site::new(ENGINES).await;
        site.start_nodes(NODES).await;
        end_engines_beside(&mut site, 3, Place::First).await;
        assert!((0..NODES).all(|node| site.refused(node) == 1));
        let served = async {
            for node in 0..NODES {
                let callers = site.nodes[node].callers;
                for number in 0.. {
                    let id = format!("again-{node}-{number}");
                    let asked = prompt_of("stream.test", &id, &[RARE, 50 + number]);
                    if caller::send(callers, &asked).await.status() == 200 {
                        break;
                    }
                    sleep(50).await;
                }
            }
        };
        let served = within(MAX_REFUSED_MS, served).await;
        assert!(served.is_some(), "the part was not served again");
        assert!((0..NODES).all(|node| site.refused(node) == 0));
    });
}

/// A tenant that sends another's part beside a harmful one must not have it refused.
#[test]
fn another_tenant_cannot_have_a_part_refused() {
    smol::block_on(async {
        let mut site = Site::new(2 * ENGINES).await;
        site.start_nodes(NODES).await;
        for number in 0..8_u64 {
            let node = &site.nodes[number as usize % NODES];
            let id = format!("framing-{number}");
            let mut framing = prompt_of("stream.test", &id, &[RARE, HARMFUL, number]);
            framing.head.headers.set(protocol::KEY, "key-b");
            caller::send(node.callers, &framing).await;
            sleep(30).await;
        }
        for number in 0..NODES {
            let asked = prompt_of("stream.test", "own", &[RARE, 70 + number as u64]);
            let answer = caller::send(site.nodes[number].callers, &asked).await;
            assert_eq!(answer.status(), 200);
        }
    });
}

/// Nodes that have just started know of no answers, while engines end by themselves.
#[test]
fn parts_are_served_while_engines_end_one_after_another() {
    smol::block_on(async {
        let mut site = Site::new(2 * ENGINES).await;
        site.start_nodes(NODES).await;
        let sound = Load {
            host: "stream.test",
            place: Place::Middle,
            harmful: Vec::new(),
            duration_ms: 600,
        };
        for round in 0..10 {
            site.engines[round].end().await;
            site.send_load(&sound).await;
        }
        assert_eq!(site.withheld(), 0);
        assert!((0..NODES).all(|node| site.refused(node) == 0));
    });
}

/// The last part of a prompt belongs to its request or session and is never harmful.
#[test]
fn ends_under_the_last_part_of_a_prompt_are_no_evidence_against_it() {
    smol::block_on(async {
        let mut site = Site::new(ENGINES).await;
        site.start_nodes(NODES).await;
        end_engines_beside(&mut site, 3, Place::Last).await;
        assert!((0..NODES).all(|node| site.refused(node) == 0));
        for node in &site.nodes {
            let asked = prompt_of("stream.test", "again", &[50, RARE]);
            assert_eq!(caller::send(node.callers, &asked).await.status(), 200);
        }
    });
}

/// A long stream is in flight whenever an engine ends for another reason.
#[test]
fn ends_under_long_streams_are_no_evidence_against_their_parts() {
    smol::block_on(async {
        let mut site = Site::new(ENGINES).await;
        site.start_nodes(NODES).await;
        for engine in &site.engines {
            engine.set(Behaviour::StreamSlowly(80));
        }
        let mut open = Vec::new();
        for number in 0..ENGINES {
            let id = format!("long-{number}");
            // Different first parts, so that the requests go to different engines.
            let asked = prompt_of("stream.test", &id, &[100 + number as u64, RARE, 1]);
            open.push(caller::open(site.nodes[number % NODES].callers, &asked).await);
        }
        sleep(STREAMED_MS).await;
        let used = site.engines.iter().filter(|engine| engine.arrivals() > 0);
        let used: Vec<&StandInEngine> = used.collect();
        assert!(used.len() >= 3, "{} engines have a stream", used.len());
        for engine in &used {
            engine.end().await;
            sleep(150).await;
        }
        let ended = || {
            let nodes = site.nodes.iter();
            let ends = nodes.map(|node| node.gateway.metrics.engine_ends.get());
            ends.sum::<u64>()
        };
        while ended() < used.len() as u64 {
            sleep(5).await;
        }
        sleep(150).await;
        assert!((0..NODES).all(|node| site.refused(node) == 0));
    });
}
