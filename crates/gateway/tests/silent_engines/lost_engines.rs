//! Engines that pause and accept no connection meanwhile, while no other engine can take their
//! requests over and no other node confirms that they are lost.

use crate::support::caller::{self, prompt};
use crate::support::engine::{all_events, Behaviour, Pause, PausePoint, StandInEngine};
use crate::support::Fixture;

/// A pause in which connections fail for longer than it takes until an engine counts as lost, in
/// milliseconds.
const PAUSE_MS: u64 = 2_600;

async fn assert_outlasts_pause_without_connections(host: &str) {
    let pause = Behaviour::Pause(Pause {
        length_ms: PAUSE_MS,
        at: PausePoint::Event(3),
    });
    let mut llm = StandInEngine::start("llm-1", "llm", pause).await;
    let fixture = Fixture::new(&[&llm]).await;
    let address = fixture.running().callers;
    let mut connection = caller::open(address, &prompt(host, "r")).await;
    llm.happened.recv().await.expect("the engine has it");
    llm.lose_power().await;
    let refused = fixture.send(&prompt("stream.test", "unsent")).await;
    assert_eq!(refused.status(), 503, "no connection was accepted");
    let answer = caller::read(&mut connection).await.expect("an answer");
    assert_eq!((answer.text(), answer.is_whole), (all_events(), true));
}

// Guards against a loss that only this node has seen ending a resumable stream, whose connection
// still holds, although no other engine can take it over.
#[test]
fn a_stream_outlasts_a_pause_in_which_its_only_engine_accepts_no_connection() {
    smol::block_on(assert_outlasts_pause_without_connections("long.test"));
}

// Guards against a loss that only this node has seen ending a stream that can't be resumed.
#[test]
fn a_stream_that_may_not_be_resumed_outlasts_a_pause_that_only_this_node_sees() {
    smol::block_on(assert_outlasts_pause_without_connections("stream.test"));
}
