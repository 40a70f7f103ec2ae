//! Record of all runs and outcomes, and the promises checked on it. Only simulated
//! engines, callers and operators report to the oracle, and the version that a
//! node uses is checked against the object API.

use ploverlift_policy::attempt::RunState;
use ploverlift_policy::ids::{EngineName, ResourceVersion};
use std::collections::BTreeMap;

/// Identifies one try of a caller; each retry by the caller has its own id.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TryId(pub u64);

/// The outcome of one try, as the caller received it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum TryOutcome {
    /// No outcome yet.
    Waiting,
    /// A complete answer, as its pieces.
    Whole(Vec<u64>),
    /// The recorded answer of an earlier try.
    Replayed(u64),
    /// A refusal before any piece.
    Refused(RunState),
    /// An error event after some pieces.
    Aborted(RunState),
    /// The connection to the node broke.
    ConnectionLost,
}

/// A caller's try of a request.
#[derive(Clone, Debug)]
pub struct Try {
    /// Key of the request, the same for all of its tries.
    pub request: u64,
    /// Whether the request may run at most once.
    pub at_most_once: bool,
    /// World time at which the try began, in milliseconds.
    pub began_at: u64,
    /// World time at which the try ended, in milliseconds.
    pub ended_at: Option<u64>,
    /// Outcome as the caller received it.
    pub try_outcome: TryOutcome,
    /// Pieces that the caller received, in order of arrival.
    pub pieces: Vec<u64>,
}

/// One run of a request at an engine.
#[derive(Clone, Debug)]
pub struct Run {
    /// The try that caused it.
    pub try_id: TryId,
    /// Key of the request.
    pub request: u64,
    /// The engine.
    pub engine: EngineName,
    /// World time of the start, in milliseconds.
    pub at: u64,
    /// First position requested; more than 0 resumes a stream.
    pub from: u64,
}

/// A violated promise.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Violation {
    /// The violated promise.
    pub promise: Promise,
    /// Description of the violation.
    pub what: String,
}

/// The promises that the simulation checks.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Promise {
    /// No request relies on a cache of an earlier incarnation, another tenant or
    /// other weights.
    CacheReliance,
    /// Streams are complete and in order, and every try gets an outcome.
    WholeStreams,
    /// A restarted node serves without delay.
    ServesAtOnce,
    /// Each caller gets the answer to its own request.
    OwnAnswer,
    /// A request reported as not run has not run and does not run later.
    NotRunIsTrue,
    /// A request that may run at most once does not run twice.
    AtMostOnce,
    /// A leaving engine gets no new requests.
    LeavingGetsNothing,
    /// Accepted configuration reaches every node, and no node returns to an older version.
    Configuration,
    /// Orders with an outdated fencing token are refused, and the number of
    /// concurrent loads is bounded.
    Orders,
}

/// Record of tries, runs and violations.
#[derive(Clone, Debug, Default)]
pub struct Oracle {
    /// All tries.
    pub tries: BTreeMap<TryId, Try>,
    /// All runs.
    pub runs: Vec<Run>,
    /// All violations found.
    pub violations: Vec<Violation>,
    highest_versions: BTreeMap<(String, u64), ResourceVersion>,
}

/// Number of pieces in every simulated answer.
pub const ANSWER_PIECES: u64 = 6;

/// Content of the piece at a position of a request's answer.
pub fn piece_of(request: u64, position: u64) -> u64 {
    request.wrapping_mul(1_000).wrapping_add(position)
}

/// All pieces of a request's answer.
pub fn answer_of(request: u64) -> Vec<u64> {
    (0..ANSWER_PIECES)
        .map(|position| piece_of(request, position))
        .collect()
}

impl Oracle {
    /// Records a violation.
    pub fn record_violation(&mut self, promise: Promise, what: String) {
        self.violations.push(Violation { promise, what });
    }

    /// Records a run, and violations of the promises on runs.
    pub fn record_run(&mut self, run: Run) {
        let at_most_once = self
            .tries
            .get(&run.try_id)
            .is_some_and(|caller_try| caller_try.at_most_once);
        let before = self
            .runs
            .iter()
            .filter(|known| known.request == run.request);
        let count = before.count();
        if at_most_once && count > 0 {
            let what = format!("request {} ran {} times", run.request, count + 1);
            self.record_violation(Promise::AtMostOnce, what);
        }
        let was_reported_not_run = self.tries.get(&run.try_id).is_some_and(|caller_try| {
            caller_try.try_outcome == TryOutcome::Refused(RunState::NotRun)
        });
        if was_reported_not_run {
            let what = format!("{:?} was reported as not run and ran later", run.try_id);
            self.record_violation(Promise::NotRunIsTrue, what);
        }
        self.runs.push(run);
    }

    /// Records a piece that reached a caller, and a violation when it is not the next one.
    pub fn record_piece(&mut self, try_id: TryId, piece: u64) {
        let Some(known) = self.tries.get_mut(&try_id) else {
            return;
        };
        let expected = piece_of(known.request, known.pieces.len() as u64);
        known.pieces.push(piece);
        if piece == expected {
            return;
        }
        let foreign = piece / 1_000 != expected / 1_000;
        let promise = if foreign {
            Promise::OwnAnswer
        } else {
            Promise::WholeStreams
        };
        self.record_violation(
            promise,
            format!("{try_id:?} received piece {piece}, expected {expected}"),
        );
    }

    /// Records the outcome of a try at world time `at`, and violations of the promises
    /// on outcomes. Only the first outcome of a try counts.
    pub fn record_outcome(&mut self, try_id: TryId, try_outcome: TryOutcome, at: u64) {
        let has_run = self.runs.iter().any(|run| run.try_id == try_id);
        let Some(known) = self.tries.get_mut(&try_id) else {
            return;
        };
        if known.try_outcome != TryOutcome::Waiting {
            return;
        }
        known.try_outcome = try_outcome.clone();
        known.ended_at = Some(at);
        let request = known.request;
        match try_outcome {
            TryOutcome::Whole(pieces) if pieces != answer_of(request) => {
                let what = format!("{try_id:?} ended as complete with pieces {pieces:?}");
                self.record_violation(Promise::WholeStreams, what);
            }
            TryOutcome::Replayed(answer) if answer != request => {
                let what = format!("{try_id:?} of {request} got the answer of {answer}");
                self.record_violation(Promise::OwnAnswer, what);
            }
            TryOutcome::Refused(RunState::NotRun) if has_run => {
                let what = format!("{try_id:?} was reported as not run but had run");
                self.record_violation(Promise::NotRunIsTrue, what);
            }
            _ => {}
        }
    }

    /// Records the version of the route that a node uses in one incarnation, and a
    /// violation when it is older than an earlier one.
    pub fn record_version_in_force(&mut self, node: &str, life: u64, version: ResourceVersion) {
        let key = (node.to_owned(), life);
        let highest = self.highest_versions.entry(key).or_default();
        if version < *highest {
            let what = format!("{node} returned from version {highest} to {version}");
            self.record_violation(Promise::Configuration, what);
            return;
        }
        *highest = version;
    }
}
