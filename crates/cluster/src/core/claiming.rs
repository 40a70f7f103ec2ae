//! Claims, from the proposal to the recorded answer.

use super::*;

impl NodeCore {
    pub(super) fn new_ticket(&mut self) -> Ticket {
        self.next_ticket += 1;
        Ticket(self.next_ticket)
    }

    /// Proposes a claim to the claim group: the right to run a request once.
    /// The outcome is returned as [`CoreEvent::Claim`].
    ///
    /// # Errors
    /// When no claim group is known: the time after which to retry.
    pub fn propose(
        &mut self,
        key: ClaimKey,
        fingerprint: u64,
        now: Millis,
    ) -> Result<Ticket, RetryAfter> {
        let Some(spec) = self.claims.group().cloned() else {
            return Err(RetryAfter::clamped(0));
        };
        let ticket = self.new_ticket();
        let owner = self.random.u64(1..);
        let mut proposal = Proposal::new(CLAIM_GROUP, spec, key, owner, fingerprint, now);
        let members = &self.members;
        proposal.request_votes(now, |node| address_of(members, node), &mut self.outbox);
        self.proposals.insert(ticket, proposal);
        Ok(ticket)
    }

    pub(super) fn on_vote(
        &mut self,
        vote: ploverlift_wire::messages::ClaimVote,
        voter: NodeKey,
        voter_life: u64,
    ) {
        let found = self
            .proposals
            .iter()
            .find(|(_, proposal)| proposal.owner() == vote.owner)
            .map(|(ticket, _)| *ticket);
        let Some(ticket) = found else {
            return;
        };
        let proposal = self.proposals.get_mut(&ticket);
        let outcome = proposal.and_then(|known| known.on_vote(vote, voter, voter_life));
        if let Some(outcome) = outcome {
            self.decide_claim(ticket, outcome);
        }
    }

    pub(super) fn decide_claim(&mut self, ticket: Ticket, outcome: ClaimOutcome) {
        let Some(proposal) = self.proposals.remove(&ticket) else {
            return;
        };
        let members = &self.members;
        match &outcome {
            ClaimOutcome::Granted => {
                self.granted.insert(ticket, proposal);
            }
            ClaimOutcome::Held
            | ClaimOutcome::Answered(_)
            | ClaimOutcome::OtherRequest
            | ClaimOutcome::Unavailable(_) => {
                proposal.release(|node| address_of(members, node), &mut self.outbox);
            }
        }
        self.events.push(CoreEvent::Claim { ticket, outcome });
    }

    pub(super) fn tick_claims(&mut self, now: Millis) {
        let members = &self.members;
        let address = |node| address_of(members, node);
        self.claims
            .tick(now, CLAIM_GROUP, address, &mut self.outbox);
        let mut decided = Vec::new();
        for (ticket, proposal) in &mut self.proposals {
            if let Some(outcome) = proposal.tick(now, address, &mut self.outbox) {
                decided.push((*ticket, outcome));
            }
        }
        for (ticket, outcome) in decided {
            self.decide_claim(ticket, outcome);
        }
    }

    /// Releases a granted claim: its request did not run and never will.
    pub fn release_claim(&mut self, ticket: Ticket) {
        if let Some(proposal) = self.granted.remove(&ticket) {
            let members = &self.members;
            proposal.release(|node| address_of(members, node), &mut self.outbox);
        }
    }

    /// Records the answer of a claimed request at the replicas.
    pub fn complete_claim(&mut self, ticket: Ticket, answer: Vec<u8>, now: Millis) {
        let Some(proposal) = self.granted.remove(&ticket) else {
            return;
        };
        self.completions.push(Completion {
            proposal,
            answer,
            sends_left: COMPLETE_REPEATS,
            next_send: now,
        });
        self.tick_completions(now);
    }

    /// Drops a granted claim without releasing it: its request may have run
    /// without an answer.
    pub fn abandon_claim(&mut self, ticket: Ticket) {
        self.granted.remove(&ticket);
    }

    pub(super) fn tick_completions(&mut self, now: Millis) {
        let members = &self.members;
        for completion in &mut self.completions {
            if completion.next_send <= now && completion.sends_left > 0 {
                completion.sends_left -= 1;
                completion.next_send = now.plus(COMPLETE_PERIOD_MS);
                let address = |node| address_of(members, node);
                completion
                    .proposal
                    .complete(&completion.answer, address, &mut self.outbox);
            }
        }
        self.completions
            .retain(|completion| completion.sends_left > 0);
    }
}
