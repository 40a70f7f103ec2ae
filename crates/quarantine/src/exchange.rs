//! Reports that a node sends to and merges from other nodes.

use crate::evidence::EngineEnd;
use crate::node_messages::{
    ReportedClaim, ReportedClearing, ReportedEnd, ReportedRefusal, ReportedSubject, MAX_REPORTED,
};
use crate::quarantine::Quarantine;
use crate::subject::Subject;
use crate::suspect::{Claim, Cleared, Refusal, Suspect, CLAIM_TIMEOUT_MS};
use ploverlift_balancing::names::PeerId;
use ploverlift_policy::ids::Millis;
use std::cmp::Reverse;

/// Time for which a clearing is kept, in milliseconds. Nodes that do not know of it yet may
/// report the request as refused for that long.
pub(crate) const CLEARING_RETENTION_MS: u64 = 10_000;

/// Time by which the report of a claim must be later than the known one to refresh it, in
/// milliseconds. The age in a report lacks the time that it was under way, so that relays would
/// refresh a claim by passing it back and forth.
const MIN_CLAIM_REFRESH_MS: u64 = 125;

/// What to include in the reports.
#[derive(Clone, Copy, Debug, Default)]
pub struct ReportOptions {
    /// Whether claims are repeated.
    pub is_period: bool,
    /// Whether some refused requests are repeated in rotation although they have not
    /// changed.
    pub includes_refused: bool,
    /// Whether this node relays the claims of other nodes.
    pub passes_on: bool,
}

/// The effect of a merged report on this node's state.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MergeOutcome {
    /// No change.
    Unchanged,
    /// The state changed; other nodes should be notified.
    Changed,
    /// The request is refused from now on.
    Refused,
}

impl Cleared {
    fn reported(&self, now: Millis) -> ReportedSubject {
        ReportedSubject {
            subject: self.subject,
            tenant: self.tenant,
            ends: Vec::new(),
            software: Vec::new(),
            claim: None,
            refusal: None,
            clearing: Some(ReportedClearing {
                is_answer: self.is_answer,
                age_ms: now.since(self.at),
            }),
        }
    }
}

impl Quarantine {
    /// The reports to send now: due changes, the most serious ones first, and what
    /// `options` ask for.
    pub fn reports_due(
        &mut self,
        own: PeerId,
        options: ReportOptions,
        now: Millis,
    ) -> Vec<ReportedSubject> {
        self.expire(now);
        let mut selected = self.due_subjects(own, options, now);
        if options.includes_refused {
            selected.extend(self.next_refused(MAX_REPORTED - selected.len()));
            selected.sort();
            selected.dedup();
        }
        let mut reports = Vec::new();
        for subject in selected {
            if let Some(suspect) = self.suspects.get_mut(&subject) {
                suspect.broadcast.record_broadcast(now);
                if let Some(claim) = suspect.claim.as_mut().filter(|claim| claim.node == own) {
                    claim.reported_at = now;
                }
            }
            reports.push(self.reported(subject, now));
        }
        let cleared = self.cleared.iter_mut();
        let due = cleared.filter(|cleared| cleared.broadcast.is_due(now));
        reports.extend(due.take(MAX_REPORTED).map(|cleared| {
            cleared.broadcast.record_broadcast(now);
            cleared.reported(now)
        }));
        reports
    }

    fn due_subjects(&self, own: PeerId, options: ReportOptions, now: Millis) -> Vec<Subject> {
        let is_claimed = |suspect: &Suspect| {
            let claim = suspect.live_claim(now);
            claim.is_some_and(|claim| claim.node == own || options.passes_on)
        };
        let is_due = |suspect: &Suspect| {
            suspect.broadcast.is_due(now) || (options.is_period && is_claimed(suspect))
        };
        let due = self.suspects.iter().filter(|(_, suspect)| is_due(suspect));
        let mut due: Vec<Subject> = due.map(|(subject, _)| *subject).collect();
        due.sort_by_key(|subject| Reverse((self.suspects[subject].retention_rank(), *subject)));
        due.truncate(MAX_REPORTED);
        due
    }

    fn next_refused(&mut self, most: usize) -> Vec<Subject> {
        let suspects = self.suspects.iter();
        let refused = suspects.filter(|(_, known)| known.refusal.is_some());
        let mut refused: Vec<Subject> = refused.map(|(subject, _)| *subject).collect();
        refused.sort();
        let first = self.next_repeated % refused.len().max(1);
        self.next_repeated = first + most;
        refused.rotate_left(first);
        refused.truncate(most);
        refused
    }

    fn reported(&self, subject: Subject, now: Millis) -> ReportedSubject {
        let suspect = &self.suspects[&subject];
        let ends = suspect.evidence.ends().iter().map(|end| ReportedEnd {
            engine: end.engine,
            begun_age_ms: now.since(end.begun),
            age_ms: now.since(end.at),
            request: end.request,
        });
        ReportedSubject {
            subject,
            tenant: suspect.tenant,
            ends: ends.collect(),
            software: suspect.software.iter().cloned().collect(),
            claim: suspect.live_claim(now).map(|claim| ReportedClaim {
                node: claim.node,
                is_sent: claim.is_sent,
                age_ms: now.since(claim.reported_at),
            }),
            refusal: suspect.refusal.map(|refusal| ReportedRefusal {
                age_ms: now.since(refusal.since),
                trials: refusal.trials,
                is_stored: refusal.stored_at.is_some(),
            }),
            clearing: None,
        }
    }

    /// Merges a report of the node `from` and returns its effect. A relay sets `passes_on`
    /// and forwards changes; other nodes leave that to the node that detected them.
    pub fn merge(
        &mut self,
        report: &ReportedSubject,
        from: PeerId,
        own: PeerId,
        passes_on: bool,
        now: Millis,
    ) -> MergeOutcome {
        let subject = report.subject;
        if let Some(clearing) = report.clearing {
            return match self.merge_clearing(report, clearing, passes_on, now) {
                true => MergeOutcome::Changed,
                false => MergeOutcome::Unchanged,
            };
        }
        let is_answered = self.answer_suspicion(report, now);
        let known = self.suspects.contains_key(&subject);
        let known_before = known.then(|| self.reported(subject, now));
        let broadcast = self.suspects.get(&subject).map(|suspect| suspect.broadcast);
        let was_refused = self.is_refused(subject);
        for end in &report.ends {
            let end = EngineEnd {
                engine: end.engine,
                begun: now.before(end.begun_age_ms),
                at: now.before(end.age_ms),
                request: end.request,
            };
            self.note_end(subject, report.tenant, end, None, now);
        }
        if let Some(suspect) = self.suspects.get_mut(&subject) {
            if let Some(refusal) = suspect.refusal.as_mut().filter(|_| !was_refused) {
                refusal.is_own = false;
            }
            suspect.software.extend(report.software.iter().cloned());
        }
        if let Some(refusal) = report.refusal {
            self.merge_refusal(report, refusal, now);
        }
        self.merge_claim(report, from, own, now);
        let is_known = self.suspects.contains_key(&subject);
        let known_now = is_known.then(|| self.reported(subject, now));
        if let Some(suspect) = self.suspects.get_mut(&subject) {
            suspect.broadcast = match passes_on && known_before != known_now {
                true => suspect.begin_broadcast(now),
                false => broadcast.unwrap_or_default(),
            };
        }
        match (was_refused, self.is_refused(subject)) {
            (false, true) => MergeOutcome::Refused,
            _ if known_before == known_now && !is_answered => MergeOutcome::Unchanged,
            _ => MergeOutcome::Changed,
        }
    }

    pub(crate) fn merge_refusal(
        &mut self,
        report: &ReportedSubject,
        refusal: ReportedRefusal,
        now: Millis,
    ) {
        let since = now.before(refusal.age_ms);
        let mut cleared = self.cleared.iter();
        let is_cleared = cleared.any(|known| known.subject == report.subject && known.at >= since);
        if is_cleared || self.is_excused(report.subject, since) {
            return;
        }
        let suspect = self.suspect(report.subject, report.tenant, now);
        suspect.software.extend(report.software.iter().cloned());
        let known = suspect.refusal.get_or_insert(Refusal {
            since,
            trials: refusal.trials,
            stored_at: None,
            is_own: false,
        });
        if refusal.trials > known.trials {
            known.since = known.since.max(since);
            known.trials = refusal.trials;
            known.stored_at = None;
        }
        if refusal.is_stored && refusal.trials == known.trials {
            known.stored_at.get_or_insert(now);
        }
    }

    /// Merges a claim. A claim whose request is being sent has precedence over one that
    /// waits, and otherwise the claim of the lower node identifier. Only the claiming node
    /// can end its claim; otherwise the claim expires.
    fn merge_claim(&mut self, report: &ReportedSubject, from: PeerId, own: PeerId, now: Millis) {
        let Some(suspect) = self.suspects.get_mut(&report.subject) else {
            return;
        };
        let live = suspect.live_claim(now);
        let Some(claim) = report.claim else {
            suspect.claim = live.filter(|known| known.node != from);
            return;
        };
        let other = Claim {
            node: claim.node,
            is_sent: claim.is_sent,
            reported_at: now.before(claim.age_ms),
        };
        let rank = |claim: Claim| (Reverse(claim.is_sent), claim.node);
        let has_precedence = live.is_none_or(|known| rank(other) <= rank(known));
        let is_lapsed = now.since(other.reported_at) >= CLAIM_TIMEOUT_MS;
        let is_same = |old: Claim| old.node == other.node && old.is_sent == other.is_sent;
        let is_older = live.is_some_and(|old| {
            let is_refreshed = other.reported_at.since(old.reported_at) >= MIN_CLAIM_REFRESH_MS;
            old.node == other.node && old.reported_at > other.reported_at
                || is_same(old) && !is_refreshed
        });
        if claim.node != own && has_precedence && !is_lapsed && !is_older {
            suspect.claim = Some(other);
        }
    }
}
