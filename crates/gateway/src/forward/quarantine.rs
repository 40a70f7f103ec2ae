//! Withholds requests during which engines have ended, at this node or at others, and requests
//! with a part in their prompt under which engines have ended.
//!
//! This is checked each time right before the bytes are sent: while a request waits here,
//! engines may end elsewhere during a copy of it.

use super::Forwarding;
use crate::beliefs::Beliefs;
use crate::state::Gateway;
use crate::time::{sleep, within};
use ploverlift_balancing::peer_loads::PeerId;
use ploverlift_quarantine::quarantine::Permission;
use ploverlift_quarantine::request_permission::{
    PermissionQuery, RequestAttempt, RequestPermission,
};
use ploverlift_quarantine::subject::{SharedPart, Subject};
use ploverlift_routing::rate_limit::TenantTag;
use ploverlift_routing::software::SoftwareVersion;
use std::collections::BTreeSet;
use std::sync::Arc;

/// Longest wait for a copy that runs elsewhere, in milliseconds. Most copies are answered,
/// or end their engine, sooner.
const MAX_HOLD_MS: u64 = 300;
/// A request waits at most for its remaining time divided by this.
const HOLD_DIVISOR: u64 = 4;
/// Time from a claim until it takes effect, in milliseconds, during which the claims of other
/// nodes arrive: where nodes report to each other directly.
const CLAIM_DELAY_MS: u64 = 25;
/// The same where relays forward the reports.
const RELAYED_CLAIM_DELAY_MS: u64 = 150;

/// Why a request is withheld.
pub(super) struct Withheld {
    reason: String,
    due_to: Option<Subject>,
    retry_after_ms: u64,
}

/// This node's claim to send a request during which an engine ended, or one with a part under
/// which engines ended. Dropping it releases the claim.
pub(super) struct RequestClaim {
    gateway: Arc<Gateway>,
    subjects: Vec<Subject>,
    own: PeerId,
}

impl Drop for RequestClaim {
    fn drop(&mut self) {
        let now = self.gateway.clock.now();
        for subject in &self.subjects {
            let quarantine = &mut self.gateway.beliefs().quarantine;
            quarantine.release(*subject, self.own, now);
        }
        self.gateway.quarantine_changed.notify(usize::MAX);
    }
}

impl Forwarding {
    /// Waits until it is decided whether the request may be sent. Of a suspected request, only
    /// one copy at a time is sent in the whole fleet, by the node that has claimed it.
    pub(super) async fn wait_for_permission(&mut self) -> Result<(), Withheld> {
        let began = self.gateway.clock.now();
        let left_ms = self.received.limits.left_ms(began);
        let hold_until = began.plus(MAX_HOLD_MS.min(left_ms / HOLD_DIVISOR));
        loop {
            let gateway = Arc::clone(&self.gateway);
            let changed = gateway.quarantine_changed.listen();
            let permitted = self.permission();
            match permitted.permission {
                Permission::Free => return Ok(()),
                Permission::Refused { retry_after_ms } => {
                    return Err(self.withheld_by_refusal(permitted.due_to, retry_after_ms));
                }
                Permission::AfterClaim => {
                    if self.claim(permitted.to_claim).await {
                        return Ok(());
                    }
                }
                Permission::Busy {
                    moments,
                    retry_after_ms,
                } => {
                    let now = gateway.clock.now();
                    self.progress.has_waited |= hold_until <= now;
                    if self.may_run_concurrently(moments) {
                        return Ok(());
                    }
                    if hold_until <= now {
                        return Err(Withheld {
                            reason: "an engine ended while it ran this request, and another is running it"
                                .to_owned(),
                            due_to: permitted.due_to,
                            retry_after_ms,
                        });
                    }
                    within(hold_until.since(now), changed).await;
                }
            }
        }
    }

    fn withheld_by_refusal(&self, due_to: Option<Subject>, retry_after_ms: u64) -> Withheld {
        let reason = match self.part(due_to) {
            Some(part) => format!("engines ended under part {:x} of its prompt", part.id),
            None => "engines ended each time they ran this request".to_owned(),
        };
        Withheld {
            reason,
            due_to,
            retry_after_ms,
        }
    }

    /// The part of the prompt that is this subject.
    fn part(&self, subject: Option<Subject>) -> Option<SharedPart> {
        let parts = self.received.shared_parts.iter().copied();
        let mut parts = parts.filter(|part| subject == Some(part.fingerprint.into()));
        parts.next()
    }

    /// The request, and the parts of its prompt that other requests may share.
    fn subjects(&self) -> Vec<Subject> {
        let parts = self.received.shared_parts.iter();
        let parts = parts.map(|part| Subject::Part(part.fingerprint));
        let request = Subject::Request(self.received.fingerprint);
        std::iter::once(request).chain(parts).collect()
    }

    fn permission(&self) -> RequestPermission {
        let now = self.gateway.clock.now();
        let beliefs = self.gateway.beliefs();
        if beliefs.quarantine.is_empty() {
            return RequestPermission::FREE;
        }
        let query = PermissionQuery {
            subjects: &self.subjects(),
            has_new_software: &|ended_versions| self.has_new_software(&beliefs, ended_versions),
        };
        beliefs.quarantine.request_permission(query, now)
    }

    /// Whether no engine of the service still has one of the software versions that ended.
    fn has_new_software(
        &self,
        beliefs: &Beliefs,
        ended_versions: &BTreeSet<SoftwareVersion>,
    ) -> bool {
        let service = &self.received.admission.service;
        let mut engines = beliefs.engines.of_service(service).peekable();
        let is_version_known = ended_versions.iter().any(|version| !version.0.is_empty());
        let has_engines = engines.peek().is_some();
        is_version_known
            && has_engines
            && engines.all(|engine| !ended_versions.contains(&engine.record.software))
    }

    /// Claims the subjects and waits for the claims of other nodes; returns whether this node
    /// holds all claims then.
    async fn claim(&mut self, subjects: Vec<Subject>) -> bool {
        let own = PeerId::of(&self.gateway.settings().node.name);
        let now = self.gateway.clock.now();
        for subject in &subjects {
            self.gateway.beliefs().quarantine.claim(*subject, own, now);
        }
        self.gateway.quarantine_changed.notify(usize::MAX);
        self.claim = Some(RequestClaim {
            gateway: Arc::clone(&self.gateway),
            subjects: subjects.clone(),
            own,
        });
        let has_relays = self.gateway.address_book().has_relays();
        let has_other_nodes = self.gateway.address_book().listed_nodes() > 1;
        match (has_other_nodes, has_relays) {
            (false, _) => {}
            (true, false) => sleep(CLAIM_DELAY_MS).await,
            (true, true) => sleep(RELAYED_CLAIM_DELAY_MS).await,
        }
        let holds_claim = {
            let quarantine = &self.gateway.beliefs().quarantine;
            let mut claimed = subjects.iter();
            claimed.all(|subject| quarantine.is_claimed_by(*subject, own))
        };
        if !holds_claim {
            self.claim = None;
        }
        holds_claim
    }

    /// Whether the request may still be sent, checked right before it is; a claimed request
    /// is recorded as begun.
    pub(super) fn begin_if_permitted(&self) -> bool {
        let now = self.gateway.clock.now();
        let mut beliefs = self.gateway.beliefs();
        if beliefs.quarantine.is_empty() {
            return true;
        }
        let subjects = self.subjects();
        let renewed = subjects.iter().copied().filter(|subject| {
            let ended_versions = beliefs.quarantine.refused_software(*subject);
            ended_versions.is_some_and(|versions| self.has_new_software(&beliefs, versions))
        });
        let attempt = RequestAttempt {
            renewed: &renewed.collect::<Vec<Subject>>(),
            subjects: &subjects,
            claimed: self.claim.as_ref().map_or(&[], |claim| &claim.subjects),
            own: PeerId::of(&self.gateway.settings().node.name),
        };
        let may_run_concurrently = |moments| self.may_run_concurrently(moments);
        let quarantine = &mut beliefs.quarantine;
        quarantine.begin_request(&attempt, &may_run_concurrently, now)
    }

    /// Whether the request is sent while a copy of it runs elsewhere. A copy that ends its
    /// engine mostly does so within the wait; after the wait, a single end is not enough to
    /// refuse a request that may be harmless.
    fn may_run_concurrently(&self, moments: usize) -> bool {
        self.progress.has_waited && moments <= 1
    }

    /// Waits until it is determined whether the engine of a lost send has ended.
    pub(super) async fn wait_until_engine_end_known(&self) {
        let gateway = &self.gateway;
        let request = Subject::Request(self.received.fingerprint);
        let finding = async {
            loop {
                let changed = gateway.quarantine_changed.listen();
                if !gateway.beliefs().quarantine.is_outcome_pending(request) {
                    return;
                }
                changed.await;
            }
        };
        within(MAX_HOLD_MS, finding).await;
    }

    /// Records that an engine answered the request completely, which clears it of suspicion,
    /// and if the engine has run it, each part of its prompt.
    pub(super) fn note_answered(&self, has_run: bool) {
        let now = self.gateway.clock.now();
        let subjects = self.subjects();
        let answered = subjects
            .into_iter()
            .filter(|subject| has_run || !subject.is_part());
        let cleared: Vec<Subject> = {
            let quarantine = &mut self.gateway.beliefs().quarantine;
            let cleared = answered.filter(|subject| quarantine.note_answered(*subject, now));
            cleared.collect()
        };
        if cleared.is_empty() {
            return;
        }
        for subject in cleared {
            slog::info!(self.gateway.log, "request cleared";
                "fingerprint" => subject.to_string(), "id" => &self.received.request.id);
        }
        self.gateway.quarantine_changed.notify(usize::MAX);
    }

    pub(super) fn note_withheld(&mut self, withheld: &Withheld) {
        self.gateway.metrics.withheld_requests.inc();
        slog::info!(self.gateway.log, "request withheld";
            "fingerprint" => self.received.fingerprint.to_string(),
            "id" => &self.received.request.id,
            "reason" => &withheld.reason,
            "due_to" => withheld.due_to.map(|subject| subject.to_string()),
            "retry_after_ms" => withheld.retry_after_ms);
        withheld.reason.clone_into(&mut self.progress.reason);
        self.progress.retry_after_ms = Some(withheld.retry_after_ms);
    }

    pub(super) fn tenant_tag(&self) -> TenantTag {
        let tenant = self.received.admission.tenant.as_ref();
        TenantTag::of(tenant.map_or("", |tenant| tenant.name.as_str()))
    }
}
