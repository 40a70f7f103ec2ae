//! The register of stream sources: when nodes read and write it, and what waits for it.

use crate::site::VersionedSite;
use crate::support::caller::{prompt, send, Answer};
use crate::support::engine::{Behaviour, StandInEngine};
use crate::support::site::PARTS;
use crate::support::store::StoreFault;
use ploverlift_gateway::time::sleep;
use ploverlift_streamorigin::known_sources::Sources;
use serde_json::json;
use std::collections::BTreeSet;
use std::time::{Duration, Instant};

const KIND: &str = "StreamSources";
const HOST: &str = "resume.test";
/// Polling interval, in milliseconds.
const POLL_MS: u64 = 5;
/// Longest time for an answer that waits for nothing, with some scheduling.
const AT_ONCE: Duration = Duration::from_millis(250);

/// Number of calls of all nodes for the register.
fn calls(site: &VersionedSite) -> usize {
    let calls = site.store.all_calls();
    calls.iter().filter(|call| call.ends_with(KIND)).count()
}

fn writes(site: &VersionedSite) -> usize {
    site.store.calls(&format!("put {KIND}"))
}

fn sources(site: &VersionedSite, node: usize) -> Sources {
    let gateway = &site.nodes[node].gateway;
    let era = gateway.store_era.get().unwrap_or_default();
    gateway
        .beliefs()
        .stream_sources
        .sources(HOST, "/events", era)
}

async fn wait_until_several(site: &VersionedSite) {
    for node in 0..site.nodes.len() {
        while !matches!(sources(site, node), Sources::Several(_)) {
            sleep(POLL_MS).await;
        }
    }
}

async fn stream(site: &VersionedSite, node: usize, host: &str, id: &str) -> Answer {
    send(site.callers_of(node), &prompt(host, id)).await
}

/// Sends a request whose prompt has a part of its own, which no engine has cached.
async fn uncached_stream(site: &VersionedSite, node: usize, id: &str, part: usize) -> Answer {
    let mut request = prompt(HOST, id);
    request
        .head
        .headers
        .try_set(PARTS, format!("{part},1,2"))
        .expect("a value");
    send(site.callers_of(node), &request).await
}

fn has_arrived(site: &VersionedSite, id: &str) -> bool {
    let mut arrived = site.engines.iter().flat_map(StandInEngine::arrived_ids);
    arrived.any(|arrived| arrived == id)
}

// Guards against calls of the store for streams whose source is registered.
#[test]
fn registered_streams_begin_without_calls() {
    smol::block_on(async {
        let mut site = VersionedSite::start(7, &["v1", "v1"], Behaviour::Answer).await;
        for node in 0..7 {
            let answer = stream(&site, node, HOST, &format!("first-{node}")).await;
            assert_eq!(answer.status(), 200, "{}", answer.text());
        }
        assert!(writes(&site) <= 7, "each node wrote at most once");
        let before = calls(&site);
        for number in 0..70 {
            let answer = stream(&site, number % 7, HOST, &format!("next-{number}")).await;
            assert_eq!(answer.status(), 200, "{}", answer.text());
        }
        // Another engine of a version that is registered is nothing new.
        site.add_engine("v1", Behaviour::Answer).await;
        site.wait_until_engines_known().await;
        assert_eq!(calls(&site), before);
    });
}

// Guards against a stream that begins before the store has acknowledged its source, and against
// holding what can't be taken up.
#[test]
fn only_streams_that_may_be_taken_up_wait_for_the_registration() {
    smol::block_on(async {
        let site = VersionedSite::start(1, &["v1"], Behaviour::Answer).await;
        site.store.set_fault(StoreFault::HidesSources);
        site.store.remove(KIND, "main");
        let mut site = site;
        let killed = site.kill(0);
        site.start_again(killed).await;
        let began = Instant::now();
        for host in ["stream.test", "unsafe-stream.test"] {
            let answer = stream(&site, 0, host, host).await;
            assert!(answer.status() == 200 || answer.status() == 404, "{host}");
        }
        assert!(began.elapsed() < AT_ONCE, "{:?}", began.elapsed());
        let held = stream(&site, 0, HOST, "held").await;
        assert_eq!(held.status(), 503, "{}", held.text());
        assert_eq!(held.head.headers.get("retry-after-ms"), Some("1000"));
        assert!(!has_arrived(&site, "held"));
        site.store.set_fault(StoreFault::None);
        let begun = stream(&site, 0, HOST, "begun").await;
        assert_eq!(begun.status(), 200, "{}", begun.text());
    });
}

// Guards against a stream that begins at a version that the store has not acknowledged.
#[test]
fn streams_begin_at_registered_versions_while_another_one_is_not_registered() {
    smol::block_on(async {
        let mut site = VersionedSite::start(3, &["v1"], Behaviour::Answer).await;
        stream(&site, 0, HOST, "first").await;
        site.store.set_fault(StoreFault::HidesSources);
        for _ in 0..3 {
            site.add_engine("v2", Behaviour::Answer).await;
        }
        site.wait_until_engines_known().await;
        for number in 0..30 {
            let id = format!("early-{number}");
            let began = Instant::now();
            let answer = uncached_stream(&site, number % 3, &id, 100 + number).await;
            assert_eq!(answer.status(), 200, "{}", answer.text());
            assert!(began.elapsed() < AT_ONCE, "{:?}", began.elapsed());
            assert_eq!(site.versions_of(&[&id]), BTreeSet::from(["v1".to_owned()]));
        }
        site.store.set_fault(StoreFault::None);
        wait_until_several(&site).await;
        let mut used = BTreeSet::new();
        for number in 0..30 {
            let id = format!("late-{number}");
            uncached_stream(&site, number % 3, &id, 200 + number).await;
            used.extend(site.versions_of(&[&id]));
        }
        assert!(used.contains("v2"), "{used:?}");
    });
}

// Guards against placing a stream by a register that was read before it was taken up.
#[test]
fn a_register_of_an_earlier_read_places_no_stream() {
    smol::block_on(async {
        let mut site = VersionedSite::start(7, &["v1"], Behaviour::Answer).await;
        stream(&site, 0, HOST, "first").await;
        site.silence_store().await;
        site.add_engine("v2", Behaviour::Answer).await;
        site.wait_until_others_know_engines().await;
        let mut began = Vec::new();
        for number in 0..24 {
            let id = format!("began-{number}");
            site.begin_broken(1 + number % 6, &id).await;
            if site.versions_of(&[&id]).contains("v2") {
                began.push(id);
            }
        }
        site.kill_from(1);
        site.store.set_fault(StoreFault::HidesSources);
        site.heal_store();
        let is_behind = |site: &VersionedSite| {
            let gateway = &site.nodes[0].gateway;
            let age_ms = gateway.beliefs().freshness.age_ms(gateway.clock.now());
            age_ms.is_none_or(|age_ms| age_ms > 200)
        };
        while is_behind(&site) {
            sleep(POLL_MS).await;
        }
        let mut invited = 0;
        for began in &began {
            let resumed = format!("{began}-again");
            let answer = site.take_up(0, &resumed, began).await;
            let used = site.versions_of(&[began, &resumed]);
            assert_eq!(used.len(), 1, "{used:?}: {}", answer.text());
            let retry_after = answer.head.headers.get("retry-after-ms");
            invited += usize::from(retry_after == Some("1000"));
        }
        // This node keeps the origins of some of them.
        assert!(invited > 0, "of {}", began.len());
    });
}

// Guards against believing a register that lost a version when the store was restored.
#[test]
fn a_register_that_was_restored_from_a_copy_places_no_stream() {
    smol::block_on(async {
        let mut site = VersionedSite::start(3, &["v1"], Behaviour::Answer).await;
        stream(&site, 0, HOST, "first").await;
        site.store.tell_era();
        let copy = site.store.copy();
        site.add_engine("v2", Behaviour::Answer).await;
        site.wait_until_engines_known().await;
        let began = site.begin_broken_of(0, HOST, "v2").await;
        let mut killed = site.kill_from(0);
        site.store.restore(&copy);
        let second = site.engines.pop().expect("an engine");
        for node in killed.drain(..) {
            site.start_again(node).await;
        }
        site.engines.push(second);
        for node in 0..3 {
            let resumed = format!("resumed-{node}");
            let answer = site.take_up(node, &resumed, &began).await;
            assert_eq!(answer.status(), 503, "{}", answer.text());
            assert!(!has_arrived(&site, &resumed));
            let new = stream(&site, node, HOST, &format!("new-{node}")).await;
            assert_eq!(new.status(), 200, "{}", new.text());
        }
    });
}

// Guards against a register that can't be read counting as one without sources, and against
// streams that can't begin because of it.
#[test]
fn a_malformed_register_places_no_stream_and_is_written_anew() {
    smol::block_on(async {
        let mut site = VersionedSite::start(3, &["v1"], Behaviour::Answer).await;
        let killed = site.kill_from(0);
        site.store.put(KIND, "main", json!({"generation": "none"}));
        for node in killed {
            site.start_again(node).await;
        }
        let new = stream(&site, 0, HOST, "new").await;
        assert_eq!(new.status(), 200, "{}", new.text());
        let answer = site.take_up(1, "resumed", "unknown").await;
        assert_eq!(answer.status(), 503, "{}", answer.text());
        assert_eq!(sources(&site, 0), Sources::Unproven);
    });
}

// Guards against writes whose answers are lost holding streams for good.
#[test]
fn a_source_is_confirmed_after_the_answer_to_its_write_was_lost() {
    smol::block_on(async {
        let mut site = VersionedSite::start(1, &["v1"], Behaviour::Answer).await;
        stream(&site, 0, HOST, "first").await;
        site.store.set_fault(StoreFault::LosesWriteAnswers);
        site.add_engine("v2", Behaviour::Answer).await;
        wait_until_several(&site).await;
        let known = |site: &VersionedSite| {
            let gateway = &site.nodes[0].gateway;
            let era = gateway.store_era.get().unwrap_or_default();
            let is_confirmed = !gateway.beliefs().stream_sources.has_unconfirmed(era);
            is_confirmed
        };
        while !known(&site) {
            sleep(POLL_MS).await;
        }
    });
}
