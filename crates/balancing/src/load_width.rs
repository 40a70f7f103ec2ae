//! How many engines load new weights at once without slowing each other, learned from
//! the loads themselves.
//!
//! All engines fetch weights from the same place, so beyond some number each load takes
//! longer, and an engine that loads serves nobody: going wider than that number loses
//! work and gains no time. It differs from site to site and is on no record. As a
//! transport finds the rate of a path, the width grows with each load that took the
//! usual time and shrinks with each that took longer.

/// Growth of the width with each load at full width that took the usual time.
const GROWTH_STEP: f64 = 0.15;
/// Shrinking with each that took longer: more than one growth, or the width settles
/// where nearly half of the loads are slowed.
const SHRINK_STEP: f64 = 0.5;
/// Furthest from what was allowed at once that the loads of one wave move the width.
/// They all show the same, and where something else holds the width down, nothing shows
/// what lies far above it.
const MAX_STEP: f64 = 1.0;
/// A load is slowed when it takes longer than this multiple of the usual time. Reports
/// are some tenths of a second apart, and loads take half a second.
const SLOWED_MULTIPLE: f64 = 1.3;
/// Part of the width from which on a load shows anything about it.
const FULL_SHARE: f64 = 0.75;
/// Narrowest width.
const MIN_WIDTH: f64 = 1.0;
/// Weight of the newest load in the usual time, where it took longer.
const SLOWER_WEIGHT: f64 = 0.05;
/// The same where it took less.
const FASTER_WEIGHT: f64 = 0.3;

/// One load that is over.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct FinishedLoad {
    /// How long it took, in milliseconds.
    pub took_ms: f64,
    /// Most engines that loaded at the same time during it, itself included.
    pub peak: usize,
}

/// The width, as loads have shown it.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadWidth {
    width: f64,
    usual_ms: Option<f64>,
}

impl LoadWidth {
    /// Engines that may load at once: at least `least`, what the bound on time asks for,
    /// and at most `most`, what can be spared.
    pub fn width(&self, least: usize, most: usize) -> usize {
        (self.width as usize).clamp(least, most.max(least))
    }

    /// Time that a load takes while others do not slow it, in milliseconds.
    pub fn usual_ms(&self) -> Option<f64> {
        self.usual_ms
    }

    /// Engines that must load at once so that so many have loaded within `finish_ms`, by
    /// the time that a load takes while others do not slow it (`assumed_ms` before one was
    /// seen). By the time that slowed loads take, going wider would ask for more width.
    pub fn needed(&self, engines: usize, assumed_ms: u64, finish_ms: u64) -> usize {
        let usual_ms = self.usual_ms.map_or(assumed_ms, |usual_ms| usual_ms as u64);
        (engines as u64 * usual_ms).div_ceil(finish_ms.max(1)) as usize
    }

    /// Takes in a load; `at_once` engines were allowed to load at the same time.
    pub fn observe(&mut self, load: FinishedLoad, at_once: usize) {
        let usual_ms = self.usual_ms.unwrap_or(load.took_ms);
        let is_slowed = load.took_ms > usual_ms * SLOWED_MULTIPLE;
        let is_full = load.peak as f64 >= at_once as f64 * FULL_SHARE;
        // What loads take side by side does not show what they take alone, unless
        // they go no narrower.
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
