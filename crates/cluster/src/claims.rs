//! Claims of requests that may run at most once, held by a majority of replicas
//! in different zones.
//!
//! Replicas keep claims in memory only, so a restarted replica has lost its
//! votes. Three rules compensate for that:
//!
//! 1. A replica votes only while it is *complete*: it knows every claim that it
//!    granted in an earlier incarnation and that may still count. It is
//!    complete if it was a member when the group was created, if it recovered
//!    from enough complete replicas to intersect every majority, or if it has
//!    been running for longer than any claim is retained.
//! 2. A vote carries the incarnations of the group's replicas as the voter
//!    knows them. The proposer discards a grant from an earlier incarnation
//!    than any vote reports, because the restarted replica may have lost that
//!    grant.
//! 3. A replica that was asked for its claims by a later generation of the
//!    group no longer votes in the earlier one.
//!
//! Together: every majority of grants that a proposer counts intersects every
//! recovery in a replica that still has the claim. docs/design/claims.md has
//! the argument and the schedules that broke earlier versions.

pub use crate::claim_key::{majority, recovery_quorum, ClaimKey};
use crate::node_key::NodeKey;
use crate::output::Outbox;
use ploverlift_policy::ids::{Millis, NodeName};
use ploverlift_policy::objects::ClaimGroupSpec;
use ploverlift_wire::messages::envelope::Body;
use ploverlift_wire::messages::{
    ClaimComplete, ClaimRecover, ClaimRelease, ClaimRequest, ClaimState, ClaimVerdict, ClaimVote,
    HeldClaim, ReplicaLife,
};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::SocketAddr;
use std::sync::Arc;

/// Default retention time of a claim, in milliseconds.
pub const DEFAULT_RETENTION_MS: u64 = 600_000;
/// Maximum number of claims that one replica holds.
pub const MAX_CLAIMS: usize = 200_000;
/// Largest answer that is recorded with a claim, in bytes.
pub const MAX_RECORDED_ANSWER_BYTES: usize = 16 * 1024;
/// Interval between requests for the claims of other replicas, in milliseconds.
const RECOVER_PERIOD_MS: u64 = 250;
/// Upper bound of a recovery from a live majority, in milliseconds.
const QUICK_RECOVERY_MS: u64 = 2_000;
/// Interval between removals of expired claims, in milliseconds.
const EXPIRY_PERIOD_MS: u64 = 1_000;

#[derive(Clone, Debug)]
struct Claim {
    owner: u64,
    fingerprint: u64,
    taken_at: Millis,
    answer: Option<Arc<Vec<u8>>>,
}

/// The replicas whose claims a recovering replica has received so far.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
struct Recovery {
    /// Complete replicas of the present generation that sent their claims.
    present: BTreeSet<NodeKey>,
    /// Replicas of the previous generation that sent their claims.
    before: BTreeSet<NodeKey>,
}

/// One node's replica of one claim group.
#[derive(Debug)]
pub struct ClaimReplica {
    own: NodeKey,
    own_life: u64,
    started_at: Millis,
    retention_ms: u64,
    spec: Option<Arc<ClaimGroupSpec>>,
    /// The latest generation in which this replica is or was complete.
    complete_generation: u64,
    recovery: Recovery,
    /// This replica votes in no generation below this one.
    sealed_below: u64,
    claims: HashMap<ClaimKey, Claim>,
    lives: BTreeMap<NodeKey, u64>,
    next_recover: Millis,
    next_expiry: Millis,
}

impl ClaimReplica {
    /// A replica without a group. `started_at` is the node's start.
    pub fn new(own: NodeKey, own_life: u64, started_at: Millis, retention_ms: u64) -> Self {
        Self {
            own,
            own_life,
            started_at,
            retention_ms,
            spec: None,
            complete_generation: 0,
            recovery: Recovery::default(),
            sealed_below: 0,
            claims: HashMap::new(),
            lives: BTreeMap::new(),
            next_recover: Millis(0),
            next_expiry: Millis(0),
        }
    }

    /// Number of claims held.
    pub fn len(&self) -> usize {
        self.claims.len()
    }

    /// Whether no claim is held.
    pub fn is_empty(&self) -> bool {
        self.claims.is_empty()
    }

    /// Whether this replica is complete in the present generation and votes in
    /// it.
    pub fn votes(&self) -> bool {
        self.is_replica() && self.complete_generation == self.generation()
    }

    fn generation(&self) -> u64 {
        self.spec.as_ref().map_or(0, |spec| spec.generation)
    }

    fn is_replica(&self) -> bool {
        self.own_position().is_some()
    }

    fn own_position(&self) -> Option<usize> {
        let replicas = &self.spec.as_ref()?.replicas;
        replicas
            .iter()
            .position(|name| NodeKey::of(name) == self.own)
    }

    /// Sets the group's description; an earlier generation is ignored.
    pub fn set_group(&mut self, spec: Arc<ClaimGroupSpec>) {
        if spec.generation <= self.generation() {
            return;
        }
        self.sealed_below = self.sealed_below.max(spec.generation);
        self.next_recover = Millis(0);
        self.recovery = Recovery::default();
        let first = spec.previous.is_empty();
        let before = replica_keys(&spec.previous);
        let was_complete = self.complete_generation + 1 == spec.generation;
        self.spec = Some(spec);
        if first && self.entered_in_this_life() {
            self.complete_generation = self.generation();
        }
        if was_complete && before.contains(&self.own) {
            self.recovery.before.insert(self.own);
        }
        self.finish_recovery();
    }

    /// Whether this node was already in its present incarnation when the
    /// generation was created, so that it cannot have voted in that generation
    /// before and lost the votes.
    fn entered_in_this_life(&self) -> bool {
        let (Some(spec), Some(position)) = (&self.spec, self.own_position()) else {
            return false;
        };
        spec.lives.get(position) == Some(&self.own_life)
    }

    /// Marks this replica as complete when enough replicas have sent their
    /// claims.
    fn finish_recovery(&mut self) {
        let Some(spec) = &self.spec else {
            return;
        };
        let by_present = self.recovery.present.len() >= recovery_quorum(spec.replicas.len());
        let enough_before = self.recovery.before.len() >= recovery_quorum(spec.previous.len());
        let by_before = !spec.previous.is_empty() && enough_before && self.entered_in_this_life();
        if self.is_replica() && (by_present || by_before) {
            self.complete_generation = self.generation();
        }
    }

    /// Removes expired claims, and requests the claims of other replicas while
    /// this one is incomplete.
    pub fn tick(
        &mut self,
        now: Millis,
        group: &str,
        address_of: impl Fn(NodeKey) -> Option<SocketAddr>,
        outbox: &mut Outbox,
    ) {
        self.expire(now);
        if !self.is_replica() || self.votes() {
            return;
        }
        let retention_elapsed = now.since(self.started_at) >= self.retention_ms;
        if retention_elapsed {
            self.complete_generation = self.generation();
            return;
        }
        if now < self.next_recover {
            return;
        }
        self.next_recover = now.plus(RECOVER_PERIOD_MS);
        let recover = ClaimRecover {
            group: group.to_owned(),
            generation: self.generation(),
        };
        for target in self.recovery_sources() {
            if let Some(address) = address_of(target) {
                outbox.send(address, Body::ClaimRecover(recover.clone()));
            }
        }
    }

    /// Other replicas of the present and the previous generation.
    fn recovery_sources(&self) -> BTreeSet<NodeKey> {
        let Some(spec) = &self.spec else {
            return BTreeSet::new();
        };
        let names = spec.replicas.iter().chain(&spec.previous);
        let keys = names.map(NodeKey::of);
        keys.filter(|key| *key != self.own).collect()
    }

    fn expire(&mut self, now: Millis) {
        if now < self.next_expiry {
            return;
        }
        self.next_expiry = now.plus(EXPIRY_PERIOD_MS);
        let retention = self.retention_ms;
        self.claims
            .retain(|_, claim| now.since(claim.taken_at) < retention);
    }

    /// Votes on a claim.
    pub fn on_request(
        &mut self,
        request: &ClaimRequest,
        now: Millis,
        from: SocketAddr,
        outbox: &mut Outbox,
    ) {
        let Some(key) = ClaimKey::from_message(request.key.as_ref()) else {
            return;
        };
        let (verdict, answer) = self.decide_vote(key, request, now);
        let voting_in_ms = match verdict {
            ClaimVerdict::NotVoting => self.time_until_voting_ms(now),
            _ => 0,
        };
        let lives = self.lives.iter();
        let vote = ClaimVote {
            key: request.key,
            owner: request.owner,
            verdict: verdict.into(),
            known_lives: lives
                .map(|(replica, life)| ReplicaLife {
                    replica: replica.0,
                    life: *life,
                })
                .collect(),
            answer: answer.map_or_else(Vec::new, |answer| answer.as_ref().clone()),
            voting_in_ms,
        };
        outbox.send(from, Body::ClaimVote(vote));
    }

    fn time_until_voting_ms(&self, now: Millis) -> u64 {
        let up = now.since(self.started_at);
        if up < QUICK_RECOVERY_MS {
            return QUICK_RECOVERY_MS - up;
        }
        self.retention_ms.saturating_sub(up)
    }

    fn decide_vote(
        &mut self,
        key: ClaimKey,
        request: &ClaimRequest,
        now: Millis,
    ) -> (ClaimVerdict, Option<Arc<Vec<u8>>>) {
        let generation = self.generation();
        if request.generation != generation || self.sealed_below > generation {
            return (ClaimVerdict::WrongGeneration, None);
        }
        let votes = self.votes();
        if let Some(claim) = self.claims.get(&key) {
            let (verdict, answer) = verdict_on(claim, request);
            // A claim copied from another replica is not a vote of this one.
            if verdict == ClaimVerdict::Granted && !votes {
                return (ClaimVerdict::NotVoting, None);
            }
            return (verdict, answer);
        }
        let full = self.claims.len() >= MAX_CLAIMS;
        if !votes || full {
            return (ClaimVerdict::NotVoting, None);
        }
        let claim = Claim {
            owner: request.owner,
            fingerprint: request.fingerprint,
            taken_at: now,
            answer: None,
        };
        self.claims.insert(key, claim);
        (ClaimVerdict::Granted, None)
    }

    /// Releases a claim: its request did not run and never will.
    pub fn on_release(&mut self, release: &ClaimRelease) {
        let Some(key) = ClaimKey::from_message(release.key.as_ref()) else {
            return;
        };
        let owned = self.claims.get(&key).map(|claim| claim.owner) == Some(release.owner);
        if owned {
            self.claims.remove(&key);
        }
    }

    /// Records the answer of a claimed request.
    pub fn on_complete(&mut self, complete: ClaimComplete) {
        let Some(key) = ClaimKey::from_message(complete.key.as_ref()) else {
            return;
        };
        if complete.answer.len() > MAX_RECORDED_ANSWER_BYTES {
            return;
        }
        if let Some(claim) = self.claims.get_mut(&key) {
            if claim.owner == complete.owner {
                claim.answer = Some(Arc::new(complete.answer));
            }
        }
    }

    /// Sends all claims to a recovering replica and records its incarnation.
    pub fn on_recover(
        &mut self,
        recover: &ClaimRecover,
        sender: NodeKey,
        sender_life: u64,
        now: Millis,
        from: SocketAddr,
        outbox: &mut Outbox,
    ) {
        self.sealed_below = self.sealed_below.max(recover.generation);
        let life = self.lives.entry(sender).or_default();
        *life = (*life).max(sender_life);
        let claims = self.claims.iter().map(|(key, claim)| HeldClaim {
            key: Some(key.to_message()),
            owner: claim.owner,
            fingerprint: claim.fingerprint,
            age_ms: now.since(claim.taken_at),
            answered: claim.answer.is_some(),
            answer: claim
                .answer
                .as_ref()
                .map_or_else(Vec::new, |answer| answer.as_ref().clone()),
        });
        let state = ClaimState {
            group: recover.group.clone(),
            generation: self.complete_generation,
            claims: claims.collect(),
        };
        outbox.send(from, Body::ClaimState(state));
    }

    /// Merges the claims of another replica.
    pub fn on_state(&mut self, state: ClaimState, sender: NodeKey, now: Millis) {
        let Some(spec) = self.spec.clone() else {
            return;
        };
        if !self.is_replica() || self.votes() || state.generation == 0 {
            return;
        }
        let present = state.generation == spec.generation;
        let before = state.generation + 1 >= spec.generation;
        if present && replica_keys(&spec.replicas).contains(&sender) {
            self.recovery.present.insert(sender);
        }
        if before && replica_keys(&spec.previous).contains(&sender) {
            self.recovery.before.insert(sender);
        }
        for held in state.claims {
            merge_claim(&mut self.claims, held, now);
        }
        self.finish_recovery();
    }

    /// The group's description.
    pub fn group(&self) -> Option<&Arc<ClaimGroupSpec>> {
        self.spec.as_ref()
    }
}

fn verdict_on(claim: &Claim, request: &ClaimRequest) -> (ClaimVerdict, Option<Arc<Vec<u8>>>) {
    if claim.owner == request.owner {
        return (ClaimVerdict::Granted, None);
    }
    if claim.fingerprint != request.fingerprint {
        return (ClaimVerdict::OtherRequest, None);
    }
    match &claim.answer {
        Some(answer) => (ClaimVerdict::Answered, Some(Arc::clone(answer))),
        None => (ClaimVerdict::Held, None),
    }
}

/// Owner of a claim for which two replicas reported different owners; no
/// proposal has this owner.
const CONTESTED: u64 = 0;

fn merge_claim(claims: &mut HashMap<ClaimKey, Claim>, held: HeldClaim, now: Millis) {
    let Some(key) = ClaimKey::from_message(held.key.as_ref()) else {
        return;
    };
    let answer = held.answered.then(|| Arc::new(held.answer));
    let taken_at = now.before(held.age_ms);
    match claims.get_mut(&key) {
        Some(known) => {
            if known.answer.is_some() {
                return;
            }
            if answer.is_some() {
                known.owner = held.owner;
                known.answer = answer;
            } else if known.owner != held.owner {
                // Either owner may have received this replica's grant before
                // the restart, and one of the two requests may have run:
                // neither gets this replica's vote.
                known.owner = CONTESTED;
            }
        }
        None => {
            let claim = Claim {
                owner: held.owner,
                fingerprint: held.fingerprint,
                taken_at,
                answer,
            };
            claims.insert(key, claim);
        }
    }
}

/// The names of a group's replicas as keys.
pub fn replica_keys(replicas: &[NodeName]) -> Vec<NodeKey> {
    replicas.iter().map(NodeKey::of).collect()
}
