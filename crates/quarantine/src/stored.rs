//! Refused subjects in the store: what it holds and what it should hold.

use crate::node_messages::{ReportedRefusal, ReportedSubject};
use crate::quarantine::Quarantine;
use crate::subject::Subject;
use ploverlift_policy::ids::Millis;
use ploverlift_routing::rate_limit::TenantTag;
use ploverlift_routing::software::SoftwareVersion;
use std::collections::BTreeSet;

/// Time for which other nodes leave it to the detecting node to store a refusal, in
/// milliseconds.
const STORE_GRACE_MS: u64 = 1_500;

/// The stored state of a refused subject.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoredRefusal {
    /// Its tenant.
    pub tenant: TenantTag,
    /// Versions of the software of the engines that ended.
    pub software: Vec<SoftwareVersion>,
    /// Number of trials so far.
    pub trials: u32,
}

impl Quarantine {
    /// Whether this node knows the stored list of refused requests.
    pub fn is_stored_list_known(&self) -> bool {
        self.is_stored_list_known
    }

    /// Records that the stored refusals are known, from the store's list or from a node
    /// that knows it.
    pub fn mark_stored_list_known(&mut self) {
        self.is_stored_list_known = true;
    }

    /// Applies the store's list, as returned by a call that was sent at `sent`. Requests
    /// that this node knew to be stored before then and that are missing from the list were
    /// released by an operator; they are returned.
    pub fn apply_stored_list(
        &mut self,
        stored: Vec<(Subject, StoredRefusal)>,
        sent: Millis,
        now: Millis,
    ) -> Vec<Subject> {
        let listed: BTreeSet<Subject> = stored.iter().map(|(subject, _)| *subject).collect();
        let suspects = self.suspects.iter();
        let released = suspects.filter(|(subject, known)| {
            let stored_at = known.refusal.and_then(|refusal| refusal.stored_at);
            stored_at.is_some_and(|at| at < sent) && !listed.contains(subject)
        });
        let released: Vec<Subject> = released.map(|(subject, _)| *subject).collect();
        for subject in &released {
            self.note_released(*subject, now);
            self.note_deleted(*subject);
        }
        for (subject, refusal) in stored {
            let report = ReportedSubject {
                subject,
                tenant: refusal.tenant,
                ends: Vec::new(),
                software: refusal.software,
                claim: None,
                refusal: None,
                clearing: None,
            };
            let refusal = ReportedRefusal {
                age_ms: 0,
                trials: refusal.trials,
                is_stored: true,
            };
            match self.is_refused(subject) {
                true => self.note_stored(subject, refusal.trials, now),
                false => self.merge_refusal(&report, refusal, now),
            }
        }
        self.is_stored_list_known = true;
        released
    }

    /// Refused requests that this node should store: those that it detected itself, and
    /// those that the detecting node has not stored in time.
    pub fn unstored(&self, now: Millis) -> Vec<(Subject, StoredRefusal)> {
        let suspects = self.suspects.iter();
        let unstored = suspects.filter_map(|(subject, suspect)| {
            let refusal = suspect
                .refusal
                .filter(|refusal| refusal.stored_at.is_none())?;
            if !refusal.is_own && now.since(refusal.since) < STORE_GRACE_MS {
                return None;
            }
            let stored = StoredRefusal {
                tenant: suspect.tenant,
                software: suspect.software.iter().cloned().collect(),
                trials: refusal.trials,
            };
            Some((*subject, stored))
        });
        unstored.collect()
    }

    /// Records that the store holds a refused request with `trials` trials.
    pub fn note_stored(&mut self, subject: Subject, trials: u32, now: Millis) {
        let suspect = self.suspects.get_mut(&subject);
        let refusal = suspect.and_then(|suspect| suspect.refusal.as_mut());
        if let Some(refusal) = refusal.filter(|refusal| refusal.trials <= trials) {
            refusal.trials = trials;
            refusal.stored_at.get_or_insert(now);
        }
    }

    /// Records that the store was restored from a copy. It may lack refusals that it had
    /// before, without an operator having released them.
    pub fn note_store_restored(&mut self) {
        let suspects = self.suspects.values_mut();
        for refusal in suspects.filter_map(|suspect| suspect.refusal.as_mut()) {
            refusal.stored_at = None;
        }
    }

    /// Refusals to be deleted from the store.
    pub fn pending_deletions(&self) -> Vec<Subject> {
        self.to_delete.clone()
    }

    /// Records that a refusal was deleted from the store.
    pub fn note_deleted(&mut self, subject: Subject) {
        self.to_delete.retain(|known| *known != subject);
    }
}
