//! The report of an experiment.

use serde::Serialize;

/// Times to first token, in milliseconds.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct TtftMs {
    /// Median.
    pub p50: f64,
    /// 95th percentile.
    pub p95: f64,
    /// 99th percentile.
    pub p99: f64,
}

/// Result of one policy on one trace.
#[derive(Clone, Debug, Serialize)]
pub struct PolicyResult {
    /// Name of the policy.
    pub policy: String,
    /// Share of prompt tokens that were cached.
    pub hit_rate: f64,
    /// Times to first token.
    pub ttft_ms: TtftMs,
    /// Share of prompt tokens that were prefilled although another live engine had them
    /// cached.
    pub wasted_recomputation: f64,
    /// Longest queue of any engine, in requests.
    pub max_queue: usize,
    /// Requests refused.
    pub refused: usize,
    /// Requests answered.
    pub completed: usize,
}

/// Results of all policies on one trace.
#[derive(Clone, Debug, Serialize)]
pub struct ExperimentReport {
    /// Name of the workload.
    pub workload: String,
    /// Seed of the trace.
    pub seed: u64,
    /// Names of the injected faults.
    pub faults: Vec<String>,
    /// One result per policy.
    pub results: Vec<PolicyResult>,
}

/// Counters of one policy's run.
#[derive(Clone, Debug, Default)]
pub struct Tally {
    /// Times to first token, in microseconds.
    pub ttft_us: Vec<u64>,
    /// Prompt tokens.
    pub prompt_tokens: u64,
    /// Prompt tokens that were cached.
    pub cached_tokens: u64,
    /// Prompt tokens that were prefilled although another engine had them cached.
    pub wasted_tokens: u64,
    /// Longest queue of any engine, in requests.
    pub max_queue: usize,
    /// Requests refused.
    pub refused: usize,
    /// Requests answered.
    pub completed: usize,
}

impl Tally {
    /// The result of a policy from its counters.
    pub fn result(mut self, policy: &str) -> PolicyResult {
        self.ttft_us.sort_unstable();
        let at = |share: f64| {
            let last = self.ttft_us.len().saturating_sub(1);
            let position = ((self.ttft_us.len() as f64 * share) as usize).min(last);
            self.ttft_us.get(position).copied().unwrap_or(0) as f64 / 1_000.0
        };
        let share = |tokens: u64| tokens as f64 / self.prompt_tokens.max(1) as f64;
        PolicyResult {
            policy: policy.to_owned(),
            hit_rate: share(self.cached_tokens),
            ttft_ms: TtftMs {
                p50: at(0.5),
                p95: at(0.95),
                p99: at(0.99),
            },
            wasted_recomputation: share(self.wasted_tokens),
            max_queue: self.max_queue,
            refused: self.refused,
            completed: self.completed,
        }
    }
}
