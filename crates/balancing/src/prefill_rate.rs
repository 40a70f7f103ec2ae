//! How fast the engines of a service read prompts, learned from their answers.
//!
//! The time to the first event of a request that waited behind no prompt grows
//! with the tokens that the engine had to read. A line through such pairs, the
//! newest counting most, has the time for one token as its slope; whatever else
//! takes time (the network, the first step) goes into its start.

/// Weight of all earlier pairs when a new one comes.
const DECAY: f64 = 0.99;
/// Weight of pairs before the line means anything.
const MIN_WEIGHT: f64 = 20.0;
/// Spread of the tokens of a pair, as a standard deviation, before the line means
/// anything.
const MIN_SPREAD_TOKENS: f64 = 300.0;
/// A pair that took so many times as long as expected tells of something else than
/// reading: a stall, a preemption, a lost packet.
const OUTLIER_FACTOR: f64 = 1.5;
/// Time that a pair may take beyond the expected one whatever its size, in
/// milliseconds.
const OUTLIER_SLACK_MS: f64 = 60.0;
/// So many outliers in a row show that the engines have changed.
const MAX_OUTLIERS: u32 = 12;
/// Bounds of what is learned, as factors of the rate in the settings.
const FACTOR_BOUNDS: (f64, f64) = (0.1, 10.0);

/// Decayed sums over pairs of tokens and milliseconds.
#[derive(Clone, Copy, Debug, Default)]
struct Sums {
    weight: f64,
    tokens: f64,
    ms: f64,
    tokens_squared: f64,
    tokens_ms: f64,
}

/// What is known of the rate of one service.
#[derive(Clone, Copy, Debug, Default)]
pub struct PrefillRate {
    sums: Sums,
    outliers: u32,
}

/// A line through the pairs.
struct Line {
    start_ms: f64,
    ms_per_token: f64,
}

impl PrefillRate {
    /// A request that waited behind no prompt had `tokens` to be read and its first
    /// event after `first_event_ms`.
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

    /// Tokens that an engine reads in a millisecond: `configured` until enough was seen.
    pub fn tokens_per_ms(&self, configured: f64) -> f64 {
        let (low, high) = FACTOR_BOUNDS;
        match self.line() {
            Some(line) if line.ms_per_token > 0.0 => {
                (1.0 / line.ms_per_token).clamp(configured * low, configured * high)
            }
            // Reading takes too little time to be seen.
            Some(_) => configured * high,
            None => configured,
        }
    }

    /// The line of least squares; nothing while it means little.
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
            start_ms: mean_ms - ms_per_token * mean_tokens,
            ms_per_token,
        })
    }

    /// Before a line is known nothing is an outlier: the rate in the settings may be
    /// far off.
    fn is_outlier(&self, tokens: f64, ms: f64) -> bool {
        self.line().is_some_and(|line| {
            let expected_ms = (line.start_ms + line.ms_per_token * tokens).max(0.0);
            ms > expected_ms * OUTLIER_FACTOR + OUTLIER_SLACK_MS
        })
    }
}
