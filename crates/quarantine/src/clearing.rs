//! What clears a subject: full answers, here or on other nodes, and releases by an operator.

use crate::answers::ANSWER_VALIDITY_MS;
use crate::node_messages::{ReportedClearing, ReportedSubject};
use crate::quarantine::Quarantine;
use crate::subject::Subject;
use crate::suspect::Cleared;
use ploverlift_policy::ids::Millis;
use ploverlift_policy::update_broadcast::UpdateBroadcast;

impl Quarantine {
    pub(crate) fn record_answer(&mut self, subject: Subject, at: Millis) {
        match subject {
            Subject::Request(request) => self.answers.note(request, at),
            Subject::Part(part) => self.part_answers.note(part, at),
        }
    }

    /// Whether a recent answer shows that the subject did not cause an engine's end at
    /// `ended_at`.
    pub(crate) fn is_excused(&self, subject: Subject, ended_at: Millis) -> bool {
        match subject {
            Subject::Request(request) => self.answers.clear(request, ended_at),
            Subject::Part(part) => self.part_answers.clear(part, ended_at),
        }
    }

    pub(crate) fn clear_and_report(
        &mut self,
        subject: Subject,
        is_answer: bool,
        at: Millis,
    ) -> bool {
        let Some(suspect) = self.suspects.get(&subject) else {
            return false;
        };
        self.cleared.push(Cleared {
            subject,
            tenant: suspect.tenant,
            is_answer,
            at,
            known_since: at,
            broadcast: UpdateBroadcast::begin(at),
        });
        self.clear(subject, is_answer, at);
        true
    }

    /// Reports the own answers to requests with a part that another node suspects: a node that
    /// serves no such requests cannot know that it is harmless. Once in the time for which a
    /// clearing is kept. Returns whether it is reported.
    pub(crate) fn answer_suspicion(&mut self, report: &ReportedSubject, now: Millis) -> bool {
        let Subject::Part(part) = report.subject else {
            return false;
        };
        let ends = report.ends.iter().map(|end| now.before(end.age_ms));
        let refusal = report.refusal.map(|refusal| now.before(refusal.age_ms));
        let mut suspected_at = ends.chain(refusal);
        let is_excused = suspected_at.any(|at| self.is_excused(report.subject, at));
        let is_reported = self.is_clearing_known(report.subject);
        let Some(answered) = self.part_answers.last(part).filter(|_| is_excused) else {
            return false;
        };
        if !is_reported {
            self.cleared.push(Cleared {
                subject: report.subject,
                tenant: report.tenant,
                is_answer: true,
                at: answered,
                known_since: now,
                broadcast: UpdateBroadcast::begin(now),
            });
        }
        !is_reported
    }

    pub(crate) fn is_clearing_known(&self, subject: Subject) -> bool {
        self.cleared.iter().any(|known| known.subject == subject)
    }

    /// Removes the evidence up to `cleared_at`. An answer to a request with a part also clears
    /// the part of ends that soon follow, as a harmful part is never answered.
    pub(crate) fn clear(&mut self, subject: Subject, is_answer: bool, cleared_at: Millis) {
        let Some(suspect) = self.suspects.get_mut(&subject) else {
            return;
        };
        let excused_until = match is_answer && suspect.is_part {
            true => cleared_at.plus(ANSWER_VALIDITY_MS),
            false => cleared_at,
        };
        suspect.evidence.clear_until(excused_until);
        suspect.changed_at = suspect.changed_at.max(cleared_at);
        if let Some(refusal) = suspect.refusal.filter(|known| known.since <= excused_until) {
            if refusal.stored_at.is_some() {
                self.to_delete.push(subject);
            }
            suspect.refusal = None;
        }
        let is_needed = suspect.undetermined > 0 || suspect.refusal.is_some();
        if suspect.evidence.ends().is_empty() && !is_needed {
            self.suspects.remove(&subject);
        }
    }

    pub(crate) fn merge_clearing(
        &mut self,
        report: &ReportedSubject,
        clearing: ReportedClearing,
        passes_on: bool,
        now: Millis,
    ) -> bool {
        let subject = report.subject;
        let cleared_at = now.before(clearing.age_ms);
        if clearing.is_answer {
            self.record_answer(subject, cleared_at);
        }
        if self.is_clearing_known(subject) {
            self.clear(subject, clearing.is_answer, cleared_at);
            return false;
        }
        let is_changed = self.clear_and_report(subject, clearing.is_answer, cleared_at);
        if let Some(cleared) = self.cleared.last_mut().filter(|_| is_changed) {
            cleared.known_since = now;
            cleared.broadcast = match passes_on {
                true => UpdateBroadcast::begin(now),
                false => UpdateBroadcast::default(),
            };
        }
        is_changed
    }
}
