//! Streams that callers take up in another attempt, at another node.

use crate::site::{is_rest, VersionedSite};
use crate::support::engine::Behaviour;

/// Number of streams of one test.
const STREAMS: usize = 20;

// Guards against a stream that goes on, in a caller's next attempt, at an engine of another
// software version.
#[test]
fn a_stream_that_is_taken_up_at_another_node_goes_on_at_the_version_that_began_it() {
    smol::block_on(async {
        let versions = ["v1", "v1", "v2", "v2"];
        let site = VersionedSite::start(3, &versions, Behaviour::Answer).await;
        for number in 0..STREAMS {
            let (began, resumed) = (format!("a{number}"), format!("b{number}"));
            site.begin_broken(number % 3, &began).await;
            let answer = site.take_up((number + 1) % 3, &resumed, &began).await;
            assert!(is_rest(&answer), "{}: {}", answer.status(), answer.text());
            let used = site.versions_of(&[&began, &resumed]);
            assert_eq!(used.len(), 1, "{used:?}");
        }
    });
}
