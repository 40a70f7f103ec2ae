//! What follows from the attempts at one request: whether another one may be
//! made, and what may truthfully be said when none is.
//!
//! Nothing is ever said from a guess. "Has not run" follows only from attempts
//! of which no byte was sent or whose engine itself said so; a request that may
//! have run is sent again only when it may run twice.

use crate::names::InstanceId;
use ploverlift_policy::attempt::RunState;

/// Connections that may fail to come about for one request.
const MAX_UNREACHABLE: u32 = 4;

/// What the route allows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AttemptLimits {
    /// Whether the request may run more than once.
    pub is_repeatable: bool,
    /// Engines that the request may be sent to.
    pub max_engines: u32,
}

/// How an attempt ended without an answer for the caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// No connection came about; nothing was sent.
    Unreachable,
    /// The engine did not run it.
    Refused,
    /// The engine did not run it: its weights are others than expected.
    OtherWeights,
    /// The engine ran it and failed.
    Failed,
    /// It was sent and may have run.
    Broken,
}

/// What all attempts at one request have shown.
#[derive(Clone, Debug)]
pub struct AttemptLedger {
    limits: AttemptLimits,
    tried: Vec<InstanceId>,
    sent_to: Vec<InstanceId>,
    arrivals: u32,
    unreachable: u32,
    run_state: RunState,
    has_corrected_weights: bool,
}

impl AttemptLedger {
    /// A request that was not sent yet.
    pub fn new(limits: AttemptLimits) -> Self {
        Self {
            limits,
            tried: Vec::new(),
            sent_to: Vec::new(),
            arrivals: 0,
            unreachable: 0,
            run_state: RunState::NotRun,
            has_corrected_weights: false,
        }
    }

    /// Engines that are not chosen again.
    pub fn tried(&self) -> &[InstanceId] {
        &self.tried
    }

    /// What may be said of the request.
    pub fn run_state(&self) -> RunState {
        self.run_state
    }

    /// Whether the next attempt would be a repeated arrival at the service.
    pub fn next_is_repeat(&self) -> bool {
        self.arrivals > 0
    }

    /// Whether the present attempt is the last one, however it ends.
    pub fn is_last_attempt(&self) -> bool {
        !self.limits.is_repeatable || self.sent_to.len() + 1 >= self.max_engines()
    }

    fn max_engines(&self) -> usize {
        self.limits.max_engines.max(1) as usize
    }

    /// Takes in how an attempt at an engine ended; tells whether another one
    /// may be made.
    pub fn record_outcome(&mut self, instance: InstanceId, outcome: AttemptOutcome) -> bool {
        match outcome {
            AttemptOutcome::Unreachable => {
                self.unreachable += 1;
                self.tried.push(instance);
                return self.unreachable < MAX_UNREACHABLE && self.may_go_to_another();
            }
            AttemptOutcome::OtherWeights if !self.has_corrected_weights => {
                // The same engine is asked again with the weights that it has.
                self.has_corrected_weights = true;
                self.note_sent(instance);
                return self.may_run_again();
            }
            AttemptOutcome::Refused | AttemptOutcome::OtherWeights => {}
            AttemptOutcome::Failed => self.run_state = self.run_state.join(RunState::Started),
            AttemptOutcome::Broken => self.run_state = self.run_state.join(RunState::Unknown),
        }
        self.tried.push(instance.clone());
        self.note_sent(instance);
        self.may_go_to_another()
    }

    /// The request was sent to an engine and lost on the way, and is sent to the same
    /// engine once more within one attempt: it may have run, whatever becomes of that.
    pub fn record_lost_send(&mut self, instance: &InstanceId) {
        self.run_state = self.run_state.join(RunState::Unknown);
        self.note_sent(instance.clone());
    }

    fn note_sent(&mut self, instance: InstanceId) {
        self.arrivals += 1;
        if !self.sent_to.contains(&instance) {
            self.sent_to.push(instance);
        }
    }

    fn may_go_to_another(&self) -> bool {
        self.sent_to.len() < self.max_engines() && self.may_run_again()
    }

    fn may_run_again(&self) -> bool {
        self.run_state == RunState::NotRun || self.limits.is_repeatable
    }
}
