//! Nodes that are partitioned from engines while callers, the store and the other nodes
//! still reach them.

mod support;

use ploverlift_gateway::time::sleep;
use std::time::{Duration, Instant};
use support::engine::Behaviour;
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
    smol::block_on(async {
        let site = PartitionableSite::start(3, 4, Behaviour::Answer).await;
        let tries = first_tries_during(&site, &[1], &[0, 1, 2], Cut::Reset).await;
        assert_served_as_elsewhere(&tries, &[1]);
        let of_last_requests = |id: &String| {
            let number = id.strip_prefix("1-").and_then(|number| number.parse().ok());
            number.is_some_and(|number: u64| number * PERIOD_MS >= BEFORE_CUT_MS + COUNTED_MS)
        };
        for engine in &site.engines[..3] {
            assert!(engine.arrived_ids().iter().any(of_last_requests));
        }
    });
}
