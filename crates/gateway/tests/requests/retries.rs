//! Retries of requests, and engines whose identity or weights differ from the expected ones.

use crate::app_engine::app;
use crate::support::caller::{self, prompt, request};
use crate::support::engine::{all_events, Behaviour, StandInEngine};
use crate::support::{site, Fixture};
use ploverlift_gateway::settings::GatewaySettings;
use ploverlift_routing::configuration::ServiceName;
use serde_json::json;

#[test]
fn misdirected_requests_do_not_mark_an_engine_as_leaving() {
    /// Longest time until the engine gets requests again.
    const MAX_RECOVERY_TIME: std::time::Duration = std::time::Duration::from_secs(20);
    smol::block_on(async {
        let app = app(Behaviour::IsAnother).await;
        let fixture = Fixture::new(&[&app]).await;
        let status = || async { fixture.send(&request("safe.test", "r")).await.status() };
        assert_eq!(status().await, 503);
        assert_eq!(app.heads().len(), 1);
        // The engine answers correctly again, and its entry in the store has not changed.
        app.set(Behaviour::Answer);
        let until = std::time::Instant::now() + MAX_RECOVERY_TIME;
        while status().await != 200 {
            assert!(
                std::time::Instant::now() < until,
                "the engine gets no request"
            );
            ploverlift_gateway::time::sleep(50).await;
        }
    });
}

#[test]
fn a_request_that_may_have_run_is_sent_again_only_when_it_may_be_repeated() {
    smol::block_on(async {
        let bad = StandInEngine::start("app-1", "app", Behaviour::Reset).await;
        let good = StandInEngine::start("app-2", "app", Behaviour::Answer).await;
        let fixture = Fixture::new(&[&bad, &good]).await;
        for number in 0..6 {
            let repeatable = fixture
                .send(&request("safe.test", &format!("s{number}")))
                .await;
            assert_eq!(repeatable.status(), 200);
            let once = fixture
                .send(&request("unsafe.test", &format!("u{number}")))
                .await;
            assert!([200, 502].contains(&once.status()));
        }
        let runs = |id: &str| {
            let heads = [bad.heads(), good.heads()].concat();
            let ids = heads.iter().filter_map(|head| head.headers.get(site::ID));
            ids.filter(|known| *known == id).count()
        };
        for number in 0..6 {
            assert_eq!(runs(&format!("u{number}")), 1);
            assert!((1..=2).contains(&runs(&format!("s{number}"))));
        }
        assert!(!bad.heads().is_empty());
    });
}

#[test]
fn retries_stop_when_the_budget_is_spent() {
    smol::block_on(async {
        let first = StandInEngine::start("app-1", "app", Behaviour::Fail).await;
        let second = StandInEngine::start("app-2", "app", Behaviour::Fail).await;
        let fixture = Fixture::new(&[&first, &second]).await;
        let requests = 40;
        for number in 0..requests {
            let answer = fixture
                .send(&request("safe.test", &format!("r{number}")))
                .await;
            assert_eq!(answer.status(), 500);
        }
        let arrivals = first.heads().len() + second.heads().len();
        assert!(arrivals > requests);
        assert!(arrivals <= requests + requests / 5 + 2);
    });
}

#[test]
fn a_weights_mismatch_is_learned_and_the_same_engine_is_retried() {
    smol::block_on(async {
        let llm = StandInEngine::start("llm-1", "llm", Behaviour::Answer).await;
        let fixture = Fixture::new(&[&llm]).await;
        llm.set_weights(5);
        let answer = fixture.send(&prompt("stream.test", "r")).await;
        assert_eq!(answer.text(), all_events());
        let heads = llm.heads();
        let salts: Vec<Option<&str>> = heads
            .iter()
            .map(|head| head.headers.get(site::SALT))
            .collect();
        assert_eq!(heads.len(), 2);
        assert_ne!(salts[0], salts[1]);
    });
}

#[test]
fn an_engine_that_refuses_for_unnamed_weights_is_assumed_to_have_the_newest() {
    smol::block_on(async {
        let llm = StandInEngine::start("llm-1", "llm", Behaviour::HidesWeights).await;
        let fixture = Fixture::new(&[&llm]).await;
        // As if another node had ordered the new weights: the engine's record in the store lags.
        fixture.gateway.begin_stop();
        fixture.store.put("Weights", "m", json!({"version": 4}));
        while fixture.gateway.beliefs().weights.newest("m").is_none() {
            caller::get_status(fixture.running().readiness).await;
        }
        llm.set_weights(4);
        let answer = fixture.send(&prompt("stream.test", "r")).await;
        assert_eq!(answer.text(), all_events());
        assert_eq!(llm.heads().len(), 2);
        // The engine has neither the version it had nor the newest: its version is unknown.
        fixture.store.put("Weights", "m", json!({"version": 6}));
        llm.set_weights(5);
        let answers = async {
            for id in ["r1", "r2", "r3"] {
                let status = fixture.send(&prompt("stream.test", id)).await.status();
                assert!([200, 503].contains(&status), "{status}");
            }
            fixture.send(&prompt("stream.test", "r4")).await
        };
        assert_eq!(answers.await.text(), all_events());
    });
}

// Guards against limits of the retry budget that a reload changes only for services without
// earlier requests.
#[test]
fn a_reload_of_the_settings_changes_the_retry_budgets_in_use() {
    smol::block_on(async {
        let app = app(Behaviour::Answer).await;
        let fixture = Fixture::new(&[&app]).await;
        assert_eq!(fixture.send(&request("safe.test", "r")).await.status(), 200);
        let gateway = &fixture.gateway;
        let has_retry = || {
            let (now, settings) = (gateway.clock.now(), gateway.settings());
            let mut beliefs = gateway.beliefs();
            let service = ServiceName::from("app");
            beliefs.retry_budget(&service, &settings).has_retry(now)
        };
        assert!(has_retry());
        let mut without_retries = GatewaySettings::clone(&gateway.settings());
        without_retries.bounds.retry_ratio = 0.0;
        without_retries.attempts.retry_reserve = 0.0;
        gateway.replace_settings(without_retries);
        assert!(!has_retry());
    });
}
