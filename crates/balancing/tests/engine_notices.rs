//! How long notices that engines send in their answers remain valid.

use ploverlift_balancing::catalogue::{EngineCatalogue, EngineRecord, Heartbeat, InstanceId};
use ploverlift_balancing::engine_notices::EngineLife;
use ploverlift_balancing::names::EngineTag;
use ploverlift_policy::ids::{Millis, ZoneName};
use ploverlift_routing::configuration::ServiceName;
use ploverlift_routing::software::SoftwareVersion;
use proptest::prelude::*;

const FIRST_LIFE: u64 = 1_700_000_000_000;
const SECOND_LIFE: u64 = FIRST_LIFE + 60_000;
const NOW: Millis = Millis(1_000_000);

fn name() -> InstanceId {
    InstanceId("e-1".to_owned())
}

fn life(born_ms: u64) -> EngineLife {
    EngineLife {
        engine: EngineTag::of(&name()),
        born_ms,
    }
}

fn record(revision: u64, born_ms: u64, sequence: u64) -> EngineRecord {
    EngineRecord {
        instance: name(),
        revision,
        heartbeat: Heartbeat { born_ms, sequence },
        service: ServiceName::from("llm"),
        address: "10.0.0.1:80".parse().expect("an address"),
        zone: ZoneName::from("z"),
        software: SoftwareVersion::default(),
        slots: 4,
        cold_ms: 0,
        is_leaving: false,
        weights: [("m".to_owned(), 1)].into(),
    }
}

/// A catalogue with one engine, whose life began at `born_ms` and which is leaving.
fn leaving_catalogue(born_ms: u64) -> EngineCatalogue {
    let mut catalogue = EngineCatalogue::default();
    catalogue.upsert(record(1, born_ms, 5));
    assert!(catalogue.notices.note_leaving(life(born_ms), NOW));
    catalogue
}

fn is_leaving(catalogue: &EngineCatalogue) -> Option<bool> {
    Some(catalogue.is_leaving(catalogue.get(&name())?))
}

fn resumes_at(catalogue: &EngineCatalogue, now: Millis) -> Option<Millis> {
    let engine = catalogue.get(&name())?;
    Some(catalogue.backoff(engine, now)?.resumes_at)
}

/// Guards against a notice in an answer being cleared by a later record of the same life, as
/// from a late heartbeat, a list, a snapshot or a restarted relay.
#[test]
fn no_record_of_the_same_life_clears_a_notice_of_leaving() {
    for born_ms in [0, FIRST_LIFE] {
        let mut catalogue = leaving_catalogue(born_ms);
        for (revision, sequence) in [(2, 4), (3, 6), (4, 0), (5, 700)] {
            catalogue.upsert(record(revision, born_ms, sequence));
            assert_eq!(is_leaving(&catalogue), Some(true));
        }
    }
}

#[test]
fn a_record_that_expires_and_reappears_is_still_that_of_a_leaving_engine() {
    for born_ms in [0, FIRST_LIFE] {
        let mut catalogue = leaving_catalogue(born_ms);
        assert!(catalogue.remove(&name(), 2));
        let back_at = NOW.plus(60_000);
        catalogue.expire_notices(back_at);
        catalogue.upsert(record(3, born_ms, 9));
        assert_eq!(is_leaving(&catalogue), Some(true));
    }
}

#[test]
fn a_later_life_under_the_same_name_is_not_leaving() {
    let mut catalogue = leaving_catalogue(FIRST_LIFE);
    catalogue.upsert(record(2, SECOND_LIFE, 1));
    assert_eq!(is_leaving(&catalogue), Some(false));
    // The same holds when the later life is known from the engine's own report only.
    let mut catalogue = leaving_catalogue(FIRST_LIFE);
    assert!(catalogue.note_life(&name(), SECOND_LIFE));
    assert_eq!(is_leaving(&catalogue), Some(false));
    // A late answer of the former life has no effect on the later one.
    assert!(!catalogue.notices.note_leaving(life(FIRST_LIFE), NOW));
    assert_eq!(is_leaving(&catalogue), Some(false));
    assert!(catalogue.notices.note_leaving(life(SECOND_LIFE), NOW));
    assert!(!catalogue.notices.note_leaving(life(FIRST_LIFE), NOW));
    assert_eq!(is_leaving(&catalogue), Some(true));
}

#[test]
fn a_notice_of_a_later_life_applies_before_its_first_record() {
    let mut catalogue = EngineCatalogue::default();
    catalogue.upsert(record(1, FIRST_LIFE, 5));
    catalogue.notices.note_leaving(life(SECOND_LIFE), NOW);
    assert_eq!(is_leaving(&catalogue), Some(true));
}

#[test]
fn without_reported_lives_all_records_of_a_name_count_as_one_life() {
    let mut catalogue = leaving_catalogue(0);
    catalogue.upsert(record(2, SECOND_LIFE, 1));
    assert_eq!(is_leaving(&catalogue), Some(true));
    catalogue.remove(&name(), 3);
    catalogue.expire_notices(NOW.plus(120_000));
    assert!(catalogue.notices.is_empty());
    catalogue.upsert(record(4, SECOND_LIFE, 1));
    assert_eq!(is_leaving(&catalogue), Some(false));
}

#[test]
fn a_notice_is_kept_while_its_engine_is_in_the_catalogue() {
    let mut catalogue = leaving_catalogue(FIRST_LIFE);
    for minutes in 1..60 {
        catalogue.expire_notices(NOW.plus(minutes * 60_000));
    }
    assert_eq!(is_leaving(&catalogue), Some(true));
    catalogue.upsert(record(2, SECOND_LIFE, 1));
    catalogue.expire_notices(NOW.plus(3_600_000));
    assert!(catalogue.notices.is_empty());
}

/// Guards against a backoff being shortened by a later rejection that asks for a shorter one.
#[test]
fn of_several_backoffs_the_latest_end_counts() {
    let mut catalogue = EngineCatalogue::default();
    catalogue.upsert(record(1, 0, 5));
    catalogue.notices.note_backoff(life(0), 2_000, 0, NOW);
    let later = NOW.plus(100);
    catalogue.notices.note_backoff(life(0), 300, 0, later);
    assert_eq!(resumes_at(&catalogue, later), Some(NOW.plus(2_000)));
    catalogue.notices.note_backoff(life(0), 5_000, 0, later);
    assert_eq!(resumes_at(&catalogue, later), Some(later.plus(5_000)));
    // Neither loading weights on this node's request nor an expired record ends the backoff.
    catalogue.note_loading(&name(), later.plus(10));
    catalogue.note_loaded(&name());
    catalogue.remove(&name(), 2);
    catalogue.upsert(record(3, 0, 6));
    assert_eq!(resumes_at(&catalogue, later), Some(later.plus(5_000)));
    assert_eq!(resumes_at(&catalogue, later.plus(5_000)), None);
}

#[test]
fn a_later_life_ends_the_backoff_at_once() {
    let mut catalogue = EngineCatalogue::default();
    catalogue.upsert(record(1, FIRST_LIFE, 5));
    let notices = &mut catalogue.notices;
    notices.note_backoff(life(FIRST_LIFE), 9_000, 0, NOW);
    assert!(resumes_at(&catalogue, NOW).is_some());
    catalogue.upsert(record(2, SECOND_LIFE, 1));
    assert_eq!(resumes_at(&catalogue, NOW), None);
}

proptest! {
    /// Nodes resume after the end of the backoff, within a quarter of it and at most 500 ms.
    #[test]
    fn nodes_resume_at_random_times_within_the_ramp(
        duration_ms in 0_u64..1_000_000,
        draw: u64,
    ) {
        let mut catalogue = EngineCatalogue::default();
        catalogue.upsert(record(1, 0, 5));
        catalogue.notices.note_backoff(life(0), duration_ms, draw, NOW);
        let end = NOW.plus(duration_ms);
        let resumes_at = resumes_at(&catalogue, NOW).unwrap_or(end);
        prop_assert!(resumes_at >= end);
        prop_assert!(resumes_at <= end.plus((duration_ms / 4).min(500)));
    }
}
