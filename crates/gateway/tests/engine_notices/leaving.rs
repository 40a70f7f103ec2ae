//! An engine that announces in its answers that it leaves, while the store is unreachable.

use crate::oracle::Departure;
use crate::run_exclusively;
use crate::support::deployment::Deployment;
use crate::support::fleet::start_known_nodes_with;
use crate::support::store::StoreFault;
use crate::support::traffic::{Asked, Traffic};
use ploverlift_gateway::time::sleep;
use std::time::Duration;

/// Number of engines.
const ENGINES: usize = 12;
/// Number of nodes in the test without relays.
const NODES: usize = 7;
/// Number of nodes that follow two relays.
const FOLLOWERS: usize = 38;
/// Requests per second over all nodes.
const REQUESTS_PER_SECOND: u64 = 140;
/// Keys stay accepted while the store is unreachable, so that requests are still sent.
const SETTINGS: &str = "[bounds]\nrevoke_when_cut = false\n";
/// The site's bound on leaving engines: maximum time after which a node that received the
/// announcement still sends requests to the engine.
const BOUND: Duration = Duration::from_millis(2_000);
/// Maximum time until an announcement that one node received has reached all nodes.
const REPORTED_WITHIN: Duration = Duration::from_millis(1_000);
/// Time before the engine announces that it leaves, in milliseconds.
const BEFORE_MS: u64 = 500;
/// Time for which the requests are observed after that, in milliseconds.
const WATCHED_MS: u64 = 4_500;

/// Runs traffic while one engine announces that it leaves and the store does not answer.
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
        "{} nodes notified, last use {:?} after a node's own answer, {:?} after the first answer",
        departure.notified.len(),
        departure.max_use_delay,
        departure.max_use_delay_anywhere
    );
    assert!(!departure.notified.is_empty());
    (departure, asked)
}

fn check(departure: &Departure, asked: &[Asked]) {
    let own = departure.max_use_delay;
    assert!(
        own < BOUND,
        "a node used the engine {own:?} after it had received its announcement"
    );
    let anywhere = departure.max_use_delay_anywhere;
    assert!(
        anywhere < REPORTED_WITHIN,
        "the engine was used {anywhere:?} after its first announcement"
    );
    let rejected: Vec<&Asked> = asked.iter().filter(|asked| asked.status != 200).collect();
    assert!(rejected.is_empty(), "not served: {rejected:?}");
}

/// Guards against requests to an engine that has announced in an answer that it leaves: nodes
/// that learn of it only from the store go on sending requests while the store is unreachable.
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

/// Guards against the same fault when the nodes exchange reports through relays.
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
