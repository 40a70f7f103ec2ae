//! Input of one decision of the decider.

use crate::counts::answer;
use crate::stages::{order, progress, version};
use ploverlift_balancing::peer_loads::PeerId;
use ploverlift_policy::ids::Millis;
use ploverlift_rollout::counts::{CountReport, Counts, FleetCounts, RouteTag, Side};
use ploverlift_rollout::decider::{Decider, DeciderInput, Decision, Member, VersionSupply};
use ploverlift_rollout::order::RolloutOrder;
use ploverlift_rollout::settings::{RolloutSettings, Strategy};
use ploverlift_rollout::share::Confirmation;
use ploverlift_rollout::stage::{Epoch, RollBackCause, RolloutNumber, Stage};

pub const ORDERED_AT: u64 = 100_000;
pub const DURATION_MS: u64 = 12_000;
pub const CANARY: Stage = Stage::Canary { share_ppm: 30_000 };

/// Input of one decision; each test changes the fields that it is about.
pub struct Case {
    pub settings: RolloutSettings,
    pub order: RolloutOrder,
    pub since_order_ms: u64,
    pub status_age_ms: u64,
    pub counts: FleetCounts,
    pub members: Vec<Member>,
    pub target_engines: u32,
    pub established_engines: u32,
    pub barrier_ms: u64,
}

impl Case {
    pub fn at(stage: Stage, since_order_ms: u64) -> Self {
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

    pub fn decide_with(&self, decider: &mut Decider) -> Decision {
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
            last_heard_at: member.last_heard_at.map(|age| Millis(now - age.0)),
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

    pub fn decide(&self) -> Decision {
        self.decide_with(&mut Decider::new(self.settings))
    }

    /// The next stage to be stored, if any.
    pub fn next(&self) -> Option<Stage> {
        self.decide().next.map(|progress| progress.stage)
    }
}

/// A member whose `last_heard_at` is an age, which [`Case::decide_with`] converts to a
/// time.
pub fn member(node: u64) -> Member {
    Member {
        node: PeerId(node),
        last_heard_at: Some(Millis(100)),
        confirmation: Some(Confirmation {
            rollout: RolloutNumber(10),
            epoch: Epoch(12),
            has_left_established: true,
            running_on_established: 0,
            has_stopped: false,
        }),
    }
}

pub fn answered(good: u64, bad: u64) -> FleetCounts {
    answered_of(20 * good, good, bad)
}

pub fn answered_of(requests: u64, good: u64, bad: u64) -> FleetCounts {
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
    fleet.merge_report(&CountReport {
        rollout: RolloutNumber(10),
        node: PeerId(1),
        life: 1,
        counts,
    });
    fleet
}

pub fn expected_roll_back(cause: RollBackCause) -> Option<Stage> {
    Some(Stage::RolledBack { cause })
}

/// A 240 s order of which 600 of 24,000 requests went to the target.
pub fn long_case(strategy: Strategy) -> Case {
    let mut case = Case::at(CANARY, 220_000);
    case.order = order("v2", 240_000, 30);
    case.order.status = Some(progress(CANARY, 240_000).status(&case.order));
    case.settings.strategy = strategy;
    case.counts = answered_of(24_000, 600, 0);
    case
}
