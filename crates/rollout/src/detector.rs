//! A sequential test that detects a rise of a rate whenever it occurs.
//!
//! The Shiryaev–Roberts statistic is a sum over all moments at which the rise may have
//! begun, so a version that turns bad late is detected as fast as one that is bad from
//! the start. While the rate is at most the tolerated one, the expected value of the
//! statistic is at most the number of steps; by Doob's inequality the chance that it
//! exceeds `steps / chance` at any time within that many steps is at most `chance`. The
//! bound holds for all looks together, not only for the last one.

/// Assumed rises of the rate, each as a part of the distance from the tolerated rate to
/// 1: a few per cent, some, half. Each has the same weight.
const RISES: [f64; 3] = [0.04, 0.15, 0.5];

/// The sequential test of one rate.
#[derive(Clone, Copy, Debug)]
pub struct ChangeDetector {
    log_sums: [f64; RISES.len()],
}

impl Default for ChangeDetector {
    fn default() -> Self {
        Self {
            log_sums: [f64::NEG_INFINITY; RISES.len()],
        }
    }
}

impl ChangeDetector {
    /// Adds the answers of one step and how many of them were bad, while a rate of
    /// `tolerated` may be bad. The evidence is divided by `design_effect` where answers
    /// are correlated.
    pub fn step(&mut self, answers: u64, bad: u64, tolerated: f64, design_effect: f64) {
        if answers == 0 {
            return;
        }
        let bad = bad.min(answers) as f64;
        let good = answers as f64 - bad;
        for (log_sum, rise) in self.log_sums.iter_mut().zip(RISES) {
            let raised = tolerated + rise * (1.0 - tolerated);
            let log_ratio =
                bad * (raised / tolerated).ln() + good * ((1.0 - raised) / (1.0 - tolerated)).ln();
            *log_sum = log_add_exp(0.0, *log_sum) + log_ratio / design_effect;
        }
    }

    /// Logarithm of the evidence for a rise of the rate.
    pub fn evidence(&self) -> f64 {
        let sum = self
            .log_sums
            .iter()
            .fold(f64::NEG_INFINITY, |sum, &log| log_add_exp(sum, log));
        sum - (RISES.len() as f64).ln()
    }
}

/// Logarithm of the evidence from which a rise counts as proven, when `tests` tests run
/// for `steps` steps and the chance that any of them errs is at most `error_chance`.
pub fn threshold(steps: u64, tests: usize, error_chance: f64) -> f64 {
    (steps.max(1) as f64).ln() + (tests.max(1) as f64).ln() - error_chance.ln()
}

fn log_add_exp(one: f64, other: f64) -> f64 {
    let (lower, higher) = if one < other {
        (one, other)
    } else {
        (other, one)
    };
    if lower == f64::NEG_INFINITY {
        return higher;
    }
    higher + (lower - higher).exp().ln_1p()
}
