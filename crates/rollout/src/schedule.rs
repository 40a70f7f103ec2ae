//! When to cut over so that the exposure stays within its bound, whatever happens.
//!
//! A version may turn bad at the very end of a stage, and then all that it ever got
//! since the order counts. So all traffic may move only once what is left until the
//! deadline fits what is left of the bound: with a share s held until t of a duration
//! D, s·t + (D − t) ≤ share·D + slack / rate.

use crate::settings::{RolloutSettings, Strategy};
use ploverlift_policy::ids::Millis;
use std::collections::VecDeque;

/// Share that is held past the deadline, as a part of the share that a bad version may
/// get: as much as judges it soonest, and still within the bound where each credit had
/// two owners.
const HOLD_PAST_DEADLINE_FRACTION: f64 = 0.5;
/// Share that is held where all may move before the deadline: small, for what is used
/// early is lacking at the cut-over; enough to judge each route.
const HOLD_FRACTION: f64 = 0.2;
/// Shares of [`crate::settings::Strategy::Steps`], as parts of the same.
const STEP_FRACTIONS: [f64; 3] = [0.2, 0.5, 0.8];
/// Part of the slack with which the canary begins before requests have earned it
/// credits, so that small services are judged too.
const START_FRACTION: f64 = 0.4;
/// Part of the slack that no plan uses: what nodes have sent and not reported yet, and
/// retries.
const RESERVED_FRACTION: f64 = 0.2;
/// How much faster than lately requests may come until the deadline. A burst beyond that
/// is seen within half a second, and the cut-over is taken back.
const RATE_MARGIN: f64 = 1.3;
/// Second attempts at the target, for each request that moves to it.
const ATTEMPTS_PER_REQUEST: f64 = 1.05;
/// Part of the share that a bad version may get, up to which one node's credits go where
/// others leave theirs unused.
const NODE_CAP_FRACTION: f64 = 0.7;
/// Time over which the recent rate is taken, in milliseconds.
const RATE_WINDOW_MS: u64 = 1_500;
/// The shortest time that shows a rate, in milliseconds.
const MIN_RATE_WINDOW_MS: u64 = 800;

/// Whether an order leaves time to move all within the bound before its deadline, when a
/// cut-over takes so long, by the bound's share alone.
pub fn can_end_in_time(settings: &RolloutSettings, duration_ms: u64, cut_over_ms: u64) -> bool {
    let share = settings.canary_share;
    let left = share * (1.0 - HOLD_FRACTION) * duration_ms as f64;
    let to_come = cut_over_ms as f64 * (RATE_MARGIN * ATTEMPTS_PER_REQUEST - share);
    settings.strategy != Strategy::HoldPastDeadline && to_come <= left
}

/// The share to begin with, in parts of a million.
pub fn first_share_ppm(settings: &RolloutSettings, duration_ms: u64, cut_over_ms: u64) -> u32 {
    let part = match can_end_in_time(settings, duration_ms, cut_over_ms) {
        true => HOLD_FRACTION,
        false => HOLD_PAST_DEADLINE_FRACTION,
    };
    (settings.canary_share * part * crate::stage::MILLION as f64) as u32
}

/// The share after this one, in parts of a million; nothing when it is the last.
pub fn next_share_ppm(settings: &RolloutSettings, share_ppm: u32) -> Option<u32> {
    let million = crate::stage::MILLION as f64;
    let steps = STEP_FRACTIONS.map(|part| (settings.canary_share * part * million) as u32);
    steps.into_iter().find(|&step| step > share_ppm)
}

/// Share up to which one node's credits go where others leave theirs unused.
pub fn node_cap_share(settings: &RolloutSettings) -> f64 {
    settings.canary_share * NODE_CAP_FRACTION
}

/// Credits that the fleet has before any request.
pub fn start_credits(settings: &RolloutSettings) -> u64 {
    (settings.canary_slack as f64 * START_FRACTION) as u64
}

/// The rate of requests, by counts that only rise.
#[derive(Clone, Debug, Default)]
pub struct RequestRate {
    samples: VecDeque<(Millis, u64)>,
}

impl RequestRate {
    /// Takes in the requests known so far.
    pub fn note(&mut self, requests: u64, now: Millis) {
        self.samples.push_back((now, requests));
        while self.samples.len() > 2 && now.since(self.samples[1].0) >= RATE_WINDOW_MS {
            self.samples.pop_front();
        }
    }

    /// Requests in a millisecond, lately; nothing before it has been read long enough.
    pub fn per_ms(&self) -> Option<f64> {
        let (first_at, first) = self.samples.front()?;
        let (last_at, last) = self.samples.back()?;
        let ms = last_at.since(*first_at);
        (ms >= MIN_RATE_WINDOW_MS).then(|| (last - first) as f64 / ms as f64)
    }
}

/// What is known when a cut-over is weighed.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Exposure {
    /// Arrivals at the target since the order, at most.
    pub target_arrivals: u64,
    /// Requests since the order, at least.
    pub requests: u64,
    /// Requests in a millisecond, lately.
    pub rate_per_ms: f64,
    /// Time until the deadline, at most, in milliseconds.
    pub remaining_ms: u64,
}

impl Exposure {
    /// Arrivals at the target by the deadline beyond the requests' share, when all
    /// requests go to it from now on.
    fn beyond_share(&self, settings: &RolloutSettings) -> f64 {
        let to_come = self.rate_per_ms * RATE_MARGIN * self.remaining_ms as f64;
        let arrivals = self.target_arrivals as f64 + to_come * ATTEMPTS_PER_REQUEST;
        arrivals - settings.canary_share * (self.requests as f64 + to_come)
    }

    /// Whether all requests may go to the target from now on, even if it turns out bad.
    pub fn may_move_all(&self, settings: &RolloutSettings) -> bool {
        if self.remaining_ms == 0 {
            return true;
        }
        let usable = settings.canary_slack as f64 * (1.0 - RESERVED_FRACTION);
        self.beyond_share(settings) <= usable
    }

    /// Whether a cut-over that has begun must be taken back: what comes at this rate
    /// would use the reserve too.
    pub fn must_stop(&self, settings: &RolloutSettings) -> bool {
        let beyond = self.beyond_share(settings);
        self.remaining_ms > 0 && beyond > settings.canary_slack as f64
    }
}
