//! Reports of relays on the contents of KV cache stores of other regions.

use ploverlift_balancing::cache_contents::{CacheEvent, CacheEvents};
use ploverlift_balancing::cache_stores::{CacheStoreState, CacheStores, StoreUpdate};
use ploverlift_gateway::peers::store_contents::{
    read_store, store_message, StoreChanges, MAX_REPORTED_PARTS,
};
use ploverlift_policy::ids::Millis;
use ploverlift_routing::prompt::PromptPart;
use std::net::SocketAddr;

const NOW: Millis = Millis(50_000);
/// Number of reports over which a relay repeats all parts once.
const PERIODS: u64 = 100;
/// Space in an unfragmented datagram beside the header of a relay report, in bytes.
const MAX_MESSAGE_BYTES: usize = 1_200;

fn address(index: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, index], 80))
}

fn event(part: u64, kept_tokens: u64) -> CacheEvent {
    CacheEvent {
        salt: "s".to_owned(),
        part,
        kept_tokens,
    }
}

fn is_cached(stores: &CacheStores, part: u64) -> bool {
    let part = PromptPart {
        id: part,
        tokens: 1_000,
    };
    let belief = stores.of(address(1));
    let in_use = belief.filter(|belief| belief.state() != CacheStoreState::Lost);
    in_use.is_some_and(|belief| belief.contents().has("s", &part))
}

/// A relay that follows one store.
#[derive(Default)]
struct Relay {
    stores: CacheStores,
    changes: StoreChanges,
    period: u64,
}

impl Relay {
    fn apply_events(&mut self, epoch: u64, events: Vec<CacheEvent>) {
        let belief = self.stores.of_mut(address(1));
        belief.note_state(CacheStoreState::Followed);
        let is_reset = belief.contents().epoch() != Some(epoch);
        self.changes.note_events(address(1), &events, is_reset);
        belief.contents_mut().apply(&CacheEvents {
            epoch,
            events,
            ..CacheEvents::default()
        });
    }

    fn next_updates(&mut self) -> Vec<StoreUpdate> {
        self.period += 1;
        self.changes.next(&self.stores, self.period)
    }
}

/// A node with the store in its configuration that does not follow it.
fn follower() -> CacheStores {
    let mut stores = CacheStores::default();
    stores.of_mut(address(1));
    stores
}

fn apply_updates(stores: &mut CacheStores, reported: &[StoreUpdate], now: Millis) {
    for reported in reported {
        stores.apply_reported(&read_store(&store_message(reported)), now);
    }
}

#[test]
fn a_follower_learns_changes_from_the_next_relay_report() {
    let mut relay = Relay::default();
    let mut follower = follower();
    relay.apply_events(7, vec![event(1, 1_000), event(2, 1_000)]);
    apply_updates(&mut follower, &relay.next_updates(), NOW);
    assert!(is_cached(&follower, 1) && is_cached(&follower, 2));
    assert_eq!(
        follower
            .of(address(1))
            .expect("known")
            .contents()
            .total_tokens(),
        2_000
    );
    relay.apply_events(7, vec![event(1, 0)]);
    apply_updates(&mut follower, &relay.next_updates(), NOW);
    assert!(!is_cached(&follower, 1) && is_cached(&follower, 2));
    // The store restarted and was empty.
    relay.apply_events(8, vec![event(3, 1_000)]);
    apply_updates(&mut follower, &relay.next_updates(), NOW);
    assert!(!is_cached(&follower, 2) && is_cached(&follower, 3));
}

/// The datagram with an eviction is lost.
#[test]
fn a_missed_eviction_is_repaired_by_the_periodic_repeat() {
    let mut relay = Relay::default();
    let mut follower = follower();
    relay.apply_events(7, (0..200).map(|part| event(part, 1_000)).collect());
    apply_updates(&mut follower, &relay.next_updates(), NOW);
    relay.apply_events(7, vec![event(5, 0), event(6, 0)]);
    relay.next_updates();
    assert!(is_cached(&follower, 5));
    for _ in 0..PERIODS {
        apply_updates(&mut follower, &relay.next_updates(), NOW);
    }
    assert!(!is_cached(&follower, 5) && !is_cached(&follower, 6));
    assert!((7..200).all(|part| is_cached(&follower, part)));
}

/// Two relays report a store that restarted; one of them does not know of the restart yet.
#[test]
fn a_lagging_relay_does_not_restore_lost_parts() {
    let (mut ahead, mut behind) = (Relay::default(), Relay::default());
    let mut follower = follower();
    for relay in [&mut ahead, &mut behind] {
        relay.apply_events(7, vec![event(1, 1_000)]);
        apply_updates(&mut follower, &relay.next_updates(), NOW);
    }
    ahead.apply_events(8, vec![event(2, 1_000)]);
    apply_updates(&mut follower, &ahead.next_updates(), NOW);
    behind.apply_events(7, vec![event(3, 1_000)]);
    apply_updates(&mut follower, &behind.next_updates(), NOW);
    assert!(is_cached(&follower, 2) && !is_cached(&follower, 1) && !is_cached(&follower, 3));
}

/// Datagrams are lost, or a node starts late.
#[test]
fn missed_parts_are_repeated_periodically() {
    let mut relay = Relay::default();
    let mut follower = follower();
    relay.apply_events(7, (0..500).map(|part| event(part, 1_000)).collect());
    relay.next_updates();
    for _ in 0..PERIODS {
        let reported = relay.next_updates();
        // Each report repeats a small part of the contents.
        assert!(
            reported
                .iter()
                .map(|reported| reported.parts.len())
                .sum::<usize>()
                < 50
        );
        apply_updates(&mut follower, &reported, NOW);
    }
    assert!((0..500).all(|part| is_cached(&follower, part)));
}

#[test]
fn updates_of_a_store_fit_one_datagram() {
    let mut relay = Relay::default();
    relay.apply_events(
        u64::MAX,
        (0..500).map(|part| event(part, 200_000)).collect(),
    );
    let reported = relay.next_updates();
    assert!(reported.len() > 5);
    for reported in reported {
        assert!(reported.parts.len() <= MAX_REPORTED_PARTS);
        let encoded = encoded_length(&reported);
        assert!(encoded <= MAX_MESSAGE_BYTES, "{encoded} bytes");
    }
}

/// Length of the message on the wire, in bytes: 8 for each part, up to 3 for its tokens, 4
/// for the store, 8 for its epoch, and the tags.
fn encoded_length(reported: &StoreUpdate) -> usize {
    let message = store_message(reported);
    message.parts.len() * 8 + message.kept_tokens.len() * 3 + 4 + 8 + 12
}

/// The region is cut off, or the store is lost: relays stop reporting it.
#[test]
fn a_store_that_relays_no_longer_report_is_lost_and_not_used() {
    let mut relay = Relay::default();
    let mut follower = follower();
    relay.apply_events(7, vec![event(1, 1_000)]);
    apply_updates(&mut follower, &relay.next_updates(), NOW);
    // A relay reports a store that answers even when nothing changes.
    apply_updates(&mut follower, &relay.next_updates(), NOW.plus(1_500));
    follower.expire_reported(address(1), NOW.plus(3_000));
    assert!(is_cached(&follower, 1));
    let belief = relay.stores.of_mut(address(1));
    belief.note_state(CacheStoreState::Lost);
    apply_updates(&mut follower, &relay.next_updates(), NOW.plus(3_200));
    follower.expire_reported(address(1), NOW.plus(3_400));
    let known = follower.of(address(1)).expect("known");
    assert_eq!(known.state(), CacheStoreState::Lost);
    assert!(!is_cached(&follower, 1));
    // The store is reached again: its contents are reported as they are found.
    relay.apply_events(7, vec![event(2, 1_000)]);
    apply_updates(&mut follower, &relay.next_updates(), NOW.plus(9_000));
    assert!(is_cached(&follower, 2));
}

#[test]
fn a_burst_of_changes_is_bounded_and_completed_by_repeats() {
    let mut relay = Relay::default();
    let mut follower = follower();
    relay.apply_events(7, (0..5_000).map(|part| event(part, 1_000)).collect());
    let first = relay.next_updates();
    assert!(
        first
            .iter()
            .map(|reported| reported.parts.len())
            .sum::<usize>()
            < 1_200
    );
    // It has so many parts that repeating them all takes longer.
    for _ in 0..2 * PERIODS {
        apply_updates(&mut follower, &relay.next_updates(), NOW);
    }
    assert!((0..5_000).all(|part| is_cached(&follower, part)));
}
