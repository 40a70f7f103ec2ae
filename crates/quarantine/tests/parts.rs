//! Which requests may be sent, given the engines that ended under parts of their prompts.

use ploverlift_balancing::names::{EngineTag, PeerId};
use ploverlift_policy::ids::Millis;
use ploverlift_quarantine::evidence::EngineEnd;
use ploverlift_quarantine::exchange::{MergeOutcome, ReportOptions};
use ploverlift_quarantine::fingerprint::{RequestFingerprint, RequestTag};
use ploverlift_quarantine::part_answers::RecentPartAnswers;
use ploverlift_quarantine::quarantine::{EndOutcome, Permission, Quarantine};
use ploverlift_quarantine::request_permission::{
    PermissionQuery, RequestAttempt, RequestPermission,
};
use ploverlift_quarantine::retention::{
    MAX_PARTS, MAX_PARTS_PER_TENANT, MAX_PER_TENANT, MAX_REQUESTS,
};
use ploverlift_quarantine::subject::{PartFingerprint, PartIdentity, Subject};
use ploverlift_routing::rate_limit::TenantTag;

const PART: Subject = Subject::Part(PartFingerprint(7));
const OTHER_PART: Subject = Subject::Part(PartFingerprint(8));
const TENANT: TenantTag = TenantTag(1);
const NODE: PeerId = PeerId(1);
const OTHER: PeerId = PeerId(2);
const START: Millis = Millis(1_000_000);
/// Reports include what is due.
const DUE: ReportOptions = ReportOptions {
    is_period: false,
    includes_refused: false,
    passes_on: false,
};
/// Longest time for which a harmless part may be refused, in milliseconds.
const MAX_REFUSED_MS: u64 = 10_000;

fn record_end(quarantine: &mut Quarantine, part: Subject, engine: u32, at: Millis) -> EndOutcome {
    let end = EngineEnd {
        engine: EngineTag(engine),
        begun: Millis(at.0 - 50),
        at,
        request: RequestTag(engine),
    };
    quarantine.note_end(part, TENANT, end, None, at)
}

/// A quarantine in which engines ended under the part at three moments.
fn refused(part: Subject) -> Quarantine {
    let mut quarantine = Quarantine::default();
    refuse(&mut quarantine, part);
    quarantine
}

fn refuse(quarantine: &mut Quarantine, part: Subject) {
    for engine in 0..3 {
        record_end(
            quarantine,
            part,
            engine,
            START.plus(u64::from(engine) * 200),
        );
    }
    assert!(quarantine.is_refused(part));
}

fn request(number: u64) -> Subject {
    RequestFingerprint(number).into()
}

/// The permission of a new request with these parts.
fn permission(quarantine: &Quarantine, parts: &[Subject], now: Millis) -> RequestPermission {
    let subjects: Vec<Subject> = [request(now.0)].iter().chain(parts).copied().collect();
    let query = PermissionQuery {
        subjects: &subjects,
        has_new_software: &|_| false,
    };
    quarantine.request_permission(query, now)
}

/// Claims and begins the trial of a part; returns whether it may be sent.
fn begin_trial(quarantine: &mut Quarantine, part: Subject, node: PeerId, now: Millis) -> bool {
    quarantine.claim(part, node, now);
    let attempt = RequestAttempt {
        subjects: &[request(now.0), part],
        renewed: &[],
        claimed: &[part],
        own: node,
    };
    quarantine.begin_request(&attempt, &|_| false, now)
}

fn send_reports(from: &mut Quarantine, to: &mut Quarantine, now: Millis) -> Vec<MergeOutcome> {
    let reports = from.reports_due(NODE, DUE, now);
    let merged = reports
        .iter()
        .map(|report| to.merge(report, NODE, OTHER, true, now));
    merged.collect()
}

#[test]
fn the_fingerprint_of_a_part_depends_on_tenant_service_and_model() {
    let identity = PartIdentity {
        tenant: Some("a"),
        service: "s",
        model: "m",
        part: 5,
    };
    let known = PartFingerprint::of(&identity);
    let others = [
        PartIdentity {
            tenant: Some("b"),
            ..identity
        },
        PartIdentity {
            tenant: None,
            ..identity
        },
        PartIdentity {
            service: "t",
            ..identity
        },
        PartIdentity {
            model: "n",
            ..identity
        },
        PartIdentity {
            part: 6,
            ..identity
        },
    ];
    for other in &others {
        assert_ne!(known, PartFingerprint::of(other));
    }
}

#[test]
fn names_of_subjects_are_read_back_and_those_of_requests_are_unchanged() {
    let request = request(0xab);
    assert_eq!(request.to_string(), "00000000000000ab");
    let part = Subject::Part(PartFingerprint(0xab));
    for subject in [request, part] {
        assert_eq!(subject.to_string().parse(), Ok(subject));
    }
    // Earlier releases skip objects whose name is no fingerprint.
    assert!(part.to_string().parse::<RequestFingerprint>().is_err());
}

/// A claim on a part that most requests share would hold all of them.
#[test]
fn requests_with_a_part_run_freely_until_engines_ended_at_three_moments() {
    let mut quarantine = Quarantine::default();
    for engine in 0..2 {
        record_end(
            &mut quarantine,
            PART,
            engine,
            START.plus(u64::from(engine) * 200),
        );
        let now = START.plus(300);
        assert_eq!(
            permission(&quarantine, &[PART], now),
            RequestPermission::FREE
        );
    }
    let now = START.plus(500);
    assert_eq!(
        record_end(&mut quarantine, PART, 2, now),
        EndOutcome::Refused
    );
    let refused = permission(&quarantine, &[OTHER_PART, PART], now);
    assert!(matches!(refused.permission, Permission::Refused { .. }));
    assert_eq!(refused.due_to, Some(PART));
    // A request that waited meanwhile is checked again right before it is sent.
    let attempt = RequestAttempt {
        subjects: &[request(1), PART],
        renewed: &[],
        claimed: &[],
        own: NODE,
    };
    assert!(!quarantine.begin_request(&attempt, &|_| true, now));
}

/// Trials of a harmful part end engines: few may follow within a day.
#[test]
fn a_refused_part_gets_three_trials() {
    let mut quarantine = refused(PART);
    let mut trials = Vec::new();
    for second in 1..4 * 3_600 {
        let now = START.plus(second * 1_000);
        if permission(&quarantine, &[PART], now).permission == Permission::AfterClaim {
            assert!(begin_trial(&mut quarantine, PART, NODE, now));
            record_end(&mut quarantine, PART, 100 + second as u32, now.plus(50));
            quarantine.release(PART, NODE, now.plus(60));
            trials.push(second);
        }
    }
    assert_eq!(trials.len(), 3);
    assert!(trials[0] <= MAX_REFUSED_MS / 1_000);
}

#[test]
fn one_node_tries_a_refused_part_and_its_answer_frees_it_everywhere() {
    let mut here = refused(PART);
    let mut there = Quarantine::default();
    send_reports(&mut here, &mut there, START.plus(500));
    assert!(there.is_refused(PART));
    let now = START.plus(MAX_REFUSED_MS);
    assert!(begin_trial(&mut here, PART, NODE, now));
    send_reports(&mut here, &mut there, now);
    let elsewhere = permission(&there, &[PART], now);
    assert!(matches!(elsewhere.permission, Permission::Refused { .. }));
    assert!(here.note_answered(PART, now.plus(100)));
    send_reports(&mut here, &mut there, now.plus(100));
    for quarantine in [&here, &there] {
        assert!(!quarantine.is_refused(PART));
    }
    // Ends that follow say nothing of it.
    let later = now.plus(5_000);
    assert_eq!(record_end(&mut there, PART, 50, later), EndOutcome::Cleared);
}

/// A harmless part that often is beside a harmful one must be tried without it.
#[test]
fn a_request_with_one_refused_part_is_tried_before_one_with_two() {
    let mut quarantine = refused(PART);
    refuse(&mut quarantine, OTHER_PART);
    let due = START.plus(400 + 5_000);
    let alone = permission(&quarantine, &[PART], due);
    assert_eq!(alone.permission, Permission::AfterClaim);
    let together = permission(&quarantine, &[PART, OTHER_PART], due);
    assert!(matches!(together.permission, Permission::Refused { .. }));
    // Parts that only come together are tried together.
    let together = permission(&quarantine, &[PART, OTHER_PART], due.plus(2_000));
    assert_eq!(together.permission, Permission::AfterClaim);
    assert_eq!(together.to_claim, [PART, OTHER_PART]);
}

/// A node that does not serve requests with a part cannot know that it is harmless.
#[test]
fn a_node_that_serves_a_part_answers_the_suspicion_of_another_once() {
    let mut serving = Quarantine::default();
    serving.note_answered(PART, START);
    let mut reports = 0;
    for end in 0..20 {
        let now = START.plus(30_000 + end * 200);
        let mut suspecting = refused(PART);
        let outcomes = send_reports(&mut suspecting, &mut serving, now);
        let expected = match end {
            0 => MergeOutcome::Changed,
            _ => MergeOutcome::Unchanged,
        };
        assert_eq!(outcomes, [expected]);
        assert!(serving.is_empty(), "the ends are passed on");
        for answer in serving.reports_due(OTHER, DUE, now) {
            reports += 1;
            suspecting.merge(&answer, OTHER, NODE, false, now);
            assert!(!suspecting.is_refused(PART));
            assert!(suspecting.is_empty());
        }
    }
    assert_eq!(reports, 3);
}

/// The table of answers has a limit, and a part in constant use stays in it.
#[test]
fn answers_are_kept_for_parts_in_constant_use() {
    let popular = PartFingerprint(1);
    let mut answers = RecentPartAnswers::default();
    for number in 0..20_000 {
        let now = START.plus(number);
        if number % 100 == 0 {
            answers.note(popular, now);
        }
        answers.note(PartFingerprint(100 + number), now);
        assert!(answers.clear(popular, now));
        assert!(answers.len() <= 4_096);
    }
    assert!(!answers.clear(popular, START.plus(120_000)));
}

/// Each end of an engine is recorded against all parts of the requests that ran there.
#[test]
fn parts_beside_engine_ends_evict_neither_refused_ones_nor_requests() {
    let mut quarantine = refused(PART);
    let suspected = request(3);
    record_end(&mut quarantine, suspected, 1, START);
    for end in 0..50 {
        let now = START.plus(1_000 + end * 200);
        for part in 0..12 * 5 {
            let part = PartFingerprint(1_000 + end * 100 + part);
            record_end(&mut quarantine, part.into(), 100 + end as u32, now);
        }
    }
    assert!(quarantine.is_refused(PART));
    assert!(quarantine.len() <= MAX_PARTS_PER_TENANT + MAX_PER_TENANT);
    let now = START.plus(12_000);
    let permission = quarantine.permission_for(suspected, false, now);
    assert_eq!(permission, Permission::AfterClaim);
    for tenant in 0..2 * MAX_PARTS as u64 {
        let end = EngineEnd {
            engine: EngineTag(9),
            begun: now,
            at: now,
            request: RequestTag(1),
        };
        let part = PartFingerprint(1_000_000 + tenant).into();
        quarantine.note_end(part, TenantTag(100 + tenant), end, None, now);
    }
    assert!(quarantine.is_refused(PART));
    assert!(quarantine.len() <= MAX_PARTS + MAX_REQUESTS);
}

/// The store keeps the refusal through a restart of all nodes.
#[test]
fn a_refused_part_is_stored_and_read_back() {
    let quarantine = refused(PART);
    let stored = quarantine.unstored(START.plus(500));
    assert_eq!(stored.len(), 1);
    let mut restarted = Quarantine::default();
    let now = START.plus(1_000);
    restarted.apply_stored_list(stored, START, now);
    let permission = permission(&restarted, &[PART], now).permission;
    assert!(matches!(permission, Permission::Refused { .. }));
}

/// Ends under copies of one request are evidence against that request alone.
#[test]
fn copies_of_one_request_have_no_part_refused() {
    let mut quarantine = Quarantine::default();
    let end = |engine: u32, request: u32| {
        let at = START.plus(u64::from(engine) * 200);
        EngineEnd {
            engine: EngineTag(engine),
            begun: Millis(at.0 - 50),
            at,
            request: RequestTag(request),
        }
    };
    for engine in 0..4 {
        let end = end(engine, 1);
        quarantine.note_end(PART, TENANT, end, None, end.at);
        quarantine.note_end(request(1), TENANT, end, None, end.at);
    }
    assert!(quarantine.is_refused(request(1)));
    assert!(!quarantine.is_refused(PART));
    // Another request with the part ends an engine as well.
    let end = end(9, 2);
    quarantine.note_end(PART, TENANT, end, None, end.at);
    assert!(quarantine.is_refused(PART));
}
