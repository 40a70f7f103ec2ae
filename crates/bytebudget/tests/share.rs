//! Reservations from a share of the budget.

use ploverlift_bytebudget::limits::{BudgetLimits, ShareLimits};
use ploverlift_bytebudget::share::{Held, NoRoom, Share, SMALL_BYTES};
use proptest::prelude::*;
use smol::future::{poll_once, FutureExt};
use std::pin::Pin;
use std::sync::Arc;

const MEGABYTE: u64 = 1_048_576;

/// A share of ten megabytes, of which one is for small reservations.
fn share() -> Arc<Share> {
    Share::new(ShareLimits {
        bytes: 10 * MEGABYTE,
        reserved_for_small: MEGABYTE,
    })
}

/// The result of a reservation that does not wait; `None` if it would.
fn reserve_now(share: &Arc<Share>, bytes: u64) -> Option<Result<Held, NoRoom>> {
    smol::block_on(poll_once(share.reserve(bytes)))
}

/// A reservation for which there is room at once.
fn held_now(share: &Arc<Share>, bytes: u64) -> Held {
    let reserved = reserve_now(share, bytes).expect("no wait");
    reserved.expect("room")
}

// Guards against large bodies that keep small requests out.
#[test]
fn small_reservations_have_room_beside_large_ones_that_wait() {
    let share = share();
    let large = held_now(&share, 9 * MEGABYTE);
    let mut waiting = Box::pin(share.reserve(4 * MEGABYTE));
    assert!(smol::block_on(poll_once(&mut waiting)).is_none());
    let small = reserve_now(&share, SMALL_BYTES).expect("no wait");
    assert!(small.is_ok());
    drop(large);
    assert!(smol::block_on(waiting).is_ok());
}

// Guards against one large reservation that later, smaller ones overtake for ever.
#[test]
fn large_reservations_get_their_bytes_in_the_order_of_their_calls() {
    let share = share();
    let first = held_now(&share, 5 * MEGABYTE);
    let mut second = Box::pin(share.reserve(8 * MEGABYTE));
    assert!(smol::block_on(poll_once(&mut second)).is_none());
    let mut third = Box::pin(share.reserve(MEGABYTE));
    assert!(smol::block_on(poll_once(&mut third)).is_none());
    drop(first);
    assert!(smol::block_on(poll_once(&mut third)).is_none());
    let second = smol::block_on(second).expect("room");
    assert!(smol::block_on(third).is_ok());
    drop(second);
    assert_eq!(share.held(), 0);
}

// Guards against a queue behind a wait that was given up.
#[test]
fn a_wait_that_is_given_up_lets_the_next_one_go_on() {
    let share = share();
    let first = held_now(&share, 5 * MEGABYTE);
    let mut second = Box::pin(share.reserve(8 * MEGABYTE));
    assert!(smol::block_on(poll_once(&mut second)).is_none());
    let third = Box::pin(share.reserve(MEGABYTE));
    let giving_up = async {
        drop(second);
        std::future::pending::<()>().await;
        Err(NoRoom)
    };
    assert!(smol::block_on(third.or(giving_up)).is_ok());
    drop(first);
    assert_eq!(share.held(), 0);
}

#[test]
fn a_long_queue_turns_reservations_away_at_once() {
    let share = share();
    let _held = held_now(&share, 9 * MEGABYTE);
    let mut waiting: Vec<Pin<Box<_>>> = Vec::new();
    for _ in 0..5 {
        let mut reservation = Box::pin(share.reserve(4 * MEGABYTE));
        assert!(smol::block_on(poll_once(&mut reservation)).is_none());
        waiting.push(reservation);
    }
    assert!(matches!(
        reserve_now(&share, 4 * MEGABYTE),
        Some(Err(NoRoom))
    ));
}

// Guards against a body over the whole share that waits for ever, or keeps small requests out.
#[test]
fn a_reservation_over_the_whole_share_gets_it_but_for_the_part_of_small_ones() {
    let share = share();
    let held = held_now(&share, 64 * MEGABYTE);
    assert_eq!(held.bytes(), 9 * MEGABYTE);
    assert!(reserve_now(&share, 1).expect("no wait").is_ok());
}

#[test]
fn all_shares_together_leave_two_fifths_of_the_memory() {
    let limits = BudgetLimits::for_memory_mb(260.0);
    let shares = [
        limits.request_bodies,
        limits.engine_answers,
        limits.store_answers,
        limits.engine_calls,
    ];
    let bytes: u64 = shares.iter().map(|share| share.bytes).sum();
    assert!(bytes < 156 * MEGABYTE);
}

proptest! {
    // Guards against holders that together exceed the share, and against bytes that are never
    // returned.
    #[test]
    fn what_is_held_never_exceeds_the_share(
        steps in prop::collection::vec((0u64..12 * MEGABYTE, any::<bool>(), 0usize..8), 1..60),
    ) {
        let share = share();
        let mut all: Vec<Held> = Vec::new();
        for (bytes, grows, index) in steps {
            if grows && index < all.len() {
                let before = all[index].bytes();
                if all[index].try_grow_to(bytes).is_err() {
                    prop_assert_eq!(all[index].bytes(), before);
                    all[index].shrink_to(bytes);
                    prop_assert_eq!(all[index].bytes(), before.min(bytes));
                }
            } else if let Some(Ok(held)) = reserve_now(&share, bytes) {
                all.push(held);
            } else if index < all.len() {
                all.swap_remove(index);
            }
            let sum: u64 = all.iter().map(Held::bytes).sum();
            prop_assert_eq!(share.held(), sum);
            prop_assert!(sum <= 10 * MEGABYTE);
        }
        drop(all);
        prop_assert_eq!(share.held(), 0);
    }
}
