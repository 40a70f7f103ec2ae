//! Nodes that are partitioned from engines while callers, the store and the other nodes
//! still reach them.

mod support;

use ploverlift_gateway::time::sleep;
use std::time::{Duration, Instant};
use support::caller::{self, prompt};
use support::engine::Behaviour;
use support::exclusive::run_exclusively;
use support::links::Cut;
use support::partition::{FirstTries, PartitionableSite};
use support::traffic::Traffic;

/// Interval between two requests to one node, in milliseconds.
const PERIOD_MS: u64 = 25;
/// Time before the cut, in milliseconds.
const BEFORE_CUT_MS: u64 = 500;
/// Time after the start of the cut from which callers are to be served as elsewhere.
const DETECTION: Duration = Duration::from_secs(1);
/// Time for which first tries are counted, in milliseconds.
const COUNTED_MS: u64 = 1_500;
/// Time after which a request sent in the counted time has its answer, in milliseconds.
const ANSWERED_MS: u64 = 600;
/// Lowest share of first tries served at a partitioned node, as a part of the lowest share at
/// the other nodes.
const PARTITIONED_SHARE: f64 = 0.9;
/// Lowest share of first tries served at the other nodes.
const OTHERS_SHARE: f64 = 0.98;

/// Cuts nodes off from engines under traffic and returns the first tries that were sent from
/// [`DETECTION`] on, by node.
async fn first_tries_during(
    site: &PartitionableSite,
    nodes: &[usize],
    engines: &[usize],
    cut: Cut,
) -> Vec<FirstTries> {
    let traffic = Traffic::start(site.nodes.iter().map(|node| node.callers), PERIOD_MS);
    sleep(BEFORE_CUT_MS).await;
    let began = Instant::now();
    site.cut(nodes, engines, cut).await;
    let counted_from = began + DETECTION;
    sleep(DETECTION.as_millis() as u64 + COUNTED_MS + ANSWERED_MS).await;
    let until = counted_from + Duration::from_millis(COUNTED_MS);
    let asked = traffic.asked();
    let counted: Vec<_> = asked.into_iter().filter(|asked| asked.at < until).collect();
    site.first_tries(&counted, counted_from)
}

/// Asserts that partitioned nodes serve nearly as often as the others.
fn assert_served_as_elsewhere(tries: &[FirstTries], partitioned: &[usize]) {
    let numbered = tries.iter().copied().enumerate();
    let (cut, others): (Vec<_>, Vec<_>) =
        numbered.partition(|(node, _)| partitioned.contains(node));
    let lowest = |tries: &[(usize, FirstTries)]| {
        let shares = tries.iter().map(|(_, tries)| tries.share());
        shares.fold(1.0, f64::min)
    };
    let (cut_share, others_share) = (lowest(&cut), lowest(&others));
    assert!(others_share >= OTHERS_SHARE, "others: {others:?}");
    assert!(
        cut_share >= others_share * PARTITIONED_SHARE,
        "partitioned: {cut:?}, others: {others:?}"
    );
}

fn assert_cut_is_survived(nodes: usize, partitioned: &[usize], behaviour: Behaviour, cut: Cut) {
    let _exclusive = run_exclusively();
    smol::block_on(async {
        let site = PartitionableSite::start(nodes, 4, behaviour).await;
        let engines = site.all_engines();
        let tries = first_tries_during(&site, partitioned, &engines, cut).await;
        assert_served_as_elsewhere(&tries, partitioned);
        assert_eq!(site.repeated_arrivals(), Vec::<String>::new());
    });
}

// Guards against callers of a node being rejected because this node alone can't reach engines.
#[test]
fn callers_of_a_node_whose_links_to_all_engines_hang_are_served() {
    assert_cut_is_survived(3, &[0], Behaviour::Answer, Cut::Hang);
}

// As above; the engines' side resets the connections.
#[test]
fn callers_of_a_node_whose_connections_to_all_engines_are_reset_are_served() {
    assert_cut_is_survived(3, &[0], Behaviour::KeepConnection, Cut::Reset);
}

// As above; kept connections still work and hide the cut.
#[test]
fn callers_of_a_node_whose_new_connections_to_all_engines_are_refused_are_served() {
    assert_cut_is_survived(3, &[0], Behaviour::KeepConnection, Cut::RefuseNew);
}

// Guards against partitioned nodes that depend on each other.
#[test]
fn callers_of_four_partitioned_nodes_of_seven_are_served() {
    assert_cut_is_survived(7, &[0, 2, 3, 5], Behaviour::Answer, Cut::Hang);
}

// Guards against the one engine that a node still reaches getting all of its requests.
#[test]
fn a_node_that_reaches_one_engine_still_uses_the_others() {
    let _exclusive = run_exclusively();
    smol::block_on(async {
        // More requests than the one engine has slots for.
        let site = PartitionableSite::start(3, 4, Behaviour::StreamSlowly(8)).await;
        let tries = first_tries_during(&site, &[1], &[0, 1, 2], Cut::Reset).await;
        assert_served_as_elsewhere(&tries, &[1]);
        let of_last_requests = |id: &String| {
            let number = id.strip_prefix("1-").and_then(|number| number.parse().ok());
            number.is_some_and(|number: u64| number * PERIOD_MS >= BEFORE_CUT_MS + COUNTED_MS)
        };
        let counts = site.engines.iter().map(|engine| {
            let ids = engine.arrived_ids();
            ids.iter().filter(|id| of_last_requests(id)).count()
        });
        let counts: Vec<usize> = counts.collect();
        let elsewhere: usize = counts[..3].iter().sum();
        assert!(elsewhere > counts[3], "requests by engine: {counts:?}");
    });
}

// Guards against a whole zone, or all nodes but one, depending on peers that are cut off too.
#[test]
fn callers_of_all_nodes_but_one_are_served_through_the_one() {
    assert_cut_is_survived(4, &[0, 1, 2], Behaviour::Answer, Cut::Reset);
}

// Guards against a cut from some engines leaving the others with all requests.
#[test]
fn callers_are_served_when_three_nodes_are_cut_off_from_most_engines() {
    let _exclusive = run_exclusively();
    smol::block_on(async {
        let site = PartitionableSite::start(7, 6, Behaviour::Answer).await;
        let nodes = [1, 2, 4];
        let tries = first_tries_during(&site, &nodes, &[0, 1, 2, 3, 4], Cut::Hang).await;
        assert_served_as_elsewhere(&tries, &nodes);
    });
}

/// Time after which a node knows that no engine can be reached.
const KNOWN: Duration = Duration::from_secs(2);
/// Time within which a request that is known to be unservable is rejected.
const REJECTED_WITHIN: Duration = Duration::from_millis(50);
/// Maximum number of peers that a node asks for tunnels to one engine in the time observed:
/// three for each of the requests and checks of the first second, and then for one check a
/// second.
const MAX_ASKED: u64 = 36;

/// Sums up the requests of a node to its peers from its page of metrics.
fn tunnel_requests(page: &str) -> u64 {
    let lines = page.lines();
    let samples = lines.filter(|line| line.contains("_tunnel_requests_total{"));
    let counts = samples.filter_map(|line| line.rsplit(' ').next());
    counts
        .map(|count| count.parse::<u64>().expect("a count"))
        .sum()
}

/// Asserts that requests sent from [`KNOWN`] on are rejected at once, and that nodes ask each
/// other a bounded number of times however many requests there are.
async fn assert_rejected_at_once(site: &PartitionableSite, traffic: &Traffic, began: Instant) {
    sleep(KNOWN.as_millis() as u64 + COUNTED_MS).await;
    let asked = traffic.asked();
    let later: Vec<_> = asked
        .iter()
        .filter(|asked| asked.at >= began + KNOWN)
        .collect();
    assert!(later.len() >= site.nodes.len() * 20);
    // A busy machine adds the delay of a timer at the caller and at the node.
    let limit = REJECTED_WITHIN + 2 * traffic.latest_timer();
    for asked in later {
        assert_eq!(asked.status, 503, "{asked:?}");
        assert!(asked.took <= limit, "{asked:?}");
        assert!(asked.retry_after_ms.is_some());
    }
    for node in &site.nodes {
        let asked = tunnel_requests(&node.gateway.metrics.page());
        let engines = site.engines.len() as u64;
        assert!(asked <= MAX_ASKED * engines, "{asked} requests for tunnels");
    }
}

// Guards against requests that are held for connections that are known to fail, and against a
// tour through the peers for each of them.
#[test]
fn all_nodes_reject_at_once_when_all_are_partitioned() {
    let _exclusive = run_exclusively();
    smol::block_on(async {
        let site = PartitionableSite::start(3, 2, Behaviour::Answer).await;
        let traffic = Traffic::start(site.nodes.iter().map(|node| node.callers), PERIOD_MS);
        sleep(BEFORE_CUT_MS).await;
        let began = Instant::now();
        site.cut(&[0, 1, 2], &[0, 1], Cut::Hang).await;
        assert_rejected_at_once(&site, &traffic, began).await;
    });
}

// As above, with engines that have ended.
#[test]
fn all_nodes_reject_at_once_when_all_engines_are_down() {
    let _exclusive = run_exclusively();
    smol::block_on(async {
        let site = PartitionableSite::start(3, 2, Behaviour::Answer).await;
        let traffic = Traffic::start(site.nodes.iter().map(|node| node.callers), PERIOD_MS);
        sleep(BEFORE_CUT_MS).await;
        let began = Instant::now();
        site.cut(&[0, 1, 2], &[0, 1], Cut::Reset).await;
        for engine in &site.engines {
            engine.end().await;
        }
        assert_rejected_at_once(&site, &traffic, began).await;
    });
}

/// Time after the last cut from which the direct paths are used again, in milliseconds.
const RETURNED_AFTER_MS: u64 = 4_000;

// Guards against requests that run twice, or paths that are not used again, when a cut comes and
// goes.
#[test]
fn a_cut_that_comes_and_goes_loses_and_repeats_no_request() {
    let _exclusive = run_exclusively();
    smol::block_on(async {
        let site = PartitionableSite::start(3, 3, Behaviour::KeepConnection).await;
        let traffic = Traffic::start(site.nodes.iter().map(|node| node.callers), PERIOD_MS);
        sleep(BEFORE_CUT_MS).await;
        for cut in [Cut::Reset, Cut::Hang, Cut::RefuseNew] {
            site.cut(&[0, 1], &[0, 1, 2], cut).await;
            sleep(1_200).await;
            site.heal(&[0, 1], &[0, 1, 2]);
            sleep(800).await;
        }
        sleep(RETURNED_AFTER_MS).await;
        let healed_at = Instant::now();
        sleep(COUNTED_MS).await;
        let tries = site.first_tries(&traffic.asked(), healed_at);
        assert!(
            tries.iter().all(|tries| tries.sent == tries.served),
            "{tries:?}"
        );
        for node in &site.nodes {
            assert_eq!(node.gateway.beliefs().engine_paths.cut_count(), 0);
        }
        drop(traffic);
        assert_eq!(site.repeated_arrivals(), Vec::<String>::new());
    });
}

/// Longest silence of a sound engine, in milliseconds.
const SILENCE_MS: u64 = 1_500;

// Guards against requests that are aborted because all nodes confirm each other that an engine is
// lost that is only silent for a moment.
#[test]
fn an_engine_that_is_silent_for_a_moment_keeps_its_requests() {
    let _exclusive = run_exclusively();
    smol::block_on(async {
        let site = PartitionableSite::start(3, 3, Behaviour::StreamSlowly(40)).await;
        let mut open = Vec::new();
        for (number, node) in site.nodes.iter().cycle().take(12).enumerate() {
            let asked = prompt("stream.test", &format!("long-{number}"));
            open.push(caller::open(node.callers, &asked).await);
        }
        sleep(300).await;
        let traffic = Traffic::start(site.nodes.iter().map(|node| node.callers), 4 * PERIOD_MS);
        site.cut(&[0, 1, 2], &[0], Cut::Hang).await;
        sleep(SILENCE_MS).await;
        for node in &site.nodes {
            assert!(!node.gateway.beliefs().losses.has_lost());
        }
        site.heal(&[0, 1, 2], &[0]);
        for connection in &mut open {
            let answer = caller::read(connection).await.expect("an answer");
            assert!(answer.status() == 200 && answer.is_whole);
        }
        drop(traffic);
    });
}
