//! The share of the requests that is refused while engines are overloaded.

use ploverlift_balancing::overload::{Overload, OverloadLimits, SlotOccupancy, Urgency};
use ploverlift_policy::ids::Millis;

const LIMITS: OverloadLimits = OverloadLimits {
    bearable_objectives: 0.5,
    most_refused: 0.5,
};
const NOW: Millis = Millis(10_000);

fn after_waits(waited_ms: f64, count: usize) -> Overload {
    let mut overload = Overload::default();
    for _ in 0..count {
        overload.observe(waited_ms, 400, NOW);
    }
    overload
}

#[test]
fn nothing_is_refused_while_requests_wait_less_than_is_bearable() {
    for overload in [Overload::default(), after_waits(190.0, 100)] {
        assert_eq!(overload.refused_share(Urgency::Least, &LIMITS, NOW), 0.0);
    }
}

#[test]
fn one_slow_answer_causes_no_refusals() {
    let overload = after_waits(900.0, 1);
    assert_eq!(overload.refused_share(Urgency::Least, &LIMITS, NOW), 0.0);
}

#[test]
fn the_least_urgent_go_first_and_no_rank_is_refused_altogether() {
    let overload = after_waits(4_000.0, 100);
    let least = overload.refused_share(Urgency::Least, &LIMITS, NOW);
    let higher = overload.refused_share(Urgency::Higher, &LIMITS, NOW);
    assert_eq!(least, LIMITS.most_refused);
    assert!(higher > 0.0 && higher < least);
}

#[test]
fn the_measured_wait_decays_while_there_are_no_answers() {
    let overload = after_waits(800.0, 100);
    assert!(overload.refused_share(Urgency::Least, &LIMITS, NOW) > 0.0);
    let later = NOW.plus(2_000);
    assert_eq!(overload.refused_share(Urgency::Least, &LIMITS, later), 0.0);
}

#[test]
fn the_expected_drain_time_is_the_wait_beyond_the_bearable_part() {
    let overload = after_waits(1_000.0, 200);
    let drain_ms = overload.drained_after_ms(400, &LIMITS, NOW);
    assert!((795..=800).contains(&drain_ms), "{drain_ms}");
}

#[test]
fn slots_are_spare_while_less_than_half_of_them_are_occupied() {
    let occupancy = |requests| SlotOccupancy {
        requests,
        slots: 100,
    };
    assert!(occupancy(49).has_spare_slots());
    assert!(!occupancy(50).has_spare_slots());
}

#[test]
fn requests_that_still_wait_show_a_queue_before_any_answer_does() {
    let mut overload = Overload::default();
    let numbers: Vec<u64> = (0..8)
        .map(|number| overload.begin(50.0, 400, NOW.plus(number * 100)))
        .collect();
    let later = NOW.plus(800);
    assert!(overload.refused_share(Urgency::Least, &LIMITS, later) > 0.0);
    for number in numbers {
        overload.end(number);
    }
    assert_eq!(overload.refused_share(Urgency::Least, &LIMITS, later), 0.0);
}

#[test]
fn a_few_requests_at_a_lost_engine_show_no_queue() {
    let mut overload = Overload::default();
    for _ in 0..2 {
        overload.begin(0.0, 400, NOW);
    }
    for _ in 0..3 {
        overload.begin(0.0, 400, NOW.plus(1_950));
    }
    let later = NOW.plus(2_000);
    assert_eq!(overload.refused_share(Urgency::Least, &LIMITS, later), 0.0);
}

/// A quarter of the engines is lost while the number of long prompts doubles. Long
/// prompts of 9,000 tokens have the lowest urgency; short ones of 830 tokens arrive twice
/// as often. Long prompts make up five sixths of the demand, so refusing some of them
/// frees enough and no short prompt is refused.
#[test]
fn twice_as_many_long_prompts_on_three_quarters_of_the_engines_refuse_no_short_ones() {
    let mut overload = after_waits(360.0, 100);
    for _ in 0..50 {
        overload.record_demand(Urgency::Least, 9_000.0 / 40.0, 400, NOW);
        overload.record_demand(Urgency::Higher, 830.0 / 40.0, 400, NOW);
        overload.record_demand(Urgency::Higher, 830.0 / 40.0, 400, NOW);
    }
    let missing = 0.4;
    let least = overload.refused_share(Urgency::Least, &LIMITS, NOW);
    let freed = least * 9_000.0 / (9_000.0 + 2.0 * 830.0);
    assert!((freed - missing).abs() < 0.01, "{freed} is freed");
    assert_eq!(overload.refused_share(Urgency::Higher, &LIMITS, NOW), 0.0);
}

#[test]
fn urgent_requests_are_refused_for_what_the_least_urgent_cannot_free() {
    let mut overload = after_waits(380.0, 100);
    for _ in 0..50 {
        overload.record_demand(Urgency::Least, 20.0, 400, NOW);
        overload.record_demand(Urgency::Higher, 180.0, 400, NOW);
    }
    let least = overload.refused_share(Urgency::Least, &LIMITS, NOW);
    let higher = overload.refused_share(Urgency::Higher, &LIMITS, NOW);
    assert_eq!(least, LIMITS.most_refused);
    assert!(higher > 0.0 && higher <= least, "{higher} of {least}");
}

#[test]
fn the_recorded_demand_decays() {
    let mut overload = after_waits(360.0, 100);
    overload.record_demand(Urgency::Higher, 1_000.0, 400, NOW);
    let later = NOW.plus(20_000);
    overload.record_demand(Urgency::Least, 100.0, 400, later);
    for _ in 0..100 {
        overload.observe(300.0, 400, later);
    }
    assert!(overload.refused_share(Urgency::Least, &LIMITS, later) < 0.3);
}

/// Long prompts with an objective of 1.5 s wait in the same queues as short ones with an
/// objective of 0.5 s: a wait of 0.6 s is tolerable for the former and too long for the
/// latter.
#[test]
fn waiting_is_measured_by_the_objective_of_the_more_urgent() {
    let waited = |urgent_is_asked: bool| {
        let mut overload = Overload::default();
        if urgent_is_asked {
            overload.record_demand(Urgency::Higher, 20.0, 500, NOW);
        }
        for _ in 0..100 {
            overload.observe(600.0, 1_500, NOW);
        }
        overload.refused_share(Urgency::Least, &LIMITS, NOW)
    };
    assert_eq!(waited(false), 0.0);
    assert!(waited(true) > 0.4);
}
