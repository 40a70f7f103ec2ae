//! Engines that turn requests away and ask the node to back off.

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

/// Nodes of the site.
const NODES: usize = 5;
/// Engines of the site.
const ENGINES: usize = 6;
/// Time between two requests at one node, in milliseconds: 100 a second at the site.
const PERIOD_MS: u64 = 50;
/// Time between two changes of what refusals name, in milliseconds.
const STEP_MS: u64 = 50;
/// Engines that a request may be sent to, by its route.
const MAX_ATTEMPTS: usize = 2;
/// Requests of a node that an engine may get within the time that it named.
const MAX_WITHIN_BACKOFF: usize = 2;
/// Longest time for which a request that is rejected may have been held; the shared thread of
/// the test comes on top.
const MAX_HOLD: Duration = Duration::from_millis(50);

/// What a time to back off made of the callers' requests.
struct ScenarioRun {
    site: Deployment,
    asked: Vec<Asked>,
    /// When the engines served again.
    ended_at: Instant,
    /// By how much a timer of this process was late at most.
    latest_timer: Duration,
}

/// How engines turn requests away.
#[derive(Clone, Copy)]
struct RefusalScenario {
    engines: usize,
    backoff_ms: u64,
    /// For how long they do, in milliseconds.
    for_ms: u64,
    /// Whether each second refusal or so names no time.
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
        println!("{most} requests of a node within a time to back off");
        assert!(
            most <= MAX_WITHIN_BACKOFF,
            "{most} within the time to back off"
        );
    }

    fn rejected(&self) -> impl Iterator<Item = &Asked> {
        self.asked.iter().filter(|asked| asked.status != 200)
    }

    /// Each rejected request had been turned away by so many engines: none is left then.
    fn check_rejected_only_after(&self, attempts: usize) {
        let engines = self.site.engines.iter();
        let arrived: Vec<String> = engines.flat_map(StandInEngine::arrived_ids).collect();
        for rejected in self.rejected() {
            let sent = arrived.iter().filter(|id| **id == rejected.id).count();
            assert_eq!(sent, attempts, "{} was rejected", rejected.id);
        }
    }

    /// Nothing is rejected any more a second after the last time to back off has ended.
    fn check_recovery(&self, backoff_ms: u64) {
        let serves_from = self.ended_at + Duration::from_millis(backoff_ms + 1_000);
        let last = self.rejected().map(|asked| asked.at).max();
        let late = last.map(|last| last.saturating_duration_since(serves_from));
        assert!(late.unwrap_or_default().is_zero(), "rejected {late:?} late");
    }
}

/// Guards against requests that engines get within the backoff that they had asked the node
/// for, where no other engine is left.
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
            println!("held for {longest:?} at most; a timer was late by {late:?} at most");
            assert!(longest < MAX_HOLD + late, "held for {longest:?}");
        }
    });
}

/// Guards against an engine that gets requests within its time to back off, or none after it,
/// while others serve.
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
            // The homes of prompts are drawn at random.
            assert!(got * ENGINES * 2 >= all, "{got} of {all} requests");
        }
    });
}

/// Guards against a later refusal that names no time and shortens one that runs.
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

/// Guards against a caller that is told the time of the one engine that refused its request,
/// and not when its service can serve it.
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
        // Both are asked, and one is the last.
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
            // The engine's time, a quarter of it, and the callers' own moments.
            assert!((900..=1_750).contains(&named), "{named} ms");
            times.push(named);
        }
        assert_eq!(
            engines.iter().map(StandInEngine::arrivals).sum::<usize>(),
            2
        );
        times.dedup();
        assert!(times.len() > 10, "callers come back together");
    });
}
