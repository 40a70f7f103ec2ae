//! Tracks the attempts at one request: whether another attempt is allowed, and which run
//! state can be reported when none is.
//!
//! The reported run state is never a guess. "Not run" follows only from attempts of which
//! no byte was sent or whose engine itself reported it. A request that may have run is
//! sent again only when it is repeatable.

use crate::names::InstanceId;
use ploverlift_policy::attempt::RunState;

/// Maximum number of failed connections for one request.
const MAX_UNREACHABLE: u32 = 4;

/// Limits that the route sets.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AttemptLimits {
    /// Whether the request may run more than once.
    pub is_repeatable: bool,
    /// Maximum number of engines that the request may be sent to.
    pub max_engines: u32,
}

/// Result of an attempt that gave no answer for the caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// No connection was established; nothing was sent.
    Unreachable,
    /// The engine did not run the request.
    Refused,
    /// The engine did not run the request because it has other weights than expected.
    OtherWeights,
    /// The engine ran the request and failed.
    Failed,
    /// The request was sent and may have run.
    Broken,
}

/// State of all attempts at one request.
#[derive(Clone, Debug)]
pub struct AttemptLedger {
    limits: AttemptLimits,
    tried: Vec<InstanceId>,
    sent_to: Vec<InstanceId>,
    arrivals: u32,
    /// Number of times that the request was sent, and of these how often an engine reported that
    /// it did not run it.
    sends: u32,
    refusals: u32,
    /// Whether an engine has had the request while another attempt began.
    is_running: bool,
    unreachable: u32,
    run_state: RunState,
    has_corrected_weights: bool,
}

impl AttemptLedger {
    /// Creates the ledger of a request that was not sent yet.
    pub fn new(limits: AttemptLimits) -> Self {
        Self {
            limits,
            tried: Vec::new(),
            sent_to: Vec::new(),
            arrivals: 0,
            sends: 0,
            refusals: 0,
            is_running: false,
            unreachable: 0,
            run_state: RunState::NotRun,
            has_corrected_weights: false,
        }
    }

    /// Engines that are not chosen again.
    pub fn tried(&self) -> &[InstanceId] {
        &self.tried
    }

    /// The run state that can be reported for the request.
    pub fn run_state(&self) -> RunState {
        self.run_state
    }

    /// The run state that can be reported if the attempts that still run are abandoned.
    pub fn run_state_if_abandoned(&self) -> RunState {
        match self.sends == self.refusals {
            true => self.run_state,
            false => self.run_state.join(RunState::Unknown),
        }
    }

    /// Whether the request was sent to an engine.
    pub fn has_been_sent(&self) -> bool {
        self.sends > 0
    }

    /// Records that bytes of the request may be sent from now on.
    pub fn record_send(&mut self) {
        self.sends += 1;
    }

    /// Whether the next attempt would repeat the request at the service.
    pub fn next_is_repeat(&self) -> bool {
        self.is_running || self.arrivals > 0
    }

    /// Whether the current attempt is the last one, whatever its outcome.
    pub fn is_last_attempt(&self) -> bool {
        !self.limits.is_repeatable || self.sent_to.len() + 1 >= self.max_engines()
    }

    /// Whether the request may be sent to a further engine after the one that it runs at and one
    /// that takes it over.
    pub fn has_attempt_after_takeover(&self) -> bool {
        self.limits.is_repeatable && self.sent_to.len() + 2 < self.max_engines()
    }

    fn max_engines(&self) -> usize {
        self.limits.max_engines.max(1) as usize
    }

    /// Records that another engine may be sent the request while this one has it: the next
    /// attempt repeats the request, and at another engine.
    pub fn begin_takeover(&mut self, running: &InstanceId) {
        self.is_running = true;
        self.note_tried(running.clone());
    }

    /// Records the outcome of an attempt at an engine and returns whether another attempt
    /// is allowed.
    pub fn record_outcome(&mut self, instance: InstanceId, outcome: AttemptOutcome) -> bool {
        if let AttemptOutcome::Refused | AttemptOutcome::OtherWeights = outcome {
            self.refusals += 1;
        }
        match outcome {
            AttemptOutcome::Unreachable => {
                self.unreachable += 1;
                self.note_tried(instance);
                return self.unreachable < MAX_UNREACHABLE && self.may_try_another_engine();
            }
            AttemptOutcome::OtherWeights if !self.has_corrected_weights => {
                // The same engine is tried again, now with the weights version that it
                // has.
                self.has_corrected_weights = true;
                self.note_sent(instance);
                return self.may_run_again();
            }
            AttemptOutcome::Refused | AttemptOutcome::OtherWeights => {}
            AttemptOutcome::Failed => self.run_state = self.run_state.join(RunState::Started),
            AttemptOutcome::Broken => self.run_state = self.run_state.join(RunState::Unknown),
        }
        self.note_tried(instance.clone());
        self.note_sent(instance);
        self.may_try_another_engine()
    }

    /// Records that the request was lost after it was sent, and is sent to the same
    /// engine once more within the attempt: it may have run, whatever the outcome of the
    /// second send.
    pub fn record_lost_send(&mut self, instance: &InstanceId) {
        self.run_state = self.run_state.join(RunState::Unknown);
        self.note_sent(instance.clone());
    }

    fn note_tried(&mut self, instance: InstanceId) {
        if !self.tried.contains(&instance) {
            self.tried.push(instance);
        }
    }

    fn note_sent(&mut self, instance: InstanceId) {
        self.arrivals += 1;
        if !self.sent_to.contains(&instance) {
            self.sent_to.push(instance);
        }
    }

    fn may_try_another_engine(&self) -> bool {
        self.sent_to.len() < self.max_engines() && self.may_run_again()
    }

    fn may_run_again(&self) -> bool {
        self.run_state == RunState::NotRun || self.limits.is_repeatable
    }
}
