//! Ends of unframed answers of engines that refuse new connections: whole where the engine runs
//! on, broken off where it terminates.

use crate::app_engine::app;
use crate::support::caller::{self, prompt, request, Answer, Request};
use crate::support::engine::listening::IdleConnections;
use crate::support::engine::{all_events, event, AnswerFormat, Behaviour, StandInEngine, EVENTS};
use crate::support::{configuration, route, Fixture};
use ploverlift_balancing::names::InstanceId;
use ploverlift_gateway::time::sleep;
use serde_json::{json, Value};

/// Time from the arrival of a request until its engine stops listening, in milliseconds.
const LISTENS_FOR_MS: u64 = 100;
/// Time from then until an engine terminates between two events, in milliseconds.
const RUNS_ON_MS: u64 = 80;
/// Time after which an answer that is no stream is sent, in milliseconds.
const ANSWERED_AFTER_MS: u64 = 400;
/// Time for which a caller reads nothing before and after the end of its engine, in milliseconds.
const UNREAD_MS: u64 = 400;
/// Size of an answer that the buffers between engine and caller do not hold, in bytes.
const LARGER_THAN_BUFFERS: usize = 32 * 1024 * 1024;
/// Routes of streams, and routes of other answers.
const STREAM_HOSTS: [&str; 2] = ["stream.test", "resume.test"];
const PLAIN_HOSTS: [&str; 2] = ["safe.test", "unsafe.test"];

/// How an engine stops listening, and what it does afterwards.
#[derive(Clone, Copy, Debug)]
struct Stop {
    idle: IdleConnections,
    /// Whether the engine has announced its leaving.
    is_announced: bool,
    terminates: bool,
}

/// Engines that stop listening, keep idle connections open and run on: at their limit, and leaving
/// in order.
const STOPS: [Stop; 2] = [
    Stop {
        idle: IdleConnections::LeftOpen,
        is_announced: false,
        terminates: false,
    },
    Stop {
        idle: IdleConnections::LeftOpen,
        is_announced: true,
        terminates: false,
    },
];

/// An engine that leaves, closes its listener and all idle connections, and runs on: one that is
/// terminated in this state looks the same.
const ALL_CLOSED: Stop = Stop {
    idle: IdleConnections::Closed,
    is_announced: true,
    terminates: false,
};

async fn plain_engine(behaviour: Behaviour) -> StandInEngine {
    let engine = app(behaviour).await;
    engine.set_format(AnswerFormat::UNFRAMED);
    engine
}

async fn stream_engine(behaviour: Behaviour) -> StandInEngine {
    let engine = StandInEngine::start("llm-1", "llm", behaviour).await;
    engine.set_format(AnswerFormat::UNFRAMED);
    engine
}

/// Sends a request whose engine stops listening while it runs it.
async fn send_while_it_stops(
    fixture: &Fixture,
    engine: &StandInEngine,
    request: Request,
    stop: Stop,
) -> Answer {
    while engine.happened.try_recv().is_ok() {}
    let address = fixture.running().callers;
    let asking = smol::spawn(async move { caller::send(address, &request).await });
    engine.happened.recv().await.expect("the engine");
    sleep(LISTENS_FOR_MS).await;
    if stop.is_announced {
        announce_leaving(fixture, engine).await;
    }
    engine.stop_listening(stop.idle).await;
    if stop.terminates {
        sleep(RUNS_ON_MS).await;
        engine.end().await;
    }
    asking.await
}

/// Announces in the store that the engine leaves, and waits until the node knows it.
async fn announce_leaving(fixture: &Fixture, engine: &StandInEngine) {
    let mut record = engine.record();
    record["leaving"] = json!(true);
    fixture.store.put("Engines", &engine.instance, record);
    let instance = InstanceId(engine.instance.clone());
    let is_leaving = || {
        let beliefs = fixture.gateway.beliefs();
        let known = beliefs.engines.get(&instance);
        known.is_some_and(|known| known.record.is_leaving)
    };
    while !is_leaving() {
        sleep(1).await;
    }
}

/// A configuration that gives streams enough time for two engines, one after the other.
fn long_streams() -> Value {
    let mut configuration = configuration(1);
    configuration["routes"] = json!([route("resume.test", "resumable", "llm", 20_000)]);
    configuration
}

/// Sends requests that are answered at once.
async fn warm_up(fixture: &Fixture, engine: &StandInEngine, request: &Request) {
    engine.set(Behaviour::Answer);
    for _ in 0..2 {
        assert!(fixture.send(request).await.is_whole);
    }
}

// Guards against a whole stream being aborted because its engine, which leaves in order or is at
// its limit of connections, accepts no other one.
#[test]
fn an_unframed_stream_is_whole_where_its_engine_stops_listening_and_runs_on() {
    smol::block_on(async {
        for host in STREAM_HOSTS {
            for stop in STOPS {
                for is_warm in [false, true] {
                    let case = format!("{host} {stop:?} warm={is_warm}");
                    let llm = stream_engine(Behaviour::Answer).await;
                    let fixture = Fixture::new(&[&llm]).await;
                    if is_warm {
                        warm_up(&fixture, &llm, &prompt(host, "warm-up")).await;
                    }
                    llm.set(Behaviour::StreamSlowly(EVENTS));
                    let asked = prompt(host, "r");
                    let sending = send_while_it_stops(&fixture, &llm, asked, stop);
                    let answer = sending.await;
                    assert_eq!(answer.text(), all_events(), "{case}");
                    assert!(answer.is_whole, "{case}");
                }
            }
        }
    });
}

// Guards against a truncated stream being taken for complete because its engine had stopped
// listening before it terminated: its other connections end with it.
#[test]
fn an_unframed_stream_is_broken_off_where_its_engine_terminates_after_it_stopped_listening() {
    smol::block_on(async {
        for host in STREAM_HOSTS {
            for is_warm in [false, true] {
                let case = format!("{host} warm={is_warm}");
                let llm = stream_engine(Behaviour::Answer).await;
                let fixture = Fixture::new(&[&llm]).await;
                if is_warm {
                    warm_up(&fixture, &llm, &prompt(host, "warm-up")).await;
                }
                llm.set(Behaviour::StreamSlowly(EVENTS));
                let stop = Stop {
                    terminates: true,
                    ..STOPS[0]
                };
                let answer = send_while_it_stops(&fixture, &llm, prompt(host, "r"), stop).await;
                assert!(!answer.is_whole, "{case}");
                assert!(all_events().starts_with(&answer.text()), "{case}");
            }
        }
    });
}

// Guards against a whole stream on a kept connection being aborted because its engine has been at
// its limit of connections since before the request, and against one of an engine that terminates
// there being taken for complete.
#[test]
fn at_the_limit_of_connections_an_open_one_tells_an_engine_that_runs_from_one_that_terminates() {
    smol::block_on(async {
        for (behaviour, is_whole) in [
            (Behaviour::StreamSlowly(EVENTS), true),
            (Behaviour::EndAfter(3), false),
        ] {
            let llm = stream_engine(Behaviour::Answer).await;
            let fixture = Fixture::new(&[&llm]).await;
            warm_up(&fixture, &llm, &prompt("resume.test", "warm-up")).await;
            // Leaves a connection for the next request, beside the one for probes.
            llm.set_format(AnswerFormat::default());
            llm.set(Behaviour::KeepConnection);
            assert!(
                fixture
                    .send(&prompt("resume.test", "framed"))
                    .await
                    .is_whole
            );
            llm.set_format(AnswerFormat::UNFRAMED);
            llm.stop_listening(IdleConnections::LeftOpen).await;
            llm.set(behaviour.clone());
            let answer = fixture.send(&prompt("resume.test", "r")).await;
            assert_eq!(answer.status(), 200, "{behaviour:?}");
            let has_all_events = answer.text() == all_events();
            let received = (has_all_events, answer.is_whole);
            assert_eq!(received, (is_whole, is_whole), "{behaviour:?}");
        }
    });
}

// Guards against a truncated stream being taken for complete because its engine closed an idle
// connection long before it terminated, as all engines do.
#[test]
fn an_unframed_stream_is_broken_off_where_its_engine_closed_idle_connections_and_then_terminates() {
    smol::block_on(async {
        for host in STREAM_HOSTS {
            let llm = stream_engine(Behaviour::Answer).await;
            let fixture = Fixture::new(&[&llm]).await;
            warm_up(&fixture, &llm, &prompt(host, "warm-up")).await;
            llm.set(Behaviour::StreamSlowly(EVENTS));
            while llm.happened.try_recv().is_ok() {}
            let address = fixture.running().callers;
            let asked = prompt(host, "r");
            let asking = smol::spawn(async move { caller::send(address, &asked).await });
            llm.happened.recv().await.expect("the engine");
            llm.close_idle();
            sleep(LISTENS_FOR_MS + RUNS_ON_MS).await;
            llm.end().await;
            assert!(!asking.await.is_whole, "{host}");
        }
    });
}

// Guards against a truncated stream being taken for complete because another connection to its
// terminated engine ends a moment later.
#[test]
fn an_unframed_stream_is_broken_off_where_other_connections_of_its_engine_end_a_moment_later() {
    const LATER_MS: u64 = 20;
    smol::block_on(async {
        for host in STREAM_HOSTS {
            let llm = stream_engine(Behaviour::Answer).await;
            let fixture = Fixture::new(&[&llm]).await;
            for number in 0..3 {
                let id = format!("warm-up {number}");
                assert!(fixture.send(&prompt(host, &id)).await.is_whole);
            }
            llm.set(Behaviour::StreamSlowly(EVENTS));
            while llm.happened.try_recv().is_ok() {}
            let address = fixture.running().callers;
            let asked = prompt(host, "r");
            let asking = smol::spawn(async move { caller::send(address, &asked).await });
            llm.happened.recv().await.expect("the engine");
            sleep(LISTENS_FOR_MS + RUNS_ON_MS).await;
            llm.end_in_turn(LATER_MS).await;
            assert!(!asking.await.is_whole, "{host}");
        }
    });
}

// Guards against a truncated stream being taken for complete because the link held its last bytes
// back for longer than the end of the other connections: they arrive as those of an engine that
// closes all other connections and runs on.
#[test]
fn an_unframed_stream_is_broken_off_where_all_else_ended_before_without_an_announcement() {
    smol::block_on(async {
        for host in STREAM_HOSTS {
            let llm = stream_engine(Behaviour::StreamSlowly(EVENTS)).await;
            let fixture = Fixture::new(&[&llm]).await;
            let stop = Stop {
                is_announced: false,
                ..ALL_CLOSED
            };
            let answer = send_while_it_stops(&fixture, &llm, prompt(host, "r"), stop).await;
            assert!(!answer.is_whole, "{host}");
        }
    });
}

// Guards against a stream that was cut being taken for complete because its engine had announced its
// leaving and refused connections before: nothing tells it from one that is terminated there.
#[test]
fn an_unframed_stream_is_broken_off_where_its_engine_leaves_and_has_closed_all_else() {
    const SHORT: &str = "[bounds]\nleaving_engine_ms = 300\n";
    smol::block_on(async {
        for host in STREAM_HOSTS {
            for terminates in [false, true] {
                for more in ["", SHORT] {
                    let case = format!("{host} terminates={terminates} {more}");
                    let llm = stream_engine(Behaviour::StreamSlowly(EVENTS)).await;
                    let fixture = Fixture::with(&[&llm], configuration(1), more).await;
                    let stop = Stop {
                        terminates,
                        ..ALL_CLOSED
                    };
                    let asked = prompt(host, "r");
                    let answer = send_while_it_stops(&fixture, &llm, asked, stop).await;
                    assert!(!answer.is_whole, "{case}");
                    assert!(all_events().starts_with(&answer.text()), "{case}");
                }
            }
        }
    });
}

// Guards against a stream whose end is not proven being broken off though another engine could go on.
#[test]
fn a_resumable_stream_goes_on_elsewhere_where_its_engine_leaves_and_has_closed_all_else() {
    // Long enough for the node to hear of the other engine and of the leaving meanwhile.
    const LONG: u64 = 40;
    smol::block_on(async {
        for terminates in [false, true] {
            let llm = stream_engine(Behaviour::StreamSlowly(LONG)).await;
            let other = StandInEngine::start("llm-2", "llm", Behaviour::StreamSlowly(LONG)).await;
            let fixture = Fixture::with(&[&llm], long_streams(), "").await;
            let address = fixture.running().callers;
            let asked = prompt("resume.test", "r");
            let asking = smol::spawn(async move { caller::send(address, &asked).await });
            llm.happened.recv().await.expect("the engine");
            let store = &fixture.store;
            store.put("Engines", &other.instance, other.record());
            while fixture.gateway.beliefs().engines.len() < 2 {
                sleep(1).await;
            }
            announce_leaving(&fixture, &llm).await;
            llm.stop_listening(IdleConnections::Closed).await;
            if terminates {
                llm.end().await;
            }
            let answer = asking.await;
            let whole: String = (1..=LONG).map(event).collect();
            assert_eq!((answer.text(), answer.is_whole), (whole, true));
            assert_eq!(other.arrivals(), 1, "terminates={terminates}");
        }
    });
}

// Guards against an answer that may be half of it being taken for complete because its engine had
// announced its leaving and refused connections before.
#[test]
fn an_unframed_answer_is_broken_off_where_its_engine_leaves_and_has_closed_all_else() {
    smol::block_on(async {
        for host in PLAIN_HOSTS {
            let app = plain_engine(Behaviour::AnswerAfter(ANSWERED_AFTER_MS)).await;
            let fixture = Fixture::new(&[&app]).await;
            let asked = request(host, "r");
            let answer = send_while_it_stops(&fixture, &app, asked, ALL_CLOSED).await;
            assert_eq!(answer.status(), 502, "{host}");
        }
    });
}

// Guards against a truncated stream being taken for complete because other connections to its
// engine had been open.
#[test]
fn an_unframed_stream_is_broken_off_where_its_engine_terminates_beside_idle_connections() {
    smol::block_on(async {
        for host in STREAM_HOSTS {
            let llm = stream_engine(Behaviour::Answer).await;
            let fixture = Fixture::new(&[&llm]).await;
            warm_up(&fixture, &llm, &prompt(host, "warm-up")).await;
            llm.set(Behaviour::EndAfter(3));
            let answer = fixture.send(&prompt(host, "r")).await;
            assert!(!answer.is_whole, "{host}");
        }
    });
}

// Guards against a truncated answer being taken for complete because its caller reads it so slowly
// that this node reads the last bytes long after it has noticed that the engine has ended.
#[test]
fn an_unframed_answer_is_broken_off_where_it_is_read_long_after_its_engine_terminated() {
    smol::block_on(async {
        let app = plain_engine(Behaviour::Answer).await;
        let fixture = Fixture::new(&[&app]).await;
        warm_up(&fixture, &app, &request("unsafe.test", "warm-up")).await;
        while app.happened.try_recv().is_ok() {}
        app.set(Behaviour::AnswerLarge(200, LARGER_THAN_BUFFERS));
        let asked = request("unsafe.test", "r");
        let mut connection = caller::open(fixture.running().callers, &asked).await;
        app.happened.recv().await.expect("the engine");
        sleep(UNREAD_MS).await;
        app.end().await;
        sleep(UNREAD_MS).await;
        let answer = caller::read(&mut connection).await.expect("an answer");
        assert_eq!(answer.status(), 200);
        assert!(answer.body.len() < LARGER_THAN_BUFFERS);
        assert!(!answer.is_whole);
    });
}

// Guards against a whole answer being withheld because its engine, which leaves in order or is at
// its limit of connections, accepts no other one.
#[test]
fn an_unframed_answer_is_whole_where_its_engine_stops_listening_and_runs_on() {
    smol::block_on(async {
        for host in PLAIN_HOSTS {
            for stop in STOPS {
                let case = format!("{host} {stop:?}");
                let app = plain_engine(Behaviour::Answer).await;
                let fixture = Fixture::new(&[&app]).await;
                warm_up(&fixture, &app, &request(host, "warm-up")).await;
                app.set(Behaviour::AnswerAfter(ANSWERED_AFTER_MS));
                let asked = request(host, "r");
                let sending = send_while_it_stops(&fixture, &app, asked, stop);
                let answer = sending.await;
                let received = (answer.status(), answer.text(), answer.is_whole);
                assert_eq!(received, (200, "answer to r".to_owned(), true), "{case}");
            }
        }
    });
}

// Guards against half of an answer being taken for complete because other connections to its
// engine had been open.
#[test]
fn an_unframed_answer_is_broken_off_where_its_engine_terminates_beside_idle_connections() {
    smol::block_on(async {
        for host in PLAIN_HOSTS {
            let app = plain_engine(Behaviour::Answer).await;
            let fixture = Fixture::new(&[&app]).await;
            warm_up(&fixture, &app, &request(host, "warm-up")).await;
            app.set(Behaviour::EndAfter(1));
            let answer = fixture.send(&request(host, "r")).await;
            assert_eq!(answer.status(), 502, "{host}");
        }
    });
}

// Guards against unframed answers that cost their engines more connections than the one that shows
// that the engine still runs.
#[test]
fn unframed_answers_cost_one_connection_each_beside_one_that_stays_open() {
    const ANSWERS: usize = 8;
    smol::block_on(async {
        let cases = [
            ("resume.test", Behaviour::Answer, ANSWERS),
            ("resume.test", Behaviour::StreamSlowly(EVENTS), ANSWERS),
            ("stream.test", Behaviour::Answer, 2 * ANSWERS),
            ("stream.test", Behaviour::StreamSlowly(EVENTS), 2 * ANSWERS),
        ];
        for (host, behaviour, today) in cases {
            let case = format!("{host} {behaviour:?}");
            let llm = stream_engine(behaviour).await;
            let fixture = Fixture::new(&[&llm]).await;
            let before = llm.accepted();
            for number in 0..ANSWERS {
                let answer = fixture.send(&prompt(host, &format!("r{number}"))).await;
                assert!(answer.is_whole, "{case}");
            }
            let opened = llm.accepted() - before;
            println!("{case}: {opened} connections for {ANSWERS} answers");
            assert!(opened <= today + 2, "{case}: {opened}");
        }
    });
}
