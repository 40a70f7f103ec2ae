//! Streams that break and go on within one answer.

use crate::site::VersionedSite;
use crate::support::caller::{prompt, send};
use crate::support::engine::{all_events, Behaviour};

/// Number of streams, so that a choice by chance would mix versions.
const STREAMS: usize = 12;

// Guards against a stream that goes on, within one answer, at an engine of another software
// version.
#[test]
fn a_broken_stream_goes_on_only_at_the_software_version_that_began_it() {
    smol::block_on(async {
        for number in 0..STREAMS {
            let versions = ["v1", "v2", "v2", "v2", "v1"];
            let site = VersionedSite::start(1, &versions, Behaviour::BreakInside(3)).await;
            let id = format!("r{number}");
            let answer = send(site.callers_of(0), &prompt("resume.test", &id)).await;
            let used = site.versions_of(&[&id]);
            assert_eq!(used.len(), 1, "{used:?}");
            assert!(
                !answer.is_whole,
                "both engines break inside the third event"
            );
        }
    });
}

#[test]
fn a_broken_stream_goes_on_at_another_engine_of_its_version() {
    smol::block_on(async {
        let versions = ["v1", "v1", "v2", "v2"];
        let site = VersionedSite::start(1, &versions, Behaviour::EndAfter(3)).await;
        let answer = send(site.callers_of(0), &prompt("resume.test", "r")).await;
        assert_eq!((answer.text(), answer.is_whole), (all_events(), true));
        assert_eq!(site.versions_of(&["r"]).len(), 1);
    });
}

#[test]
fn a_stream_whose_version_has_no_other_engine_is_broken_off() {
    smol::block_on(async {
        let site = VersionedSite::start(1, &["v1", "v2"], Behaviour::BreakInside(3)).await;
        let answer = send(site.callers_of(0), &prompt("resume.test", "r")).await;
        assert!(!answer.is_whole);
        assert_eq!(site.versions_of(&["r"]).len(), 1);
    });
}
