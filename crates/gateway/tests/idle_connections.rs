//! How many idle connections a fleet keeps to one engine.

use ploverlift_gateway::kept_connections::idle_share;
use ploverlift_rollout::credits::Seat;

// Guards against connections that the nodes keep idle using up what an engine admits: after a loss
// of power it counts them until its time-out.
#[test]
fn a_fleet_keeps_less_than_half_of_what_an_engine_admits_idle() {
    for nodes in [1, 7, 8, 20, 69, 985] {
        for limit in [1, 2, 6, 16, 30, 60, 92, 100, 230, 4_000] {
            for rotation in [0, 5, u64::MAX] {
                let positions = (0..nodes).map(|rank| Seat { rank, nodes });
                let shares = positions.map(|at| idle_share(Some(limit), at, rotation));
                let kept: usize = shares.sum();
                assert!(
                    2 * kept < limit as usize,
                    "{nodes} nodes keep {kept} of {limit}"
                );
                let is_used = kept > 0 || limit <= 2;
                assert!(is_used, "{nodes} nodes keep none of {limit}");
            }
        }
    }
}
