//! Whether a request may be sent, given the evidence against it and each part of its prompt.

use crate::quarantine::{Permission, Quarantine, BUSY_RETRY_MS};
use crate::subject::Subject;
use ploverlift_balancing::names::PeerId;
use ploverlift_policy::ids::Millis;
use ploverlift_routing::software::SoftwareVersion;
use std::collections::BTreeSet;

/// Additional time until the trial of a request that has several refused parts, in
/// milliseconds. Requests with one of them come first, and show which one is harmless.
const SEVERAL_REFUSED_DELAY_MS: u64 = 2_000;

/// A request that is to be sent.
#[derive(Clone, Copy)]
pub struct PermissionQuery<'a> {
    /// The request and the shared parts of its prompt.
    pub subjects: &'a [Subject],
    /// Whether no engine of the service is left with any of these software versions.
    pub has_new_software: &'a dyn Fn(&BTreeSet<SoftwareVersion>) -> bool,
}

/// Whether a request may be sent, and what has to be claimed before.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RequestPermission {
    /// The strictest permission of all subjects.
    pub permission: Permission,
    /// The subject that it is due to, unless it is free.
    pub due_to: Option<Subject>,
    /// Subjects that have to be claimed.
    pub to_claim: Vec<Subject>,
}

/// A request that is being sent.
#[derive(Clone, Copy, Debug)]
pub struct RequestAttempt<'a> {
    /// The request and the shared parts of its prompt.
    pub subjects: &'a [Subject],
    /// Those of which no engine of the service is left with software that ended.
    pub renewed: &'a [Subject],
    /// Those that this node has claimed for it.
    pub claimed: &'a [Subject],
    /// This node.
    pub own: PeerId,
}

impl RequestPermission {
    /// There is no evidence against any subject.
    pub const FREE: Self = Self {
        permission: Permission::Free,
        due_to: None,
        to_claim: Vec::new(),
    };
}

impl Quarantine {
    /// Whether a request may be sent.
    pub fn request_permission(&self, query: PermissionQuery<'_>, now: Millis) -> RequestPermission {
        let mut strictest = RequestPermission::FREE;
        for subject in query.subjects {
            let permission = self.permission_for(*subject, self.is_renewed(*subject, query), now);
            if permission == Permission::AfterClaim {
                strictest.to_claim.push(*subject);
            }
            if severity(&permission) > severity(&strictest.permission) {
                strictest.permission = permission;
                strictest.due_to = Some(*subject);
            }
        }
        if strictest.permission == Permission::AfterClaim
            && !self.may_try_together(&strictest.to_claim, now)
        {
            strictest.permission = Permission::Refused {
                retry_after_ms: BUSY_RETRY_MS,
            };
        }
        strictest
    }

    /// Begins an attempt of a request right before it is sent. Returns whether it may be sent.
    /// `may_run_concurrently` is whether it may although a copy of it runs, given the number of
    /// moments at which engines ended.
    pub fn begin_request(
        &mut self,
        attempt: &RequestAttempt<'_>,
        may_run_concurrently: &dyn Fn(usize) -> bool,
        now: Millis,
    ) -> bool {
        let subjects = attempt.subjects.iter().copied();
        let may_be_sent = |subject: Subject| {
            let is_renewed = attempt.renewed.contains(&subject);
            if attempt.claimed.contains(&subject) {
                return self.may_begin_attempt(subject, attempt.own, is_renewed, now);
            }
            match self.permission_for(subject, is_renewed, now) {
                Permission::Free => true,
                Permission::Busy { moments, .. } => may_run_concurrently(moments),
                Permission::AfterClaim | Permission::Refused { .. } => false,
            }
        };
        if !subjects.clone().all(may_be_sent) {
            return false;
        }
        for subject in attempt.claimed {
            let is_renewed = attempt.renewed.contains(subject);
            self.begin_attempt(*subject, attempt.own, is_renewed, now);
        }
        true
    }

    /// Whether the service has no engine left with the software of the engines that ended.
    fn is_renewed(&self, subject: Subject, query: PermissionQuery<'_>) -> bool {
        let ended_versions = self.refused_software(subject);
        ended_versions.is_some_and(|versions| (query.has_new_software)(versions))
    }

    /// Whether the trials of all refused parts may be one request.
    fn may_try_together(&self, to_claim: &[Subject], now: Millis) -> bool {
        let parts = to_claim.iter().filter(|subject| subject.is_part());
        let parts: Vec<&Subject> = parts.collect();
        let is_overdue = |part: &&Subject| {
            let due_since_ms = self.trial_due_since_ms(**part, now);
            due_since_ms.is_none_or(|since_ms| since_ms >= SEVERAL_REFUSED_DELAY_MS)
        };
        parts.len() <= 1 || parts.iter().all(is_overdue)
    }
}

fn severity(permission: &Permission) -> (u8, u64) {
    match permission {
        Permission::Free => (0, 0),
        Permission::AfterClaim => (1, 0),
        Permission::Busy { moments, .. } => (2, *moments as u64),
        Permission::Refused { retry_after_ms } => (3, *retry_after_ms),
    }
}
