//! Resumable streams whose engine pauses, while no other engine can take them over.

use crate::site::{pausing, pausing_at, PausingSite, LONG_PAUSE_MS};
use crate::support::caller::{self, prompt, Answer};
use crate::support::engine::{all_events, Behaviour, PausePoint, StandInEngine, EVENTS};
use crate::support::{configuration, site, Fixture};
use ploverlift_gateway::assembly::reload;
use ploverlift_quarantine::fingerprint::{RequestFingerprint, RequestParts};
use ploverlift_quarantine::subject::Subject;
use ploverlift_routing::rate_limit::TenantTag;
use serde_json::json;
use std::path::Path;

/// A request for a resumable stream whose route allows ten minutes.
const HOST: &str = "long.test";

fn assert_whole(answer: &Answer) {
    assert_eq!(answer.text(), all_events());
    assert!(answer.is_whole);
}

// Guards against a stream being broken off because of a silence while no other engine exists.
#[test]
fn a_stream_outlasts_a_pause_of_its_only_engine() {
    smol::block_on(async {
        let llm = StandInEngine::start("llm-1", "llm", pausing()).await;
        let fixture = Fixture::new(&[&llm]).await;
        assert_whole(&fixture.send(&prompt(HOST, "r")).await);
        assert_eq!(llm.arrivals(), 1);
    });
}

// Guards against a stream being broken off where the engine that takes it over pauses too.
#[test]
fn a_stream_outlasts_pauses_of_all_engines() {
    smol::block_on(async {
        let site = PausingSite::start(pausing(), "").await;
        let answer = site.ask(prompt(HOST, "r")).await.answer.await;
        assert_whole(&answer);
    });
}

// Guards against the paused engine being let go before the other one has accepted the request.
#[test]
fn a_stream_outlasts_a_pause_while_the_other_engine_cannot_take_it_over() {
    let behaviours = [
        Behaviour::Refuse,
        Behaviour::Reset,
        Behaviour::Fail,
        Behaviour::FailWith(404),
        Behaviour::FailWith(504),
        Behaviour::AnswerLarge(404, 300 * 1024),
        Behaviour::IsAnother,
        Behaviour::RefuseAnother,
        Behaviour::WrongId,
        Behaviour::Unsigned,
    ];
    smol::block_on(async {
        for behaviour in behaviours {
            let site = PausingSite::start(pausing(), "").await;
            let case = format!("{behaviour:?}");
            let asked = site.ask(prompt(HOST, "r")).await;
            asked.other.set(behaviour);
            let answer = asked.answer.await;
            assert_eq!(answer.text(), all_events(), "{case}");
            assert!(answer.is_whole, "{case}");
            assert_eq!(
                site.arrivals(),
                2,
                "{case}: the other engine was asked once"
            );
        }
    });
}

// Guards against a stream being broken off while the other engine has another software version.
#[test]
fn a_stream_outlasts_a_pause_while_no_other_engine_has_its_software_version() {
    smol::block_on(async {
        let first = StandInEngine::of_software("llm-1", "llm", "1").await;
        let second = StandInEngine::of_software("llm-2", "llm", "2").await;
        first.set(pausing());
        second.set(pausing());
        let fixture = Fixture::new(&[&first, &second]).await;
        assert_whole(&fixture.send(&prompt(HOST, "r")).await);
        assert_eq!(first.arrivals() + second.arrivals(), 1);
    });
}

// Guards against a stream being broken off because the retry budget is spent.
#[test]
fn a_stream_outlasts_a_pause_while_the_retry_budget_is_spent() {
    smol::block_on(async {
        let no_retries = "[attempts]\nretry_reserve = 0.0\n[bounds]\nretry_ratio = 0.0\n";
        let site = PausingSite::start(pausing(), no_retries).await;
        let answer = site.ask(prompt(HOST, "r")).await.answer.await;
        assert_whole(&answer);
        assert_eq!(site.arrivals(), 1, "no retry was permitted");
    });
}

// Guards against a stream being broken off because a copy of its request is being determined.
#[test]
fn a_stream_outlasts_a_pause_while_the_quarantine_withholds_its_request() {
    smol::block_on(async {
        let site = PausingSite::start(pausing(), "").await;
        let request = prompt(HOST, "r");
        let fingerprint = RequestFingerprint::of(&RequestParts {
            tenant: Some("tenant-a"),
            host: HOST,
            method: &request.head.method,
            target: request.head.target.as_str(),
            body: &request.body,
        });
        let asked = site.ask(request).await;
        let now = site.fixture.gateway.clock.now();
        let tenant = TenantTag::of("tenant-a");
        {
            let quarantine = &mut site.fixture.gateway.beliefs().quarantine;
            quarantine.note_undetermined_outcome(Subject::Request(fingerprint), tenant, now);
        }
        assert_whole(&asked.answer.await);
    });
}

// Guards against a stream being broken off because the other engine is at its rate limit.
#[test]
fn a_stream_outlasts_a_pause_while_the_other_engine_has_no_token() {
    smol::block_on(async {
        let site = PausingSite::start(Behaviour::Answer, "").await;
        for engine in &site.engines {
            engine.name_limit(Some("0.01"));
        }
        for number in 0..4 {
            site.fixture
                .send(&prompt(HOST, &format!("warm-up-{number}")))
                .await;
        }
        for engine in &site.engines {
            engine.name_limit(None);
        }
        let known = site.arrivals();
        for engine in &site.engines {
            engine.set(pausing());
        }
        let answer = site.fixture.send(&prompt(HOST, "r")).await;
        match answer.status() {
            200 => assert_whole(&answer),
            status => assert_eq!((status, site.arrivals()), (503, known), "was not sent"),
        }
    });
}

// Guards against a stream being broken off because the configuration changes while its engine
// pauses, also where its route is gone.
#[test]
fn a_stream_outlasts_a_pause_while_the_configuration_changes() {
    smol::block_on(async {
        let site = PausingSite::start(pausing(), "").await;
        let asked = site.ask(prompt(HOST, "r")).await;
        asked.other.set(Behaviour::Refuse);
        let mut changed = configuration(2);
        changed["routes"] = json!([]);
        site.fixture.store.put("Configuration", "main", changed);
        assert_whole(&asked.answer.await);
    });
}

// Guards against a stream being broken off because settings are reloaded while its engine pauses.
#[test]
fn a_stream_outlasts_a_pause_while_settings_are_reloaded() {
    smol::block_on(async {
        let site = PausingSite::start(pausing(), "").await;
        let asked = site.ask(prompt(HOST, "r")).await;
        asked.other.set(Behaviour::Refuse);
        reload(&site.fixture.gateway, Path::new("no-such-file.toml"));
        assert_whole(&asked.answer.await);
    });
}

// Guards against a stream being broken off because the node stops while its engine pauses.
#[test]
fn a_stream_outlasts_a_pause_while_the_node_stops() {
    smol::block_on(async {
        let stop = "[bounds]\nstop_seconds = 30.0\n";
        let mut site = PausingSite::start(pausing(), stop).await;
        let running = site.fixture.running.take().expect("running");
        let mut connection = caller::open(running.callers, &prompt(HOST, "r")).await;
        let [first, second] = &site.engines;
        futures_lite::future::or(first.happened.recv(), second.happened.recv())
            .await
            .expect("an engine has the request");
        let stopping = smol::spawn(running.stop());
        let answer = caller::read(&mut connection).await;
        assert_whole(&answer.expect("an answer"));
        stopping.await;
    });
}

// Guards against a second silence within one stream being treated differently from the first.
#[test]
fn a_resumable_stream_is_whole_wherever_its_only_engine_pauses() {
    smol::block_on(async {
        let engine = StandInEngine::start("llm-1", "llm", Behaviour::Answer).await;
        let fixture = Fixture::new(&[&engine]).await;
        let points = (1..=EVENTS).map(PausePoint::Event);
        let points = points.chain([PausePoint::Head, PausePoint::End]);
        for point in points {
            engine.set(pausing_at(point));
            let answer = fixture.send(&prompt(HOST, &format!("{point:?}"))).await;
            assert_eq!(answer.text(), all_events(), "{point:?}");
            assert!(answer.is_whole, "{point:?}");
            assert!(answer.head.headers.get(site::ID).is_some());
        }
        assert!(LONG_PAUSE_MS > fixture.gateway.settings().attempts.stream_silence_ms);
    });
}
