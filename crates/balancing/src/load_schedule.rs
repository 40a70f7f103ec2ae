//! When engines load new weights, and how many at a time.
//!
//! A load takes an engine out of service for a while and drops what it keeps,
//! so engines load as late as the bound allows: a version that is named
//! meanwhile is then loaded together with the one before. The engine whose
//! oldest missing version was named first is always next; in any other order an
//! engine at the end would never have its turn while new versions are named.

use ploverlift_policy::ids::Millis;

/// What the schedule depends on.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LoadPace {
    /// Time that one load takes, in milliseconds.
    pub load_ms: u64,
    /// Engines that load at the same time when that is enough.
    pub at_once: usize,
    /// Most engines that load at the same time.
    pub at_once_limit: usize,
}

/// Engines that may load now, given the deadlines of all that must: 0 while
/// there is time.
pub fn loads_now(deadlines: &[Millis], pace: &LoadPace, now: Millis) -> usize {
    if deadlines.is_empty() {
        return 0;
    }
    let mut sorted = deadlines.to_vec();
    sorted.sort();
    let limit = pace.at_once_limit.max(pace.at_once);
    let enough = (pace.at_once..=limit).find(|at_once| slack_ms(&sorted, *at_once, pace, now) >= 0);
    match enough {
        // There is time as long as the fewest at once are enough.
        Some(at_once) if at_once == pace.at_once => {
            let slack = slack_ms(&sorted, at_once, pace, now);
            if slack > 0 {
                0
            } else {
                at_once
            }
        }
        Some(at_once) => at_once,
        None => limit,
    }
}

/// Time that may still pass before the first load, in milliseconds; negative
/// when some engine will be late.
fn slack_ms(sorted: &[Millis], at_once: usize, pace: &LoadPace, now: Millis) -> i64 {
    let slacks = sorted.iter().enumerate().map(|(index, deadline)| {
        let rounds = (index / at_once.max(1) + 1) as u64;
        let done = now.plus(rounds * pace.load_ms);
        deadline.0 as i64 - done.0 as i64
    });
    slacks.min().unwrap_or(0)
}
