//! Behaviour of the store client and of a node while the store refuses or throttles calls,
//! does not answer, loses answers or compacts its history.

mod support;

use ploverlift_balancing::catalogue::InstanceId;
use ploverlift_gateway::ports::{StoreError, StoreKind, StoreObject, WatchEvent};
use ploverlift_gateway::settings::GatewaySettings;
use ploverlift_gateway::store::answer_timeout::AnswerTimeout;
use ploverlift_gateway::store::outage::{OutageChange, StoreOutage};
use ploverlift_gateway::store::{apply_engine_change, StoreClient};
use ploverlift_policy::ids::Millis;
use serde_json::json;
use std::path::Path;
use support::caller::{self, request};
use support::engine::{Behaviour, StandInEngine};
use support::store::{StandInStore, StoreFault};
use support::{configuration, settings, site, start_node, Fixture};

/// A short bound on the revocation of keys, which keeps the tests short.
const SHORT_KEY_REVOCATION: &str = "[bounds]\nkey_revocation_ms = 600\n";

async fn client() -> (StandInStore, StoreClient) {
    let store = StandInStore::start().await;
    let gateway = ploverlift_gateway::state::Gateway::new(
        settings(&store, "node", ""),
        std::sync::Arc::new(site::StandInSite),
        ploverlift_gateway::logging::silent_logger(),
    );
    let client = StoreClient::with_timeout(&std::sync::Arc::new(gateway), 100);
    (store, client)
}

#[test]
fn each_call_is_reported_as_executed_not_executed_or_unknown() {
    smol::block_on(async {
        let (store, mut client) = client().await;
        let kind = StoreKind::Leases;
        let made = client
            .compare_and_set(kind, "l", 0, json!(1))
            .await
            .expect("made");
        let replaced = client
            .compare_and_set(kind, "l", made.revision, json!(2))
            .await;
        let replaced = replaced.expect("replaced");
        let conflict = client
            .compare_and_set(kind, "l", made.revision, json!(3))
            .await;
        let Err(StoreError::Conflict { current }) = conflict else {
            panic!("a conflict was expected");
        };
        assert_eq!(current.expect("the object").content, json!(2));
        store.set_fault(StoreFault::Status(429));
        let throttled = client
            .compare_and_set(kind, "l", replaced.revision, json!(4))
            .await;
        assert_eq!(throttled, Err(StoreError::Throttled));
        store.set_fault(StoreFault::Status(503));
        let refused = client
            .compare_and_set(kind, "l", replaced.revision, json!(4))
            .await;
        assert_eq!(refused, Err(StoreError::Refused { status: 503 }));
        store.set_fault(StoreFault::Silent);
        let silent = client.get(kind, "l").await;
        assert!(matches!(silent, Err(StoreError::Unknown { .. })));
        store.set_fault(StoreFault::LosesWriteAnswers);
        let lost = client
            .compare_and_set(kind, "l", replaced.revision, json!(5))
            .await;
        assert!(matches!(lost, Err(StoreError::Unknown { .. })));
        store.set_fault(StoreFault::None);
        let read = client.get(kind, "l").await.expect("read").expect("there");
        assert_eq!(read.content, json!(5));
        assert_eq!(client.get(kind, "none").await, Ok(None));
    });
}

#[test]
fn the_time_out_follows_the_response_times() {
    let mut timeout = AnswerTimeout::new(450);
    assert_eq!(timeout.current_ms(), 450);
    for _ in 0..20 {
        timeout.on_answer(4);
    }
    assert_eq!(timeout.current_ms(), 100);
    timeout.on_timeout();
    assert_eq!(timeout.current_ms(), 200);
    for _ in 0..3 {
        timeout.on_timeout();
    }
    assert_eq!(timeout.current_ms(), 450);
    for _ in 0..20 {
        timeout.on_answer(60);
    }
    assert!((330..=370).contains(&timeout.current_ms()));
}

#[test]
fn an_unreachable_store_has_not_done_the_call() {
    smol::block_on(async {
        let (store, mut client) = client().await;
        drop(store);
        // Dropping the stand-in also drops the task with its listener.
        let read = client.get(StoreKind::Leases, "l").await;
        assert!(matches!(
            read,
            Err(StoreError::Unreachable { .. } | StoreError::Unknown { .. })
        ));
    });
}

#[test]
fn a_watched_configuration_takes_effect_and_is_never_downgraded() {
    smol::block_on(async {
        let app = StandInEngine::start("app-1", "app", Behaviour::Answer).await;
        let fixture = Fixture::new(&[&app]).await;
        let mut newer = configuration(5);
        newer["keys"] = json!({"key-a": "tenant-a", "key-b": "tenant-b"});
        fixture.store.put("Configuration", "main", newer);
        let mut with_new_key = request("safe.test", "r");
        with_new_key.head.headers.set(site::KEY, "key-b");
        while fixture.send(&with_new_key).await.status() != 200 {}
        fixture.store.put("Configuration", "main", configuration(4));
        fixture.store.put("Engines", "app-2", app.record());
        while fixture.gateway.beliefs().engines.len() < 2 {
            assert_eq!(fixture.send(&with_new_key).await.status(), 200);
        }
        assert_eq!(fixture.send(&with_new_key).await.status(), 200);
    });
}

#[test]
fn a_copy_is_listed_again_after_the_history_is_compacted() {
    smol::block_on(async {
        let app = StandInEngine::start("app-1", "app", Behaviour::Answer).await;
        let fixture = Fixture::new(&[&app]).await;
        fixture.store.remove("Engines", "app-1");
        fixture.store.forget_history();
        let left = || fixture.gateway.beliefs().engines.len();
        while left() > 0 {
            fixture.send(&request("safe.test", "r")).await;
        }
        let answer = fixture.send(&request("safe.test", "r")).await;
        assert_eq!(answer.status(), 503);
    });
}

#[test]
fn keys_are_rejected_while_the_store_is_silent_and_accepted_after_recovery() {
    smol::block_on(async {
        let app = StandInEngine::start("app-1", "app", Behaviour::Answer).await;
        let fixture = Fixture::with(&[&app], configuration(1), SHORT_KEY_REVOCATION).await;
        assert_eq!(fixture.send(&request("safe.test", "r")).await.status(), 200);
        fixture.store.set_fault(StoreFault::Silent);
        let refused = loop {
            let answer = fixture.send(&request("safe.test", "r")).await;
            if answer.status() != 200 {
                break answer;
            }
        };
        assert_eq!(refused.status(), 503);
        let text = refused.text();
        assert!(
            refused.head.headers.get("retry-after-ms").is_some(),
            "{text}"
        );
        assert_eq!(
            refused.head.headers.get("connection"),
            Some("close"),
            "{text}"
        );
        let readiness = fixture.running().readiness;
        assert_eq!(caller::get_status(readiness).await, 503);
        // An unknown route may have been added during the outage.
        let unknown = fixture.send(&request("nowhere.test", "r")).await;
        assert_eq!(unknown.status(), 503);
        fixture.store.set_fault(StoreFault::None);
        while fixture.send(&request("safe.test", "r")).await.status() != 200 {}
        while caller::get_status(readiness).await != 200 {}
    });
}

#[test]
fn a_revoked_key_is_rejected() {
    smol::block_on(async {
        let app = StandInEngine::start("app-1", "app", Behaviour::Answer).await;
        let fixture = Fixture::new(&[&app]).await;
        let mut without = configuration(2);
        without["keys"] = json!({"key-z": "tenant-z"});
        fixture.store.put("Configuration", "main", without);
        while fixture.send(&request("safe.test", "r")).await.status() == 200 {}
        assert_eq!(fixture.send(&request("safe.test", "r")).await.status(), 401);
    });
}

#[test]
fn a_node_started_during_an_outage_serves_after_recovery() {
    smol::block_on(async {
        let app = StandInEngine::start("app-1", "app", Behaviour::Answer).await;
        let store = StandInStore::start().await;
        store.put("Configuration", "main", configuration(1));
        store.put("Engines", "app-1", app.record());
        store.set_fault(StoreFault::Status(503));
        let node = start_node(&store, "node", "");
        let early = caller::send(node.callers, &request("safe.test", "r")).await;
        assert_eq!(early.status(), 503);
        store.set_fault(StoreFault::None);
        while caller::send(node.callers, &request("safe.test", "r"))
            .await
            .status()
            != 200
        {}
    });
}

#[test]
fn an_invalid_configuration_leaves_the_active_one_unchanged() {
    smol::block_on(async {
        let app = StandInEngine::start("app-1", "app", Behaviour::Answer).await;
        let fixture = Fixture::new(&[&app]).await;
        fixture
            .store
            .put("Configuration", "main", json!({"version": "nonsense"}));
        fixture.store.put("Engines", "app-2", app.record());
        while fixture.gateway.beliefs().engines.len() < 2 {
            fixture.send(&request("safe.test", "r")).await;
        }
        assert_eq!(fixture.send(&request("safe.test", "r")).await.status(), 200);
    });
}

/// A fixture whose store is available again after an outage and has lost an engine record.
async fn fixture_with_expired_record(app: &StandInEngine) -> Fixture {
    let fixture = Fixture::new(&[app]).await;
    let is_lost = || {
        let outage = fixture.gateway.beliefs().store_outage;
        outage.returned_at().is_none()
    };
    fixture.store.set_fault(StoreFault::Status(503));
    // The pending watch ends within the short wait used in tests; the next one fails.
    let is_away = || {
        let outage = fixture.gateway.beliefs().store_outage;
        outage.failing_since().is_some()
    };
    while !is_away() {
        fixture.send(&request("nowhere.test", "r")).await;
    }
    fixture.store.remove("Engines", "app-1");
    fixture.store.set_fault(StoreFault::None);
    while is_lost() {
        fixture.send(&request("nowhere.test", "r")).await;
    }
    fixture
}

#[test]
fn an_engine_whose_record_expired_in_an_outage_serves_until_it_writes_again() {
    smol::block_on(async {
        let app = StandInEngine::start("app-1", "app", Behaviour::Answer).await;
        let fixture = fixture_with_expired_record(&app).await;
        let revision = fixture.store.put("Engines", "app-1", app.record());
        let known = || {
            let beliefs = fixture.gateway.beliefs();
            let instance = InstanceId("app-1".to_owned());
            beliefs
                .engines
                .get(&instance)
                .map(|engine| engine.record.revision)
        };
        while known() != Some(revision) {
            assert!(known().is_some());
            assert_eq!(fixture.send(&request("safe.test", "r")).await.status(), 200);
        }
    });
}

#[test]
fn an_engine_that_does_not_write_again_after_an_outage_is_removed() {
    smol::block_on(async {
        let app = StandInEngine::start("app-1", "app", Behaviour::Answer).await;
        let fixture = fixture_with_expired_record(&app).await;
        while !fixture.gateway.beliefs().engines.is_empty() {
            fixture.send(&request("nowhere.test", "r")).await;
        }
        assert_eq!(fixture.send(&request("safe.test", "r")).await.status(), 503);
    });
}

/// Outage state after a failed call at 1 s.
fn outage_at_one_second() -> StoreOutage {
    let mut outage = StoreOutage::default();
    let failed: Result<(), StoreError> = Err(StoreError::Refused { status: 503 });
    outage.note_call_ended(&failed, Millis(1_000));
    outage
}

#[test]
fn the_grace_period_applies_before_recovery_and_counts_from_it() {
    assert_eq!(StoreOutage::default().remaining_grace_ms(Millis(500)), 0);
    let mut outage = outage_at_one_second();
    assert_eq!(outage.remaining_grace_ms(Millis(1_400)), 2_000);
    outage.note_call_ended(&Ok(()), Millis(1_500));
    assert_eq!(outage.remaining_grace_ms(Millis(1_500)), 2_000);
    assert_eq!(outage.remaining_grace_ms(Millis(2_500)), 1_000);
    // Later successful calls do not restart the grace period.
    outage.note_call_ended(&Ok(()), Millis(3_000));
    assert_eq!(outage.remaining_grace_ms(Millis(3_600)), 0);
}

#[test]
fn a_failure_without_later_calls_expires() {
    let outage = outage_at_one_second();
    assert_eq!(outage.remaining_grace_ms(Millis(3_900)), 2_000);
    assert_eq!(outage.remaining_grace_ms(Millis(4_100)), 0);
}

#[test]
fn rejected_and_throttled_calls_are_no_outage() {
    let mut outage = StoreOutage::default();
    for error in [StoreError::NotFound, StoreError::Throttled] {
        let answer: Result<(), StoreError> = Err(error);
        outage.note_call_ended(&answer, Millis(1_000));
    }
    assert_eq!(outage.remaining_grace_ms(Millis(1_001)), 0);
}

#[test]
fn an_engine_is_kept_if_the_feed_that_reports_its_removal_missed_the_outage() {
    smol::block_on(async {
        let app = StandInEngine::start("app-1", "app", Behaviour::Answer).await;
        let fixture = Fixture::new(&[&app]).await;
        let now = fixture.gateway.clock.now();
        // The feed of the configuration has observed the outage, but not yet its end.
        let failed: Result<(), StoreError> = Err(StoreError::Refused { status: 503 });
        fixture
            .gateway
            .beliefs()
            .store_outage
            .note_call_ended(&failed, now);
        let gone = WatchEvent {
            object: StoreObject {
                name: "app-1".to_owned(),
                revision: 1_000,
                is_deleting: false,
                content: json!(null),
                status: None,
            },
            is_gone: true,
        };
        apply_engine_change(&fixture.gateway, &gone);
        assert_eq!(fixture.gateway.beliefs().engines.len(), 1);
    });
}

/// Outage state with engine heartbeats every 1.2 s and a maximum age of engines of 1.3 s.
fn outage_with_heartbeats() -> StoreOutage {
    let text = "[node]\nname = \"n\"\nzone = \"z\"\n\
                [listen]\ncallers = \"127.0.0.1:0\"\nreadiness = \"127.0.0.1:0\"\n\
                [store]\naddress = \"127.0.0.1:1\"\nengine_heartbeat_ms = 1200\n";
    let settings = GatewaySettings::parse(text, Path::new("test.toml")).expect("settings");
    StoreOutage::new(&settings, 1_300)
}

#[test]
fn a_single_failed_call_is_no_outage_in_which_records_expire() {
    let failed: Result<(), StoreError> = Err(StoreError::Unreachable {
        reason: "timed out".to_owned(),
    });
    let mut outage = outage_with_heartbeats();
    // A follower that relied on reports for a long time makes its first call, which fails.
    outage.note_call_began(Millis(60_000));
    outage.note_call_ended(&failed, Millis(61_000));
    assert_eq!(outage.remaining_grace_ms(Millis(61_001)), 0);
    outage.note_call_ended(&Ok(()), Millis(61_200));
    assert_eq!(outage.remaining_grace_ms(Millis(61_200)), 0);
    // Records can expire only after two missed heartbeats (2.4 s); this outage is shorter.
    outage.note_call_began(Millis(61_200));
    outage.note_call_ended(&failed, Millis(62_000));
    outage.note_call_began(Millis(62_500));
    outage.note_call_ended(&Ok(()), Millis(63_599));
    assert_eq!(outage.remaining_grace_ms(Millis(63_599)), 0);
}

#[test]
fn expired_records_are_kept_no_longer_than_the_maximum_age_of_engines() {
    let failed: Result<(), StoreError> = Err(StoreError::Refused { status: 503 });
    let mut outage = outage_with_heartbeats();
    outage.note_call_began(Millis(1_000));
    outage.note_call_ended(&failed, Millis(1_100));
    let ended = outage.note_call_ended(&Ok(()), Millis(3_400));
    let expected = OutageChange::Ended {
        silence_ms: Some(2_400),
        may_have_lapsed: true,
    };
    assert_eq!(ended, Some(expected));
    assert_eq!(outage.remaining_grace_ms(Millis(3_400)), 1_300);
    // Another, local failure during the grace period neither ends nor restarts it.
    outage.note_call_began(Millis(3_450));
    outage.note_call_ended(&failed, Millis(3_500));
    outage.note_call_ended(&Ok(()), Millis(3_600));
    assert_eq!(outage.remaining_grace_ms(Millis(3_700)), 1_000);
    assert_eq!(outage.remaining_grace_ms(Millis(4_700)), 0);
}

/// Another writer may damage a record. The invalid record neither adds nor removes an engine,
/// and the other records stay valid.
#[test]
fn an_invalid_record_removes_no_engine_and_hides_no_other() {
    smol::block_on(async {
        let app = StandInEngine::start("app-1", "app", Behaviour::Answer).await;
        let fixture = Fixture::new(&[&app]).await;
        fixture
            .store
            .put("Engines", "app-1", json!({"spoilt": true}));
        fixture
            .store
            .put("Engines", "app-0", json!({"spoilt": true}));
        // The compacted history causes a list, in which another engine is added.
        fixture.store.forget_history();
        fixture.store.put("Engines", "app-2", app.record());
        let knows = |name: &str| {
            let instance = InstanceId(name.to_owned());
            fixture.gateway.beliefs().engines.get(&instance).is_some()
        };
        while !knows("app-2") {
            assert_eq!(fixture.send(&request("safe.test", "r")).await.status(), 200);
        }
        assert!(knows("app-1") && !knows("app-0"));
    });
}
