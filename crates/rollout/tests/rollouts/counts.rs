//! Reports of nodes, their sums over the fleet, and credits.

use ploverlift_balancing::peer_loads::PeerId;
use ploverlift_rollout::counts::{
    Answer, CountReport, Counts, FleetCounts, RouteTag, Side, SideCounts,
};
use ploverlift_rollout::credits::{fleet_credits, owned_credits, Seat};
use ploverlift_rollout::first_byte::{bucket_of, FirstByteHistogram, BUCKETS};
use ploverlift_rollout::stage::RolloutNumber;
use proptest::prelude::*;

const ROLLOUT: RolloutNumber = RolloutNumber(7);

fn route() -> RouteTag {
    RouteTag::of("reply")
}

pub fn answer(has_failed: bool, first_byte_ms: u64) -> Answer {
    Answer {
        engine: first_byte_ms % 5,
        has_failed,
        first_byte_ms: (!has_failed).then_some(first_byte_ms),
    }
}

/// Counts after this many requests, a third of them at the target.
fn counted(requests: u64) -> Counts {
    let mut counts = Counts::default();
    for number in 0..requests {
        counts.note_request(route(), true);
        let side = match number % 3 {
            0 => Side::Target,
            _ => Side::Established,
        };
        if side == Side::Target {
            counts.note_target_arrival(route());
        }
        counts.note_answer(route(), side, &answer(number % 7 == 0, number * 3));
    }
    counts
}

fn report(node: u64, life: u64, requests: u64) -> CountReport {
    CountReport {
        rollout: ROLLOUT,
        node: PeerId(node),
        life,
        counts: counted(requests),
    }
}

proptest! {
    /// Any order and repetition of reports, and the loss of all but the last report of
    /// each node and life, give the same sums.
    #[test]
    fn late_duplicated_and_lost_reports_do_not_change_the_sums(
        lasts in proptest::collection::btree_map((0u64..4, 0u64..3), 1u64..40, 1..8),
        deliveries in proptest::collection::vec((any::<prop::sample::Index>(), 0u64..40), 0..40),
    ) {
        let mut expected = Counts::default();
        for requests in lasts.values() {
            expected.add(&counted(*requests));
        }
        let keys: Vec<_> = lasts.iter().collect();
        let mut fleet = FleetCounts::of(ROLLOUT);
        for (index, requests) in &deliveries {
            let ((node, life), last) = index.get(&keys);
            fleet.merge_report(&report(*node, *life, (*requests).min(**last)));
        }
        for ((node, life), last) in &keys {
            fleet.merge_report(&report(*node, *life, **last));
        }
        for (index, requests) in &deliveries {
            let ((node, life), last) = index.get(&keys);
            prop_assert!(!fleet.merge_report(&report(*node, *life, (*requests).min(**last))));
        }
        prop_assert_eq!(fleet.sums(), &expected);
    }

    /// Each credit belongs to exactly one seat.
    #[test]
    fn each_credit_of_the_fleet_belongs_to_one_seat(
        nodes in 1u32..800, credits in 0u64..5_000, rollout in any::<u32>(),
    ) {
        let owned = |rank| owned_credits(credits, Seat { rank, nodes }, u64::from(rollout));
        prop_assert_eq!((0..nodes).map(owned).sum::<u64>(), credits);
    }

    /// A node that knows less of the fleet uses no more credits.
    #[test]
    fn owned_credits_never_decrease(
        nodes in 1u32..800, rank in 0u32..800, credits in 0u64..5_000, more in 0u64..100,
    ) {
        let seat = Seat { rank: rank % nodes, nodes };
        prop_assert!(owned_credits(credits, seat, 3) <= owned_credits(credits + more, seat, 3));
    }
}

#[test]
fn a_restarted_node_adds_to_its_former_life() {
    let mut fleet = FleetCounts::of(ROLLOUT);
    fleet.merge_report(&report(1, 1, 10));
    fleet.merge_report(&report(1, 2, 4));
    fleet.merge_report(&report(1, 1, 10));
    assert_eq!(fleet.sums().requests(), 14);
    let passed_on: Vec<_> = fleet.reports().collect();
    let mut relayed = FleetCounts::of(ROLLOUT);
    passed_on.iter().for_each(|report| {
        relayed.merge_report(report);
    });
    assert_eq!(relayed.sums(), fleet.sums());
}

#[test]
fn counts_of_another_rollout_change_nothing() {
    let mut fleet = FleetCounts::of(RolloutNumber(8));
    assert!(!fleet.merge_report(&report(1, 1, 10)));
    assert_eq!(fleet.sums(), &Counts::default());
}

#[test]
fn small_counts_of_each_node_sum_to_exact_credits() {
    let mut fleet = FleetCounts::of(ROLLOUT);
    for node in 0..81 {
        fleet.merge_report(&report(node, 1, 1));
    }
    let credits = fleet_credits(fleet.sums().requests(), 100_000, 0);
    assert_eq!(credits, 8);
    let owned = |rank| owned_credits(credits, Seat { rank, nodes: 81 }, 7);
    assert_eq!((0..81).filter(|rank| owned(*rank) == 1).count(), 8);
}

#[test]
fn a_slowdown_by_two_is_two_buckets() {
    for ms in [5, 20, 77, 500, 2_000] {
        assert_eq!(bucket_of(2 * ms), bucket_of(ms) + 2, "{ms} ms");
    }
    assert_eq!(bucket_of(0), 0);
    assert_eq!(bucket_of(u64::MAX), BUCKETS - 1);
    let mut histogram = FirstByteHistogram::default();
    histogram.note(20);
    assert_eq!(histogram.total(), 1);
    assert_eq!(histogram.count_from_bucket(bucket_of(20) + 1), 0);
}

/// Bytes of a number as a varint with its tag; zero is not encoded.
fn varint_bytes(number: u64) -> usize {
    match number {
        0 => 0,
        _ => 1 + (64 - number.leading_zeros() as usize).div_ceil(7),
    }
}

fn side_bytes(side: &SideCounts) -> usize {
    let times = side.first_byte.buckets.iter().map(|&count| {
        let bytes = varint_bytes(u64::from(count));
        bytes.max(usize::from(count == 0))
    });
    let used = side.first_byte.buckets.iter().rposition(|&count| count > 0);
    let times: usize = times.take(used.map_or(0, |last| last + 1)).sum();
    varint_bytes(side.answers) + varint_bytes(side.failures) + times + 2
}

/// The reports of a large site's nodes take about 300 bytes when they contain new
/// counts, which determines the load that a fleet of 780 nodes puts on its relays. The
/// counts here take at most 200 bytes.
#[test]
fn a_report_is_small() {
    let mut counts = Counts::default();
    for number in 0..96 {
        let route = RouteTag::of(["screen", "reply"][number % 2]);
        counts.note_request(route, true);
        let side = match number % 33 {
            0 => Side::Target,
            _ => Side::Established,
        };
        counts.note_answer(route, side, &answer(false, 40 + (number as u64 * 37) % 200));
    }
    let routes = counts.routes.values().map(|route| {
        let sides = side_bytes(&route.target) + side_bytes(&route.established);
        5 + varint_bytes(route.requests) + varint_bytes(route.target_arrivals) + sides
    });
    let engines = counts.target_engines.iter();
    let engines: usize = engines
        .map(|slot| varint_bytes(slot.answers) + varint_bytes(slot.failures))
        .sum();
    let bytes = 9 + 9 + 9 + routes.sum::<usize>() + engines;
    assert!(bytes <= 200, "{bytes} bytes a report");
}
