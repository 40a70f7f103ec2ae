//! Which outcomes count as evidence on a version.

use crate::beliefs::{node_with_requests, reporter, service};
use ploverlift_balancing::catalogue::InstanceId;
use ploverlift_balancing::health::Outcome;
use ploverlift_gateway::outcomes::ObservedAttempt;
use ploverlift_gateway::rollouts::EngineCondition;
use ploverlift_rollout::counts::Side;
use ploverlift_routing::software::SoftwareVersion;

#[test]
fn outcomes_that_do_not_depend_on_the_version_are_not_counted() {
    let attempt = |outcome: Outcome| ObservedAttempt {
        service: service(),
        route: "a".to_owned(),
        instance: InstanceId("i".to_owned()),
        software: SoftwareVersion("v2".to_owned()),
        is_repeat: false,
        outcome,
        first_byte_ms: Some(40),
        duration_ms: 50,
    };
    let counted = |outcome: Outcome, condition: EngineCondition| {
        let mut node = node_with_requests(0);
        node.observe(&attempt(outcome), condition);
        let own = node.own_report(reporter(1), 1).counts.remove(0).counts;
        let target = own.all_routes(Side::Target);
        (target.answers, target.failures, target.first_byte.total())
    };
    let (steady, cold) = (EngineCondition::Steady, EngineCondition::Cold);
    assert_eq!(counted(Outcome::Answered, steady), (1, 0, 1));
    assert_eq!(counted(Outcome::Failed, steady), (1, 1, 1));
    assert_eq!(counted(Outcome::Broken, steady), (1, 1, 1));
    assert_eq!(counted(Outcome::Refused, steady), (0, 0, 0));
    assert_eq!(counted(Outcome::Unreachable, steady), (0, 0, 0));
    // A cold engine is slow, whatever its version.
    assert_eq!(counted(Outcome::Answered, cold), (1, 0, 0));
    assert_eq!(counted(Outcome::Failed, cold), (1, 1, 0));
    assert_eq!(counted(Outcome::Broken, cold), (0, 0, 0));
    assert_eq!(
        counted(Outcome::Failed, EngineCondition::Disturbed),
        (0, 0, 0)
    );
}

#[test]
fn repeated_attempts_are_not_counted_for_either_version() {
    let counted = |software: &str, side: Side, is_repeat: bool| {
        let mut node = node_with_requests(0);
        let attempt = ObservedAttempt {
            service: service(),
            route: "a".to_owned(),
            instance: InstanceId("i".to_owned()),
            software: SoftwareVersion(software.to_owned()),
            is_repeat,
            outcome: Outcome::Failed,
            first_byte_ms: Some(40),
            duration_ms: 50,
        };
        node.observe(&attempt, EngineCondition::Steady);
        let own = node.own_report(reporter(1), 1).counts.remove(0).counts;
        own.all_routes(side).answers
    };
    for (software, side) in [("v2", Side::Target), ("v1", Side::Established)] {
        assert_eq!(counted(software, side, false), 1);
        assert_eq!(counted(software, side, true), 0);
    }
}
