//! When a connection to an engine is used for a second request, and when it is not.

mod support;

use support::caller::request;
use support::engine::{Behaviour, StandInEngine};
use support::Fixture;

/// Sends requests one after the other; tells on how many connections they came.
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
fn a_repeatable_request_follows_on_the_connection_of_a_whole_answer() {
    let hosts = ["safe.test", "safe.test", "safe.test"];
    let used = smol::block_on(connections(Behaviour::KeepConnection, &hosts));
    assert_eq!(used, 1);
}

#[test]
fn a_request_that_may_run_only_once_has_a_connection_of_its_own() {
    let hosts = ["safe.test", "unsafe.test", "unsafe.test"];
    let used = smol::block_on(connections(Behaviour::KeepConnection, &hosts));
    assert_eq!(used, 3);
}

#[test]
fn a_forgotten_connection_costs_no_answer() {
    let hosts = ["safe.test", "safe.test"];
    let used = smol::block_on(connections(Behaviour::ForgetConnection, &hosts));
    assert_eq!(used, 2);
}

#[test]
fn an_answer_too_many_is_taken_for_no_other_requests() {
    let hosts = ["safe.test", "safe.test"];
    let used = smol::block_on(connections(Behaviour::AnswerTwice, &hosts));
    assert_eq!(used, 2);
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
