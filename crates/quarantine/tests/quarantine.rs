//! Which requests may be sent, by what they did to engines before.

use ploverlift_balancing::names::{EngineTag, PeerId};
use ploverlift_policy::ids::Millis;
use ploverlift_quarantine::evidence::{speaks_against, EngineEnd};
use ploverlift_quarantine::exchange::{HeardNews, Occasion};
use ploverlift_quarantine::fingerprint::{RequestFingerprint, RequestParts};
use ploverlift_quarantine::quarantine::{EndNews, Permission, Quarantine, MOMENTS_UNTIL_REFUSED};
use ploverlift_quarantine::room::{MAX_OF_TENANT, MAX_REQUESTS};
use ploverlift_routing::rate_limit::TenantTag;
use ploverlift_routing::software::SoftwareVersion;

const REQUEST: RequestFingerprint = RequestFingerprint(7);
const TENANT: TenantTag = TenantTag(1);
const NODE: PeerId = PeerId(1);
const OTHER: PeerId = PeerId(2);
const START: Millis = Millis(1_000_000);
/// Everything is told.
const ALL: Occasion = Occasion {
    is_period: true,
    tells_refused: true,
    passes_on: false,
};
/// An hour, after which a refused request is tried, in milliseconds.
const HOUR_MS: u64 = 3_600_000;

fn end(engine: u32, begun: Millis, at: Millis) -> EngineEnd {
    EngineEnd {
        engine: EngineTag(engine),
        begun,
        at,
    }
}

/// An engine runs a request for 100 ms and ends.
fn note(quarantine: &mut Quarantine, engine: u32, at: Millis) -> EndNews {
    let begun = Millis(at.0 - 100);
    let software = Some(SoftwareVersion("v1".to_owned()));
    quarantine.note_end(REQUEST, TENANT, end(engine, begun, at), software, at)
}

/// Engines have ended under the request at three moments.
fn refused() -> (Quarantine, Millis) {
    let mut quarantine = Quarantine::default();
    for engine in 1..MOMENTS_UNTIL_REFUSED as u32 {
        let news = note(&mut quarantine, engine, START.plus(u64::from(engine) * 200));
        let moments = engine as usize;
        assert_eq!(news, EndNews::Suspected { moments });
    }
    let now = START.plus(1_000);
    assert_eq!(note(&mut quarantine, 9, now), EndNews::Refused);
    (quarantine, now)
}

/// Everything that one node tells reaches another one.
fn tell(from: &mut Quarantine, to: &mut Quarantine, now: Millis) -> Vec<HeardNews> {
    let news = from.news(NODE, ALL, now);
    let heard = news
        .iter()
        .map(|told| to.hear(told, NODE, OTHER, false, now));
    heard.collect()
}

#[test]
fn a_request_is_the_same_in_each_attempt_and_another_for_each_of_its_parts() {
    let parts = RequestParts {
        tenant: Some("a"),
        host: "h",
        method: "POST",
        target: "/x?y",
        body: b"body",
    };
    let known = RequestFingerprint::of(&parts);
    assert_eq!(known, RequestFingerprint::of(&parts.clone()));
    let others = [
        RequestParts {
            tenant: None,
            ..parts
        },
        RequestParts {
            tenant: Some("b"),
            ..parts
        },
        RequestParts { host: "g", ..parts },
        RequestParts {
            method: "PUT",
            ..parts
        },
        RequestParts {
            target: "/x?z",
            ..parts
        },
        RequestParts {
            body: b"other",
            ..parts
        },
        // The same bytes, divided otherwise.
        RequestParts {
            tenant: Some("ah"),
            host: "",
            ..parts
        },
    ];
    for other in others {
        assert_ne!(known, RequestFingerprint::of(&other));
    }
}

#[test]
fn ends_at_three_moments_refuse_it_everywhere() {
    let (mut quarantine, now) = refused();
    let permission = quarantine.ask(REQUEST, false, now);
    assert!(matches!(permission, Permission::Refused { retry_after_ms } if retry_after_ms > 0));
    let mut elsewhere = Quarantine::default();
    assert_eq!(
        tell(&mut quarantine, &mut elsewhere, now),
        [HeardNews::Refused]
    );
    assert!(elsewhere.is_refused(REQUEST));
    assert_eq!(
        tell(&mut quarantine, &mut elsewhere, now),
        [HeardNews::None]
    );
}

#[test]
fn engines_that_end_at_one_moment_count_once() {
    let mut quarantine = Quarantine::default();
    for engine in 0..8 {
        // Copies that were sent at once to engines of a rack that loses its power.
        let at = START.plus(500 + u64::from(engine));
        quarantine.note_end(REQUEST, TENANT, end(engine, START, at), None, at);
    }
    let now = START.plus(2_000);
    assert_eq!(quarantine.ask(REQUEST, false, now), Permission::AfterClaim);
    // A copy that was sent after the first end had come about ends another engine.
    let mut quarantine = Quarantine::default();
    for engine in 0..MOMENTS_UNTIL_REFUSED as u32 {
        let at = START.plus(u64::from(engine) * 30);
        let begun = Millis(at.0 - 20);
        quarantine.note_end(REQUEST, TENANT, end(engine, begun, at), None, at);
    }
    assert!(quarantine.is_refused(REQUEST));
}

#[test]
fn a_whole_answer_clears_it_here_and_elsewhere() {
    let mut quarantine = Quarantine::default();
    note(&mut quarantine, 1, START);
    note(&mut quarantine, 2, START.plus(300));
    let mut elsewhere = Quarantine::default();
    tell(&mut quarantine, &mut elsewhere, START.plus(310));
    let now = START.plus(400);
    assert!(elsewhere.note_answered(REQUEST, now));
    assert_eq!(elsewhere.ask(REQUEST, false, now), Permission::Free);
    let news = elsewhere.news(OTHER, ALL, now);
    for told in &news {
        assert_eq!(
            quarantine.hear(told, OTHER, NODE, false, now),
            HeardNews::Changed
        );
    }
    assert_eq!(quarantine.ask(REQUEST, false, now), Permission::Free);
    // What is answered all the time is never suspected.
    assert_eq!(note(&mut quarantine, 3, now.plus(5_000)), EndNews::Cleared);
    assert_eq!(
        quarantine.ask(REQUEST, false, now.plus(5_000)),
        Permission::Free
    );
}

#[test]
fn under_suspicion_one_node_at_a_time_sends_it() {
    let mut here = Quarantine::default();
    note(&mut here, 1, START);
    let mut there = Quarantine::default();
    tell(&mut here, &mut there, START);
    here.claim(REQUEST, NODE, START);
    there.claim(REQUEST, OTHER, START);
    let from_here = here.news(NODE, ALL, START);
    let from_there = there.news(OTHER, ALL, START);
    for told in &from_there {
        here.hear(told, OTHER, NODE, false, START);
    }
    for told in &from_here {
        there.hear(told, NODE, OTHER, false, START);
    }
    let begun = [
        here.begin(REQUEST, NODE, false, START),
        there.begin(REQUEST, OTHER, false, START),
    ];
    assert_eq!(begun, [true, false]);
    assert!(matches!(
        there.ask(REQUEST, false, START),
        Permission::Busy { .. }
    ));
    // The claim of a node that is heard no more lapses.
    let later = START.plus(1_500);
    assert_eq!(there.ask(REQUEST, false, later), Permission::AfterClaim);
    here.release(REQUEST, NODE, START);
    assert_eq!(here.ask(REQUEST, false, START), Permission::AfterClaim);
}

#[test]
fn while_an_engine_may_have_ended_nothing_else_is_sent() {
    let mut quarantine = Quarantine::default();
    quarantine.note_cut(REQUEST, TENANT, START);
    assert!(matches!(
        quarantine.ask(REQUEST, false, START),
        Permission::Busy { .. }
    ));
    quarantine.note_found(REQUEST);
    assert_eq!(quarantine.ask(REQUEST, false, START), Permission::Free);
}

#[test]
fn time_gives_a_refused_request_two_trials_and_no_more() {
    let (mut quarantine, mut now) = refused();
    for trial in 0..4 {
        now = now.plus(HOUR_MS);
        let is_tried = quarantine.ask(REQUEST, false, now) == Permission::AfterClaim;
        assert_eq!(is_tried, trial < 2);
        quarantine.claim(REQUEST, NODE, now);
        assert_eq!(quarantine.begin(REQUEST, NODE, false, now), is_tried);
        quarantine.release(REQUEST, NODE, now);
        // The trial counts, however it ends: a second copy is not sent.
        assert!(matches!(
            quarantine.ask(REQUEST, false, now),
            Permission::Refused { .. }
        ));
    }
}

#[test]
fn other_software_gives_it_a_trial_whose_answer_releases_it() {
    let (mut quarantine, now) = refused();
    assert_eq!(quarantine.ask(REQUEST, true, now), Permission::AfterClaim);
    let stored = quarantine.unstored(now);
    assert_eq!(stored.len(), 1);
    quarantine.note_stored(REQUEST, stored[0].1.trials, now);
    quarantine.claim(REQUEST, NODE, now);
    assert!(quarantine.begin(REQUEST, NODE, true, now));
    assert!(quarantine.note_answered(REQUEST, now.plus(50)));
    assert_eq!(
        quarantine.ask(REQUEST, false, now.plus(60)),
        Permission::Free
    );
}

#[test]
fn the_stores_list_is_taken_over_and_what_an_operator_removed_is_released() {
    let (mut quarantine, now) = refused();
    let stored = quarantine.unstored(now);
    quarantine.note_stored(REQUEST, 0, now);
    assert!(quarantine.unstored(now).is_empty());
    // All nodes have started again.
    let mut restarted = Quarantine::default();
    assert!(!restarted.is_known());
    restarted.take_list(stored, START, START.plus(5));
    assert!(restarted.is_known());
    assert!(restarted.is_refused(REQUEST));
    // A list that was asked for before the object was known to be there shows nothing.
    assert!(quarantine.take_list(Vec::new(), START, now).is_empty());
    let later = now.plus(1_000);
    assert_eq!(quarantine.take_list(Vec::new(), later, later), [REQUEST]);
    assert_eq!(quarantine.ask(REQUEST, false, later), Permission::Free);
    // Those that have not read the list yet tell of it no more.
    for told in restarted.news(OTHER, ALL, later) {
        quarantine.hear(&told, OTHER, NODE, false, later);
    }
    assert!(!quarantine.is_refused(REQUEST));
    // A release is no answer: the next ends count.
    assert_eq!(
        note(&mut quarantine, 20, later),
        EndNews::Suspected { moments: 1 }
    );
}

/// A store that came back from a copy lacked a refusal, which was taken for its release.
#[test]
fn a_refusal_that_the_store_has_lost_is_stored_again_and_not_released() {
    let (mut quarantine, now) = refused();
    quarantine.note_stored(REQUEST, 0, now);
    quarantine.note_store_restored();
    let later = now.plus(10_000);
    assert!(quarantine.take_list(Vec::new(), later, later).is_empty());
    assert!(quarantine.is_refused(REQUEST));
    let unstored = quarantine.unstored(later);
    assert_eq!(unstored.len(), 1);
    assert_eq!(unstored[0].0, REQUEST);
}

#[test]
fn a_tenant_with_a_thousand_of_them_forgets_its_own_only() {
    let (mut quarantine, now) = refused();
    for number in 0..2_000 {
        let request = RequestFingerprint(1_000 + number);
        let at = now.plus(number);
        let ended = end(number as u32 + 100, at, at);
        quarantine.note_end(request, TenantTag(2), ended, None, at);
    }
    assert!(quarantine.is_refused(REQUEST));
    assert!(quarantine.len() <= MAX_OF_TENANT + 1);
    for tenant in 0..2_000 {
        let ended = end(tenant as u32 + 5_000, now, now);
        let request = RequestFingerprint(10_000 + tenant);
        quarantine.note_end(request, TenantTag(10 + tenant), ended, None, now);
    }
    assert!(quarantine.len() <= MAX_REQUESTS);
    assert!(quarantine.is_refused(REQUEST));
}

#[test]
fn an_engine_that_had_streamed_for_long_says_nothing_of_the_request() {
    assert!(speaks_against(0));
    assert!(speaks_against(900));
    assert!(!speaks_against(2_100));
}
