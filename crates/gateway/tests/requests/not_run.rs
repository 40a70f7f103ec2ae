//! A "not run" refusal of a request that has run makes callers do the work twice.
//!
//! These tests guard against a 503 for a request that an engine is working on. There were two
//! ways to it: a request that was lost on a kept connection was left out of account when the
//! new connection failed or the engine then refused; and an engine's own 503 or 429, sent
//! after it had run the request, was forwarded although that status promises "not run".

use crate::app_engine::app;
use crate::support::caller::{request, Answer};
use crate::support::engine::{Behaviour, StandInEngine};
use crate::support::{configuration, site, Fixture};
use ploverlift_policy::attempt::promises_not_run;

const BUDGET: &str = "[attempts]\nretry_reserve = 50.0\n";

/// Serves one request, after which a connection to the engine is kept.
async fn with_kept_connection(app: &StandInEngine) -> Fixture {
    let fixture = Fixture::with(&[app], configuration(1), BUDGET).await;
    let first = fixture.send(&request("safe.test", "r1")).await;
    assert_eq!(first.status(), 200);
    assert!(!fixture.gateway.kept_connections().is_empty());
    fixture
}

#[test]
fn a_request_lost_on_a_kept_connection_may_have_run_even_if_the_engine_then_refuses() {
    smol::block_on(async {
        let app = app(Behaviour::KeepConnection).await;
        let fixture = with_kept_connection(&app).await;
        app.set(Behaviour::CloseKeptThenRefuse);
        let answer = fixture.send(&request("safe.test", "r2")).await;
        // Sent on the kept connection and on a new one.
        assert_eq!(app.arrivals(), 3);
        assert_eq!(answer.status(), 502);
    });
}

#[test]
fn a_request_lost_on_a_kept_connection_may_have_run_even_if_the_engine_is_then_gone() {
    smol::block_on(async {
        let mut app = app(Behaviour::KeepConnection).await;
        let fixture = with_kept_connection(&app).await;
        app.set(Behaviour::Reset);
        app.lose_power().await;
        let answer = fixture.send(&request("safe.test", "r2")).await;
        assert_eq!(app.arrivals(), 2);
        assert_eq!(answer.status(), 502);
    });
}

/// Sends a request to an engine that runs it and fails with a status.
async fn failed_with(status: u16, host: &str) -> Answer {
    let app = app(Behaviour::FailWith(status)).await;
    let fixture = Fixture::new(&[&app]).await;
    let answer = fixture.send(&request(host, "r1")).await;
    assert_eq!(app.arrivals(), 1);
    answer
}

#[test]
fn an_engine_failure_is_never_forwarded_with_a_not_run_status() {
    smol::block_on(async {
        for status in [408, 429, 503] {
            assert!(promises_not_run(status));
            for host in ["safe.test", "unsafe.test"] {
                let answer = failed_with(status, host).await;
                assert_eq!(answer.status(), 502, "{status} at {host}");
                // A signed answer would have the engine's own status.
                assert_eq!(answer.head.headers.get(site::SIGNED), None);
            }
        }
        for status in [400, 500, 502, 504] {
            let answer = failed_with(status, "unsafe.test").await;
            assert_eq!(answer.status(), status);
            assert_eq!(answer.head.headers.get(site::SIGNED), Some("1"));
        }
    });
}

#[test]
fn a_refusal_of_another_request_is_not_applied_to_this_one() {
    smol::block_on(async {
        let app = app(Behaviour::RefuseAnother).await;
        let fixture = Fixture::new(&[&app]).await;
        for host in ["safe.test", "unsafe.test"] {
            let answer = fixture.send(&request(host, "r1")).await;
            assert_eq!(answer.status(), 502, "{host}");
        }
    });
}
