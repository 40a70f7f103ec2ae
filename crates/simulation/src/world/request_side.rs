//! Requests, from the caller's try to its end.

use super::*;

impl World {
    pub(super) fn new_try(&mut self, request: u64, at_most_once: bool) -> TryId {
        self.next_try += 1;
        let by = TryId(self.next_try);
        self.oracle.tries.insert(
            by,
            Try {
                request,
                at_most_once,
                began_at: self.now,
                ended_at: None,
                told: Told::Waiting,
                pieces: Vec::new(),
            },
        );
        by
    }

    /// A caller sends a request that may be repeated. Returns its try.
    pub fn request(&mut self, node: usize, tenant: usize, prompt: usize) -> TryId {
        let request = 1_000_000 + self.next_try;
        let by = self.new_try(request, false);
        let arrival = Happening::RequestArrives {
            node,
            by,
            request,
            once: false,
            tenant,
            prompt,
        };
        self.at(1, arrival);
        by
    }

    /// A caller sends a request that may run at most once. Returns its try.
    pub fn request_once(&mut self, node: usize, request: u64) -> TryId {
        let by = self.new_try(request, true);
        let arrival = Happening::RequestArrives {
            node,
            by,
            request,
            once: true,
            tenant: 0,
            prompt: 0,
        };
        self.at(1, arrival);
        by
    }

    pub(super) fn end(&mut self, by: TryId, told: Told) {
        self.at(1, Happening::CallerEnd { by, told });
    }

    pub(super) fn caller_end(&mut self, by: TryId, told: Told) {
        let told = match told {
            Told::Whole(_) => {
                let known = self.oracle.tries.get(&by);
                Told::Whole(known.map_or_else(Vec::new, |known| known.pieces.clone()))
            }
            told => told,
        };
        self.oracle.told(by, told, self.now);
    }

    pub(super) fn request_arrives(
        &mut self,
        node: usize,
        by: TryId,
        request: u64,
        once: bool,
        tenant: usize,
        prompt: usize,
    ) {
        let now = self.node_now(node);
        let Some(core) = &self.nodes[node].core else {
            return self.end(by, Told::ConnectionLost);
        };
        if core.is_catching_up(now) {
            let again = Happening::RequestArrives {
                node,
                by,
                request,
                once,
                tenant,
                prompt,
            };
            return self.at(CATCH_UP_STEP_MS, again);
        }
        let snapshot = Arc::clone(&core.router.snapshot);
        let tenant = TenantName::from(site::TENANTS[tenant % site::TENANTS.len()]);
        let model = if once { site::BOOKINGS } else { site::MODEL };
        let Some(routed) = routed(&snapshot, by, &tenant, model, prompt) else {
            return self.end(by, Told::Refused(RunState::NotRun));
        };
        let deadline = now.plus(site::DEADLINE_MS);
        let sim = SimRequest {
            by,
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
        self.nodes[node].requests.insert(by, sim);
        let life = self.nodes[node].life;
        self.at(site::DEADLINE_MS, Happening::Deadline { node, life, by });
        self.drive(node, by, Event::Admitted);
    }

    pub(super) fn drive(&mut self, node: usize, by: TryId, event: Event) {
        if let Some(step) = self.step(node, by, event) {
            self.act(node, by, step);
        }
    }

    /// Tells a request's machine an event; returns its next step.
    fn step(&mut self, node: usize, by: TryId, event: Event) -> Option<Step> {
        let now = self.node_now(node);
        let sim_node = &mut self.nodes[node];
        let core = sim_node.core.as_mut()?;
        let request = sim_node.requests.get_mut(&by)?;
        Some(request.machine.on(event, &mut core.router.retries, now))
    }

    pub(super) fn act(&mut self, node: usize, by: TryId, step: Step) {
        match step {
            Step::Claim => self.propose(node, by),
            Step::Attempt { from } => self.attempt(node, by, from),
            Step::Finish => {
                self.settle(node, by, true);
                self.end(by, Told::Whole(Vec::new()));
            }
            Step::Replay => {
                let request = self.nodes[node].requests.get(&by);
                let answer = request.and_then(|request| request.replay).unwrap_or(0);
                self.settle(node, by, false);
                self.end(by, Told::Replayed(answer));
            }
            Step::Refuse(refusal) => {
                self.settle(node, by, false);
                self.end(by, Told::Refused(refusal.run_state));
            }
            Step::Abort(refusal) => {
                self.settle(node, by, false);
                self.end(by, Told::Aborted(refusal.run_state));
            }
            Step::Wait | Step::Skip | Step::Deliver => {}
        }
    }

    pub(super) fn propose(&mut self, node: usize, by: TryId) {
        let Some(request) = self.nodes[node]
            .requests
            .get(&by)
            .map(|known| known.request)
        else {
            return;
        };
        let key = ClaimKey::of("counter", "bookings", &request.to_string());
        let proposed = self.with_core(node, |core, now| core.propose(key, request, now));
        match proposed {
            Some(Ok(ticket)) => {
                if let Some(known) = self.nodes[node].requests.get_mut(&by) {
                    known.claim = Some(ticket);
                }
            }
            Some(Err(come_back)) => self.drive(node, by, Event::ClaimUnavailable(come_back)),
            None => {}
        }
    }

    pub(super) fn claim_decided(&mut self, node: usize, by: TryId, outcome: ClaimOutcome) {
        self.narrate(|| format!("node-{node}: {by:?} has its claim {outcome:?}"));
        let event = match outcome {
            ClaimOutcome::Granted => {
                if let Some(known) = self.nodes[node].requests.get_mut(&by) {
                    known.granted = true;
                }
                Event::ClaimGranted
            }
            ClaimOutcome::Answered(bytes) => {
                let text = String::from_utf8_lossy(&bytes).into_owned();
                if let Some(known) = self.nodes[node].requests.get_mut(&by) {
                    known.replay = text.parse().ok();
                }
                Event::ClaimAnswered
            }
            ClaimOutcome::Held => Event::ClaimHeld,
            ClaimOutcome::OtherRequest => Event::ClaimKeyReused,
            ClaimOutcome::Unavailable(come_back) => Event::ClaimUnavailable(come_back),
        };
        self.drive(node, by, event);
    }

    /// Ends a request on its node: records the answer, gives the claim back or
    /// leaves it held.
    pub(super) fn settle(&mut self, node: usize, by: TryId, whole: bool) {
        let Some(request) = self.nodes[node].requests.remove(&by) else {
            return;
        };
        let Some(ticket) = request.claim.filter(|_| request.granted) else {
            return;
        };
        let release = request.machine.may_release_claim();
        let answer = request.request.to_string().into_bytes();
        self.with_core(node, |core, now| {
            if whole {
                core.complete_claim(ticket, answer, now);
            } else if release {
                core.release_claim(ticket);
            } else {
                core.abandon_claim(ticket);
            }
        });
    }

    pub(super) fn attempt(&mut self, node: usize, by: TryId, from: u64) {
        let chosen = self.choose(node, by);
        let Some((chosen, scope, request, attempt)) = chosen else {
            return self.drive(node, by, Event::NoEngine);
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
            by,
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
            let news = AttemptNews::Unsent;
            return self.at(CONNECT_TIMEOUT_MS, Happening::News { call, news });
        }
        if let Some(known) = self.nodes[node].requests.get_mut(&by) {
            known.attempt_state = AttemptState::MaybeSent;
        }
        if from > 0 {
            let call = call.clone();
            self.at(STREAM_IDLE_MS, Happening::ContinuationDue { call });
        }
        let delay = self
            .network
            .delay(&zone, &self.engines[engine].zone, &mut self.random);
        self.at(delay, Happening::EngineGets { engine, call });
    }

    pub(super) fn choose(
        &mut self,
        node: usize,
        by: TryId,
    ) -> Option<(ChosenEngine, String, u64, u32)> {
        let request = self.nodes[node].requests.get_mut(&by)?;
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
        if let Some(request) = self.nodes[node].requests.get_mut(&by) {
            request.engine = Some(chosen.key);
        }
        let scope = routed.tenant.cache_scope().0;
        Some((chosen, scope, key, attempt))
    }

    /// A leaving engine must not even be asked after a few seconds.
    pub(super) fn check_leaving(&mut self, number: usize) {
        let engine = &self.engines[number];
        let Some(left_at) = self.left_at.get(&engine.key) else {
            return;
        };
        let since = self.now - left_at;
        if since > LEAVING_BOUND_MS {
            let what = format!("{} got work {since} ms after it left", engine.name);
            self.oracle.violated(Promise::LeavingGetsNothing, what);
        }
    }

    pub(super) fn news(&mut self, call: &Call, news: AttemptNews) {
        let node = call.node;
        if !self.is_life(node, call.life) {
            return;
        }
        let Some(request) = self.nodes[node].requests.get_mut(&call.by) else {
            return;
        };
        if request.attempts != call.attempt {
            return;
        }
        let engine = request.engine;
        let begun = request.attempt_state == AttemptState::Answered;
        match news {
            AttemptNews::Unsent => {
                request.failed.extend(engine);
                self.finish_attempt(node, call.by, AttemptState::Unsent);
            }
            AttemptNews::Refused(correction) => {
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
                self.finish_attempt(node, call.by, AttemptState::Refused);
            }
            AttemptNews::Head => {
                request.attempt_state = AttemptState::Answered;
                self.drive(node, call.by, Event::Head);
            }
            AttemptNews::Piece { position, content } => {
                self.piece(node, call.by, position, content)
            }
            AttemptNews::Completed => {
                self.drive(node, call.by, Event::Completed(Some(ANSWER_PIECES)));
            }
            AttemptNews::Broken => {
                request.failed.extend(engine);
                if begun {
                    self.drive(node, call.by, Event::StreamBroken);
                } else {
                    self.finish_attempt(node, call.by, AttemptState::MaybeSent);
                }
            }
        }
    }

    pub(super) fn piece(&mut self, node: usize, by: TryId, position: u64, content: u64) {
        let Some(step) = self.step(node, by, Event::Piece(position)) else {
            return;
        };
        if step == Step::Deliver {
            return self.at(1, Happening::CallerPiece { by, content });
        }
        self.act(node, by, step);
    }

    pub(super) fn finish_attempt(&mut self, node: usize, by: TryId, state: AttemptState) {
        let state = if self.mutations.lost_attempts_look_unsent {
            AttemptState::Unsent
        } else {
            state
        };
        self.drive(node, by, Event::AttemptFailed(state, None));
    }

    pub(super) fn continuation_due(&mut self, call: &Call) {
        if !self.is_life(call.node, call.life) {
            return;
        }
        let request = self.nodes[call.node].requests.get_mut(&call.by);
        let Some(request) = request.filter(|request| request.attempts == call.attempt) else {
            return;
        };
        if request.attempt_state == AttemptState::MaybeSent {
            request.failed.extend(request.engine);
            self.finish_attempt(call.node, call.by, AttemptState::MaybeSent);
        }
    }

    pub(super) fn deadline(&mut self, node: usize, life: u64, by: TryId) {
        if !self.is_life(node, life) {
            return;
        }
        let Some(request) = self.nodes[node].requests.get(&by) else {
            return;
        };
        let state = if self.mutations.lost_attempts_look_unsent {
            AttemptState::Unsent
        } else {
            request.attempt_state
        };
        self.drive(node, by, Event::DeadlinePassed(state));
    }
}
