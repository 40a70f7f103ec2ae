//! Rules by which votes on a claim are counted.

use ploverlift_cluster::claim_proposer::{ClaimOutcome, Proposal};
use ploverlift_cluster::claims::{majority, recovery_quorum, ClaimKey};
use ploverlift_cluster::node_key::NodeKey;
use ploverlift_policy::ids::{Millis, NodeName};
use ploverlift_policy::objects::ClaimGroupSpec;
use ploverlift_wire::messages::{ClaimVerdict, ClaimVote, ReplicaLife};
use std::sync::Arc;

const NAMES: [&str; 3] = ["a", "b", "c"];

fn key(number: usize) -> NodeKey {
    NodeKey::of(&NodeName::from(NAMES[number]))
}

fn proposal() -> Proposal {
    let spec = ClaimGroupSpec {
        generation: 1,
        replicas: NAMES.map(NodeName::from).to_vec(),
        previous: Vec::new(),
        lives: vec![1, 1, 1],
    };
    let claim = ClaimKey::of("tenant", "route", "key");
    Proposal::new("claims-0", Arc::new(spec), claim, 7, 0, Millis(0))
}

/// A grant that reports these incarnations of other replicas.
fn grant(known: &[(usize, u64)]) -> ClaimVote {
    let lives = known.iter().map(|(replica, life)| ReplicaLife {
        replica: key(*replica).0,
        life: *life,
    });
    ClaimVote {
        owner: 7,
        verdict: ClaimVerdict::Granted.into(),
        known_lives: lives.collect(),
        ..ClaimVote::default()
    }
}

#[test]
fn two_of_three_grants_are_a_majority() {
    let mut proposal = proposal();
    assert_eq!(proposal.on_vote(grant(&[]), key(0), 1), None);
    assert_eq!(
        proposal.on_vote(grant(&[]), key(1), 1),
        Some(ClaimOutcome::Granted)
    );
}

#[test]
fn a_grant_of_an_earlier_incarnation_does_not_count() {
    let mut proposal = proposal();
    assert_eq!(proposal.on_vote(grant(&[]), key(0), 1), None);
    // The second voter has sent its claims to a later incarnation of the first.
    assert_eq!(proposal.on_vote(grant(&[(0, 2)]), key(1), 1), None);
    assert_eq!(
        proposal.on_vote(grant(&[]), key(2), 1),
        Some(ClaimOutcome::Granted)
    );
}

#[test]
fn a_grant_of_an_earlier_incarnation_does_not_count_when_it_arrives_late() {
    let mut proposal = proposal();
    assert_eq!(proposal.on_vote(grant(&[(0, 2)]), key(1), 1), None);
    assert_eq!(proposal.on_vote(grant(&[]), key(0), 1), None);
    assert_eq!(
        proposal.on_vote(grant(&[]), key(0), 2),
        Some(ClaimOutcome::Granted)
    );
}

#[test]
fn every_majority_intersects_every_recovery() {
    for replicas in 1usize..10 {
        let others_needed = recovery_quorum(replicas);
        // Number of other replicas in a majority that included the restarted replica.
        let others_granting = majority(replicas) - 1;
        let others = replicas - 1;
        assert!(
            others_granting + others_needed > others || others_needed > others,
            "{replicas} replicas"
        );
    }
}
