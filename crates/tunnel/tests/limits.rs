//! Limits on the tunnels that a node carries.

use ploverlift_policy::ids::Millis;
use ploverlift_tunnel::limits::{TunnelLimits, TunnelUse};

const LIMITS: TunnelLimits = TunnelLimits {
    max_open: 3,
    max_opening: 2,
    bytes_per_second: Some(1_000_000.0),
};

// Guards against requests for tunnels that never end taking all descriptors of a node.
#[test]
fn open_and_pending_tunnels_are_bounded() {
    let mut tunnel_use = TunnelUse::new(LIMITS);
    assert!(tunnel_use.begin_opening() && tunnel_use.begin_opening());
    assert!(!tunnel_use.begin_opening(), "two are pending");
    tunnel_use.end_opening(true);
    tunnel_use.end_opening(true);
    assert!(tunnel_use.begin_opening());
    assert!(!tunnel_use.begin_opening(), "two are open, one is pending");
    tunnel_use.end_opening(false);
    assert_eq!(tunnel_use.open(), 2);
    tunnel_use.close();
    assert!(tunnel_use.begin_opening() && tunnel_use.begin_opening());
}

// Guards against tunnels taking the link of the node that carries them.
#[test]
fn bytes_are_paced_to_the_limit() {
    let mut tunnel_use = TunnelUse::new(LIMITS);
    let mut now = Millis(10_000);
    let mut passed = 0;
    while now < Millis(20_000) {
        passed += 16_000;
        let wait_ms = tunnel_use.pass_bytes(16_000, now);
        now = now.plus(wait_ms.max(1));
    }
    let burst = 250_000;
    assert!(
        passed <= 10_000_000 + burst + 16_000,
        "{passed} bytes in 10 s"
    );
    assert!(passed >= 9_500_000, "{passed} bytes in 10 s");
}

#[test]
fn bytes_are_not_paced_where_the_bandwidth_is_unknown() {
    let mut tunnel_use = TunnelUse::new(TunnelLimits {
        bytes_per_second: None,
        ..LIMITS
    });
    assert_eq!(tunnel_use.pass_bytes(usize::MAX, Millis(1)), 0);
}
