//! Simulation of a fleet in virtual time: nodes with gates, one decider at a time, a
//! store, and messages that are late, lost or duplicated. Randomness is seeded.

mod message_delivery;
pub mod outcome;
pub mod scenario;
pub mod services;
mod traffic;

use fastrand::Rng;
use outcome::Outcome;
use ploverlift_balancing::peer_loads::PeerId;
use ploverlift_policy::ids::Millis;
use ploverlift_rollout::counts::{Answer, Counts, FleetCounts, Side};
use ploverlift_rollout::decider::{Decider, DeciderInput, Decision, Member, Reason, VersionSupply};
use ploverlift_rollout::order::RolloutOrder;
use ploverlift_rollout::share::{Confirmation, Gate};
use ploverlift_rollout::stage::{Progress, Recorded, RolloutNumber, Stage};
use ploverlift_routing::configuration::ServiceName;
use ploverlift_routing::software::SoftwareVersion;
use scenario::{Fault, Scenario};
use std::collections::VecDeque;

/// Virtual time between two steps of the simulation, in milliseconds.
const TICK_MS: u64 = 20;
/// Time between two reports of a node, in milliseconds.
const REPORT_MS: u64 = 200;
/// Time between two decisions, in milliseconds.
const DECIDE_MS: u64 = 100;
/// Time without a decider after which another node gets the lease, in milliseconds.
const LEASE_MS: u64 = 3_000;
/// Time within which a node that was cut off is heard again, in milliseconds.
const RECONNECT_MS: u64 = 1_000;
/// Longest delivery time of a report or of an answer of the store, in milliseconds.
const MAX_DELIVERY_MS: u64 = 200;
/// When the order is given, in milliseconds; all nodes run before.
pub const ORDERED_AT_MS: u64 = 20_000;

/// A report of one node on its way to the others.
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
    halted_until: u64,
    is_dead: bool,
    has_restarted: bool,
    gate: Option<Gate>,
    sums: Counts,
    own_in_sums: Counts,
    stage_read_at: u64,
    next_read_at: u64,
    /// Times at which requests on established engines end.
    established: Vec<u64>,
    /// A decision that it made before it was paused or whose answer was lost, with the
    /// revision that it was based on.
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

/// The simulated fleet.
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
    fleet_counts: FleetCounts,
    members: Vec<Member>,
    lease_holder: u32,
    lease_holder_lost_at: Option<u64>,
    decider: Decider,
    bad_answers: u64,
    pending_requests: f64,
    cut_over_at: Option<u64>,
    repeatable_answers: u64,
    outcome: Outcome,
}

impl Fleet {
    /// Runs a scenario to its end.
    pub fn run(scenario: Scenario) -> Outcome {
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
            halted_until: 0,
            is_dead: false,
            has_restarted: false,
            gate: None,
            sums: Counts::default(),
            own_in_sums: Counts::default(),
            stage_read_at: ORDERED_AT_MS,
            next_read_at: 0,
            established: Vec::new(),
            pending: None,
        };
        let member = |node: u32| Member {
            node: PeerId(u64::from(node)),
            last_heard_at: None,
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
            fleet_counts: FleetCounts::of(RolloutNumber(0)),
            members: (0..service.nodes).map(member).collect(),
            lease_holder: 0,
            lease_holder_lost_at: None,
            decider: Decider::new(scenario.settings),
            bad_answers: 0,
            pending_requests: 0.0,
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
        self.apply_disruptions();
        self.deliver_reports();
        self.deliver_answers();
        for node in 0..self.nodes.len() {
            self.sync_and_report(node);
        }
        if self.now % DECIDE_MS == 0 {
            self.decide();
        }
        self.send_requests();
        self.record_exposure();
    }

    fn apply_disruptions(&mut self) {
        let since = self.since_order();
        for disruption in self.scenario.disruptions.clone() {
            if disruption.from_ms / TICK_MS != since / TICK_MS {
                continue;
            }
            let node = disruption.node.unwrap_or(self.lease_holder) as usize;
            let until = self.now + disruption.for_ms;
            let node = &mut self.nodes[node];
            match disruption.fault {
                Fault::Cut => node.cut_until = until,
                Fault::Pause => node.halted_until = until,
                Fault::Kill => {
                    node.halted_until = until;
                    node.is_dead = true;
                    node.life += 1;
                    node.established.clear();
                    node.gate = None;
                    node.pending = None;
                }
            }
        }
        for node in &mut self.nodes {
            if node.is_dead && node.halted_until <= self.now {
                node.is_dead = false;
                node.has_restarted = true;
                node.sums = Counts::default();
                node.own_in_sums = Counts::default();
                node.next_read_at = self.now;
            }
        }
    }

    fn is_up(&self, node: usize) -> bool {
        self.nodes[node].halted_until <= self.now
    }

    fn is_connected(&self, node: usize) -> bool {
        self.is_up(node) && self.nodes[node].cut_until <= self.now
    }

    fn is_store_unavailable(&self) -> bool {
        let away = self.scenario.message_faults.store_unavailable;
        away.is_some_and(|(from, until)| (from..until).contains(&self.since_order()))
    }

    fn decide(&mut self) {
        self.choose_lease_holder();
        let lease_holder = self.lease_holder as usize;
        if let Some((revision, progress)) = self.nodes[lease_holder].pending.take() {
            self.write(revision, &progress, None);
        }
        if !self.is_connected(lease_holder)
            || self.is_store_unavailable()
            || self.lease_holder_lost_at.is_some()
        {
            return;
        }
        let engines = self.supply();
        let input = DeciderInput {
            now: Millis(self.now),
            order: &self.order,
            order_seen_at: Millis(ORDERED_AT_MS + TICK_MS),
            status_seen_at: Millis(self.written_at),
            counts: &self.fleet_counts,
            members: &self.members,
            engines: &engines,
            barrier_ms: self.scenario.service.barrier_ms,
        };
        let decision = self
            .decider
            .decide(&input)
            .expect("a status that this test wrote");
        let Decision { next, reason } = decision;
        let Some(next) = next else {
            return;
        };
        let revision = self.order.revision;
        self.nodes[lease_holder].pending = Some((revision, next.clone()));
        self.write(revision, &next, Some(reason));
        if self.rng.f64() >= self.scenario.message_faults.answers_lost {
            self.nodes[lease_holder].pending = None;
        }
    }

    /// Gives the lease to another node some time after its holder was lost; the former
    /// holder may come back with an earlier decision.
    fn choose_lease_holder(&mut self) {
        if self.is_connected(self.lease_holder as usize) {
            self.lease_holder_lost_at = None;
            return;
        }
        let lost_at = *self.lease_holder_lost_at.get_or_insert(self.now);
        if self.now - lost_at < LEASE_MS {
            return;
        }
        let connected = (0..self.nodes.len()).find(|&node| self.is_connected(node));
        if let Some(node) = connected {
            self.lease_holder = node as u32;
            self.lease_holder_lost_at = None;
            self.decider = Decider::new(self.scenario.settings);
        }
    }

    fn supply(&self) -> Vec<VersionSupply> {
        let service = &self.scenario.service;
        let is_available = |after: u64| self.since_order() >= after;
        let target = match service.engines_after_ms.is_some_and(is_available) {
            true => service.engines,
            false => 0,
        };
        let version = |name: &str, engines| VersionSupply {
            version: SoftwareVersion(name.to_owned()),
            engines,
        };
        vec![version("v1", service.engines), version("v2", target)]
    }

    /// Stores a progress unless another one was written since the given revision.
    fn write(&mut self, revision: u64, progress: &Progress, reason: Option<Reason>) {
        if self.order.revision != revision {
            return;
        }
        let before = Recorded::of(&self.order).expect("a status that this test wrote");
        let was_end = before.present().is_some_and(|it| it.stage.is_terminal());
        assert!(!was_end, "a stage after a terminal one");
        self.order.status = Some(progress.status(&self.order));
        self.order.revision += 1;
        self.written_at = self.now;
        if self.progress.is_none() {
            self.fleet_counts = FleetCounts::of(progress.rollout);
        }
        self.progress = Some(progress.clone());
        let since = self.since_order();
        if progress.stage == Stage::CuttingOver {
            self.cut_over_at = Some(self.now);
        }
        if progress.stage == Stage::Completed {
            self.outcome.running_at_completed = self.running_on_connected();
        }
        self.outcome.stages.push((since, progress.stage, reason));
    }

    fn running_on_connected(&self) -> u64 {
        let now = self.now;
        let was_cut_recently = |node: usize| {
            self.nodes[node].cut_until + RECONNECT_MS > now && self.nodes[node].cut_until > 0
        };
        let connected = (0..self.nodes.len())
            .filter(|&node| self.is_connected(node) && !was_cut_recently(node));
        let running = |node: usize| {
            let ends = self.nodes[node].established.iter();
            ends.filter(|end| **end > now).count() as u64
        };
        connected.map(running).sum()
    }

    fn record_exposure(&mut self) {
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
