//! Engines that refuse requests and ask the node to back off.

use crate::oracle::max_within_backoff;
use crate::run_exclusively;
use crate::support::caller::request;
use crate::support::deployment::Deployment;
use crate::support::engine::{Behaviour, StandInEngine};
use crate::support::traffic::{Asked, Traffic};
use crate::support::Fixture;
use ploverlift_gateway::metrics::SignalLabel;
use ploverlift_gateway::time::sleep;
use std::time::{Duration, Instant};

/// Number of nodes.
const NODES: usize = 5;
/// Number of engines.
const ENGINES: usize = 6;
/// Time between two requests at one node, in milliseconds: 100 per second over all nodes.
const PERIOD_MS: u64 = 50;
/// Time between two changes of the backoff that refusals request, in milliseconds.
const STEP_MS: u64 = 50;
/// Maximum number of engines that a request may be sent to, set by its route.
const MAX_ATTEMPTS: usize = 2;
/// Maximum number of requests that an engine may get from a node within its backoff.
const MAX_WITHIN_BACKOFF: usize = 2;
/// Maximum time for which a rejected request may have been held; the delay of timers on the
/// test's shared thread is added to it.
const MAX_HOLD: Duration = Duration::from_millis(50);

/// Result of running a scenario: the deployment and all answered requests.
struct ScenarioRun {
    site: Deployment,
    asked: Vec<Asked>,
    /// When the engines stopped refusing requests.
    ended_at: Instant,
    /// Maximum delay of a timer of this process.
    latest_timer: Duration,
}

/// How engines refuse requests.
#[derive(Clone, Copy)]
struct RefusalScenario {
    engines: usize,
    backoff_ms: u64,
    /// Duration of the refusals, in milliseconds.
    for_ms: u64,
    /// Whether the engines request a backoff only in every second interval of `STEP_MS`.
    omits_some_times: bool,
}

const DEFAULT_SCENARIO: RefusalScenario = RefusalScenario {
    engines: ENGINES,
    backoff_ms: 1_000,
    for_ms: 2_500,
    omits_some_times: false,
};

async fn run_scenario(scenario: RefusalScenario) -> ScenarioRun {
    let mut site = Deployment::new(ENGINES).await;
    site.start_nodes(NODES).await;
    let traffic = Traffic::start(site.callers(), PERIOD_MS);
    sleep(500).await;
    let engines = &site.engines[..scenario.engines];
    let value = scenario.backoff_ms.to_string();
    for engine in engines {
        engine.name_backoff(Some(&value));
        engine.set(Behaviour::Refuse);
    }
    for step in 0..scenario.for_ms / STEP_MS {
        let names_time = !scenario.omits_some_times || step % 2 == 0;
        for engine in engines {
            engine.name_backoff(names_time.then_some(value.as_str()));
        }
        sleep(STEP_MS).await;
    }
    for engine in engines {
        engine.set(Behaviour::Answer);
    }
    let ended_at = Instant::now();
    sleep(scenario.backoff_ms + 2_000).await;
    let latest_timer = traffic.latest_timer();
    ScenarioRun {
        asked: traffic.asked(),
        site,
        ended_at,
        latest_timer,
    }
}

impl ScenarioRun {
    fn check_engines(&self) {
        let most = self.site.engines.iter().map(max_within_backoff);
        let most = most.max().unwrap_or(0);
        println!("at most {most} requests of a node within a backoff");
        assert!(
            most <= MAX_WITHIN_BACKOFF,
            "an engine got {most} requests of a node within its backoff"
        );
    }

    fn rejected(&self) -> impl Iterator<Item = &Asked> {
        self.asked.iter().filter(|asked| asked.status != 200)
    }

    /// Checks that each rejected request had been sent to `attempts` engines before.
    fn check_rejected_only_after(&self, attempts: usize) {
        let engines = self.site.engines.iter();
        let arrived: Vec<String> = engines.flat_map(StandInEngine::arrived_ids).collect();
        for rejected in self.rejected() {
            let sent = arrived.iter().filter(|id| **id == rejected.id).count();
            assert_eq!(
                sent, attempts,
                "attempts of the rejected request {}",
                rejected.id
            );
        }
    }

    /// Checks that no request is rejected later than 1 s after the end of the last backoff.
    fn check_recovery(&self, backoff_ms: u64) {
        let serves_from = self.ended_at + Duration::from_millis(backoff_ms + 1_000);
        let last = self.rejected().map(|asked| asked.at).max();
        let late = last.map(|last| last.saturating_duration_since(serves_from));
        assert!(
            late.unwrap_or_default().is_zero(),
            "a request was rejected {late:?} too late"
        );
    }
}

/// Guards against requests that are sent to an engine within its backoff, or held for long,
/// when all engines are backing off.
#[test]
fn requests_are_rejected_at_once_while_all_engines_are_backing_off() {
    let _exclusive = run_exclusively();
    smol::block_on(async {
        for (backoff_ms, for_ms) in [(200, 1_500), (2_000, 2_500), (10_000, 500)] {
            let scenario = RefusalScenario {
                backoff_ms,
                for_ms,
                ..DEFAULT_SCENARIO
            };
            let run = run_scenario(scenario).await;
            run.check_engines();
            run.check_recovery(backoff_ms);
            assert!(run.rejected().count() > 10);
            assert!(run.rejected().all(|asked| asked.status == 503));
            let longest = run.rejected().map(|asked| asked.took).max();
            let longest = longest.unwrap_or_default();
            let late = run.latest_timer;
            println!("held for at most {longest:?}; timers late by at most {late:?}");
            assert!(
                longest < MAX_HOLD + late,
                "a rejected request was held for {longest:?}"
            );
        }
    });
}

/// Guards against an engine that gets requests within its backoff, or too few after it, while
/// other engines serve.
#[test]
fn backoff_of_some_engines_loses_no_request_and_traffic_returns_afterwards() {
    let _exclusive = run_exclusively();
    smol::block_on(async {
        for (engines, backoff_ms) in [(1, 200), (1, 1_000), (ENGINES / 3, 1_000)] {
            let scenario = RefusalScenario {
                engines,
                backoff_ms,
                ..DEFAULT_SCENARIO
            };
            let run = run_scenario(scenario).await;
            run.check_engines();
            run.check_rejected_only_after(MAX_ATTEMPTS);
            let from = run.ended_at + Duration::from_millis(backoff_ms + 1_000);
            let since = |arrivals: Vec<Instant>| {
                let arrivals = arrivals.into_iter();
                arrivals.filter(|at| *at >= from).count()
            };
            let all: usize = run
                .site
                .engines
                .iter()
                .map(|one| since(one.arrival_times()))
                .sum();
            let got = since(run.site.engines[0].arrival_times());
            // Prompts are assigned to engines at random, so the share may vary by a factor of 2.
            assert!(
                got * ENGINES * 2 >= all,
                "the engine got {got} of {all} requests"
            );
        }
    });
}

/// Guards against a later refusal without a backoff that shortens a running one.
#[test]
fn refusals_without_a_backoff_do_not_shorten_a_running_one() {
    let _exclusive = run_exclusively();
    smol::block_on(async {
        let scenario = RefusalScenario {
            omits_some_times: true,
            ..DEFAULT_SCENARIO
        };
        let run = run_scenario(scenario).await;
        run.check_engines();
        run.check_recovery(scenario.backoff_ms);
    });
}

#[test]
fn invalid_backoff_is_counted_and_ignored() {
    let _exclusive = run_exclusively();
    smol::block_on(async {
        let engine = StandInEngine::start("app-1", "app", Behaviour::Refuse).await;
        let fixture = Fixture::new(&[&engine]).await;
        for (number, value) in ["inf", "-1", "1e30", "soon"].into_iter().enumerate() {
            engine.name_backoff(Some(value));
            let call = request("safe.test", &format!("r{number}"));
            assert_eq!(fixture.send(&call).await.status(), 503);
            let label = SignalLabel { signal: "backoff" };
            let invalid = &fixture.gateway.metrics.invalid_signals;
            assert_eq!(invalid.get_or_create(&label).get(), number as u64 + 1);
            assert_eq!(engine.arrivals(), number + 1);
        }
    });
}

/// Guards against a retry-after time that is taken from the engine that refused the request,
/// instead of the earliest time at which any engine of the service can serve it.
#[test]
fn retry_after_is_the_earliest_end_of_an_engines_backoff() {
    let _exclusive = run_exclusively();
    smol::block_on(async {
        let engines = [
            StandInEngine::start("app-1", "app", Behaviour::Refuse).await,
            StandInEngine::start("app-2", "app", Behaviour::Refuse).await,
        ];
        engines[0].name_backoff(Some("1000"));
        engines[1].name_backoff(Some("9000"));
        let fixture = Fixture::new(&[&engines[0], &engines[1]]).await;
        // The first request is sent to both engines; it is unknown which one gets it last.
        let first = fixture.send(&request("safe.test", "first")).await;
        assert_eq!(first.status(), 503);
        assert_eq!(
            engines.iter().map(StandInEngine::arrivals).sum::<usize>(),
            2
        );
        let mut times = Vec::new();
        for number in 0..20 {
            let call = request("safe.test", &format!("r{number}"));
            let answer = fixture.send(&call).await;
            let named = answer.head.headers.get("retry-after-ms");
            let named: u64 = named.expect("a time").parse().expect("a number");
            // The engine's backoff, up to a quarter of it, and the jitter between callers.
            assert!((900..=1_750).contains(&named), "retry after {named} ms");
            times.push(named);
        }
        assert_eq!(
            engines.iter().map(StandInEngine::arrivals).sum::<usize>(),
            2
        );
        times.dedup();
        assert!(times.len() > 10, "callers retry at the same time");
    });
}
