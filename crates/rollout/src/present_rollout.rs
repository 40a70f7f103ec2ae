//! What a decider has learned of the rollout that it decides on, and where it goes on
//! from each stage.

use crate::acceptance::{is_accepted, Assurance};
use crate::counts::Counts;
use crate::decision::{Decision, Reason};
use crate::evidence::Evidence;
use crate::excess::many_bad_answers_under_suspicion;
use crate::finding::Finding;
use crate::schedule::{self, RequestRate};
use crate::settings::Strategy;
use crate::stage::{Epoch, Progress, RollBackCause, RolloutNumber, Stage};
use crate::weighing::{cut_over_ms, stay, Weighing};
use ploverlift_policy::ids::Millis;

/// Part of the evidence of a proof from which no stage goes forward, and at which a
/// version is rolled back once its deadline has passed.
const SUSPICION_PART: f64 = 0.65;
/// The same from which many bad answers need no more proof.
const SUSPICION_PART_WITH_MANY: f64 = 0.4;
/// Time for which the target may have no engine in a cut-over, in milliseconds.
const ENGINES_GONE_MS: u64 = 1_000;
/// Time between two steps up, in milliseconds.
const SHARE_STEP_MS: u64 = 1_000;

/// What a decider has learned of the rollout that it decides on.
#[derive(Clone, Debug)]
pub(crate) struct PresentRollout {
    pub(crate) number: RolloutNumber,
    evidence: Evidence,
    rate: RequestRate,
    began_at: Millis,
    target_gone_since: Option<Millis>,
    /// Counts when all traffic moved, as this decider saw them.
    at_cut_over: Option<(Epoch, Counts)>,
}

impl PresentRollout {
    pub(crate) fn of(progress: &Progress, now: Millis) -> Self {
        Self {
            number: progress.rollout,
            evidence: Evidence::for_duration(progress.duration_ms),
            rate: RequestRate::default(),
            began_at: now,
            target_gone_since: None,
            at_cut_over: None,
        }
    }
}

impl PresentRollout {
    pub(crate) fn take_in(&mut self, weighing: &Weighing<'_>) {
        self.rate.note(weighing.requests(), weighing.input.now);
        let has_target = weighing.supply.target > 0;
        self.target_gone_since = match has_target {
            true => None,
            false => self.target_gone_since.or(Some(weighing.input.now)),
        };
        let epoch = weighing.progress.epoch;
        let is_noted = self
            .at_cut_over
            .as_ref()
            .is_some_and(|(at, _)| *at == epoch);
        if weighing.progress.stage == Stage::CuttingOver && !is_noted {
            self.at_cut_over = Some((epoch, weighing.sums().clone()));
        }
    }

    /// The strongest evidence against the version, when it is so much of a proof.
    fn suspicion_of(&self, part: f64) -> Option<Finding> {
        let strongest = self.evidence.strongest()?;
        let is_suspicious = strongest.evidence >= part * strongest.threshold;
        is_suspicious.then_some(strongest)
    }

    fn is_accepted(&self, weighing: &Weighing<'_>) -> bool {
        let Some((_, at_cut_over)) = &self.at_cut_over else {
            return false;
        };
        let assurance = match weighing.remaining_ms() {
            0 => Assurance::Full,
            _ => Assurance::Reduced,
        };
        let since_cut_over = weighing.sums().since(at_cut_over);
        is_accepted(weighing.sums(), &since_cut_over, assurance)
    }

    pub(crate) fn bad(&mut self, weighing: &Weighing<'_>) -> Option<Finding> {
        let is_cutting_over = weighing.progress.stage == Stage::CuttingOver;
        let now = weighing.input.now;
        let by_counts = self.evidence.update(weighing.sums(), is_cutting_over, now);
        let suspicion = self.suspicion_of(SUSPICION_PART_WITH_MANY);
        let by_suspicion = suspicion
            .and_then(|_| many_bad_answers_under_suspicion(weighing.sums(), is_cutting_over));
        by_counts
            .or(by_suspicion)
            .or_else(|| weighing.stopped_nodes())
    }

    pub(crate) fn next_stage(&self, weighing: &Weighing<'_>) -> Decision {
        match weighing.progress.stage {
            Stage::Canary { share_ppm } => self.after_canary(weighing, share_ppm),
            Stage::CuttingOver => self.after_cut_over(weighing),
            Stage::Completed | Stage::RolledBack { .. } => stay(Reason::Ended),
        }
    }

    fn after_canary(&self, weighing: &Weighing<'_>, share_ppm: u32) -> Decision {
        if !weighing.has_enough_engines() {
            return weighing.without_engines();
        }
        if let Some(finding) = self.suspicion_of(SUSPICION_PART) {
            return weighing.under_suspicion(finding);
        }
        if !weighing.has_enough_answers() {
            return weighing.without_proof();
        }
        if self.is_time_to_cut_over(weighing) {
            return weighing.go_to(Stage::CuttingOver, Reason::MayCutOver);
        }
        match self.raised_share_ppm(weighing, share_ppm) {
            Some(share_ppm) => weighing.go_to(Stage::Canary { share_ppm }, Reason::ShareRaised),
            None => stay(Reason::AwaitingExposure),
        }
    }

    /// Within the bound whatever happens; and before the deadline only if the cut-over
    /// can end by then, else it gains nothing.
    fn is_time_to_cut_over(&self, weighing: &Weighing<'_>) -> bool {
        let may_be_early = weighing.settings.strategy != Strategy::HoldPastDeadline;
        let needed_ms = cut_over_ms(weighing.input.barrier_ms);
        let is_in_time = may_be_early && weighing.remaining_ms() >= needed_ms;
        let is_over = weighing.remaining_ms() == 0;
        is_over || (is_in_time && self.may_move_all(weighing))
    }

    fn may_move_all(&self, weighing: &Weighing<'_>) -> bool {
        let Some(rate_per_ms) = self.rate.per_ms() else {
            return false;
        };
        weighing
            .exposure(rate_per_ms)
            .may_move_all(weighing.settings)
    }

    fn raised_share_ppm(&self, weighing: &Weighing<'_>, share_ppm: u32) -> Option<u32> {
        let settings = weighing.settings;
        let since = weighing.input.now.since(weighing.input.status_seen_at);
        if settings.strategy != Strategy::Steps || since < SHARE_STEP_MS {
            return None;
        }
        schedule::next_share_ppm(settings, share_ppm)
    }

    fn after_cut_over(&self, weighing: &Weighing<'_>) -> Decision {
        let now = weighing.input.now;
        let gone = self.target_gone_since;
        let is_gone = gone.is_some_and(|since| now.since(since) >= ENGINES_GONE_MS);
        if is_gone && weighing.supply.established > 0 {
            let cause = RollBackCause::NoEngines;
            return weighing.roll_back(cause, Reason::Abandoned(cause));
        }
        let rate_per_ms = self.rate.per_ms().unwrap_or(0.0);
        let exposure = weighing.exposure(rate_per_ms);
        let has_established = weighing.supply.established > 0;
        if has_established && exposure.must_stop(weighing.settings) {
            let share_ppm = weighing.first_share_ppm();
            return weighing.go_to(Stage::Canary { share_ppm }, Reason::ExposureAhead);
        }
        if let Some(finding) = self.suspicion_of(SUSPICION_PART) {
            return weighing.under_suspicion(finding);
        }
        let (nodes, running) = weighing.awaited(self.began_at);
        if nodes > 0 {
            return stay(Reason::AwaitingNodes { nodes, running });
        }
        // Where nothing is left to go back to, a verdict would change nothing.
        if has_established && !self.is_accepted(weighing) {
            return weighing.without_proof();
        }
        if !weighing.is_watched_enough() {
            return stay(Reason::GatheringEvidence);
        }
        weighing.go_to(Stage::Completed, Reason::AllConfirmed)
    }
}
