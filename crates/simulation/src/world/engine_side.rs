//! The engines, and how nodes observe them.

use super::*;

impl World {
    pub(super) fn observe_engines(&mut self, node: usize, life: u64) {
        if !self.is_current_life(node, life) {
            return;
        }
        self.at(POLL_PERIOD_MS, SimEvent::ObserveEngines { node, life });
        let observed_at = self.node_now(node);
        let Some(core) = &mut self.nodes[node].core else {
            return;
        };
        for engine in core.engines_to_observe() {
            let known = self.engines.iter().find(|known| known.key == engine.key);
            let zone = self.nodes[node].zone.clone();
            let reachable =
                known.filter(|known| known.alive && self.network.connected(&zone, &known.zone));
            let (observed_state, delay) = match reachable {
                Some(known) => {
                    let mut observed_state = known.observation(self.now);
                    if self.mutations.no_engine_reports {
                        observed_state.health = ploverlift_policy::fleet::Health::Ready;
                    }
                    (Some(observed_state), 3)
                }
                None => (None, 100),
            };
            let engine = engine.key;
            self.at(
                delay,
                SimEvent::EngineObserved {
                    node,
                    life,
                    observed_at,
                    engine,
                    observed_state,
                },
            );
        }
    }

    pub(super) fn engine_observed(
        &mut self,
        node: usize,
        observed_at: Millis,
        engine: EngineKey,
        observed_state: Option<EngineObservation>,
    ) {
        self.with_core(node, |core, now| match observed_state {
            Some(observation) => core.record_observation(observation, observed_at, now),
            None => core.record_failed_poll(engine, now),
        });
    }

    pub(super) fn update_machine_list(&mut self, engine: usize) {
        let known = &self.engines[engine];
        let state = if known.leaving {
            MachineState::Leaving
        } else {
            MachineState::Live
        };
        let mut object = site::machine(known, engine, state);
        let stored = self.platform.read(Kind::Machine, known.name.as_str());
        let version = stored.map(|stored| stored.metadata.resource_version);
        object.metadata.resource_version = version.unwrap_or_default();
        if self.platform.put(object) == WriteAnswer::Unreachable {
            self.at(MACHINE_LIST_LAG_MS, SimEvent::UpdateMachineList { engine });
        }
    }

    pub(super) fn request_reaches_engine(&mut self, number: usize, call: Call) {
        let engine = &self.engines[number];
        let connected = self
            .network
            .connected(&self.nodes[call.node].zone, &engine.zone);
        if !connected {
            // The request is lost; the node detects this only by a time-out.
            return;
        }
        if !engine.alive {
            return self.send_report(&call, AttemptReport::Unsent);
        }
        let uptime_ms = self.now - self.nodes[call.node].started_at;
        if call.from == 0 && uptime_ms > UNINFORMED_AFTER_START_MS {
            self.check_leaving(number);
        }
        let engine = &self.engines[number];
        let has_other_state =
            engine.incarnation != call.incarnation || engine.weights != call.weights;
        let expects = call.incarnation != Incarnation(0);
        if expects && has_other_state && !self.mutations.engines_ignore_expectations {
            let correction = Some((engine.incarnation.0, engine.weights.0));
            return self.send_report(&call, AttemptReport::Refused(correction));
        }
        if (engine.leaving && call.from == 0) || engine.loading_until > self.now {
            return self.send_report(&call, AttemptReport::Refused(None));
        }
        self.check_reliance(number, &call, expects && has_other_state);
        self.log_event(|| {
            format!(
                "engine-{number} runs request {} for node-{}",
                call.request, call.node
            )
        });
        self.oracle.record_run(Run {
            try_id: call.try_id,
            request: call.request,
            engine: self.engines[number].name.clone(),
            at: self.now,
            from: call.from,
        });
        let engine = &mut self.engines[number];
        engine.running += 1;
        let incarnation = engine.incarnation;
        let origin = BlockOrigin {
            scope: call.scope.clone(),
            weights: engine.weights,
            incarnation,
        };
        for block in &call.blocks {
            engine.cache.entry(*block).or_insert_with(|| origin.clone());
        }
        let engine_generation = self.engine_generations[number];
        let position = call.from;
        self.at(
            PREFILL_MS,
            SimEvent::EngineStep {
                engine: number,
                incarnation,
                engine_generation,
                call,
                position,
            },
        );
    }

    /// Checks that reused blocks have the scope of the request and the weights and
    /// incarnation of the engine, and that the request does not rely on a cache of
    /// another incarnation or other weights.
    pub(super) fn check_reliance(
        &mut self,
        number: usize,
        call: &Call,
        relies_on_other_state: bool,
    ) {
        if relies_on_other_state && call.believed_cached {
            let what = format!(
                "{:?} relied on a cache of another incarnation or other weights",
                call.try_id
            );
            self.oracle.record_violation(Promise::CacheReliance, what);
        }
        let engine = &self.engines[number];
        let reused = call
            .blocks
            .iter()
            .map_while(|block| engine.cache.get(block));
        let wrong = reused.clone().find(|origin| {
            origin.scope != call.scope
                || origin.weights != engine.weights
                || origin.incarnation != engine.incarnation
        });
        if let Some(origin) = wrong {
            let what = format!(
                "{:?} of {} reused a block of {origin:?}",
                call.try_id, call.scope
            );
            self.oracle.record_violation(Promise::CacheReliance, what);
        }
    }

    pub(super) fn advance_stream(
        &mut self,
        number: usize,
        incarnation: Incarnation,
        engine_generation: u64,
        call: Call,
        position: u64,
    ) {
        let engine = &self.engines[number];
        let is_same_process = engine.alive && self.engine_generations[number] == engine_generation;
        if !is_same_process {
            return self.send_report(&call, AttemptReport::Broken);
        }
        let zone = self.nodes[call.node].zone.clone();
        if !self.network.connected(&zone, &engine.zone) {
            self.engines[number].running -= 1;
            return self.at(
                STREAM_TIMEOUT_MS,
                SimEvent::AttemptReported {
                    call,
                    report: AttemptReport::Broken,
                },
            );
        }
        if position == call.from {
            self.send_report(&call, AttemptReport::Head);
        }
        if position >= ANSWER_PIECES {
            self.engines[number].running -= 1;
            return self.send_report(&call, AttemptReport::Completed);
        }
        self.send_piece(&call, position);
        // An engine may send a piece twice.
        if self.random.f64() < self.network.duplication {
            self.send_piece(&call, position);
        }
        // An engine may skip a piece; the node must detect the gap.
        let skips_piece = self.network.jitter_ms > 0 && self.random.u8(..) < 8;
        let next = position + if skips_piece { 2 } else { 1 };
        self.at(
            PIECE_MS,
            SimEvent::EngineStep {
                engine: number,
                incarnation,
                engine_generation,
                call,
                position: next,
            },
        );
    }

    pub(super) fn send_piece(&mut self, call: &Call, position: u64) {
        let is_crossed = self.mutations.answers_crossed && self.random.u8(..) < 32;
        let request = if is_crossed {
            call.request + 1
        } else {
            call.request
        };
        let content = piece_of(request, position);
        let position = if self.mutations.engines_misnumber_pieces {
            position.saturating_sub(call.from)
        } else {
            position
        };
        self.send_report(call, AttemptReport::Piece { position, content });
    }

    pub(super) fn send_report(&mut self, call: &Call, report: AttemptReport) {
        let call = call.clone();
        self.at(2, SimEvent::AttemptReported { call, report });
    }
}
