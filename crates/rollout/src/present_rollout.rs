//! The decider's state for the current rollout, and the transitions from each stage.

use crate::acceptance::{is_accepted, Assurance};
use crate::counts::Counts;
use crate::decision::{Decision, Reason};
use crate::evidence::Evidence;
use crate::excess::many_bad_answers_under_suspicion;
use crate::finding::Finding;
use crate::schedule::{self, RequestRate};
use crate::settings::Strategy;
use crate::stage::{Epoch, Progress, RollBackCause, RolloutNumber, Stage};
use crate::transition_context::{cut_over_ms, stay, TransitionContext};
use ploverlift_policy::ids::Millis;

/// Fraction of a proof's evidence from which the rollout does not advance; after the
/// deadline the version is then rolled back.
const SUSPICION_FRACTION: f64 = 0.65;
/// Fraction of a proof's evidence from which many bad answers need no further proof.
const SUSPICION_FRACTION_WITH_MANY_BAD: f64 = 0.4;
/// Time for which the target may have no engine during a cut-over, in milliseconds.
const MAX_WITHOUT_ENGINES_MS: u64 = 1_000;
/// Minimum time between two raises of the share, in milliseconds.
const SHARE_STEP_MS: u64 = 1_000;

/// The decider's state for the current rollout.
#[derive(Clone, Debug)]
pub(crate) struct PresentRollout {
    pub(crate) number: RolloutNumber,
    evidence: Evidence,
    rate: RequestRate,
    began_at: Millis,
    target_gone_since: Option<Millis>,
    /// The epoch of the last cut-over, and the counts when this decider first saw it.
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
    pub(crate) fn observe(&mut self, transition: &TransitionContext<'_>) {
        self.rate.note(transition.requests(), transition.input.now);
        let has_target = transition.supply.target > 0;
        self.target_gone_since = match has_target {
            true => None,
            false => self.target_gone_since.or(Some(transition.input.now)),
        };
        let epoch = transition.progress.epoch;
        let is_noted = self
            .at_cut_over
            .as_ref()
            .is_some_and(|(at, _)| *at == epoch);
        if transition.progress.stage == Stage::CuttingOver && !is_noted {
            self.at_cut_over = Some((epoch, transition.sums().clone()));
        }
    }

    /// The strongest evidence against the version, if it reaches this fraction of a
    /// proof.
    fn suspicion_at(&self, part: f64) -> Option<Finding> {
        let strongest = self.evidence.strongest()?;
        let is_suspicious = strongest.evidence >= part * strongest.threshold;
        is_suspicious.then_some(strongest)
    }

    fn is_accepted(&self, transition: &TransitionContext<'_>) -> bool {
        let Some((_, at_cut_over)) = &self.at_cut_over else {
            return false;
        };
        let assurance = match transition.remaining_ms() {
            0 => Assurance::Full,
            _ => Assurance::Reduced,
        };
        let since_cut_over = transition.sums().since(at_cut_over);
        is_accepted(transition.sums(), &since_cut_over, assurance)
    }

    pub(crate) fn find_defect(&mut self, transition: &TransitionContext<'_>) -> Option<Finding> {
        let is_cutting_over = transition.progress.stage == Stage::CuttingOver;
        let now = transition.input.now;
        let by_counts = self
            .evidence
            .update(transition.sums(), is_cutting_over, now);
        let suspicion = self.suspicion_at(SUSPICION_FRACTION_WITH_MANY_BAD);
        let by_suspicion = suspicion
            .and_then(|_| many_bad_answers_under_suspicion(transition.sums(), is_cutting_over));
        by_counts
            .or(by_suspicion)
            .or_else(|| transition.stopped_nodes_finding())
    }

    pub(crate) fn next_stage(&self, transition: &TransitionContext<'_>) -> Decision {
        match transition.progress.stage {
            Stage::Canary { share_ppm } => self.after_canary(transition, share_ppm),
            Stage::CuttingOver => self.after_cut_over(transition),
            Stage::Completed | Stage::RolledBack { .. } => stay(Reason::Ended),
        }
    }

    fn after_canary(&self, transition: &TransitionContext<'_>, share_ppm: u32) -> Decision {
        if !transition.has_enough_engines() {
            return transition.decide_without_engines();
        }
        if let Some(finding) = self.suspicion_at(SUSPICION_FRACTION) {
            return transition.decide_under_suspicion(finding);
        }
        if !transition.has_enough_answers() {
            return transition.decide_without_proof();
        }
        if self.is_time_to_cut_over(transition) {
            return transition.enter(Stage::CuttingOver, Reason::MayCutOver);
        }
        match self.raised_share_ppm(transition, share_ppm) {
            Some(share_ppm) => transition.enter(Stage::Canary { share_ppm }, Reason::ShareRaised),
            None => stay(Reason::AwaitingExposure),
        }
    }

    /// Before the deadline, the cut-over must be able to end by then, or it gains
    /// nothing, and the exposure must stay within its bound whatever happens.
    fn is_time_to_cut_over(&self, transition: &TransitionContext<'_>) -> bool {
        let may_be_early = transition.settings.strategy != Strategy::HoldPastDeadline;
        let needed_ms = cut_over_ms(transition.input.barrier_ms);
        let is_in_time = may_be_early && transition.remaining_ms() >= needed_ms;
        let has_deadline_passed = transition.remaining_ms() == 0;
        has_deadline_passed || (is_in_time && self.may_move_all(transition))
    }

    fn may_move_all(&self, transition: &TransitionContext<'_>) -> bool {
        let Some(rate_per_ms) = self.rate.per_ms() else {
            return false;
        };
        transition
            .exposure(rate_per_ms)
            .may_move_all(transition.settings)
    }

    fn raised_share_ppm(&self, transition: &TransitionContext<'_>, share_ppm: u32) -> Option<u32> {
        let settings = transition.settings;
        let time_in_stage_ms = transition.input.now.since(transition.input.status_seen_at);
        if settings.strategy != Strategy::Steps || time_in_stage_ms < SHARE_STEP_MS {
            return None;
        }
        schedule::next_share_ppm(settings, share_ppm)
    }

    fn after_cut_over(&self, transition: &TransitionContext<'_>) -> Decision {
        let now = transition.input.now;
        let gone = self.target_gone_since;
        let is_gone = gone.is_some_and(|since| now.since(since) >= MAX_WITHOUT_ENGINES_MS);
        if is_gone && transition.supply.established > 0 {
            let cause = RollBackCause::NoEngines;
            return transition.roll_back(cause, Reason::Abandoned(cause));
        }
        let rate_per_ms = self.rate.per_ms().unwrap_or(0.0);
        let exposure = transition.exposure(rate_per_ms);
        let has_established = transition.supply.established > 0;
        if has_established && exposure.must_stop(transition.settings) {
            let share_ppm = transition.first_share_ppm();
            return transition.enter(Stage::Canary { share_ppm }, Reason::ExposureAhead);
        }
        if let Some(finding) = self.suspicion_at(SUSPICION_FRACTION) {
            return transition.decide_under_suspicion(finding);
        }
        let (nodes, running) = transition.unconfirmed_nodes(self.began_at);
        if nodes > 0 {
            return stay(Reason::AwaitingNodes { nodes, running });
        }
        // Without established engines to return to, a verdict would change nothing.
        if has_established && !self.is_accepted(transition) {
            return transition.decide_without_proof();
        }
        if !transition.is_watch_complete() {
            return stay(Reason::GatheringEvidence);
        }
        transition.enter(Stage::Completed, Reason::AllConfirmed)
    }
}
