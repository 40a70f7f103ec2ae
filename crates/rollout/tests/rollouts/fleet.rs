//! A fleet in virtual time: nodes with gates, one decider at a time, a store, and news
//! that is late, lost or doubled. Randomness is seeded.

use fastrand::Rng;
use ploverlift_balancing::peer_loads::PeerId;
use ploverlift_policy::ids::Millis;
use ploverlift_rollout::canary_choice::canary_engines;
use ploverlift_rollout::counts::{Answer, Counts, FleetCounts, RouteTag, Side};
use ploverlift_rollout::credits::Seat;
use ploverlift_rollout::decider::{Decider, DeciderInput, Decision, Member, Reason, VersionSupply};
use ploverlift_rollout::order::{RolloutOrder, RolloutState};
use ploverlift_rollout::settings::RolloutSettings;
use ploverlift_rollout::share::{CanaryRequest, Confirmation, FleetView, Gate, Joined};
use ploverlift_rollout::stage::{Progress, Recorded, RolloutNumber, Stage};
use ploverlift_routing::configuration::ServiceName;
use ploverlift_routing::prompt::ChainKey;
use ploverlift_routing::software::SoftwareVersion;
use std::collections::VecDeque;

/// Virtual time between two steps of the fleet, in milliseconds.
const TICK_MS: u64 = 20;
/// Time between two reports of a node, in milliseconds.
const REPORT_MS: u64 = 200;
/// Time between two decisions, in milliseconds.
const DECIDE_MS: u64 = 100;
/// Time without a decider after which another node has the lease, in milliseconds.
const LEASE_MS: u64 = 3_000;
/// Time in which a node that was cut off is heard again, in milliseconds.
const RETURN_MS: u64 = 1_000;
/// Longest way of a report or of news of the store, in milliseconds.
const NEWS_MS: u64 = 200;
/// When the order comes, in milliseconds; nodes are there before.
pub const ORDERED_AT_MS: u64 = 20_000;

/// A route of the service.
#[derive(Clone, Copy, Debug)]
pub struct SimRoute {
    /// Its name.
    pub name: &'static str,
    /// Part of the requests.
    pub part: f64,
    /// Whether they may run more than once.
    pub is_repeatable: bool,
    /// Median time to the first byte, in milliseconds.
    pub first_byte_ms: f64,
    /// Median time from the first byte to the end, in milliseconds.
    pub rest_ms: f64,
}

/// A service and the fleet before it.
#[derive(Clone, Debug)]
pub struct SimService {
    /// Nodes.
    pub nodes: u32,
    /// Nodes that callers know; the others get no request.
    pub nodes_with_traffic: u32,
    /// Engines of each version.
    pub engines: u32,
    /// Requests in a second.
    pub rate: f64,
    /// Time from the order to its deadline, in milliseconds.
    pub duration_ms: u64,
    /// Routes.
    pub routes: Vec<SimRoute>,
    /// Part of all answers, of either version, that fail by the requests' own fault.
    pub own_failures: f64,
    /// Part of the requests that ask for one prompt; nothing when there are no prompts.
    pub hot_prompt: Option<f64>,
    /// From when on so many times more requests come.
    pub burst: Option<(u64, f64)>,
    /// Time until the target's engines are there, from the order; nothing if never.
    pub engines_after_ms: Option<u64>,
    /// What the decider is told of the barrier, in milliseconds.
    pub barrier_ms: u64,
}

/// How a version is bad.
#[derive(Clone, Copy, Debug, Default)]
pub struct Defect {
    /// From when on, since the order, in milliseconds.
    pub from_ms: u64,
    /// From when on after all traffic moved, in milliseconds; before any other time.
    pub after_cut_over_ms: Option<u64>,
    /// Part of its answers that fail.
    pub fails: f64,
    /// How many times later the first byte comes; 0 is 1.
    pub slower: f64,
    /// Only on engines that carry as much as established ones.
    pub under_load: bool,
    /// Only on one route.
    pub route: Option<&'static str>,
}

/// What happens to a node.
#[derive(Clone, Copy, Debug)]
pub enum Fault {
    /// It hears and tells nothing, and goes on serving.
    Cut,
    /// It stands still.
    Pause,
    /// It ends, and comes back with a later life.
    Kill,
}

/// A fault, from a time on since the order.
#[derive(Clone, Copy, Debug)]
pub struct Disruption {
    /// Node, or the one that decides at that time.
    pub node: Option<u32>,
    /// What.
    pub fault: Fault,
    /// From when, in milliseconds since the order.
    pub from_ms: u64,
    /// For how long, in milliseconds.
    pub for_ms: u64,
}

/// How news go.
#[derive(Clone, Copy, Debug, Default)]
pub struct News {
    /// Part of the reports that are lost.
    pub lost: f64,
    /// Part that come twice, the second time late.
    pub doubled: f64,
    /// The store answers nobody between these times since the order.
    pub store_away: Option<(u64, u64)>,
    /// Part of the writes whose answer is lost.
    pub answers_lost: f64,
}

/// One run.
#[derive(Clone, Debug)]
pub struct Scenario {
    /// The service.
    pub service: SimService,
    /// The bounds.
    pub settings: RolloutSettings,
    /// How the target is bad, if it is.
    pub defect: Option<Defect>,
    /// Faults of nodes.
    pub disruptions: Vec<Disruption>,
    /// News.
    pub news: News,
    /// Time after which the run ends, since the order, in milliseconds.
    pub until_ms: u64,
    /// Seed of the run.
    pub seed: u64,
}

/// What a run showed. Times are milliseconds since the order.
#[derive(Clone, Debug, Default)]
pub struct Outcome {
    /// Requests from the order to the deadline.
    pub requests: u64,
    /// Arrivals at the target from the order to the deadline.
    pub target_arrivals: u64,
    /// Highest arrivals beyond share and slack at any time until the deadline.
    pub beyond_bound: f64,
    /// All requests.
    pub all_requests: u64,
    /// Requests that were sent nowhere.
    pub unserved: u64,
    /// Stages as they were stored.
    pub stages: Vec<(u64, Stage, Option<Reason>)>,
    /// When the target gave its fiftieth bad answer.
    pub fiftieth_bad_at: Option<u64>,
    /// Last arrival at the target.
    pub last_target_arrival: Option<u64>,
    /// Sent to established engines after `completed` was stored.
    pub established_after_completed: u64,
    /// Running on established engines of nodes in touch when `completed` was stored.
    pub running_at_completed: u64,
    /// Arrivals at the target by route.
    pub arrivals_by_route: Vec<(&'static str, u64)>,
    /// Arrivals at the target of requests that may run once only, and how many answers
    /// of others had come before the first.
    pub first_once_after: Option<u64>,
}

impl Outcome {
    /// When a state was stored first.
    pub fn at(&self, state: RolloutState) -> Option<u64> {
        let mut stages = self.stages.iter();
        stages
            .find(|(_, stage, _)| stage.state() == state)
            .map(|(at, _, _)| *at)
    }

    /// Time from the fiftieth bad answer to the last arrival at the target.
    pub fn stopped_after(&self) -> Option<u64> {
        let fiftieth = self.fiftieth_bad_at?;
        Some(self.last_target_arrival?.saturating_sub(fiftieth))
    }

    /// Share of the requests until the deadline.
    pub fn share(&self) -> f64 {
        self.target_arrivals as f64 / self.requests.max(1) as f64
    }
}

/// What one node tells the others.
#[derive(Clone, Debug)]
struct SimReport {
    arrives_at: u64,
    sent_at: u64,
    node: u32,
    life: u64,
    counts: Counts,
    confirmation: Option<Confirmation>,
}

#[derive(Clone, Debug)]
struct SimNode {
    life: u64,
    cut_until: u64,
    stopped_until: u64,
    is_dead: bool,
    is_new: bool,
    gate: Option<Gate>,
    sums: Counts,
    own_in_sums: Counts,
    heard_at: u64,
    reads_at: u64,
    /// Ends of requests on established engines.
    established: Vec<u64>,
    /// A decision that it made before it stood still.
    pending: Option<(u64, Progress)>,
}

struct SimAnswer {
    at: u64,
    node: u32,
    life: u64,
    route: usize,
    side: Side,
    answer: Answer,
}

/// The fleet.
pub struct Fleet {
    scenario: Scenario,
    rng: Rng,
    now: u64,
    order: RolloutOrder,
    progress: Option<Progress>,
    written_at: u64,
    nodes: Vec<SimNode>,
    reports: VecDeque<SimReport>,
    answers: Vec<SimAnswer>,
    board: FleetCounts,
    members: Vec<Member>,
    holder: u32,
    holder_lost_at: Option<u64>,
    decider: Decider,
    bad_answers: u64,
    owed: f64,
    cut_over_at: Option<u64>,
    repeatable_answers: u64,
    outcome: Outcome,
}

impl Fleet {
    /// Plays a scenario to its end.
    pub fn play(scenario: Scenario) -> Outcome {
        let mut fleet = Self::new(scenario);
        let until = ORDERED_AT_MS + fleet.scenario.until_ms;
        while fleet.now < until {
            fleet.step();
            fleet.now += TICK_MS;
        }
        fleet.outcome
    }

    fn new(scenario: Scenario) -> Self {
        let service = &scenario.service;
        let node = SimNode {
            life: 1,
            cut_until: 0,
            stopped_until: 0,
            is_dead: false,
            is_new: false,
            gate: None,
            sums: Counts::default(),
            own_in_sums: Counts::default(),
            heard_at: ORDERED_AT_MS,
            reads_at: 0,
            established: Vec::new(),
            pending: None,
        };
        let member = |node: u32| Member {
            node: PeerId(u64::from(node)),
            heard_at: None,
            confirmation: None,
        };
        Self {
            rng: Rng::with_seed(scenario.seed),
            now: ORDERED_AT_MS,
            order: RolloutOrder {
                service: ServiceName("service".to_owned()),
                target: SoftwareVersion("v2".to_owned()),
                duration_ms: service.duration_ms,
                revision: 100,
                status: None,
            },
            progress: None,
            written_at: ORDERED_AT_MS,
            nodes: vec![node; service.nodes as usize],
            reports: VecDeque::new(),
            answers: Vec::new(),
            board: FleetCounts::of(RolloutNumber(0)),
            members: (0..service.nodes).map(member).collect(),
            holder: 0,
            holder_lost_at: None,
            decider: Decider::new(scenario.settings),
            bad_answers: 0,
            owed: 0.0,
            cut_over_at: None,
            repeatable_answers: 0,
            outcome: Outcome {
                arrivals_by_route: service.routes.iter().map(|it| (it.name, 0)).collect(),
                ..Outcome::default()
            },
            scenario,
        }
    }

    fn since_order(&self) -> u64 {
        self.now - ORDERED_AT_MS
    }

    fn step(&mut self) {
        self.disrupt();
        self.deliver_reports();
        self.deliver_answers();
        for node in 0..self.nodes.len() {
            self.hear_and_report(node);
        }
        if self.now % DECIDE_MS == 0 {
            self.decide();
        }
        self.send_requests();
        self.watch_bound();
    }

    fn disrupt(&mut self) {
        let since = self.since_order();
        for disruption in self.scenario.disruptions.clone() {
            if disruption.from_ms / TICK_MS != since / TICK_MS {
                continue;
            }
            let node = disruption.node.unwrap_or(self.holder) as usize;
            let until = self.now + disruption.for_ms;
            let node = &mut self.nodes[node];
            match disruption.fault {
                Fault::Cut => node.cut_until = until,
                Fault::Pause => node.stopped_until = until,
                Fault::Kill => {
                    node.stopped_until = until;
                    node.is_dead = true;
                    node.life += 1;
                    node.established.clear();
                    node.gate = None;
                    node.pending = None;
                }
            }
        }
        for node in &mut self.nodes {
            if node.is_dead && node.stopped_until <= self.now {
                node.is_dead = false;
                node.is_new = true;
                node.sums = Counts::default();
                node.own_in_sums = Counts::default();
                node.reads_at = self.now;
            }
        }
    }

    fn runs(&self, node: usize) -> bool {
        self.nodes[node].stopped_until <= self.now
    }

    fn is_in_touch(&self, node: usize) -> bool {
        self.runs(node) && self.nodes[node].cut_until <= self.now
    }

    fn is_store_away(&self) -> bool {
        let away = self.scenario.news.store_away;
        away.is_some_and(|(from, until)| (from..until).contains(&self.since_order()))
    }

    fn hear_and_report(&mut self, node: usize) {
        let now = self.now;
        if !self.is_in_touch(node) {
            return;
        }
        self.nodes[node].established.retain(|end| *end > now);
        if self.nodes[node].reads_at > now {
            return;
        }
        self.nodes[node].reads_at = now + REPORT_MS / 2 + self.rng.u64(0..REPORT_MS);
        self.hear_of_stage(node);
        self.hear_of_sums(node);
        self.report(node);
    }

    /// Reads the present stage: the store's answer is as old as its way.
    fn hear_of_stage(&mut self, node: usize) {
        if self.is_store_away() {
            return;
        }
        let now = self.now;
        self.nodes[node].heard_at = now - TICK_MS;
        let Some(progress) = self.progress.clone() else {
            return;
        };
        let settings = self.scenario.settings;
        let target = self.order.target.clone();
        let node = &mut self.nodes[node];
        match &mut node.gate {
            Some(gate) => gate.take_progress(progress),
            None => {
                let joined = match node.is_new {
                    true => Joined::AfterOrder,
                    false => Joined::BeforeOrder,
                };
                let began_at = Millis(now - TICK_MS);
                node.gate = Some(Gate::new(settings, target, progress, joined, began_at));
            }
        }
    }

    fn hear_of_sums(&mut self, node: usize) {
        let life = self.nodes[node].life;
        let own = self.board.of_life(PeerId(node as u64), life);
        self.nodes[node].own_in_sums = own.cloned().unwrap_or_default();
        self.nodes[node].sums = self.board.sums().clone();
        let seat = self.seat(node);
        let now = Millis(self.now);
        let node = &mut self.nodes[node];
        let view = FleetView {
            sums: &node.sums,
            own_in_sums: Some(&node.own_in_sums),
            stage_heard_at: Millis(node.heard_at),
            seat,
        };
        if let Some(gate) = &mut node.gate {
            gate.advance(&view, now);
        }
    }

    fn seat(&self, node: usize) -> Seat {
        Seat {
            rank: node as u32,
            nodes: self.nodes.len() as u32,
        }
    }

    fn report(&mut self, node: usize) {
        let news = self.scenario.news;
        if self.rng.f64() < news.lost {
            return;
        }
        let way = TICK_MS + self.rng.u64(0..NEWS_MS);
        let sim = &mut self.nodes[node];
        let running = sim.established.len() as u32;
        let report = SimReport {
            arrives_at: self.now + way,
            sent_at: self.now,
            node: node as u32,
            life: sim.life,
            counts: sim
                .gate
                .as_ref()
                .map(|gate| gate.own().clone())
                .unwrap_or_default(),
            confirmation: sim.gate.as_mut().map(|gate| gate.confirm(running)),
        };
        if self.rng.f64() < news.doubled {
            let mut late = report.clone();
            late.arrives_at += 1_000;
            self.reports.push_back(late);
        }
        self.reports.push_back(report);
    }

    fn deliver_reports(&mut self) {
        let (arrived, waiting) = std::mem::take(&mut self.reports)
            .into_iter()
            .partition(|report| report.arrives_at <= self.now);
        self.reports = waiting;
        let arrived: VecDeque<SimReport> = arrived;
        for report in arrived {
            let member = &mut self.members[report.node as usize];
            let is_later = member.heard_at.is_none_or(|at| at < Millis(report.sent_at));
            if is_later {
                member.heard_at = Some(Millis(report.sent_at));
                member.confirmation = report.confirmation;
            }
            let counted = ploverlift_rollout::counts::CountReport {
                rollout: self.board.rollout(),
                node: PeerId(u64::from(report.node)),
                life: report.life,
                counts: report.counts,
            };
            self.board.take(&counted);
        }
    }

    fn decide(&mut self) {
        self.choose_holder();
        let holder = self.holder as usize;
        if let Some((revision, progress)) = self.nodes[holder].pending.take() {
            self.write(revision, &progress, None);
        }
        if !self.is_in_touch(holder) || self.is_store_away() || self.holder_lost_at.is_some() {
            return;
        }
        let engines = self.supply();
        let input = DeciderInput {
            now: Millis(self.now),
            order: &self.order,
            order_seen_at: Millis(ORDERED_AT_MS + TICK_MS),
            status_seen_at: Millis(self.written_at),
            counts: &self.board,
            members: &self.members,
            engines: &engines,
            barrier_ms: self.scenario.service.barrier_ms,
        };
        let decision = self.decider.decide(&input).expect("a status of our own");
        let Decision { next, reason } = decision;
        let Some(next) = next else {
            return;
        };
        let revision = self.order.revision;
        self.nodes[holder].pending = Some((revision, next.clone()));
        self.write(revision, &next, Some(reason));
        if self.rng.f64() >= self.scenario.news.answers_lost {
            self.nodes[holder].pending = None;
        }
    }

    /// Another node decides some time after the one that did was lost; that one may
    /// come back with what it decided before.
    fn choose_holder(&mut self) {
        if self.is_in_touch(self.holder as usize) {
            self.holder_lost_at = None;
            return;
        }
        let lost_at = *self.holder_lost_at.get_or_insert(self.now);
        if self.now - lost_at < LEASE_MS {
            return;
        }
        let in_touch = (0..self.nodes.len()).find(|&node| self.is_in_touch(node));
        if let Some(node) = in_touch {
            self.holder = node as u32;
            self.holder_lost_at = None;
            self.decider = Decider::new(self.scenario.settings);
        }
    }

    fn supply(&self) -> Vec<VersionSupply> {
        let service = &self.scenario.service;
        let is_there = |after: u64| self.since_order() >= after;
        let target = match service.engines_after_ms.is_some_and(is_there) {
            true => service.engines,
            false => 0,
        };
        let version = |name: &str, engines| VersionSupply {
            version: SoftwareVersion(name.to_owned()),
            engines,
        };
        vec![version("v1", service.engines), version("v2", target)]
    }

    /// Stores a progress if nobody else has written since.
    fn write(&mut self, revision: u64, progress: &Progress, reason: Option<Reason>) {
        if self.order.revision != revision {
            return;
        }
        let before = Recorded::of(&self.order).expect("a status of our own");
        let was_end = before.present().is_some_and(|it| it.stage.is_end());
        assert!(!was_end, "a stage after an end");
        self.order.status = Some(progress.status(&self.order));
        self.order.revision += 1;
        self.written_at = self.now;
        if self.progress.is_none() {
            self.board = FleetCounts::of(progress.rollout);
        }
        self.progress = Some(progress.clone());
        let since = self.since_order();
        if progress.stage == Stage::CuttingOver {
            self.cut_over_at = Some(self.now);
        }
        if progress.stage == Stage::Completed {
            self.outcome.running_at_completed = self.running_in_touch();
        }
        self.outcome.stages.push((since, progress.stage, reason));
    }

    fn running_in_touch(&self) -> u64 {
        let now = self.now;
        let was_cut_lately = |node: usize| {
            self.nodes[node].cut_until + RETURN_MS > now && self.nodes[node].cut_until > 0
        };
        let in_touch =
            (0..self.nodes.len()).filter(|&node| self.is_in_touch(node) && !was_cut_lately(node));
        let running = |node: usize| {
            let ends = self.nodes[node].established.iter();
            ends.filter(|end| **end > now).count() as u64
        };
        in_touch.map(running).sum()
    }

    fn send_requests(&mut self) {
        let service = &self.scenario.service;
        let burst = service
            .burst
            .filter(|(from, _)| self.since_order() >= *from);
        let factor = burst.map_or(1.0, |(_, factor)| factor);
        self.owed += service.rate * factor * TICK_MS as f64 / 1_000.0;
        while self.owed >= 1.0 {
            self.owed -= 1.0;
            let node = self
                .rng
                .usize(0..self.scenario.service.nodes_with_traffic as usize);
            if self.runs(node) {
                self.send_request(node);
            }
        }
    }

    fn send_request(&mut self, node: usize) {
        let route_index = self.any_route();
        let route = self.scenario.service.routes[route_index];
        let tag = RouteTag::of(route.name);
        let prompt = self.any_prompt();
        self.outcome.all_requests += 1;
        if self.since_order() <= self.scenario.service.duration_ms {
            self.outcome.requests += 1;
        }
        let request = CanaryRequest {
            route: tag,
            is_repeatable: route.is_repeatable,
            prompt,
            was_failed_by_target: false,
            is_retry: false,
        };
        let seat = self.seat(node);
        let now = Millis(self.now);
        let sim = &mut self.nodes[node];
        let Some(gate) = &mut sim.gate else {
            if sim.is_new {
                self.outcome.unserved += 1;
            } else {
                self.send_to_established(node, route_index);
            }
            return;
        };
        let view = FleetView {
            sums: &sim.sums,
            own_in_sums: Some(&sim.own_in_sums),
            stage_heard_at: Millis(sim.heard_at),
            seat,
        };
        let decision = gate.decide(&request, &view, now);
        let Some(rule) = decision.rule else {
            self.outcome.unserved += 1;
            return;
        };
        gate.note_request(tag, route.is_repeatable);
        let has_target = self.supply()[1].engines > 0;
        let target_is_allowed = rule.allows(&self.order.target) && has_target;
        match target_is_allowed {
            true => self.send_to_target(node, route_index),
            false => self.send_to_established(node, route_index),
        }
    }

    fn any_prompt(&mut self) -> Option<ChainKey> {
        let hot_part = self.scenario.service.hot_prompt?;
        let is_hot = self.rng.f64() < hot_part;
        Some(match is_hot {
            true => ChainKey(1),
            false => ChainKey(self.rng.u64(2..200)),
        })
    }

    fn any_route(&mut self) -> usize {
        let mut place = self.rng.f64();
        for (index, route) in self.scenario.service.routes.iter().enumerate() {
            if place < route.part {
                return index;
            }
            place -= route.part;
        }
        0
    }

    fn send_to_target(&mut self, node: usize, route_index: usize) {
        let route = self.scenario.service.routes[route_index];
        if let Some(gate) = &mut self.nodes[node].gate {
            gate.note_target_arrival(RouteTag::of(route.name));
        }
        let since = self.since_order();
        self.outcome.last_target_arrival = Some(since);
        if since <= self.scenario.service.duration_ms {
            self.outcome.target_arrivals += 1;
        }
        self.outcome.arrivals_by_route[route_index].1 += 1;
        if !route.is_repeatable && self.outcome.first_once_after.is_none() {
            self.outcome.first_once_after = Some(self.repeatable_answers);
        }
        let defect = self.active_defect(route.name);
        let fails = defect.map_or(0.0, |defect| defect.fails);
        let slower = defect.map_or(1.0, |defect| defect.slower.max(1.0));
        let has_defect_shown = fails > 0.0 && self.rng.f64() < fails;
        self.bad_answers += u64::from(has_defect_shown || slower > 1.0);
        if self.bad_answers >= 50 && self.outcome.fiftieth_bad_at.is_none() {
            self.outcome.fiftieth_bad_at = Some(since);
        }
        self.answer(node, route_index, Side::Target, has_defect_shown, slower);
        if has_defect_shown && route.is_repeatable {
            self.send_again(node, route_index);
        }
    }

    /// A request that the target failed: to an established engine where that is allowed.
    fn send_again(&mut self, node: usize, route_index: usize) {
        let is_canary = matches!(
            self.nodes[node]
                .gate
                .as_ref()
                .map(|gate| gate.progress().stage),
            Some(Stage::Canary { .. })
        );
        if is_canary {
            self.send_to_established(node, route_index);
        }
    }

    fn send_to_established(&mut self, node: usize, route_index: usize) {
        let is_completed = self
            .progress
            .as_ref()
            .is_some_and(|progress| progress.stage == Stage::Completed);
        self.outcome.established_after_completed += u64::from(is_completed);
        self.answer(node, route_index, Side::Established, false, 1.0);
    }

    fn active_defect(&self, route: &str) -> Option<Defect> {
        let defect = self.scenario.defect?;
        let since = self.since_order();
        let is_late = match (defect.after_cut_over_ms, self.cut_over_at) {
            (Some(after), Some(at)) => self.now >= at + after,
            (Some(_), None) => false,
            (None, _) => since >= defect.from_ms,
        };
        let is_on_route = defect.route.is_none_or(|only| only == route);
        let is_under_load = !defect.under_load || self.is_target_loaded();
        (is_late && is_on_route && is_under_load).then_some(defect)
    }

    /// Whether an engine of the target carries as much as an established one does.
    fn is_target_loaded(&self) -> bool {
        let engines = self.scenario.service.engines as usize;
        match self.progress.as_ref().map(|progress| progress.stage) {
            Some(Stage::Canary { share_ppm }) => {
                let share = f64::from(share_ppm) / 1_000_000.0;
                let carrying = canary_engines(engines, engines, share_ppm);
                share * engines as f64 / carrying as f64 >= 0.8
            }
            _ => true,
        }
    }

    fn answer(&mut self, node: usize, route: usize, side: Side, is_bad: bool, slower: f64) {
        let times = self.scenario.service.routes[route];
        // About a lognormal spread: the sum of some uniform numbers as the exponent.
        let spread = (0..4).map(|_| self.rng.f64() - 0.5).sum::<f64>() * 0.9;
        let first_byte_ms = times.first_byte_ms * spread.exp() * slower;
        let rest_ms = times.rest_ms * (0.5 + self.rng.f64());
        let has_own_failure = self.rng.f64() < self.scenario.service.own_failures;
        let has_failed = is_bad || has_own_failure;
        let ends_at = self.now + (first_byte_ms + rest_ms) as u64;
        if side == Side::Established {
            self.nodes[node].established.push(ends_at);
        }
        let engines = u64::from(self.scenario.service.engines);
        let answer = Answer {
            engine: self.rng.u64(0..engines.min(2)),
            has_failed,
            first_byte_ms: (!has_failed).then_some(first_byte_ms as u64),
        };
        self.answers.push(SimAnswer {
            at: self.now + first_byte_ms as u64,
            node: node as u32,
            life: self.nodes[node].life,
            route,
            side,
            answer,
        });
    }

    fn deliver_answers(&mut self) {
        let now = self.now;
        let (due, waiting): (Vec<_>, Vec<_>) = std::mem::take(&mut self.answers)
            .into_iter()
            .partition(|answer| answer.at <= now);
        self.answers = waiting;
        for due in due {
            let route = self.scenario.service.routes[due.route];
            if due.side == Side::Target && route.is_repeatable {
                self.repeatable_answers += 1;
            }
            let node = &mut self.nodes[due.node as usize];
            if node.life != due.life {
                continue;
            }
            if let Some(gate) = &mut node.gate {
                gate.note_answer(RouteTag::of(route.name), due.side, &due.answer);
            }
        }
    }

    fn watch_bound(&mut self) {
        if self.since_order() > self.scenario.service.duration_ms {
            return;
        }
        let settings = &self.scenario.settings;
        let bound =
            settings.canary_share * self.outcome.requests as f64 + settings.canary_slack as f64;
        let beyond = self.outcome.target_arrivals as f64 - bound;
        let highest = match self.outcome.beyond_bound {
            0.0 => f64::NEG_INFINITY,
            highest => highest,
        };
        self.outcome.beyond_bound = highest.max(beyond);
    }
}

/// The two services that the figures are made with.
pub mod services {
    use super::{SimRoute, SimService};

    const fn route(
        name: &'static str,
        part: f64,
        is_repeatable: bool,
        first_byte_ms: f64,
        rest_ms: f64,
    ) -> SimRoute {
        SimRoute {
            name,
            part,
            is_repeatable,
            first_byte_ms,
            rest_ms,
        }
    }

    /// 60 engines of a language model, 495 requests a second.
    pub fn models() -> SimService {
        SimService {
            nodes: 81,
            nodes_with_traffic: 81,
            engines: 60,
            rate: 495.0,
            duration_ms: 12_000,
            routes: vec![
                route("screen", 0.37, true, 150.0, 100.0),
                route("reply", 0.63, true, 60.0, 600.0),
            ],
            own_failures: 0.003,
            hot_prompt: Some(0.1),
            burst: None,
            engines_after_ms: Some(300),
            barrier_ms: 1_500,
        }
    }

    /// 4 engines of a plain service, 154 requests a second, most of which run once.
    pub fn payments() -> SimService {
        SimService {
            nodes: 81,
            nodes_with_traffic: 81,
            engines: 4,
            rate: 154.0,
            duration_ms: 12_000,
            routes: vec![
                route("send", 0.59, false, 20.0, 1.0),
                route("balance", 0.41, true, 20.0, 1.0),
            ],
            own_failures: 0.003,
            hot_prompt: None,
            burst: None,
            engines_after_ms: Some(300),
            barrier_ms: 700,
        }
    }
}
