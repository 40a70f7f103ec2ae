//! What a takeover leaves behind: the retry budget and the health of engines.

use crate::support::caller::{self, prompt, request};
use crate::support::engine::{all_events, Behaviour, StandInEngine};
use crate::support::{configuration, Fixture};
use ploverlift_balancing::engine_paths::DirectFailure;
use ploverlift_balancing::names::{EngineTag, InstanceId};
use ploverlift_gateway::time::sleep;
use ploverlift_routing::configuration::ServiceName;

/// One retry within a second.
const ONE_RETRY: &str = "[attempts]\nretry_reserve = 1.0\n\
                         [bounds]\nretry_ratio = 0.0\nretry_window_seconds = 1.0\n";
/// A pause that ends 100 ms after the silence for which a stream waits, in milliseconds: within
/// the time-out of a connection.
const PAUSE_MS: u64 = 1_600;

// Guards against a retry that was taken for a takeover which did not happen being used in a
// later window of the budget, beside the retries that this window permits.
#[test]
fn a_retry_of_a_cancelled_takeover_does_not_count_in_a_later_window() {
    smol::block_on(async {
        let mut engines = [
            StandInEngine::start("llm-1", "llm", Behaviour::PauseOften(PAUSE_MS)).await,
            StandInEngine::start("llm-2", "llm", Behaviour::PauseOften(PAUSE_MS)).await,
        ];
        let known = [&engines[0], &engines[1]];
        let fixture = Fixture::with(&known, configuration(1), ONE_RETRY).await;
        let address = fixture.running().callers;
        let answer =
            smol::spawn(async move { caller::send(address, &prompt("long.test", "r")).await });
        let first_has_it = async { engines[0].happened.recv().await.map(|()| 1) };
        let second_has_it = async { engines[1].happened.recv().await.map(|()| 0) };
        let has_it = futures_lite::future::or(first_has_it, second_has_it).await;
        let other = &mut engines[has_it.expect("an engine has the request")];
        other.set(Behaviour::Answer);
        other.lose_power().await;
        let takeovers = &fixture.gateway.metrics.repeats;
        while takeovers.get() == 0 {
            caller::get_status(fixture.running().readiness).await;
        }
        sleep(400).await;
        assert_eq!(other.arrivals(), 0, "the first takeover was cancelled");
        other.regain_power();
        other.happened.recv().await.expect("the second takeover");
        let has_retry = {
            let (now, settings) = (fixture.gateway.clock.now(), fixture.gateway.settings());
            let mut beliefs = fixture.gateway.beliefs();
            let service = ServiceName::from("llm");
            beliefs.retry_budget(&service, &settings).has_retry(now)
        };
        assert!(!has_retry, "the takeover used the retry of this second");
        let answer = answer.await;
        assert_eq!((answer.text(), answer.is_whole), (all_events(), true));
    });
}

// Guards against a cut link being held against the engine and its software version where another
// engine takes the request over.
#[test]
fn a_takeover_from_an_engine_that_is_cut_off_is_not_held_against_it() {
    smol::block_on(async {
        let engines = [
            StandInEngine::start("app-1", "app", Behaviour::Silent).await,
            StandInEngine::start("app-2", "app", Behaviour::Silent).await,
        ];
        let known = [&engines[0], &engines[1]];
        let brisk = "[attempts]\ntimeout_objectives = 1.0\n";
        let fixture = Fixture::with(&known, configuration(1), brisk).await;
        let address = fixture.running().callers;
        let answer =
            smol::spawn(async move { caller::send(address, &request("safe.test", "r")).await });
        let first_has_it = async { engines[0].happened.recv().await.map(|()| (0, 1)) };
        let second_has_it = async { engines[1].happened.recv().await.map(|()| (1, 0)) };
        let has_it = futures_lite::future::or(first_has_it, second_has_it).await;
        let (home, other) = has_it.expect("an engine has the request");
        engines[other].set(Behaviour::Answer);
        let home = InstanceId(engines[home].instance.clone());
        let now = fixture.gateway.clock.now();
        let cut = DirectFailure::NoAnswer;
        let tag = EngineTag::of(&home);
        fixture
            .gateway
            .beliefs()
            .engine_paths
            .note_cut(tag, cut, now);
        assert_eq!(answer.await.status(), 200);
        let beliefs = fixture.gateway.beliefs();
        let health = beliefs.engines.get(&home).expect("the engine").health;
        assert_eq!(health.outcomes(), 0, "the link broke the attempt");
    });
}
