//! Observations of engines: own polls and reports of other observers.

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
        let active = |node: &NodeKey| *node == own || watch.is_observer_active(*node, now);
        let silent = |engine| !duties.observers_of(engine).iter().any(active);
        self.router.note_unobserved(silent);
    }

    /// Records this node's observation of an engine from a poll that began at
    /// `polled_at`. An answer that is read only after a pause of the process is
    /// too old and is ignored.
    pub fn record_observation(
        &mut self,
        observation: EngineObservation,
        polled_at: Millis,
        now: Millis,
    ) {
        if now.since(polled_at) > POLL_TIMEOUT_MS {
            return;
        }
        let merged = self.watch.record_observation(observation);
        self.router.observe(&merged, now);
    }

    /// Records that an engine did not answer a poll.
    pub fn record_failed_poll(&mut self, engine: EngineKey, now: Millis) {
        let Some(index) = self.router.fleet.find(engine) else {
            return;
        };
        let known = self.router.fleet.get(index).clone();
        if let Some(merged) = self.watch.record_failed_poll(&known) {
            self.router.observe(&merged, now);
        }
    }

    /// Applies the incarnation and weights that an engine reported when it
    /// refused a request that relied on others.
    pub fn apply_engine_correction(
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

    pub(super) fn on_engine_reports(
        &mut self,
        from: NodeKey,
        reports: &EngineReports,
        now: Millis,
    ) {
        self.watch.record_heartbeat(from, now);
        for report in &reports.reports {
            let observation = engine_watch::from_message(report);
            let duties = self
                .duties
                .get_or_insert_with(|| ObserverDuties::assign(&self.router.fleet, &self.members));
            let observers = duties.observers_of(observation.key);
            let merged = self.watch.record_peer_report(from, observation, observers);
            self.router.observe(&merged, now);
        }
    }
}
