//! Restarts with a clock that was set back: a node identifies its life by the wall clock at
//! its start.

use ploverlift_balancing::peer_loads::PeerId;
use ploverlift_policy::ids::Millis;
use ploverlift_ratelimit::accounts::{Accounts, FleetSize};
use ploverlift_ratelimit::reports::{PartId, TenantUse, UseReport};
use ploverlift_routing::rate_limit::{LimitUnit, RateLimit, TenantTag};
use std::collections::HashMap;

const NOW: Millis = Millis(1_000_000);
const SENDER: PeerId = PeerId(7);
const SIZE: FleetSize = FleetSize {
    nodes: 2,
    started_at: NOW,
};

fn report(life: u64, sequence: u64, admitted: u64) -> UseReport {
    UseReport {
        sender: SENDER,
        life,
        sequence,
        nodes: 1,
        uses: vec![TenantUse {
            tenant: TenantTag::of("t"),
            admitted,
            asked: admitted,
        }],
    }
}

#[test]
fn a_node_that_restarts_with_its_clock_set_back_is_counted_and_late_reports_are_ignored() {
    let limit = RateLimit {
        per_second: 1_000.0,
        burst: 10_000.0,
        unit: LimitUnit::Requests,
    };
    let limits = HashMap::from([(TenantTag::of("t"), limit)]);
    let part = PartId::Node(SENDER);
    let mut accounts = Accounts::beginning_at(NOW);
    let mut level = 0.0;
    // The tokens that a report charges to the bucket.
    let mut charged = |life, sequence, admitted, after_ms: u64| {
        let now = NOW.plus(after_ms);
        // The accounts are advanced continuously; a gap would count as a pause.
        for step in (0..=after_ms).step_by(100) {
            accounts.advance(&limits, |_| 0.0, SIZE, NOW.plus(step));
        }
        let report = report(life, sequence, admitted);
        let tenant = TenantTag::of("t");
        level = accounts.standing(tenant, &limit, now).level;
        accounts.apply(part, &report, &limits, now);
        level - accounts.standing(tenant, &limit, now).level
    };
    charged(9_000, 50, 300, 0);
    assert_eq!(charged(9_000, 51, 700, 100), 400.0);
    // A delayed report of an earlier life.
    assert_eq!(charged(8_000, 70, 9_000, 599), 0.0);
    // The process has restarted with its clock about two seconds behind. What it admitted
    // before its first report cannot be distinguished from what its earlier life admitted.
    assert_eq!(charged(7_500, 1, 40, 600), 0.0);
    assert_eq!(charged(7_500, 2, 60, 700), 20.0);
    // A report of the higher life counts as the next life again, from its own start.
    assert_eq!(charged(9_000, 52, 710, 800), 710.0);
}
