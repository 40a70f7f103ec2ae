//! Streams that are taken up after their route was changed.

use crate::site::{resumption, VersionedSite};
use crate::support::caller::{send, Answer};
use crate::support::engine::{Behaviour, StandInEngine};
use crate::support::{configuration, route};
use ploverlift_gateway::time::sleep;
use serde_json::Value;

/// Time-out of the routes, in milliseconds: streams of the other service would be over.
const ROUTE_TIMEOUT_MS: u64 = 3_000;

// Guards against a stream that goes on at another service because its route was moved there.
#[test]
fn a_stream_does_not_go_on_at_the_service_to_which_its_route_was_moved() {
    smol::block_on(async {
        let mut site = VersionedSite::start(3, &["v1"], Behaviour::Answer).await;
        site.add_engine_of("other", "v2").await;
        site.wait_until_engines_known().await;
        sleep(ROUTE_TIMEOUT_MS + 100).await;
        site.begin_broken(0, "began").await;
        let mut content = configuration(2);
        let routes = content["routes"].as_array_mut().expect("routes");
        for route in routes {
            if route["host"] == "resume.test" {
                route["service"] = "other".into();
            }
        }
        site.change_configuration(content).await;
        for node in 0..3 {
            let id = format!("resumed-{node}");
            let answer = site.take_up(node, &id, "began").await;
            assert_eq!(answer.status(), 503, "{}", answer.text());
            let arrived = site.engines.iter().flat_map(StandInEngine::arrived_ids);
            assert!(!arrived.into_iter().any(|arrived| arrived == id), "{id}");
        }
    });
}

/// A configuration in which the route of a host has this delivery; one that is added leads to `other`.
fn configuration_with_delivery(version: u64, host: &str, delivery: &str) -> Value {
    let mut content = configuration(version);
    let routes = content["routes"].as_array_mut().expect("routes");
    match routes.iter_mut().find(|route| route["host"] == host) {
        Some(known) => known["delivery"] = delivery.into(),
        None => routes.push(route(host, delivery, "other", 3_000)),
    }
    content
}

async fn take_up_at(site: &VersionedSite, host: &str, began: &str) -> Answer {
    let mut request = resumption("resumed", began);
    request.head.headers.try_set("host", host).expect("a value");
    send(site.callers_of(1), &request).await
}

fn assert_not_sent(site: &VersionedSite, answer: &Answer) {
    assert_eq!(answer.status(), 503, "{}", answer.text());
    let mut engines = site.engines.iter();
    assert!(!engines.any(|engine| engine.arrived_ids().iter().any(|id| id == "resumed")));
}

// Guards against a stream that goes on at any version because its route does not permit any more
// that streams are taken up.
#[test]
fn a_stream_is_not_taken_up_at_a_route_that_permits_it_no_more() {
    smol::block_on(async {
        let mut site = VersionedSite::start(3, &["v1", "v2"], Behaviour::Answer).await;
        site.begin_broken(0, "began").await;
        let content = configuration_with_delivery(2, "resume.test", "stream");
        site.change_configuration(content).await;
        let answer = take_up_at(&site, "resume.test", "began").await;
        assert_not_sent(&site, &answer);
    });
}

// Guards against a stream that goes on at another version because its route did not permit yet that
// streams are taken up when it began.
#[test]
fn a_stream_from_before_its_route_permitted_it_is_not_taken_up_at_another_version() {
    smol::block_on(async {
        // No other route leads to the service.
        const HOST: &str = "other.test";
        let mut site = VersionedSite::start(3, &["v1"], Behaviour::Answer).await;
        site.add_engine_of("other", "v1").await;
        site.wait_until_engines_known().await;
        let before = configuration_with_delivery(2, HOST, "stream");
        site.change_configuration(before).await;
        site.begin_broken_at(0, HOST, "began").await;
        site.add_engine_of("other", "v2").await;
        site.wait_until_engines_known().await;
        site.remove_engine(1).await;
        let after = configuration_with_delivery(3, HOST, "resumable");
        site.change_configuration(after).await;
        let answer = take_up_at(&site, HOST, "began").await;
        assert_not_sent(&site, &answer);
    });
}
