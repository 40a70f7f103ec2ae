//! Engines and versions that receive no requests, whatever the gate of a rollout decides:
//! those replaced by a completed rollout, avoided or withdrawn versions, and the target of
//! an order without a recorded stage.

use super::service::ServiceRollout;
use ploverlift_balancing::catalogue::{EngineRecord, InstanceId};
use ploverlift_rollout::share::Gate;
use ploverlift_rollout::stage::Stage;
use ploverlift_routing::software::SoftwareVersion;

impl ServiceRollout {
    /// Whether the gate's rollout is complete.
    pub fn is_complete(&self) -> bool {
        self.completed_at.is_some()
    }

    /// Whether an engine was stopped because the rollout is complete.
    pub fn is_retired(&self, record: &EngineRecord) -> bool {
        let is_older = || {
            let completed_at = self.completed_at;
            completed_at.is_some_and(|completed_at| record.revision < completed_at)
        };
        self.retired.contains(&record.instance)
            || (record.software != self.gate_target && is_older())
    }

    /// Retires the known engines of other versions if the rollout is complete; they receive
    /// no requests from then on. Returns them, each with the revision of the completion.
    pub fn retire(&mut self, records: &[EngineRecord]) -> Vec<(InstanceId, u64)> {
        let Some(completed_at) = self.completed_at else {
            return Vec::new();
        };
        let is_known = |record: &&EngineRecord| {
            record.software != self.gate_target && record.revision < completed_at
        };
        let stopped = records.iter().filter(is_known);
        let stopped = stopped.map(|record| (record.instance.clone(), completed_at));
        let stopped: Vec<(InstanceId, u64)> = stopped.collect();
        let instances = stopped.iter().map(|(instance, _)| instance.clone());
        self.retired.extend(instances);
        stopped
    }

    /// Versions that receive no requests, whatever the gate decides. `records` are the
    /// versions and revisions of the service's engines.
    pub fn held_back(&self, records: &[(&SoftwareVersion, u64)]) -> Vec<SoftwareVersion> {
        let mut held_back = Vec::new();
        let pending = self.pending_target.as_ref();
        held_back.extend(pending.filter(|pending| !self.is_serving(pending, records)));
        if let Some(gate) = &self.gate {
            held_back.extend(&gate.progress().avoided);
        }
        if self.is_withdrawn && !self.is_ended() {
            held_back.push(&self.gate_target);
        }
        held_back.extend(self.replaced_versions(records));
        let mut held_back: Vec<SoftwareVersion> = held_back.into_iter().cloned().collect();
        held_back.sort();
        held_back.dedup();
        held_back
    }

    /// Whether an ordered version already serves: all engines have it, or it is an
    /// established version of the open rollout.
    fn is_serving(&self, version: &SoftwareVersion, records: &[(&SoftwareVersion, u64)]) -> bool {
        let is_alone = records.iter().all(|(known, _)| *known == version);
        let open = self.gate.as_ref().filter(|_| !self.is_ended());
        is_alone || open.is_some_and(|gate| gate.progress().established.contains(version))
    }

    /// Versions replaced by a completed rollout: those of engine records older than the
    /// completion, so that a version that returns later is not included. A node that does not
    /// know the revision of the completion uses the established versions recorded in the
    /// progress.
    fn replaced_versions<'a>(
        &'a self,
        records: &[(&'a SoftwareVersion, u64)],
    ) -> Vec<&'a SoftwareVersion> {
        if let Some(completed_at) = self.completed_at {
            let old = records.iter().filter(|(version, revision)| {
                **version != self.gate_target && *revision < completed_at
            });
            return old.map(|(version, _)| *version).collect();
        }
        let gate = self.gate.as_ref().map(Gate::progress);
        let complete = gate.filter(|progress| progress.stage == Stage::Completed);
        complete.map_or_else(Vec::new, |progress| progress.established.iter().collect())
    }

    fn is_ended(&self) -> bool {
        let stage = self.gate.as_ref().map(|gate| gate.progress().stage);
        stage.is_some_and(Stage::is_terminal)
    }
}
