//! Streams whose software version is not known, or does not serve any more.

use crate::site::{resumption, resumption_after, VersionedSite};
use crate::support::caller::{prompt, send, Answer};
use crate::support::engine::{Behaviour, StandInEngine};
use crate::support::site::{AFTER, KEY, RESUMES};
use crate::support::{configuration, route};
use ploverlift_gateway::time::sleep;
use serde_json::json;
use std::time::{Duration, Instant};

/// Time within which a stream that can't be placed is rejected, and some scheduling.
const REJECTED_WITHIN: Duration = Duration::from_millis(50 + 30);
/// Time-out of routes of type `brief`, in milliseconds: no stream lives longer.
const BRIEF_MS: u64 = 300;
/// Polling interval, in milliseconds.
const POLL_MS: u64 = 5;

fn assert_rejected(site: &VersionedSite, answer: &Answer, id: &str) {
    assert_eq!(answer.status(), 503, "{id}: {}", answer.text());
    let headers = &answer.head.headers;
    assert!(headers.get("retry-after-ms").is_some(), "{id}");
    let arrived = site.engines.iter().flat_map(StandInEngine::arrived_ids);
    assert!(!arrived.into_iter().any(|arrived| arrived == id), "{id}");
}

fn retry_after_ms(answer: &Answer) -> u64 {
    let text = answer.head.headers.get("retry-after-ms").expect("a time");
    text.parse().expect("a number")
}

// Guards against a stream that nobody knows going on at any version.
#[test]
fn an_unknown_stream_is_rejected_at_once_while_two_versions_serve() {
    smol::block_on(async {
        let site = VersionedSite::start(3, &["v1", "v2"], Behaviour::Answer).await;
        let began = Instant::now();
        let answer = site.take_up(0, "resumed", "unknown").await;
        assert!(began.elapsed() < REJECTED_WITHIN, "{:?}", began.elapsed());
        assert_rejected(&site, &answer, "resumed");
    });
}

#[test]
fn a_position_without_the_request_that_began_the_stream_is_rejected_while_two_versions_serve() {
    smol::block_on(async {
        let site = VersionedSite::start(3, &["v1", "v2"], Behaviour::Answer).await;
        let mut request = prompt("resume.test", "resumed");
        request.head.headers.push(AFTER, "2");
        let answer = send(site.callers_of(0), &request).await;
        assert_rejected(&site, &answer, "resumed");
    });
}

// A request without a position has none of the stream's events.
#[test]
fn a_request_that_names_another_but_no_position_is_a_new_stream() {
    smol::block_on(async {
        let site = VersionedSite::start(3, &["v1", "v2"], Behaviour::Answer).await;
        let mut request = prompt("resume.test", "new");
        request.head.headers.push(RESUMES, "unknown");
        let answer = send(site.callers_of(0), &request).await;
        assert_eq!((answer.status(), answer.is_whole), (200, true));
        // It is known by its own id, and nothing is known of the one that it named.
        let resumed = site.take_up(1, "resumed", "new").await;
        assert_eq!(resumed.status(), 200, "{}", resumed.text());
        let rejected = site.take_up(0, "rejected", "unknown").await;
        assert_rejected(&site, &rejected, "rejected");
    });
}

// Guards against a tenant learning or using the version of another tenant's stream.
#[test]
fn a_stream_of_another_tenant_is_unknown() {
    smol::block_on(async {
        let mut site = VersionedSite::start(3, &["v1", "v2"], Behaviour::Answer).await;
        let mut content = configuration(2);
        content["keys"] = json!({"key-a": "tenant-a", "key-b": "tenant-b"});
        site.change_configuration(content).await;
        site.begin_broken(0, "began").await;
        let mut request = resumption("resumed", "began");
        request.head.headers.set(KEY, "key-b");
        let answer = send(site.callers_of(0), &request).await;
        assert_rejected(&site, &answer, "resumed");
    });
}

// Guards against inviting another try of a stream that can never go on.
#[test]
fn a_stream_whose_version_has_left_is_rejected_for_all_of_its_time() {
    smol::block_on(async {
        let mut site = VersionedSite::start(3, &["v1"], Behaviour::Answer).await;
        site.begin_broken(0, "began").await;
        site.add_engine("v2", Behaviour::Answer).await;
        site.wait_until_engines_known().await;
        site.remove_engine(0).await;
        let answer = site.take_up(1, "resumed", "began").await;
        assert_rejected(&site, &answer, "resumed");
        // The time-out of the route, which is all that is left, is 3 s.
        assert!(retry_after_ms(&answer) > 2_000, "{answer:?}");
    });
}

// Guards against streams that began before a second version appeared being forgotten with their
// node.
#[test]
fn a_stream_that_began_while_one_version_served_goes_on_at_it_once_there_are_two() {
    smol::block_on(async {
        let mut site = VersionedSite::start(3, &["v1", "v1"], Behaviour::Answer).await;
        site.add_brief_route().await;
        let before = announced(&site, 0);
        site.begin_broken_at(0, "brief-stream.test", "began").await;
        assert_eq!(announced(&site, 0), before, "one version is proven");
        for _ in 0..3 {
            site.add_engine("v2", Behaviour::Answer).await;
        }
        site.wait_until_engines_known().await;
        while announced(&site, 0) == before {
            sleep(POLL_MS).await;
        }
        site.kill(0);
        for number in 0..6 {
            let id = format!("resumed-{number}");
            let answer = site.take_up(number % 2, &id, "began").await;
            assert_eq!(answer.status(), 200, "{}", answer.text());
            let used = site.versions_of(&["began", &id]);
            assert_eq!(used.len(), 1, "{used:?}");
        }
    });
}

#[test]
fn any_stream_goes_on_while_one_version_has_served_for_the_longest_life_of_a_stream() {
    smol::block_on(async {
        let mut site = VersionedSite::start(3, &["v1"], Behaviour::Answer).await;
        site.add_brief_route().await;
        let mut request = resumption_after(2, "resumed", "unknown");
        request.head.headers.set("host", "brief-stream.test");
        let answer = send(site.callers_of(0), &request).await;
        assert_eq!(answer.status(), 200, "{}", answer.text());
        for node in 0..site.nodes.len() {
            let before = announced(&site, node);
            let mut new = prompt("brief-stream.test", "new");
            new.head.headers.set("host", "brief-stream.test");
            assert_eq!(send(site.callers_of(node), &new).await.status(), 200);
            assert_eq!(announced(&site, node), before, "nothing with one version");
        }
    });
}

impl VersionedSite {
    /// Adds a route whose streams live briefly, and waits until one version is proven to have
    /// been the only one for so long.
    async fn add_brief_route(&mut self) {
        let mut content = configuration(2);
        let routes = content["routes"].as_array_mut().expect("routes");
        routes.push(route("brief-stream.test", "resumable", "llm", BRIEF_MS));
        self.change_configuration(content).await;
        sleep(BRIEF_MS + 100).await;
    }
}

/// Number of messages with which a node has announced streams.
fn announced(site: &VersionedSite, node: usize) -> u64 {
    let page = site.nodes[node].gateway.metrics.page();
    counter(&page, "announced_streams_total")
}

/// Value of a counter on a page of metrics.
fn counter(page: &str, name: &str) -> u64 {
    let line = page
        .lines()
        .find(|line| line.contains(name) && !line.starts_with('#'));
    let value = line.and_then(|line| line.rsplit(' ').next());
    value.and_then(|value| value.parse().ok()).unwrap_or(0)
}
