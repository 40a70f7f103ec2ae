//! What a node tells the others, and what it takes in from them.

use crate::evidence::EngineEnd;
use crate::fingerprint::RequestFingerprint;
use crate::news::{ToldClaim, ToldClearing, ToldEnd, ToldRefusal, ToldRequest, MAX_TOLD};
use crate::quarantine::Quarantine;
use crate::suspect::{Claim, Cleared, Refusal, Suspect, CLAIM_HOLDS_MS};
use ploverlift_balancing::names::PeerId;
use ploverlift_policy::ids::Millis;
use ploverlift_policy::update_broadcast::UpdateBroadcast;
use std::cmp::Reverse;

/// Time for which a clearing is remembered, in milliseconds: whoever has not heard of it
/// yet may tell for so long that the request is refused.
pub(crate) const CLEARING_MS: u64 = 10_000;

/// When something is told.
#[derive(Clone, Copy, Debug, Default)]
pub struct Occasion {
    /// Whether claims are told again.
    pub is_period: bool,
    /// Whether some of what is refused is told again in turn, though it has not changed.
    pub tells_refused: bool,
    /// Whether this node passes on what others have claimed.
    pub passes_on: bool,
}

/// What another node's word changed here.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HeardNews {
    /// Nothing.
    None,
    /// Something, of which others should hear.
    Changed,
    /// The request is refused from now on.
    Refused,
}

impl Cleared {
    fn told(&self, now: Millis) -> ToldRequest {
        ToldRequest {
            request: self.request,
            tenant: self.tenant,
            ends: Vec::new(),
            software: Vec::new(),
            claim: None,
            refusal: None,
            clearing: Some(ToldClearing {
                is_answer: self.is_answer,
                age_ms: now.since(self.at),
            }),
        }
    }
}

impl Quarantine {
    /// What is told now: changes that are due, the most serious ones first, and what the
    /// occasion asks for.
    pub fn news(&mut self, own: PeerId, occasion: Occasion, now: Millis) -> Vec<ToldRequest> {
        self.expire(now);
        let mut told = self.due_requests(own, occasion, now);
        if occasion.tells_refused {
            told.extend(self.next_refused(MAX_TOLD - told.len()));
            told.sort();
            told.dedup();
        }
        let mut news = Vec::new();
        for request in told {
            if let Some(suspect) = self.suspects.get_mut(&request) {
                suspect.telling.record_broadcast(now);
                if let Some(claim) = suspect.claim.as_mut().filter(|claim| claim.node == own) {
                    claim.told_at = now;
                }
            }
            news.push(self.told(request, now));
        }
        let cleared = self.cleared.iter_mut();
        let due = cleared.filter(|cleared| cleared.telling.is_due(now));
        news.extend(due.take(MAX_TOLD).map(|cleared| {
            cleared.telling.record_broadcast(now);
            cleared.told(now)
        }));
        news
    }

    fn due_requests(
        &self,
        own: PeerId,
        occasion: Occasion,
        now: Millis,
    ) -> Vec<RequestFingerprint> {
        let is_claimed = |suspect: &Suspect| {
            let claim = suspect.live_claim(now);
            claim.is_some_and(|claim| claim.node == own || occasion.passes_on)
        };
        let is_due = |suspect: &Suspect| {
            suspect.telling.is_due(now) || (occasion.is_period && is_claimed(suspect))
        };
        let due = self.suspects.iter().filter(|(_, suspect)| is_due(suspect));
        let mut due: Vec<RequestFingerprint> = due.map(|(request, _)| *request).collect();
        due.sort_by_key(|request| Reverse((self.suspects[request].worth(), *request)));
        due.truncate(MAX_TOLD);
        due
    }

    fn next_refused(&mut self, most: usize) -> Vec<RequestFingerprint> {
        let suspects = self.suspects.iter();
        let refused = suspects.filter(|(_, known)| known.refusal.is_some());
        let mut refused: Vec<RequestFingerprint> = refused.map(|(request, _)| *request).collect();
        refused.sort();
        let first = self.next_told % refused.len().max(1);
        self.next_told = first + most;
        refused.rotate_left(first);
        refused.truncate(most);
        refused
    }

    fn told(&self, request: RequestFingerprint, now: Millis) -> ToldRequest {
        let suspect = &self.suspects[&request];
        let ends = suspect.evidence.ends().iter().map(|end| ToldEnd {
            engine: end.engine,
            begun_age_ms: now.since(end.begun),
            age_ms: now.since(end.at),
        });
        ToldRequest {
            request,
            tenant: suspect.tenant,
            ends: ends.collect(),
            software: suspect.software.iter().cloned().collect(),
            claim: suspect.live_claim(now).map(|claim| ToldClaim {
                node: claim.node,
                is_sent: claim.is_sent,
                age_ms: now.since(claim.told_at),
            }),
            refusal: suspect.refusal.map(|refusal| ToldRefusal {
                age_ms: now.since(refusal.since),
                trials: refusal.trials,
                is_stored: refusal.stored_at.is_some(),
            }),
            clearing: None,
        }
    }

    /// Takes in what another node, `from`, tells; tells whether it was news. A relay
    /// `passes_on` what is; others leave it to whoever found it out.
    pub fn hear(
        &mut self,
        told: &ToldRequest,
        from: PeerId,
        own: PeerId,
        passes_on: bool,
        now: Millis,
    ) -> HeardNews {
        let request = told.request;
        if let Some(clearing) = told.clearing {
            return match self.hear_clearing(request, clearing, passes_on, now) {
                true => HeardNews::Changed,
                false => HeardNews::None,
            };
        }
        let known = self.suspects.contains_key(&request);
        let known_before = known.then(|| self.told(request, now));
        let telling = self.suspects.get(&request).map(|suspect| suspect.telling);
        let was_refused = self.is_refused(request);
        for end in &told.ends {
            let end = EngineEnd {
                engine: end.engine,
                begun: now.before(end.begun_age_ms),
                at: now.before(end.age_ms),
            };
            self.note_end(request, told.tenant, end, None, now);
        }
        if let Some(suspect) = self.suspects.get_mut(&request) {
            if let Some(refusal) = suspect.refusal.as_mut().filter(|_| !was_refused) {
                refusal.is_own = false;
            }
            suspect.software.extend(told.software.iter().cloned());
        }
        if let Some(refusal) = told.refusal {
            self.hear_refusal(told, refusal, now);
        }
        self.hear_claim(told, from, own, now);
        let is_known = self.suspects.contains_key(&request);
        let known_now = is_known.then(|| self.told(request, now));
        if let Some(suspect) = self.suspects.get_mut(&request) {
            suspect.telling = match passes_on && known_before != known_now {
                true => UpdateBroadcast::begin(now),
                false => telling.unwrap_or_default(),
            };
        }
        match (was_refused, self.is_refused(request)) {
            (false, true) => HeardNews::Refused,
            _ if known_before == known_now => HeardNews::None,
            _ => HeardNews::Changed,
        }
    }

    fn hear_clearing(
        &mut self,
        request: RequestFingerprint,
        told: ToldClearing,
        passes_on: bool,
        now: Millis,
    ) -> bool {
        let cleared_at = now.before(told.age_ms);
        if told.is_answer {
            self.answers.note(request, cleared_at);
        }
        let was_told = self.cleared.iter().any(|known| known.request == request);
        if was_told {
            self.clear(request, cleared_at);
            return false;
        }
        let is_news = self.clear_and_tell(request, told.is_answer, cleared_at);
        if let Some(cleared) = self.cleared.last_mut().filter(|_| is_news) {
            cleared.telling = match passes_on {
                true => UpdateBroadcast::begin(now),
                false => UpdateBroadcast::default(),
            };
        }
        is_news
    }

    pub(crate) fn hear_refusal(&mut self, told: &ToldRequest, refusal: ToldRefusal, now: Millis) {
        let since = now.before(refusal.age_ms);
        let mut cleared = self.cleared.iter();
        let is_cleared = cleared.any(|known| known.request == told.request && known.at >= since);
        if is_cleared || self.answers.clear(told.request, since) {
            return;
        }
        let suspect = self.suspect(told.request, told.tenant, now);
        suspect.software.extend(told.software.iter().cloned());
        let known = suspect.refusal.get_or_insert(Refusal {
            since,
            trials: refusal.trials,
            stored_at: None,
            is_own: false,
        });
        known.since = known.since.max(since);
        if refusal.trials > known.trials {
            known.trials = refusal.trials;
            known.stored_at = None;
        }
        if refusal.is_stored && refusal.trials == known.trials {
            known.stored_at.get_or_insert(now);
        }
    }

    /// A claim that is being sent goes before one that waits, and a lower name before a
    /// higher one. Only the holder says that a claim is over; else it lapses.
    fn hear_claim(&mut self, told: &ToldRequest, from: PeerId, own: PeerId, now: Millis) {
        let Some(suspect) = self.suspects.get_mut(&told.request) else {
            return;
        };
        let standing = suspect.live_claim(now);
        let Some(claim) = told.claim else {
            suspect.claim = standing.filter(|known| known.node != from);
            return;
        };
        let told = Claim {
            node: claim.node,
            is_sent: claim.is_sent,
            told_at: now.before(claim.age_ms),
        };
        let rank = |claim: Claim| (Reverse(claim.is_sent), claim.node);
        let goes_first = standing.is_none_or(|known| rank(told) <= rank(known));
        let is_lapsed = now.since(told.told_at) >= CLAIM_HOLDS_MS;
        let is_older =
            standing.is_some_and(|known| known.node == told.node && known.told_at > told.told_at);
        if claim.node != own && goes_first && !is_lapsed && !is_older {
            suspect.claim = Some(told);
        }
    }
}
