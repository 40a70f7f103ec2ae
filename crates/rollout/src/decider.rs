//! The lease holder's state machine: from counts and confirmations to the next stage.
//!
//! Each decision is a pure function of what is stored, counted and confirmed, apart from
//! the tests of the evidence, which a successor begins anew with all counts so far. The
//! next progress is stored on the condition of the revision that was read, so of two
//! deciders one writes, and no stage follows an end.

use crate::counts::{Counts, FleetCounts};
use crate::evidence::{
    is_accepted, many_suspicious_answers, Assurance, Evidence, Finding, Symptom,
};
use crate::order::RolloutOrder;
use crate::schedule::{self, Exposure, RequestRate};
use crate::settings::{RolloutSettings, Strategy};
use crate::share::Confirmation;
use crate::stage::{
    Epoch, Progress, ProgressError, Recorded, RollBackCause, RolloutNumber, Stage, MILLION,
};
use ploverlift_balancing::peer_loads::PeerId;
use ploverlift_policy::ids::Millis;
use ploverlift_routing::software::SoftwareVersion;

/// Answers of the target in all that a cut-over needs.
const ENOUGH_ANSWERS: u64 = 30;
/// Answers of the target on each route that has a part of the requests worth judging.
const ENOUGH_ROUTE_ANSWERS: u64 = 8;
/// Part of the requests that makes a route worth judging: one of so many.
const ROUTE_WORTH_JUDGING: u64 = 10;
/// Part of the evidence of a proof from which no stage goes forward, and at which a
/// version is rolled back once its deadline has passed.
const SUSPICION_PART: f64 = 0.65;
/// How often its duration a rollout waits for evidence or engines, from the order.
const PATIENCE_DURATIONS: u64 = 3;
/// Time after the deadline for which it waits at least, in milliseconds.
const MIN_PATIENCE_MS: u64 = 10_000;
/// Part of the established engines that the target must have to carry all.
const ENOUGH_ENGINES_PART: f64 = 0.75;
/// Time for which the target may have no engine in a cut-over, in milliseconds.
const ENGINES_GONE_MS: u64 = 1_000;
/// The same from which many bad answers need no more proof.
const SUSPICION_PART_WITH_MANY: f64 = 0.4;
/// Time before the deadline at which a rollout is completed at the earliest, in
/// milliseconds: a version that turns bad later can't be rolled back, so it is watched
/// as long as it may. Enough for a write of the store and an order that was seen late.
const COMPLETE_BEFORE_MS: u64 = 500;
/// Time for which the target serves alone before it is completed, where no deadline is
/// to be kept any more, in milliseconds.
const WATCH_MS: u64 = 3_000;
/// Time between two steps up, in milliseconds.
const SHARE_STEP_MS: u64 = 1_000;
/// Time that a reported arrival may be old, in milliseconds: two reports and their way.
const REPORT_AGE_MS: u64 = 500;
/// Silence from which a node counts as unheard, in milliseconds: five reports.
const HEARD_LATELY_MS: u64 = 1_000;
/// Nodes that stopped by what they saw alone, for which the version counts as bad; in a
/// smaller fleet, all that are heard: once all have stopped, no more evidence
/// comes.
const STOPPED_NODES: usize = 3;
/// Time for which a single one may hold a cut-over up, in milliseconds.
const STOPPED_NODE_PATIENCE_MS: u64 = 2_000;

/// A node of the fleet, as the decider knows it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Member {
    /// The node.
    pub node: PeerId,
    /// When it was heard last, on the decider's clock; nothing if never.
    pub heard_at: Option<Millis>,
    /// What it said last of the rollout.
    pub confirmation: Option<Confirmation>,
}

/// Engines of one version that could serve now.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct VersionSupply {
    /// The version.
    pub version: SoftwareVersion,
    /// Engines that are up, stay, and have the weights that are required; 0 for a version
    /// of which there are records only.
    pub engines: u32,
}

/// What the decider sees.
#[derive(Clone, Copy, Debug)]
pub struct DeciderInput<'a> {
    /// The time on the decider's clock.
    pub now: Millis,
    /// The order as read last, with its status.
    pub order: &'a RolloutOrder,
    /// When this node saw this order first, on its clock.
    pub order_seen_at: Millis,
    /// When this node saw the present status first, on its clock.
    pub status_seen_at: Millis,
    /// Counts of the fleet; of the rollout that is recorded, else empty.
    pub counts: &'a FleetCounts,
    /// All nodes that the platform lists or that were heard lately, this one too.
    pub members: &'a [Member],
    /// Engines of the service, by version.
    pub engines: &'a [VersionSupply],
    /// Time that requests on established engines and the news of a stage take to come
    /// to their ends, p99, in milliseconds.
    pub barrier_ms: u64,
}

/// Why a stage is to follow, or the present one stays; for the log line.
#[derive(Clone, Debug, PartialEq)]
pub enum Reason {
    /// A new order.
    Ordered,
    /// A new order for the version that served before the order it supersedes.
    OrderedBack,
    /// Evidence is gathered.
    GatheringEvidence,
    /// The evidence suffices; the time for the cut-over has not come.
    AwaitingExposure,
    /// The target has not enough engines.
    AwaitingEngines {
        /// That could serve now.
        target: u32,
        /// Of established versions.
        established: u32,
    },
    /// The share rises.
    ShareRaised,
    /// All may move within the bound.
    MayCutOver,
    /// More requests came than expected: moving all would break the bound.
    ExposureAhead,
    /// Nodes have not confirmed yet.
    AwaitingNodes {
        /// How many.
        nodes: u32,
        /// Requests that they have on established engines.
        running: u32,
    },
    /// Every node has confirmed, or been silent long enough.
    AllConfirmed,
    /// The target may be bad: no stage goes forward.
    Suspicious(Finding),
    /// The target is bad.
    Bad(Finding),
    /// It ends without a verdict on the version.
    Abandoned(RollBackCause),
    /// Nothing is left to decide.
    Ended,
}

/// What to write next, and why.
#[derive(Clone, Debug, PartialEq)]
pub struct Decision {
    /// The progress to store, on the condition of the revision that was read; nothing
    /// when the present one stays.
    pub next: Option<Progress>,
    /// Why.
    pub reason: Reason,
}

/// Decides over one service's rollouts while its node holds the lease.
#[derive(Clone, Debug)]
pub struct Decider {
    settings: RolloutSettings,
    present: Option<PresentRollout>,
}

/// What a decider has learned of the rollout that it decides on.
#[derive(Clone, Debug)]
struct PresentRollout {
    number: RolloutNumber,
    evidence: Evidence,
    rate: RequestRate,
    began_at: Millis,
    target_gone_since: Option<Millis>,
    /// Counts when all traffic moved, as this decider saw them.
    at_cut_over: Option<(Epoch, Counts)>,
}

impl PresentRollout {
    fn of(progress: &Progress, now: Millis) -> Self {
        Self {
            number: progress.rollout,
            evidence: Evidence::lasting(progress.duration_ms),
            rate: RequestRate::default(),
            began_at: now,
            target_gone_since: None,
            at_cut_over: None,
        }
    }
}

impl Decider {
    /// A decider that has seen nothing yet: of a node that has just got the lease.
    pub fn new(settings: RolloutSettings) -> Self {
        Self {
            settings,
            present: None,
        }
    }

    /// What is to follow. Call it at each tick (some 100 ms) and when counts,
    /// confirmations or the order change.
    pub fn decide(&mut self, input: &DeciderInput<'_>) -> Result<Decision, ProgressError> {
        let recorded = Recorded::of(input.order)?;
        let progress = match recorded {
            Recorded::Present(progress) => progress,
            older => return Ok(self.begin(&older, input)),
        };
        if progress.stage.is_end() {
            self.present = None;
            return Ok(stay(Reason::Ended));
        }
        Ok(self.go_on(&progress, input))
    }

    /// The first stage of an order that supersedes what is recorded.
    fn begin(&mut self, recorded: &Recorded, input: &DeciderInput<'_>) -> Decision {
        self.present = None;
        let order = input.order;
        let (number, epoch) = match recorded {
            Recorded::OfOlderOrder(older) | Recorded::Present(older) => {
                (older.rollout.0 + 1, older.epoch.0 + 1)
            }
            Recorded::Nothing => (0, 0),
        };
        let avoided = avoided_versions(recorded, order);
        let mut next = Progress {
            rollout: RolloutNumber(number.max(order.revision)),
            epoch: Epoch(epoch.max(order.revision)),
            stage: Stage::Canary {
                share_ppm: schedule::first_share_ppm(&self.settings),
            },
            duration_ms: order.duration_ms,
            elapsed_ms: input.now.since(input.order_seen_at),
            requests: 0,
            target_arrivals: 0,
            credits: schedule::start_credits(&self.settings),
            avoided,
            established: established_versions(&[], input),
        };
        if order.duration_ms == 0 || order.target.0.is_empty() {
            let cause = RollBackCause::OrderDoesNotFit;
            next.stage = Stage::RolledBack { cause };
            return write(next, Reason::Abandoned(cause));
        }
        let supply = Supply::of(input, &next);
        let is_serving_already = !next.avoided.is_empty() && supply.target > 0;
        if is_serving_already && supply.established == 0 {
            next.stage = Stage::CuttingOver;
            return write(next, Reason::OrderedBack);
        }
        write(next, Reason::Ordered)
    }

    fn go_on(&mut self, progress: &Progress, input: &DeciderInput<'_>) -> Decision {
        let is_known = self
            .present
            .as_ref()
            .is_some_and(|present| present.number == progress.rollout);
        let mut present = match self.present.take() {
            Some(present) if is_known => present,
            _ => PresentRollout::of(progress, input.now),
        };
        let settings = self.settings;
        let weighing = Weighing::of(&settings, progress, input);
        present.take_in(&weighing);
        let decision = match present.bad(&weighing) {
            Some(finding) => weighing.roll_back(RollBackCause::BadAnswers, Reason::Bad(finding)),
            None => present.next_stage(&weighing),
        };
        self.present = Some(present);
        decision
    }
}

impl PresentRollout {
    fn take_in(&mut self, weighing: &Weighing<'_>) {
        self.rate.note(weighing.requests(), weighing.input.now);
        let has_target = weighing.supply.target > 0;
        self.target_gone_since = match has_target {
            true => None,
            false => self.target_gone_since.or(Some(weighing.input.now)),
        };
        let epoch = weighing.progress.epoch;
        let is_noted = self
            .at_cut_over
            .as_ref()
            .is_some_and(|(at, _)| *at == epoch);
        if weighing.progress.stage == Stage::CuttingOver && !is_noted {
            self.at_cut_over = Some((epoch, weighing.sums().clone()));
        }
    }

    /// The strongest evidence against the version, when it is so much of a proof.
    fn suspicion_of(&self, part: f64) -> Option<Finding> {
        let strongest = self.evidence.strongest()?;
        let is_suspicious = strongest.evidence >= part * strongest.threshold;
        is_suspicious.then_some(strongest)
    }

    fn is_accepted(&self, weighing: &Weighing<'_>) -> bool {
        let Some((_, at_cut_over)) = &self.at_cut_over else {
            return false;
        };
        let assurance = match weighing.remaining_ms() {
            0 => Assurance::Full,
            _ => Assurance::InHaste,
        };
        let since_cut_over = weighing.sums().since(at_cut_over);
        is_accepted(weighing.sums(), &since_cut_over, assurance)
    }

    fn bad(&mut self, weighing: &Weighing<'_>) -> Option<Finding> {
        let is_cutting_over = weighing.progress.stage == Stage::CuttingOver;
        let now = weighing.input.now;
        let by_counts = self.evidence.take(weighing.sums(), is_cutting_over, now);
        let suspicion = self.suspicion_of(SUSPICION_PART_WITH_MANY);
        let by_suspicion = suspicion.and_then(|_| many_suspicious_answers(weighing.sums()));
        by_counts
            .or(by_suspicion)
            .or_else(|| weighing.stopped_nodes())
    }

    fn next_stage(&self, weighing: &Weighing<'_>) -> Decision {
        match weighing.progress.stage {
            Stage::Canary { share_ppm } => self.after_canary(weighing, share_ppm),
            Stage::CuttingOver => self.after_cut_over(weighing),
            Stage::Completed | Stage::RolledBack { .. } => stay(Reason::Ended),
        }
    }

    fn after_canary(&self, weighing: &Weighing<'_>, share_ppm: u32) -> Decision {
        if !weighing.has_enough_engines() {
            return weighing.without_engines();
        }
        let is_patient = !weighing.is_patience_over();
        if let Some(finding) = self.suspicion_of(SUSPICION_PART) {
            return weighing.under_suspicion(finding);
        }
        if is_patient && !weighing.has_enough_answers() {
            return stay(Reason::GatheringEvidence);
        }
        if self.is_time_to_cut_over(weighing) {
            return weighing.go_to(Stage::CuttingOver, Reason::MayCutOver);
        }
        match self.raised_share_ppm(weighing, share_ppm) {
            Some(share_ppm) => weighing.go_to(Stage::Canary { share_ppm }, Reason::ShareRaised),
            None => stay(Reason::AwaitingExposure),
        }
    }

    /// Within the bound whatever happens; and before the deadline only if the cut-over
    /// can end by then, else it gains nothing.
    fn is_time_to_cut_over(&self, weighing: &Weighing<'_>) -> bool {
        let may_be_early = weighing.settings.strategy != Strategy::HoldPastDeadline;
        let is_in_time = may_be_early
            && weighing.remaining_ms() >= weighing.input.barrier_ms + COMPLETE_BEFORE_MS;
        let is_over = weighing.remaining_ms() == 0;
        is_over || (is_in_time && self.may_move_all(weighing))
    }

    fn may_move_all(&self, weighing: &Weighing<'_>) -> bool {
        let Some(rate_per_ms) = self.rate.per_ms() else {
            return false;
        };
        weighing
            .exposure(rate_per_ms)
            .may_move_all(weighing.settings)
    }

    fn raised_share_ppm(&self, weighing: &Weighing<'_>, share_ppm: u32) -> Option<u32> {
        let settings = weighing.settings;
        let since = weighing.input.now.since(weighing.input.status_seen_at);
        if settings.strategy != Strategy::Steps || since < SHARE_STEP_MS {
            return None;
        }
        schedule::next_share_ppm(settings, share_ppm)
    }

    fn after_cut_over(&self, weighing: &Weighing<'_>) -> Decision {
        let now = weighing.input.now;
        let gone = self.target_gone_since;
        let is_gone = gone.is_some_and(|since| now.since(since) >= ENGINES_GONE_MS);
        if is_gone && weighing.supply.established > 0 {
            let cause = RollBackCause::NoEngines;
            return weighing.roll_back(cause, Reason::Abandoned(cause));
        }
        let rate_per_ms = self.rate.per_ms().unwrap_or(0.0);
        let exposure = weighing.exposure(rate_per_ms);
        let has_established = weighing.supply.established > 0;
        if has_established && exposure.must_stop(weighing.settings) {
            let share_ppm = schedule::first_share_ppm(weighing.settings);
            return weighing.go_to(Stage::Canary { share_ppm }, Reason::ExposureAhead);
        }
        if let Some(finding) = self.suspicion_of(SUSPICION_PART) {
            return weighing.under_suspicion(finding);
        }
        let (nodes, running) = weighing.awaited(self.began_at);
        if nodes > 0 {
            return stay(Reason::AwaitingNodes { nodes, running });
        }
        let is_accepted = self.is_accepted(weighing) || weighing.is_patience_over();
        if !weighing.is_watched_enough() || !is_accepted {
            return stay(Reason::GatheringEvidence);
        }
        weighing.go_to(Stage::Completed, Reason::AllConfirmed)
    }
}

/// Engines of the service, as a rollout sees them.
#[derive(Clone, Copy, Debug)]
struct Supply {
    target: u32,
    established: u32,
}

impl Supply {
    fn of(input: &DeciderInput<'_>, progress: &Progress) -> Self {
        let mut supply = Self {
            target: 0,
            established: 0,
        };
        for version in input.engines {
            if version.version == input.order.target {
                supply.target += version.engines;
            } else if !progress.avoided.contains(&version.version) {
                supply.established += version.engines;
            }
        }
        supply
    }
}

/// All that one decision is made by.
struct Weighing<'a> {
    settings: &'a RolloutSettings,
    progress: &'a Progress,
    input: &'a DeciderInput<'a>,
    supply: Supply,
}

impl<'a> Weighing<'a> {
    fn of(
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

    fn sums(&self) -> &Counts {
        self.input.counts.sums()
    }

    fn requests(&self) -> u64 {
        self.sums().requests().max(self.progress.requests)
    }

    /// Time since the order, at least.
    fn elapsed_ms(&self) -> u64 {
        let input = self.input;
        let by_status = self.progress.elapsed_ms + input.now.since(input.status_seen_at);
        input.now.since(input.order_seen_at).max(by_status)
    }

    fn remaining_ms(&self) -> u64 {
        self.progress.duration_ms.saturating_sub(self.elapsed_ms())
    }

    /// Whether the target has served alone for so long as the deadline lets it: a version
    /// that turns bad after its completion can't be rolled back.
    fn is_watched_enough(&self) -> bool {
        let since = self.input.now.since(self.input.status_seen_at);
        match self.remaining_ms() {
            0 => since >= WATCH_MS,
            remaining_ms => remaining_ms <= COMPLETE_BEFORE_MS,
        }
    }

    fn is_patience_over(&self) -> bool {
        let duration_ms = self.progress.duration_ms;
        let patience_ms = (PATIENCE_DURATIONS * duration_ms).max(duration_ms + MIN_PATIENCE_MS);
        self.elapsed_ms() >= patience_ms
    }

    fn has_enough_engines(&self) -> bool {
        let needed = f64::from(self.supply.established) * ENOUGH_ENGINES_PART;
        self.supply.target > 0 && f64::from(self.supply.target) >= needed
    }

    /// Goes no further; and back once the deadline has passed, for then nothing is gained
    /// by waiting, and a bad version would go on answering.
    fn under_suspicion(&self, finding: Finding) -> Decision {
        match self.remaining_ms() {
            0 => self.roll_back(RollBackCause::BadAnswers, Reason::Bad(finding)),
            _ => stay(Reason::Suspicious(finding)),
        }
    }

    /// Waits for engines until the deadline; then it ends without any, or, with too few,
    /// when patience is over.
    fn without_engines(&self) -> Decision {
        let has_none = self.supply.target == 0;
        if self.is_patience_over() || (has_none && self.remaining_ms() == 0) {
            let cause = RollBackCause::NoEngines;
            return self.roll_back(cause, Reason::Abandoned(cause));
        }
        stay(Reason::AwaitingEngines {
            target: self.supply.target,
            established: self.supply.established,
        })
    }

    fn has_enough_answers(&self) -> bool {
        let sums = self.sums();
        let answers: u64 = sums.routes.values().map(|route| route.target.answers).sum();
        let judged = sums.routes.values().filter(|route| {
            route.requests * ROUTE_WORTH_JUDGING >= sums.requests() && route.requests > 0
        });
        let each_enough =
            |route: &crate::counts::RouteCounts| route.target.answers >= ENOUGH_ROUTE_ANSWERS;
        answers >= ENOUGH_ANSWERS && judged.into_iter().all(each_enough)
    }

    /// Requests in a millisecond: lately, or since the order, whichever is higher.
    fn rate_per_ms(&self, recent: f64) -> f64 {
        let since_order = self.requests() as f64 / self.elapsed_ms().max(1) as f64;
        recent.max(since_order)
    }

    /// What the target has got at most: what is known, what nodes that are heard have
    /// sent since, and what the others may have sent by their highest credits.
    fn exposure(&self, recent_rate_per_ms: f64) -> Exposure {
        let rate_per_ms = self.rate_per_ms(recent_rate_per_ms);
        let share = match self.progress.stage {
            Stage::Canary { share_ppm } => f64::from(share_ppm) / MILLION as f64,
            _ => 1.0,
        };
        let known = self.sums().target_arrivals();
        let since_stage_ms = self.input.now.since(self.input.status_seen_at);
        let unreported = rate_per_ms * REPORT_AGE_MS.min(since_stage_ms) as f64 * share;
        let unheard =
            schedule::cap_share(self.settings) * self.requests() as f64 * self.unheard_part();
        let arrivals = known.max(self.progress.target_arrivals);
        Exposure {
            target_arrivals: arrivals + (unreported + unheard).ceil() as u64,
            requests: self.requests(),
            rate_per_ms,
            remaining_ms: self.remaining_ms(),
        }
    }

    /// Part of the nodes that were not heard lately.
    fn unheard_part(&self) -> f64 {
        let input = self.input;
        let is_unheard = |member: &&Member| {
            let heard_at = member.heard_at.unwrap_or(Millis(0));
            input.now.since(heard_at) > HEARD_LATELY_MS
        };
        let unheard = input.members.iter().filter(is_unheard).count();
        unheard as f64 / input.members.len().max(1) as f64
    }

    /// Nodes that have to stop before the version counts as bad.
    fn enough_stopped(&self) -> usize {
        let heard = 1.0 - self.unheard_part();
        let heard = (heard * self.input.members.len() as f64).round() as usize;
        heard.clamp(1, STOPPED_NODES)
    }

    /// Nodes that stopped by what they saw alone, when they are many or hold up a
    /// cut-over.
    fn stopped_nodes(&self) -> Option<Finding> {
        let has_stopped = |member: &&Member| {
            let confirmation = member.confirmation;
            confirmation.is_some_and(|it| it.rollout == self.progress.rollout && it.has_stopped)
        };
        let stopped = self.input.members.iter().filter(has_stopped).count();
        let since = self.input.now.since(self.input.status_seen_at);
        let holds_up = stopped > 0
            && self.progress.stage == Stage::CuttingOver
            && since >= STOPPED_NODE_PATIENCE_MS;
        let target = self.sums().all_routes(crate::counts::Side::Target);
        let enough = self.enough_stopped();
        (stopped >= enough || holds_up).then_some(Finding {
            symptom: Symptom::NodesStopped,
            route: None,
            answers: target.answers,
            bad: target.failures,
            borne_share: 0.0,
            evidence: stopped as f64,
            threshold: enough as f64,
        })
    }

    /// Nodes that may still use established engines, and what they have there.
    fn awaited(&self, decider_began_at: Millis) -> (u32, u32) {
        let awaited = self.input.members.iter().filter(|member| {
            !self.has_confirmed(member) && !self.is_silent(member, decider_began_at)
        });
        awaited.fold((0, 0), |(nodes, running), member| {
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

    /// Silent for so long, since the cut-over was stored, that it serves nothing: a node
    /// that is not heard may hear, so its silence before that shows nothing.
    fn is_silent(&self, member: &Member, decider_began_at: Millis) -> bool {
        let heard_at = member.heard_at.unwrap_or(decider_began_at);
        let since = heard_at.max(self.input.status_seen_at);
        self.input.now.since(since) > self.settings.silence_bound_ms
    }

    fn go_to(&self, stage: Stage, reason: Reason) -> Decision {
        write(self.progress_at(stage), reason)
    }

    fn roll_back(&self, cause: RollBackCause, reason: Reason) -> Decision {
        self.go_to(Stage::RolledBack { cause }, reason)
    }

    fn progress_at(&self, stage: Stage) -> Progress {
        let requests = self.requests();
        let since = requests.saturating_sub(self.progress.requests);
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
            credits: crate::credits::fleet_credits(since, share_ppm, self.progress.credits),
            avoided: self.progress.avoided.clone(),
            established: established_versions(&self.progress.established, self.input),
        }
    }
}

/// Versions beside the target that are known now or were known before.
fn established_versions(
    before: &[SoftwareVersion],
    input: &DeciderInput<'_>,
) -> Vec<SoftwareVersion> {
    let known = input.engines.iter().map(|supply| &supply.version);
    let beside_target = known.filter(|version| **version != input.order.target);
    let mut established: Vec<_> = before.iter().chain(beside_target).cloned().collect();
    established.sort();
    established.dedup();
    established
}

/// Versions that older orders left without proof: none but the target may serve in
/// their place.
fn avoided_versions(recorded: &Recorded, order: &RolloutOrder) -> Vec<SoftwareVersion> {
    let Recorded::OfOlderOrder(older) = recorded else {
        return Vec::new();
    };
    let older_target = order.status.as_ref().map(|status| status.target.clone());
    let mut avoided = older.avoided.clone();
    if older.stage != Stage::Completed {
        avoided.extend(older_target);
    }
    avoided.retain(|version| *version != order.target);
    avoided.sort();
    avoided.dedup();
    avoided
}

fn stay(reason: Reason) -> Decision {
    Decision { next: None, reason }
}

fn write(next: Progress, reason: Reason) -> Decision {
    Decision {
        next: Some(next),
        reason,
    }
}
