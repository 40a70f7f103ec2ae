//! Engines that turn requests away and ask the node to back off.

use crate::oracle::most_within_backoff;
use crate::play_alone;
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
const MOST_WITHIN: usize = 2;
/// Longest time for which a request that is rejected may have been held; the shared thread of
/// the test comes on top.
const LONGEST_HOLD: Duration = Duration::from_millis(50);

/// What a time to back off made of the callers' requests.
struct Played {
    site: Deployment,
    asked: Vec<Asked>,
    /// When the engines served again.
    ended_at: Instant,
    /// By how much a timer of this process was late at most.
    latest_timer: Duration,
}

/// How engines turn requests away.
#[derive(Clone, Copy)]
struct Refusing {
    engines: usize,
    backoff_ms: u64,
    /// For how long they do, in milliseconds.
    for_ms: u64,
    /// Whether each second refusal or so names no time.
    is_mixed: bool,
}

const USUAL: Refusing = Refusing {
    engines: ENGINES,
    backoff_ms: 1_000,
    for_ms: 2_500,
    is_mixed: false,
};

async fn play(refusing: Refusing) -> Played {
    let mut site = Deployment::new(ENGINES).await;
    site.start_nodes(NODES).await;
    let traffic = Traffic::start(site.callers(), PERIOD_MS);
    sleep(500).await;
    let engines = &site.engines[..refusing.engines];
    let value = refusing.backoff_ms.to_string();
    for engine in engines {
        engine.name_backoff(Some(&value));
        engine.set(Behaviour::Refuse);
    }
    for step in 0..refusing.for_ms / STEP_MS {
        let names_time = !refusing.is_mixed || step % 2 == 0;
        for engine in engines {
            engine.name_backoff(names_time.then_some(value.as_str()));
        }
        sleep(STEP_MS).await;
    }
    for engine in engines {
        engine.set(Behaviour::Answer);
    }
    let ended_at = Instant::now();
    sleep(refusing.backoff_ms + 2_000).await;
    let latest_timer = traffic.latest_timer();
    Played {
        asked: traffic.asked(),
        site,
        ended_at,
        latest_timer,
    }
}

impl Played {
    fn check_engines(&self) {
        let most = self.site.engines.iter().map(most_within_backoff);
        let most = most.max().unwrap_or(0);
        println!("{most} requests of a node within a time to back off");
        assert!(most <= MOST_WITHIN, "{most} within the time to back off");
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
    fn check_return(&self, backoff_ms: u64) {
        let serves_from = self.ended_at + Duration::from_millis(backoff_ms + 1_000);
        let last = self.rejected().map(|asked| asked.at).max();
        let late = last.map(|last| last.saturating_duration_since(serves_from));
        assert!(late.unwrap_or_default().is_zero(), "rejected {late:?} late");
    }
}

/// Guards against requests that engines get within the backoff that they had asked the node
/// for, where no other engine is left.
#[test]
fn engines_that_all_want_nothing_for_a_time_get_nothing_and_callers_are_rejected_at_once() {
    let _playing = play_alone();
    smol::block_on(async {
        for (backoff_ms, for_ms) in [(200, 1_500), (2_000, 2_500), (10_000, 500)] {
            let refusing = Refusing {
                backoff_ms,
                for_ms,
                ..USUAL
            };
            let played = play(refusing).await;
            played.check_engines();
            played.check_return(backoff_ms);
            assert!(played.rejected().count() > 10);
            assert!(played.rejected().all(|asked| asked.status == 503));
            let longest = played.rejected().map(|asked| asked.took).max();
            let longest = longest.unwrap_or_default();
            let late = played.latest_timer;
            println!("held for {longest:?} at most; a timer was late by {late:?} at most");
            assert!(longest < LONGEST_HOLD + late, "held for {longest:?}");
        }
    });
}

/// Guards against an engine that gets requests within its time to back off, or none after it,
/// while others serve.
#[test]
fn some_engines_that_want_nothing_for_a_time_cost_no_answer_and_get_their_share_afterwards() {
    let _playing = play_alone();
    smol::block_on(async {
        for (engines, backoff_ms) in [(1, 200), (1, 1_000), (ENGINES / 3, 1_000)] {
            let refusing = Refusing {
                engines,
                backoff_ms,
                ..USUAL
            };
            let played = play(refusing).await;
            played.check_engines();
            played.check_rejected_only_after(MAX_ATTEMPTS);
            let from = played.ended_at + Duration::from_millis(backoff_ms + 1_000);
            let since = |arrivals: Vec<Instant>| {
                let arrivals = arrivals.into_iter();
                arrivals.filter(|at| *at >= from).count()
            };
            let all: usize = played
                .site
                .engines
                .iter()
                .map(|one| since(one.arrival_times()))
                .sum();
            let got = since(played.site.engines[0].arrival_times());
            // The homes of prompts are drawn at random.
            assert!(got * ENGINES * 2 >= all, "{got} of {all} requests");
        }
    });
}

/// Guards against a later refusal that names no time and shortens one that runs.
#[test]
fn refusals_that_name_no_time_do_not_shorten_one_that_an_engine_named() {
    let _playing = play_alone();
    smol::block_on(async {
        let refusing = Refusing {
            is_mixed: true,
            ..USUAL
        };
        let played = play(refusing).await;
        played.check_engines();
        played.check_return(refusing.backoff_ms);
    });
}

#[test]
fn a_time_to_back_off_that_is_no_time_is_counted_and_bars_nothing() {
    let _playing = play_alone();
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
fn callers_come_back_when_the_first_engine_wants_requests_again() {
    let _playing = play_alone();
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
