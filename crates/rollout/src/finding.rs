//! Evidence against a version.

use crate::counts::RouteTag;

/// In which respect the target's answers are worse.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Symptom {
    /// More answers fail.
    Failures,
    /// First bytes arrive later.
    SlowFirstByte,
    /// So many answers are bad that the version is stopped without a test.
    ManyBadAnswers,
    /// Nodes have stopped sending to the target because of their own answers alone.
    NodesStopped,
}

/// The evidence that a version is bad, for the log.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Finding {
    /// In which respect the answers are worse.
    pub symptom: Symptom,
    /// The route concerned; `None` for all routes together.
    pub route: Option<RouteTag>,
    /// Answers of the target that were judged.
    pub answers: u64,
    /// The bad ones among them.
    pub bad: u64,
    /// Rate of bad answers that would be tolerated because of the established engines'
    /// answers.
    pub borne_share: f64,
    /// Logarithm of the evidence; the number of excess bad answers for
    /// [`Symptom::ManyBadAnswers`], of nodes for [`Symptom::NodesStopped`].
    pub evidence: f64,
    /// The evidence that counts as proof, in the same unit.
    pub threshold: f64,
}
