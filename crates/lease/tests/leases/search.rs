//! Every schedule of a bounded length, beside the random ones.

use crate::world::{Action, Breaches, World, Write, TIMING};

/// Steps of a schedule after the first node has taken the lease.
const DEPTH: usize = 5;
/// Time before each step, in milliseconds: within a renewal, beyond the holder's right to
/// act, and beyond the lease.
const PAUSES: [u64; 3] = [100, TIMING.stop_acting_after_ms, TIMING.duration_ms];

/// What may happen in each step. After it both nodes give an order, if they may.
const STEPS: [(usize, Action); 9] = [
    (0, Action::Keep(Write::Answered)),
    (1, Action::Keep(Write::Answered)),
    (0, Action::Keep(Write::AnswerLost)),
    (1, Action::Keep(Write::DoneAfter(1_200))),
    (0, Action::Keep(Write::DoneAfter(1_200))),
    (1, Action::Look),
    (0, Action::Copy),
    (0, Action::Restore),
    (0, Action::LoseLease),
];

/// What a search has seen.
#[derive(Debug, Default)]
struct Found {
    schedules: usize,
    turns: usize,
    broken: Option<World>,
}

/// Node 0 has the lease; node 1 has seen what was there before.
fn begun(tells_era: bool) -> World {
    let mut world = World::new(2, tells_era);
    world.act(0, Action::Look);
    world.act(1, Action::Look);
    world.act(0, Action::Copy);
    world.now = world.now.plus(TIMING.duration_ms);
    world.act(0, Action::Keep(Write::Answered));
    world.act(0, Action::Order);
    world
}

fn search(world: &World, depth: usize, is_sound: fn(&Breaches) -> bool, found: &mut Found) {
    if !is_sound(&world.breaches()) {
        found.broken.get_or_insert_with(|| world.clone());
        return;
    }
    if depth == 0 {
        found.schedules += 1;
        let orders = world.orders.windows(2);
        let turns = orders.filter(|pair| pair[0].node != pair[1].node);
        found.turns += turns.count();
        return;
    }
    for pause in PAUSES {
        for (node, action) in STEPS {
            let mut next = world.clone();
            next.now = next.now.plus(pause);
            next.act(node, action);
            next.act(0, Action::Order);
            next.act(1, Action::Order);
            search(&next, depth - 1, is_sound, found);
        }
    }
}

fn search_from(tells_era: bool, depth: usize, is_sound: fn(&Breaches) -> bool) -> Found {
    let mut found = Found::default();
    search(&begun(tells_era), depth, is_sound, &mut found);
    found
}

/// Two nodes gave orders under one token, or in turns, after the store had forgotten the
/// lease of the first.
#[test]
fn no_short_schedule_has_orders_of_two_machines_near_each_other() {
    let found = search_from(true, DEPTH, |breaches| *breaches == Breaches::default());
    assert!(
        found.broken.is_none(),
        "{:?}",
        found.broken.map(|world| world.orders)
    );
    assert_eq!(
        found.schedules,
        (PAUSES.len() * STEPS.len()).pow(DEPTH as u32)
    );
    assert!(found.turns > 0, "no schedule hands the lease over");
}

/// The same where no answer tells that the store has forgotten.
#[test]
fn no_short_schedule_shares_a_token_where_the_store_forgets_in_silence() {
    let found = search_from(false, DEPTH - 1, |breaches| breaches.shared_tokens == 0);
    assert!(
        found.broken.is_none(),
        "{:?}",
        found.broken.map(|world| world.orders)
    );
    assert!(found.turns > 0, "no schedule hands the lease over");
}
