//! An oracle that counts the requests that arrive at engines.

use crate::support::engine::StandInEngine;
use std::time::{Duration, Instant};

/// The window over which arrivals are counted.
const WINDOW: Duration = Duration::from_secs(4);
/// Time after the first naming of a limit from which it has to hold.
pub const GRACE_PERIOD: Duration = Duration::from_secs(3);

/// Maximum number of requests that an engine may get in one window: one and a half times
/// what its rate allows, plus five.
pub fn max_in_window(per_second: f64) -> usize {
    (1.5 * WINDOW.as_secs_f64() * per_second + 5.0) as usize
}

/// The largest number of requests that an engine got in any window that begins after
/// `from`.
pub fn busiest_window(engine: &StandInEngine, from: Instant) -> usize {
    let times = engine.arrival_times();
    let first = times.partition_point(|at| *at < from);
    let times = &times[first..];
    let in_window = times.iter().enumerate().map(|(first, began)| {
        let end = times.partition_point(|at| *at <= *began + WINDOW);
        end - first
    });
    in_window.max().unwrap_or(0)
}

/// Number of requests that an engine got in this span.
pub fn arrivals_in(engine: &StandInEngine, from: Instant, span: Duration) -> usize {
    let times = engine.arrival_times();
    let times = times.iter();
    times
        .filter(|at| **at >= from && **at < from + span)
        .count()
}
