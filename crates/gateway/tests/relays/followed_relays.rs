//! What a follower applies from the reports of its relays, and when it requests a snapshot.

use crate::reports::{address, engine_change, relay_report, NOW};
use ploverlift_balancing::peer_loads::PeerId;
use ploverlift_balancing::relayed_loads::RELAY_SILENCE_MS;
use ploverlift_gateway::peers::followed_relays::{CatalogueCursor, FollowedRelays, SnapshotNeed};

const LIMIT_MS: u64 = 2_600;

/// A follower that took over the engines from relay 9 as of its change 2.
fn follower() -> FollowedRelays {
    let mut followed = FollowedRelays::default();
    followed.note_report(&relay_report(1, 2, Vec::new()), address(9), Some(NOW), NOW);
    followed.set_cursor(CatalogueCursor {
        relay: PeerId(9),
        life: 3,
        through: 2,
    });
    followed
}

#[test]
fn a_repeated_change_is_applied_once_and_a_missing_one_is_requested() {
    let mut followed = follower();
    let changes = |from: u64, through: u64| {
        let changes = (from..=through).map(|revision| engine_change("e", revision, false));
        changes.collect::<Vec<_>>()
    };
    let third = relay_report(2, 2, changes(3, 3));
    assert_eq!(followed.next_changes(&third), changes(3, 3));
    let both = relay_report(3, 2, changes(3, 4));
    assert_eq!(followed.next_changes(&both), changes(4, 4));
    assert!(followed.next_changes(&both).is_empty());
    // The fifth change is missing.
    let sixth = relay_report(4, 5, changes(6, 6));
    assert!(followed.next_changes(&sixth).is_empty());
    followed.note_report(&sixth, address(9), Some(NOW), NOW);
    assert_eq!(followed.snapshot_need(Some(4), LIMIT_MS, NOW), None);
    let later = NOW.plus(300);
    let snapshot_need = SnapshotNeed {
        relay: PeerId(9),
        address: address(9),
        wants_engines: true,
    };
    assert_eq!(
        followed.snapshot_need(Some(4), LIMIT_MS, later),
        Some(snapshot_need)
    );
    assert!(followed.is_current(LIMIT_MS, later));
    let too_late = NOW.plus(700);
    assert!(!followed.is_current(LIMIT_MS, too_late));
}

#[test]
fn a_relay_is_trusted_while_it_is_live_and_knows_the_engines_itself() {
    let mut followed = follower();
    assert!(followed.is_current(LIMIT_MS, NOW.plus(RELAY_SILENCE_MS - 1)));
    // The relay is killed, suspended or cut off from this node.
    assert!(!followed.is_current(LIMIT_MS, NOW.plus(RELAY_SILENCE_MS)));
    // The relay is cut off from the store, or refused by it, and still sends reports.
    let mut cut_off = relay_report(2, 2, Vec::new());
    let later = NOW.plus(3_000);
    cut_off.engines_age_ms = Some(2_900);
    followed.note_report(&cut_off, address(9), Some(later), later);
    assert!(!followed.is_current(LIMIT_MS, later));
    assert_eq!(followed.snapshot_need(Some(4), LIMIT_MS, later), None);
    cut_off.engines_age_ms = Some(200);
    followed.note_report(&cut_off, address(9), Some(later), later);
    assert!(followed.is_current(LIMIT_MS, later));
    // The relay answers no requests.
    followed.distrust(later);
    assert!(!followed.is_current(LIMIT_MS, later));
}

#[test]
fn a_relay_that_includes_no_report_of_this_node_proves_nothing() {
    let mut followed = FollowedRelays::default();
    followed.note_report(&relay_report(1, 0, Vec::new()), address(9), None, NOW);
    followed.set_cursor(CatalogueCursor {
        relay: PeerId(9),
        life: 3,
        through: 0,
    });
    assert!(!followed.is_current(LIMIT_MS, NOW));
}

#[test]
fn a_restarted_relay_is_asked_for_all_engines() {
    let mut followed = follower();
    let mut restarted = relay_report(1, 0, Vec::new());
    restarted.loads.life = 4;
    followed.note_report(&restarted, address(9), Some(NOW), NOW);
    let snapshot_need = followed.snapshot_need(Some(4), LIMIT_MS, NOW);
    assert!(snapshot_need.is_some_and(|snapshot_need| snapshot_need.wants_engines));
    let change = vec![engine_change("e", 1, false)];
    let mut reported = relay_report(2, 0, change);
    reported.loads.life = 4;
    assert!(followed.next_changes(&reported).is_empty());
}

/// The knowledge of the current incarnation of a relay does not make reports of the former
/// one newer.
#[test]
fn a_restarted_relay_does_not_prove_reports_of_its_former_incarnation() {
    let mut followed = follower();
    let mut restarted = relay_report(1, 0, Vec::new());
    restarted.loads.life = 4;
    for passed_ms in [100, 400, 800] {
        let now = NOW.plus(passed_ms);
        followed.note_report(&restarted, address(9), Some(now), now);
    }
    // The time for requesting all engines from it has passed.
    assert!(!followed.is_current(LIMIT_MS, NOW.plus(800)));
}

#[test]
fn a_newer_configuration_of_a_relay_is_requested() {
    let mut followed = follower();
    assert_eq!(followed.snapshot_need(Some(4), LIMIT_MS, NOW), None);
    let snapshot_need = followed.snapshot_need(Some(3), LIMIT_MS, NOW);
    assert!(snapshot_need.is_some_and(|snapshot_need| !snapshot_need.wants_engines));
}

#[test]
fn a_relay_proves_freshness_only_for_a_node_with_all_its_changes() {
    let mut followed = follower();
    let known_at = followed.proven_at();
    assert!(known_at.is_some());
    // The third change is missing here: another report overtakes the one that contains it.
    let later = NOW.plus(500);
    let fourth = relay_report(2, 3, vec![engine_change("e", 4, false)]);
    followed.note_report(&fourth, address(9), Some(later), later);
    assert_eq!(followed.proven_at(), None);
    followed.note_report(
        &relay_report(1, 2, Vec::new()),
        address(9),
        Some(later),
        later,
    );
    assert_eq!(followed.proven_at(), None);
    assert!(followed.newest_proof() > known_at);
    let both = vec![engine_change("e", 3, false), engine_change("e", 4, false)];
    assert_eq!(followed.next_changes(&relay_report(3, 2, both)).len(), 2);
    assert_eq!(followed.proven_at(), followed.newest_proof());
}
