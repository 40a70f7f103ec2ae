//! Learns how many engines can load new weights concurrently without slowing each other.
//!
//! All engines fetch weights from the same place, so above some concurrency each load
//! takes longer. An engine that is loading serves no requests, so a higher concurrency
//! loses capacity and saves no time. The limit differs between sites and is not
//! configured anywhere. As in the congestion control of a transport protocol, the width
//! (the allowed concurrency) grows with each load that took the usual time and shrinks
//! with each one that took longer.

/// Growth of the width with each load at full width that took the usual time.
const GROWTH_STEP: f64 = 0.15;
/// Decrease of the width with each slowed load. It exceeds one growth step; otherwise the
/// width would settle where nearly half of the loads are slowed.
const SHRINK_STEP: f64 = 0.5;
/// Maximum distance from the concurrency allowed for a wave of loads to which the wave
/// moves the width. All loads of a wave give the same evidence, and where another limit
/// applies, they give none about much larger widths.
const MAX_STEP: f64 = 1.0;
/// Multiple of the usual time above which a load counts as slowed. Load times are
/// measured coarsely: reports are some tenths of a second apart, and a load takes about
/// half a second.
const SLOWED_MULTIPLE: f64 = 1.3;
/// Part of the allowed concurrency that must be in use for a load to change the width.
const FULL_SHARE: f64 = 0.75;
/// Minimum width.
const MIN_WIDTH: f64 = 1.0;
/// Weight of the newest load in the usual time when it took longer.
const SLOWER_WEIGHT: f64 = 0.05;
/// Weight of the newest load in the usual time when it took less.
const FASTER_WEIGHT: f64 = 0.3;

/// A finished load.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct FinishedLoad {
    /// Duration of the load, in milliseconds.
    pub took_ms: f64,
    /// Maximum number of engines that loaded concurrently during it, including itself.
    pub peak: usize,
}

/// The width learned from loads.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadWidth {
    width: f64,
    usual_ms: Option<f64>,
}

impl LoadWidth {
    /// Number of engines that may load concurrently: at least `least`, which the time
    /// bound requires, and otherwise at most `most`, which can be spared.
    pub fn width(&self, least: usize, most: usize) -> usize {
        (self.width as usize).clamp(least, most.max(least))
    }

    /// Duration of a load that other loads do not slow, in milliseconds.
    pub fn usual_ms(&self) -> Option<f64> {
        self.usual_ms
    }

    /// Number of engines that must load concurrently for `engines` to finish within
    /// `finish_ms`, from the duration of a load that others do not slow (`assumed_ms`
    /// until one was measured). With the duration of slowed loads, a larger width would
    /// raise the required width further.
    pub fn required_width(&self, engines: usize, assumed_ms: u64, finish_ms: u64) -> usize {
        let usual_ms = self.usual_ms.map_or(assumed_ms, |usual_ms| usual_ms as u64);
        (engines as u64 * usual_ms).div_ceil(finish_ms.max(1)) as usize
    }

    /// Records a load for which `at_once` engines were allowed to load concurrently.
    pub fn observe(&mut self, load: FinishedLoad, at_once: usize) {
        let usual_ms = self.usual_ms.unwrap_or(load.took_ms);
        let is_slowed = load.took_ms > usual_ms * SLOWED_MULTIPLE;
        let is_full = load.peak as f64 >= at_once as f64 * FULL_SHARE;
        // Concurrent loads do not show how long a load takes alone, unless the width is
        // already at its minimum.
        let weight = match load.took_ms < usual_ms {
            true => FASTER_WEIGHT,
            false if !is_full || self.width <= MIN_WIDTH => SLOWER_WEIGHT,
            false => 0.0,
        };
        self.usual_ms = Some(usual_ms + weight * (load.took_ms - usual_ms));
        if !is_full {
            return;
        }
        let width = self.width.max(at_once as f64);
        self.width = match is_slowed {
            true => {
                let lowest = (at_once as f64 - MAX_STEP).max(MIN_WIDTH);
                (self.width - SHRINK_STEP).max(lowest.min(self.width))
            }
            false => {
                let highest = at_once as f64 + MAX_STEP;
                (width + GROWTH_STEP).min(highest.max(width))
            }
        };
    }
}
