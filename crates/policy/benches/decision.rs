//! Measures the time of a decision, with directory lookup and engine choice, for prompts of 64
//! blocks and 1,000 engines. Run with `cargo bench -p ploverlift-policy`.

#[path = "../tests/support.rs"]
mod support;

use ploverlift_policy::chain::{ChainSeed, PromptChain};
use ploverlift_policy::cost::CostModel;
use ploverlift_policy::decide::{DecisionInput, RouteCandidates};
use ploverlift_policy::directory::Directory;
use ploverlift_policy::fleet::EngineIndex;
use ploverlift_policy::ids::{CacheScope, Incarnation, Millis, WeightsVersion, ZoneName};
use std::hint::black_box;
use std::time::Instant;

const ENGINES: usize = 1_000;
const PROMPTS: u64 = 1_000;
const BLOCKS: u64 = 64;
const DECISIONS: usize = 200_000;

fn prompt(number: u64) -> PromptChain {
    let scope = CacheScope::from("tenant");
    let seed = ChainSeed {
        scope: &scope,
        model: "model",
        weights: WeightsVersion(1),
    };
    // Each prompt shares the first half of its blocks with the other prompts of its group.
    let shared = (0..BLOCKS / 2).map(|block| number % 50 * 1_000 + block);
    let own = (0..BLOCKS / 2).map(|block| 1_000_000 + number * 1_000 + block);
    let identities: Vec<u64> = shared.chain(own).collect();
    PromptChain::of_identities(&seed, &identities, 1_000)
}

fn main() {
    let fleet = support::fleet(ENGINES);
    let candidates = RouteCandidates {
        eligible: fleet.iter().map(|(index, _)| index).collect(),
        ..RouteCandidates::default()
    };
    let prompts: Vec<PromptChain> = (0..PROMPTS).map(prompt).collect();
    let mut directory = Directory::new(500_000);
    let mut random = fastrand::Rng::with_seed(1);
    for chain in &prompts {
        let index = EngineIndex(random.u32(..ENGINES as u32));
        let key = fleet.get(index).key;
        directory.record(&chain.blocks, key, Incarnation(1), Millis(1));
    }
    let model = CostModel {
        prefill_ms_per_token: 0.03,
        recompute_weight: 3.0,
        zone_distance_ms: 1.5,
        slot_wait_ms: 50.0,
    };
    let own_zone = ZoneName::from("hall-north");
    let current = |key| fleet.find(key).map(|index| fleet.get(index).incarnation);
    let mut nanos = Vec::with_capacity(DECISIONS);
    for _ in 0..DECISIONS {
        let chain = &prompts[random.usize(..prompts.len())];
        let began = Instant::now();
        let matches = directory.lookup(chain, current);
        let input = DecisionInput {
            candidates: &candidates,
            fleet: &fleet,
            chain,
            matches: &matches,
            directory_answered: true,
            failed: &[],
            model: &model,
            own_zone: &own_zone,
            now: Millis(10),
        };
        black_box(input.decide(&mut random));
        nanos.push(began.elapsed().as_nanos());
    }
    nanos.sort_unstable();
    let at = |share: f64| nanos[(nanos.len() as f64 * share) as usize] as f64 / 1_000.0;
    println!(
        "decision over {ENGINES} engines, {BLOCKS} blocks: p50 {:.1} us, p99 {:.1} us",
        at(0.5),
        at(0.99)
    );
}
