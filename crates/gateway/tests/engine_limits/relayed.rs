//! Limits in a larger fleet, whose nodes exchange them through relays.

use crate::oracle::{busiest_window, max_in_window, GRACE_PERIOD};
use crate::run_exclusively;
use crate::support::deployment::Deployment;
use crate::support::traffic::Traffic;
use ploverlift_gateway::time::sleep;
use std::time::{Duration, Instant};

/// Nodes that follow the two relays of their zone.
const FOLLOWERS: usize = 38;
/// Engines of the deployment.
const ENGINES: usize = 12;
/// The rate limit that engines name, in requests per second.
const LIMIT: f64 = 1.7;
/// Interval between two requests on one node, in milliseconds: 100 requests per second in
/// all.
const PERIOD_MS: u64 = 400;
/// Time for which the fleet is observed once the limits have to hold.
const OBSERVED_SPAN: Duration = Duration::from_secs(6);
/// Polling interval of the test, in milliseconds.
const POLL_MS: u64 = 10;

#[test]
fn followers_of_relays_keep_the_limits_together() {
    let _exclusive = run_exclusively();
    smol::block_on(async {
        let mut site = Deployment::new(ENGINES).await;
        site.start_relayed_nodes(FOLLOWERS, "").await;
        let traffic = Traffic::start(site.callers(), PERIOD_MS);
        sleep(1_000).await;
        let limited = &site.engines[..ENGINES / 3];
        for engine in limited {
            engine.name_limit(Some(&LIMIT.to_string()));
        }
        let named_at = Instant::now();
        let from = named_at + GRACE_PERIOD;
        let know_all = |site: &Deployment| {
            let nodes = site.nodes.iter();
            let counts = nodes.map(|node| node.gateway.beliefs().engine_limits.limited().count());
            counts.min() == Some(ENGINES / 3)
        };
        while !know_all(&site) {
            sleep(POLL_MS).await;
            assert!(Instant::now() < from, "not all nodes know the limits");
        }
        let known_after = named_at.elapsed();
        println!("the last node knew the last limit after {known_after:?}");
        sleep((from + OBSERVED_SPAN - Instant::now()).as_millis() as u64).await;
        for engine in &site.engines[..ENGINES / 3] {
            let worst = busiest_window(engine, from);
            let allowed = max_in_window(LIMIT);
            assert!(worst <= allowed, "{worst} in a window, allowed {allowed}");
        }
        let asked = traffic.asked();
        let mut asked = asked.iter().filter(|asked| asked.at >= from);
        assert!(asked.all(|asked| asked.status == 200));
    });
}
