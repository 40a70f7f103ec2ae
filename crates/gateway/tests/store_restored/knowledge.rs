//! State of nodes after the store was restored from a copy.

use super::support::caller::request;
use super::support::engine::{Behaviour, StandInEngine};
use super::support::{caller, configuration, start_node, Fixture};
use ploverlift_balancing::catalogue::InstanceId;
use ploverlift_gateway::ports::{StoreError, StoreKind};
use ploverlift_gateway::store::StoreClient;
use ploverlift_gateway::time::sleep;
use ploverlift_policy::ids::StoreEra;
use ploverlift_policy::store_revision::StoreRevision;
use serde_json::{json, Value};
use std::time::{Duration, Instant};

/// Polling period of conditions, in milliseconds.
const POLL_PERIOD_MS: u64 = 5;
/// Time within which a node must know the contents of the store.
const SOON: Duration = Duration::from_millis(4_000);
/// Time for which engines that must not get requests are observed: longer than the grace
/// period of records that the store may have lost.
const OBSERVED: Duration = Duration::from_millis(2_500);

/// An engine record with a heartbeat.
fn record(engine: &StandInEngine, sequence: u64, is_leaving: bool) -> Value {
    let mut record = engine.record();
    record["born"] = json!(1_000);
    record["sequence"] = json!(sequence);
    record["leaving"] = json!(is_leaving);
    record
}

/// Waits until a condition holds; fails after a bound.
async fn expect_soon(what: &str, holds: impl Fn() -> bool) {
    let began = Instant::now();
    while !holds() {
        assert!(began.elapsed() < SOON, "{what}");
        sleep(POLL_PERIOD_MS).await;
    }
}

async fn expect_era(fixture: &Fixture, era: u64) {
    let known = || fixture.gateway.store_era.get() == Some(StoreEra(era));
    expect_soon("the era is known", known).await;
}

fn is_leaving(fixture: &Fixture, instance: &str) -> bool {
    let beliefs = fixture.gateway.beliefs();
    let engine = beliefs.engines.get(&InstanceId(instance.to_owned()));
    engine.is_some_and(|engine| beliefs.engines.is_leaving(engine))
}

fn known_revision(fixture: &Fixture, instance: &str) -> Option<u64> {
    let beliefs = fixture.gateway.beliefs();
    let engine = beliefs.engines.get(&InstanceId(instance.to_owned()))?;
    Some(engine.record.revision)
}

fn knows(fixture: &Fixture, instance: &str) -> bool {
    let instance = InstanceId(instance.to_owned());
    fixture.gateway.beliefs().engines.get(&instance).is_some()
}

/// Sends requests during the observed time, none of which may reach this engine.
async fn expect_no_arrival(fixture: &Fixture, engine: &StandInEngine) {
    let (began, before) = (Instant::now(), engine.arrivals());
    while began.elapsed() < OBSERVED {
        let answer = fixture.send(&request("safe.test", "r")).await;
        assert_eq!(answer.status(), 200);
        assert_eq!(engine.arrivals(), before, "{:?}", began.elapsed());
        sleep(POLL_PERIOD_MS).await;
    }
}

/// A node that knows these engines, with a store that reports its era.
async fn fixture(engines: &[&StandInEngine]) -> Fixture {
    let fixture = Fixture::new(engines).await;
    fixture.store.tell_era();
    expect_era(&fixture, 1).await;
    fixture
}

async fn two_engines() -> (Fixture, StandInEngine, StandInEngine) {
    let stays = StandInEngine::start("app-1", "app", Behaviour::Answer).await;
    let leaves = StandInEngine::start("app-2", "app", Behaviour::Answer).await;
    let fixture = fixture(&[]).await;
    for engine in [&stays, &leaves] {
        let written = record(engine, 1, false);
        fixture.store.put("Engines", &engine.instance, written);
    }
    let knows_both = || knows(&fixture, "app-1") && knows(&fixture, "app-2");
    expect_soon("both engines are known", knows_both).await;
    (fixture, stays, leaves)
}

/// The copy contains an engine as ready that has since announced that it leaves.
#[test]
fn a_leaving_engine_gets_no_requests_if_the_copy_has_it_as_ready() {
    smol::block_on(async {
        let (fixture, _stays, leaves) = two_engines().await;
        let copy = fixture.store.copy();
        fixture
            .store
            .put("Engines", "app-2", record(&leaves, 2, true));
        expect_soon("the engine is leaving", || is_leaving(&fixture, "app-2")).await;
        fixture.store.restore(&copy);
        expect_era(&fixture, 2).await;
        expect_no_arrival(&fixture, &leaves).await;
    });
}

/// The copy contains an engine that has since been removed.
#[test]
fn a_removed_engine_gets_no_requests_if_the_copy_still_has_it() {
    smol::block_on(async {
        let (fixture, _stays, leaves) = two_engines().await;
        let copy = fixture.store.copy();
        fixture.store.remove("Engines", "app-2");
        expect_soon("the engine is removed", || !knows(&fixture, "app-2")).await;
        fixture.store.restore(&copy);
        expect_era(&fixture, 2).await;
        expect_no_arrival(&fixture, &leaves).await;
        // The engine is running after all and writes its record again.
        fixture
            .store
            .put("Engines", "app-2", record(&leaves, 2, false));
        expect_soon("the engine is known again", || knows(&fixture, "app-2")).await;
    });
}

/// Records written after the copy are missing until their engines write them again.
#[test]
fn engines_missing_in_the_copy_serve_until_they_write_again() {
    smol::block_on(async {
        let fixture = fixture(&[]).await;
        let copy = fixture.store.copy();
        let engine = StandInEngine::start("app-1", "app", Behaviour::Answer).await;
        fixture
            .store
            .put("Engines", "app-1", record(&engine, 1, false));
        expect_soon("the engine is known", || knows(&fixture, "app-1")).await;
        fixture.store.restore(&copy);
        expect_era(&fixture, 2).await;
        let began = Instant::now();
        while began.elapsed() < Duration::from_millis(1_000) {
            let answer = fixture.send(&request("safe.test", "r")).await;
            assert_eq!(answer.status(), 200, "{:?}", began.elapsed());
            sleep(POLL_PERIOD_MS).await;
        }
        let revision = fixture
            .store
            .put("Engines", "app-1", record(&engine, 1, false));
        let era = StoreEra(2);
        let written = StoreRevision {
            era,
            number: revision,
        }
        .packed();
        let is_applied = || known_revision(&fixture, "app-1") == Some(written);
        expect_soon("the rewritten record is applied", is_applied).await;
    });
}

/// Revisions go back with a restoration, so later writes could seem older than the known
/// state.
#[test]
fn writes_after_a_restoration_are_applied_whatever_their_revision() {
    smol::block_on(async {
        let (fixture, _stays, leaves) = two_engines().await;
        let copy = fixture.store.copy();
        let mut number = 0;
        for _ in 0..50 {
            let written = record(&leaves, 2, false);
            number = fixture.store.put("Engines", "app-2", written);
        }
        let era = StoreEra(1);
        let known = Some(StoreRevision { era, number }.packed());
        expect_soon("the last write is known", || {
            known_revision(&fixture, "app-2") == known
        })
        .await;
        fixture.store.restore(&copy);
        expect_era(&fixture, 2).await;
        fixture
            .store
            .put("Engines", "app-2", record(&leaves, 2, true));
        expect_soon("it leaves", || is_leaving(&fixture, "app-2")).await;
    });
}

/// Guards against accepting a revoked key that the copy still contains.
#[test]
fn a_node_never_downgrades_to_the_configuration_of_the_copy() {
    smol::block_on(async {
        let app = StandInEngine::start("app-1", "app", Behaviour::Answer).await;
        let fixture = fixture(&[&app]).await;
        let copy = fixture.store.copy();
        let mut without = configuration(2);
        without["keys"] = json!({"key-z": "tenant-z"});
        fixture.store.put("Configuration", "main", without);
        while fixture.send(&request("safe.test", "r")).await.status() == 200 {}
        fixture.store.restore(&copy);
        expect_era(&fixture, 2).await;
        let began = Instant::now();
        while began.elapsed() < OBSERVED {
            assert_ne!(fixture.send(&request("safe.test", "r")).await.status(), 200);
            sleep(POLL_PERIOD_MS).await;
        }
    });
}

/// Guards against a conditional write with a revision from before the restoration that
/// succeeds because the store assigned the same revision to another write.
#[test]
fn writes_conditional_on_a_revision_of_an_earlier_era_are_rejected() {
    smol::block_on(async {
        let fixture = fixture(&[]).await;
        let mut client = StoreClient::new(&fixture.gateway);
        let kind = StoreKind::RefusedRequests;
        let copy = fixture.store.copy();
        let made = client.compare_and_set(kind, "r", 0, json!(1)).await;
        let made = made.expect("made");
        fixture.store.restore(&copy);
        // The store assigns the same revision again.
        fixture.store.put("RefusedRequests", "r", json!(2));
        expect_era(&fixture, 2).await;
        let written = client
            .compare_and_set(kind, "r", made.revision, json!(3))
            .await;
        assert_eq!(written, Err(StoreError::Conflict { current: None }));
        assert_eq!(
            fixture.store.content("RefusedRequests", "r"),
            Some(json!(2))
        );
    });
}

#[test]
fn a_node_started_after_a_restoration_serves() {
    smol::block_on(async {
        let app = StandInEngine::start("app-1", "app", Behaviour::Answer).await;
        let fixture = fixture(&[&app]).await;
        fixture.store.restore(&fixture.store.copy());
        let late = start_node(&fixture.store, "late", "");
        while caller::get_status(late.readiness).await != 200 {
            sleep(POLL_PERIOD_MS).await;
        }
        assert_eq!(late.gateway.store_era.get(), Some(StoreEra(2)));
        let answer = caller::send(late.callers, &request("safe.test", "r")).await;
        assert_eq!(answer.status(), 200);
    });
}
