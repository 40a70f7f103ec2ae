//! Holders of prompts: what nodes announce about them, and when they expire.

use crate::fleet::{tag, NOW};
use crate::reports::{kept_by, parts};
use ploverlift_balancing::prefix_holders::{Placement, PrefixHolders};
use ploverlift_routing::prompt::{cache_salt, part_keys, PartKey};

#[test]
fn a_dropped_part_is_announced_once_and_no_longer_relied_on() {
    let part = PartKey(9);
    let mut follower = PrefixHolders::default();
    let mut other = PrefixHolders::default();
    for holders in [&mut follower, &mut other] {
        holders.note_own(&[part], tag(0), NOW);
    }
    let (_, next) = follower.changes_after(0, 16);
    // A part that no request has used is not announced.
    follower.note_dropped(&[part, PartKey(10)], tag(0), true, NOW.plus(500));
    let (announcements, _) = follower.changes_after(next, 16);
    assert_eq!(announcements.len(), 1);
    assert!(!announcements[0].is_kept);
    other.note(announcements[0], NOW.plus(600));
    for holders in [&follower, &other] {
        assert_eq!(holders.age_ms(part, tag(0), NOW.plus(600)), None);
    }
}

#[test]
fn a_part_that_was_read_again_since_is_still_kept() {
    let part = PartKey(9);
    let mut holders = PrefixHolders::default();
    holders.note_own(&[part], tag(0), NOW.plus(500));
    holders.note_dropped(&[part], tag(0), true, NOW.plus(520));
    assert_eq!(holders.age_ms(part, tag(0), NOW.plus(520)), Some(20));
}

#[test]
fn holders_are_forgotten_and_their_number_is_bounded() {
    let mut holders = PrefixHolders::default();
    for part in 0..50_000 {
        let placement = Placement {
            part: PartKey(part),
            engine: tag(0),
            is_kept: true,
        };
        holders.note(placement, NOW);
    }
    assert!(holders.len() <= 20_000);
    let engines: Vec<usize> = (0..130).collect();
    let holders = kept_by(&engines, 1, 1);
    let part = part_keys(&cache_salt("m", 1, ""), &parts()[..1])[0];
    let known = |index: &usize| holders.age_ms(part, tag(*index), NOW);
    let forgotten = engines.iter().filter(|index| known(index).is_none());
    assert_eq!(forgotten.collect::<Vec<_>>(), [&0, &1]);
    let later = NOW.plus(20_000);
    let mut all = engines.iter();
    assert!(all.all(|index| holders.age_ms(part, tag(*index), later).is_none()));
}

#[test]
fn a_placement_is_reported_once_and_again_when_it_is_old() {
    let chains = [PartKey(9)];
    let mut holders = PrefixHolders::default();
    holders.note_own(&chains, tag(0), NOW);
    holders.note_own(&chains, tag(0), NOW.plus(100));
    let (announcements, next) = holders.changes_after(0, 16);
    assert_eq!((announcements.len(), next), (1, 1));
    holders.note_own(&chains, tag(0), NOW.plus(200));
    assert_eq!(holders.changes_after(next, 16).0.len(), 0);
    holders.note_own(&chains, tag(0), NOW.plus(9_000));
    assert_eq!(holders.changes_after(next, 16).0.len(), 1);
    // Another reader of the announcements has its own position.
    assert_eq!(holders.changes_after(0, 16).0.len(), 2);
}

#[test]
fn a_reader_of_placements_that_fell_behind_goes_on_with_the_latest() {
    let mut holders = PrefixHolders::default();
    for chain in 0..1_000 {
        holders.note_own(&[PartKey(chain)], tag(0), NOW);
    }
    let (announcements, next) = holders.changes_after(5, 16);
    assert_eq!(announcements[0].part, PartKey(1_000 - 256));
    assert_eq!(next, 1_000 - 256 + 16);
}
