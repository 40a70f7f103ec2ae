//! Target against established engines at the same time, by route.

use crate::counts::RouteTag;

/// What of the answers is worse.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Symptom {
    /// More of them fail.
    Failures,
    /// They arrive later.
    SlowFirstByte,
    /// So many failed that the version is stopped without a test.
    ManyFailures,
}

/// The evidence that a version is bad, for the log line.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Finding {
    /// What is worse.
    pub symptom: Symptom,
    /// On which route; nothing for all together.
    pub route: Option<RouteTag>,
    /// Answers of the target that were judged.
    pub answers: u64,
    /// Bad ones among them.
    pub bad: u64,
    /// Share of bad ones that would be borne, by the established engines' answers.
    pub borne_share: f64,
    /// Logarithm of the evidence.
    pub evidence: f64,
    /// Where it counts as proof.
    pub threshold: f64,
}
