//! Limits that engines withdraw, invalid values, and nodes that start while engines have
//! limits.

use crate::oracle::arrivals_in;
use crate::run_exclusively;
use crate::support::caller;
use crate::support::deployment::Deployment;
use crate::support::fleet::start_peer_with;
use crate::support::traffic::Traffic;
use ploverlift_gateway::assembly::RunningGateway;
use ploverlift_gateway::metrics::SignalLabel;
use ploverlift_gateway::time::sleep;
use std::time::{Duration, Instant};

/// Nodes of the deployment.
const NODES: usize = 3;
/// Engines of the deployment.
const ENGINES: usize = 4;
/// Interval between two requests on one node, in milliseconds: 60 requests per second in
/// all.
const PERIOD_MS: u64 = 50;
/// Polling interval of the tests, in milliseconds.
const POLL_MS: u64 = 5;

/// The rate limits that a node knows.
fn known_rates(node: &RunningGateway) -> Vec<f64> {
    let beliefs = node.gateway.beliefs();
    let limited = beliefs.engine_limits.limited();
    limited.map(|(_, per_second, _)| per_second).collect()
}

/// Waits until all nodes know exactly these rates; returns the time that it took.
async fn wait_until_known(site: &Deployment, rates: &[f64]) -> Duration {
    let began = Instant::now();
    while !site.nodes.iter().all(|node| known_rates(node) == rates) {
        sleep(POLL_MS).await;
    }
    began.elapsed()
}

#[test]
fn an_engine_that_withdraws_its_limit_regains_its_share_within_a_second() {
    let _exclusive = run_exclusively();
    smol::block_on(async {
        let mut site = Deployment::new(ENGINES).await;
        site.start_nodes(NODES).await;
        let _traffic = Traffic::start(site.callers(), PERIOD_MS);
        for limit in ["1.7", "0"] {
            site.engines[0].name_limit(Some(limit));
            wait_until_known(&site, &[limit.parse().expect("a rate")]).await;
            sleep(2_000).await;
            site.engines[0].name_limit(None);
            let known_after = wait_until_known(&site, &[]).await;
            println!("the end of limit {limit} was known to all nodes after {known_after:?}");
            sleep(1_000).await;
            let from = Instant::now();
            sleep(2_000).await;
            let span = Duration::from_secs(2);
            let got = arrivals_in(&site.engines[0], from, span);
            let all: usize = site
                .engines
                .iter()
                .map(|one| arrivals_in(one, from, span))
                .sum();
            // Its share is a quarter; half of it suffices, as the distribution of prompts
            // over the engines is random.
            assert!(got * ENGINES * 2 >= all, "{got} of {all} requests");
        }
    });
}

#[test]
fn an_invalid_limit_is_ignored_and_counted() {
    let _exclusive = run_exclusively();
    smol::block_on(async {
        let mut site = Deployment::new(ENGINES).await;
        site.start_nodes(NODES).await;
        let _traffic = Traffic::start(site.callers(), PERIOD_MS);
        site.engines[0].name_limit(Some("4"));
        wait_until_known(&site, &[4.0]).await;
        site.engines[0].name_limit(Some("many"));
        let invalid = |site: &Deployment| -> u64 {
            let nodes = site.nodes.iter();
            let label = SignalLabel { signal: "limit" };
            nodes
                .map(|node| {
                    let invalid = &node.gateway.metrics.invalid_signals;
                    invalid.get_or_create(&label).get()
                })
                .sum()
        };
        while invalid(&site) < 5 {
            sleep(POLL_MS).await;
        }
        assert!(site.nodes.iter().all(|node| known_rates(node) == [4.0]));
    });
}

#[test]
fn a_node_that_starts_knows_the_limits_before_it_is_ready() {
    let _exclusive = run_exclusively();
    smol::block_on(async {
        let mut site = Deployment::new(ENGINES).await;
        site.start_nodes(NODES).await;
        let traffic = Traffic::start(site.callers(), PERIOD_MS);
        site.engines[0].name_limit(Some("1.7"));
        wait_until_known(&site, &[1.7]).await;
        drop(traffic);
        for number in 0..5 {
            let joining = start_peer_with(&site.store, &format!("joining-{number}"), 1.0, "");
            while caller::get_status(joining.readiness).await != 200 {
                sleep(POLL_MS).await;
            }
            assert_eq!(known_rates(&joining), [1.7]);
        }
    });
}
