//! Withholds requests during which engines have ended, at this node or at others.
//!
//! This is checked each time right before the bytes are sent: while a request waits here,
//! engines may end elsewhere during a copy of it.

use super::Forwarding;
use crate::beliefs::Beliefs;
use crate::state::Gateway;
use crate::time::{sleep, within};
use ploverlift_balancing::peer_loads::PeerId;
use ploverlift_quarantine::fingerprint::RequestFingerprint;
use ploverlift_quarantine::quarantine::Permission;
use ploverlift_routing::prompt::Prompt;
use ploverlift_routing::rate_limit::TenantTag;
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
    reason: &'static str,
    retry_after_ms: u64,
}

/// This node's claim to send a request during which an engine ended. Dropping it releases
/// the claim.
pub(super) struct RequestClaim {
    gateway: Arc<Gateway>,
    request: RequestFingerprint,
    own: PeerId,
}

impl Drop for RequestClaim {
    fn drop(&mut self) {
        let now = self.gateway.clock.now();
        let quarantine = &mut self.gateway.beliefs().quarantine;
        quarantine.release(self.request, self.own, now);
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
            match self.permission() {
                Permission::Free => return Ok(()),
                Permission::Refused { retry_after_ms } => {
                    return Err(Withheld {
                        reason: "engines ended each time they ran this request",
                        retry_after_ms,
                    });
                }
                Permission::AfterClaim => {
                    if self.claim().await {
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
                            reason: "an engine ended while it ran this request, and another is running it",
                            retry_after_ms,
                        });
                    }
                    within(hold_until.since(now), changed).await;
                }
            }
        }
    }

    fn permission(&self) -> Permission {
        let now = self.gateway.clock.now();
        let beliefs = self.gateway.beliefs();
        let has_new_software = self.has_new_software(&beliefs);
        let quarantine = &beliefs.quarantine;
        quarantine.permission_for(self.received.fingerprint, has_new_software, now)
    }

    /// Whether no engine of the service still has a software version that ended during the
    /// request.
    fn has_new_software(&self, beliefs: &Beliefs) -> bool {
        let request = self.received.fingerprint;
        let Some(ended_versions) = beliefs.quarantine.refused_software(request) else {
            return false;
        };
        let service = &self.received.admission.service;
        let mut engines = beliefs.engines.of_service(service).peekable();
        let is_version_known = ended_versions.iter().any(|version| !version.0.is_empty());
        let has_engines = engines.peek().is_some();
        is_version_known
            && has_engines
            && engines.all(|engine| !ended_versions.contains(&engine.record.software))
    }

    /// Claims the request and waits for the claims of other nodes; returns whether this node
    /// holds the claim then.
    async fn claim(&mut self) -> bool {
        let request = self.received.fingerprint;
        let own = PeerId::of(&self.gateway.settings().node.name);
        let now = self.gateway.clock.now();
        self.gateway.beliefs().quarantine.claim(request, own, now);
        self.gateway.quarantine_changed.notify(usize::MAX);
        self.claim = Some(RequestClaim {
            gateway: Arc::clone(&self.gateway),
            request,
            own,
        });
        let has_relays = self.gateway.address_book().has_relays();
        let has_other_nodes = self.gateway.address_book().listed_nodes() > 1;
        match (has_other_nodes, has_relays) {
            (false, _) => {}
            (true, false) => sleep(CLAIM_DELAY_MS).await,
            (true, true) => sleep(RELAYED_CLAIM_DELAY_MS).await,
        }
        let holds_claim = self
            .gateway
            .beliefs()
            .quarantine
            .is_claimed_by(request, own);
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
        let has_new_software = self.has_new_software(&beliefs);
        let request = self.received.fingerprint;
        let quarantine = &mut beliefs.quarantine;
        match &self.claim {
            Some(claim) => quarantine.begin_attempt(request, claim.own, has_new_software, now),
            None => match quarantine.permission_for(request, has_new_software, now) {
                Permission::Free => true,
                Permission::Busy { moments, .. } => self.may_run_concurrently(moments),
                Permission::AfterClaim | Permission::Refused { .. } => false,
            },
        }
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
        let request = self.received.fingerprint;
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

    /// Records that an engine answered the request completely, which clears it of suspicion.
    pub(super) fn note_answered(&self) {
        let now = self.gateway.clock.now();
        let request = self.received.fingerprint;
        let was_suspected = {
            let quarantine = &mut self.gateway.beliefs().quarantine;
            quarantine.note_answered(request, now)
        };
        if was_suspected {
            slog::info!(self.gateway.log, "request cleared";
                "fingerprint" => request.to_string(), "id" => &self.received.request.id);
            self.gateway.quarantine_changed.notify(usize::MAX);
        }
    }

    pub(super) fn note_withheld(&mut self, withheld: &Withheld) {
        self.gateway.metrics.withheld_requests.inc();
        slog::info!(self.gateway.log, "request withheld";
            "fingerprint" => self.received.fingerprint.to_string(),
            "id" => &self.received.request.id,
            "reason" => withheld.reason,
            "retry_after_ms" => withheld.retry_after_ms);
        withheld.reason.clone_into(&mut self.progress.reason);
        self.progress.retry_after_ms = Some(withheld.retry_after_ms);
    }

    /// Ids of the parts of the prompt that other requests may share.
    pub(super) fn shared_part_ids(&self) -> Vec<u64> {
        let prompt = self.received.request.prompt.as_ref();
        let parts = prompt.map_or(&[][..], Prompt::shared_parts);
        parts.iter().map(|part| part.id).collect()
    }

    pub(super) fn tenant_tag(&self) -> TenantTag {
        let tenant = self.received.admission.tenant.as_ref();
        TenantTag::of(tenant.map_or("", |tenant| tenant.name.as_str()))
    }
}
