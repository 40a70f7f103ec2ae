//! Operations of a schedule, and the checks at its end.

use super::*;

impl World {
    /// Applies one operation of a schedule.
    pub fn perform(&mut self, operation: &Operation) {
        let nodes = self.nodes.len();
        let engines = self.engines.len();
        match operation {
            Operation::Advance(milliseconds) => self.advance(*milliseconds),
            Operation::KillNode(node) => self.kill_node(node % nodes),
            Operation::RestartNode(node) => self.restart_node(node % nodes),
            Operation::RestartHerd(kept) => {
                for node in (0..nodes).filter(|node| *node != kept % nodes) {
                    self.restart_node(node);
                }
            }
            Operation::FreezeNode(node) => self.nodes[node % nodes].is_paused = true,
            Operation::ThawNode(node) => self.resume_node(node % nodes),
            Operation::Cut(a, b) => {
                let (a, b) = (site::zone_of(*a), site::zone_of(*b));
                self.network.cut(&a, &b);
            }
            Operation::HealCuts => self.heal_cuts(),
            Operation::Loss(percent) => self.network.loss = f64::from(*percent) / 100.0,
            Operation::Duplicate(percent) => {
                self.network.duplication = f64::from(*percent) / 100.0;
            }
            Operation::Jitter(milliseconds) => self.network.jitter_ms = *milliseconds,
            Operation::PlatformDown => self.platform.set_mode(PlatformMode::Down),
            Operation::PlatformLosesReplies => {
                self.platform.set_mode(PlatformMode::LosesReplies);
            }
            Operation::PlatformStale => self.platform.set_mode(PlatformMode::Stale),
            Operation::PlatformUp => self.platform.set_mode(PlatformMode::Up),
            Operation::KillEngine(engine) => self.kill_engine(engine % engines),
            Operation::RestartEngine(engine) => self.restart_engine(engine % engines),
            Operation::LeaveEngine(engine) => self.leave_engine(engine % engines),
            Operation::WantWeights(version) => self.set_target_weights(*version),
            Operation::EngineWeights(engine, version) => {
                self.engines[engine % engines].change_weights(*version);
            }
            Operation::Apply(node) => {
                self.apply(node % nodes);
            }
            Operation::ApplyRace(a, b) => self.apply_race(a % nodes, b % nodes),
            Operation::Request {
                node,
                tenant,
                prompt,
            } => {
                self.request(node % nodes, *tenant, *prompt);
            }
            Operation::Once { node, request } => {
                self.request_once(node % nodes, *request);
            }
        }
    }

    /// Kills a node if it runs, and starts it with empty memory.
    pub fn restart_node(&mut self, node: usize) {
        self.kill_node(node);
        self.start_node(node);
    }

    pub(super) fn kill_engine(&mut self, engine: usize) {
        self.engines[engine].alive = false;
        self.engine_generations[engine] += 1;
    }

    pub(super) fn restart_engine(&mut self, engine: usize) {
        self.engine_generations[engine] += 1;
        let new_incarnation = !self.mutations.engines_reuse_incarnations;
        self.engines[engine].restart(new_incarnation);
        if self
            .leaving_since
            .remove(&self.engines[engine].key)
            .is_some()
        {
            self.at(MACHINE_LIST_LAG_MS, SimEvent::UpdateMachineList { engine });
        }
    }

    pub(super) fn leave_engine(&mut self, engine: usize) {
        if !self.engines[engine].alive || self.engines[engine].leaving {
            return;
        }
        self.engines[engine].leaving = true;
        self.leaving_since
            .insert(self.engines[engine].key, self.now);
        if !self.mutations.no_engine_reports {
            self.at(MACHINE_LIST_LAG_MS, SimEvent::UpdateMachineList { engine });
        }
    }

    /// Ends all cuts. A node beyond a cut could not learn that an engine is leaving,
    /// so the time of engines that were cut off counts from now on.
    pub(super) fn heal_cuts(&mut self) {
        for engine in &self.engines {
            let mut zones = site::ZONES.iter().map(|zone| ZoneName::from(*zone));
            let was_cut = zones.any(|zone| !self.network.connected(&zone, &engine.zone));
            if let Some(leaving_since) = self.leaving_since.get_mut(&engine.key).filter(|_| was_cut)
            {
                *leaving_since = self.now;
            }
        }
        self.network.heal_cuts();
    }

    pub(super) fn set_target_weights(&mut self, version: u64) {
        let mut object = site::pool("fixit", site::MODEL, version);
        let stored = self.platform.read(Kind::Pool, "fixit");
        let base = stored.map(|stored| stored.metadata.resource_version);
        object.metadata.resource_version = base.unwrap_or_default();
        self.platform.put(object);
    }

    pub(super) fn apply_race(&mut self, a: usize, b: usize) {
        let base = self.known_route_version(a);
        let first = self.apply_from(a, base);
        let second = self.apply_from(b, base);
        let both = matches!(first, ApplyOutcome::Accepted(_))
            && matches!(second, ApplyOutcome::Accepted(_));
        if both {
            let what = "two concurrent changes of the same version were both accepted".to_owned();
            self.oracle.record_violation(Promise::Configuration, what);
        }
    }

    /// Ends every fault: network and object API work normally, paused nodes are
    /// resumed and dead nodes started.
    pub fn recover(&mut self) {
        self.heal_cuts();
        self.network.heal();
        self.platform.set_mode(PlatformMode::Up);
        for node in 0..self.nodes.len() {
            if self.nodes[node].is_paused {
                self.resume_node(node);
            }
            if self.nodes[node].core.is_none() {
                self.start_node(node);
            }
        }
    }

    /// Checks what must hold some time after the end of all faults: every node
    /// uses the newest route, and every try has an outcome.
    pub fn check_settled(&mut self) {
        let wanted = self.platform.read(Kind::Route, site::ROUTE);
        let wanted = wanted.map_or(0, |route| route.metadata.resource_version.0);
        for node in 0..self.nodes.len() {
            let version = self.known_route_version(node);
            if version != wanted {
                let name = self.nodes[node].name.clone();
                let what = format!("{name} uses version {version} of the route, not {wanted}");
                self.oracle.record_violation(Promise::Configuration, what);
            }
        }
        let unanswered: Vec<TryId> = self
            .oracle
            .tries
            .iter()
            .filter(|(_, known)| known.try_outcome == TryOutcome::Waiting)
            .map(|(try_id, _)| *try_id)
            .collect();
        for try_id in unanswered {
            let what = format!("{try_id:?} has no outcome");
            self.oracle.record_violation(Promise::WholeStreams, what);
        }
    }
}
