//! Baseline of the comparison: the established engines' answers, and the rates of failed
//! and late answers that are tolerated of the target because of them.

use crate::counts::SideCounts;
use crate::first_byte::BUCKETS;

/// Failure rate that is always tolerated.
const MIN_TOLERATED_FAILURE_RATE: f64 = 0.01;
/// Rate of late first bytes that is always tolerated.
const MIN_TOLERATED_LATE_RATE: f64 = 0.05;
/// Upper limit of each tolerated rate; without it a test could not detect anything.
const MAX_TOLERATED_RATE: f64 = 0.8;
/// Histogram buckets of margin before a first byte counts as late: one bucket tolerates
/// a slowdown by √2.
pub(crate) const LATE_MARGIN_BUCKETS: usize = 1;
/// The margin during a cut-over, when the established engines serve fewer and fewer
/// requests to compare with.
pub(crate) const LATE_MARGIN_BUCKETS_IN_CUT_OVER: usize = 2;
/// Minimum number of established answers for a comparison of times.
const MIN_BASELINE_ANSWERS: u64 = 20;

/// The established engines' counts to compare with: since the order, and of the last
/// seconds.
pub(crate) struct Baseline {
    pub(crate) overall: SideCounts,
    pub(crate) recent: SideCounts,
}

impl Baseline {
    pub(crate) fn from_overall(established: &SideCounts) -> Self {
        Self {
            overall: *established,
            recent: SideCounts::default(),
        }
    }

    /// Tolerated failure rate: the higher of the overall and the recent rate of the
    /// established engines, with an allowance for chance.
    pub(crate) fn tolerated_failure_rate(&self) -> f64 {
        let whole = upper_share(self.overall.failures, self.overall.answers);
        let recent = match self.recent.answers >= MIN_BASELINE_ANSWERS {
            true => upper_share(self.recent.failures, self.recent.answers),
            false => 0.0,
        };
        whole
            .max(recent)
            .clamp(MIN_TOLERATED_FAILURE_RATE, MAX_TOLERATED_RATE)
    }

    /// The recent counts if they contain enough times, else the overall ones.
    pub(crate) fn timing_counts(&self) -> &SideCounts {
        match self.recent.first_byte.total() >= MIN_BASELINE_ANSWERS {
            true => &self.recent,
            false => &self.overall,
        }
    }

    pub(crate) fn tolerated_late_rate(&self, bucket: usize) -> f64 {
        let times = &self.timing_counts().first_byte;
        upper_share(times.count_from_bucket(bucket), times.total())
            .clamp(MIN_TOLERATED_LATE_RATE, MAX_TOLERATED_RATE)
    }
}

/// The observed rate plus two standard deviations.
pub(crate) fn upper_share(count: u64, total: u64) -> f64 {
    let count = count as f64;
    (count + 2.0 * count.sqrt() + 1.0) / (total as f64 + 4.0)
}

/// The histogram bucket that begins beyond the median first byte of the established
/// engines, and the tolerated rate of answers in or beyond it, with a margin of half a
/// bucket (2^¼).
pub(crate) fn later_half_baseline(established: &SideCounts) -> Option<(usize, f64)> {
    let bucket = late_bucket(established, 0.5)?;
    let times = &established.first_byte;
    let beyond = times.count_from_bucket(bucket);
    let with_margin = times.count_from_bucket(bucket.saturating_sub(1));
    let tolerated = (beyond + with_margin) / 2;
    Some((
        bucket,
        upper_share(tolerated, times.total()).min(MAX_TOLERATED_RATE),
    ))
}

/// The first bucket for which at most the given share of the answers lies in it or
/// beyond; `None` with too few answers.
pub(crate) fn late_bucket(established: &SideCounts, share: f64) -> Option<usize> {
    let times = &established.first_byte;
    let total = times.total();
    if total < MIN_BASELINE_ANSWERS {
        return None;
    }
    (0..BUCKETS).find(|&bucket| times.count_from_bucket(bucket) as f64 <= share * total as f64)
}
