//! What really happened, and what must hold of it. The oracle is told by the
//! simulated engines, callers and operators, never by the nodes.

use ploverlift_policy::attempt::RunState;
use ploverlift_policy::ids::{EngineName, ResourceVersion};
use std::collections::BTreeMap;

/// Names one try of a caller; a caller that tries again has another.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TryId(pub u64);

/// What a caller was told at the end of one try.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum TryOutcome {
    /// Nothing yet.
    Waiting,
    /// A whole answer, piece by piece.
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

/// One try of a caller.
#[derive(Clone, Debug)]
pub struct Try {
    /// Key of the request, the same in every try of it.
    pub request: u64,
    /// Whether the request may run at most once.
    pub at_most_once: bool,
    /// When it began, in world time.
    pub began_at: u64,
    /// When it was answered, in world time.
    pub ended_at: Option<u64>,
    /// What the caller was told.
    pub outcome: TryOutcome,
    /// Pieces that arrived, in order of arrival.
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
    /// World time.
    pub at: u64,
    /// First position that was asked for; more than 0 goes on with a stream.
    pub from: u64,
}

/// Something that must never happen, and when it did.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Violation {
    /// Which promise.
    pub promise: Promise,
    /// What happened.
    pub what: String,
}

/// The promises that the simulation judges.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Promise {
    /// No reliance on caches of dead engines, other tenants or older weights.
    CacheReliance,
    /// Streams are complete and in order.
    WholeStreams,
    /// A restarted node serves at once.
    ServesAtOnce,
    /// Each caller gets its own answer.
    OwnAnswer,
    /// "Not run" is true.
    NotRunIsTrue,
    /// At most one run.
    AtMostOnce,
    /// A leaving back end gets no new work.
    LeavingGetsNothing,
    /// Configuration is in force and never goes back.
    Configuration,
    /// Late orders are refused and loads bounded.
    Orders,
}

/// The record of everything that counts.
#[derive(Clone, Debug, Default)]
pub struct Oracle {
    /// All tries.
    pub tries: BTreeMap<TryId, Try>,
    /// All runs.
    pub runs: Vec<Run>,
    /// All violations found while running.
    pub violations: Vec<Violation>,
    highest_seen: BTreeMap<(String, u64), ResourceVersion>,
}

/// Pieces of every simulated answer.
pub const ANSWER_PIECES: u64 = 6;

/// The piece at a position of a request's answer.
pub fn piece_of(request: u64, position: u64) -> u64 {
    request.wrapping_mul(1_000).wrapping_add(position)
}

/// The whole answer of a request.
pub fn answer_of(request: u64) -> Vec<u64> {
    (0..ANSWER_PIECES)
        .map(|position| piece_of(request, position))
        .collect()
}

impl Oracle {
    /// Notes a violation.
    pub fn record_violation(&mut self, promise: Promise, what: String) {
        self.violations.push(Violation { promise, what });
    }

    /// Notes a run.
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
        let was_told_not_run = self
            .tries
            .get(&run.try_id)
            .is_some_and(|caller_try| caller_try.outcome == TryOutcome::Refused(RunState::NotRun));
        if was_told_not_run {
            let what = format!("{:?} was told not run and ran later", run.try_id);
            self.record_violation(Promise::NotRunIsTrue, what);
        }
        self.runs.push(run);
    }

    /// Notes a piece that reached a caller.
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
            format!("{try_id:?} got {piece} in place of {expected}"),
        );
    }

    /// Notes the end of a try.
    pub fn record_outcome(&mut self, try_id: TryId, outcome: TryOutcome, at: u64) {
        let has_run = self.runs.iter().any(|run| run.try_id == try_id);
        let Some(known) = self.tries.get_mut(&try_id) else {
            return;
        };
        if known.outcome != TryOutcome::Waiting {
            return;
        }
        known.outcome = outcome.clone();
        known.ended_at = Some(at);
        let request = known.request;
        match outcome {
            TryOutcome::Whole(pieces) if pieces != answer_of(request) => {
                let what = format!("{try_id:?} was told {pieces:?} is whole");
                self.record_violation(Promise::WholeStreams, what);
            }
            TryOutcome::Replayed(answer) if answer != request => {
                let what = format!("{try_id:?} of {request} got the answer of {answer}");
                self.record_violation(Promise::OwnAnswer, what);
            }
            TryOutcome::Refused(RunState::NotRun) if has_run => {
                let what = format!("{try_id:?} was told not run and had run");
                self.record_violation(Promise::NotRunIsTrue, what);
            }
            _ => {}
        }
    }

    /// Notes the version of one object that a node has in force in one life.
    pub fn record_version_in_force(&mut self, node: &str, life: u64, version: ResourceVersion) {
        let key = (node.to_owned(), life);
        let highest = self.highest_seen.entry(key).or_default();
        if version < *highest {
            let what = format!("{node} went back from {highest} to {version}");
            self.record_violation(Promise::Configuration, what);
            return;
        }
        *highest = version;
    }
}
