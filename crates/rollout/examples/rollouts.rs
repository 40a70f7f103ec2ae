//! Measures rollouts over simulated fleets: the strategies for the share on bad and good
//! versions, and random rollouts with millions of requests.
//!
//! `cargo run --release -p ploverlift-rollout --example rollouts -- MODE [runs]`
//!
//! MODE is one of table, soak, soak-past and soak-steps.

#[path = "../tests/rollouts/fleet/mod.rs"]
mod fleet;

use fastrand::Rng;
use fleet::outcome::Outcome;
use fleet::scenario::{Defect, Disruption, Fault, MessageFaults, Scenario, SimService};
use fleet::{services, Fleet};
use ploverlift_rollout::order::RolloutState;
use ploverlift_rollout::settings::{RolloutSettings, Strategy};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Mutex;

/// Number of runs for each row of the table.
const TABLE_RUNS: u64 = 40;
/// Number of runs of the soak, with about six thousand requests each.
const SOAK_RUNS: u64 = 400;
/// Range of the factor on the time to the first byte for slow versions.
const SLOWER: (f64, f64) = (2.0, 9.0);
/// Simulated time after the deadline, in milliseconds.
const AFTER_DEADLINE_MS: u64 = 20_000;

fn main() {
    let mut arguments = std::env::args().skip(1);
    let mode = arguments.next().unwrap_or_default();
    let runs = arguments
        .next()
        .map(|text| text.parse().expect("a number of runs"));
    match mode.as_str() {
        "table" => table(runs.unwrap_or(TABLE_RUNS)),
        "soak" => soak(runs.unwrap_or(SOAK_RUNS), Strategy::default()),
        "soak-past" => soak(runs.unwrap_or(SOAK_RUNS), Strategy::HoldPastDeadline),
        "soak-steps" => soak(runs.unwrap_or(SOAK_RUNS), Strategy::Steps),
        other => eprintln!("'{other}' is none of table, soak, soak-past, soak-steps"),
    }
}

fn run_all(scenarios: Vec<Scenario>) -> Vec<(Scenario, Outcome)> {
    let threads = std::thread::available_parallelism().map_or(4, |it| it.get().min(6));
    let next = AtomicU64::new(0);
    let results = Mutex::new(Vec::new());
    std::thread::scope(|scope| {
        for _ in 0..threads {
            scope.spawn(|| loop {
                let index = next.fetch_add(1, Ordering::Relaxed) as usize;
                let Some(scenario) = scenarios.get(index) else {
                    return;
                };
                let outcome = Fleet::run(scenario.clone());
                results
                    .lock()
                    .expect("no panic")
                    .push((scenario.clone(), outcome));
            });
        }
    });
    results.into_inner().expect("no panic")
}

fn scenario(service: SimService, settings: RolloutSettings, seed: u64) -> Scenario {
    Scenario {
        until_ms: service.duration_ms + AFTER_DEADLINE_MS,
        service,
        settings,
        defect: None,
        disruptions: Vec::new(),
        message_faults: MessageFaults::default(),
        seed,
    }
}

fn defects() -> Vec<(&'static str, Option<Defect>)> {
    let fails = |fails| Defect {
        fails,
        ..Defect::default()
    };
    let slower = |slower| Defect {
        slower,
        ..Defect::default()
    };
    vec![
        ("good", None),
        ("fails 5 in 100", Some(fails(0.05))),
        ("fails 20 in 100", Some(fails(0.2))),
        ("fails 60 in 100", Some(fails(0.6))),
        ("slower by 2", Some(slower(2.0))),
        ("slower by 4", Some(slower(4.0))),
        ("slower by 8", Some(slower(8.0))),
        (
            "fails 20, from half the time on",
            Some(Defect {
                from_ms: 6_000,
                ..fails(0.2)
            }),
        ),
        (
            "fails 60, from nine tenths on",
            Some(Defect {
                from_ms: 10_800,
                ..fails(0.6)
            }),
        ),
        (
            "fails 60, 0.2 s after the cut-over",
            Some(Defect {
                after_cut_over_ms: Some(200),
                ..fails(0.6)
            }),
        ),
        (
            "fails 20, under load",
            Some(Defect {
                under_load: true,
                ..fails(0.2)
            }),
        ),
        (
            "fails 60, on the second route",
            Some(Defect {
                route: Some("reply"),
                ..fails(0.6)
            }),
        ),
        (
            "slower by 4, on the first route",
            Some(Defect {
                route: Some("screen"),
                ..slower(4.0)
            }),
        ),
    ]
}

fn for_service(mut defect: Option<Defect>, service: &SimService) -> Option<Defect> {
    if let Some(Defect {
        route: Some(route), ..
    }) = &mut defect
    {
        let index = usize::from(*route == "reply");
        *route = service.routes[index].name;
    }
    defect
}

fn table(runs: u64) {
    let hold = RolloutSettings::default();
    let past = RolloutSettings {
        strategy: Strategy::HoldPastDeadline,
        ..hold
    };
    let steps = RolloutSettings {
        strategy: Strategy::Steps,
        ..hold
    };
    let unbounded = RolloutSettings {
        canary_share: 1.0,
        ..hold
    };
    let ways = [
        ("hold", hold),
        ("past deadline", past),
        ("steps", steps),
        ("unbounded", unbounded),
    ];
    let lasting = |service: SimService| SimService {
        duration_ms: 60_000,
        ..service
    };
    for (name, service) in [
        ("models, 12 s", services::models()),
        ("payments, 12 s", services::payments()),
        ("models, 60 s", lasting(services::models())),
        ("payments, 60 s", lasting(services::payments())),
    ] {
        println!("\n### {name}\n");
        println!("| version | way | over the bound | arrivals beyond 0.1 of requests, worst (bound 50) | share p50 | end p50, p99 s | rolled back | completed | duties missed | stopped after the 50th bad, worst s |");
        println!("| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |");
        for (defect_name, defect) in defects() {
            for (way, settings) in ways {
                let defect = for_service(defect, &service);
                let scenarios = (0..runs).map(|seed| Scenario {
                    defect,
                    ..scenario(service.clone(), settings, seed)
                });
                row(defect_name, way, &run_all(scenarios.collect()));
            }
        }
    }
}

fn row(defect: &str, way: &str, results: &[(Scenario, Outcome)]) {
    let bound = RolloutSettings::default();
    let beyond = |outcome: &Outcome| {
        outcome.target_arrivals as f64 - bound.canary_share * outcome.requests as f64
    };
    let outcomes = || results.iter().map(|(_, outcome)| outcome);
    let worst = outcomes().map(beyond).fold(f64::NEG_INFINITY, f64::max);
    let broken = outcomes()
        .filter(|it| beyond(it) > bound.canary_slack as f64)
        .count();
    let mut shares: Vec<u64> = outcomes()
        .map(|it| (it.share() * 10_000.0) as u64)
        .collect();
    let mut verdicts: Vec<u64> = outcomes()
        .filter_map(|it| {
            it.at(RolloutState::RolledBack)
                .or(it.at(RolloutState::Completed))
        })
        .collect();
    let rolled_back = outcomes()
        .filter(|it| it.at(RolloutState::RolledBack).is_some())
        .count();
    let completed = outcomes()
        .filter(|it| it.at(RolloutState::Completed).is_some())
        .count();
    let missed = results.iter().filter(|(scenario, it)| {
        let wanted = match scenario.defect {
            Some(_) => RolloutState::RolledBack,
            None => RolloutState::Completed,
        };
        let at = it.at(wanted);
        at.is_none_or(|at| at > scenario.service.duration_ms)
    });
    let stopped = outcomes().filter_map(Outcome::stopped_after).max();
    println!(
        "| {defect} | {way} | {broken} of {} | {worst:.0} | {:.3} | {:.1}, {:.1} | {rolled_back} | {completed} | {} | {} |",
        results.len(),
        quantile(&mut shares, 0.5) as f64 / 10_000.0,
        quantile(&mut verdicts, 0.5) as f64 / 1_000.0,
        quantile(&mut verdicts, 0.99) as f64 / 1_000.0,
        missed.count(),
        stopped.map_or("-".to_owned(), |ms| format!("{:.1}", ms as f64 / 1_000.0)),
    );
}

fn quantile(values: &mut [u64], part: f64) -> u64 {
    values.sort_unstable();
    let index = (values.len() as f64 * part).ceil() as usize;
    values.get(index.saturating_sub(1)).copied().unwrap_or(0)
}

fn random_defect(rng: &mut Rng, service: &SimService) -> Option<Defect> {
    if rng.bool() {
        return None;
    }
    let route = service.routes[rng.usize(0..service.routes.len())].name;
    let is_slow = rng.bool();
    let slower = SLOWER.0 + (SLOWER.1 - SLOWER.0) * rng.f64();
    Some(Defect {
        from_ms: [0, 0, rng.u64(0..service.duration_ms)][rng.usize(0..3)],
        after_cut_over_ms: (rng.u8(0..8) == 0).then(|| rng.u64(0..1_000)),
        fails: if is_slow {
            0.0
        } else {
            0.05 + 0.75 * rng.f64()
        },
        slower: if is_slow { slower } else { 1.0 },
        under_load: rng.u8(0..4) == 0,
        route: (rng.u8(0..4) == 0).then_some(route),
    })
}

fn random_disruptions(rng: &mut Rng, service: &SimService) -> Vec<Disruption> {
    let disruption = |rng: &mut Rng| Disruption {
        node: rng.bool().then(|| rng.u32(0..service.nodes)),
        fault: [Fault::Cut, Fault::Pause, Fault::Kill][rng.usize(0..3)],
        from_ms: rng.u64(0..service.duration_ms),
        for_ms: rng.u64(200..8_000),
    };
    let count = [0, 0, 1, 3][rng.usize(0..4)];
    (0..count).map(|_| disruption(rng)).collect()
}

fn random_scenario(seed: u64, strategy: Strategy) -> Scenario {
    let mut rng = Rng::with_seed(seed);
    let mut service = match rng.bool() {
        true => services::models(),
        false => services::payments(),
    };
    service.rate *= 0.5 + 1.5 * rng.f64();
    service.duration_ms = (6_000.0 * 30f64.powf(rng.f64())) as u64;
    service.own_failures = [0.0, 0.003, 0.02, 0.14][rng.usize(0..4)];
    if rng.u8(0..4) == 0 {
        service.burst = Some((rng.u64(0..service.duration_ms), 3.0));
    }
    let defect = random_defect(&mut rng, &service);
    let disruptions = random_disruptions(&mut rng, &service);
    let settings = RolloutSettings {
        strategy,
        ..RolloutSettings::default()
    };
    Scenario {
        defect,
        disruptions,
        message_faults: MessageFaults {
            lost: [0.0, 0.1, 0.3][rng.usize(0..3)],
            doubled: 0.1,
            store_unavailable: None,
            answers_lost: 0.1,
        },
        ..scenario(service, settings, seed)
    }
}

fn soak(runs: u64, strategy: Strategy) {
    let results = run_all(
        (0..runs)
            .map(|seed| random_scenario(seed, strategy))
            .collect(),
    );
    let requests: u64 = results.iter().map(|(_, it)| it.all_requests).sum();
    let bound = RolloutSettings::default();
    let is_bad = |scenario: &Scenario| scenario.defect.is_some();
    let mut used: Vec<u64> = results
        .iter()
        .map(|(_, it)| {
            let allowed = bound.canary_share * it.requests as f64 + bound.canary_slack as f64;
            (it.target_arrivals as f64 / allowed * 1_000.0) as u64
        })
        .collect();
    let mut stopped: Vec<u64> = results
        .iter()
        .filter_map(|(scenario, it)| {
            let is_back = it.at(RolloutState::RolledBack).is_some();
            (is_bad(scenario) && is_back)
                .then(|| it.stopped_after())
                .flatten()
        })
        .collect();
    let escaped = results.iter().filter(|(scenario, it)| {
        is_bad(scenario) && it.stopped_after().is_some_and(|ms| ms > bound.roll_back_ms)
    });
    let escaped: Vec<_> = escaped.collect();
    let good = || results.iter().filter(|(scenario, _)| !is_bad(scenario));
    let false_backs = good()
        .filter(|(_, it)| it.at(RolloutState::RolledBack).is_some())
        .count();
    let completed = good()
        .filter(|(_, it)| it.at(RolloutState::Completed).is_some())
        .count();
    let in_time = good()
        .filter(|(scenario, it)| {
            it.at(RolloutState::Completed)
                .is_some_and(|at| at <= scenario.service.duration_ms)
        })
        .count();
    let bad_completed = results
        .iter()
        .filter(|(scenario, it)| is_bad(scenario) && it.at(RolloutState::Completed).is_some())
        .count();
    let after: u64 = results
        .iter()
        .map(|(_, it)| it.established_after_completed)
        .sum();
    let running: u64 = results.iter().map(|(_, it)| it.running_at_completed).sum();
    println!(
        "runs {runs}, requests {requests}, good {}, bad {}",
        good().count(),
        results.len() - good().count()
    );
    println!(
        "exposure as a part of its bound: p50 {:.3}, p99.9 {:.3}, worst {:.3}",
        quantile(&mut used, 0.5) as f64 / 1e3,
        quantile(&mut used, 0.999) as f64 / 1e3,
        quantile(&mut used, 1.0) as f64 / 1e3
    );
    let over = results.iter().filter(|(_, it)| {
        it.target_arrivals as f64
            > bound.canary_share * it.requests as f64 + bound.canary_slack as f64
    });
    for (scenario, it) in over.take(10) {
        println!("    seed {} rate {:.0} duration {} burst {:?} {:?} arrivals {} requests {} stages {:?}", scenario.seed, scenario.service.rate, scenario.service.duration_ms, scenario.service.burst, scenario.defect, it.target_arrivals, it.requests,
            it.stages.iter().map(|(at, stage, _)| (*at, *stage)).collect::<Vec<_>>());
    }
    println!("from the 50th bad answer to the last request, of {} rolled back: p50 {} ms, p99 {} ms, worst {} ms",
        stopped.len(), quantile(&mut stopped, 0.5), quantile(&mut stopped, 0.99), quantile(&mut stopped, 1.0));
    println!(
        "bad versions that went on answering beyond the bound: {} (completed: {bad_completed})",
        escaped.len()
    );
    for (scenario, it) in escaped.iter().take(20) {
        println!(
            "    seed {} rate {:.0} {:?} {:?} stopped after {:?} stages {:?}",
            scenario.seed,
            scenario.service.rate,
            scenario.defect,
            scenario.disruptions,
            it.stopped_after(),
            it.stages
                .iter()
                .map(|(at, stage, _)| (*at, *stage))
                .collect::<Vec<_>>()
        );
    }
    println!("good versions: rolled back {false_backs}, completed {completed}, by the deadline {in_time}");
    for (scenario, it) in good()
        .filter(|(_, it)| it.at(RolloutState::RolledBack).is_some())
        .take(10)
    {
        println!(
            "    seed {} rate {:.0} burst {:?} {:?}",
            scenario.seed,
            scenario.service.rate,
            scenario.service.burst,
            it.stages.last()
        );
    }
    println!("sent to established engines after completed: {after}; running there at completed, of nodes in touch: {running}");
}
