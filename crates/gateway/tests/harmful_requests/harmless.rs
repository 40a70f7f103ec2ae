//! Harmless requests that are sent repeatedly while engines end for other reasons.

use crate::site::Site;
use crate::support::caller::{self, prompt, request};
use crate::support::configuration;
use crate::support::engine::{Behaviour, StandInEngine};
use crate::support::Fixture;
use ploverlift_gateway::time::sleep;

/// Nodes of the site.
const NODES: usize = 3;
/// Engines of the site.
const ENGINES: usize = 6;
/// Number of engine ends.
const ROUNDS: usize = 8;

/// Number of requests that the site's nodes have withheld because engines ended.
fn withheld(site: &Site) -> u64 {
    let nodes = site.nodes.iter();
    nodes
        .map(|node| node.gateway.metrics.withheld_requests.get())
        .sum()
}

#[test]
fn a_popular_request_is_served_while_engines_end_one_after_another() {
    smol::block_on(async {
        let mut site = Site::new("app", ENGINES).await;
        site.start_nodes(NODES).await;
        for engine in &site.engines {
            engine.set(Behaviour::AnswerAfter(10));
        }
        let popular = request("safe.test", "popular");
        site.send_repeatedly(&popular, NODES, 0).await;
        for round in 0..ROUNDS {
            let asking = async {
                for number in 0..4 {
                    let node = &site.nodes[(round + number) % NODES];
                    caller::send(node.callers, &popular).await;
                }
            };
            let ending = async {
                sleep(5).await;
                site.engines[round % ENGINES].end().await;
            };
            futures_lite::future::zip(asking, ending).await;
            site.engines[round % ENGINES].start_again();
        }
        assert_eq!(withheld(&site), 0);
        let statuses = site.send_repeatedly(&popular, NODES, 0).await;
        assert!(statuses.iter().all(|status| *status == 200));
    });
}

#[test]
fn connection_resets_by_running_engines_cause_no_suspicion() {
    smol::block_on(async {
        let mut site = Site::new("llm", ENGINES).await;
        site.start_nodes(NODES).await;
        for engine in &site.engines {
            engine.set(Behaviour::Reset);
        }
        let statuses = site
            .send_repeatedly(&prompt("stream.test", "r"), 12, 5)
            .await;
        assert!(statuses.iter().all(|status| *status == 502));
        for engine in &site.engines {
            engine.set(Behaviour::Answer);
        }
        let statuses = site
            .send_repeatedly(&prompt("stream.test", "r"), NODES, 5)
            .await;
        assert!(statuses.iter().all(|status| *status == 200));
        assert_eq!(withheld(&site), 0);
    });
}

#[test]
fn a_simultaneous_end_of_all_engines_refuses_no_request() {
    smol::block_on(async {
        let mut site = Site::new("llm", ENGINES).await;
        site.start_nodes(NODES).await;
        for engine in &site.engines {
            engine.set(Behaviour::Silent);
        }
        // Many copies of one request, on all engines.
        let copy = prompt("stream.test", "copy");
        let mut open = Vec::new();
        for number in 0..3 * ENGINES {
            let node = &site.nodes[number % NODES];
            open.push(caller::open(node.callers, &copy).await);
        }
        let arrived = || {
            site.engines
                .iter()
                .map(StandInEngine::arrivals)
                .sum::<usize>()
        };
        while arrived() < 3 * ENGINES {
            sleep(2).await;
        }
        for engine in &site.engines {
            engine.end().await;
        }
        for engine in &mut site.engines {
            engine.set(Behaviour::Answer);
            engine.start_again();
        }
        for connection in &mut open {
            let answer = caller::read(connection).await;
            assert_eq!(answer.map(|answer| answer.status()), Some(502));
        }
        let mut served = 0;
        while served < 2 * NODES {
            let status = caller::send(site.nodes[served % NODES].callers, &copy).await;
            served += usize::from(status.status() == 200);
            sleep(2).await;
        }
        assert_eq!(withheld(&site), 0);
    });
}

/// Copies of one harmless request run on kept connections when a rack loses power and its
/// engines end some milliseconds apart. When each end was reported with the time of the loss
/// as the time of the send, copies that had been sent before any engine ended counted as sent
/// after it. All of these ends count once, and the request is not refused.
#[test]
fn copies_sent_on_kept_connections_before_any_end_count_once() {
    smol::block_on(async {
        let mut engines = Vec::new();
        for number in 0..3 {
            let name = format!("app-{number}");
            engines.push(StandInEngine::start(&name, "app", Behaviour::KeepConnection).await);
        }
        let no_repeats = "[attempts]\nretry_reserve = 0.0\n[bounds]\nretry_ratio = 0.0\n";
        let known: Vec<&StandInEngine> = engines.iter().collect();
        let fixture = Fixture::with(&known, configuration(1), no_repeats).await;
        let node = fixture.running().callers;
        for number in 0.. {
            let mut open = Vec::new();
            for copy in 0..2 * engines.len() {
                let warming = request("safe.test", &format!("w{number}-{copy}"));
                open.push(caller::open(node, &warming).await);
            }
            for connection in &mut open {
                caller::read(connection).await.expect("an answer");
            }
            if engines.iter().all(|engine| engine.connections() > 0) {
                break;
            }
        }
        let before: Vec<(usize, usize)> = counts(&engines);
        for engine in &engines {
            engine.set(Behaviour::Silent);
        }
        let mut copies = Vec::new();
        for number in 0..engines.len() {
            let mut copy = request("safe.test", &format!("copy-{number}"));
            copy.body = b"popular".to_vec();
            copies.push(caller::open(node, &copy).await);
            let arrived = |engine: &StandInEngine| engine.arrivals();
            let all_before: usize = before.iter().map(|(arrivals, _)| arrivals).sum();
            while engines.iter().map(arrived).sum::<usize>() <= all_before + number {
                sleep(2).await;
            }
        }
        // Each engine has one copy, on a kept connection.
        let expected: Vec<(usize, usize)> = before.iter().map(|(a, c)| (a + 1, *c)).collect();
        assert_eq!(counts(&engines), expected);
        for engine in &engines {
            engine.end().await;
            sleep(5).await;
        }
        for copy in &mut copies {
            let answer = caller::read(copy).await.expect("an answer");
            assert_eq!(answer.status(), 502);
        }
        while fixture.gateway.metrics.engine_ends.get() < engines.len() as u64 {
            sleep(2).await;
        }
        assert_eq!(fixture.gateway.beliefs().quarantine.refused(), 0);
    });
}

/// Number of arrived requests and of connections of each engine.
fn counts(engines: &[StandInEngine]) -> Vec<(usize, usize)> {
    let engines = engines.iter();
    engines
        .map(|engine| (engine.arrivals(), engine.connections()))
        .collect()
}
