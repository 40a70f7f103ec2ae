//! When the engines of a service are overloaded, and which part of the requests to
//! refuse then.
//!
//! A queue that never empties delays every request and gains none: as many are answered
//! as without it, all of them late. So what requests wait at engines is compared with
//! what their routes aim at, as answers show it. While it stays over a part of that,
//! some requests are refused at once, which empties the queue for the others. Requests
//! of the least urgent rank go first: what their refusal frees is counted by what they
//! would have read, and the more urgent ones give only what is still missing. No rank
//! loses a larger part than one below it.

use ploverlift_policy::ids::Millis;

/// Weight of the newest answer.
const NEWEST_WEIGHT: f64 = 0.2;
/// Time without an answer in which what is known halves, in milliseconds: while
/// requests are refused, few answers show that the queue is gone.
const HALF_LIFE_MS: f64 = 700.0;
/// Part refused for each objective of waiting beyond the bearable.
const GAIN: f64 = 1.0;
/// Largest part of the more urgent requests that is refused for each of the least
/// urgent ones.
const URGENT_SHARE: f64 = 0.75;
/// Time in which the reading that was asked for counts half, in milliseconds: some
/// dozens of requests of a node, so that a change of the mix shows within seconds.
const DEMAND_HALF_LIFE_MS: f64 = 2_000.0;
/// Time for which the objective of the more urgent requests counts after one was asked
/// for, in milliseconds.
const URGENT_OBJECTIVE_TTL_MS: u64 = 2_000;
/// Part of the reading that the least urgent requests ask for, where none was asked for
/// yet.
const DEFAULT_LEAST_PART: f64 = 0.5;
/// Requests without a first byte from which on their ages count.
const MIN_WAITING: usize = 4;
/// What requests will have waited in the end, as a multiple of the median age of those
/// that still wait: they began at even distances.
const AGE_MULTIPLE: f64 = 2.0;
/// A service has room while less than this part of its places is taken.
const SPARE_SLOTS_SHARE: f64 = 0.5;

/// When to refuse.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct OverloadLimits {
    /// Waiting that is borne, as a part of the objective.
    pub bearable_objectives: f64,
    /// Largest part of the requests that is refused.
    pub most_refused: f64,
}

/// Requests and places of the engines that may serve a request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SlotOccupancy {
    /// Requests there, of all nodes.
    pub requests: u64,
    /// Requests that they work on at once.
    pub slots: u64,
}

impl SlotOccupancy {
    /// Whether there is room: then nothing is refused, whatever answers show.
    pub fn has_spare_slots(&self) -> bool {
        (self.requests as f64) < self.slots as f64 * SPARE_SLOTS_SHARE
    }
}

/// A request among those of its service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Urgency {
    /// Others of the service are less urgent.
    Higher,
    /// None is.
    Least,
}

/// The reading that requests of each urgency asked for lately, in milliseconds of an
/// engine's time; those that were refused count too.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
struct PrefillDemand {
    least_ms: f64,
    higher_ms: f64,
    updated: Millis,
    /// The shortest objective of the more urgent requests, and when one was asked for.
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

    /// What waiting is measured by: a route's own objective, or a shorter one of more
    /// urgent requests that wait in the same queues.
    fn objective_ms(&self, own_ms: u64, now: Millis) -> u64 {
        let urgent = self.urgent_objective;
        let recent = urgent.filter(|(_, at)| now.since(*at) < URGENT_OBJECTIVE_TTL_MS);
        recent.map_or(own_ms, |(shortest_ms, _)| shortest_ms.min(own_ms))
    }

    /// The part that the least urgent requests ask for.
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
    /// When the time for its own reading is over.
    since: Millis,
    objective_ms: u64,
}

/// What requests of one service have shown: answers, and those that still wait. Answers
/// are certain and come late, after the queue has grown.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Overload {
    answered_objectives: f64,
    updated: Millis,
    demand: PrefillDemand,
    waiting: Vec<Waiting>,
    next_number: u64,
}

impl Overload {
    /// A request came whose own reading takes so long, whether it is refused or not.
    pub fn record_demand(&mut self, urgency: Urgency, own_ms: f64, objective_ms: u64, now: Millis) {
        self.demand.add(urgency, own_ms, objective_ms, now);
    }

    /// A request was sent that needs so long for its own reading; gives its number.
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

    /// A request waits no longer: it was answered, or is over.
    pub fn end(&mut self, number: u64) {
        self.waiting.retain(|waiting| waiting.number != number);
    }

    /// A request waited so long at its engine, beyond the time for its own reading.
    pub fn observe(&mut self, waited_ms: f64, objective_ms: u64, now: Millis) {
        let objective_ms = self.demand.objective_ms(objective_ms, now);
        let newest = waited_ms.max(0.0) / objective_ms.max(1) as f64;
        let known = self.answered_objectives(now);
        self.answered_objectives = known + NEWEST_WEIGHT * (newest - known);
        self.updated = now;
    }

    /// How long requests wait, as a multiple of their objective.
    pub fn waiting_objectives(&self, now: Millis) -> f64 {
        self.answered_objectives(now)
            .max(self.unanswered_objectives(now))
    }

    fn answered_objectives(&self, now: Millis) -> f64 {
        let age = now.since(self.updated) as f64;
        self.answered_objectives * 0.5_f64.powf(age / HALF_LIFE_MS)
    }

    /// The median counts: engines that are lost hold a few requests for long.
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

    /// The part of the requests of an urgency that should be refused now.
    pub fn refused_share(&self, urgency: Urgency, limits: &OverloadLimits, now: Millis) -> f64 {
        let beyond = self.waiting_objectives(now) - limits.bearable_objectives;
        let shed_share = (beyond * GAIN).clamp(0.0, limits.most_refused);
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

    /// Time in which the queue is expected to be bearable, in milliseconds.
    pub fn drained_after_ms(&self, objective_ms: u64, limits: &OverloadLimits, now: Millis) -> u64 {
        let beyond = self.waiting_objectives(now) - limits.bearable_objectives;
        (beyond.max(0.0) * objective_ms as f64) as u64
    }
}
