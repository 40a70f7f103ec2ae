//! Which requests may be sent, given the engines that ended under them before.

use ploverlift_balancing::names::{EngineTag, PeerId};
use ploverlift_policy::ids::Millis;
use ploverlift_quarantine::evidence::{counts_as_evidence, EngineEnd};
use ploverlift_quarantine::exchange::{MergeOutcome, ReportOptions};
use ploverlift_quarantine::fingerprint::{RequestFingerprint, RequestParts, RequestTag};
use ploverlift_quarantine::quarantine::{
    EndOutcome, Permission, Quarantine, MOMENTS_UNTIL_REFUSED,
};
use ploverlift_quarantine::retention::{MAX_PER_TENANT, MAX_REQUESTS};
use ploverlift_quarantine::subject::Subject;
use ploverlift_routing::rate_limit::TenantTag;
use ploverlift_routing::software::SoftwareVersion;

const REQUEST: Subject = Subject::Request(RequestFingerprint(7));
const TENANT: TenantTag = TenantTag(1);
const NODE: PeerId = PeerId(1);
const OTHER: PeerId = PeerId(2);
const START: Millis = Millis(1_000_000);
/// Reports include everything.
const ALL: ReportOptions = ReportOptions {
    is_period: true,
    includes_refused: true,
    passes_on: false,
};
/// The time until a refused request is tried again, in milliseconds.
const HOUR_MS: u64 = 3_600_000;

fn end(engine: u32, begun: Millis, at: Millis) -> EngineEnd {
    EngineEnd {
        engine: EngineTag(engine),
        begun,
        at,
        request: RequestTag(7),
    }
}

/// Records that an engine ended after it ran the request for 100 ms.
fn record_end(quarantine: &mut Quarantine, engine: u32, at: Millis) -> EndOutcome {
    let begun = Millis(at.0 - 100);
    let software = Some(SoftwareVersion("v1".to_owned()));
    quarantine.note_end(REQUEST, TENANT, end(engine, begun, at), software, at)
}

/// A quarantine in which engines ended under the request at three moments.
fn refused() -> (Quarantine, Millis) {
    let mut quarantine = Quarantine::default();
    for engine in 1..MOMENTS_UNTIL_REFUSED as u32 {
        let news = record_end(&mut quarantine, engine, START.plus(u64::from(engine) * 200));
        let moments = engine as usize;
        assert_eq!(news, EndOutcome::Suspected { moments });
    }
    let now = START.plus(1_000);
    assert_eq!(record_end(&mut quarantine, 9, now), EndOutcome::Refused);
    (quarantine, now)
}

/// Sends all reports of one node to another.
fn send_reports(from: &mut Quarantine, to: &mut Quarantine, now: Millis) -> Vec<MergeOutcome> {
    let news = from.reports_due(NODE, ALL, now);
    let heard = news
        .iter()
        .map(|told| to.merge(told, NODE, OTHER, false, now));
    heard.collect()
}

#[test]
fn the_fingerprint_is_stable_and_depends_on_each_part() {
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
        // The same bytes, split differently into parts.
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
fn engine_ends_at_three_moments_refuse_the_request_everywhere() {
    let (mut quarantine, now) = refused();
    let permission = quarantine.permission_for(REQUEST, false, now);
    assert!(matches!(permission, Permission::Refused { retry_after_ms } if retry_after_ms > 0));
    let mut elsewhere = Quarantine::default();
    assert_eq!(
        send_reports(&mut quarantine, &mut elsewhere, now),
        [MergeOutcome::Refused]
    );
    assert!(elsewhere.is_refused(REQUEST));
    assert_eq!(
        send_reports(&mut quarantine, &mut elsewhere, now),
        [MergeOutcome::Unchanged]
    );
}

#[test]
fn engines_that_end_at_one_moment_count_once() {
    let mut quarantine = Quarantine::default();
    for engine in 0..8 {
        // Copies were sent at once to the engines of a rack, which then loses power.
        let at = START.plus(500 + u64::from(engine));
        quarantine.note_end(REQUEST, TENANT, end(engine, START, at), None, at);
    }
    let now = START.plus(2_000);
    assert_eq!(
        quarantine.permission_for(REQUEST, false, now),
        Permission::AfterClaim
    );
    // A copy that was sent after the first end also ends its engine.
    let mut quarantine = Quarantine::default();
    for engine in 0..MOMENTS_UNTIL_REFUSED as u32 {
        let at = START.plus(u64::from(engine) * 30);
        let begun = Millis(at.0 - 20);
        quarantine.note_end(REQUEST, TENANT, end(engine, begun, at), None, at);
    }
    assert!(quarantine.is_refused(REQUEST));
}

#[test]
fn a_full_answer_clears_the_request_on_all_nodes() {
    let mut quarantine = Quarantine::default();
    record_end(&mut quarantine, 1, START);
    record_end(&mut quarantine, 2, START.plus(300));
    let mut elsewhere = Quarantine::default();
    send_reports(&mut quarantine, &mut elsewhere, START.plus(310));
    let now = START.plus(400);
    assert!(elsewhere.note_answered(REQUEST, now));
    assert_eq!(
        elsewhere.permission_for(REQUEST, false, now),
        Permission::Free
    );
    let news = elsewhere.reports_due(OTHER, ALL, now);
    for told in &news {
        assert_eq!(
            quarantine.merge(told, OTHER, NODE, false, now),
            MergeOutcome::Changed
        );
    }
    assert_eq!(
        quarantine.permission_for(REQUEST, false, now),
        Permission::Free
    );
    // A request that is answered continuously is never suspected.
    assert_eq!(
        record_end(&mut quarantine, 3, now.plus(5_000)),
        EndOutcome::Cleared
    );
    assert_eq!(
        quarantine.permission_for(REQUEST, false, now.plus(5_000)),
        Permission::Free
    );
}

#[test]
fn only_the_claiming_node_sends_a_suspected_request() {
    let mut here = Quarantine::default();
    record_end(&mut here, 1, START);
    let mut there = Quarantine::default();
    send_reports(&mut here, &mut there, START);
    here.claim(REQUEST, NODE, START);
    there.claim(REQUEST, OTHER, START);
    let from_here = here.reports_due(NODE, ALL, START);
    let from_there = there.reports_due(OTHER, ALL, START);
    for told in &from_there {
        here.merge(told, OTHER, NODE, false, START);
    }
    for told in &from_here {
        there.merge(told, NODE, OTHER, false, START);
    }
    let begun = [
        here.begin_attempt(REQUEST, NODE, false, START),
        there.begin_attempt(REQUEST, OTHER, false, START),
    ];
    assert_eq!(begun, [true, false]);
    assert!(matches!(
        there.permission_for(REQUEST, false, START),
        Permission::Busy { .. }
    ));
    // The claim of a node that no longer reports expires.
    let later = START.plus(1_500);
    assert_eq!(
        there.permission_for(REQUEST, false, later),
        Permission::AfterClaim
    );
    here.release(REQUEST, NODE, START);
    assert_eq!(
        here.permission_for(REQUEST, false, START),
        Permission::AfterClaim
    );
}

#[test]
fn nothing_is_sent_while_the_outcome_of_a_copy_is_unknown() {
    let mut quarantine = Quarantine::default();
    quarantine.note_undetermined_outcome(REQUEST, TENANT, START);
    assert!(matches!(
        quarantine.permission_for(REQUEST, false, START),
        Permission::Busy { .. }
    ));
    quarantine.note_determined_outcome(REQUEST);
    assert_eq!(
        quarantine.permission_for(REQUEST, false, START),
        Permission::Free
    );
}

#[test]
fn a_refused_request_gets_two_timed_trials_and_no_more() {
    let (mut quarantine, mut now) = refused();
    for trial in 0..4 {
        now = now.plus(HOUR_MS);
        let is_tried = quarantine.permission_for(REQUEST, false, now) == Permission::AfterClaim;
        assert_eq!(is_tried, trial < 2);
        quarantine.claim(REQUEST, NODE, now);
        assert_eq!(
            quarantine.begin_attempt(REQUEST, NODE, false, now),
            is_tried
        );
        quarantine.release(REQUEST, NODE, now);
        // The trial counts regardless of its outcome: no second copy is sent.
        assert!(matches!(
            quarantine.permission_for(REQUEST, false, now),
            Permission::Refused { .. }
        ));
    }
}

#[test]
fn new_software_allows_a_trial_whose_answer_releases_the_request() {
    let (mut quarantine, now) = refused();
    assert_eq!(
        quarantine.permission_for(REQUEST, true, now),
        Permission::AfterClaim
    );
    let stored = quarantine.unstored(now);
    assert_eq!(stored.len(), 1);
    quarantine.note_stored(REQUEST, stored[0].1.trials, now);
    quarantine.claim(REQUEST, NODE, now);
    assert!(quarantine.begin_attempt(REQUEST, NODE, true, now));
    assert!(quarantine.note_answered(REQUEST, now.plus(50)));
    assert_eq!(
        quarantine.permission_for(REQUEST, false, now.plus(60)),
        Permission::Free
    );
}

#[test]
fn the_stored_list_is_applied_and_removed_requests_are_released() {
    let (mut quarantine, now) = refused();
    let stored = quarantine.unstored(now);
    quarantine.note_stored(REQUEST, 0, now);
    assert!(quarantine.unstored(now).is_empty());
    // All nodes have restarted.
    let mut restarted = Quarantine::default();
    assert!(!restarted.is_stored_list_known());
    restarted.apply_stored_list(stored, START, START.plus(5));
    assert!(restarted.is_stored_list_known());
    assert!(restarted.is_refused(REQUEST));
    // A list that was requested before the object was known to be stored is no evidence of
    // a release.
    assert!(quarantine
        .apply_stored_list(Vec::new(), START, now)
        .is_empty());
    let later = now.plus(1_000);
    assert_eq!(
        quarantine.apply_stored_list(Vec::new(), later, later),
        [REQUEST]
    );
    assert_eq!(
        quarantine.permission_for(REQUEST, false, later),
        Permission::Free
    );
    // Nodes that have not read the list yet can no longer report it as refused.
    for told in restarted.reports_due(OTHER, ALL, later) {
        quarantine.merge(&told, OTHER, NODE, false, later);
    }
    assert!(!quarantine.is_refused(REQUEST));
    // A release is not an answer: later ends count.
    assert_eq!(
        record_end(&mut quarantine, 20, later),
        EndOutcome::Suspected { moments: 1 }
    );
}

/// A store that was restored from a copy lacked a refusal, which was mistaken for its
/// release.
#[test]
fn a_refusal_that_the_store_lost_is_stored_again_and_not_released() {
    let (mut quarantine, now) = refused();
    quarantine.note_stored(REQUEST, 0, now);
    quarantine.note_store_restored();
    let later = now.plus(10_000);
    assert!(quarantine
        .apply_stored_list(Vec::new(), later, later)
        .is_empty());
    assert!(quarantine.is_refused(REQUEST));
    let unstored = quarantine.unstored(later);
    assert_eq!(unstored.len(), 1);
    assert_eq!(unstored[0].0, REQUEST);
}

#[test]
fn a_tenant_with_many_suspects_evicts_only_its_own() {
    let (mut quarantine, now) = refused();
    for number in 0..2_000 {
        let request = RequestFingerprint(1_000 + number).into();
        let at = now.plus(number);
        let ended = end(number as u32 + 100, at, at);
        quarantine.note_end(request, TenantTag(2), ended, None, at);
    }
    assert!(quarantine.is_refused(REQUEST));
    assert!(quarantine.len() <= MAX_PER_TENANT + 1);
    for tenant in 0..2_000 {
        let ended = end(tenant as u32 + 5_000, now, now);
        let request = RequestFingerprint(10_000 + tenant).into();
        quarantine.note_end(request, TenantTag(10 + tenant), ended, None, now);
    }
    assert!(quarantine.len() <= MAX_REQUESTS);
    assert!(quarantine.is_refused(REQUEST));
}

#[test]
fn the_end_of_a_long_stream_is_no_evidence() {
    assert!(counts_as_evidence(0));
    assert!(counts_as_evidence(900));
    assert!(!counts_as_evidence(2_100));
}
