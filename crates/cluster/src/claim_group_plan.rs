//! Planning of a claim group's description: it is created once, and a replica
//! that has been dead for [`REPLACE_AFTER_MS`] is replaced.

use crate::membership::Membership;
use crate::node_key::{rendezvous_first, rendezvous_top, NodeKey};
use ploverlift_policy::ids::{Millis, NodeName, ZoneName};
use ploverlift_policy::objects::ClaimGroupSpec;
use std::collections::BTreeMap;

/// Number of replicas of a group, if there are as many nodes.
pub const REPLICAS: usize = 3;
/// Time after which a dead replica is replaced, in milliseconds.
pub const REPLACE_AFTER_MS: u64 = 10_000;
/// Minimum uptime of a node before it creates or changes a group, in
/// milliseconds.
pub const SETTLE_MS: u64 = 3_000;
/// Item of the rendezvous hash that selects the planning node.
const GROUP_DUTY: u64 = 0x636c_6169_6d73;

/// A node that could be a replica.
#[derive(Clone, Debug, PartialEq, Eq)]
struct Candidate {
    key: NodeKey,
    name: NodeName,
    zone: ZoneName,
    life: u64,
}

/// Whether this node plans the claim group, according to its own view of the
/// members.
pub fn is_group_planner(members: &Membership) -> bool {
    let live = members.live().map(|(key, _)| key);
    let first = rendezvous_first(GROUP_DUTY, live.chain([members.own_key()]));
    first == Some(members.own_key())
}

/// The description that should replace `present`, or `None` when it should
/// stay. A new group begins at `first_generation`, which must be higher than
/// that of any earlier group: an operator may have deleted one.
pub fn plan(
    present: Option<&ClaimGroupSpec>,
    members: &Membership,
    item: u64,
    first_generation: u64,
    now: Millis,
) -> Option<ClaimGroupSpec> {
    if now.0 < SETTLE_MS && members.has_seeds() {
        return None;
    }
    let candidates = candidates(members);
    match present {
        None => Some(first_group(&candidates, item, first_generation)),
        Some(present) => next_group(present, &candidates, members, item, now),
    }
}

fn candidates(members: &Membership) -> Vec<Candidate> {
    let own = members.own();
    let own = Candidate {
        key: members.own_key(),
        name: own.name.clone(),
        zone: own.zone.clone(),
        life: own.life,
    };
    let live = members.live().map(|(key, member)| Candidate {
        key,
        name: member.identity.name.clone(),
        zone: member.identity.zone.clone(),
        life: member.identity.life,
    });
    live.chain([own]).collect()
}

fn first_group(candidates: &[Candidate], item: u64, generation: u64) -> ClaimGroupSpec {
    let chosen = choose_replicas(Vec::new(), candidates, item);
    group_spec(generation, &chosen, Vec::new())
}

fn group_spec(generation: u64, chosen: &[Candidate], previous: Vec<NodeName>) -> ClaimGroupSpec {
    ClaimGroupSpec {
        generation,
        replicas: chosen
            .iter()
            .map(|candidate| candidate.name.clone())
            .collect(),
        previous,
        lives: chosen.iter().map(|candidate| candidate.life).collect(),
    }
}

/// Adds replicas up to [`REPLICAS`], first from zones without a replica.
fn choose_replicas(
    mut chosen: Vec<Candidate>,
    candidates: &[Candidate],
    item: u64,
) -> Vec<Candidate> {
    let keys = candidates.iter().map(|candidate| candidate.key);
    let ranked = rendezvous_top(item, keys, candidates.len());
    let by_key: BTreeMap<NodeKey, &Candidate> = candidates
        .iter()
        .map(|candidate| (candidate.key, candidate))
        .collect();
    for new_zone_only in [true, false] {
        for key in &ranked {
            let candidate = by_key[key];
            let zone_taken = chosen.iter().any(|other| other.zone == candidate.zone);
            let taken = chosen.iter().any(|other| other.key == *key);
            if chosen.len() < REPLICAS && !taken && !(new_zone_only && zone_taken) {
                chosen.push(candidate.clone());
            }
        }
    }
    chosen
}

fn next_group(
    present: &ClaimGroupSpec,
    candidates: &[Candidate],
    members: &Membership,
    item: u64,
    now: Millis,
) -> Option<ClaimGroupSpec> {
    let kept: Vec<Candidate> = present
        .replicas
        .iter()
        .filter(|name| !is_lost(name, members, now))
        .filter_map(|name| candidates.iter().find(|other| other.name == *name).cloned())
        .collect();
    let lost = present
        .replicas
        .iter()
        .filter(|name| is_lost(name, members, now))
        .count();
    let may_grow = present.replicas.len() < REPLICAS && candidates.len() > present.replicas.len();
    if lost == 0 && !may_grow {
        return None;
    }
    // With fewer remaining replicas a new generation could not recover their
    // claims and would never begin to vote.
    let enough = kept.len() >= crate::claims::recovery_quorum(present.replicas.len());
    if !enough {
        return None;
    }
    let chosen = choose_replicas(kept, candidates, item);
    let unchanged = chosen.len() == present.replicas.len()
        && chosen
            .iter()
            .all(|candidate| present.replicas.contains(&candidate.name));
    if unchanged {
        return None;
    }
    Some(group_spec(
        present.generation + 1,
        &chosen,
        present.replicas.clone(),
    ))
}

/// Whether a replica has been dead long enough to be replaced.
fn is_lost(name: &NodeName, members: &Membership, now: Millis) -> bool {
    let key = NodeKey::of(name);
    if key == members.own_key() {
        return false;
    }
    match members.member(key) {
        Some(member) => !member.is_live() && now.since(member.since) >= REPLACE_AFTER_MS,
        // Never a member since this node started.
        None => now.0 >= REPLACE_AFTER_MS,
    }
}
