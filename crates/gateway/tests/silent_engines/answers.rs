//! Answers of every framing whose engine pauses, while no other engine can take them over.

use crate::site::{pausing_at, PausingSite};
use crate::support::caller::{prompt, request};
use crate::support::engine::{all_events, AnswerFormat, Behaviour, PausePoint, StandInEngine};
use crate::support::Fixture;

const POINTS: [PausePoint; 3] = [PausePoint::Head, PausePoint::Event(1), PausePoint::End];
const FORMATS: [fn() -> AnswerFormat; 2] = [AnswerFormat::default, || AnswerFormat::UNFRAMED];

// Guards against a repeatable answer being given up because of a silence while no other engine
// exists.
#[test]
fn an_answer_outlasts_a_pause_of_its_only_engine_in_any_framing() {
    smol::block_on(async {
        let app = StandInEngine::start("app-1", "app", Behaviour::Answer).await;
        let fixture = Fixture::new(&[&app]).await;
        for format in FORMATS {
            app.set_format(format());
            for point in POINTS {
                for host in ["safe.test", "unsafe.test"] {
                    app.set(pausing_at(point));
                    let answer = fixture.send(&request(host, "r")).await;
                    let case = format!("{host} {point:?} {:?}", format());
                    assert_eq!((answer.status(), answer.is_whole), (200, true), "{case}");
                    assert_eq!(answer.text(), "answer to r", "{case}");
                }
            }
        }
    });
}

// Guards against a stream that may run once being broken off because of a silence.
#[test]
fn a_stream_that_may_not_be_resumed_outlasts_a_pause_in_any_framing() {
    smol::block_on(async {
        let llm = StandInEngine::start("llm-1", "llm", Behaviour::Answer).await;
        let fixture = Fixture::new(&[&llm]).await;
        for format in FORMATS {
            llm.set_format(format());
            for point in POINTS {
                llm.set(pausing_at(point));
                let answer = fixture.send(&prompt("stream.test", "r")).await;
                let case = format!("{point:?} {:?}", format());
                assert_eq!(
                    (answer.text(), answer.is_whole),
                    (all_events(), true),
                    "{case}"
                );
            }
        }
    });
}

// Guards against a request being answered with a failure while its engine only pauses before
// the head, because the other engine rejected the request.
#[test]
fn a_request_waits_for_its_engine_before_the_head_while_the_other_one_rejects_it() {
    smol::block_on(async {
        let site = PausingSite::start(pausing_at(PausePoint::Head), "").await;
        let asked = site.ask(prompt("long.test", "r")).await;
        asked.other.set(Behaviour::Refuse);
        let answer = asked.answer.await;
        assert_eq!((answer.text(), answer.is_whole), (all_events(), true));
    });
}
