//! Learns the prefill rate of a service's engines from their answers.
//!
//! The time to the first event of a request that waited behind no other prompt grows with
//! the tokens that the engine had to prefill. The slope of a regression line through such
//! samples, weighted towards the newest, is the time per token; all other delays (the
//! network, the first decoding step) are part of the intercept.

/// Factor by which the weight of all earlier samples decays with each new one.
const DECAY: f64 = 0.99;
/// Minimum total weight of the samples for the line to be used.
const MIN_WEIGHT: f64 = 20.0;
/// Minimum standard deviation of the samples' tokens for the line to be used.
const MIN_SPREAD_TOKENS: f64 = 300.0;
/// Multiple of the expected time above which a sample is an outlier. It then shows
/// another delay than prefill: a stall, a preemption or a lost packet.
const OUTLIER_FACTOR: f64 = 1.5;
/// Time by which any sample may exceed the expected time without being an outlier, in
/// milliseconds.
const OUTLIER_SLACK_MS: f64 = 60.0;
/// Number of outliers in a row that show that the engines have changed.
const MAX_OUTLIERS: u32 = 12;
/// Bounds of the learned rate, as factors of the configured rate.
const FACTOR_BOUNDS: (f64, f64) = (0.1, 10.0);

/// Decayed sums over samples of tokens and milliseconds.
#[derive(Clone, Copy, Debug, Default)]
struct Sums {
    weight: f64,
    tokens: f64,
    ms: f64,
    tokens_squared: f64,
    tokens_ms: f64,
}

/// The learned prefill rate of one service.
#[derive(Clone, Copy, Debug, Default)]
pub struct PrefillRate {
    sums: Sums,
    outliers: u32,
}

/// A regression line through the samples.
struct Line {
    intercept_ms: f64,
    ms_per_token: f64,
}

impl PrefillRate {
    /// Records a request that waited behind no other prompt, had `tokens` to prefill and
    /// received its first event after `first_event_ms`.
    pub fn observe(&mut self, tokens: u64, first_event_ms: u64) {
        let (tokens, ms) = (tokens as f64, first_event_ms as f64);
        if self.is_outlier(tokens, ms) {
            self.outliers += 1;
            if self.outliers >= MAX_OUTLIERS {
                *self = Self::default();
            }
            return;
        }
        self.outliers = 0;
        let sums = &mut self.sums;
        let add = |sum: &mut f64, value: f64| *sum = *sum * DECAY + value;
        add(&mut sums.weight, 1.0);
        add(&mut sums.tokens, tokens);
        add(&mut sums.ms, ms);
        add(&mut sums.tokens_squared, tokens * tokens);
        add(&mut sums.tokens_ms, tokens * ms);
    }

    /// Prefill rate of an engine, in tokens per millisecond: `configured` until there are
    /// enough samples.
    pub fn tokens_per_ms(&self, configured: f64) -> f64 {
        let (low, high) = FACTOR_BOUNDS;
        match self.line() {
            Some(line) if line.ms_per_token > 0.0 => {
                (1.0 / line.ms_per_token).clamp(configured * low, configured * high)
            }
            // Prefill takes too little time to be measured.
            Some(_) => configured * high,
            None => configured,
        }
    }

    /// The least-squares line, or `None` when the samples are too few or too uniform.
    fn line(&self) -> Option<Line> {
        let sums = &self.sums;
        if sums.weight < MIN_WEIGHT {
            return None;
        }
        let mean_tokens = sums.tokens / sums.weight;
        let mean_ms = sums.ms / sums.weight;
        let variance = sums.tokens_squared / sums.weight - mean_tokens * mean_tokens;
        if variance < MIN_SPREAD_TOKENS * MIN_SPREAD_TOKENS {
            return None;
        }
        let covariance = sums.tokens_ms / sums.weight - mean_tokens * mean_ms;
        let ms_per_token = covariance / variance;
        Some(Line {
            intercept_ms: mean_ms - ms_per_token * mean_tokens,
            ms_per_token,
        })
    }

    /// Whether a sample is an outlier. Without a line none is: the configured rate may be
    /// far off.
    fn is_outlier(&self, tokens: f64, ms: f64) -> bool {
        self.line().is_some_and(|line| {
            let expected_ms = (line.intercept_ms + line.ms_per_token * tokens).max(0.0);
            ms > expected_ms * OUTLIER_FACTOR + OUTLIER_SLACK_MS
        })
    }
}
