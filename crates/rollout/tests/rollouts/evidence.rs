//! The sequential tests, the stop without a test, and the acceptance test.

use crate::counts::answer;
use fastrand::Rng;
use ploverlift_policy::ids::Millis;
use ploverlift_rollout::acceptance::{is_accepted, is_first_byte_timely, Assurance};
use ploverlift_rollout::counts::{Answer, Counts, RouteTag, Side};
use ploverlift_rollout::detector::{threshold, ChangeDetector};
use ploverlift_rollout::evidence::{Evidence, Finding, Symptom, FALSE_ROLL_BACK_CHANCE, STEP_MS};
use ploverlift_rollout::excess::{many_bad_answers, MANY_BAD_ANSWERS};

const DURATION_MS: u64 = 12_000;
const STEPS: u64 = DURATION_MS / STEP_MS;

/// Simulated traffic: numbers and quality of the answers of each step.
struct Traffic {
    target_a_step: u64,
    established_a_step: u64,
    own_failures: f64,
    fails: f64,
    slower: f64,
    engines: u64,
    bad_from_step: u64,
    bad_route: Option<&'static str>,
    bad_engine: Option<u64>,
}

impl Default for Traffic {
    fn default() -> Self {
        Self {
            target_a_step: 8,
            established_a_step: 100,
            own_failures: 0.003,
            fails: 0.0,
            slower: 1.0,
            engines: 3,
            bad_from_step: 0,
            bad_route: None,
            bad_engine: None,
        }
    }
}

/// Runs the traffic; returns the step at which the version was found bad, with the
/// finding.
fn found(traffic: &Traffic, seed: u64) -> Option<(u64, Finding)> {
    let mut rng = Rng::with_seed(seed);
    let mut counts = Counts::default();
    let mut evidence = Evidence::for_duration(DURATION_MS);
    for step in 0..STEPS {
        for _ in 0..traffic.established_a_step {
            let (route, answer) = good(&mut rng, traffic);
            counts.note_answer(RouteTag::of(route), Side::Established, &answer);
        }
        for _ in 0..traffic.target_a_step {
            let (route, mut answer) = good(&mut rng, traffic);
            let is_bad = step >= traffic.bad_from_step
                && traffic.bad_route.is_none_or(|bad| bad == route)
                && traffic.bad_engine.is_none_or(|bad| bad == answer.engine);
            if is_bad {
                answer.has_failed |= rng.f64() < traffic.fails;
                let later = |ms: u64| (ms as f64 * traffic.slower) as u64;
                answer.first_byte_ms = answer.first_byte_ms.map(later);
            }
            counts.note_answer(RouteTag::of(route), Side::Target, &answer);
        }
        let now = Millis(1_000 + step * STEP_MS);
        if let Some(finding) = evidence.update(&counts, false, now) {
            return Some((step, finding));
        }
    }
    None
}

fn good(rng: &mut Rng, traffic: &Traffic) -> (&'static str, Answer) {
    let route = ["screen", "reply"][rng.usize(0..2)];
    let median = if route == "screen" { 150.0 } else { 60.0 };
    let spread = (0..4).map(|_| rng.f64() - 0.5).sum::<f64>() * 0.9;
    let answer = Answer {
        engine: rng.u64(0..traffic.engines),
        has_failed: rng.f64() < traffic.own_failures,
        first_byte_ms: Some((median * spread.exp()) as u64),
    };
    (route, answer)
}

fn found_in_each(traffic: &Traffic) -> Vec<(u64, Finding)> {
    let found = (0..40).map(|seed| found(traffic, seed));
    found.map(|it| it.expect("found by the deadline")).collect()
}

#[test]
fn failures_of_a_part_of_the_answers_are_detected() {
    for fails in [0.2, 0.6] {
        for (_, finding) in found_in_each(&Traffic {
            fails,
            ..Traffic::default()
        }) {
            assert_eq!(finding.symptom, Symptom::Failures);
            assert!(finding.evidence >= finding.threshold);
            assert!(finding.bad > 0 && finding.bad <= finding.answers);
        }
    }
}

#[test]
fn answers_several_times_slower_are_detected() {
    for slower in [4.0, 8.0] {
        for (_, finding) in found_in_each(&Traffic {
            slower,
            ..Traffic::default()
        }) {
            assert_eq!(finding.symptom, Symptom::SlowFirstByte);
        }
    }
}

#[test]
fn a_version_that_turns_bad_late_is_detected_as_fast() {
    let mean = |bad_from_step| {
        let traffic = Traffic {
            fails: 0.1,
            target_a_step: 30,
            bad_from_step,
            ..Traffic::default()
        };
        let found = found_in_each(&traffic);
        found.iter().map(|(step, _)| *step as f64).sum::<f64>() / found.len() as f64
    };
    let (at_once, late) = (mean(0), mean(40) - 40.0);
    assert!(
        late <= at_once + 3.0,
        "{late} steps after it turned, {at_once} at once"
    );
}

#[test]
fn answers_twice_as_slow_are_detected() {
    let traffic = Traffic {
        slower: 2.0,
        ..Traffic::default()
    };
    for (step, finding) in found_in_each(&traffic) {
        assert_eq!(finding.symptom, Symptom::SlowFirstByte);
        assert!(step * STEP_MS <= 8_000, "{step} steps");
    }
}

/// Runs traffic of which one answer in twenty is on a rare route, too few to show in the
/// test of all routes together.
fn found_on_rare_route(answer_of_rare: impl Fn(u64) -> Answer) -> Option<Finding> {
    let (rare, usual) = (RouteTag::of("rare"), RouteTag::of("usual"));
    let mut counts = Counts::default();
    let mut evidence = Evidence::for_duration(DURATION_MS);
    (0..STEPS).find_map(|step| {
        for number in 0..200 {
            let good = answer(false, 20 + (7 * number + step) % 60);
            let route = if number % 20 == 0 { rare } else { usual };
            counts.note_answer(route, Side::Established, &good);
            if number % 10 == 3 {
                counts.note_answer(usual, Side::Target, &good);
            }
        }
        counts.note_answer(rare, Side::Target, &answer_of_rare(step));
        evidence.update(&counts, false, Millis(1_000 + step * STEP_MS))
    })
}

#[test]
fn a_route_with_few_requests_is_judged_separately() {
    let failing = |engine| Answer {
        engine,
        ..answer(true, 0)
    };
    let failing = found_on_rare_route(failing).expect("found");
    assert_eq!(failing.route, Some(RouteTag::of("rare")));
    assert_eq!(failing.symptom, Symptom::Failures);
    let slow = found_on_rare_route(|step| answer(false, 400 + step)).expect("found");
    assert_eq!(slow.route, Some(RouteTag::of("rare")));
    assert_eq!(slow.symptom, Symptom::SlowFirstByte);
    assert_eq!(
        found_on_rare_route(|step| answer(false, 20 + step % 60)),
        None
    );
}

#[test]
fn a_version_that_is_bad_on_one_route_is_detected() {
    for (route, fails, slower) in [("screen", 0.5, 1.0), ("reply", 0.0, 5.0)] {
        let traffic = Traffic {
            bad_route: Some(route),
            fails,
            slower,
            ..Traffic::default()
        };
        found_in_each(&traffic);
    }
}

#[test]
fn fewer_than_one_in_a_thousand_good_versions_is_found_bad() {
    for own_failures in [0.0, 0.003, 0.02, 0.1] {
        let traffic = Traffic {
            own_failures,
            established_a_step: 30,
            ..Traffic::default()
        };
        let bad = (0..1_000).filter(|seed| found(&traffic, *seed).is_some());
        assert_eq!(
            bad.count(),
            0,
            "of 1,000 while {own_failures} fail by themselves"
        );
    }
}

#[test]
fn failures_common_to_both_versions_are_no_evidence() {
    let traffic = Traffic {
        own_failures: 0.3,
        ..Traffic::default()
    };
    assert!((0..200).all(|seed| found(&traffic, seed).is_none()));
}

#[test]
fn one_bad_engine_does_not_make_a_bad_version() {
    let traffic = Traffic {
        fails: 0.3,
        bad_engine: Some(1),
        target_a_step: 3,
        ..Traffic::default()
    };
    let early = (0..100).filter_map(|seed| found(&traffic, seed));
    let few = early.filter(|(_, finding)| finding.bad < 15);
    assert_eq!(few.count(), 0, "its health check is given time to eject it");
}

#[test]
fn many_bad_answers_stop_a_version_without_a_test() {
    let mut sums = Counts::default();
    for number in 0..1_000 {
        sums.note_answer(
            RouteTag::of("reply"),
            Side::Established,
            &answer(false, number % 90),
        );
    }
    let bad = |sums: &mut Counts, count| {
        (0..count).for_each(|_| {
            sums.note_answer(RouteTag::of("reply"), Side::Target, &answer(true, 0));
        });
    };
    bad(&mut sums, MANY_BAD_ANSWERS - 1);
    assert_eq!(many_bad_answers(&sums, false), None);
    bad(&mut sums, 3);
    let finding = many_bad_answers(&sums, false).expect("many");
    assert_eq!(finding.symptom, Symptom::ManyBadAnswers);
    // The few failures among many answers of a good version are no finding.
    let mut sums = Counts::default();
    for number in 0..10_000 {
        let answer = answer(number % 100 == 0, 20 + number % 40);
        sums.note_answer(RouteTag::of("reply"), Side::Established, &answer);
        sums.note_answer(RouteTag::of("reply"), Side::Target, &answer);
    }
    assert_eq!(many_bad_answers(&sums, false), None);
}

#[test]
fn the_chance_of_a_false_alarm_is_within_its_bound() {
    let limit = threshold(STEPS, 1, 0.01);
    let mut rng = Rng::with_seed(5);
    let mut errors = 0;
    for _ in 0..2_000 {
        let mut test = ChangeDetector::default();
        let mut is_error = false;
        for _ in 0..STEPS {
            let bad = (0..8).filter(|_| rng.f64() < 0.05).count() as u64;
            test.step(8, bad, 0.05, 1.0);
            is_error |= test.evidence() >= limit;
        }
        errors += u32::from(is_error);
    }
    assert!(errors <= 20, "{errors} of 2,000 at a chance of 0.01");
    let (stated, aim) = (FALSE_ROLL_BACK_CHANCE, 0.001);
    assert!(stated < aim);
}

#[test]
fn only_a_version_with_equally_early_first_bytes_is_timely() {
    let answered = |answers, slower: f64| {
        let mut rng = Rng::with_seed(3);
        let mut counts = Counts::default();
        for number in 0..20 * answers {
            let (route, answer) = good(&mut rng, &Traffic::default());
            counts.note_answer(RouteTag::of(route), Side::Established, &answer);
            if number % 20 == 0 {
                let (route, mut answer) = good(&mut rng, &Traffic::default());
                let later = |ms: u64| (ms as f64 * slower) as u64;
                answer.first_byte_ms = answer.first_byte_ms.map(later);
                counts.note_answer(RouteTag::of(route), Side::Target, &answer);
            }
        }
        counts
    };
    assert!(is_first_byte_timely(&answered(200, 1.0)));
    assert!(!is_first_byte_timely(&answered(20, 1.0)), "few answers");
    assert!(!is_first_byte_timely(&answered(200, 2.0)));
    assert!(!is_first_byte_timely(&answered(200, 4.0)));
}

#[test]
fn a_good_route_does_not_offset_a_bad_one() {
    let mut sums = Counts::default();
    let (good, bad) = (RouteTag::of("balance"), RouteTag::of("send"));
    for number in 0..1_000 {
        let answer = answer(number % 7 == 0, 20 + number % 30);
        sums.note_answer(good, Side::Established, &answer);
        sums.note_answer(good, Side::Target, &answer);
        sums.note_answer(bad, Side::Established, &self::answer(false, 20));
    }
    (0..30).for_each(|_| sums.note_answer(bad, Side::Target, &answer(true, 0)));
    assert!(many_bad_answers(&sums, true).is_some());
}

#[test]
fn acceptance_needs_answers_on_each_route_and_since_the_cut_over() {
    let answered = |good: u64, bad: u64, side| {
        let mut counts = Counts::default();
        for route in ["screen", "reply"] {
            let note = |counts: &mut Counts, answer: &Answer| {
                counts.note_answer(RouteTag::of(route), side, answer);
            };
            (0..good).for_each(|number| note(&mut counts, &answer(false, number % 90)));
            (0..bad).for_each(|_| note(&mut counts, &answer(true, 0)));
        }
        counts
    };
    let sums = |good, bad| {
        let mut sums = answered(good, bad, Side::Target);
        sums.add(&answered(2_000, 2, Side::Established));
        sums
    };
    let since = answered(400, 0, Side::Target);
    let none = Counts::default();
    assert!(is_accepted(&sums(400, 0), &since, Assurance::Full));
    assert!(
        !is_accepted(&sums(400, 20), &since, Assurance::Full),
        "5 in 100 fail"
    );
    assert!(
        !is_accepted(&sums(400, 0), &none, Assurance::Full),
        "no answers since the cut-over"
    );
    assert!(
        !is_accepted(&sums(60, 0), &since, Assurance::Full),
        "few answers"
    );
    assert!(is_accepted(
        &sums(60, 0),
        &answered(40, 0, Side::Target),
        Assurance::Reduced
    ));
}
