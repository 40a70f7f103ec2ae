//! Evidence by which a node stops sending to the target without a decider.

use crate::counts::answer;
use crate::gate_case::{gate, read_request, reason_of, view, NOW, SHARE};
use crate::stages::version;
use ploverlift_rollout::counts::{Counts, Side};
use ploverlift_rollout::share::GateReason;
use ploverlift_rollout::stage::Stage;
use ploverlift_routing::software::SoftwareRule;

#[test]
fn a_node_stops_at_once_when_its_own_answers_are_bad() {
    let nothing = Counts::default();
    let mut gate = gate(SHARE);
    for _ in 0..40 {
        gate.note_answer(read_request().route, Side::Established, &answer(false, 20));
    }
    for _ in 0..6 {
        assert!(gate.own_finding().is_none());
        gate.note_answer(read_request().route, Side::Target, &answer(true, 0));
    }
    assert!(gate.own_finding().is_some());
    assert_eq!(
        reason_of(&gate, &read_request(), &view(&nothing)),
        GateReason::StoppedByEvidence
    );
    assert!(gate.confirm(0).has_stopped);
}

#[test]
fn requests_that_both_versions_fail_stop_no_node() {
    let mut gate = gate(SHARE);
    for _ in 0..20 {
        gate.note_answer(read_request().route, Side::Established, &answer(true, 0));
        gate.note_answer(read_request().route, Side::Target, &answer(true, 0));
    }
    assert!(gate.own_finding().is_none());
}

#[test]
fn many_bad_answers_of_the_fleet_stop_each_node_without_a_decider() {
    let mut sums = Counts::default();
    for number in 0..2_000 {
        sums.note_request(read_request().route, true);
        sums.note_answer(
            read_request().route,
            Side::Established,
            &answer(false, number % 50),
        );
    }
    (0..26).for_each(|_| sums.note_answer(read_request().route, Side::Target, &answer(true, 0)));
    assert_eq!(
        reason_of(&gate(SHARE), &read_request(), &view(&sums)),
        GateReason::StoppedByEvidence
    );
    let mut leaving = gate(Stage::CuttingOver);
    let before = leaving.decide(&read_request(), &view(&sums), NOW);
    assert_eq!(
        before.rule,
        Some(SoftwareRule::Except(version("v2"))),
        "not left yet"
    );
    assert!(leaving.confirm(0).has_left_established);
    assert_eq!(
        leaving.decide(&read_request(), &view(&sums), NOW).rule,
        None,
        "left for good"
    );
}
