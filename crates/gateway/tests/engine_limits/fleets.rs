//! Limits in a fleet whose nodes report to each other.

use crate::oracle::{arrivals_in, busiest_window, max_in_window, GRACE_PERIOD};
use crate::run_exclusively;
use crate::support::deployment::Deployment;
use crate::support::traffic::Traffic;
use ploverlift_gateway::time::sleep;
use std::time::{Duration, Instant};

/// Nodes of the deployment.
const NODES: usize = 5;
/// Engines of the deployment.
const ENGINES: usize = 12;
/// The rate limit that engines name, in requests per second.
const LIMIT: f64 = 1.7;
/// Requests that an engine may get at once after an idle time.
const BURST: f64 = 2.0;
/// Interval between two requests on one node, in milliseconds: 100 requests per second in
/// all, eight for each engine.
const PERIOD_MS: u64 = 50;
/// Time for which the fleet is observed once the limits have to hold.
const OBSERVED_SPAN: Duration = Duration::from_secs(10);
/// Maximum time until a request that cannot be served is rejected: well below its deadline
/// of three seconds.
const MAX_HOLD: Duration = Duration::from_millis(500);

/// Runs traffic while the first `limited` engines name a rate, and checks for each of them
/// the limit of a window, and that it gets between 80 % of its rate and its rate plus a
/// burst.
async fn assert_limits_hold(limited: usize) -> (Deployment, Traffic, Instant) {
    let mut site = Deployment::new(ENGINES).await;
    site.start_nodes(NODES).await;
    let traffic = Traffic::start(site.callers(), PERIOD_MS);
    sleep(1_000).await;
    for engine in &site.engines[..limited] {
        engine.name_limit(Some(&LIMIT.to_string()));
    }
    let from = Instant::now() + GRACE_PERIOD;
    sleep((GRACE_PERIOD + OBSERVED_SPAN).as_millis() as u64).await;
    for engine in &site.engines[..limited] {
        let worst = busiest_window(engine, from);
        let allowed = max_in_window(LIMIT);
        assert!(worst <= allowed, "{worst} in a window, allowed {allowed}");
        let used = arrivals_in(engine, from, OBSERVED_SPAN) as f64;
        let capacity = LIMIT * OBSERVED_SPAN.as_secs_f64();
        let allowed = 0.8 * capacity..=capacity + BURST;
        assert!(allowed.contains(&used), "{used} of {capacity} were used");
    }
    (site, traffic, from)
}

#[test]
fn a_limited_engine_gets_its_rate_from_all_nodes_together() {
    let _exclusive = run_exclusively();
    smol::block_on(async {
        let (_site, traffic, from) = assert_limits_hold(1).await;
        // The other engines serve the requests that it does not take.
        let asked = traffic.asked();
        let asked = asked.iter().filter(|asked| asked.at >= from);
        assert!(asked.clone().count() > 500);
        assert!(asked.clone().all(|asked| asked.status == 200));
    });
}

#[test]
fn limits_of_a_third_of_the_engines_hold_for_each() {
    let _exclusive = run_exclusively();
    smol::block_on(async {
        let (_site, traffic, from) = assert_limits_hold(ENGINES / 3).await;
        let asked = traffic.asked();
        let mut asked = asked.iter().filter(|asked| asked.at >= from);
        assert!(asked.all(|asked| asked.status == 200));
    });
}

#[test]
fn requests_over_the_limits_of_all_engines_are_rejected_at_once() {
    let _exclusive = run_exclusively();
    smol::block_on(async {
        let (_site, traffic, from) = assert_limits_hold(ENGINES).await;
        let asked = traffic.asked();
        let asked: Vec<_> = asked.iter().filter(|asked| asked.at >= from).collect();
        let rejected = asked.iter().filter(|asked| asked.status != 200);
        assert!(rejected.clone().all(|asked| asked.status == 503));
        let longest = rejected.clone().map(|asked| asked.took).max();
        let late = traffic.latest_timer();
        println!("held for {longest:?} at most; a timer was late by {late:?} at most");
        assert!(longest < Some(MAX_HOLD), "held for {longest:?}");
        let served = asked.len() - rejected.count();
        let capacity = LIMIT * ENGINES as f64 * OBSERVED_SPAN.as_secs_f64();
        assert!(
            served as f64 >= 0.8 * capacity,
            "{served} served of {capacity}"
        );
    });
}
