//! Ends of unframed answers whose engine has been killed: its connections end regularly, one after
//! another, and a connection that is accepted meanwhile shows nothing.

use crate::app_engine::app;
use crate::support::caller::{self, prompt, request, Answer, Request};
use crate::support::engine::listening::IdleConnections;
use crate::support::engine::{
    all_events, AnswerFormat, Behaviour, Pause, PausePoint, StandInEngine, EVENTS,
};
use crate::support::fleet::{start_known_nodes, wait_until};
use crate::support::store::StandInStore;
use crate::support::{configuration, Fixture};
use ploverlift_balancing::names::InstanceId;
use ploverlift_gateway::assembly::RunningGateway;
use ploverlift_gateway::time::sleep;
use serde_json::json;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// Time from the arrival of a request until its engine is killed, in milliseconds.
const RUNS_FOR_MS: u64 = 130;
/// Times from the end of the answers until that of the idle connections and of the listener, in
/// milliseconds: less and more than a check of the engine takes.
const LATER_MS: [u64; 2] = [20, 300];
/// Longest time from the kill of an engine until its stream is broken off.
const NOTICED_WITHIN: Duration = Duration::from_millis(2_000);
const STREAM_HOSTS: [&str; 2] = ["stream.test", "resume.test"];
const PLAIN_HOSTS: [&str; 2] = ["safe.test", "unsafe.test"];
/// Sends all but the last byte, and that much later the rest.
const HELD_BACK: Behaviour = Behaviour::Pause(Pause {
    at: PausePoint::End,
    length_ms: 2_000,
});

async fn stream_engine(instance: &str, behaviour: Behaviour) -> StandInEngine {
    let engine = StandInEngine::start(instance, "llm", behaviour).await;
    engine.set_format(AnswerFormat::UNFRAMED);
    engine
}

/// Sends requests that are answered at once.
async fn warm_up(fixture: &Fixture, engine: &StandInEngine, request: &Request) {
    engine.set(Behaviour::Answer);
    for _ in 0..2 {
        assert!(fixture.send(request).await.is_whole);
    }
}

/// Sends a request and waits until its engine has run it for a while.
async fn begin(
    address: SocketAddr,
    engine: &StandInEngine,
    request: Request,
) -> smol::Task<Answer> {
    while engine.happened.try_recv().is_ok() {}
    let asking = smol::spawn(async move { caller::send(address, &request).await });
    engine.happened.recv().await.expect("the engine");
    sleep(RUNS_FOR_MS).await;
    asking
}

fn assert_broken_off(answer: &Answer, case: &str) {
    assert!(!answer.is_whole, "{case}");
    let text = answer.text();
    assert!(all_events().starts_with(&text), "{case}: {text}");
}

fn is_leaving(node: &RunningGateway, engine: &StandInEngine) -> bool {
    let instance = InstanceId(engine.instance.clone());
    let beliefs = node.gateway.beliefs();
    let known = beliefs.engines.get(&instance);
    known.is_some_and(|known| known.record.is_leaving)
}

// Guards against a truncated stream being taken for complete because the kernel accepts a connection
// for its engine, which has been killed.
#[test]
fn a_stream_of_a_killed_engine_is_broken_off_though_its_listener_still_accepts() {
    smol::block_on(async {
        for host in STREAM_HOSTS {
            for is_warm in [false, true] {
                for later_ms in LATER_MS {
                    let case = format!("{host} warm={is_warm} later={later_ms}");
                    let mut llm = stream_engine("llm-1", Behaviour::Answer).await;
                    let fixture = Fixture::new(&[&llm]).await;
                    if is_warm {
                        warm_up(&fixture, &llm, &prompt(host, "warm-up")).await;
                    }
                    llm.set(Behaviour::StreamSlowly(EVENTS));
                    let callers = fixture.running().callers;
                    let asking = begin(callers, &llm, prompt(host, "r")).await;
                    llm.kill(later_ms).await;
                    assert_broken_off(&asking.await, &case);
                }
            }
        }
    });
}

// Guards against half of an answer being taken for complete because the kernel accepts a connection
// for its engine, which has been killed.
#[test]
fn an_answer_of_a_killed_engine_is_broken_off_though_its_listener_still_accepts() {
    smol::block_on(async {
        for host in PLAIN_HOSTS {
            for is_warm in [false, true] {
                for later_ms in LATER_MS {
                    let case = format!("{host} warm={is_warm} later={later_ms}");
                    let mut app = app(Behaviour::Answer).await;
                    app.set_format(AnswerFormat::UNFRAMED);
                    let fixture = Fixture::new(&[&app]).await;
                    if is_warm {
                        warm_up(&fixture, &app, &request(host, "warm-up")).await;
                    }
                    app.set(HELD_BACK);
                    let callers = fixture.running().callers;
                    let asking = begin(callers, &app, request(host, "r")).await;
                    app.kill(later_ms).await;
                    assert_eq!(asking.await.status(), 502, "{case}");
                }
            }
        }
    });
}

// Guards against a stream that is cut there not being resumed at another engine.
#[test]
fn a_resumable_stream_of_a_killed_engine_goes_on_at_another_one() {
    smol::block_on(async {
        for later_ms in LATER_MS {
            let mut llm = stream_engine("llm-1", Behaviour::StreamSlowly(EVENTS)).await;
            let other = stream_engine("llm-2", Behaviour::Answer).await;
            let fixture = Fixture::new(&[&llm]).await;
            let callers = fixture.running().callers;
            let asking = begin(callers, &llm, prompt("resume.test", "r")).await;
            fixture
                .store
                .put("Engines", &other.instance, other.record());
            let node = fixture.running();
            wait_until(node, |node| node.gateway.beliefs().engines.len() == 2).await;
            llm.kill(later_ms).await;
            let answer = asking.await;
            assert_eq!((answer.text(), answer.is_whole), (all_events(), true));
            assert_eq!(other.arrivals(), 1);
        }
    });
}

// Guards against a truncated answer being taken for complete because the next incarnation of its
// engine serves at the same address.
#[test]
fn an_answer_is_broken_off_where_the_next_incarnation_accepts_at_its_engines_address() {
    smol::block_on(async {
        for (host, service) in [
            ("stream.test", "llm"),
            ("resume.test", "llm"),
            ("safe.test", "app"),
            ("unsafe.test", "app"),
        ] {
            let engine = StandInEngine::start("before", service, Behaviour::Answer).await;
            engine.set_format(AnswerFormat::UNFRAMED);
            let fixture = Fixture::new(&[&engine]).await;
            let asked = match service {
                "llm" => prompt(host, "r"),
                _ => request(host, "r"),
            };
            warm_up(&fixture, &engine, &asked).await;
            engine.set(match service {
                "llm" => Behaviour::StreamSlowly(EVENTS),
                _ => HELD_BACK,
            });
            let asking = begin(fixture.running().callers, &engine, asked).await;
            engine.stop_listening(IdleConnections::Closed).await;
            let next =
                StandInEngine::start_at(engine.address, "next", service, Behaviour::Answer).await;
            engine.close_running();
            let answer = asking.await;
            match service {
                "llm" => assert_broken_off(&answer, host),
                _ => assert_eq!(answer.status(), 502, "{host}"),
            }
            drop(next);
        }
    });
}

// Guards against a truncated stream being taken for complete because the peers of its node, which
// are asked whether its engine refuses connections, do not try an engine that leaves.
#[test]
fn a_stream_of_an_engine_that_left_is_broken_off_though_no_peer_confirms_its_end() {
    smol::block_on(async {
        for host in STREAM_HOSTS {
            let store = StandInStore::start().await;
            store.put("Configuration", "main", configuration(1));
            let llm = stream_engine("llm-1", Behaviour::StreamSlowly(EVENTS)).await;
            store.put("Engines", &llm.instance, llm.record());
            let nodes = start_known_nodes(&store, 3).await;
            for node in &nodes {
                wait_until(node, |node| node.gateway.beliefs().engines.len() == 1).await;
            }
            let asking = begin(nodes[0].callers, &llm, prompt(host, "r")).await;
            let mut record = llm.record();
            record["leaving"] = json!(true);
            store.put("Engines", &llm.instance, record);
            for node in &nodes {
                wait_until(node, |node| is_leaving(node, &llm)).await;
            }
            llm.end().await;
            assert_broken_off(&asking.await, host);
        }
    });
}

// Guards against a truncated stream being taken for complete because the check of its engine got no
// answer, and against a check that lasts as long as the request may.
#[test]
fn a_stream_is_broken_off_in_time_where_the_check_of_its_engine_gets_no_answer() {
    smol::block_on(async {
        for host in STREAM_HOSTS {
            for accepts in [true, false] {
                let case = format!("{host} accepts={accepts}");
                let mut llm = stream_engine("llm-1", Behaviour::StreamSlowly(EVENTS)).await;
                let fixture = Fixture::new(&[&llm]).await;
                let callers = fixture.running().callers;
                let asking = begin(callers, &llm, prompt(host, "r")).await;
                llm.stop_running().await;
                if !accepts {
                    llm.lose_power().await;
                }
                let killed = Instant::now();
                llm.close_running();
                assert_broken_off(&asking.await, &case);
                let noticed = killed.elapsed();
                assert!(noticed < NOTICED_WITHIN, "{case}: {noticed:?}");
            }
        }
    });
}

// Guards against the answer to a probe that was sent before the end of a truncated stream being taken for
// a proof that its engine runs after it.
#[test]
fn a_probe_that_was_sent_before_the_end_of_a_stream_proves_nothing() {
    const ANSWERED_AFTER_MS: u64 = 400;
    smol::block_on(async {
        let mut llm = stream_engine("llm-1", Behaviour::StreamSlowly(20)).await;
        let fixture = Fixture::new(&[&llm]).await;
        let callers = fixture.running().callers;
        let cut = begin(callers, &llm, prompt("stream.test", "cut")).await;
        llm.set(Behaviour::Answer);
        llm.delay_probes(ANSWERED_AFTER_MS);
        let asked = prompt("stream.test", "whole");
        let whole = smol::spawn(async move { caller::send(callers, &asked).await });
        while llm.probes() == 0 {
            sleep(1).await;
        }
        llm.stop_running().await;
        llm.close_running();
        assert!(!cut.await.is_whole);
        let whole = whole.await;
        assert_eq!((whole.text(), whole.is_whole), (all_events(), true));
    });
}

// Guards against a whole stream being broken off because the connection that was kept for the probe has
// been cut silently.
#[test]
fn a_stream_is_whole_where_only_a_new_connection_reaches_its_engine() {
    smol::block_on(async {
        for host in STREAM_HOSTS {
            let llm = stream_engine("llm-1", Behaviour::StreamSlowly(EVENTS)).await;
            let fixture = Fixture::new(&[&llm]).await;
            let callers = fixture.running().callers;
            let asking = begin(callers, &llm, prompt(host, "r")).await;
            llm.forget_connections();
            let answer = asking.await;
            assert_eq!(
                (answer.text(), answer.is_whole),
                (all_events(), true),
                "{host}"
            );
        }
    });
}
