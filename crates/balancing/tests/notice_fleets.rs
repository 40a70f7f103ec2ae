//! How soon all nodes of a fleet know that an engine leaves, in virtual time.
//!
//! The nodes run the real exchange; only datagrams and moments are simulated. Up to 20 nodes
//! tell each other directly, more of them through two relays in each zone.

use ploverlift_balancing::engine_notices::exchange::{ReportRound, ReportedLeaving, MAX_REPORTED};
use ploverlift_balancing::engine_notices::{EngineLife, EngineNotices};
use ploverlift_balancing::names::EngineTag;
use ploverlift_policy::ids::Millis;
use std::cmp::Reverse;
use std::collections::BinaryHeap;

/// Nodes up to which all tell each other.
const MESH_NODES: usize = 20;
/// Zones of a larger fleet.
const ZONES: usize = 5;
/// Relays of a zone.
const RELAYS: usize = 2;
/// Share of the datagrams that are lost.
const LOST: f64 = 0.05;
/// Longest time that a datagram is under way, in milliseconds.
const LONGEST_DELAY_MS: u64 = 5;
/// Time between two looks of a node at what is due, in milliseconds.
const LOOK_MS: u64 = 100;
/// Time between two tellings of what has not changed, in milliseconds.
const PERIOD_MS: u64 = 1_000;
/// Time after which the simulation ends, in milliseconds.
const LONGEST_MS: u64 = 10_000;
/// When the first engine says that it leaves.
const BEGAN: Millis = Millis(100_000);

/// Something that happens at a node.
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Look,
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
        let looks = (0..nodes).map(|node| {
            let at = BEGAN.plus(random.u64(..LOOK_MS));
            Reverse((at, node, Event::Look))
        });
        Self {
            events: looks.collect(),
            nodes: vec![EngineNotices::default(); nodes],
            periods: vec![BEGAN; nodes],
            random,
            datagrams: 0,
        }
    }

    fn is_mesh(&self) -> bool {
        self.nodes.len() <= MESH_NODES
    }

    /// Nodes `0..ZONES * RELAYS` relay; a node's zone is its number modulo the zones.
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

    /// An answer of the engine tells a node.
    fn answer(&mut self, node: usize, engine: u32) {
        let life = EngineLife {
            engine: EngineTag(engine),
            born_ms: 7,
        };
        self.nodes[node].note_leaving(life, BEGAN);
        self.events.push(Reverse((BEGAN, node, Event::Look)));
    }

    fn look(&mut self, node: usize, now: Millis) {
        let is_period = now.since(self.periods[node]) >= PERIOD_MS;
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
                if self.random.f64() < LOST {
                    continue;
                }
                let at = now.plus(1 + self.random.u64(..LONGEST_DELAY_MS));
                let event = Event::Datagram(told.clone());
                self.events.push(Reverse((at, *receiver, event)));
            }
        }
    }

    /// Takes in a datagram; tells how many engines are news.
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
            self.look(node, now);
        }
        news
    }

    /// Time until all nodes know of all engines, in milliseconds. One node was told of each.
    fn known_after_ms(&mut self, engines: u32) -> u64 {
        let mut missing = (self.nodes.len() - 1) * engines as usize;
        while let Some(Reverse((now, node, event))) = self.events.pop() {
            let passed_ms = now.since(BEGAN);
            assert!(passed_ms < LONGEST_MS, "{missing} notices are missing");
            match event {
                Event::Look => {
                    self.look(node, now);
                    let next = now.plus(LOOK_MS);
                    self.events.push(Reverse((next, node, Event::Look)));
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

/// Guards against a fact that a fleet hears at one node and keeps there.
#[test]
fn all_nodes_know_within_a_second_that_an_engine_leaves_though_datagrams_are_lost() {
    for nodes in [7, 69, 985] {
        let mut times = Vec::new();
        let mut datagrams = 0;
        for seed in 0..20 {
            let mut fleet = Fleet::new(nodes, seed);
            let told = fleet.random.usize(..nodes);
            fleet.answer(told, 0);
            times.push(fleet.known_after_ms(1));
            datagrams = datagrams.max(fleet.datagrams);
        }
        times.sort_unstable();
        let (middle, longest) = (times[times.len() / 2], times[times.len() - 1]);
        println!("{nodes} nodes: {middle} ms, at most {longest} ms, {datagrams} datagrams");
        assert!(longest < 1_000, "{nodes} nodes: {longest} ms");
    }
}

/// Guards against one word of many engines at once that takes the fleet seconds.
#[test]
fn all_nodes_know_soon_that_hundreds_of_engines_leave_at_once() {
    let engines = 400;
    let mut fleet = Fleet::new(985, 1);
    for engine in 0..engines {
        let told = fleet.random.usize(..985);
        fleet.answer(told, engine);
    }
    let known_after_ms = fleet.known_after_ms(engines);
    println!("{known_after_ms} ms, {} datagrams", fleet.datagrams);
    assert!(known_after_ms < 2_000, "{known_after_ms} ms");
}
