//! Exhaustive search of all schedules of a bounded length.

use crate::world::{Action, Violations, World, Write, TIMING};

/// Steps of a schedule after node 0 has taken the lease.
const DEPTH: usize = 5;
/// Time before each step, in milliseconds: less than the renewal interval, the end of the
/// holder's right to act, and the lease duration.
const PAUSES: [u64; 3] = [100, TIMING.stop_acting_after_ms, TIMING.duration_ms];

/// The actions that are tried in each step. After each, both nodes give an order if allowed.
const STEPS: [(usize, Action); 9] = [
    (0, Action::RenewOrTake(Write::Answered)),
    (1, Action::RenewOrTake(Write::Answered)),
    (0, Action::RenewOrTake(Write::AnswerLost)),
    (1, Action::RenewOrTake(Write::AppliedAfter(1_200))),
    (0, Action::RenewOrTake(Write::AppliedAfter(1_200))),
    (1, Action::Read),
    (0, Action::CopyStore),
    (0, Action::RestoreStore),
    (0, Action::LoseLease),
];

/// The result of a search.
#[derive(Debug, Default)]
struct Found {
    schedules: usize,
    handovers: usize,
    violating: Option<World>,
}

/// A world in which node 0 holds the lease and node 1 last read the store before that.
fn world_with_holder(reports_era: bool) -> World {
    let mut world = World::new(2, reports_era);
    world.act(0, Action::Read);
    world.act(1, Action::Read);
    world.act(0, Action::CopyStore);
    world.now = world.now.plus(TIMING.duration_ms);
    world.act(0, Action::RenewOrTake(Write::Answered));
    world.act(0, Action::Order);
    world
}

fn search(world: &World, depth: usize, is_valid: fn(&Violations) -> bool, found: &mut Found) {
    if !is_valid(&world.violations()) {
        found.violating.get_or_insert_with(|| world.clone());
        return;
    }
    if depth == 0 {
        found.schedules += 1;
        let orders = world.orders.windows(2);
        let handovers = orders.filter(|pair| pair[0].node != pair[1].node);
        found.handovers += handovers.count();
        return;
    }
    for pause in PAUSES {
        for (node, action) in STEPS {
            let mut next = world.clone();
            next.now = next.now.plus(pause);
            next.act(node, action);
            next.act(0, Action::Order);
            next.act(1, Action::Order);
            search(&next, depth - 1, is_valid, found);
        }
    }
}

fn search_from(reports_era: bool, depth: usize, is_valid: fn(&Violations) -> bool) -> Found {
    let mut found = Found::default();
    search(&world_with_holder(reports_era), depth, is_valid, &mut found);
    found
}

/// Guards against two nodes giving orders under one token, or in alternation, after the store
/// has lost the lease of the first.
#[test]
fn no_short_schedule_violates_the_lease_rules() {
    let found = search_from(true, DEPTH, |observed| *observed == Violations::default());
    assert!(
        found.violating.is_none(),
        "{:?}",
        found.violating.map(|world| world.orders)
    );
    assert_eq!(
        found.schedules,
        (PAUSES.len() * STEPS.len()).pow(DEPTH as u32)
    );
    assert!(found.handovers > 0, "no schedule hands the lease over");
}

/// As above, but no answer reveals that the store has lost writes.
#[test]
fn no_short_schedule_shares_a_token_when_the_store_loses_writes_silently() {
    let found = search_from(false, DEPTH - 1, |observed| observed.shared_tokens == 0);
    assert!(
        found.violating.is_none(),
        "{:?}",
        found.violating.map(|world| world.orders)
    );
    assert!(found.handovers > 0, "no schedule hands the lease over");
}
