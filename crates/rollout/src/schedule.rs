//! The time of the cut-over: as late as needed for the exposure to stay within its
//! bound, whatever happens.
//!
//! A version may turn bad at the very end of a stage, and then all requests that it got
//! since the order count. So all traffic may move only once the time left until the
//! deadline fits what is left of the bound: with a share s held until time t of a
//! duration D, s·t + (D − t) ≤ share·D + slack / rate.

use crate::settings::{RolloutSettings, Strategy};
use ploverlift_policy::ids::Millis;
use std::collections::VecDeque;

/// Share that is held past the deadline, as a fraction of the share that a bad version
/// may get: the one that judges a version soonest and would still be within the bound if
/// each credit had two owners.
const HOLD_PAST_DEADLINE_FRACTION: f64 = 0.5;
/// Share that is held if all traffic may move before the deadline, as a fraction of the
/// same. Small, because what is used early is missing at the cut-over, but enough to
/// judge each route.
const HOLD_FRACTION: f64 = 0.2;
/// Shares of [`crate::settings::Strategy::Steps`], as fractions of the same.
const STEP_FRACTIONS: [f64; 3] = [0.2, 0.5, 0.8];
/// Fraction of the slack with which the canary begins before requests have earned it
/// credits, so that services with few requests are judged too.
const START_FRACTION: f64 = 0.4;
/// Fraction of the slack that is kept in reserve, for requests that nodes have sent but
/// not reported yet, and for retries.
const RESERVED_FRACTION: f64 = 0.2;
/// Factor by which the rate of requests may rise above the recent rate until the
/// deadline. A larger burst is noticed within half a second, and the cut-over is
/// reverted.
const RATE_MARGIN: f64 = 1.3;
/// Attempts at the target for each request that moves to it, including second attempts.
const ATTEMPTS_PER_REQUEST: f64 = 1.05;
/// Fraction of the share that a bad version may get, up to which a node's credits rise
/// where other nodes leave theirs unused.
const NODE_CAP_FRACTION: f64 = 0.7;
/// Time over which the recent rate is measured, in milliseconds.
const RATE_WINDOW_MS: u64 = 1_500;
/// Minimum time over which a rate can be measured, in milliseconds.
const MIN_RATE_WINDOW_MS: u64 = 800;

/// Whether an order leaves time to move all traffic within the bound before its
/// deadline, for a cut-over that takes `cut_over_ms`, counting the bound's share without
/// its slack.
pub fn can_end_in_time(settings: &RolloutSettings, duration_ms: u64, cut_over_ms: u64) -> bool {
    let share = settings.canary_share;
    let left = share * (1.0 - HOLD_FRACTION) * duration_ms as f64;
    let to_come = cut_over_ms as f64 * (RATE_MARGIN * ATTEMPTS_PER_REQUEST - share);
    settings.strategy != Strategy::HoldPastDeadline && to_come <= left
}

/// The initial share, in parts of a million.
pub fn first_share_ppm(settings: &RolloutSettings, duration_ms: u64, cut_over_ms: u64) -> u32 {
    let fraction = match can_end_in_time(settings, duration_ms, cut_over_ms) {
        true => HOLD_FRACTION,
        false => HOLD_PAST_DEADLINE_FRACTION,
    };
    (settings.canary_share * fraction * crate::stage::MILLION as f64) as u32
}

/// The next higher share of the steps, in parts of a million; `None` if this one is the
/// highest.
pub fn next_share_ppm(settings: &RolloutSettings, share_ppm: u32) -> Option<u32> {
    let million = crate::stage::MILLION as f64;
    let steps = STEP_FRACTIONS.map(|part| (settings.canary_share * part * million) as u32);
    steps.into_iter().find(|&step| step > share_ppm)
}

/// The share up to which a node's credits rise where other nodes leave theirs unused.
pub fn node_cap_share(settings: &RolloutSettings) -> f64 {
    settings.canary_share * NODE_CAP_FRACTION
}

/// The fleet's credits before the first request.
pub fn start_credits(settings: &RolloutSettings) -> u64 {
    (settings.canary_slack as f64 * START_FRACTION) as u64
}

/// The recent rate of requests, from cumulative counts.
#[derive(Clone, Debug, Default)]
pub struct RequestRate {
    samples: VecDeque<(Millis, u64)>,
}

impl RequestRate {
    /// Adds a sample: the number of requests known at this time.
    pub fn note(&mut self, requests: u64, now: Millis) {
        self.samples.push_back((now, requests));
        while self.samples.len() > 2 && now.since(self.samples[1].0) >= RATE_WINDOW_MS {
            self.samples.pop_front();
        }
    }

    /// Recent requests per millisecond; `None` until the samples span enough time.
    pub fn per_ms(&self) -> Option<f64> {
        let (first_at, first) = self.samples.front()?;
        let (last_at, last) = self.samples.back()?;
        let ms = last_at.since(*first_at);
        (ms >= MIN_RATE_WINDOW_MS).then(|| (last - first) as f64 / ms as f64)
    }
}

/// The exposure on which a cut-over is decided.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Exposure {
    /// Upper bound of the arrivals at the target since the order.
    pub target_arrivals: u64,
    /// Lower bound of the requests since the order.
    pub requests: u64,
    /// Recent requests per millisecond.
    pub rate_per_ms: f64,
    /// Upper bound of the time until the deadline, in milliseconds.
    pub remaining_ms: u64,
}

impl Exposure {
    /// Expected arrivals at the target by the deadline, in excess of the bound's share
    /// of the requests, if all requests go to it from now on.
    fn beyond_share(&self, settings: &RolloutSettings) -> f64 {
        let to_come = self.rate_per_ms * RATE_MARGIN * self.remaining_ms as f64;
        let arrivals = self.target_arrivals as f64 + to_come * ATTEMPTS_PER_REQUEST;
        arrivals - settings.canary_share * (self.requests as f64 + to_come)
    }

    /// Whether all requests may go to the target from now on, even if it turns out to be
    /// bad.
    pub fn may_move_all(&self, settings: &RolloutSettings) -> bool {
        if self.remaining_ms == 0 {
            return true;
        }
        let usable = settings.canary_slack as f64 * (1.0 - RESERVED_FRACTION);
        self.beyond_share(settings) <= usable
    }

    /// Whether a cut-over that has begun must be reverted, because the expected arrivals
    /// would use up the reserve too.
    pub fn must_stop(&self, settings: &RolloutSettings) -> bool {
        let beyond = self.beyond_share(settings);
        self.remaining_ms > 0 && beyond > settings.canary_slack as f64
    }
}
