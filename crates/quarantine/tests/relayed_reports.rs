//! Reports between relays that are under way for some time. The ages in them lack that time, so
//! that each relay took what it had sent itself, and got back, for something newer: both
//! repeated it without end, the time until the trial grew, and claims did not expire.

use ploverlift_balancing::names::{EngineTag, PeerId};
use ploverlift_policy::ids::Millis;
use ploverlift_quarantine::evidence::EngineEnd;
use ploverlift_quarantine::exchange::ReportOptions;
use ploverlift_quarantine::fingerprint::{RequestFingerprint, RequestTag};
use ploverlift_quarantine::node_messages::ReportedSubject;
use ploverlift_quarantine::quarantine::{Permission, Quarantine};
use ploverlift_quarantine::subject::Subject;
use ploverlift_routing::rate_limit::TenantTag;

const REQUEST: Subject = Subject::Request(RequestFingerprint(7));
const TENANT: TenantTag = TenantTag(1);
const CLAIMING: PeerId = PeerId(9);
const START: Millis = Millis(1_000_000);
/// Time for which a report is under way, in milliseconds.
const TRANSIT_MS: u64 = 20;
/// Time between two reports of a relay at least, in milliseconds.
const STEP_MS: u64 = 5;
/// Duration of the exchange, in milliseconds.
const DURATION_MS: u64 = 5_000;
/// Reports of one change that each relay may send.
const MAX_REPORTS: usize = 12;
const OPTIONS: ReportOptions = ReportOptions {
    is_period: false,
    includes_refused: false,
    passes_on: true,
};

/// Two relays, and the reports that are under way between them.
struct Relays {
    quarantines: [Quarantine; 2],
    under_way: Vec<(Millis, usize, Vec<ReportedSubject>)>,
    reports: usize,
}

impl Relays {
    /// Two relays that both know of engine ends under the request at this many moments.
    fn new(moments: u32) -> Self {
        let mut quarantines = [Quarantine::default(), Quarantine::default()];
        for quarantine in &mut quarantines {
            for engine in 0..moments {
                let at = START.plus(u64::from(engine) * 200);
                let end = EngineEnd {
                    engine: EngineTag(engine),
                    begun: at,
                    at: at.plus(50),
                    request: RequestTag(7),
                };
                quarantine.note_end(REQUEST, TENANT, end, None, at.plus(50));
            }
        }
        Self {
            quarantines,
            under_way: Vec::new(),
            reports: 0,
        }
    }

    fn exchange(&mut self, from: Millis) {
        for step in 0..DURATION_MS / STEP_MS {
            let now = from.plus(step * STEP_MS);
            let under_way = std::mem::take(&mut self.under_way);
            let (arrived, under_way) = under_way.into_iter().partition(|(at, _, _)| *at <= now);
            self.under_way = under_way;
            let arrived: Vec<(Millis, usize, Vec<ReportedSubject>)> = arrived;
            for (_, sender, reports) in arrived {
                let peers = [PeerId(1), PeerId(2)];
                let (from, to) = (peers[sender], peers[1 - sender]);
                for report in &reports {
                    self.quarantines[1 - sender].merge(report, from, to, true, now);
                }
            }
            for sender in 0..2 {
                let own = PeerId(sender as u64 + 1);
                let due = self.quarantines[sender].reports_due(own, OPTIONS, now);
                if !due.is_empty() {
                    self.reports += 1;
                    self.under_way.push((now.plus(TRANSIT_MS), sender, due));
                }
            }
        }
    }
}

#[test]
fn relays_repeat_a_refusal_no_more_than_a_change_needs() {
    let mut relays = Relays::new(3);
    let now = START.plus(500);
    relays.exchange(now);
    assert!(relays.reports <= 2 * MAX_REPORTS, "{}", relays.reports);
    let later = now.plus(DURATION_MS);
    for quarantine in &relays.quarantines {
        let Permission::Refused { retry_after_ms } =
            quarantine.permission_for(REQUEST, false, later)
        else {
            panic!("not refused");
        };
        let expected_ms = 3_600_000 - DURATION_MS;
        assert!(retry_after_ms <= expected_ms + 200, "{retry_after_ms}");
    }
}

#[test]
fn relays_let_the_claim_of_a_silent_node_expire() {
    let mut relays = Relays::new(1);
    let now = START.plus(500);
    let mut claiming = relays.quarantines[0].clone();
    claiming.claim(REQUEST, CLAIMING, now);
    for report in claiming.reports_due(CLAIMING, OPTIONS, now) {
        relays.quarantines[0].merge(&report, CLAIMING, PeerId(1), true, now);
    }
    relays.exchange(now);
    assert!(relays.reports <= 2 * MAX_REPORTS, "{}", relays.reports);
    let later = now.plus(DURATION_MS);
    for quarantine in &relays.quarantines {
        let permission = quarantine.permission_for(REQUEST, false, later);
        assert_eq!(permission, Permission::AfterClaim);
    }
}
