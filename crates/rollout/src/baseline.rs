//! The established engines' answers, and what of the target's is borne by them.

use crate::counts::SideCounts;
use crate::first_byte::BUCKETS;

/// Rate of failures that is always borne.
const MIN_TOLERATED_FAILURE_RATE: f64 = 0.01;
/// Rate of late first bytes that is always borne.
const MIN_TOLERATED_LATE_RATE: f64 = 0.05;
/// No more than that is borne, else a test could find nothing.
const MAX_TOLERATED_RATE: f64 = 0.8;
/// Buckets of room before a first byte counts as late: slower by √2 is borne.
pub(crate) const LATE_MARGIN_BUCKETS: usize = 1;
/// The same once the established engines serve less and less beside the target.
pub(crate) const LATE_MARGIN_BUCKETS_IN_CUT_OVER: usize = 2;
/// Answers of the established engines below which their times say nothing.
const MIN_BASELINE_ANSWERS: u64 = 20;

/// The established engines' answers to compare with.
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

    /// Share of failures that is borne: the higher of the whole and the recent one, with
    /// room for chance.
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

    /// Recent times where there are enough, else all.
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

/// The share that is seen, and two standard deviations of chance.
pub(crate) fn upper_share(count: u64, total: u64) -> f64 {
    let count = count as f64;
    (count + 2.0 * count.sqrt() + 1.0) / (total as f64 + 4.0)
}

/// The established engines' share beyond their median, with half a bucket (2^¼) of room;
/// the bucket from which on a first byte counts.
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

/// The first bucket in or beyond which at most a share of the answers lies.
pub(crate) fn late_bucket(established: &SideCounts, share: f64) -> Option<usize> {
    let times = &established.first_byte;
    let total = times.total();
    if total < MIN_BASELINE_ANSWERS {
        return None;
    }
    (0..BUCKETS).find(|&bucket| times.count_from_bucket(bucket) as f64 <= share * total as f64)
}
