//! The context of one decision, and the conclusions from its individual facts.

use crate::acceptance::is_first_byte_timely;
use crate::counts::Counts;
use crate::decision::{DeciderInput, Decision, Member, Reason};
use crate::finding::{Finding, Symptom};
use crate::schedule::{self, Exposure};
use crate::settings::RolloutSettings;
use crate::stage::{Progress, RollBackCause, Stage, MILLION};
use crate::supply::{established_versions, Supply};
use ploverlift_policy::ids::Millis;

/// Number of the target's answers on all routes that a cut-over requires.
const MIN_ANSWERS: u64 = 30;
/// Number of the target's answers that a cut-over requires on each significant route.
const MIN_ROUTE_ANSWERS: u64 = 8;
/// Divisor of all requests: a route with at least this part of them is significant.
const SIGNIFICANT_ROUTE_DIVISOR: u64 = 10;
/// Maximum time that a rollout waits for evidence or engines, in multiples of its
/// duration, from the order.
const MAX_WAIT_DURATIONS: u64 = 3;
/// Minimum time after the deadline for which it waits, in milliseconds.
const MIN_WAIT_AFTER_DEADLINE_MS: u64 = 10_000;
/// Number of engines that the target needs to carry all traffic, as a fraction of the
/// number of established engines.
const MIN_ENGINES_FRACTION: f64 = 0.75;
/// Maximum age of a reported arrival, in milliseconds: two report intervals and the time
/// of delivery.
const MAX_REPORT_AGE_MS: u64 = 500;
/// Time since the last report of a node after which its reports count as overdue, in
/// milliseconds: five reports.
const OVERDUE_AFTER_MS: u64 = 1_000;
/// Number of nodes that stopped because of their own answers alone from which the
/// version counts as bad. In a smaller fleet, all nodes whose reports arrive must have
/// stopped; after that, no more evidence arrives.
const STOPPED_NODES_LIMIT: usize = 3;
/// Time for which a single such node may block a cut-over, in milliseconds.
const STOPPED_NODE_WAIT_MS: u64 = 5_000;
/// A rollout is completed at the earliest this long before its deadline, in
/// milliseconds: a version that turns bad after its completion can't be rolled back, so
/// it is watched as long as possible. Enough for a write to the store and for an order
/// that was read late.
pub(crate) const COMPLETION_MARGIN_MS: u64 = 500;
/// Minimum time for which the target serves alone before it is completed, in
/// milliseconds: defects that show only under full load take a second or two to show.
pub(crate) const MIN_WATCH_MS: u64 = 3_000;

/// Minimum time of a cut-over, in milliseconds, for this barrier.
pub(crate) fn cut_over_ms(barrier_ms: u64) -> u64 {
    barrier_ms.max(MIN_WATCH_MS) + COMPLETION_MARGIN_MS
}

/// The context of one decision.
pub(crate) struct TransitionContext<'a> {
    pub(crate) settings: &'a RolloutSettings,
    pub(crate) progress: &'a Progress,
    pub(crate) input: &'a DeciderInput<'a>,
    pub(crate) supply: Supply,
}

impl<'a> TransitionContext<'a> {
    pub(crate) fn of(
        settings: &'a RolloutSettings,
        progress: &'a Progress,
        input: &'a DeciderInput<'a>,
    ) -> Self {
        Self {
            settings,
            progress,
            input,
            supply: Supply::of(input, progress),
        }
    }

    pub(crate) fn sums(&self) -> &Counts {
        self.input.counts.sums()
    }

    pub(crate) fn requests(&self) -> u64 {
        self.sums().requests().max(self.progress.requests)
    }

    /// Lower bound of the time since the order.
    fn elapsed_ms(&self) -> u64 {
        let input = self.input;
        let by_status = self
            .progress
            .elapsed_ms
            .saturating_add(input.now.since(input.status_seen_at));
        input.now.since(input.order_seen_at).max(by_status)
    }

    pub(crate) fn remaining_ms(&self) -> u64 {
        self.progress.duration_ms.saturating_sub(self.elapsed_ms())
    }

    /// Whether the target has served alone long enough, and as long as the deadline
    /// permits: a version that turns bad after its completion can't be rolled back.
    pub(crate) fn is_watch_complete(&self) -> bool {
        let time_in_stage_ms = self.input.now.since(self.input.status_seen_at);
        time_in_stage_ms >= MIN_WATCH_MS && self.remaining_ms() <= COMPLETION_MARGIN_MS
    }

    /// The initial share.
    pub(crate) fn first_share_ppm(&self) -> u32 {
        let cut_over_ms = cut_over_ms(self.input.barrier_ms);
        schedule::first_share_ppm(self.settings, self.progress.duration_ms, cut_over_ms)
    }

    pub(crate) fn is_wait_exhausted(&self) -> bool {
        let duration_ms = self.progress.duration_ms;
        let max_wait_ms = duration_ms
            .saturating_mul(MAX_WAIT_DURATIONS)
            .max(duration_ms.saturating_add(MIN_WAIT_AFTER_DEADLINE_MS));
        self.elapsed_ms() >= max_wait_ms
    }

    pub(crate) fn has_enough_engines(&self) -> bool {
        let needed = f64::from(self.supply.established) * MIN_ENGINES_FRACTION;
        self.supply.target > 0 && f64::from(self.supply.target) >= needed
    }

    /// Keeps the stage, or rolls back once the deadline has passed: then waiting gains
    /// nothing, and a bad version would keep answering.
    pub(crate) fn decide_under_suspicion(&self, finding: Finding) -> Decision {
        match self.remaining_ms() {
            0 => self.roll_back(RollBackCause::BadAnswers, Reason::Bad(finding)),
            _ => stay(Reason::Suspicious(finding)),
        }
    }

    /// Waits for engines. Rolls back at the deadline if there are none, or, if there are
    /// too few, once the maximum wait is over.
    pub(crate) fn decide_without_engines(&self) -> Decision {
        let has_none = self.supply.target == 0;
        if self.is_wait_exhausted() || (has_none && self.remaining_ms() == 0) {
            let cause = RollBackCause::NoEngines;
            return self.roll_back(cause, Reason::Abandoned(cause));
        }
        stay(Reason::AwaitingEngines {
            target: self.supply.target,
            established: self.supply.established,
        })
    }

    /// Waits for answers, and rolls back once the maximum wait is over; a version
    /// without proof is never completed.
    pub(crate) fn decide_without_proof(&self) -> Decision {
        if !self.is_wait_exhausted() {
            return stay(Reason::GatheringEvidence);
        }
        let cause = RollBackCause::NoProof;
        self.roll_back(cause, Reason::Abandoned(cause))
    }

    pub(crate) fn has_enough_answers(&self) -> bool {
        let sums = self.sums();
        let answers: u64 = sums.routes.values().map(|route| route.target.answers).sum();
        let significant_routes = sums.routes.values().filter(|route| {
            route.requests * SIGNIFICANT_ROUTE_DIVISOR >= sums.requests() && route.requests > 0
        });
        let has_min_answers =
            |route: &crate::counts::RouteCounts| route.target.answers >= MIN_ROUTE_ANSWERS;
        answers >= MIN_ANSWERS
            && significant_routes.into_iter().all(has_min_answers)
            && is_first_byte_timely(sums)
    }

    /// Requests per millisecond: the higher of the recent rate and the mean since the
    /// order.
    fn rate_per_ms(&self, recent: f64) -> f64 {
        let since_order = self.requests() as f64 / self.elapsed_ms().max(1) as f64;
        recent.max(since_order)
    }

    /// Upper bound of the target's arrivals: those known, those that nodes whose reports
    /// arrive may have sent since, and those that nodes whose reports are overdue may have
    /// sent within their highest credits.
    pub(crate) fn exposure(&self, recent_rate_per_ms: f64) -> Exposure {
        let rate_per_ms = self.rate_per_ms(recent_rate_per_ms);
        let share = match self.progress.stage {
            Stage::Canary { share_ppm } => f64::from(share_ppm) / MILLION as f64,
            _ => 1.0,
        };
        let known = self.sums().target_arrivals();
        let since_stage_ms = self.input.now.since(self.input.status_seen_at);
        let unreported = rate_per_ms * MAX_REPORT_AGE_MS.min(since_stage_ms) as f64 * share;
        let overdue = schedule::node_cap_share(self.settings)
            * self.requests() as f64
            * self.overdue_fraction();
        let arrivals = known.max(self.progress.target_arrivals);
        Exposure {
            target_arrivals: arrivals + (unreported + overdue).ceil() as u64,
            requests: self.requests(),
            rate_per_ms,
            remaining_ms: self.remaining_ms(),
        }
    }

    /// Fraction of the nodes whose reports are overdue.
    fn overdue_fraction(&self) -> f64 {
        let input = self.input;
        let is_overdue = |member: &&Member| {
            let last_heard_at = member.last_heard_at.unwrap_or(Millis(0));
            input.now.since(last_heard_at) > OVERDUE_AFTER_MS
        };
        let overdue = input.members.iter().filter(is_overdue).count();
        overdue as f64 / input.members.len().max(1) as f64
    }

    /// Number of nodes that must stop before the version counts as bad.
    fn stopped_nodes_threshold(&self) -> usize {
        let reporting = 1.0 - self.overdue_fraction();
        let reporting = (reporting * self.input.members.len() as f64).round() as usize;
        reporting.clamp(1, STOPPED_NODES_LIMIT)
    }

    /// A finding if the nodes that stopped because of their own answers alone are many
    /// or block a cut-over.
    pub(crate) fn stopped_nodes_finding(&self) -> Option<Finding> {
        let has_stopped = |member: &&Member| {
            let confirmation = member.confirmation;
            confirmation.is_some_and(|it| it.rollout == self.progress.rollout && it.has_stopped)
        };
        let stopped = self.input.members.iter().filter(has_stopped).count();
        let time_in_stage_ms = self.input.now.since(self.input.status_seen_at);
        let blocks_cut_over = stopped > 0
            && self.progress.stage == Stage::CuttingOver
            && time_in_stage_ms >= STOPPED_NODE_WAIT_MS;
        let target = self.sums().all_routes(crate::counts::Side::Target);
        let required = self.stopped_nodes_threshold();
        (stopped >= required || blocks_cut_over).then_some(Finding {
            symptom: Symptom::NodesStopped,
            route: None,
            answers: target.answers,
            bad: target.failures,
            borne_share: 0.0,
            evidence: stopped as f64,
            threshold: required as f64,
        })
    }

    /// Number of nodes that may still use established engines, and of the requests that
    /// they run there.
    pub(crate) fn unconfirmed_nodes(&self, decider_began_at: Millis) -> (u32, u32) {
        let unconfirmed_nodes = self.input.members.iter().filter(|member| {
            !self.has_confirmed(member) && !self.is_silent(member, decider_began_at)
        });
        unconfirmed_nodes.fold((0, 0), |(nodes, running), member| {
            let confirmation = member.confirmation;
            let more = confirmation.map_or(0, |it| it.running_on_established);
            (nodes + 1, running + more)
        })
    }

    fn has_confirmed(&self, member: &Member) -> bool {
        member.confirmation.is_some_and(|confirmation| {
            confirmation.rollout == self.progress.rollout
                && confirmation.epoch == self.progress.epoch
                && confirmation.has_left_established
                && confirmation.running_on_established == 0
        })
    }

    /// Whether a node has been silent for so long since the cut-over was stored that it
    /// serves nothing. Silence before that shows nothing: a node whose reports don't arrive may
    /// still receive the stage.
    fn is_silent(&self, member: &Member, decider_began_at: Millis) -> bool {
        let last_heard_at = member.last_heard_at.unwrap_or(decider_began_at);
        let silent_since = last_heard_at.max(self.input.status_seen_at);
        self.input.now.since(silent_since) > self.settings.silence_bound_ms
    }

    pub(crate) fn enter(&self, stage: Stage, reason: Reason) -> Decision {
        store_next(self.next_progress(stage), reason)
    }

    pub(crate) fn roll_back(&self, cause: RollBackCause, reason: Reason) -> Decision {
        self.enter(Stage::RolledBack { cause }, reason)
    }

    fn next_progress(&self, stage: Stage) -> Progress {
        let requests = self.requests();
        let requests_since_stage = requests.saturating_sub(self.progress.requests);
        let share_ppm = match self.progress.stage {
            Stage::Canary { share_ppm } => u64::from(share_ppm),
            _ => 0,
        };
        let target_arrivals = self.sums().target_arrivals();
        Progress {
            rollout: self.progress.rollout,
            epoch: self.progress.epoch.next(),
            stage,
            duration_ms: self.progress.duration_ms,
            elapsed_ms: self.elapsed_ms(),
            requests,
            target_arrivals: target_arrivals.max(self.progress.target_arrivals),
            credits: crate::credits::fleet_credits(
                requests_since_stage,
                share_ppm,
                self.progress.credits,
            ),
            avoided: self.progress.avoided.clone(),
            established: established_versions(&self.progress.established, self.input),
        }
    }
}

pub(crate) fn stay(reason: Reason) -> Decision {
    Decision { next: None, reason }
}

pub(crate) fn store_next(next: Progress, reason: Reason) -> Decision {
    Decision {
        next: Some(next),
        reason,
    }
}
