//! The event loop of one policy on one trace.

use crate::experiment::engine::{EmulatedEngine, EngineRequest};
use crate::experiment::model::FleetModel;
use crate::experiment::policies::{Policy, PolicyKind};
use crate::experiment::results::{ExperimentReport, PolicyResult, Tally};
use crate::experiment::workload::{generate, TraceRequest, WorkloadShape};
use ploverlift_policy::chain::{ChainSeed, PromptChain};
use ploverlift_policy::fleet::{Health, LoadReport};
use ploverlift_policy::ids::{CacheScope, Millis, WeightsVersion};
use std::cmp::Reverse;
use std::collections::BinaryHeap;

/// A fault injected into a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExperimentFault {
    /// A third of the engines crash, one after the other, and restart with empty caches.
    CrashWave,
    /// Load reports are delayed twice as long and sent half as often.
    LoadLag,
    /// The popular prefixes change every five seconds.
    HotShift,
    /// The nodes of the first zone reach only its engines for 20 s.
    ZoneCut,
    /// All directory shards are lost: nodes know only their own placements.
    ShardLost,
}

impl ExperimentFault {
    /// All faults.
    pub const ALL: [ExperimentFault; 5] = [
        Self::CrashWave,
        Self::LoadLag,
        Self::HotShift,
        Self::ZoneCut,
        Self::ShardLost,
    ];

    /// Name on the command line.
    pub fn name(self) -> &'static str {
        match self {
            Self::CrashWave => "crash_wave",
            Self::LoadLag => "load_lag",
            Self::HotShift => "hot_shift",
            Self::ZoneCut => "zone_cut",
            Self::ShardLost => "shard_lost",
        }
    }

    /// The fault of this name.
    pub fn parse(name: &str) -> Option<Self> {
        Self::ALL.into_iter().find(|fault| fault.name() == name)
    }
}

/// Seconds between two shifts under [`ExperimentFault::HotShift`].
const HOT_SHIFT_SECONDS: u64 = 5;
/// Start of crashes and cuts, in microseconds.
const FAULT_BEGINS_US: u64 = 40_000_000;
/// End of the cut, in microseconds.
const CUT_ENDS_US: u64 = 60_000_000;
/// Time between two crashes, and time an engine is down, in microseconds.
const CRASH_INTERVAL_US: u64 = 2_000_000;
const ENGINE_DOWN_US: u64 = 3_000_000;
/// Time until a lost or unconnected request is retried, in microseconds.
const RETRY_US: u64 = 50_000;
/// Length of the first part of a run, which fills caches and is not counted, in
/// microseconds.
const WARM_UP_US: u64 = 20_000_000;

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum RunEvent {
    Arrive(usize),
    PrefillEnded(usize, u64),
    DecodeEnded(usize, u64),
    Report(usize),
    DeliverReport(usize),
    Crash(usize),
    Restart(usize),
}

struct Run<'a> {
    model: &'a FleetModel,
    trace: &'a [TraceRequest],
    chains: &'a [PromptChain],
    faults: &'a [ExperimentFault],
    policy: Policy,
    engines: Vec<EmulatedEngine>,
    entry_nodes: Vec<usize>,
    placed_by: Vec<usize>,
    reports: Vec<(u64, Health, LoadReport)>,
    queue: BinaryHeap<Reverse<(u64, u64, RunEvent)>>,
    next: u64,
    now: u64,
    tally: Tally,
}

/// Runs every policy on the trace of a workload and seed.
pub fn experiment(
    shape: &WorkloadShape,
    model: &FleetModel,
    seed: u64,
    policies: &[PolicyKind],
    faults: &[ExperimentFault],
) -> ExperimentReport {
    let mut shape = shape.clone();
    let mut model = model.clone();
    if faults.contains(&ExperimentFault::HotShift) {
        shape.shift_seconds = HOT_SHIFT_SECONDS;
    }
    if faults.contains(&ExperimentFault::LoadLag) {
        model.report_lag_ms *= 2;
        model.report_period_ms *= 2;
    }
    let trace = generate(&shape, seed);
    let chains: Vec<PromptChain> = trace
        .iter()
        .map(|request| chain_of(request, &model))
        .collect();
    let results = policies
        .iter()
        .map(|kind| run_policy(*kind, &model, &trace, &chains, seed, faults));
    ExperimentReport {
        workload: shape.name.to_owned(),
        seed,
        faults: faults.iter().map(|fault| fault.name().to_owned()).collect(),
        results: results.collect(),
    }
}

fn chain_of(request: &TraceRequest, model: &FleetModel) -> PromptChain {
    let scope = CacheScope(format!("tenant:{}", request.tenant));
    let seed = ChainSeed {
        scope: &scope,
        model: "model",
        weights: WeightsVersion(1),
    };
    PromptChain::of_identities(&seed, &request.blocks, model.block_tokens)
}

fn run_policy(
    kind: PolicyKind,
    model: &FleetModel,
    trace: &[TraceRequest],
    chains: &[PromptChain],
    seed: u64,
    faults: &[ExperimentFault],
) -> PolicyResult {
    let mut random = fastrand::Rng::with_seed(seed ^ 0x5eed);
    let mut policy = Policy::new(kind, model, seed);
    policy.shards_lost = faults.contains(&ExperimentFault::ShardLost);
    let mut run = Run {
        model,
        trace,
        chains,
        faults,
        policy,
        engines: (0..model.engines)
            .map(|_| EmulatedEngine::new(model))
            .collect(),
        entry_nodes: trace.iter().map(|_| random.usize(..model.nodes)).collect(),
        placed_by: vec![0; trace.len()],
        reports: vec![(1, Health::Ready, LoadReport::default()); model.engines],
        queue: BinaryHeap::new(),
        next: 0,
        now: 0,
        tally: Tally::default(),
    };
    run.schedule();
    run.drain();
    run.tally.result(kind.name())
}

impl Run<'_> {
    fn schedule(&mut self) {
        for index in 0..self.trace.len() {
            self.at(self.trace[index].at_us, RunEvent::Arrive(index));
        }
        let period = self.model.report_period_ms * 1_000;
        for engine in 0..self.engines.len() {
            let offset = period * engine as u64 / self.engines.len() as u64;
            self.at(offset, RunEvent::Report(engine));
        }
        if self.faults.contains(&ExperimentFault::CrashWave) {
            for crash in 0..self.engines.len() / 3 {
                let at = FAULT_BEGINS_US + crash as u64 * CRASH_INTERVAL_US;
                self.at(at, RunEvent::Crash(crash));
                self.at(at + ENGINE_DOWN_US, RunEvent::Restart(crash));
            }
        }
    }

    fn at(&mut self, at: u64, event: RunEvent) {
        self.next += 1;
        self.queue.push(Reverse((at, self.next, event)));
    }

    fn drain(&mut self) {
        let last = self.trace.last().map_or(0, |request| request.at_us);
        let limit = last + DRAIN_US;
        while let Some(Reverse((at, _, event))) = self.queue.pop() {
            if at > limit {
                return;
            }
            self.now = at;
            self.dispatch(event);
        }
    }

    fn dispatch(&mut self, event: RunEvent) {
        match event {
            RunEvent::Arrive(index) => self.arrive(index),
            RunEvent::PrefillEnded(engine, event_incarnation) => {
                self.prefill_end(engine, event_incarnation)
            }
            RunEvent::DecodeEnded(engine, event_incarnation) => {
                if self.engines[engine].incarnation == event_incarnation {
                    self.engines[engine].decoding -= 1;
                    self.begin(engine);
                }
            }
            RunEvent::Report(engine) => self.report(engine),
            RunEvent::DeliverReport(engine) => {
                let (incarnation, health, load) = self.reports[engine];
                let now = Millis(self.now / 1_000);
                self.policy.report(engine, incarnation, health, load, now);
            }
            RunEvent::Crash(engine) => {
                for request in self.engines[engine].crash() {
                    self.at(self.now + RETRY_US, RunEvent::Arrive(request.index));
                }
            }
            RunEvent::Restart(engine) => self.engines[engine].alive = true,
        }
    }

    fn reachable(&self, node: usize) -> Vec<bool> {
        let cut = self.faults.contains(&ExperimentFault::ZoneCut)
            && (FAULT_BEGINS_US..CUT_ENDS_US).contains(&self.now);
        let zones = self.model.zones;
        let own = node % zones;
        (0..self.engines.len())
            .map(|engine| {
                let zone = engine % zones;
                !cut || own == zone || (own != 0 && zone != 0)
            })
            .collect()
    }

    fn arrive(&mut self, index: usize) {
        let node = self.entry_nodes[index];
        let reachable = self.reachable(node);
        let chain = &self.chains[index];
        let chosen = self
            .policy
            .choose(node, chain, &self.engines, &reachable, self.now);
        let Some(engine) = chosen else {
            self.tally.refused += 1;
            return;
        };
        if !self.engines[engine].alive {
            // The connection is refused: the node retries.
            self.at(self.now + RETRY_US, RunEvent::Arrive(index));
            return;
        }
        self.placed_by[index] = node;
        self.engines[engine].waiting.push_back(EngineRequest {
            index,
            chain: chain.clone(),
            answer_tokens: self.trace[index].answer_tokens,
            cached_tokens: 0,
        });
        let waiting = self.engines[engine].waiting.len();
        self.tally.max_queue = self.tally.max_queue.max(waiting);
        self.begin(engine);
    }

    fn begin(&mut self, engine: usize) {
        let Some(end) = self.engines[engine].begin_prefill(self.now) else {
            return;
        };
        let event_incarnation = self.engines[engine].incarnation;
        self.at(end, RunEvent::PrefillEnded(engine, event_incarnation));
        self.count_prefill(engine);
    }

    /// Counts the cached and the needlessly recomputed tokens of the prefill that has
    /// just begun.
    fn count_prefill(&mut self, engine: usize) {
        let Some((request, _)) = &self.engines[engine].prefilling else {
            return;
        };
        if self.trace[request.index].at_us < WARM_UP_US {
            return;
        }
        let chain = &request.chain;
        let best = self
            .engines
            .iter()
            .filter(|other| other.alive)
            .map(|other| chain.tokens_of(other.cache.cached_prefix(&chain.blocks)))
            .max();
        let wasted = best.unwrap_or(0).saturating_sub(request.cached_tokens);
        self.tally.prompt_tokens += u64::from(chain.tokens);
        self.tally.cached_tokens += u64::from(request.cached_tokens);
        self.tally.wasted_tokens += u64::from(wasted);
    }

    fn prefill_end(&mut self, engine: usize, event_incarnation: u64) {
        if self.engines[engine].incarnation != event_incarnation {
            return;
        }
        let Some(request) = self.engines[engine].end_prefill(self.now) else {
            return;
        };
        let index = request.index;
        let node = self.placed_by[index];
        let zones = self.model.zones;
        let crosses = node % zones != engine % zones;
        let round_trip_us = if crosses {
            (2_000.0 * self.model.zone_distance_ms) as u64
        } else {
            0
        };
        let first_token = self.now + self.model.decode_ms * 1_000 + round_trip_us;
        if self.trace[index].at_us >= WARM_UP_US {
            self.tally
                .ttft_us
                .push(first_token - self.trace[index].at_us);
            self.tally.completed += 1;
        }
        let end = self.now + request.answer_tokens * self.model.decode_ms * 1_000;
        self.at(end, RunEvent::DecodeEnded(engine, event_incarnation));
        self.begin(engine);
    }

    fn report(&mut self, engine: usize) {
        let known = &self.engines[engine];
        let health = if known.alive {
            Health::Ready
        } else {
            Health::Dead
        };
        self.reports[engine] = (known.incarnation, health, known.load());
        let lag = self.model.report_lag_ms * 1_000;
        self.at(self.now + lag, RunEvent::DeliverReport(engine));
        let period = self.model.report_period_ms * 1_000;
        self.at(self.now + period, RunEvent::Report(engine));
    }
}

/// Time after the last arrival until the run ends, in microseconds.
const DRAIN_US: u64 = 60_000_000;
