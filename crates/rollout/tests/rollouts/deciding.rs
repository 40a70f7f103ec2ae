//! The decider, sentence by sentence.

use crate::counts::answer;
use crate::stages::{order, progress};
use ploverlift_balancing::peer_loads::PeerId;
use ploverlift_policy::ids::Millis;
use ploverlift_rollout::counts::{CountReport, Counts, FleetCounts, RouteTag, Side};
use ploverlift_rollout::decider::{Decider, DeciderInput, Decision, Member, Reason, VersionSupply};
use ploverlift_rollout::order::{RolloutOrder, RolloutState, RolloutStatus};
use ploverlift_rollout::schedule::{can_end_in_time, first_share_ppm, Exposure, RequestRate};
use ploverlift_rollout::settings::{RolloutSettings, Strategy};
use ploverlift_rollout::share::Confirmation;
use ploverlift_rollout::stage::{Epoch, Progress, RollBackCause, RolloutNumber, Stage};
use ploverlift_routing::software::SoftwareVersion;

const ORDERED_AT: u64 = 100_000;
const DURATION_MS: u64 = 12_000;
const CANARY: Stage = Stage::Canary { share_ppm: 30_000 };

fn version(name: &str) -> SoftwareVersion {
    SoftwareVersion(name.to_owned())
}

/// What one decision is made by; each test changes what it is about.
struct Case {
    settings: RolloutSettings,
    order: RolloutOrder,
    since_order_ms: u64,
    status_age_ms: u64,
    counts: FleetCounts,
    members: Vec<Member>,
    target_engines: u32,
    established_engines: u32,
    barrier_ms: u64,
}

impl Case {
    fn at(stage: Stage, since_order_ms: u64) -> Self {
        let mut order = order("v2", DURATION_MS, 30);
        order.status = Some(progress(stage, DURATION_MS).status(&order));
        Self {
            settings: RolloutSettings::default(),
            order,
            since_order_ms,
            status_age_ms: since_order_ms.min(3_500),
            counts: answered(200, 0),
            members: vec![member(1), member(2)],
            target_engines: 4,
            established_engines: 4,
            barrier_ms: 700,
        }
    }

    fn decide_with(&self, decider: &mut Decider) -> Decision {
        let engines = [
            VersionSupply {
                version: version("v1"),
                engines: self.established_engines,
            },
            VersionSupply {
                version: version("v2"),
                engines: self.target_engines,
            },
        ];
        let now = ORDERED_AT + self.since_order_ms;
        let heard_now = |member: &Member| Member {
            heard_at: member.heard_at.map(|age| Millis(now - age.0)),
            ..*member
        };
        let members: Vec<_> = self.members.iter().map(heard_now).collect();
        let input = DeciderInput {
            now: Millis(now),
            order: &self.order,
            order_seen_at: Millis(ORDERED_AT),
            status_seen_at: Millis(now - self.status_age_ms),
            counts: &self.counts,
            members: &members,
            engines: &engines,
            barrier_ms: self.barrier_ms,
        };
        decider.decide(&input).expect("a status of this release")
    }

    fn decide(&self) -> Decision {
        self.decide_with(&mut Decider::new(self.settings))
    }

    /// The stage to be stored next.
    fn next(&self) -> Option<Stage> {
        self.decide().next.map(|progress| progress.stage)
    }
}

/// A member whose `heard_at` is its age.
fn member(node: u64) -> Member {
    Member {
        node: PeerId(node),
        heard_at: Some(Millis(100)),
        confirmation: Some(Confirmation {
            rollout: RolloutNumber(10),
            epoch: Epoch(12),
            has_left_established: true,
            running_on_established: 0,
            has_stopped: false,
        }),
    }
}

fn answered(good: u64, bad: u64) -> FleetCounts {
    answered_of(20 * good, good, bad)
}

fn answered_of(requests: u64, good: u64, bad: u64) -> FleetCounts {
    let route = RouteTag::of("read");
    let mut counts = Counts::default();
    for number in 0..requests {
        counts.note_request(route, true);
        counts.note_answer(
            route,
            Side::Established,
            &answer(number % 500 == 0, 20 + number % 30),
        );
    }
    for number in 0..good + bad {
        counts.note_target_arrival(route);
        counts.note_answer(
            route,
            Side::Target,
            &answer(number >= good, 20 + number % 30),
        );
    }
    let mut fleet = FleetCounts::of(RolloutNumber(10));
    fleet.take(&CountReport {
        rollout: RolloutNumber(10),
        node: PeerId(1),
        life: 1,
        counts,
    });
    fleet
}

fn back(cause: RollBackCause) -> Option<Stage> {
    Some(Stage::RolledBack { cause })
}

#[test]
fn a_new_order_begins_with_a_canary_of_a_later_rollout_and_epoch() {
    let mut case = Case::at(CANARY, 0);
    case.order.status = None;
    let first = case.decide().next.expect("a canary");
    assert_eq!(first.stage, Stage::Canary { share_ppm: 50_000 });
    assert_eq!(first.rollout, RolloutNumber(30), "the order's revision");
    assert_eq!(first.established, [version("v1")]);
    let older = Progress {
        rollout: RolloutNumber(50),
        epoch: Epoch(60),
        ..first
    };
    case.order = order("v3", DURATION_MS, 40);
    case.order.status = Some(RolloutStatus {
        target: version("v2"),
        ..older.status(&case.order)
    });
    let second = case.decide().next.expect("a canary");
    assert_eq!(second.rollout, RolloutNumber(51));
    assert_eq!(second.epoch, Epoch(61));
    assert_eq!(second.avoided, [version("v2")], "left without proof");
}

#[test]
fn the_old_version_ordered_back_serves_alone_at_once() {
    let mut case = Case::at(CANARY, 100);
    case.order.target = version("v1");
    let decision = case.decide();
    assert_eq!(decision.reason, Reason::OrderedBack);
    let next = decision.next.expect("a cut-over");
    assert_eq!(next.stage, Stage::CuttingOver);
    assert_eq!(next.avoided, [version("v2")]);
}

#[test]
fn an_order_for_the_version_that_serves_alone_holds_nothing_back() {
    let mut case = Case::at(CANARY, 0);
    case.order.status = None;
    case.established_engines = 0;
    let next = case.decide().next.expect("a cut-over");
    assert_eq!(next.stage, Stage::CuttingOver);
    // Ordered again once it was completed, with another duration.
    let mut again = Case::at(Stage::Completed, 13_000);
    again.order.duration_ms = 2 * DURATION_MS;
    again.established_engines = 0;
    let next = again.decide().next.expect("a cut-over");
    assert_eq!(next.stage, Stage::CuttingOver);
}

#[test]
fn ends_stay_ends() {
    for stage in [
        Stage::Completed,
        Stage::RolledBack {
            cause: RollBackCause::NoEngines,
        },
    ] {
        let mut case = Case::at(stage, 13_000);
        case.counts = answered(0, 100);
        let decision = case.decide();
        assert_eq!((decision.next, decision.reason), (None, Reason::Ended));
    }
}

#[test]
fn an_order_that_does_not_fit_is_rolled_back() {
    let mut case = Case::at(CANARY, 0);
    case.order = order("v2", 0, 30);
    assert_eq!(case.next(), back(RollBackCause::OrderDoesNotFit));
    case.order = order("", DURATION_MS, 30);
    assert_eq!(case.next(), back(RollBackCause::OrderDoesNotFit));
}

#[test]
fn engines_that_never_come_end_it_at_the_deadline() {
    let mut case = Case::at(CANARY, 11_900);
    case.target_engines = 0;
    assert!(matches!(
        case.decide().reason,
        Reason::AwaitingEngines { .. }
    ));
    case.since_order_ms = 12_000;
    assert_eq!(case.next(), back(RollBackCause::NoEngines));
}

#[test]
fn too_few_engines_hold_the_canary_and_end_it_when_patience_is_over() {
    let mut case = Case::at(CANARY, 12_000);
    case.target_engines = 2;
    assert_eq!(case.next(), None);
    case.since_order_ms = 36_000;
    assert_eq!(case.next(), back(RollBackCause::NoEngines));
}

#[test]
fn bad_answers_roll_it_back_at_any_stage() {
    for stage in [CANARY, Stage::CuttingOver] {
        let mut case = Case::at(stage, 2_000);
        case.counts = answered(60, 20);
        let decision = case.decide();
        assert!(
            matches!(decision.reason, Reason::Bad(_)),
            "{:?}",
            decision.reason
        );
        let next = decision.next.expect("an end");
        assert_eq!(Some(next.stage), back(RollBackCause::BadAnswers));
        assert_eq!(next.epoch, Epoch(13));
    }
}

#[test]
fn the_default_way_moves_nothing_before_the_deadline() {
    let mut case = Case::at(CANARY, 11_990);
    assert_eq!(case.decide().reason, Reason::AwaitingExposure);
    case.since_order_ms = 12_000;
    assert_eq!(case.next(), Some(Stage::CuttingOver));
}

#[test]
fn a_cut_over_waits_for_answers() {
    let mut case = Case::at(CANARY, 12_000);
    case.counts = answered(20, 0);
    assert_eq!(case.decide().reason, Reason::GatheringEvidence);
}

/// A long order of which 600 of 24,000 requests went to the target.
fn long_case(strategy: Strategy) -> Case {
    let mut case = Case::at(CANARY, 220_000);
    case.order = order("v2", 240_000, 30);
    case.order.status = Some(progress(CANARY, 240_000).status(&case.order));
    case.settings.strategy = strategy;
    case.counts = answered_of(24_000, 600, 0);
    case
}

/// When the cut-over begins.
fn cut_over_at(mut case: Case) -> u64 {
    let mut decider = Decider::new(case.settings);
    while case.decide_with(&mut decider).next.is_none() {
        case.since_order_ms += 100;
        assert!(case.since_order_ms < 300_000, "never");
    }
    case.since_order_ms
}

#[test]
fn holding_cuts_over_only_when_the_bound_holds_whatever_happens() {
    // At 1.3 times 0.1 a millisecond, 13.6 s are within the bound.
    let at = cut_over_at(long_case(Strategy::Hold));
    assert!((226_000..=226_800).contains(&at), "{at} ms");
}

#[test]
fn holding_past_the_deadline_never_cuts_over_early() {
    let at = cut_over_at(long_case(Strategy::HoldPastDeadline));
    assert_eq!(at, 240_000);
}

#[test]
fn the_share_follows_from_whether_the_order_can_end_in_time() {
    let settings = RolloutSettings::default();
    assert!(!can_end_in_time(&settings, 12_000, 3_500));
    assert!(can_end_in_time(&settings, 60_000, 3_500));
    assert!(!can_end_in_time(&settings, 60_000, 6_000));
    assert_eq!(first_share_ppm(&settings, 12_000, 3_500), 50_000);
    assert_eq!(first_share_ppm(&settings, 60_000, 3_500), 20_000);
}

#[test]
fn a_version_without_proof_is_never_completed() {
    let mut case = Case::at(CANARY, 35_000);
    case.counts = answered(10, 0);
    assert_eq!(case.next(), None);
    case.since_order_ms = 36_000;
    assert_eq!(case.next(), back(RollBackCause::NoProof));
    let mut case = Case::at(Stage::CuttingOver, 36_000);
    case.counts = answered(10, 0);
    assert_eq!(case.next(), back(RollBackCause::NoProof));
    case.established_engines = 0;
    assert_eq!(case.next(), Some(Stage::Completed), "nothing to go back to");
}

#[test]
fn a_window_too_short_for_the_barrier_waits_for_the_deadline() {
    let mut case = long_case(Strategy::Hold);
    case.barrier_ms = 14_000;
    assert_eq!(cut_over_at(case), 240_000);
}

#[test]
fn a_suspicion_holds_the_canary_and_ends_it_at_the_deadline() {
    let mut case = Case::at(CANARY, 6_000);
    let mut is_suspicious = |bad| {
        case.counts = answered(200, bad);
        matches!(case.decide().reason, Reason::Suspicious(_))
    };
    let bad = (1..20).find(|bad| is_suspicious(*bad)).expect("some");
    case.counts = answered(200, bad);
    assert_eq!(case.next(), None);
    case.since_order_ms = 12_000;
    assert_eq!(case.next(), back(RollBackCause::BadAnswers));
    case.counts = answered(200, 0);
    assert_eq!(case.next(), Some(Stage::CuttingOver));
}

#[test]
fn a_cut_over_that_runs_ahead_of_the_bound_is_taken_back() {
    let mut case = Case::at(Stage::CuttingOver, 10_000);
    case.settings.strategy = Strategy::Hold;
    let decision = case.decide();
    assert_eq!(decision.reason, Reason::ExposureAhead);
    let next = decision.next.map(|it| it.stage);
    assert!(matches!(next, Some(Stage::Canary { .. })), "{next:?}");
}

#[test]
fn completed_needs_every_node() {
    let mut case = Case::at(Stage::CuttingOver, 16_000);
    let completed = |case: &Case| {
        // The target must have answered since this decider saw the cut-over.
        let mut decider = Decider::new(case.settings);
        assert_ne!(
            case.decide_with(&mut decider).next.map(|it| it.stage),
            Some(Stage::Completed)
        );
        let later = Case {
            counts: answered(600, 0),
            members: case.members.clone(),
            order: case.order.clone(),
            since_order_ms: case.since_order_ms + 100,
            ..*case
        };
        later.decide_with(&mut decider).next.map(|it| it.stage) == Some(Stage::Completed)
    };
    assert!(completed(&case));
    let confirmation = member(2).confirmation.expect("one");
    let waits = [
        Confirmation {
            has_left_established: false,
            ..confirmation
        },
        Confirmation {
            running_on_established: 1,
            ..confirmation
        },
        Confirmation {
            epoch: Epoch(11),
            ..confirmation
        },
        Confirmation {
            rollout: RolloutNumber(9),
            ..confirmation
        },
    ];
    for confirmation in waits {
        case.members[1].confirmation = Some(confirmation);
        assert!(!completed(&case), "{confirmation:?}");
    }
    case.members[1].confirmation = None;
    assert!(!completed(&case), "said nothing");
    case.members[1].heard_at = Some(Millis(6_000));
    assert!(
        !completed(&case),
        "silent for long, but not since the cut-over"
    );
    case.status_age_ms = 5_001;
    assert!(
        completed(&case),
        "silent since the cut-over for the bound on revoked keys"
    );
}

#[test]
fn a_version_is_watched_at_full_load_before_its_completion() {
    let mut case = Case::at(Stage::CuttingOver, 16_000);
    case.status_age_ms = 2_000;
    let mut decider = Decider::new(case.settings);
    case.decide_with(&mut decider);
    case.counts = answered(600, 0);
    case.since_order_ms += 100;
    assert_eq!(
        case.decide_with(&mut decider).reason,
        Reason::GatheringEvidence
    );
}

#[test]
fn nodes_that_stopped_by_themselves_roll_it_back() {
    let mut case = Case::at(CANARY, 3_000);
    let stopped = |node| {
        let confirmation = member(node).confirmation.map(|it| Confirmation {
            has_stopped: true,
            ..it
        });
        Member {
            confirmation,
            ..member(node)
        }
    };
    case.members = vec![
        stopped(1),
        stopped(2),
        member(3),
        member(4),
        member(5),
        member(6),
    ];
    assert_eq!(case.next(), None, "two nodes may have bad links");
    case.members[2] = stopped(3);
    assert_eq!(case.next(), back(RollBackCause::BadAnswers));
}

#[test]
fn a_target_that_lost_its_engines_in_the_cut_over_gives_way() {
    let mut case = Case::at(Stage::CuttingOver, 12_500);
    case.target_engines = 0;
    let mut decider = Decider::new(case.settings);
    assert_eq!(case.decide_with(&mut decider).next, None);
    case.since_order_ms += 1_000;
    let next = case.decide_with(&mut decider).next.map(|it| it.stage);
    assert_eq!(next, back(RollBackCause::NoEngines));
}

#[test]
fn a_successor_goes_on_from_what_is_stored() {
    let mut case = Case::at(CANARY, 6_000);
    let stored = Progress {
        elapsed_ms: 11_000,
        requests: 4_000,
        target_arrivals: 150,
        ..progress(CANARY, DURATION_MS)
    };
    case.order.status = Some(stored.status(&case.order));
    case.status_age_ms = 1_000;
    let next = case
        .decide()
        .next
        .expect("the deadline has passed by the stored time");
    assert_eq!(next.stage, Stage::CuttingOver);
    assert_eq!(next.elapsed_ms, 12_000);
    assert!(next.requests >= 4_000 && next.target_arrivals >= 150);
}

#[test]
fn huge_numbers_do_no_harm() {
    let mut case = Case::at(CANARY, 3_000);
    case.order = order("v2", u64::MAX, u64::MAX);
    let stored = Progress {
        rollout: RolloutNumber(u64::MAX),
        epoch: Epoch(u64::MAX),
        elapsed_ms: u64::MAX,
        requests: u64::MAX,
        target_arrivals: u64::MAX,
        credits: u64::MAX,
        ..progress(CANARY, u64::MAX)
    };
    case.order.status = Some(stored.status(&case.order));
    case.decide();
    case.order.target = version("v3");
    assert!(case.decide().next.is_some());
}

#[test]
fn states_match_what_the_operator_reads() {
    let cause = RollBackCause::BadAnswers;
    assert_eq!(CANARY.state(), RolloutState::Running);
    assert_eq!(Stage::CuttingOver.state(), RolloutState::Running);
    assert_eq!(Stage::Completed.state(), RolloutState::Completed);
    assert_eq!(
        Stage::RolledBack { cause }.state(),
        RolloutState::RolledBack
    );
}

#[test]
fn the_bound_counts_what_is_still_to_come() {
    let settings = RolloutSettings::default();
    let exposure = |remaining_ms| Exposure {
        target_arrivals: 100,
        requests: 4_000,
        rate_per_ms: 0.5,
        remaining_ms,
    };
    assert!(exposure(0).may_move_all(&settings));
    assert!(exposure(200).may_move_all(&settings));
    assert!(!exposure(2_000).may_move_all(&settings));
    assert!(exposure(2_000).must_stop(&settings));
    assert!(!exposure(0).must_stop(&settings));
}

#[test]
fn a_rate_is_not_known_at_once() {
    let mut rate = RequestRate::default();
    rate.note(0, Millis(1_000));
    rate.note(100, Millis(1_200));
    assert_eq!(rate.per_ms(), None);
    rate.note(500, Millis(2_000));
    assert_eq!(rate.per_ms(), Some(0.5));
}
