//! Placement of engines before all orders are known.

use crate::stages::version;
use ploverlift_rollout::placement::VersionLedger;

#[test]
fn an_engine_record_newer_than_the_known_orders_is_not_placed() {
    let mut ledger = VersionLedger::default();
    ledger.note_orders_known_up_to(100);
    ledger.note_engine(&version("v1"), 90);
    ledger.note_engine(&version("v2"), 120);
    assert!(ledger.is_placed(&version("v1"), 90));
    assert!(!ledger.is_placed(&version("v2"), 120));
    ledger.note_orders_known_up_to(120);
    assert!(ledger.is_placed(&version("v2"), 120));
}

#[test]
fn engines_are_placed_without_an_order() {
    let mut ledger = VersionLedger::default();
    ledger.note_orders_known_up_to(100);
    ledger.note_engine(&version("v1"), 90);
    assert!(ledger.is_placed(&version("v1"), 150), "more of what serves");
    ledger.note_orders_known_up_to(160);
    assert!(ledger.is_placed(&version("v2"), 155), "a release");
}

#[test]
fn a_new_node_places_no_engine_before_it_knows_the_orders() {
    let mut ledger = VersionLedger::default();
    ledger.note_engine(&version("v1"), 1);
    assert!(!ledger.is_placed(&version("v1"), 1));
}

#[test]
fn a_version_whose_engines_left_must_be_placed_again() {
    let mut ledger = VersionLedger::default();
    ledger.note_orders_known_up_to(100);
    ledger.note_engine(&version("v1"), 90);
    ledger.forget(&version("v1"));
    assert!(!ledger.is_placed(&version("v1"), 150));
}

#[test]
fn the_revision_of_known_orders_never_decreases() {
    let mut ledger = VersionLedger::default();
    ledger.note_orders_known_up_to(100);
    ledger.note_orders_known_up_to(50);
    assert!(ledger.is_placed(&version("v1"), 100));
}
