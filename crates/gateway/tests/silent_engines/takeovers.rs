//! Streams whose engine stays silent, while another engine can take them over.

use crate::site::{pausing, pausing_at, PausingSite};
use crate::support::caller::prompt;
use crate::support::engine::{all_events, Behaviour, PausePoint};
use std::time::{Duration, Instant};

/// Time for which two engines may work on one request.
const OVERLAP_AT_MOST: Duration = Duration::from_millis(400);
/// Time for which the second engine queues a request, in milliseconds: beyond the end of the
/// first one's silence.
const QUEUED_MS: u64 = 700;
/// Time from the last event until a stream goes on at another engine.
const RESUMED_WITHIN: Duration = Duration::from_millis(2_000);

// Guards against a stream waiting for a silent engine although another one can take it over.
#[test]
fn a_stream_of_a_silent_engine_goes_on_at_another_one_in_time() {
    smol::block_on(async {
        let site = PausingSite::start(Behaviour::FallSilentAfter(2), "").await;
        let asked = site.ask(prompt("long.test", "r")).await;
        let began = Instant::now();
        asked.other.set(Behaviour::Answer);
        let answer = asked.answer.await;
        assert_eq!((answer.text(), answer.is_whole), (all_events(), true));
        assert!(began.elapsed() < RESUMED_WITHIN);
    });
}

// Guards against two engines working on one request for longer than it takes to hand it over:
// the second one accepts it, by the head of its answer, and sends no event.
#[test]
fn a_silent_engine_is_let_go_soon_after_another_one_has_accepted_the_request() {
    smol::block_on(async {
        let site = PausingSite::start(Behaviour::FallSilentAfter(2), "").await;
        let asked = site.ask(prompt("long.test", "r")).await;
        asked.other.set(pausing_at(PausePoint::Event(3)));
        let arrived = asked.other.happened.recv().await;
        arrived.expect("the other engine has the request");
        let taken_over = Instant::now();
        while asked.home.dropped() == 0 {
            asked.home.happened.recv().await.expect("the first engine");
        }
        assert!(taken_over.elapsed() < OVERLAP_AT_MOST);
        let answer = asked.answer.await;
        assert_eq!((answer.text(), answer.is_whole), (all_events(), true));
    });
}

// Guards against the silent engine being let go before the other one has accepted the request:
// that one queues it and resets its connection later.
#[test]
fn a_silent_engine_is_kept_until_another_one_has_accepted_the_request() {
    smol::block_on(async {
        let site = PausingSite::start(pausing(), "").await;
        let asked = site.ask(prompt("long.test", "r")).await;
        asked.other.set(Behaviour::FailAfter(QUEUED_MS));
        let answer = asked.answer.await;
        assert_eq!((answer.text(), answer.is_whole), (all_events(), true));
        assert_eq!(site.arrivals(), 2);
    });
}

// Guards against a stream being broken off where its engine goes on while another one has just
// been given the request.
#[test]
fn an_engine_that_goes_on_during_the_takeover_keeps_its_request() {
    smol::block_on(async {
        // The engine goes on 100 ms after the silence for which a stream waits.
        let settings = "[attempts]\nstream_silence_ms = 1700\n";
        let site = PausingSite::start(pausing(), settings).await;
        let asked = site.ask(prompt("long.test", "r")).await;
        asked.other.set(pausing_at(PausePoint::Head));
        let answer = asked.answer.await;
        assert_eq!((answer.text(), answer.is_whole), (all_events(), true));
        assert_eq!(site.arrivals(), 2);
        assert_eq!(asked.home.arrivals(), 1);
    });
}
