//! Prompts that are cached by engines or by the KV cache store.

use crate::support::caller::{self, prompt, request};
use crate::support::engine::{Behaviour, StandInEngine};
use crate::support::store::start_cache_store;
use crate::support::{configuration, site, Fixture};
use ploverlift_balancing::cache_stores::CacheStoreState;
use ploverlift_balancing::catalogue::InstanceId;
use ploverlift_balancing::peer_loads::EngineTag;
use ploverlift_balancing::rendezvous;
use ploverlift_http1::RequestHead;
use ploverlift_routing::prompt::{Prompt, PromptPart};

/// Whether each of the first three requests for one prompt fetched from the KV cache store
/// and saved to it. The store answers calls for events with `status`, and requests begin
/// once the node has it in `state`.
async fn cache_use(status: u16, state: CacheStoreState) -> Vec<(bool, bool)> {
    let llm = StandInEngine::start("llm-1", "llm", Behaviour::Answer).await;
    let (address, _task) = start_cache_store(status).await;
    let mut with_cache = configuration(1);
    with_cache["cache"] = address.to_string().into();
    let fixture = Fixture::with(&[&llm], with_cache, "").await;
    let known = || {
        let beliefs = fixture.gateway.beliefs();
        beliefs.cache_stores.of(address).map(|known| known.state())
    };
    while known() != Some(state) {
        fixture.send(&request("nowhere.test", "r")).await;
    }
    for id in ["r1", "r2", "r3"] {
        assert_eq!(fixture.send(&prompt("stream.test", id)).await.status(), 200);
    }
    let used = |head: &RequestHead, name| head.headers.get(name).is_some();
    let heads = llm.heads();
    let uses = heads.iter();
    uses.map(|head| (used(head, site::FETCH), used(head, site::SAVE)))
        .collect()
}

#[test]
fn a_cache_store_that_accepts_no_more_observers_is_still_used() {
    let uses = smol::block_on(cache_use(429, CacheStoreState::Unobserved));
    assert_eq!(uses, [(true, true), (true, false), (true, false)]);
}

#[test]
fn a_prompt_is_saved_to_the_cache_store_once_and_fetched_from_it_afterwards() {
    let uses = smol::block_on(cache_use(200, CacheStoreState::Followed));
    assert_eq!(uses, [(false, true), (true, false), (true, false)]);
}

/// Makes the prefill of the stand-in's short prompts the highest of all costs.
const SLOW_PREFILL: &str = "[cost]\nprefill_tokens_per_ms = 0.1\n";

#[test]
fn a_prompt_goes_to_the_engine_whose_events_report_it_cached() {
    smol::block_on(async {
        let start = |name| StandInEngine::start(name, "llm", Behaviour::Answer);
        let engines = [start("llm-1").await, start("llm-2").await];
        let mut with_events = configuration(1);
        with_events["event_calls"] = 1.into();
        let fixture = Fixture::with(&[&engines[0], &engines[1]], with_events, SLOW_PREFILL).await;
        // The engine that rendezvous hashing does not prefer for the prompt has it cached.
        let parts = [1, 2, 3].map(|id| PromptPart { id, tokens: 10 });
        let prompt_parts = Prompt {
            model: "m".to_owned(),
            parts: parts.to_vec(),
            max_output_tokens: 0,
        };
        let key = prompt_parts.shared_key("");
        let weight =
            |engine: &&StandInEngine| rendezvous::weight(key, &InstanceId(engine.instance.clone()));
        let other = engines.iter().min_by_key(weight).expect("an engine");
        for part in [1, 2] {
            other.keep("1/m/", part, 10);
        }
        let tag = EngineTag::of(&InstanceId(other.instance.clone()));
        let is_reported = || {
            let beliefs = fixture.gateway.beliefs();
            beliefs
                .engine_caches
                .of(tag)
                .is_some_and(|kept| kept.len() == 2)
        };
        while !is_reported() {
            // A readiness request lets the node's tasks run.
            caller::get_status(fixture.running().readiness).await;
        }
        fixture.send(&prompt("stream.test", "r1")).await;
        assert_eq!(other.heads().len(), 1);
    });
}

#[test]
fn an_engine_that_no_longer_answers_its_feed_is_ejected_without_a_request() {
    smol::block_on(async {
        let engine = StandInEngine::start("llm-1", "llm", Behaviour::Answer).await;
        let mut with_events = configuration(1);
        with_events["event_calls"] = 1.into();
        let fixture = Fixture::with(&[&engine], with_events, "").await;
        let instance = InstanceId(engine.instance.clone());
        let tag = EngineTag::of(&instance);
        let is_followed = || fixture.gateway.beliefs().engine_caches.of(tag).is_some();
        let is_suspected = || {
            let beliefs = fixture.gateway.beliefs();
            let known = beliefs.engines.get(&instance);
            known.is_some_and(|engine| engine.health.is_suspected())
        };
        while !is_followed() {
            // A readiness request lets the node's tasks run.
            caller::get_status(fixture.running().readiness).await;
        }
        assert!(!is_suspected());
        // The next call for events stays open, and is never answered.
        engine.keep("1/m/", 1, 10);
        drop(engine);
        while !is_suspected() {
            caller::get_status(fixture.running().readiness).await;
        }
        assert!(!is_followed());
    });
}

#[test]
fn a_lost_cache_store_is_not_used() {
    let uses = smol::block_on(cache_use(503, CacheStoreState::Lost));
    assert_eq!(uses, [(false, false); 3]);
}
