//! A refusal that says "not run" is true, or callers do the work twice.
//!
//! Seen: 503 for requests at which an engine was at work. Two ways led there: a request
//! that was sent on a kept connection and lost there was forgotten when the new
//! connection did not come about or was refused, and an engine's own 503 or 429, after
//! it had run the request, was handed on although that status promises the contrary.

use crate::app_engine::app;
use crate::support::caller::{request, Answer};
use crate::support::engine::{Behaviour, StandInEngine};
use crate::support::{configuration, site, Fixture};
use ploverlift_policy::attempt::promises_not_run;

const BUDGET: &str = "[attempts]\nretry_reserve = 50.0\n";

/// Serves one request, so that a connection is kept.
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

/// Asks an engine that runs requests and fails with a status.
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
                // An answer in an engine's name has that engine's status.
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
