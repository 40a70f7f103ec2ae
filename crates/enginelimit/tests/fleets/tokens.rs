//! Retransmitted token requests, and holders that do not answer.

use ploverlift_balancing::engine_rate_limits::EngineRateLimits;
use ploverlift_balancing::names::{EngineTag, PeerId};
use ploverlift_enginelimit::group::{GroupTag, NodeAddress};
use ploverlift_enginelimit::limits::EngineLimits;
use ploverlift_enginelimit::node_messages::{TokenAnswer, TokenRequest, Wanted};
use ploverlift_enginelimit::observation::Observation;
use ploverlift_policy::ids::Millis;

const GROUP: GroupTag = GroupTag(1);
const ENGINE: EngineTag = EngineTag(2);

/// The holder of an engine that has advertised one request a second since time 0.
fn holder() -> EngineLimits {
    let mut limits = EngineLimits::new(NodeAddress {
        node: PeerId(1),
        ..NodeAddress::UNREACHABLE
    });
    let seen = Observation {
        engine: ENGINE,
        limit: Some(1.0),
        sent_at: Millis(0),
        head_at: Millis(0),
    };
    limits.observe(&seen, GROUP, &mut EngineRateLimits::default(), Millis(0));
    limits
}

fn request_token(limits: &mut EngineLimits, number: u64, at_ms: u64) -> bool {
    let request = TokenRequest {
        sender: PeerId(2),
        number,
        group: GROUP,
        wanted: Wanted::Engine(ENGINE),
        is_urgent: true,
    };
    let answer = limits.answer(&request, Millis(at_ms));
    matches!(answer, TokenAnswer::Granted { .. })
}

#[test]
fn a_retransmitted_request_takes_one_token() {
    let mut limits = holder();
    assert!(request_token(&mut limits, 7, 1_000));
    assert!(request_token(&mut limits, 7, 1_040));
    assert!(!request_token(&mut limits, 8, 1_050));
    // Only one token was taken: the next one is available a second later.
    assert!(request_token(&mut limits, 9, 2_000));
}

/// A restarted node may reuse request numbers of its previous run. The holder used to
/// repeat the answer to the old request, so that no token was taken for the new one.
#[test]
fn a_reused_request_number_does_not_get_the_old_answer() {
    let mut limits = holder();
    assert!(request_token(&mut limits, 7, 1_000));
    assert!(request_token(&mut limits, 8, 2_000));
    assert!(request_token(&mut limits, 7, 3_000));
    assert!(!request_token(&mut limits, 9, 3_010));
}

/// Each token request to a silent holder waits for its time-out. A request that tried one
/// engine after another used to wait four times before it was rejected.
#[test]
fn no_tokens_are_requested_right_after_the_holder_did_not_answer() {
    let mut limits = EngineLimits::new(NodeAddress {
        node: PeerId(3),
        ..NodeAddress::UNREACHABLE
    });
    let mut rate_limits = EngineRateLimits::default();
    for news in holder().all_updates(Millis(0)) {
        limits.apply_update(&news, false, &mut rate_limits, Millis(0));
    }
    assert!(rate_limits.has_token(ENGINE, Millis(1_000)));
    limits.note_unanswered(GROUP, &mut rate_limits, Millis(1_000));
    assert!(!rate_limits.has_token(ENGINE, Millis(1_010)));
    assert!(!limits.may_have_token(GROUP, Millis(1_010)));
    assert!(rate_limits.has_token(ENGINE, Millis(1_200)));
}
