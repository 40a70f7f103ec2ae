//! A sequential test that finds a rise of a rate whenever it happens.
//!
//! Shiryaev and Roberts' statistic, a sum over all moments at which the rise may have
//! begun, so a version that turns bad late is found as fast as one that is bad at once.
//! While the rate is at most the borne one, its expected value is the number of steps
//! or less; by Doob's inequality it ever passes `steps / chance` within so many steps
//! with at most that chance. That holds at each look, not at the last one only.

/// By how much of what is left to 1 the rate may have risen: a few of a hundred, some,
/// half. Each has the same weight.
const RISES: [f64; 3] = [0.04, 0.15, 0.5];

/// The test of one rate.
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
    /// Takes in one step's answers, bad ones among them, while `borne` of them may be
    /// bad. Evidence is divided by `design_effect` where answers hang together.
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

    /// Logarithm of the evidence for a rise.
    pub fn evidence(&self) -> f64 {
        let sum = self
            .log_sums
            .iter()
            .fold(f64::NEG_INFINITY, |sum, &log| log_add_exp(sum, log));
        sum - (RISES.len() as f64).ln()
    }
}

/// Evidence from which a rise counts as proven, as a logarithm, when `tests` tests run
/// for `steps` steps and one of them may err with a chance of `error_chance`.
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
