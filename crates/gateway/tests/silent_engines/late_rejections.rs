//! Takeovers in which one of the two engines rejects the request or fails while the other one
//! still works on it.

use crate::site::{pausing, PausingSite};
use crate::support::caller::{self, prompt, request};
use crate::support::engine::{
    all_events, AnswerFormat, Behaviour, Pause, PausePoint, StandInEngine,
};
use crate::support::{configuration, Fixture};

/// An attempt counts as silent after one objective, which is 400 ms.
const SILENT_AFTER_ONE_OBJECTIVE: &str = "[attempts]\ntimeout_objectives = 1.0\n";
/// Time after which the first engine ends its silence, in milliseconds: the other one has had the
/// request for 100 ms.
const WITHIN_OVERLAP_MS: u64 = 500;
/// Time for which the other engine works on the request, in milliseconds.
const RUN_MS: u64 = 400;
/// Time for which a stream's engine is silent, in milliseconds: the other one has had the request
/// for 100 ms.
const PAUSE_MS: u64 = 1_600;

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
        for reject_after_ms in [150, 250, 1_000] {
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

/// Time after which the other engine accepts a request, in milliseconds.
const ACCEPTED_AFTER_MS: u64 = 400;

fn accepting_late() -> Behaviour {
    Behaviour::Pause(Pause {
        at: PausePoint::Head,
        length_ms: ACCEPTED_AFTER_MS,
    })
}

// Guards against the end of an unframed stream inside an event being taken for going on: the
// other engine, which has just been sent the request, would be cancelled.
#[test]
fn a_stream_that_ends_inside_an_event_stays_at_the_engine_that_takes_it_over() {
    smol::block_on(async {
        for (format, line_ending) in [
            (AnswerFormat::UNFRAMED, "without framing"),
            (AnswerFormat::default(), "in chunks"),
        ] {
            let site = PausingSite::start(Behaviour::BreakAfterPause(PAUSE_MS), "").await;
            for engine in &site.engines {
                engine.set_format(format);
            }
            let asked = site.ask(prompt("long.test", "r")).await;
            asked.other.set_format(AnswerFormat::default());
            asked.other.set(accepting_late());
            let answer = asked.answer.await;
            let got = (answer.text(), answer.is_whole, site.arrivals());
            assert_eq!(got, (all_events(), true, 2), "{line_ending}");
        }
    });
}

// Guards against an unframed stream that its engine completes after a pause being broken off
// because another engine has been sent the request meanwhile, and rejects it.
#[test]
fn an_unframed_stream_that_is_whole_after_a_pause_needs_no_other_engine() {
    smol::block_on(async {
        let at_end = Pause {
            at: PausePoint::End,
            length_ms: PAUSE_MS,
        };
        let site = PausingSite::start(Behaviour::Pause(at_end), "").await;
        for engine in &site.engines {
            engine.set_format(AnswerFormat::UNFRAMED);
        }
        let asked = site.ask(prompt("long.test", "r")).await;
        asked.other.set(Behaviour::RefuseAfter(ACCEPTED_AFTER_MS));
        let answer = asked.answer.await;
        assert_eq!((answer.text(), answer.is_whole), (all_events(), true));
    });
}

// Guards against half of an unframed answer, whose engine terminates while another one has
// just been sent the request, being taken for an answer: the other engine would be cancelled.
#[test]
fn an_answer_that_ends_with_its_engine_stays_at_the_engine_that_takes_it_over() {
    smol::block_on(async {
        let ends = Behaviour::EndHalfwayAfter(WITHIN_OVERLAP_MS);
        let first = StandInEngine::start("app-1", "app", ends.clone()).await;
        let second = StandInEngine::start("app-2", "app", ends).await;
        let engines = [&first, &second];
        for engine in engines {
            engine.set_format(AnswerFormat::UNFRAMED);
        }
        let fixture = Fixture::with(&engines, configuration(1), SILENT_AFTER_ONE_OBJECTIVE).await;
        let address = fixture.running().callers;
        let sent = request("safe.test", "r");
        let answer = smol::spawn(async move { caller::send(address, &sent).await });
        let first_has_it = async {
            first.happened.recv().await.expect("the first engine");
            &second
        };
        let second_has_it = async {
            second.happened.recv().await.expect("the second engine");
            &first
        };
        let other = futures_lite::future::or(first_has_it, second_has_it).await;
        other.set_format(AnswerFormat::default());
        other.set(Behaviour::AnswerAfter(RUN_MS));
        let answer = answer.await;
        assert_eq!(
            (answer.status(), answer.text()),
            (200, "answer to r".to_owned())
        );
    });
}
