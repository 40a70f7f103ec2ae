//! What is known of engines, observed and heard.

use super::*;

impl NodeCore {
    /// Engines that this node observes.
    pub fn engines_to_observe(&mut self) -> Vec<Engine> {
        let duties = self
            .duties
            .get_or_insert_with(|| ObserverDuties::assign(&self.router.fleet, &self.members));
        let fleet = &self.router.fleet;
        let own = duties.own().iter().filter_map(|key| fleet.find(*key));
        own.map(|index| fleet.get(index).clone()).collect()
    }

    pub(super) fn publish_engines(&mut self, now: Millis) {
        let duties = self
            .duties
            .get_or_insert_with(|| ObserverDuties::assign(&self.router.fleet, &self.members));
        let own = self.members.own_key();
        let publishes_load = |engine| duties.publishes_load(engine, own);
        self.watch
            .tick(now, &self.members, publishes_load, &mut self.outbox);
        if now < self.next_silence_check {
            return;
        }
        self.next_silence_check = now.plus(SILENCE_CHECK_PERIOD_MS);
        let watch = &self.watch;
        let heard = |node: &NodeKey| *node == own || watch.is_heard(*node, now);
        let silent = |engine| !duties.observers_of(engine).iter().any(heard);
        self.router.note_unobserved(silent);
    }

    /// Takes in what this node observed of an engine by a look that began at
    /// `looked_at`. What a paused node reads only after its pause is too old.
    pub fn observed(&mut self, observation: EngineObservation, looked_at: Millis, now: Millis) {
        if now.since(looked_at) > LOOK_TIMEOUT_MS {
            return;
        }
        let holds = self.watch.observed(observation);
        self.router.observe(&holds, now);
    }

    /// Takes in that an engine did not answer a look.
    pub fn look_failed(&mut self, engine: EngineKey, now: Millis) {
        let Some(index) = self.router.fleet.find(engine) else {
            return;
        };
        let known = self.router.fleet.get(index).clone();
        if let Some(holds) = self.watch.look_failed(&known) {
            self.router.observe(&holds, now);
        }
    }

    /// Takes in what an engine said of itself when it refused a request that
    /// relied on another life or other weights.
    pub fn corrected(
        &mut self,
        engine: EngineKey,
        incarnation: Incarnation,
        weights: WeightsVersion,
        now: Millis,
    ) {
        let Some(index) = self.router.fleet.find(engine) else {
            return;
        };
        let known = self.router.fleet.get(index);
        let observation = EngineObservation {
            key: engine,
            incarnation,
            weights,
            health: known.health,
            load: known.load,
        };
        self.router.observe(&observation, now);
    }

    pub(super) fn heard(&mut self, from: NodeKey, reports: &EngineReports, now: Millis) {
        self.watch.heard_of(from, now);
        for report in &reports.reports {
            let observation = engine_watch::from_message(report);
            let duties = self
                .duties
                .get_or_insert_with(|| ObserverDuties::assign(&self.router.fleet, &self.members));
            let observers = duties.observers_of(observation.key);
            let holds = self.watch.heard(from, observation, observers);
            self.router.observe(&holds, now);
        }
    }
}
