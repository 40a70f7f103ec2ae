//! Cost of choosing an engine and of taking in a list of all engines, by fleet size. The
//! choice must stay bounded, and the list must grow only in proportion to its engines.

#[path = "../tests/choices/fleet.rs"]
#[allow(dead_code)]
mod fleet;

use criterion::{criterion_group, criterion_main, BenchmarkId, Criterion};
use fleet::{record, NOW, RATES};
use ploverlift_balancing::catalogue::{EngineCatalogue, EngineRecord};
use ploverlift_balancing::engine_caches::EngineCaches;
use ploverlift_balancing::engine_paths::EnginePaths;
use ploverlift_balancing::fleet::{Criteria, FleetView, PromptCriteria};
use ploverlift_balancing::moves::MovesUnderWay;
use ploverlift_balancing::peer_loads::PeerLoads;
use ploverlift_balancing::prefix_holders::PrefixHolders;
use ploverlift_balancing::round_trips::RoundTrips;
use ploverlift_balancing::selection::choose;
use ploverlift_balancing::unreported_load::RecentPrefill;
use ploverlift_policy::ids::ZoneName;
use ploverlift_routing::configuration::ServiceName;
use ploverlift_routing::prompt::{ChainKey, PromptPart};
use ploverlift_routing::software::SoftwareRule;
use ploverlift_routing::topology::Topology;

const ZONES: usize = 5;

fn records(engines: usize) -> Vec<EngineRecord> {
    let records = (0..engines).map(|index| EngineRecord {
        zone: ZoneName(format!("z{}", index % ZONES)),
        ..record(index)
    });
    records.collect()
}

fn catalogue(records: &[EngineRecord]) -> EngineCatalogue {
    let mut catalogue = EngineCatalogue::default();
    for record in records {
        catalogue.upsert(record.clone());
    }
    catalogue
}

fn choices(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("choose");
    for engines in [300, 1_000, 10_000] {
        let catalogue = catalogue(&records(engines));
        let (topology, round_trips) = (Topology::default(), RoundTrips::default());
        let (loads, holders) = (PeerLoads::default(), PrefixHolders::default());
        let (caches, prefill) = (EngineCaches::default(), RecentPrefill::default());
        let moves = MovesUnderWay::default();
        let (service, zone) = (ServiceName::from("llm"), ZoneName::from("z0"));
        let shared = [PromptPart {
            id: 1,
            tokens: 6_300,
        }];
        let mut key = 0;
        group.bench_function(BenchmarkId::from_parameter(engines), |bencher| {
            bencher.iter(|| {
                key += 1;
                let view = FleetView {
                    topology: &topology,
                    round_trips: &round_trips,
                    catalogue: &catalogue,
                    peer_loads: &loads,
                    holders: &holders,
                    caches: &caches,
                    paths: &EnginePaths::default(),
                    recent_prefill: &prefill,
                    moves: &moves,
                    cache_stores: Vec::new(),
                };
                let criteria = Criteria {
                    service: &service,
                    zone: &zone,
                    request_bytes: 1_000,
                    prompt: Some(PromptCriteria {
                        model: "m",
                        scope: "",
                        key: ChainKey(key),
                        shared: &shared,
                        move_tokens_per_ms: 1_000.0,
                        required_weights: 0,
                        arrival_fraction: 0.5,
                    }),
                    software: SoftwareRule::default(),
                    sample_seed: key,
                    excluded: &[],
                    leaving_grace_ms: 0,
                    avoids_limited: false,
                };
                choose(&view, &criteria, &RATES, NOW)
            });
        });
    }
    group.finish();
}

fn lists(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("take_list");
    group.sample_size(10);
    for engines in [300, 10_000] {
        let records = records(engines);
        group.bench_function(BenchmarkId::from_parameter(engines), |bencher| {
            bencher.iter(|| {
                let catalogue = catalogue(&records);
                catalogue.missing_in(&records).len()
            });
        });
    }
    group.finish();
}

criterion_group!(benches, choices, lists);
criterion_main!(benches);
