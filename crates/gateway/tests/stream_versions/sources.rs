//! Streams that are taken up where knowledge of another service or version may be lacking.

use crate::site::{is_rest, VersionedSite};
use crate::support::caller::Answer;
use crate::support::engine::Behaviour;
use crate::support::{configuration, route};
use ploverlift_gateway::time::sleep;
use serde_json::{json, Value};

const NODES: usize = 7;
/// Host of a route whose streams live briefly.
const BRIEF: &str = "brief-stream.test";
/// Time-out of that route, in milliseconds.
const BRIEF_MS: u64 = 300;
/// Time after which all streams of that route would be over by its time-out, in milliseconds.
const BRIEF_IS_OVER_MS: u64 = BRIEF_MS + 200;

/// A configuration with another route.
fn configuration_with(version: u64, added: Value) -> Value {
    let mut content = configuration(version);
    let routes = content["routes"].as_array_mut().expect("routes");
    routes.push(added);
    content
}

fn brief_configuration(version: u64, timeout_ms: u64) -> Value {
    configuration_with(version, route(BRIEF, "resumable", "llm", timeout_ms))
}

async fn brief_site(versions: &[&str]) -> VersionedSite {
    let content = brief_configuration(1, BRIEF_MS);
    let site = VersionedSite::start_with(NODES, versions, Behaviour::Answer, content).await;
    sleep(BRIEF_IS_OVER_MS).await;
    site
}

/// A stream that was taken up went on where it began, or did not run at all.
fn assert_not_mixed(site: &VersionedSite, answer: &Answer, began: &str, resumed: &str) {
    let used = site.sources_of(&[began, resumed]);
    let text = answer.text();
    assert_eq!(
        used.len(),
        1,
        "{began}: {used:?}: {}: {text}",
        answer.status()
    );
    match answer.status() {
        200 => assert!(is_rest(answer), "{began}: {text}"),
        503 => assert!(answer.head.headers.get("retry-after-ms").is_some()),
        other => panic!("{began}: {other}: {text}"),
    }
}

// Guards against a node whose list of engines is old, and whom no other node answers, taking
// its one version for the only one.
#[test]
fn a_stream_is_not_placed_by_the_engines_of_a_node_whose_store_is_silent() {
    smol::block_on(async {
        let mut site = brief_site(&["v1"]).await;
        site.silence_store().await;
        site.add_engine("v2", Behaviour::Answer).await;
        site.wait_until_others_know_engines().await;
        let began = site.begin_broken_of(1, BRIEF, "v2").await;
        site.kill_from(1);
        let answer = site.take_up_at(0, BRIEF, "resumed", &began).await;
        assert_not_mixed(&site, &answer, &began, "resumed");
    });
}

// Guards against a version that came and went while a node did not hear of it.
#[test]
fn a_stream_is_not_placed_by_a_history_with_a_gap() {
    smol::block_on(async {
        let mut site = brief_site(&["v1"]).await;
        site.silence_store().await;
        site.add_engine("v2", Behaviour::Answer).await;
        site.wait_until_others_know_engines().await;
        let began = site.begin_broken_of(1, BRIEF, "v2").await;
        site.store.remove("Engines", &site.engines[1].instance);
        site.store.forget_history();
        site.kill_from(1);
        site.heal_store();
        let healed = site.nodes[0].gateway.clock.now();
        let is_behind = |site: &VersionedSite| {
            let gateway = &site.nodes[0].gateway;
            let beliefs = gateway.beliefs();
            let last = beliefs.engines_proof.last_update();
            let has_listed = last.is_some_and(|last| last.at > healed);
            let age_ms = beliefs.freshness.age_ms(gateway.clock.now());
            !has_listed || age_ms.is_none_or(|age_ms| age_ms > 200)
        };
        while is_behind(&site) {
            sleep(5).await;
        }
        let answer = site.take_up_at(0, BRIEF, "resumed", &began).await;
        assert_not_mixed(&site, &answer, &began, "resumed");
    });
}

/// Begins a stream, kills all nodes, replaces the version, and starts all nodes again.
async fn begin_and_replace(site: &mut VersionedSite) -> String {
    let began = site.begin_broken_of(0, BRIEF, "v1").await;
    let killed = site.kill_from(0);
    site.store.remove("Engines", &site.engines[0].instance);
    site.add_engine("v2", Behaviour::Answer).await;
    // The first engine has left, but has seen the stream.
    let first = site.engines.remove(0);
    site.start_all_again(killed).await;
    site.engines.insert(0, first);
    began
}

// Guards against taking the time-out of a route, as it is now, for the longest life of a stream.
#[test]
fn a_stream_outlives_the_shortened_time_out_of_its_route() {
    smol::block_on(async {
        let content = brief_configuration(1, 3_000);
        let mut site = VersionedSite::start_with(NODES, &["v1"], Behaviour::Answer, content).await;
        let began = begin_and_replace(&mut site).await;
        site.change_configuration(brief_configuration(2, BRIEF_MS))
            .await;
        sleep(BRIEF_IS_OVER_MS).await;
        let answer = site.take_up_at(1, BRIEF, "resumed", &began).await;
        assert_not_mixed(&site, &answer, &began, "resumed");
    });
}

// Guards against taking the time-out of a route for the longest life of a stream whose caller
// waits for longer.
#[test]
fn a_stream_outlives_the_time_out_of_its_route_with_a_longer_deadline() {
    smol::block_on(async {
        let mut site = brief_site(&["v1"]).await;
        let began = begin_and_replace(&mut site).await;
        sleep(BRIEF_IS_OVER_MS).await;
        let answer = site.take_up_at(1, BRIEF, "resumed", &began).await;
        assert_not_mixed(&site, &answer, &began, "resumed");
    });
}

// Guards against a stream going on at the service to which its route was moved.
#[test]
fn a_stream_of_a_moved_route_does_not_go_on_at_the_other_service() {
    smol::block_on(async {
        let mut site = brief_site(&["v1"]).await;
        site.add_engine_of("other", "v1").await;
        site.wait_until_engines_known().await;
        sleep(BRIEF_IS_OVER_MS).await;
        let began = site.begin_broken_of(0, BRIEF, "v1").await;
        let moved = route(BRIEF, "resumable", "other", BRIEF_MS);
        site.change_configuration(configuration_with(2, moved))
            .await;
        for node in 0..3 {
            let resumed = format!("resumed-{node}");
            let answer = site.take_up_at(node, BRIEF, &resumed, &began).await;
            assert_not_mixed(&site, &answer, &began, &resumed);
            assert_eq!(answer.status(), 503, "the route leads elsewhere");
        }
    });
}

// Guards against the splitter choosing the service of a stream that goes on.
#[test]
fn streams_of_a_split_route_go_on_at_the_service_that_began_them() {
    const STREAMS: usize = 40;
    smol::block_on(async {
        let mut split = route(BRIEF, "resumable", "llm", BRIEF_MS);
        split["targets"] = json!({"llm": 9, "other": 1});
        let content = configuration_with(1, split);
        let mut site = VersionedSite::start_with(NODES, &["v1"], Behaviour::Answer, content).await;
        site.add_engine_of("other", "v1").await;
        site.wait_until_engines_known().await;
        sleep(BRIEF_IS_OVER_MS).await;
        let mut continued = 0;
        for number in 0..STREAMS {
            let began = format!("began-{number}");
            let resumed = format!("resumed-{number}");
            site.begin_broken_at(number % NODES, BRIEF, &began).await;
            let node = (number + 1) % NODES;
            let answer = site.take_up_at(node, BRIEF, &resumed, &began).await;
            assert_not_mixed(&site, &answer, &began, &resumed);
            continued += usize::from(answer.status() == 200);
        }
        assert!(continued * 10 >= STREAMS * 9, "{continued} of {STREAMS}");
    });
}

// Guards against a request that is read before a suspension is noticed.
#[test]
fn a_stream_is_not_placed_by_what_was_known_before_a_suspension() {
    smol::block_on(async {
        let mut site = brief_site(&["v1"]).await;
        site.silence_store().await;
        site.add_engine("v2", Behaviour::Answer).await;
        site.wait_until_others_know_engines().await;
        let began = site.begin_broken_of(1, BRIEF, "v2").await;
        site.kill_from(1);
        site.heal_store();
        site.suspension.sleep(900);
        let answer = site.take_up_at(0, BRIEF, "resumed", &began).await;
        assert_not_mixed(&site, &answer, &began, "resumed");
    });
}

// Guards against rejecting all streams after a fleet was killed though one version has served.
#[test]
fn streams_of_one_version_go_on_after_all_nodes_were_killed() {
    smol::block_on(async {
        let mut site = VersionedSite::start(NODES, &["v1", "v1"], Behaviour::Answer).await;
        let mut began = Vec::new();
        for number in 0..20 {
            let id = format!("began-{number}");
            site.begin_broken(number % NODES, &id).await;
            began.push(id);
        }
        let killed = site.kill_from(0);
        site.start_all_again(killed).await;
        for (number, began) in began.iter().enumerate() {
            let resumed = format!("resumed-{number}");
            let answer = site.take_up(number % NODES, &resumed, began).await;
            assert_not_mixed(&site, &answer, began, &resumed);
            assert_eq!(answer.status(), 200, "{began}: {}", answer.text());
        }
    });
}
