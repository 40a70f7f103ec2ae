//! Schedules when engines load new weights, and how many load concurrently.
//!
//! A load takes an engine out of service for a while and drops its cache, so engines load
//! as late as the bound allows: a version that is published in the meantime is then
//! loaded together with the previous one. The engine whose oldest missing version was
//! published first is always next; in any other order, the last engine would never load
//! while new versions keep being published.

use ploverlift_policy::ids::Millis;

/// Parameters of the schedule.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LoadPace {
    /// Duration of one load, in milliseconds.
    pub load_ms: u64,
    /// Engines that load concurrently when that is sufficient.
    pub at_once: usize,
    /// Maximum number of engines that load concurrently.
    pub at_once_limit: usize,
}

/// Number of engines that may load now, given the deadlines of all engines that must
/// load; 0 while there is time.
pub fn loads_now(deadlines: &[Millis], pace: &LoadPace, now: Millis) -> usize {
    if deadlines.is_empty() {
        return 0;
    }
    let mut sorted = deadlines.to_vec();
    sorted.sort();
    let limit = pace.at_once_limit.max(pace.at_once);
    let enough = (pace.at_once..=limit).find(|at_once| slack_ms(&sorted, *at_once, pace, now) >= 0);
    match enough {
        // There is time left as long as the lowest concurrency is sufficient.
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

/// Time until the first load must begin, in milliseconds; negative when some engine will
/// be late.
fn slack_ms(sorted: &[Millis], at_once: usize, pace: &LoadPace, now: Millis) -> i64 {
    let slacks = sorted.iter().enumerate().map(|(index, deadline)| {
        let rounds = (index / at_once.max(1) + 1) as u64;
        let done = now.plus(rounds * pace.load_ms);
        deadline.0 as i64 - done.0 as i64
    });
    slacks.min().unwrap_or(0)
}
