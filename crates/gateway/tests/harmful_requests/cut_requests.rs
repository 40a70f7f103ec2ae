//! Requests whose connections are cut by engines that refuse new connections.

use crate::support::caller::{self, request};
use crate::support::engine::listening::IdleConnections;
use crate::support::engine::{Behaviour, StandInEngine};
use crate::support::Fixture;
use ploverlift_gateway::time::sleep;
use std::future::Future;

/// Time within which a node has found whether an engine has ended, in milliseconds.
const FOUND_WITHIN_MS: u64 = 500;
/// Time after which a request would be answered, in milliseconds.
const ANSWERED_AFTER_MS: u64 = 2_000;

/// Sends a request that runs at the engine beside an idle connection until `cut` is done; returns
/// the number of ends of engines that the node has counted then.
async fn ends_counted<F: Future<Output = StandInEngine>>(
    cut: impl FnOnce(StandInEngine) -> F,
) -> u64 {
    let app = StandInEngine::start("app-1", "app", Behaviour::KeepConnection).await;
    let fixture = Fixture::new(&[&app]).await;
    let warm_up = fixture.send(&request("safe.test", "warm-up")).await;
    assert_eq!(warm_up.status(), 200);
    app.set(Behaviour::AnswerAfter(ANSWERED_AFTER_MS));
    while app.happened.try_recv().is_ok() {}
    let address = fixture.running().callers;
    let asked = request("unsafe.test", "r");
    let asking = smol::spawn(async move { caller::send(address, &asked).await });
    app.happened.recv().await.expect("the engine");
    let _app = cut(app).await;
    assert_eq!(asking.await.status(), 502);
    sleep(FOUND_WITHIN_MS).await;
    fixture.gateway.metrics.engine_ends.get()
}

// Guards against a harmless request being held against because its engine, at its limit of
// connections or about to leave, cut it and refuses connections, but runs on.
#[test]
fn an_engine_that_refuses_connections_and_keeps_others_open_has_not_ended() {
    let ends = smol::block_on(ends_counted(|app| async move {
        app.stop_listening(IdleConnections::LeftOpen).await;
        app.close_running();
        app
    }));
    assert_eq!(ends, 0);
}

// Guards against an engine's end being overlooked because other connections to it had been open,
// or end a moment later.
#[test]
fn an_engine_that_ends_beside_idle_connections_has_ended() {
    const LATER_MS: [u64; 2] = [0, 20];
    for later_ms in LATER_MS {
        let ends = smol::block_on(ends_counted(|app| async move {
            app.end_in_turn(later_ms).await;
            app
        }));
        assert_eq!(ends, 1, "{later_ms}");
    }
}
