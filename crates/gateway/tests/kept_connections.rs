//! When a connection to an engine is reused for another request, and when it is not.

mod support;

use support::caller::{self, prompt, request};
use support::engine::{all_events, Behaviour, Pause, PausePoint, StandInEngine};
use support::{configuration, site, Fixture};

/// Sends requests one after another; returns the number of connections they arrived on.
async fn connections(behaviour: Behaviour, hosts: &[&str]) -> usize {
    let app = StandInEngine::start("app-1", "app", behaviour).await;
    let fixture = Fixture::new(&[&app]).await;
    for (number, host) in hosts.iter().enumerate() {
        let id = format!("r{number}");
        let answer = fixture.send(&request(host, &id)).await;
        assert_eq!(answer.status(), 200, "{host}");
        assert_eq!(answer.text(), format!("answer to {id}"));
    }
    assert_eq!(app.heads().len(), hosts.len());
    app.connections()
}

#[test]
fn a_repeatable_request_reuses_the_connection_of_a_complete_answer() {
    let hosts = ["safe.test", "safe.test", "safe.test"];
    let used = smol::block_on(connections(Behaviour::KeepConnection, &hosts));
    assert_eq!(used, 1);
}

#[test]
fn a_request_that_may_run_only_once_uses_a_new_connection() {
    let hosts = ["safe.test", "unsafe.test", "unsafe.test"];
    let used = smol::block_on(connections(Behaviour::KeepConnection, &hosts));
    assert_eq!(used, 3);
}

#[test]
fn a_connection_dropped_by_the_engine_loses_no_answer() {
    let hosts = ["safe.test", "safe.test"];
    let used = smol::block_on(connections(Behaviour::ForgetConnection, &hosts));
    assert_eq!(used, 2);
}

#[test]
fn a_surplus_answer_is_not_used_for_another_request() {
    let hosts = ["safe.test", "safe.test"];
    let used = smol::block_on(connections(Behaviour::AnswerTwice, &hosts));
    assert_eq!(used, 2);
}

// Guards against a second answer to an earlier request, which arrives after the next request was
// sent on the same connection, being taken for the answer to that one; also within a stream that
// is taken up.
#[test]
fn a_late_second_answer_is_not_used_for_the_next_request() {
    const LATE_MS: u64 = 60;
    const NEXT_ANSWERED_AFTER_MS: u64 = 200;
    smol::block_on(async {
        for host in ["safe.test", "resume.test"] {
            let is_stream = host == "resume.test";
            let service = if is_stream { "llm" } else { "app" };
            let of = |id: &str| match is_stream {
                true => prompt(host, id),
                false => request(host, id),
            };
            let twice = Behaviour::AnswerTwiceAfter(LATE_MS);
            let engine = StandInEngine::start("engine-1", service, twice.clone()).await;
            let other = StandInEngine::start("engine-2", service, twice).await;
            let fixture = Fixture::new(&[&engine, &other]).await;
            fixture.send(&of("first")).await;
            for engine in [&engine, &other] {
                engine.set(Behaviour::Pause(Pause {
                    at: PausePoint::Head,
                    length_ms: NEXT_ANSWERED_AFTER_MS,
                }));
            }
            for number in 0..6 {
                let id = format!("next-{number}");
                let answer = fixture.send(&of(&id)).await;
                let expected = match is_stream {
                    true => all_events(),
                    false => format!("answer to {id}"),
                };
                assert_eq!((answer.text(), answer.is_whole), (expected, true), "{host}");
                assert_eq!(answer.head.headers.get(site::ID), Some(&*id));
            }
        }
    });
}

#[test]
fn an_engine_that_answers_before_the_body_is_read_gets_no_second_request_there() {
    smol::block_on(async {
        let app = StandInEngine::start("app-1", "app", Behaviour::RefuseEarly).await;
        let fixture = Fixture::new(&[&app]).await;
        let mut long = request("safe.test", "r1");
        long.body = vec![b'b'; 4_000];
        assert_eq!(fixture.send(&long).await.status(), 503);
        assert!(fixture.gateway.kept_connections().is_empty());
    });
}

/// A request on a caller's kept connection gets an answer, even if the connection to the
/// engine is lost.
#[test]
fn a_caller_connection_survives_lost_engine_connections() {
    smol::block_on(async {
        let forgetful = StandInEngine::start("app-9", "app", Behaviour::ForgetConnection).await;
        let broken = StandInEngine::start("app-1", "app", Behaviour::Reset).await;
        let budget = "[attempts]\nretry_reserve = 50.0\n";
        let engines = [&forgetful, &broken];
        let fixture = Fixture::with(&engines, configuration(1), budget).await;
        let first = request("safe.test", "r0");
        let mut connection = caller::open(fixture.running().callers, &first).await;
        for number in 0..8 {
            let answer = caller::read(&mut connection).await.expect("an answer");
            assert_eq!(answer.text(), format!("answer to r{number}"));
            let mut next = request("safe.test", &format!("r{}", number + 1)).head;
            next.headers.set("content-length", "0");
            connection.write_all(&next.encode()).await.expect("write");
        }
        assert!(forgetful.connections() > 1);
        assert!(!broken.heads().is_empty());
    });
}
