//! Streams that are taken up after their route was moved to another service.

use crate::site::VersionedSite;
use crate::support::configuration;
use crate::support::engine::{Behaviour, StandInEngine};
use ploverlift_gateway::time::sleep;

/// Time after which the other service's one version counts as the only one, in milliseconds: the
/// routes' time-out.
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
