//! Takeovers in which one of the two engines rejects the request or fails while the other one
//! still works on it.

use crate::site::{pausing, PausingSite};
use crate::support::caller::{self, prompt, request};
use crate::support::engine::{all_events, Behaviour, StandInEngine};
use crate::support::{configuration, Fixture};

/// An attempt counts as silent after one objective, which is 400 ms.
const SILENT_AFTER_ONE_OBJECTIVE: &str = "[attempts]\ntimeout_objectives = 1.0\n";
/// Time after which the first engine ends its silence, in milliseconds: the other one has had the
/// request for 100 ms.
const WITHIN_OVERLAP_MS: u64 = 500;
/// Time for which the other engine works on the request, in milliseconds.
const RUN_MS: u64 = 400;

async fn status_when_first_engine(ends_its_silence: Behaviour) -> (u16, String) {
    let first = StandInEngine::start("app-1", "app", ends_its_silence.clone()).await;
    let second = StandInEngine::start("app-2", "app", ends_its_silence).await;
    let engines = [&first, &second];
    let fixture = Fixture::with(&engines, configuration(1), SILENT_AFTER_ONE_OBJECTIVE).await;
    let address = fixture.running().callers;
    let answer =
        smol::spawn(async move { caller::send(address, &request("safe.test", "r")).await });
    let first_has_it = async {
        first.happened.recv().await.expect("the first engine");
        &second
    };
    let second_has_it = async {
        second.happened.recv().await.expect("the second engine");
        &first
    };
    let other = futures_lite::future::or(first_has_it, second_has_it).await;
    other.set(Behaviour::AnswerAfter(RUN_MS));
    let answer = answer.await;
    (answer.status(), answer.text())
}

// Guards against the rejection of the first engine being taken for its answer: the other engine,
// which works on the request, would be cancelled.
#[test]
fn a_rejection_by_the_silent_engine_leaves_the_request_at_the_other_one() {
    smol::block_on(async {
        let answered = status_when_first_engine(Behaviour::RefuseAfter(WITHIN_OVERLAP_MS)).await;
        assert_eq!(answered, (200, "answer to r".to_owned()));
    });
}

// Guards against the failure of the first engine being taken for its answer: the other engine,
// which works on the request, would be cancelled.
#[test]
fn a_failure_of_the_silent_engine_leaves_the_request_at_the_other_one() {
    smol::block_on(async {
        let answered = status_when_first_engine(Behaviour::FailAfter(WITHIN_OVERLAP_MS)).await;
        assert_eq!(answered, (200, "answer to r".to_owned()));
    });
}

// Guards against a stream being broken off where the engine that took it over rejects it only
// after the first one, which would have gone on, was let go.
#[test]
fn a_stream_outlasts_a_pause_while_the_other_engine_rejects_it_late() {
    smol::block_on(async {
        for reject_after_ms in [150, 250] {
            let site = PausingSite::start(pausing(), "").await;
            let asked = site.ask(prompt("long.test", "r")).await;
            asked.other.set(Behaviour::RefuseAfter(reject_after_ms));
            let answer = asked.answer.await;
            let case = format!("rejected after {reject_after_ms} ms");
            assert_eq!(
                (answer.text(), answer.is_whole),
                (all_events(), true),
                "{case}"
            );
        }
    });
}
