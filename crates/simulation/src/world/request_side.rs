//! Requests, from a caller's try to its outcome.

use super::*;

impl World {
    pub(super) fn new_try(&mut self, request: u64, at_most_once: bool) -> TryId {
        self.next_try += 1;
        let try_id = TryId(self.next_try);
        self.oracle.tries.insert(
            try_id,
            Try {
                request,
                at_most_once,
                began_at: self.now,
                ended_at: None,
                try_outcome: TryOutcome::Waiting,
                pieces: Vec::new(),
            },
        );
        try_id
    }

    /// Sends a repeatable request as a caller does. Returns the id of the try.
    pub fn request(&mut self, node: usize, tenant: usize, prompt: usize) -> TryId {
        let request = 1_000_000 + self.next_try;
        let try_id = self.new_try(request, false);
        let arrival = SimEvent::RequestArrives {
            node,
            try_id,
            request,
            once: false,
            tenant,
            prompt,
        };
        self.at(1, arrival);
        try_id
    }

    /// Sends a request that may run at most once. Returns the id of the try.
    pub fn request_once(&mut self, node: usize, request: u64) -> TryId {
        let try_id = self.new_try(request, true);
        let arrival = SimEvent::RequestArrives {
            node,
            try_id,
            request,
            once: true,
            tenant: 0,
            prompt: 0,
        };
        self.at(1, arrival);
        try_id
    }

    pub(super) fn end_try(&mut self, try_id: TryId, try_outcome: TryOutcome) {
        self.at(
            1,
            SimEvent::CallerEnd {
                try_id,
                try_outcome,
            },
        );
    }

    pub(super) fn caller_end(&mut self, try_id: TryId, try_outcome: TryOutcome) {
        let try_outcome = match try_outcome {
            TryOutcome::Whole(_) => {
                let known = self.oracle.tries.get(&try_id);
                TryOutcome::Whole(known.map_or_else(Vec::new, |known| known.pieces.clone()))
            }
            try_outcome => try_outcome,
        };
        self.oracle.record_outcome(try_id, try_outcome, self.now);
    }

    pub(super) fn request_arrives(
        &mut self,
        node: usize,
        try_id: TryId,
        request: u64,
        once: bool,
        tenant: usize,
        prompt: usize,
    ) {
        let now = self.node_now(node);
        let Some(core) = &self.nodes[node].core else {
            return self.end_try(try_id, TryOutcome::ConnectionLost);
        };
        if core.is_catching_up(now) {
            let again = SimEvent::RequestArrives {
                node,
                try_id,
                request,
                once,
                tenant,
                prompt,
            };
            return self.at(CATCH_UP_RETRY_MS, again);
        }
        let snapshot = Arc::clone(&core.router.snapshot);
        let tenant = TenantName::from(site::TENANTS[tenant % site::TENANTS.len()]);
        let model = if once { site::BOOKINGS } else { site::MODEL };
        let Some(routed) = route_request(&snapshot, try_id, &tenant, model, prompt) else {
            return self.end_try(try_id, TryOutcome::Refused(RunState::NotRun));
        };
        let deadline = now.plus(site::DEADLINE_MS);
        let sim = SimRequest {
            try_id,
            request,
            routed,
            machine: RequestMachine::new(!once, once, deadline),
            failed: Vec::new(),
            attempts: 0,
            attempt_state: AttemptState::Unsent,
            engine: None,
            claim: None,
            granted: false,
            replay: None,
        };
        self.nodes[node].requests.insert(try_id, sim);
        let life = self.nodes[node].life;
        self.at(site::DEADLINE_MS, SimEvent::Deadline { node, life, try_id });
        self.handle_event(node, try_id, Event::Admitted);
    }

    pub(super) fn handle_event(&mut self, node: usize, try_id: TryId, event: Event) {
        if let Some(step) = self.step(node, try_id, event) {
            self.execute_step(node, try_id, step);
        }
    }

    /// Passes an event to a request's state machine; returns the next step.
    fn step(&mut self, node: usize, try_id: TryId, event: Event) -> Option<Step> {
        let now = self.node_now(node);
        let sim_node = &mut self.nodes[node];
        let core = sim_node.core.as_mut()?;
        let request = sim_node.requests.get_mut(&try_id)?;
        Some(request.machine.on(event, &mut core.router.retries, now))
    }

    pub(super) fn execute_step(&mut self, node: usize, try_id: TryId, step: Step) {
        match step {
            Step::Claim => self.propose_claim(node, try_id),
            Step::Attempt { from } => self.attempt(node, try_id, from),
            Step::Finish => {
                self.finish_request(node, try_id, true);
                self.end_try(try_id, TryOutcome::Whole(Vec::new()));
            }
            Step::Replay => {
                let request = self.nodes[node].requests.get(&try_id);
                let answer = request.and_then(|request| request.replay).unwrap_or(0);
                self.finish_request(node, try_id, false);
                self.end_try(try_id, TryOutcome::Replayed(answer));
            }
            Step::Refuse(refusal) => {
                self.finish_request(node, try_id, false);
                self.end_try(try_id, TryOutcome::Refused(refusal.run_state));
            }
            Step::Abort(refusal) => {
                self.finish_request(node, try_id, false);
                self.end_try(try_id, TryOutcome::Aborted(refusal.run_state));
            }
            Step::Wait | Step::Skip | Step::Deliver => {}
        }
    }

    pub(super) fn propose_claim(&mut self, node: usize, try_id: TryId) {
        let Some(request) = self.nodes[node]
            .requests
            .get(&try_id)
            .map(|known| known.request)
        else {
            return;
        };
        let key = ClaimKey::of("counter", "bookings", &request.to_string());
        let proposed = self.with_core(node, |core, now| core.propose(key, request, now));
        match proposed {
            Some(Ok(ticket)) => {
                if let Some(known) = self.nodes[node].requests.get_mut(&try_id) {
                    known.claim = Some(ticket);
                }
            }
            Some(Err(retry_after)) => {
                self.handle_event(node, try_id, Event::ClaimUnavailable(retry_after))
            }
            None => {}
        }
    }

    pub(super) fn claim_decided(&mut self, node: usize, try_id: TryId, outcome: ClaimOutcome) {
        self.log_event(|| format!("node-{node}: {try_id:?} claim decided: {outcome:?}"));
        let event = match outcome {
            ClaimOutcome::Granted => {
                if let Some(known) = self.nodes[node].requests.get_mut(&try_id) {
                    known.granted = true;
                }
                Event::ClaimGranted
            }
            ClaimOutcome::Answered(bytes) => {
                let text = String::from_utf8_lossy(&bytes).into_owned();
                if let Some(known) = self.nodes[node].requests.get_mut(&try_id) {
                    known.replay = text.parse().ok();
                }
                Event::ClaimAnswered
            }
            ClaimOutcome::Held => Event::ClaimHeld,
            ClaimOutcome::OtherRequest => Event::ClaimKeyReused,
            ClaimOutcome::Unavailable(retry_after) => Event::ClaimUnavailable(retry_after),
        };
        self.handle_event(node, try_id, event);
    }

    /// Removes a request from its node. A granted claim is completed with the
    /// answer, released or, if the request may have run, left held.
    pub(super) fn finish_request(&mut self, node: usize, try_id: TryId, is_complete: bool) {
        let Some(request) = self.nodes[node].requests.remove(&try_id) else {
            return;
        };
        let Some(ticket) = request.claim.filter(|_| request.granted) else {
            return;
        };
        let release = request.machine.may_release_claim();
        let answer = request.request.to_string().into_bytes();
        self.with_core(node, |core, now| {
            if is_complete {
                core.complete_claim(ticket, answer, now);
            } else if release {
                core.release_claim(ticket);
            } else {
                core.abandon_claim(ticket);
            }
        });
    }

    pub(super) fn attempt(&mut self, node: usize, try_id: TryId, from: u64) {
        let chosen = self.choose(node, try_id);
        let Some((chosen, scope, request, attempt)) = chosen else {
            return self.handle_event(node, try_id, Event::NoEngine);
        };
        let engine = self
            .engines
            .iter()
            .position(|known| known.key == chosen.key);
        let Some(engine) = engine else {
            return;
        };
        let call = Call {
            node,
            life: self.nodes[node].life,
            try_id,
            attempt,
            request,
            from,
            scope,
            blocks: chosen.chain.blocks,
            incarnation: chosen.incarnation,
            weights: chosen.weights,
            believed_cached: chosen.cached_tokens > 0,
        };
        let zone = self.nodes[node].zone.clone();
        if !self.network.connected(&zone, &self.engines[engine].zone) {
            let report = AttemptReport::Unsent;
            return self.at(
                CONNECT_TIMEOUT_MS,
                SimEvent::AttemptReported { call, report },
            );
        }
        if let Some(known) = self.nodes[node].requests.get_mut(&try_id) {
            known.attempt_state = AttemptState::MaybeSent;
        }
        if from > 0 {
            let call = call.clone();
            self.at(STREAM_IDLE_MS, SimEvent::ContinuationDue { call });
        }
        let delay = self
            .network
            .delay(&zone, &self.engines[engine].zone, &mut self.random);
        self.at(delay, SimEvent::RequestReachesEngine { engine, call });
    }

    pub(super) fn choose(
        &mut self,
        node: usize,
        try_id: TryId,
    ) -> Option<(ChosenEngine, String, u64, u32)> {
        let request = self.nodes[node].requests.get_mut(&try_id)?;
        request.attempts += 1;
        request.attempt_state = AttemptState::Unsent;
        let (routed, failed) = (request.routed.clone(), request.failed.clone());
        let (key, attempt) = (request.request, request.attempts);
        let chosen = self.with_core(node, |core, now| {
            let weights = core.router.weights_of(&routed);
            let chains = chains_of(&routed, &weights);
            let mut random = core.random().fork();
            let chosen =
                core.router
                    .choose(&routed, &chains, None, attempt, &failed, now, &mut random)?;
            core.publish_placement(&chosen.chain, chosen.key, chosen.incarnation);
            Some(chosen)
        })??;
        if let Some(request) = self.nodes[node].requests.get_mut(&try_id) {
            request.engine = Some(chosen.key);
        }
        let scope = routed.tenant.cache_scope().0;
        Some((chosen, scope, key, attempt))
    }

    /// Records a violation when a request reaches an engine more than
    /// [`MAX_LEAVING_DELAY_MS`] after it began to leave, even if it refuses.
    pub(super) fn check_leaving(&mut self, number: usize) {
        let engine = &self.engines[number];
        let Some(leaving_since) = self.leaving_since.get(&engine.key) else {
            return;
        };
        let since = self.now - leaving_since;
        if since > MAX_LEAVING_DELAY_MS {
            let what = format!(
                "{} got a request {since} ms after it began to leave",
                engine.name
            );
            self.oracle
                .record_violation(Promise::LeavingGetsNothing, what);
        }
    }

    pub(super) fn handle_report(&mut self, call: &Call, report: AttemptReport) {
        let node = call.node;
        if !self.is_current_life(node, call.life) {
            return;
        }
        let Some(request) = self.nodes[node].requests.get_mut(&call.try_id) else {
            return;
        };
        if request.attempts != call.attempt {
            return;
        }
        let engine = request.engine;
        let begun = request.attempt_state == AttemptState::Answered;
        match report {
            AttemptReport::Unsent => {
                request.failed.extend(engine);
                self.finish_attempt(node, call.try_id, AttemptState::Unsent);
            }
            AttemptReport::Refused(correction) => {
                match (correction, engine) {
                    (Some((incarnation, weights)), Some(engine)) => {
                        self.with_core(node, |core, now| {
                            let weights = WeightsVersion(weights);
                            core.apply_engine_correction(
                                engine,
                                Incarnation(incarnation),
                                weights,
                                now,
                            );
                        });
                    }
                    _ => request.failed.extend(engine),
                }
                self.finish_attempt(node, call.try_id, AttemptState::Refused);
            }
            AttemptReport::Head => {
                request.attempt_state = AttemptState::Answered;
                self.handle_event(node, call.try_id, Event::Head);
            }
            AttemptReport::Piece { position, content } => {
                self.piece(node, call.try_id, position, content)
            }
            AttemptReport::Completed => {
                self.handle_event(node, call.try_id, Event::Completed(Some(ANSWER_PIECES)));
            }
            AttemptReport::Broken => {
                request.failed.extend(engine);
                if begun {
                    self.handle_event(node, call.try_id, Event::StreamBroken);
                } else {
                    self.finish_attempt(node, call.try_id, AttemptState::MaybeSent);
                }
            }
        }
    }

    pub(super) fn piece(&mut self, node: usize, try_id: TryId, position: u64, content: u64) {
        let Some(step) = self.step(node, try_id, Event::Piece(position)) else {
            return;
        };
        if step == Step::Deliver {
            return self.at(1, SimEvent::CallerPiece { try_id, content });
        }
        self.execute_step(node, try_id, step);
    }

    pub(super) fn finish_attempt(&mut self, node: usize, try_id: TryId, state: AttemptState) {
        let state = if self.mutations.lost_attempts_look_unsent {
            AttemptState::Unsent
        } else {
            state
        };
        self.handle_event(node, try_id, Event::AttemptFailed(state, None));
    }

    pub(super) fn continuation_due(&mut self, call: &Call) {
        if !self.is_current_life(call.node, call.life) {
            return;
        }
        let request = self.nodes[call.node].requests.get_mut(&call.try_id);
        let Some(request) = request.filter(|request| request.attempts == call.attempt) else {
            return;
        };
        if request.attempt_state == AttemptState::MaybeSent {
            request.failed.extend(request.engine);
            self.finish_attempt(call.node, call.try_id, AttemptState::MaybeSent);
        }
    }

    pub(super) fn deadline(&mut self, node: usize, life: u64, try_id: TryId) {
        if !self.is_current_life(node, life) {
            return;
        }
        let Some(request) = self.nodes[node].requests.get(&try_id) else {
            return;
        };
        let state = if self.mutations.lost_attempts_look_unsent {
            AttemptState::Unsent
        } else {
            request.attempt_state
        };
        self.handle_event(node, try_id, Event::DeadlinePassed(state));
    }
}
