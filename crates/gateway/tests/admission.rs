//! Requests that are refused at once because engines can't answer them in time.

mod support;

use ploverlift_balancing::catalogue::InstanceId;
use ploverlift_routing::configuration::ServiceName;
use support::caller::{prompt, request};
use support::engine::{Behaviour, StandInEngine};
use support::{configuration, site, Fixture};

/// Allows the node to refuse all excess requests during overload.
const STRICT: &str = "[admission]\nmost_refused = 1.0\n";

/// Makes the node observe waits of 400 s at the service's engines, with an objective of 400 ms.
fn overload(fixture: &Fixture, service: &str) {
    let now = fixture.gateway.clock.now();
    let mut beliefs = fixture.gateway.beliefs();
    let overload = beliefs
        .overloads
        .entry(ServiceName::from(service))
        .or_default();
    for _ in 0..200 {
        overload.observe(400_000.0, 400, now);
    }
}

/// Adds `requests` running requests to the engine's load, each with `tokens` tokens to
/// prefill.
fn fill(fixture: &Fixture, engine: &StandInEngine, requests: u32, tokens: u64) {
    let instance = InstanceId(engine.instance.clone());
    let now = fixture.gateway.clock.now();
    let mut beliefs = fixture.gateway.beliefs();
    for _ in 0..requests {
        beliefs.engines.begin(&instance, tokens, now);
    }
}

fn slots(fixture: &Fixture) -> u32 {
    let beliefs = fixture.gateway.beliefs();
    let mut engines = beliefs.engines.iter();
    engines.next().expect("an engine").record.slots
}

#[test]
fn a_prompt_is_refused_with_a_retry_time_while_engines_are_overloaded() {
    smol::block_on(async {
        let llm = StandInEngine::start("llm-1", "llm", Behaviour::Answer).await;
        let fixture = Fixture::with(&[&llm], configuration(1), STRICT).await;
        fill(&fixture, &llm, slots(&fixture), 0);
        overload(&fixture, "llm");
        let refused = fixture.send(&prompt("stream.test", "r1")).await;
        assert_eq!(refused.status(), 503);
        assert!(refused.head.headers.get("retry-after-ms").is_some());
        assert!(refused.text().contains("overloaded"), "{}", refused.text());
        assert!(llm.heads().is_empty());
    });
}

#[test]
fn nothing_is_refused_while_engines_have_spare_slots() {
    smol::block_on(async {
        let llm = StandInEngine::start("llm-1", "llm", Behaviour::Answer).await;
        let fixture = Fixture::with(&[&llm], configuration(1), STRICT).await;
        overload(&fixture, "llm");
        let answer = fixture.send(&prompt("stream.test", "r1")).await;
        assert_eq!(answer.status(), 200);
    });
}

#[test]
fn a_resumed_stream_is_not_refused() {
    smol::block_on(async {
        let llm = StandInEngine::start("llm-1", "llm", Behaviour::Answer).await;
        let fixture = Fixture::with(&[&llm], configuration(1), STRICT).await;
        fixture.send(&prompt("resume.test", "r0")).await;
        fill(&fixture, &llm, slots(&fixture), 0);
        overload(&fixture, "llm");
        let mut resumed = prompt("resume.test", "r1");
        resumed.head.headers.push(site::AFTER, "2");
        resumed.head.headers.push(site::RESUMES, "r0");
        assert_eq!(fixture.send(&resumed).await.status(), 200);
    });
}

#[test]
fn a_plain_request_is_not_refused_for_the_load_of_models() {
    smol::block_on(async {
        let app = StandInEngine::start("app-1", "app", Behaviour::Answer).await;
        let fixture = Fixture::with(&[&app], configuration(1), STRICT).await;
        fill(&fixture, &app, slots(&fixture), 0);
        overload(&fixture, "app");
        let answer = fixture.send(&request("unsafe.test", "r1")).await;
        assert_eq!(answer.status(), 200);
    });
}

#[test]
fn a_request_that_no_engine_can_start_in_time_is_refused_at_once() {
    smol::block_on(async {
        let llm = StandInEngine::start("llm-1", "llm", Behaviour::Answer).await;
        let fixture = Fixture::new(&[&llm]).await;
        // A queue of many minutes; the route allows three seconds.
        fill(&fixture, &llm, slots(&fixture), 100_000_000);
        let refused = fixture.send(&prompt("stream.test", "r1")).await;
        assert_eq!(refused.status(), 503);
        assert!(refused.text().contains("no engine can begin"));
        let retry_after_ms = refused.head.headers.get("retry-after-ms").expect("a time");
        assert!(retry_after_ms.parse::<u64>().expect("a number") > 3_000);
        assert!(llm.heads().is_empty());
    });
}
