//! Age of the proof that the known engines are current, as used and as reported, and the
//! state that remains after an engine restarts.

use ploverlift_balancing::catalogue::{EngineRecord, Heartbeat, InstanceId};
use ploverlift_balancing::peer_loads::{EngineTag, ModelTag};
use ploverlift_balancing::prefix_holders::Placement;
use ploverlift_gateway::beliefs::Beliefs;
use ploverlift_gateway::engines_proof::{EnginesProof, EnginesSource};
use ploverlift_policy::ids::{Millis, ZoneName};
use ploverlift_routing::configuration::ServiceName;
use ploverlift_routing::prompt::PartKey;
use ploverlift_routing::software::SoftwareVersion;

const NOW: Millis = Millis(2_000_000);
const STARTED_AT_MS: u64 = 1_700_000_000_000;

fn instance(name: &str) -> InstanceId {
    InstanceId(name.to_owned())
}

fn record(name: &str, revision: u64, born_ms: u64) -> EngineRecord {
    EngineRecord {
        instance: instance(name),
        revision,
        heartbeat: Heartbeat {
            born_ms,
            sequence: 1,
        },
        service: ServiceName::from("llm"),
        address: "10.0.0.1:80".parse().expect("an address"),
        zone: ZoneName::from("z"),
        software: SoftwareVersion::default(),
        slots: 4,
        cold_ms: 0,
        is_leaving: false,
        weights: [("m".to_owned(), 3)].into(),
    }
}

#[test]
fn keeping_a_removed_engine_ages_the_reported_proof() {
    let mut proof = EnginesProof::default();
    assert_eq!(proof.reported_age_ms(NOW), None);
    proof.note_store_read(NOW, NOW, 1_000);
    proof.retain_removed(instance("e-1"), NOW.plus(100));
    proof.retain_removed(instance("e-1"), NOW.plus(300));
    // Further reads do not change that the kept engine's record is gone.
    proof.note_store_read(NOW.plus(900), NOW.plus(950), 1_000);
    assert!(proof.is_retained(&instance("e-1")));
    assert_eq!(proof.reported_age_ms(NOW.plus(1_000)), Some(900));
    proof.stop_retaining(&instance("e-1"));
    assert_eq!(proof.reported_age_ms(NOW.plus(1_000)), Some(100));
}

#[test]
fn the_newest_proof_comes_from_a_store_answer_or_a_relay() {
    let mut proof = EnginesProof::default();
    proof.note_store_read(NOW, NOW.plus(700), 1_000);
    let last = proof.last_update().expect("a proof");
    assert_eq!(
        (last.at, last.source),
        (NOW.plus(700), EnginesSource::Store)
    );
    // Relayed later, but proven as of an earlier time.
    proof.note_relay_proof(NOW.plus(600));
    let last = proof.last_update().expect("a proof");
    assert_eq!(
        (last.at, last.source),
        (NOW.plus(700), EnginesSource::Store)
    );
    proof.note_relay_proof(NOW.plus(800));
    let last = proof.last_update().expect("a proof");
    assert_eq!(
        (last.at, last.source),
        (NOW.plus(800), EnginesSource::Relay)
    );
    assert_eq!(proof.reported_age_ms(NOW.plus(1_000)), Some(200));
}

#[test]
fn a_lagging_relay_restores_no_engine_missing_from_a_newer_list() {
    let mut beliefs = Beliefs::default();
    beliefs.upsert_engine(record("e-1", 4, STARTED_AT_MS), NOW);
    beliefs.listed_revision = 10;
    // The relay's engines are as of an earlier revision than the list.
    let relay_engines = vec![
        record("e-1", 4, STARTED_AT_MS),
        record("e-2", 5, STARTED_AT_MS),
    ];
    let added = beliefs.replace_engines(relay_engines, 8, NOW);
    assert!(added.is_empty());
    assert!(beliefs.engines.get(&instance("e-2")).is_none());
    // An engine recorded after the list is added, and so is one that this node reads itself.
    let since = vec![
        record("e-1", 4, STARTED_AT_MS),
        record("e-3", 11, STARTED_AT_MS),
    ];
    assert_eq!(beliefs.replace_engines(since, 11, NOW).len(), 1);
    assert!(beliefs.upsert_engine(record("e-4", 9, STARTED_AT_MS), NOW));
}

#[test]
fn an_engine_restart_discards_observations_of_the_former_incarnation() {
    let mut beliefs = Beliefs::default();
    beliefs.upsert_engine(record("e-1", 4, STARTED_AT_MS), NOW);
    beliefs.upsert_engine(record("e-2", 5, STARTED_AT_MS), NOW);
    let part = PartKey(77);
    for name in ["e-1", "e-2"] {
        let engine = EngineTag::of(&instance(name));
        let placement = Placement {
            part,
            engine,
            is_kept: true,
        };
        beliefs.holders.note(placement, NOW);
        beliefs.engine_caches.follow(engine);
        beliefs.moves.begin(engine, 500.0, NOW);
    }
    beliefs.note_loaded(&instance("e-1"), "m", 9, NOW);
    beliefs.loading.push(instance("e-1"));
    assert!(beliefs.upsert_engine(record("e-1", 6, STARTED_AT_MS + 5_000), NOW));
    let (restarted, other) = (
        EngineTag::of(&instance("e-1")),
        EngineTag::of(&instance("e-2")),
    );
    let holders: Vec<EngineTag> = beliefs.holders.holders_of(part, NOW).collect();
    assert_eq!(holders, [other]);
    assert!(beliefs.engine_caches.of(restarted).is_none());
    assert!(beliefs.engine_caches.of(other).is_some());
    assert_eq!(beliefs.moves.wait_ms(restarted, NOW), 0.0);
    assert!(beliefs.loading.is_empty() && beliefs.recently_loaded(NOW).is_empty());
    let engine = beliefs.engines.get(&instance("e-1")).expect("the engine");
    assert_eq!(engine.weights_of("m"), 3);
}

#[test]
fn an_engine_report_of_a_new_incarnation_precedes_its_record() {
    let mut beliefs = Beliefs::default();
    beliefs.upsert_engine(record("e-1", 4, STARTED_AT_MS), NOW);
    beliefs.note_loaded(&instance("e-1"), "m", 9, NOW);
    beliefs.note_engine_incarnation(&instance("e-1"), STARTED_AT_MS + 5_000);
    assert!(beliefs.recently_loaded(NOW).is_empty());
    // Reports of other nodes about the former incarnation are only hints, and its record is
    // outdated.
    assert!(!beliefs.upsert_engine(record("e-1", 5, STARTED_AT_MS), NOW));
    let loaded = ploverlift_balancing::catalogue::LoadedWeights {
        engine: EngineTag::of(&instance("e-1")),
        model: ModelTag::of("m"),
        version: 9,
    };
    beliefs.queue_loaded_report(loaded, NOW);
    assert!(beliefs.upsert_engine(record("e-1", 6, STARTED_AT_MS + 5_000), NOW));
}
