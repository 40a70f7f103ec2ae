//! Detects overload of a service's engines and computes which share of the requests to
//! refuse.
//!
//! A queue that never drains delays every request without raising throughput: the same
//! number is answered, all of them late. The measured wait at engines is therefore
//! compared with the objective of the routes. While it exceeds a configured part of the
//! objective, some requests are refused at once, which drains the queue for the others.
//! The least urgent requests are refused first. What their refusal frees is measured by
//! their prefill time, and more urgent requests are refused only for the remainder. No
//! rank loses a larger share than a less urgent one.

use ploverlift_policy::ids::Millis;

/// Weight of the newest answer in the average.
const NEWEST_WEIGHT: f64 = 0.2;
/// Half-life of the measured wait while there are no answers, in milliseconds: while
/// requests are refused, few answers show that the queue has drained.
const HALF_LIFE_MS: f64 = 700.0;
/// Share refused per objective of waiting beyond the bearable part.
const GAIN: f64 = 1.0;
/// Maximum refused share of the more urgent requests, as a part of the share of the least
/// urgent ones.
const URGENT_SHARE: f64 = 0.75;
/// Half-life of the recorded demand, in milliseconds: it covers some dozens of requests
/// of a node, so that a change of the mix shows within seconds.
const DEMAND_HALF_LIFE_MS: f64 = 2_000.0;
/// Time for which the objective of a more urgent request is used after it arrived, in
/// milliseconds.
const URGENT_OBJECTIVE_TTL_MS: u64 = 2_000;
/// Part of the demand assumed for the least urgent requests while none was recorded.
const DEFAULT_LEAST_PART: f64 = 0.5;
/// Minimum number of requests without a first byte for their ages to be used.
const MIN_WAITING: usize = 4;
/// Expected final wait as a multiple of the median age of the requests that still wait:
/// they were sent at even intervals.
const AGE_MULTIPLE: f64 = 2.0;
/// Engines have spare slots while less than this part of their slots is occupied.
const SPARE_SLOTS_SHARE: f64 = 0.5;

/// Limits of overload protection.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct OverloadLimits {
    /// Tolerated wait, as a part of the objective.
    pub bearable_objectives: f64,
    /// Maximum share of the requests that is refused.
    pub most_refused: f64,
}

/// Requests and slots of the engines that may serve a request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SlotOccupancy {
    /// Requests of all nodes at the engines.
    pub requests: u64,
    /// Requests that the engines process concurrently.
    pub slots: u64,
}

impl SlotOccupancy {
    /// Whether slots are spare; then nothing is refused, whatever wait the answers show.
    pub fn has_spare_slots(&self) -> bool {
        (self.requests as f64) < self.slots as f64 * SPARE_SLOTS_SHARE
    }
}

/// Rank of a request among those of its service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Urgency {
    /// Other requests of the service are less urgent.
    Higher,
    /// No other request of the service is less urgent.
    Least,
}

/// Recently requested prefill by urgency, in milliseconds of an engine's time. Refused
/// requests are included.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
struct PrefillDemand {
    least_ms: f64,
    higher_ms: f64,
    updated: Millis,
    /// The shortest objective of the more urgent requests, and when one last arrived.
    urgent_objective: Option<(u64, Millis)>,
}

impl PrefillDemand {
    fn add(&mut self, urgency: Urgency, own_ms: f64, objective_ms: u64, now: Millis) {
        let age = now.since(self.updated) as f64;
        let decay = 0.5_f64.powf(age / DEMAND_HALF_LIFE_MS);
        self.least_ms *= decay;
        self.higher_ms *= decay;
        self.updated = now;
        match urgency {
            Urgency::Least => self.least_ms += own_ms.max(0.0),
            Urgency::Higher => {
                self.higher_ms += own_ms.max(0.0);
                let shortest_ms = self.objective_ms(objective_ms, now);
                self.urgent_objective = Some((shortest_ms, now));
            }
        }
    }

    /// The objective that a wait is compared with: the route's own, or a shorter one of
    /// more urgent requests that wait in the same queues.
    fn objective_ms(&self, own_ms: u64, now: Millis) -> u64 {
        let urgent = self.urgent_objective;
        let recent = urgent.filter(|(_, at)| now.since(*at) < URGENT_OBJECTIVE_TTL_MS);
        recent.map_or(own_ms, |(shortest_ms, _)| shortest_ms.min(own_ms))
    }

    /// The part of the demand that comes from the least urgent requests.
    fn least_part(&self) -> f64 {
        let all_ms = self.least_ms + self.higher_ms;
        match all_ms > 0.0 {
            true => self.least_ms / all_ms,
            false => DEFAULT_LEAST_PART,
        }
    }
}

/// A request that waits for its first byte.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Waiting {
    number: u64,
    /// When the time for the request's own prefill is over.
    since: Millis,
    objective_ms: u64,
}

/// Measured waits of one service, from answers and from requests that still wait. Answers
/// are exact but arrive late, after the queue has grown.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Overload {
    answered_objectives: f64,
    updated: Millis,
    demand: PrefillDemand,
    waiting: Vec<Waiting>,
    next_number: u64,
}

impl Overload {
    /// Records an arriving request with the time of its own prefill, whether it is
    /// refused or not.
    pub fn record_demand(&mut self, urgency: Urgency, own_ms: f64, objective_ms: u64, now: Millis) {
        self.demand.add(urgency, own_ms, objective_ms, now);
    }

    /// Records a request that was sent, with the time of its own prefill, and returns its
    /// number.
    pub fn begin(&mut self, own_ms: f64, objective_ms: u64, now: Millis) -> u64 {
        let number = self.next_number;
        self.next_number += 1;
        self.waiting.push(Waiting {
            number,
            since: now.plus(own_ms.max(0.0) as u64),
            objective_ms: self.demand.objective_ms(objective_ms, now),
        });
        number
    }

    /// Removes a request that no longer waits because it was answered or has ended.
    pub fn end(&mut self, number: u64) {
        self.waiting.retain(|waiting| waiting.number != number);
    }

    /// Records the time for which a request waited at its engine beyond its own prefill.
    pub fn observe(&mut self, waited_ms: f64, objective_ms: u64, now: Millis) {
        let objective_ms = self.demand.objective_ms(objective_ms, now);
        let newest = waited_ms.max(0.0) / objective_ms.max(1) as f64;
        let known = self.answered_objectives(now);
        self.answered_objectives = known + NEWEST_WEIGHT * (newest - known);
        self.updated = now;
    }

    /// The wait of requests, as a multiple of their objective.
    pub fn waiting_objectives(&self, now: Millis) -> f64 {
        self.answered_objectives(now)
            .max(self.unanswered_objectives(now))
    }

    fn answered_objectives(&self, now: Millis) -> f64 {
        let age = now.since(self.updated) as f64;
        self.answered_objectives * 0.5_f64.powf(age / HALF_LIFE_MS)
    }

    /// Wait estimated from unanswered requests. It uses the median because lost engines
    /// hold a few requests for a long time.
    fn unanswered_objectives(&self, now: Millis) -> f64 {
        if self.waiting.len() < MIN_WAITING {
            return 0.0;
        }
        let ages = self
            .waiting
            .iter()
            .map(|waiting| now.since(waiting.since) as f64 / waiting.objective_ms.max(1) as f64);
        let mut ages: Vec<f64> = ages.collect();
        ages.sort_by(f64::total_cmp);
        ages[ages.len() / 2] * AGE_MULTIPLE
    }

    /// The share of the requests of an urgency that should be refused now.
    pub fn refused_share(&self, urgency: Urgency, limits: &OverloadLimits, now: Millis) -> f64 {
        let excess = self.waiting_objectives(now) - limits.bearable_objectives;
        let shed_share = (excess * GAIN).clamp(0.0, limits.most_refused);
        let least_part = self.demand.least_part();
        let least = match shed_share < least_part * limits.most_refused {
            true => shed_share / least_part,
            false if shed_share > 0.0 => limits.most_refused,
            false => 0.0,
        };
        match urgency {
            Urgency::Least => least,
            Urgency::Higher => {
                let remaining_share = (shed_share - least * least_part).max(0.0);
                let higher_part = 1.0 - least_part;
                let needed = remaining_share / higher_part.max(f64::EPSILON);
                needed.min(least * URGENT_SHARE)
            }
        }
    }

    /// Time until the queue is expected to drain to the bearable wait, in milliseconds.
    pub fn drained_after_ms(&self, objective_ms: u64, limits: &OverloadLimits, now: Millis) -> u64 {
        let excess = self.waiting_objectives(now) - limits.bearable_objectives;
        (excess.max(0.0) * objective_ms as f64) as u64
    }
}
