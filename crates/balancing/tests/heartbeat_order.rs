//! Which of two heartbeats of an engine counts, and which state outlasts its restart.

use ploverlift_balancing::catalogue::{EngineCatalogue, EngineRecord, Heartbeat, InstanceId};
use ploverlift_balancing::health::Outcome;
use ploverlift_policy::ids::{Millis, ZoneName};
use ploverlift_routing::configuration::ServiceName;
use ploverlift_routing::software::SoftwareVersion;
use proptest::prelude::*;

const FIRST_LIFE: u64 = 1_700_000_000_000;
const SECOND_LIFE: u64 = FIRST_LIFE + 60_000;

fn name() -> InstanceId {
    InstanceId("e-1".to_owned())
}

fn record(revision: u64, born_ms: u64, sequence: u64) -> EngineRecord {
    EngineRecord {
        instance: name(),
        revision,
        heartbeat: Heartbeat { born_ms, sequence },
        service: ServiceName::from("llm"),
        address: "10.0.0.1:80".parse().expect("an address"),
        zone: ZoneName::from("z"),
        software: SoftwareVersion("v1".to_owned()),
        slots: 4,
        cold_ms: 0,
        is_leaving: false,
        weights: [("m".to_owned(), 5)].into(),
    }
}

fn leaving(revision: u64, born_ms: u64, sequence: u64) -> EngineRecord {
    EngineRecord {
        is_leaving: true,
        ..record(revision, born_ms, sequence)
    }
}

fn is_leaving(catalogue: &EngineCatalogue) -> Option<bool> {
    Some(catalogue.get(&name())?.record.is_leaving)
}

#[test]
fn an_older_heartbeat_counts_only_when_it_reports_that_the_engine_leaves() {
    let mut catalogue = EngineCatalogue::default();
    assert!(catalogue.upsert(leaving(10, FIRST_LIFE, 9)));
    assert!(!catalogue.upsert(record(11, FIRST_LIFE, 8)));
    assert_eq!(is_leaving(&catalogue), Some(true));
    // Another writer's record may have come between; the engine's next heartbeat counts.
    assert!(catalogue.upsert(record(12, FIRST_LIFE, 10)));
    assert_eq!(is_leaving(&catalogue), Some(false));
    assert!(catalogue.upsert(leaving(13, FIRST_LIFE, 7)));
    assert_eq!(is_leaving(&catalogue), Some(true));
}

#[test]
fn a_late_heartbeat_does_not_restore_a_removed_engine() {
    let mut catalogue = EngineCatalogue::default();
    catalogue.upsert(leaving(10, FIRST_LIFE, 9));
    assert!(catalogue.remove(&name(), 11));
    assert!(!catalogue.upsert(record(12, FIRST_LIFE, 8)));
    assert!(!catalogue.upsert(record(13, FIRST_LIFE - 1, 80)));
    assert_eq!(is_leaving(&catalogue), None);
    // An engine whose record expired and that is still alive, or has restarted, is restored.
    assert!(catalogue.upsert(record(14, FIRST_LIFE, 10)));
    catalogue.remove(&name(), 15);
    assert!(catalogue.upsert(record(16, SECOND_LIFE, 1)));
}

#[test]
fn without_life_and_sequence_the_store_revision_decides() {
    let mut catalogue = EngineCatalogue::default();
    assert!(catalogue.upsert(leaving(10, 0, 0)));
    assert!(catalogue.upsert(record(11, 0, 0)));
    assert!(!catalogue.upsert(leaving(9, 0, 0)));
    assert_eq!(is_leaving(&catalogue), Some(false));
}

#[test]
fn a_restart_under_the_same_name_resets_the_state_of_an_engine() {
    let mut catalogue = EngineCatalogue::default();
    catalogue.upsert(record(10, FIRST_LIFE, 9));
    catalogue.note_weights(&name(), "m", 8);
    let now = Millis(1_000);
    for _ in 0..20 {
        catalogue.note_outcome(&name(), Outcome::Unreachable, now);
    }
    catalogue.note_loading(&name(), now.plus(60_000));
    catalogue.note_misdirected(&name(), now);
    catalogue.begin(&name(), 100, now);
    // Sequence numbers restart in each life, so this heartbeat has a lower one.
    assert!(catalogue.upsert(record(11, SECOND_LIFE, 1)));
    let engine = catalogue.get(&name()).expect("the engine");
    assert_eq!(engine.weights_of("m"), 5);
    assert!(!engine.is_loading(now) && !engine.is_misdirected(now));
    assert!(engine.health.may_be_chosen(now) && !engine.health.is_suspected());
    // Requests in flight still count until they end.
    assert_eq!(engine.in_flight, 1);
}

#[test]
fn a_late_record_of_the_former_life_does_not_override_a_reported_new_life() {
    let mut catalogue = EngineCatalogue::default();
    catalogue.upsert(record(10, FIRST_LIFE, 9));
    assert!(catalogue.note_life(&name(), SECOND_LIFE));
    assert!(!catalogue.note_life(&name(), SECOND_LIFE));
    assert!(!catalogue.note_life(&name(), FIRST_LIFE));
    assert!(!catalogue.upsert(leaving(11, FIRST_LIFE, 12)));
    assert_eq!(is_leaving(&catalogue), Some(false));
    assert!(catalogue.upsert(record(12, SECOND_LIFE, 1)));
}

#[test]
fn an_engine_is_listed_under_one_service() {
    let mut catalogue = EngineCatalogue::default();
    catalogue.upsert(record(10, FIRST_LIFE, 1));
    let moved = EngineRecord {
        service: ServiceName::from("app"),
        ..record(11, SECOND_LIFE, 1)
    };
    catalogue.upsert(moved);
    let count = |service: &str| catalogue.of_service(&ServiceName::from(service)).count();
    assert_eq!((count("llm"), count("app")), (0, 1));
}

/// Fields of a heartbeat as read from the store: start of the life, sequence number, and
/// whether the engine is leaving.
fn heartbeat_fields() -> impl Strategy<Value = (u64, u64, bool)> {
    (1..3u64, 1..6u64, any::<bool>())
}

proptest! {
    /// In whatever order heartbeats arrive: once a heartbeat of the newest life has reported
    /// that the engine leaves, no heartbeat with a lower sequence number makes it ready.
    #[test]
    fn no_late_heartbeat_makes_a_leaving_engine_ready(heartbeats in prop::collection::vec(heartbeat_fields(), 1..24)) {
        let mut catalogue = EngineCatalogue::default();
        let mut left_at: Option<(u64, u64)> = None;
        for (revision, (born_ms, sequence, leaves)) in heartbeats.into_iter().enumerate() {
            let told = EngineRecord {
                is_leaving: leaves,
                ..record(revision as u64 + 1, born_ms, sequence)
            };
            let taken = catalogue.upsert(told);
            if leaves && taken {
                left_at = left_at.max(Some((born_ms, sequence)));
            }
            if taken && !leaves {
                prop_assert!(left_at.is_none_or(|left_at| left_at <= (born_ms, sequence)));
                left_at = None;
            }
        }
    }
}
