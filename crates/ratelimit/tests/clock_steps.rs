//! A node names its life by the time of day, which may be set back before it restarts.

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
fn a_node_that_restarts_with_its_clock_set_back_is_counted_and_late_reports_are_not() {
    let limit = RateLimit {
        per_second: 1_000.0,
        burst: 10_000.0,
        unit: LimitUnit::Requests,
    };
    let limits = HashMap::from([(TenantTag::of("t"), limit)]);
    let part = PartId::Node(SENDER);
    let mut accounts = Accounts::beginning_at(NOW);
    let mut tell = |life, sequence, admitted, after_ms: u64| {
        let now = NOW.plus(after_ms);
        // The accounts are advanced all the time: without that it would be a pause.
        for step in (0..=after_ms).step_by(100) {
            accounts.advance(&limits, |_| 0.0, SIZE, NOW.plus(step));
        }
        let report = report(life, sequence, admitted);
        accounts.apply(part, &report, &limits, now);
        accounts.counted_of(SENDER, TenantTag::of("t"))
    };
    assert_eq!(tell(9_000, 50, 300, 0), 300);
    // A report of an earlier life that was held up on its way.
    assert_eq!(tell(8_000, 70, 900, 100), 300);
    // The process is back a second later, its clock two seconds behind.
    assert_eq!(tell(7_500, 1, 40, 1_200), 40);
    assert_eq!(tell(7_500, 2, 60, 1_300), 60);
}
