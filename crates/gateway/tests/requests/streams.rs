//! Streams that break off at an engine.

use crate::support::caller::{self, prompt};
use crate::support::engine::format::EventIds;
use crate::support::engine::{all_events, event, AnswerFormat, Behaviour, StandInEngine, EVENTS};
use crate::support::{site, Fixture};
use ploverlift_gateway::forward::{CallerAnswer, StreamFraming};
use ploverlift_gateway::time::within;
use ploverlift_http1::ResponseHead;
use smol::io::AsyncReadExt;
use smol::net::{TcpListener, TcpStream};

#[test]
fn a_broken_stream_resumes_at_another_engine_without_lost_or_duplicate_events() {
    smol::block_on(async {
        let first = StandInEngine::start("llm-1", "llm", Behaviour::BreakInside(3)).await;
        let second = StandInEngine::start("llm-2", "llm", Behaviour::BreakInside(3)).await;
        let fixture = Fixture::new(&[&first, &second]).await;
        let home = match fixture.send(&prompt("stream.test", "r0")).await {
            answer if answer.is_whole => panic!("the stream was broken"),
            _ if first.heads().is_empty() => &second,
            _ => &first,
        };
        let other = if std::ptr::eq(home, &first) {
            &second
        } else {
            &first
        };
        other.set(Behaviour::Answer);
        let answer = fixture.send(&prompt("resume.test", "r1")).await;
        assert_eq!(answer.text(), all_events());
        assert!(answer.is_whole);
        let resumed = other.heads();
        assert_eq!(resumed[0].headers.get(site::AFTER), Some("2"));
    });
}

#[test]
fn a_stream_that_may_not_be_resumed_is_aborted_between_events() {
    smol::block_on(async {
        let llm = StandInEngine::start("llm-1", "llm", Behaviour::BreakInside(4)).await;
        let fixture = Fixture::new(&[&llm]).await;
        let answer = fixture.send(&prompt("stream.test", "r")).await;
        assert!(!answer.is_whole);
        let whole: String = (1..4).map(event).collect();
        assert_eq!(answer.text(), whole);
    });
}

/// All bytes of a resumable stream that breaks inside its third event at one engine, and that
/// the other engine, which behaves like this, is asked to take up; and whether the connection
/// was closed after them.
async fn bytes_of_broken_stream(other_engine: Behaviour) -> (String, bool) {
    const CLOSED_WITHIN_MS: u64 = 3_000;
    let first = StandInEngine::start("llm-1", "llm", Behaviour::BreakInside(3)).await;
    let second = StandInEngine::start("llm-2", "llm", Behaviour::BreakInside(3)).await;
    let fixture = Fixture::new(&[&first, &second]).await;
    fixture.send(&prompt("stream.test", "r0")).await;
    let other = match first.heads().is_empty() {
        true => &first,
        false => &second,
    };
    other.set(other_engine);
    let address = fixture.running().callers;
    let mut connection = caller::open(address, &prompt("resume.test", "r1")).await;
    let reading = async { while connection.fill().await.is_ok_and(|count| count > 0) {} };
    let is_closed = within(CLOSED_WITHIN_MS, reading).await.is_some();
    assert_eq!(other.arrived_ids(), ["r1"]);
    let bytes = String::from_utf8_lossy(connection.pending()).into_owned();
    (bytes, is_closed)
}

/// Content of a body that consists of whole chunks without a last one. Several events may share a
/// chunk.
fn content_of_chunks(mut body: &str) -> String {
    let mut content = String::new();
    while !body.is_empty() {
        let (size, rest) = body.split_once("\r\n").expect("the size of a chunk");
        let size = usize::from_str_radix(size, 16).expect("a size in hex");
        assert_ne!(size, 0, "the body looks complete");
        content.push_str(&rest[..size]);
        body = rest[size..]
            .strip_prefix("\r\n")
            .expect("the end of a chunk");
    }
    content
}

// Guards against the failure of the engine that takes a stream up being written, head and body,
// into the caller's answer that has begun.
#[test]
fn a_failure_of_the_engine_that_takes_a_stream_up_is_no_part_of_the_answer() {
    const MORE_THAN_IS_BUFFERED: usize = 300 * 1024;
    let failures = [
        Behaviour::FailWith(404),
        Behaviour::FailWith(400),
        Behaviour::FailWith(500),
        Behaviour::AnswerLarge(404, MORE_THAN_IS_BUFFERED),
        Behaviour::AnswerLarge(500, MORE_THAN_IS_BUFFERED),
    ];
    smol::block_on(async {
        for failure in failures {
            let case = format!("{failure:?}");
            let (bytes, is_closed) = bytes_of_broken_stream(failure).await;
            let sent: String = (1..3).map(event).collect();
            let (_, body) = bytes.split_once("\r\n\r\n").expect("a head");
            assert_eq!(content_of_chunks(body), sent, "{case}");
            assert!(
                is_closed,
                "{case}: the connection ends with the broken answer"
            );
        }
    });
}

// Guards against a second head in one answer, whichever path writes it.
#[test]
fn an_answer_that_has_begun_takes_no_second_head() {
    smol::block_on(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("bind");
        let address = listener.local_addr().expect("address");
        for framing in [StreamFraming::Chunked, StreamFraming::UntilClose] {
            let mut caller = TcpStream::connect(address).await.expect("connect");
            let (node, _) = listener.accept().await.expect("accept");
            let mut answer = CallerAnswer::new(node.clone().into(), framing, true, 1_000);
            let begun = answer.start_stream(ResponseHead::new(200), b"first").await;
            begun.expect("the first head");
            let complete = answer.send_complete(ResponseHead::new(404), b"second");
            assert!(complete.await.is_err());
            let stream = answer.start_stream(ResponseHead::new(200), b"third");
            assert!(stream.await.is_err());
            let _ = node.shutdown(std::net::Shutdown::Write);
            let mut bytes = String::new();
            let read = caller.read_to_string(&mut bytes).await;
            read.expect("the end of the answer");
            assert_eq!(bytes.matches("HTTP/1.1").count(), 1, "{bytes}");
        }
    });
}

/// A resumable stream whose events have these ids, and that breaks inside its third event at each
/// engine; the whole stream, and what its caller got, with whether it ended as complete.
async fn broken_stream_with(ids: EventIds) -> (String, String, bool) {
    let format = AnswerFormat {
        ids,
        ..AnswerFormat::default()
    };
    let first = StandInEngine::start("llm-1", "llm", Behaviour::BreakInside(3)).await;
    let second = StandInEngine::start("llm-2", "llm", Behaviour::BreakInside(3)).await;
    let fixture = Fixture::new(&[&first, &second]).await;
    first.set_format(format);
    second.set_format(format);
    fixture.send(&prompt("stream.test", "r0")).await;
    let other = match first.heads().is_empty() {
        true => &first,
        false => &second,
    };
    other.set(Behaviour::Answer);
    let answer = fixture.send(&prompt("resume.test", "r1")).await;
    let whole = (1..=EVENTS).map(|number| format.event(number)).collect();
    (whole, answer.text(), answer.is_whole)
}

// Guards against a resumed stream that loses or repeats events whose ids rise by more than one.
#[test]
fn a_stream_whose_ids_rise_by_several_tokens_resumes_without_lost_or_repeated_events() {
    smol::block_on(async {
        for step in [3, 7] {
            let (whole, got, is_whole) = broken_stream_with(EventIds::Steps(step)).await;
            assert_eq!((got, is_whole), (whole, true), "{step}");
        }
    });
}

// Guards against events that are repeated after a resumption: only numbers tell which event
// follows another.
#[test]
fn a_stream_whose_ids_prove_no_order_is_broken_off_rather_than_resumed() {
    smol::block_on(async {
        for ids in [EventIds::Letters, EventIds::EverySecond] {
            let (whole, got, is_whole) = broken_stream_with(ids).await;
            assert!(whole.starts_with(&got), "{ids:?}: {got}");
            assert!(!is_whole || got == whole, "{ids:?}");
        }
    });
}
