//! Requests of the fleet and the engines' answers.

use super::scenario::Defect;
use super::{Fleet, SimAnswer, TICK_MS};
use ploverlift_policy::ids::Millis;
use ploverlift_rollout::canary_choice::canary_engines;
use ploverlift_rollout::counts::{Answer, RouteTag, Side};
use ploverlift_rollout::share::{CanaryRequest, FleetView};
use ploverlift_rollout::stage::Stage;
use ploverlift_routing::prompt::ChainKey;

impl Fleet {
    pub(super) fn send_requests(&mut self) {
        let service = &self.scenario.service;
        let burst = service
            .burst
            .filter(|(from, _)| self.since_order() >= *from);
        let factor = burst.map_or(1.0, |(_, factor)| factor);
        self.pending_requests += service.rate * factor * TICK_MS as f64 / 1_000.0;
        while self.pending_requests >= 1.0 {
            self.pending_requests -= 1.0;
            let node = self
                .rng
                .usize(0..self.scenario.service.nodes_with_traffic as usize);
            if self.is_up(node) {
                self.send_request(node);
            }
        }
    }

    pub(super) fn send_request(&mut self, node: usize) {
        let route_index = self.pick_route();
        let route = self.scenario.service.routes[route_index];
        let tag = RouteTag::of(route.name);
        let prompt = self.pick_prompt();
        self.outcome.all_requests += 1;
        if self.since_order() <= self.scenario.service.duration_ms {
            self.outcome.requests += 1;
        }
        let request = CanaryRequest {
            route: tag,
            is_repeatable: route.is_repeatable,
            prompt,
            was_failed_by_target: false,
            is_retry: false,
        };
        let seat = self.seat(node);
        let now = Millis(self.now);
        let sim = &mut self.nodes[node];
        let Some(gate) = &mut sim.gate else {
            if sim.has_restarted {
                self.outcome.unserved += 1;
            } else {
                self.send_to_established(node, route_index);
            }
            return;
        };
        let view = FleetView {
            sums: &sim.sums,
            own_in_sums: Some(&sim.own_in_sums),
            stage_verified_at: Millis(sim.stage_read_at),
            seat,
        };
        let decision = gate.decide(&request, &view, now);
        let Some(rule) = decision.rule else {
            self.outcome.unserved += 1;
            return;
        };
        gate.note_request(tag, route.is_repeatable);
        let has_target = self.supply()[1].engines > 0;
        let target_is_allowed = rule.allows(&self.order.target) && has_target;
        match target_is_allowed {
            true => self.send_to_target(node, route_index),
            false => self.send_to_established(node, route_index),
        }
    }

    pub(super) fn pick_prompt(&mut self) -> Option<ChainKey> {
        let hot_part = self.scenario.service.hot_prompt?;
        let is_hot = self.rng.f64() < hot_part;
        Some(match is_hot {
            true => ChainKey(1),
            false => ChainKey(self.rng.u64(2..200)),
        })
    }

    pub(super) fn pick_route(&mut self) -> usize {
        let mut place = self.rng.f64();
        for (index, route) in self.scenario.service.routes.iter().enumerate() {
            if place < route.part {
                return index;
            }
            place -= route.part;
        }
        0
    }

    pub(super) fn send_to_target(&mut self, node: usize, route_index: usize) {
        let route = self.scenario.service.routes[route_index];
        if let Some(gate) = &mut self.nodes[node].gate {
            gate.note_target_arrival(RouteTag::of(route.name));
        }
        let since = self.since_order();
        self.outcome.last_target_arrival = Some(since);
        if since <= self.scenario.service.duration_ms {
            self.outcome.target_arrivals += 1;
        }
        self.outcome.arrivals_by_route[route_index].1 += 1;
        if !route.is_repeatable && self.outcome.first_once_after.is_none() {
            self.outcome.first_once_after = Some(self.repeatable_answers);
        }
        let defect = self.active_defect(route.name);
        let fails = defect.map_or(0.0, |defect| defect.fails);
        let slower = defect.map_or(1.0, |defect| defect.slower.max(1.0));
        let has_defect_shown = fails > 0.0 && self.rng.f64() < fails;
        self.bad_answers += u64::from(has_defect_shown || slower > 1.0);
        if self.bad_answers >= 50 && self.outcome.fiftieth_bad_at.is_none() {
            self.outcome.fiftieth_bad_at = Some(since);
        }
        self.answer(node, route_index, Side::Target, has_defect_shown, slower);
        if has_defect_shown && route.is_repeatable {
            self.retry_on_established(node, route_index);
        }
    }

    /// Sends a request that the target failed to an established engine, where that is
    /// allowed.
    pub(super) fn retry_on_established(&mut self, node: usize, route_index: usize) {
        let is_canary = matches!(
            self.nodes[node]
                .gate
                .as_ref()
                .map(|gate| gate.progress().stage),
            Some(Stage::Canary { .. })
        );
        if !is_canary {
            return;
        }
        // The retry runs there but is not counted as evidence: only first attempts are.
        let rest_ms = self.scenario.service.routes[route_index].rest_ms;
        let ends_at = self.now + rest_ms as u64;
        self.nodes[node].established.push(ends_at);
    }

    pub(super) fn send_to_established(&mut self, node: usize, route_index: usize) {
        let is_completed = self
            .progress
            .as_ref()
            .is_some_and(|progress| progress.stage == Stage::Completed);
        self.outcome.established_after_completed += u64::from(is_completed);
        self.answer(node, route_index, Side::Established, false, 1.0);
    }

    pub(super) fn active_defect(&self, route: &str) -> Option<Defect> {
        let defect = self.scenario.defect?;
        let since = self.since_order();
        let has_begun = match (defect.after_cut_over_ms, self.cut_over_at) {
            (Some(after), Some(at)) => self.now >= at + after,
            (Some(_), None) => false,
            (None, _) => since >= defect.from_ms,
        };
        let is_on_route = defect.route.is_none_or(|only| only == route);
        let is_under_load = !defect.under_load || self.is_target_loaded();
        (has_begun && is_on_route && is_under_load).then_some(defect)
    }

    /// Whether an engine of the target carries as much load as an established one.
    pub(super) fn is_target_loaded(&self) -> bool {
        let engines = self.scenario.service.engines as usize;
        match self.progress.as_ref().map(|progress| progress.stage) {
            Some(Stage::Canary { share_ppm }) => {
                let share = f64::from(share_ppm) / 1_000_000.0;
                let carrying = canary_engines(engines, engines, share_ppm);
                share * engines as f64 / carrying as f64 >= 0.8
            }
            _ => true,
        }
    }

    pub(super) fn answer(
        &mut self,
        node: usize,
        route: usize,
        side: Side,
        is_bad: bool,
        slower: f64,
    ) {
        let times = self.scenario.service.routes[route];
        // Approximately lognormal: the exponent is a sum of uniform numbers.
        let spread = (0..4).map(|_| self.rng.f64() - 0.5).sum::<f64>() * 0.9;
        let first_byte_ms = times.first_byte_ms * spread.exp() * slower;
        let rest_ms = times.rest_ms * (0.5 + self.rng.f64());
        let own_failures = match times.is_repeatable {
            true => self.scenario.service.own_failures,
            false => 0.0,
        };
        let has_own_failure = self.rng.f64() < own_failures;
        let has_failed = is_bad || has_own_failure;
        let ends_at = self.now + (first_byte_ms + rest_ms) as u64;
        if side == Side::Established {
            self.nodes[node].established.push(ends_at);
        }
        let engines = u64::from(self.scenario.service.engines);
        let answer = Answer {
            engine: self.rng.u64(0..engines.min(2)),
            has_failed,
            first_byte_ms: (!has_failed).then_some(first_byte_ms as u64),
        };
        self.answers.push(SimAnswer {
            at: self.now + first_byte_ms as u64,
            node: node as u32,
            life: self.nodes[node].life,
            route,
            side,
            answer,
        });
    }

    pub(super) fn deliver_answers(&mut self) {
        let now = self.now;
        let (due, waiting): (Vec<_>, Vec<_>) = std::mem::take(&mut self.answers)
            .into_iter()
            .partition(|answer| answer.at <= now);
        self.answers = waiting;
        for due in due {
            let route = self.scenario.service.routes[due.route];
            if due.side == Side::Target && route.is_repeatable {
                self.repeatable_answers += 1;
            }
            let node = &mut self.nodes[due.node as usize];
            if node.life != due.life {
                continue;
            }
            if let Some(gate) = &mut node.gate {
                gate.note_answer(RouteTag::of(route.name), due.side, &due.answer);
            }
        }
    }
}
