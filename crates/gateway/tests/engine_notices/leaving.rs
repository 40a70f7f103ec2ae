//! An engine that says in its answers that it leaves, while the store is away.

use crate::oracle::Departure;
use crate::run_exclusively;
use crate::support::deployment::Deployment;
use crate::support::fleet::start_known_nodes_with;
use crate::support::store::StoreFault;
use crate::support::traffic::{Asked, Traffic};
use ploverlift_gateway::time::sleep;
use std::time::Duration;

/// Engines of the site.
const ENGINES: usize = 12;
/// Nodes that know each other.
const NODES: usize = 7;
/// Nodes that follow two relays.
const FOLLOWERS: usize = 38;
/// Requests a second at the whole site.
const REQUESTS_PER_SECOND: u64 = 140;
/// Keys stay accepted while the store is away: engines are what is watched.
const SETTINGS: &str = "[bounds]\nrevoke_when_cut = false\n";
/// Later than this after a node was told, its engine gets nothing from it: the site's bound.
const BOUND: Duration = Duration::from_millis(2_000);
/// Time in which all nodes hear what one was told.
const REPORTED_WITHIN: Duration = Duration::from_millis(1_000);
/// Time before the engine says that it leaves, in milliseconds.
const BEFORE_MS: u64 = 500;
/// Time for which the site is watched then, in milliseconds.
const WATCHED_MS: u64 = 4_500;

/// One engine says that it leaves; the store does not.
async fn run_departure(site: &Deployment) -> (Departure, Vec<Asked>) {
    site.store.set_fault(StoreFault::Silent);
    let period_ms = 1_000 * site.nodes.len() as u64 / REQUESTS_PER_SECOND;
    let traffic = Traffic::start(site.callers(), period_ms);
    sleep(BEFORE_MS).await;
    site.engines[0].name_leaving(Some("1"));
    sleep(WATCHED_MS).await;
    let asked = traffic.asked();
    let departure = Departure::of(&site.engines[0], &asked);
    println!(
        "{} nodes notified, last use {:?} after a node's own answer, {:?} after the first one",
        departure.notified.len(),
        departure.max_use_delay,
        departure.max_use_delay_anywhere
    );
    assert!(!departure.notified.is_empty());
    (departure, asked)
}

fn check(departure: &Departure, asked: &[Asked]) {
    let own = departure.max_use_delay;
    assert!(own < BOUND, "used {own:?} after it had said that it leaves");
    let anywhere = departure.max_use_delay_anywhere;
    assert!(
        anywhere < REPORTED_WITHIN,
        "used {anywhere:?} after the first word"
    );
    assert!(asked.iter().all(|asked| asked.status == 200));
}

/// Guards against requests to an engine that told the node in an answer that it leaves, while
/// the store, the only channel that was read, is away.
#[test]
fn leaving_signal_in_answers_stops_traffic_during_a_store_outage() {
    let _exclusive = run_exclusively();
    smol::block_on(async {
        let mut site = Deployment::new(ENGINES).await;
        site.nodes = start_known_nodes_with(&site.store, NODES, SETTINGS).await;
        let (departure, asked) = run_departure(&site).await;
        check(&departure, &asked);
    });
}

/// Guards against the same where nodes hear of each other through relays.
#[test]
fn relay_followers_stop_traffic_after_a_leaving_signal_in_answers() {
    let _exclusive = run_exclusively();
    smol::block_on(async {
        let mut site = Deployment::new(ENGINES).await;
        site.start_relayed_nodes(FOLLOWERS, SETTINGS).await;
        let (departure, asked) = run_departure(&site).await;
        check(&departure, &asked);
    });
}
