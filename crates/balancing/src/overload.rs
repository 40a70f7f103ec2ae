//! When the engines of a service are overloaded, and which part of the requests to
//! refuse then.
//!
//! A queue that never empties delays every request and gains none: as many are answered
//! as without it, all of them late. So what requests wait at engines is compared with
//! what their routes aim at, as answers show it. While it stays over a part of that,
//! some requests are refused at once, which empties the queue for the others. Requests
//! of the least urgent rank go first; no rank loses a larger part than one below it.

use ploverlift_policy::ids::Millis;

/// Weight of the newest answer.
const NEWEST_WEIGHT: f64 = 0.15;
/// Time without an answer in which what is known halves, in milliseconds: while
/// requests are refused, few answers show that the queue is gone.
const HALF_LIFE_MS: f64 = 700.0;
/// Part refused for each objective of waiting beyond the bearable.
const GAIN: f64 = 0.5;
/// Part of the more urgent requests that is refused for each of the least urgent ones.
const URGENT_SHARE: f64 = 0.4;
/// A service has room while less than this part of its places is taken.
const ROOM_SHARE: f64 = 0.5;

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
pub struct Places {
    /// Requests there, of all nodes.
    pub requests: u64,
    /// Requests that they work on at once.
    pub slots: u64,
}

impl Places {
    /// Whether there is room: then nothing is refused, whatever answers show.
    pub fn have_room(&self) -> bool {
        (self.requests as f64) < self.slots as f64 * ROOM_SHARE
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

/// What answers of one service have shown.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Overload {
    waiting_objectives: f64,
    updated: Millis,
}

impl Overload {
    /// A request waited so long at its engine, beyond the time for its own reading.
    pub fn observe(&mut self, waited_ms: f64, objective_ms: u64, now: Millis) {
        let newest = waited_ms.max(0.0) / objective_ms.max(1) as f64;
        let known = self.waiting_objectives(now);
        self.waiting_objectives = known + NEWEST_WEIGHT * (newest - known);
        self.updated = now;
    }

    /// How long requests wait, as a multiple of their objective.
    pub fn waiting_objectives(&self, now: Millis) -> f64 {
        let age = now.since(self.updated) as f64;
        self.waiting_objectives * 0.5_f64.powf(age / HALF_LIFE_MS)
    }

    /// The part of the requests of an urgency that should be refused now.
    pub fn refused_share(&self, urgency: Urgency, limits: &OverloadLimits, now: Millis) -> f64 {
        let beyond = self.waiting_objectives(now) - limits.bearable_objectives;
        let share = (beyond * GAIN).clamp(0.0, limits.most_refused);
        match urgency {
            Urgency::Least => share,
            Urgency::Higher => share * URGENT_SHARE,
        }
    }

    /// Time in which the queue is expected to be bearable, in milliseconds.
    pub fn drained_after_ms(&self, objective_ms: u64, limits: &OverloadLimits, now: Millis) -> u64 {
        let beyond = self.waiting_objectives(now) - limits.bearable_objectives;
        (beyond.max(0.0) * objective_ms as f64) as u64
    }
}
