//! Streams that break off at an engine.

use crate::support::caller::prompt;
use crate::support::engine::{all_events, event, Behaviour, StandInEngine};
use crate::support::{site, Fixture};

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
