//! A lease under random schedules: nodes pause and restart, the answers to writes are lost,
//! writes are not applied or applied late, and the store loses recent writes.

use crate::world::{Action, Violations, World, Write};
use proptest::prelude::*;

const NODES: usize = 3;

fn write() -> impl Strategy<Value = Write> {
    prop_oneof![
        4 => Just(Write::Answered),
        1 => Just(Write::AnswerLost),
        1 => Just(Write::NotApplied),
        1 => (100u64..6_000).prop_map(Write::AppliedAfter),
    ]
}

/// Actions while the store loses no writes.
fn action() -> impl Strategy<Value = Action> {
    prop_oneof![
        6 => write().prop_map(Action::RenewOrTake),
        2 => Just(Action::Read),
        6 => Just(Action::Order),
        1 => Just(Action::RefuseToken),
        1 => Just(Action::Restart),
        2 => Just(Action::ReceiveAnnouncement),
    ]
}

/// Actions that include restorations of the store and the loss of the lease.
fn lossy_action() -> impl Strategy<Value = Action> {
    prop_oneof![
        12 => action(),
        1 => Just(Action::CopyStore),
        1 => Just(Action::RestoreStore),
        1 => Just(Action::LoseLease),
    ]
}

/// Pauses in milliseconds, some of them near the durations of the lease.
fn pause() -> impl Strategy<Value = u64> {
    prop_oneof![
        4 => 0u64..300,
        2 => 300u64..1_100,
        1 => 1_900u64..2_200,
        1 => 3_000u64..4_300,
    ]
}

/// A step of a schedule: the pause before it, the node and the action.
type Step = (u64, usize, Action);

fn schedule(action: impl Strategy<Value = Action>) -> impl Strategy<Value = Vec<Step>> {
    prop::collection::vec((pause(), 0..NODES, action), 1..120)
}

fn run_schedule(reports_era: bool, schedule: Vec<Step>) -> World {
    let mut world = World::new(NODES, reports_era);
    for (pause, node, action) in schedule {
        world.now = world.now.plus(pause);
        world.act(node, action);
    }
    world
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 2_000, ..ProptestConfig::default() })]

    #[test]
    fn no_schedule_violates_the_lease_rules(schedule in schedule(action())) {
        let world = run_schedule(true, schedule);
        prop_assert_eq!(world.violations(), Violations::default(), "{:?}", world.orders);
    }

    #[test]
    fn no_schedule_violates_the_lease_rules_without_store_eras(schedule in schedule(action())) {
        let world = run_schedule(false, schedule);
        prop_assert_eq!(world.violations(), Violations::default(), "{:?}", world.orders);
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 10_000, ..ProptestConfig::default() })]

    /// Guards against two nodes giving orders under one token, or in alternation, after the
    /// store has lost the lease of the first.
    #[test]
    fn no_schedule_violates_the_lease_rules_when_the_store_loses_writes(
        schedule in schedule(lossy_action()),
    ) {
        let world = run_schedule(true, schedule);
        prop_assert_eq!(world.violations(), Violations::default(), "{:?}", world.orders);
    }

    /// As above, but no answer reveals that the store has lost writes. Only the uniqueness of
    /// tokens is guaranteed in this case.
    #[test]
    fn no_schedule_shares_a_token_when_the_store_loses_writes_silently(
        schedule in schedule(lossy_action()),
    ) {
        let world = run_schedule(false, schedule);
        prop_assert_eq!(world.violations().shared_tokens, 0, "{:?}", world.orders);
    }
}
