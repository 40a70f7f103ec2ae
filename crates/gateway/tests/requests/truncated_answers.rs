//! Answers that end with their connection, whole or broken off.

use crate::app_engine::app;
use crate::support::caller::{self, prompt, request, Answer};
use crate::support::engine::{
    all_events, all_events_with, AnswerFormat, Behaviour, LineEnding, StandInEngine, EVENTS,
};
use crate::support::{site, Fixture};
use ploverlift_balancing::names::InstanceId;
use ploverlift_gateway::time::sleep;
use ploverlift_http1::Framing;
use std::time::{Duration, Instant};

/// Time for which the end of an answer may be delayed beyond its last byte, to learn whether
/// its engine still runs: the bound of the check and some scheduling.
const END_DELAYED_AT_MOST: Duration = Duration::from_millis(250);
/// Longest time for which an engine is probed after the end of its answer.
const PROBED_FOR: Duration = Duration::from_millis(1_000);

/// Ways in which a stream breaks off inside its third event.
const BREAKS_INSIDE_EVENT: [Behaviour; 2] = [Behaviour::BreakInside(3), Behaviour::ResetInside(3)];

fn formats() -> impl Iterator<Item = AnswerFormat> {
    let framings = [Framing::UntilClose, Framing::Chunked];
    framings.into_iter().flat_map(|framing| {
        LineEnding::ALL.map(|line_ending| AnswerFormat {
            framing,
            line_ending,
            ..AnswerFormat::default()
        })
    })
}

async fn stream_engine(name: &str, behaviour: Behaviour, format: AnswerFormat) -> StandInEngine {
    let engine = StandInEngine::start(name, "llm", behaviour).await;
    engine.set_format(format);
    engine
}

/// Failure rate of an engine, as this node has observed it.
fn failure_rate(fixture: &Fixture, engine: &StandInEngine) -> f64 {
    let now = fixture.gateway.clock.now();
    let beliefs = fixture.gateway.beliefs();
    let engine = beliefs.engines.get(&InstanceId(engine.instance.clone()));
    engine.expect("a known engine").health.failure_rate(now)
}

/// Asserts that an answer has exactly the first events and is visibly broken off.
fn assert_broken_after(answer: &Answer, events: usize, format: AnswerFormat, case: &str) {
    let all = all_events_with(format.line_ending);
    let event_bytes = all.len() / EVENTS as usize;
    assert_eq!(answer.text(), all[..events * event_bytes], "{case}");
    assert!(!answer.is_whole, "{case}");
}

// Guards against a stream that ended inside an event being framed as complete for its caller.
#[test]
fn a_stream_that_ends_inside_an_event_is_not_complete_in_any_framing() {
    smol::block_on(async {
        for format in formats() {
            for behaviour in BREAKS_INSIDE_EVENT {
                let case = format!("{format:?} {behaviour:?}");
                let llm = stream_engine("llm-1", behaviour, format).await;
                let fixture = Fixture::new(&[&llm]).await;
                let answer = fixture.send(&prompt("stream.test", "r")).await;
                assert_broken_after(&answer, 2, format, &case);
                assert!(failure_rate(&fixture, &llm) > 0.0, "{case}");
            }
        }
    });
}

// Guards against a resumable stream that ended inside an event not being continued.
#[test]
fn a_resumable_stream_that_ends_inside_an_event_goes_on_in_any_framing() {
    smol::block_on(async {
        for format in formats() {
            for behaviour in BREAKS_INSIDE_EVENT {
                let case = format!("{format:?} {behaviour:?}");
                let first = stream_engine("llm-1", behaviour.clone(), format).await;
                let second = stream_engine("llm-2", behaviour, format).await;
                let fixture = Fixture::new(&[&first, &second]).await;
                fixture.send(&prompt("stream.test", "r0")).await;
                let is_first = !first.heads().is_empty();
                let other = if is_first { &second } else { &first };
                other.set(Behaviour::Answer);
                let answer = fixture.send(&prompt("resume.test", "r1")).await;
                assert_eq!(answer.text(), all_events_with(format.line_ending), "{case}");
                assert!(answer.is_whole, "{case}");
                let position = other.heads()[0].headers.get(site::AFTER).map(str::to_owned);
                assert_eq!(position.as_deref(), Some("2"), "{case}");
            }
        }
    });
}

// Guards against a stream that was cut at any byte being framed as complete: where an engine
// that runs on closes its connection between two events, nothing tells it from a whole stream.
#[test]
fn an_unframed_stream_is_complete_only_where_it_ends_between_events() {
    smol::block_on(async {
        for line_ending in LineEnding::ALL {
            let format = AnswerFormat {
                line_ending,
                ..AnswerFormat::UNFRAMED
            };
            let all = all_events_with(line_ending);
            let event_bytes = all.len() / EVENTS as usize;
            for cut in event_bytes..=2 * event_bytes {
                let case = format!("{line_ending:?} {cut}");
                let llm = stream_engine("llm-1", Behaviour::CutAt(cut), format).await;
                let fixture = Fixture::new(&[&llm]).await;
                let answer = fixture.send(&prompt("stream.test", "r")).await;
                // The line feed of a last line ending is no part of an event of its own.
                let is_line_feed = line_ending == LineEnding::Both;
                let is_border =
                    cut % event_bytes == 0 || (is_line_feed && (cut + 1) % event_bytes == 0);
                assert_eq!(answer.is_whole, is_border, "{case}");
                let events = (cut + usize::from(is_line_feed)) / event_bytes;
                let forwarded = cut.min(events * event_bytes);
                assert_eq!(answer.text(), all[..forwarded], "{case}");
            }
        }
    });
}

#[test]
fn a_whole_stream_is_complete_in_any_framing() {
    smol::block_on(async {
        for format in formats() {
            let llm = stream_engine("llm-1", Behaviour::KeepConnection, format).await;
            let fixture = Fixture::new(&[&llm]).await;
            for id in ["r1", "r2"] {
                let answer = fixture.send(&prompt("resume.test", id)).await;
                let expected = all_events_with(format.line_ending);
                assert_eq!(answer.text(), expected, "{format:?}");
                assert!(answer.is_whole, "{format:?}");
            }
            assert!(failure_rate(&fixture, &llm) < f64::EPSILON, "{format:?}");
        }
    });
}

// Guards against a broken-off answer on a reused connection being framed as complete.
#[test]
fn an_unframed_stream_that_ends_inside_an_event_on_a_kept_connection_is_not_complete() {
    smol::block_on(async {
        let framed = AnswerFormat::default();
        let llm = stream_engine("llm-1", Behaviour::KeepConnection, framed).await;
        let fixture = Fixture::new(&[&llm]).await;
        let warm_up = fixture.send(&prompt("resume.test", "warm-up")).await;
        assert!(warm_up.is_whole);
        llm.set_format(AnswerFormat::UNFRAMED);
        llm.set(Behaviour::BreakInside(3));
        let answer = fixture.send(&prompt("resume.test", "r")).await;
        assert_eq!(llm.connections(), 1, "the connection is reused");
        assert_broken_after(&answer, 2, AnswerFormat::UNFRAMED, "kept connection");
    });
}

// Guards against the end of a terminated engine's connection being taken for the end of its
// stream: between two events the bytes alone look whole.
#[test]
fn an_unframed_stream_of_an_engine_that_terminates_between_events_is_not_complete() {
    smol::block_on(async {
        let format = AnswerFormat::UNFRAMED;
        let llm = stream_engine("llm-1", Behaviour::EndAfter(3), format).await;
        let fixture = Fixture::new(&[&llm]).await;
        let answer = fixture.send(&prompt("stream.test", "r")).await;
        assert_broken_after(&answer, 3, format, "terminated");
        assert!(failure_rate(&fixture, &llm) > 0.0);
    });
}

// Guards against a resumable stream being ended where its engine terminated between events.
#[test]
fn a_resumable_unframed_stream_goes_on_when_its_engine_terminates_between_events() {
    smol::block_on(async {
        let format = AnswerFormat::UNFRAMED;
        let first = stream_engine("llm-1", Behaviour::EndAfter(3), format).await;
        let second = stream_engine("llm-2", Behaviour::EndAfter(3), format).await;
        let fixture = Fixture::new(&[&first, &second]).await;
        let answer = fixture.send(&prompt("resume.test", "r")).await;
        assert_eq!(answer.text(), all_events());
        assert!(answer.is_whole);
        assert_eq!(first.ends() + second.ends(), 1);
    });
}

// Guards against a stream being taken for complete because its engine neither accepts nor refuses a
// connection, against a whole one being lost where another connection is open, and against an end that
// is held back for long meanwhile.
#[test]
fn the_end_of_an_unframed_stream_is_delayed_only_briefly_while_its_engine_accepts_nothing() {
    /// Time after which another connection to the engine is open, in milliseconds.
    const OPEN_AFTER_MS: u64 = 120;
    smol::block_on(async {
        let cases = [
            (OPEN_AFTER_MS, true, END_DELAYED_AT_MOST),
            (0, false, PROBED_FOR + END_DELAYED_AT_MOST),
        ];
        for (accepts_for_ms, is_whole, delayed_at_most) in cases {
            let format = AnswerFormat::UNFRAMED;
            let mut llm = stream_engine("llm-1", Behaviour::StreamSlowly(4), format).await;
            let fixture = Fixture::new(&[&llm]).await;
            let address = fixture.running().callers;
            let asking = smol::spawn(async move {
                let answer = caller::send(address, &prompt("stream.test", "r")).await;
                (answer, Instant::now())
            });
            llm.happened.recv().await.expect("the engine");
            let began = Instant::now();
            sleep(accepts_for_ms).await;
            llm.lose_power().await;
            let (answer, ended) = asking.await;
            assert_eq!(answer.is_whole, is_whole, "accepts for {accepts_for_ms} ms");
            let streaming = Duration::from_millis(4 * 50);
            let delayed = (ended - began).saturating_sub(streaming);
            assert!(delayed < delayed_at_most, "{delayed:?}");
        }
    });
}

// Guards against half of an answer that is no stream being framed as complete.
#[test]
fn an_unframed_answer_of_an_engine_that_terminates_is_not_complete() {
    smol::block_on(async {
        for host in ["safe.test", "unsafe.test"] {
            let app = app(Behaviour::EndAfter(1)).await;
            app.set_format(AnswerFormat::UNFRAMED);
            let fixture = Fixture::new(&[&app]).await;
            let answer = fixture.send(&request(host, "r")).await;
            assert_eq!(answer.status(), 502, "{host}");
            assert_eq!(answer.head.headers.get(site::SIGNED), None, "{host}");
        }
    });
}

#[test]
fn an_unframed_answer_of_an_engine_that_runs_on_is_complete() {
    smol::block_on(async {
        for host in ["safe.test", "unsafe.test"] {
            let app = app(Behaviour::Answer).await;
            app.set_format(AnswerFormat::UNFRAMED);
            let fixture = Fixture::new(&[&app]).await;
            let answer = fixture.send(&request(host, "r")).await;
            let expected = (200, "answer to r".to_owned(), true);
            let received = (answer.status(), answer.text(), answer.is_whole);
            assert_eq!(received, expected, "{host}");
        }
    });
}

// Guards against chunks in the body of a caller that knows none, and against a broken-off answer
// that such a caller takes for complete.
#[test]
fn an_http_1_0_caller_gets_a_stream_without_chunks_and_a_reset_where_it_breaks_off() {
    smol::block_on(async {
        let llm = stream_engine("llm-1", Behaviour::Answer, AnswerFormat::default()).await;
        let fixture = Fixture::new(&[&llm]).await;
        let node = fixture.running().callers;
        let whole = caller::send_as_http_1_0(node, &prompt("stream.test", "whole")).await;
        assert_eq!((whole.text(), whole.is_whole), (all_events(), true));
        assert_eq!(whole.head.headers.get("transfer-encoding"), None);
        for behaviour in BREAKS_INSIDE_EVENT {
            llm.set(behaviour.clone());
            let broken = caller::send_as_http_1_0(node, &prompt("stream.test", "broken")).await;
            assert!(!broken.is_whole, "{behaviour:?}");
        }
    });
}

// Guards against the first part of a large failure being framed as the whole of it.
#[test]
fn a_failure_over_the_buffer_reaches_its_caller_whole_or_not_in_the_engines_name() {
    const LARGE_BYTES: usize = 600 * 1024;
    smol::block_on(async {
        let app = app(Behaviour::AnswerLarge(400, LARGE_BYTES)).await;
        let fixture = Fixture::new(&[&app]).await;
        let rejected = fixture.send(&request("unsafe.test", "rejected")).await;
        let received = (rejected.status(), rejected.body.len(), rejected.is_whole);
        assert_eq!(received, (400, LARGE_BYTES, true));
        app.set(Behaviour::AnswerLarge(500, LARGE_BYTES));
        let failed = fixture.send(&request("unsafe.test", "failed")).await;
        assert_eq!(failed.status(), 502);
        assert_eq!(failed.head.headers.get(site::SIGNED), None);
        assert!(failed.is_whole);
    });
}
