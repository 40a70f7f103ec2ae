//! The lease holder's state machine: from counts and confirmations to the next stage.
//!
//! Each decision is a pure function of what is stored, counted and confirmed, except for
//! the sequential tests, which a successor restarts with all counts so far. The next
//! progress is stored only if the revision that was read is still current, so of two
//! deciders only one writes, and no stage follows a terminal one.

use crate::present_rollout::PresentRollout;
use crate::schedule;
use crate::settings::RolloutSettings;
use crate::stage::{Epoch, Progress, ProgressError, Recorded, RollBackCause, RolloutNumber, Stage};
use crate::supply::{avoided_versions, established_versions, Supply};
use crate::transition_context::{cut_over_ms, stay, store_next, TransitionContext};

pub use crate::decision::{DeciderInput, Decision, Member, Reason, VersionSupply};

/// Decides on one service's rollouts while its node holds the lease.
#[derive(Clone, Debug)]
pub struct Decider {
    settings: RolloutSettings,
    present: Option<PresentRollout>,
}

impl Decider {
    /// A decider without history, for a node that has just acquired the lease.
    pub fn new(settings: RolloutSettings) -> Self {
        Self {
            settings,
            present: None,
        }
    }

    /// Decides on the next stage. Call it at each tick (about every 100 ms) and when
    /// counts, confirmations or the order change.
    ///
    /// # Errors
    ///
    /// Fails if the recorded status can't be read.
    pub fn decide(&mut self, input: &DeciderInput<'_>) -> Result<Decision, ProgressError> {
        let recorded = Recorded::of(input.order)?;
        let progress = match recorded {
            Recorded::Present(progress) => progress,
            older => return Ok(self.begin_rollout(&older, input)),
        };
        if progress.stage.is_terminal() {
            self.present = None;
            return Ok(stay(Reason::Ended));
        }
        Ok(self.continue_rollout(&progress, input))
    }

    /// Decides on the first stage of an order that supersedes what is recorded.
    fn begin_rollout(&mut self, recorded: &Recorded, input: &DeciderInput<'_>) -> Decision {
        self.present = None;
        let order = input.order;
        let (number, epoch) = match recorded {
            Recorded::OfOlderOrder(older) | Recorded::Present(older) => {
                (older.rollout.0.saturating_add(1), older.epoch.next().0)
            }
            Recorded::Nothing => (0, 0),
        };
        let avoided = avoided_versions(recorded, order);
        let mut next = Progress {
            rollout: RolloutNumber(number.max(order.revision)),
            epoch: Epoch(epoch.max(order.revision)),
            stage: Stage::Canary {
                share_ppm: schedule::first_share_ppm(
                    &self.settings,
                    order.duration_ms,
                    cut_over_ms(input.barrier_ms),
                ),
            },
            duration_ms: order.duration_ms,
            elapsed_ms: input.now.since(input.order_seen_at),
            requests: 0,
            target_arrivals: 0,
            credits: schedule::start_credits(&self.settings),
            avoided,
            established: established_versions(&[], input),
        };
        if order.duration_ms == 0 || order.target.0.is_empty() {
            let cause = RollBackCause::OrderDoesNotFit;
            next.stage = Stage::RolledBack { cause };
            return store_next(next, Reason::Abandoned(cause));
        }
        let supply = Supply::of(input, &next);
        if supply.target > 0 && supply.established == 0 {
            next.stage = Stage::CuttingOver;
            return store_next(next, Reason::OrderedBack);
        }
        store_next(next, Reason::Ordered)
    }

    fn continue_rollout(&mut self, progress: &Progress, input: &DeciderInput<'_>) -> Decision {
        let is_known = self
            .present
            .as_ref()
            .is_some_and(|present| present.number == progress.rollout);
        let mut present = match self.present.take() {
            Some(present) if is_known => present,
            _ => PresentRollout::of(progress, input.now),
        };
        let settings = self.settings;
        let transition = TransitionContext::of(&settings, progress, input);
        present.observe(&transition);
        let decision = match present.find_defect(&transition) {
            Some(finding) => transition.roll_back(RollBackCause::BadAnswers, Reason::Bad(finding)),
            None => present.next_stage(&transition),
        };
        self.present = Some(present);
        decision
    }
}
