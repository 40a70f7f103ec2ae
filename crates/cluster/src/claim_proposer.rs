//! The proposer's side of claims: requests votes from the replicas, counts them
//! and decides the outcome.

use crate::claim_messages as messages;
use crate::claims::{majority, replica_keys, ClaimKey};
use crate::node_key::NodeKey;
use crate::output::Outbox;
use ploverlift_policy::admission::RetryAfter;
use ploverlift_policy::ids::Millis;
use ploverlift_policy::objects::ClaimGroupSpec;
use ploverlift_wire::messages::{ClaimVerdict, ClaimVote};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;

/// Time after which a vote request is sent again, in milliseconds.
pub const RESEND_MS: u64 = 100;
/// Time after which a proposal without a majority is abandoned, in
/// milliseconds.
pub const PROPOSAL_TIMEOUT_MS: u64 = 1_000;
/// Retry-after time when replicas do not answer, in milliseconds.
const NO_QUORUM_RETRY_AFTER_MS: u64 = 2_000;

/// Identifies an operation whose result the driver waits for: a claim proposal,
/// a directory lookup or a request for decisions.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ticket(pub u64);

/// Outcome of a proposal.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClaimOutcome {
    /// This proposal holds the claim: its request may be sent once.
    Granted,
    /// An earlier request holds the claim, and its answer is recorded.
    Answered(Vec<u8>),
    /// An earlier request holds the claim, without a recorded answer.
    Held,
    /// The key was used with a different request.
    OtherRequest,
    /// No majority was reached; the proposal's own grants were released.
    Unavailable(RetryAfter),
}

/// One proposal for a claim.
#[derive(Clone, Debug)]
pub struct Proposal {
    group: String,
    spec: Arc<ClaimGroupSpec>,
    key: ClaimKey,
    owner: u64,
    fingerprint: u64,
    started_at: Millis,
    sent_at: Millis,
    grants: BTreeMap<NodeKey, u64>,
    held: BTreeSet<NodeKey>,
    not_voting: BTreeMap<NodeKey, u64>,
    lives: BTreeMap<NodeKey, u64>,
}

impl Proposal {
    /// A proposal that has not been sent.
    pub fn new(
        group: &str,
        spec: Arc<ClaimGroupSpec>,
        key: ClaimKey,
        owner: u64,
        fingerprint: u64,
        now: Millis,
    ) -> Self {
        Self {
            group: group.to_owned(),
            spec,
            key,
            owner,
            fingerprint,
            started_at: now,
            sent_at: now,
            grants: BTreeMap::new(),
            held: BTreeSet::new(),
            not_voting: BTreeMap::new(),
            lives: BTreeMap::new(),
        }
    }

    /// The claim's key.
    pub fn key(&self) -> ClaimKey {
        self.key
    }

    /// The random number that identifies this proposal's grants.
    pub fn owner(&self) -> u64 {
        self.owner
    }

    fn replicas(&self) -> Vec<NodeKey> {
        replica_keys(&self.spec.replicas)
    }

    /// Requests a vote from every replica that has neither granted the claim
    /// nor reported another holder.
    pub fn request_votes(
        &mut self,
        now: Millis,
        address_of: impl Fn(NodeKey) -> Option<SocketAddr>,
        outbox: &mut Outbox,
    ) {
        self.sent_at = now;
        for replica in self.replicas() {
            if self.grants.contains_key(&replica) || self.held.contains(&replica) {
                continue;
            }
            if let Some(address) = address_of(replica) {
                let generation = self.spec.generation;
                let request = messages::request(
                    &self.group,
                    generation,
                    self.key,
                    self.owner,
                    self.fingerprint,
                );
                outbox.send(address, request);
            }
        }
    }

    /// Processes a vote; returns the outcome once it is certain.
    pub fn on_vote(
        &mut self,
        vote: ClaimVote,
        voter: NodeKey,
        voter_life: u64,
    ) -> Option<ClaimOutcome> {
        let verdict = vote.verdict();
        if !self.replicas().contains(&voter) {
            return None;
        }
        for known in &vote.known_lives {
            self.note_life(NodeKey(known.replica), known.life);
        }
        self.note_life(voter, voter_life);
        if self
            .lives
            .get(&voter)
            .is_some_and(|life| voter_life < *life)
        {
            // The voter has restarted since and may have lost this vote.
            return None;
        }
        match verdict {
            ClaimVerdict::Granted => {
                self.grants.insert(voter, voter_life);
            }
            ClaimVerdict::Held => {
                self.held.insert(voter);
            }
            ClaimVerdict::Answered => return Some(ClaimOutcome::Answered(vote.answer)),
            ClaimVerdict::OtherRequest => return Some(ClaimOutcome::OtherRequest),
            ClaimVerdict::NotVoting => {
                self.not_voting.insert(voter, vote.voting_in_ms);
            }
            ClaimVerdict::WrongGeneration => {
                self.not_voting.insert(voter, NO_QUORUM_RETRY_AFTER_MS);
            }
        }
        self.decide_outcome()
    }

    /// Records an incarnation of a replica; a grant of an earlier incarnation
    /// no longer counts.
    fn note_life(&mut self, replica: NodeKey, life: u64) {
        let known = self.lives.entry(replica).or_default();
        *known = (*known).max(life);
        if self
            .grants
            .get(&replica)
            .is_some_and(|granted| *granted < life)
        {
            self.grants.remove(&replica);
        }
    }

    fn decide_outcome(&self) -> Option<ClaimOutcome> {
        let replicas = self.spec.replicas.len();
        let needed = majority(replicas);
        if self.grants.len() >= needed {
            return Some(ClaimOutcome::Granted);
        }
        if replicas - self.held.len() < needed {
            return Some(ClaimOutcome::Held);
        }
        let not_granting = self
            .not_voting
            .keys()
            .filter(|voter| !self.grants.contains_key(voter));
        let lost = not_granting.count() + self.held.len();
        if replicas.saturating_sub(lost) < needed {
            return Some(self.unavailable());
        }
        None
    }

    fn unavailable(&self) -> ClaimOutcome {
        let voting_in = self.not_voting.values().min().copied();
        let after = voting_in.unwrap_or(NO_QUORUM_RETRY_AFTER_MS);
        ClaimOutcome::Unavailable(RetryAfter::clamped(after))
    }

    /// Requests missing votes again after [`RESEND_MS`]. Returns `Unavailable`
    /// after [`PROPOSAL_TIMEOUT_MS`], or when no majority of replicas is
    /// reachable.
    pub fn tick(
        &mut self,
        now: Millis,
        address_of: impl Fn(NodeKey) -> Option<SocketAddr>,
        outbox: &mut Outbox,
    ) -> Option<ClaimOutcome> {
        if now.since(self.started_at) >= PROPOSAL_TIMEOUT_MS {
            return Some(self.unavailable());
        }
        let reachable = self
            .replicas()
            .into_iter()
            .filter(|key| address_of(*key).is_some());
        if reachable.count() < majority(self.spec.replicas.len()) {
            return Some(self.unavailable());
        }
        if now.since(self.sent_at) >= RESEND_MS {
            self.request_votes(now, address_of, outbox);
        }
        None
    }

    /// Releases the grants; only valid when the request did not run and never
    /// will.
    pub fn release(&self, address_of: impl Fn(NodeKey) -> Option<SocketAddr>, outbox: &mut Outbox) {
        for address in self.replicas().into_iter().filter_map(address_of) {
            outbox.send(
                address,
                messages::release(&self.group, self.key, self.owner),
            );
        }
    }

    /// Records the answer at the replicas.
    pub fn complete(
        &self,
        answer: &[u8],
        address_of: impl Fn(NodeKey) -> Option<SocketAddr>,
        outbox: &mut Outbox,
    ) {
        for address in self.replicas().into_iter().filter_map(address_of) {
            let message = messages::complete(&self.group, self.key, self.owner, answer.to_vec());
            outbox.send(address, message);
        }
    }
}
