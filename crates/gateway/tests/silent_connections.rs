//! Engines that stop answering without a connection reset, and the answers to their requests.

mod support;

use ploverlift_balancing::catalogue::InstanceId;
use ploverlift_balancing::engine_losses::{LostEngine, ReportSource};
use ploverlift_balancing::peer_loads::{EngineTag, PeerId};
use ploverlift_gateway::http_call::{connect, ConnectFailure};
use ploverlift_gateway::time::sleep;
use ploverlift_http1::BufferedStream;
use std::io::Error;
use support::caller::{self, prompt, request};
use support::engine::{all_events, event, Behaviour, StandInEngine};
use support::{configuration, Fixture};

/// Time-outs so long that silence alone does not move a stream to another engine.
const NO_SILENCE_TIMEOUTS: &str =
    "[attempts]\nstream_silence_ms = 600000\ntimeout_objectives = 1000.0\n";

fn is_suspected(fixture: &Fixture, instance: &InstanceId) -> bool {
    let beliefs = fixture.gateway.beliefs();
    let known = beliefs.engines.get(instance);
    known.is_some_and(|engine| engine.health.is_suspected())
}

/// Lets the node's tasks run by sending a readiness request.
async fn let_tasks_run(fixture: &Fixture) {
    caller::get_status(fixture.running().readiness).await;
}

/// Waits until the node itself has detected the loss of the engine.
async fn wait_until_lost(fixture: &Fixture, instance: &InstanceId) {
    let tag = EngineTag::of(instance);
    loop {
        let own = fixture.gateway.beliefs().losses.own(100);
        if own.iter().any(|lost| lost.engine == tag) {
            return;
        }
        let_tasks_run(fixture).await;
    }
}

fn report_loss(fixture: &Fixture, instance: &InstanceId) {
    let lost = [LostEngine {
        engine: EngineTag::of(instance),
        nodes: 1,
    }];
    let now = fixture.gateway.clock.now();
    let mut beliefs = fixture.gateway.beliefs();
    for node in [8, 9] {
        beliefs.apply_reported_losses(ReportSource::Node, PeerId(node), &lost, 3, now);
    }
    drop(beliefs);
    fixture.gateway.engine_check_due.notify(usize::MAX);
}

/// Starts a silent engine and a node, and sends a request that waits at the engine; returns
/// both and the caller's connection.
async fn waiting_request(host: &str) -> (StandInEngine, Fixture, BufferedStream) {
    let app = StandInEngine::start("app-1", "app", Behaviour::Silent).await;
    let fixture = Fixture::new(&[&app]).await;
    let connection = caller::open(fixture.running().callers, &request(host, "r1")).await;
    app.happened.recv().await.expect("the request arrived");
    (app, fixture, connection)
}

#[test]
fn an_unrepeatable_request_fails_when_its_engine_is_dead() {
    smol::block_on(async {
        let (mut app, fixture, mut connection) = waiting_request("patient.test").await;
        app.lose_power().await;
        fixture.store.remove("Engines", "app-1");
        // The route allows ten minutes.
        let answer = caller::read(&mut connection).await.expect("an answer");
        assert_eq!(answer.status(), 502);
    });
}

#[test]
fn an_engine_unreachable_from_one_node_keeps_its_unrepeatable_requests() {
    smol::block_on(async {
        let (mut app, fixture, mut connection) = waiting_request("unsafe.test").await;
        let instance = InstanceId(app.instance.clone());
        app.lose_power().await;
        let refused = fixture.send(&request("unsafe.test", "r2")).await;
        assert_eq!(refused.status(), 503);
        wait_until_lost(&fixture, &instance).await;
        assert_eq!(app.dropped(), 0, "given up before the engine was lost");
        // An answer may still arrive when the link works again, so the request waits until the
        // route's time-out.
        let answer = caller::read(&mut connection).await.expect("an answer");
        assert_eq!(answer.status(), 504);
    });
}

#[test]
fn another_nodes_report_confirms_a_loss() {
    smol::block_on(async {
        let (mut app, fixture, mut connection) = waiting_request("patient.test").await;
        let instance = InstanceId(app.instance.clone());
        app.lose_power().await;
        let reading = smol::spawn(async move { caller::read(&mut connection).await });
        while !reading.is_finished() {
            report_loss(&fixture, &instance);
            let_tasks_run(&fixture).await;
        }
        assert_eq!(reading.await.expect("an answer").status(), 502);
    });
}

#[test]
fn a_stream_at_a_lost_engine_resumes_at_another_one() {
    smol::block_on(async {
        let mut first = StandInEngine::start("llm-1", "llm", Behaviour::FallSilentAfter(2)).await;
        let mut second = StandInEngine::start("llm-2", "llm", Behaviour::FallSilentAfter(2)).await;
        let fixture =
            Fixture::with(&[&first, &second], configuration(1), NO_SILENCE_TIMEOUTS).await;
        let asked = prompt("long.test", "r1");
        let mut connection = caller::open(fixture.running().callers, &asked).await;
        let (home, other) = loop {
            let_tasks_run(&fixture).await;
            if !first.heads().is_empty() {
                break (&mut first, &mut second);
            }
            if !second.heads().is_empty() {
                break (&mut second, &mut first);
            }
        };
        other.set(Behaviour::Answer);
        let instance = home.instance.clone();
        home.lose_power().await;
        fixture.store.remove("Engines", &instance);
        let answer = caller::read(&mut connection).await.expect("an answer");
        assert_eq!(answer.text(), all_events());
        assert!(answer.is_whole);
    });
}

#[test]
fn an_engine_that_refuses_connections_may_finish_its_requests() {
    smol::block_on(async {
        let app = StandInEngine::start("app-1", "app", Behaviour::AnswerAfter(2_000)).await;
        let fixture = Fixture::new(&[&app]).await;
        let asked = request("patient.test", "r1");
        let mut connection = caller::open(fixture.running().callers, &asked).await;
        app.happened.recv().await.expect("the request arrived");
        // The engine stops as planned: its listener is closed and its record removed.
        drop(app);
        fixture.store.remove("Engines", "app-1");
        let answer = caller::read(&mut connection).await.expect("an answer");
        assert_eq!(answer.status(), 200);
    });
}

#[test]
fn a_stream_with_events_continues_while_connections_to_its_engine_time_out() {
    const EVENTS: u64 = 60;
    smol::block_on(async {
        let mut llm = StandInEngine::start("llm-1", "llm", Behaviour::StreamSlowly(EVENTS)).await;
        let fixture = Fixture::with(&[&llm], configuration(1), NO_SILENCE_TIMEOUTS).await;
        let asked = prompt("long.test", "r1");
        let mut connection = caller::open(fixture.running().callers, &asked).await;
        llm.happened.recv().await.expect("the request arrived");
        llm.lose_power().await;
        fixture.store.remove("Engines", "llm-1");
        let reading = smol::spawn(async move { caller::read(&mut connection).await });
        wait_until_lost(&fixture, &InstanceId("llm-1".to_owned())).await;
        assert!(!reading.is_finished());
        let answer = reading.await.expect("an answer");
        let all: String = (1..=EVENTS).map(event).collect();
        assert_eq!(answer.text(), all);
        assert!(answer.is_whole);
    });
}

#[test]
fn a_record_removed_long_after_the_loss_fails_an_unrepeatable_request() {
    smol::block_on(async {
        let mut app = StandInEngine::start("app-1", "app", Behaviour::Silent).await;
        let brisk = "[attempts]\nconnect_timeout_ms = 50\n";
        let fixture = Fixture::with(&[&app], configuration(1), brisk).await;
        let address = fixture.running().callers;
        let mut connection = caller::open(address, &request("patient.test", "r1")).await;
        app.happened.recv().await.expect("the request arrived");
        let instance = InstanceId(app.instance.clone());
        app.lose_power().await;
        let refused = fixture.send(&request("unsafe.test", "r2")).await;
        assert_eq!(refused.status(), 503);
        wait_until_lost(&fixture, &instance).await;
        // Time for six more checks, the last one after a pause of two seconds.
        sleep(5_000).await;
        fixture.store.remove("Engines", "app-1");
        let answer = caller::read(&mut connection).await.expect("an answer");
        assert_eq!(answer.status(), 502);
    });
}

#[test]
fn a_report_of_a_lost_engine_ejects_it_before_a_request_fails() {
    smol::block_on(async {
        let mut app = StandInEngine::start("app-1", "app", Behaviour::Answer).await;
        let fixture = Fixture::new(&[&app]).await;
        let instance = InstanceId(app.instance.clone());
        app.lose_power().await;
        report_loss(&fixture, &instance);
        while !is_suspected(&fixture, &instance) {
            let_tasks_run(&fixture).await;
        }
    });
}

#[test]
fn a_report_about_a_reachable_engine_changes_nothing() {
    smol::block_on(async {
        let app = StandInEngine::start("app-1", "app", Behaviour::Answer).await;
        let fixture = Fixture::new(&[&app]).await;
        let instance = InstanceId(app.instance.clone());
        report_loss(&fixture, &instance);
        let is_checked = || fixture.gateway.beliefs().losses.is_suspected(&instance);
        assert!(is_checked());
        while is_checked() {
            assert!(!is_suspected(&fixture, &instance));
            let_tasks_run(&fixture).await;
        }
        assert!(!is_suspected(&fixture, &instance));
        // A repeated report does not even cause a check.
        report_loss(&fixture, &instance);
        assert!(!is_checked());
        let answer = fixture.send(&request("unsafe.test", "r1")).await;
        assert_eq!(answer.status(), 200);
    });
}

#[test]
fn one_silent_kept_connection_discards_the_others() {
    smol::block_on(async {
        let silent = StandInEngine::start("app-1", "app", Behaviour::KeepConnection).await;
        let fixture = Fixture::new(&[&silent]).await;
        let address = fixture.running().callers;
        let both = ["r1", "r2"].map(|id| {
            smol::spawn(async move { caller::send(address, &request("safe.test", id)).await })
        });
        for sent in both {
            assert_eq!(sent.await.status(), 200);
        }
        assert_eq!(
            silent.connections(),
            2,
            "the second request reused the first connection"
        );
        silent.set(Behaviour::Silent);
        let other = StandInEngine::start("app-2", "app", Behaviour::Answer).await;
        fixture.store.put("Engines", "app-2", other.record());
        while fixture.gateway.beliefs().engines.len() < 2 {
            let_tasks_run(&fixture).await;
        }
        let instance = InstanceId(silent.instance.clone());
        for number in 0.. {
            let id = format!("s{number}");
            let answer = fixture.send(&request("safe.test", &id)).await;
            assert_eq!(answer.status(), 200);
            if silent.dropped() > 0 {
                break;
            }
        }
        let now = fixture.gateway.clock.now();
        let kept = fixture.gateway.kept_connections().take(&instance, now);
        assert!(kept.is_none());
    });
}

#[test]
fn an_established_connection_clears_the_suspicion_before_any_answer() {
    smol::block_on(async {
        let app = StandInEngine::start("app-1", "app", Behaviour::Silent).await;
        let fixture = Fixture::new(&[&app]).await;
        let instance = InstanceId(app.instance.clone());
        fixture
            .gateway
            .beliefs()
            .losses
            .note_suspected(&instance, app.address);
        let asked = request("patient.test", "r1");
        let connection = caller::open(fixture.running().callers, &asked).await;
        app.happened.recv().await.expect("the request arrived");
        assert!(!fixture.gateway.beliefs().losses.is_suspected(&instance));
        drop(connection);
    });
}

#[test]
fn a_failed_connection_shows_its_cause() {
    smol::block_on(async {
        let mut app = StandInEngine::start("app-1", "app", Behaviour::Answer).await;
        let address = app.address;
        app.lose_power().await;
        let failed = connect(address, 60).await.err().expect("a failure");
        assert_eq!(failed.connect_failure(), Some(ConnectFailure::NoAnswer));
        drop(app);
        let failed = connect(address, 60).await.err().expect("a failure");
        assert_eq!(failed.connect_failure(), Some(ConnectFailure::Refused));
    });
    // EMFILE, ENFILE, EADDRNOTAVAIL, ENOBUFS, ENOMEM.
    for code in [24, 23, 99, 105, 12] {
        let error = Error::from_raw_os_error(code);
        assert_eq!(ConnectFailure::of(&error), ConnectFailure::Local, "{error}");
    }
    // ENETUNREACH, ETIMEDOUT, EHOSTUNREACH.
    for code in [101, 110, 113] {
        let error = Error::from_raw_os_error(code);
        assert_eq!(ConnectFailure::of(&error), ConnectFailure::NoAnswer);
    }
}
