//! A coarse histogram of times to the first byte of an answer.

/// Number of buckets of a histogram.
pub const BUCKETS: usize = 24;
/// End of the first bucket, in milliseconds. Each following bucket ends √2 times later,
/// the last but one at about 8 s, so a slowdown by 2 is two buckets.
const FIRST_BUCKET_MS: f64 = 4.0;

/// Histogram of times to the first byte; the bucket width is a factor of √2.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct FirstByteHistogram {
    /// Answers in each bucket.
    pub buckets: [u32; BUCKETS],
}

impl FirstByteHistogram {
    /// Counts an answer with this time to its first byte, in milliseconds.
    pub fn note(&mut self, first_byte_ms: u64) {
        self.buckets[bucket_of(first_byte_ms)] += 1;
    }

    /// Number of all answers.
    pub fn total(&self) -> u64 {
        self.buckets.iter().map(|&count| u64::from(count)).sum()
    }

    /// Number of answers in the given bucket and all later ones.
    pub fn count_from_bucket(&self, bucket: usize) -> u64 {
        let later = self.buckets.iter().skip(bucket);
        later.map(|&count| u64::from(count)).sum()
    }

    /// Adds the counts of another histogram.
    pub fn add(&mut self, other: &Self) {
        for (count, more) in self.buckets.iter_mut().zip(other.buckets) {
            *count = count.saturating_add(more);
        }
    }

    /// The counts that were added since an earlier reading.
    pub fn since(&self, earlier: &Self) -> Self {
        let mut added = *self;
        for (count, before) in added.buckets.iter_mut().zip(earlier.buckets) {
            *count = count.saturating_sub(before);
        }
        added
    }

    /// Keeps the higher count of each bucket, so that of two reports of one node the
    /// order of arrival does not matter.
    pub fn merge_max(&mut self, other: &Self) {
        for (count, reported) in self.buckets.iter_mut().zip(other.buckets) {
            *count = (*count).max(reported);
        }
    }
}

/// The bucket of a time in milliseconds.
pub fn bucket_of(first_byte_ms: u64) -> usize {
    let ratio = first_byte_ms as f64 / FIRST_BUCKET_MS;
    if ratio < 1.0 {
        return 0;
    }
    let bucket = (ratio.log2() * 2.0).floor() as usize + 1;
    bucket.min(BUCKETS - 1)
}

/// The end of a bucket, in milliseconds; for the last bucket, its beginning.
pub fn bucket_end_ms(bucket: usize) -> u64 {
    let bucket = bucket.min(BUCKETS - 2);
    (FIRST_BUCKET_MS * 2.0_f64.powf(bucket as f64 / 2.0)).ceil() as u64
}
