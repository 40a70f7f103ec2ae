//! The claim of a request that may run at most once.

use super::{Payload, Relay, RelayRequest};
use crate::callers::recorded_answer::RecordedAnswer;
use ploverlift_cluster::claim_proposer::{ClaimOutcome, Ticket};
use ploverlift_cluster::claims::{ClaimKey, MAX_RECORDED_ANSWER_BYTES};
use ploverlift_policy::admission::RetryAfter;
use ploverlift_policy::attempt::{AttemptState, RunState};
use ploverlift_policy::objects::RouteSpec;
use ploverlift_policy::request::{Event, Step};

/// A claim that this request holds.
pub struct HeldClaim {
    ticket: Ticket,
    /// Whether an attempt was given up while it may have reached a back end.
    attempt_lost: bool,
}

/// The key under which a request is claimed; nothing when it needs no claim.
/// Without an idempotency key the caller's own request id serves, so that a
/// caller that tries again at another node is known by it.
pub fn key_of(request: &RelayRequest, route: &RouteSpec) -> Option<ClaimKey> {
    let headers = &request.headers;
    if headers.resume.is_some() {
        return None;
    }
    let tenant = request.routed.tenant.name.as_str();
    let name = &request.routed.snapshot.routes[request.routed.route].name;
    match &headers.idempotency_key {
        Some(key) => Some(ClaimKey::of(tenant, name, key)),
        None if !route.repeatable && headers.id_from_caller => {
            let key = format!("request-id:{}", headers.id);
            Some(ClaimKey::of(tenant, name, &key))
        }
        None => None,
    }
}

impl Relay {
    /// Asks for the claim and reports what came of it.
    pub(super) async fn claim(&mut self) -> Step {
        let Some(key) = key_of(&self.request, &self.route) else {
            return self.on(Event::ClaimGranted);
        };
        let fingerprint = self.request.payload.fingerprint();
        let proposed = self.node.with_core(|core, now| {
            let ticket = core.propose(key, fingerprint, now)?;
            Ok::<_, RetryAfter>((ticket, self.node.waiters.claim(ticket)))
        });
        let (ticket, answer) = match proposed {
            Ok(proposed) => proposed,
            Err(come_back) => return self.on(Event::ClaimUnavailable(come_back)),
        };
        let lost = ClaimOutcome::Unavailable(RetryAfter::clamped(0));
        let outcome = answer.recv().await.unwrap_or(lost);
        match outcome {
            ClaimOutcome::Granted => {
                self.claim = Some(HeldClaim {
                    ticket,
                    attempt_lost: false,
                });
                self.on(Event::ClaimGranted)
            }
            ClaimOutcome::Answered(bytes) => {
                self.replay = RecordedAnswer::from_bytes(&bytes);
                match &self.replay {
                    Some(_) => self.on(Event::ClaimAnswered),
                    None => self.on(Event::ClaimHeld),
                }
            }
            ClaimOutcome::Held => self.on(Event::ClaimHeld),
            ClaimOutcome::OtherRequest => self.on(Event::ClaimKeyReused),
            ClaimOutcome::Unavailable(come_back) => self.on(Event::ClaimUnavailable(come_back)),
        }
    }

    /// Notes that an attempt was given up without an answer.
    pub(super) fn note_lost_attempt(&mut self, state: AttemptState) {
        if let Some(claim) = &mut self.claim {
            claim.attempt_lost |= state.run_state() != RunState::NotRun;
        }
    }

    /// Ends the claim: records the answer, or gives the claim back when the
    /// request certainly did not run, or leaves it held.
    pub(super) fn settle_claim(&mut self, answer: Option<&RecordedAnswer>) {
        let Some(claim) = self.claim.take() else {
            return;
        };
        let not_run = self.machine.run_state() == RunState::NotRun && !claim.attempt_lost;
        self.node.with_core(|core, now| match answer {
            Some(answer) => {
                let bytes = answer.to_bytes();
                if bytes.len() <= MAX_RECORDED_ANSWER_BYTES {
                    core.complete_claim(claim.ticket, bytes, now);
                } else {
                    core.abandon_claim(claim.ticket);
                }
            }
            None if not_run => core.release_claim(claim.ticket),
            None => core.abandon_claim(claim.ticket),
        });
    }
}

impl Payload {
    /// A hash by which the same key with another request is found out.
    pub fn fingerprint(&self) -> u64 {
        use std::hash::{DefaultHasher, Hash, Hasher};
        let mut hasher = DefaultHasher::new();
        match self {
            Payload::Completion { path, fields } => {
                path.hash(&mut hasher);
                serde_json::to_vec(fields)
                    .unwrap_or_default()
                    .hash(&mut hasher);
            }
            Payload::Plain {
                method, path, body, ..
            } => {
                method.as_str().hash(&mut hasher);
                path.hash(&mut hasher);
                body.hash(&mut hasher);
            }
        }
        hasher.finish()
    }
}
