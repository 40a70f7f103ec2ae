//! Time until all nodes of a fleet know that an engine leaves, in virtual time.
//!
//! The nodes run the real exchange; only datagrams and time are simulated. Up to 20 nodes
//! report to each other directly, larger fleets through two relays in each zone.

use ploverlift_balancing::engine_notices::exchange::{ReportRound, ReportedLeaving, MAX_REPORTED};
use ploverlift_balancing::engine_notices::{EngineLife, EngineNotices};
use ploverlift_balancing::names::EngineTag;
use ploverlift_policy::ids::Millis;
use std::cmp::Reverse;
use std::collections::BinaryHeap;

/// Maximum number of nodes that all report to each other.
const MESH_NODES: usize = 20;
/// Number of zones of a larger fleet.
const ZONES: usize = 5;
/// Number of relays in each zone.
const RELAYS: usize = 2;
/// Share of datagrams that are lost.
const LOSS_SHARE: f64 = 0.05;
/// Maximum transit time of a datagram, in milliseconds.
const LONGEST_DELAY_MS: u64 = 5;
/// Interval at which a node polls for due reports, in milliseconds.
const POLL_PERIOD_MS: u64 = 100;
/// Period after which unchanged notices are reported again, in milliseconds.
const REPEAT_PERIOD_MS: u64 = 1_000;
/// Time after which the simulation fails, in milliseconds.
const SIMULATION_LIMIT_MS: u64 = 10_000;
/// The time at which engines announce that they leave.
const START: Millis = Millis(100_000);

/// An event at a node.
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Poll,
    Datagram(Vec<(EngineTag, u64)>),
}

struct Fleet {
    nodes: Vec<EngineNotices>,
    periods: Vec<Millis>,
    events: BinaryHeap<Reverse<(Millis, usize, Event)>>,
    random: fastrand::Rng,
    datagrams: usize,
}

impl Fleet {
    fn new(nodes: usize, seed: u64) -> Self {
        let mut random = fastrand::Rng::with_seed(seed);
        let polls = (0..nodes).map(|node| {
            let at = START.plus(random.u64(..POLL_PERIOD_MS));
            Reverse((at, node, Event::Poll))
        });
        Self {
            events: polls.collect(),
            nodes: vec![EngineNotices::default(); nodes],
            periods: vec![START; nodes],
            random,
            datagrams: 0,
        }
    }

    fn is_mesh(&self) -> bool {
        self.nodes.len() <= MESH_NODES
    }

    /// Nodes `0..ZONES * RELAYS` are relays; the zone of a node is its number modulo `ZONES`.
    fn is_relay(&self, node: usize) -> bool {
        !self.is_mesh() && node < ZONES * RELAYS
    }

    fn receivers(&self, node: usize) -> Vec<usize> {
        let relays = 0..ZONES * RELAYS;
        let all = 0..self.nodes.len();
        let others: Vec<usize> = match (self.is_mesh(), self.is_relay(node)) {
            (true, _) => all.collect(),
            (false, true) => {
                let members = all.skip(relays.end);
                let members = members.filter(|member| member % ZONES == node % ZONES);
                relays.chain(members).collect()
            }
            (false, false) => relays
                .filter(|relay| relay % ZONES == node % ZONES)
                .collect(),
        };
        others.into_iter().filter(|other| *other != node).collect()
    }

    /// A node receives the engine's notice in an answer.
    fn answer(&mut self, node: usize, engine: u32) {
        let life = EngineLife {
            engine: EngineTag(engine),
            born_ms: 7,
        };
        self.nodes[node].note_leaving(life, START);
        self.events.push(Reverse((START, node, Event::Poll)));
    }

    fn poll(&mut self, node: usize, now: Millis) {
        let is_period = now.since(self.periods[node]) >= REPEAT_PERIOD_MS;
        if is_period {
            self.periods[node] = now;
        }
        let round = ReportRound {
            is_period,
            passes_on: self.is_relay(node),
        };
        let news = self.nodes[node].due_reports(round, now);
        let receivers = self.receivers(node);
        for told in news.chunks(MAX_REPORTED) {
            let told: Vec<(EngineTag, u64)> = told
                .iter()
                .map(|told| (told.life.engine, told.age_ms))
                .collect();
            for receiver in &receivers {
                self.datagrams += 1;
                if self.random.f64() < LOSS_SHARE {
                    continue;
                }
                let at = now.plus(1 + self.random.u64(..LONGEST_DELAY_MS));
                let event = Event::Datagram(told.clone());
                self.events.push(Reverse((at, *receiver, event)));
            }
        }
    }

    /// Applies a datagram; returns the number of engines whose notices are new to the node.
    fn take(&mut self, node: usize, told: &[(EngineTag, u64)], now: Millis) -> usize {
        let passes_on = self.is_relay(node);
        let notices = &mut self.nodes[node];
        let news = told.iter().filter(|(engine, age_ms)| {
            let life = EngineLife {
                engine: *engine,
                born_ms: 7,
            };
            let age_ms = *age_ms;
            notices.apply_reported(&ReportedLeaving { life, age_ms }, passes_on, now)
        });
        let news = news.count();
        if news > 0 {
            self.poll(node, now);
        }
        news
    }

    /// Time until all nodes know of all engines, in milliseconds. At the start one node knows of
    /// each engine.
    fn converged_after_ms(&mut self, engines: u32) -> u64 {
        let mut missing = (self.nodes.len() - 1) * engines as usize;
        while let Some(Reverse((now, node, event))) = self.events.pop() {
            let passed_ms = now.since(START);
            assert!(
                passed_ms < SIMULATION_LIMIT_MS,
                "{missing} notices are missing"
            );
            match event {
                Event::Poll => {
                    self.poll(node, now);
                    let next = now.plus(POLL_PERIOD_MS);
                    self.events.push(Reverse((next, node, Event::Poll)));
                }
                Event::Datagram(told) => missing -= self.take(node, &told, now),
            }
            if missing == 0 {
                return passed_ms;
            }
        }
        unreachable!("nodes look for ever");
    }
}

/// Guards against a notice that stays at the node that received it.
#[test]
fn all_nodes_learn_within_a_second_that_an_engine_leaves_despite_lost_datagrams() {
    for nodes in [7, 69, 985] {
        let mut times = Vec::new();
        let mut datagrams = 0;
        for seed in 0..20 {
            let mut fleet = Fleet::new(nodes, seed);
            let told = fleet.random.usize(..nodes);
            fleet.answer(told, 0);
            times.push(fleet.converged_after_ms(1));
            datagrams = datagrams.max(fleet.datagrams);
        }
        times.sort_unstable();
        let (middle, longest) = (times[times.len() / 2], times[times.len() - 1]);
        println!("{nodes} nodes: {middle} ms, at most {longest} ms, {datagrams} datagrams");
        assert!(longest < 1_000, "{nodes} nodes: {longest} ms");
    }
}

/// Guards against notices of many engines at the same time taking the fleet many seconds.
#[test]
fn all_nodes_learn_within_two_seconds_that_hundreds_of_engines_leave() {
    let engines = 400;
    let mut fleet = Fleet::new(985, 1);
    for engine in 0..engines {
        let told = fleet.random.usize(..985);
        fleet.answer(told, engine);
    }
    let converged_after_ms = fleet.converged_after_ms(engines);
    println!("{converged_after_ms} ms, {} datagrams", fleet.datagrams);
    assert!(converged_after_ms < 2_000, "{converged_after_ms} ms");
}
