//! The bounded table of streams, the choice of keepers and the placement of streams.

use ploverlift_balancing::names::PeerId;
use ploverlift_policy::ids::Millis;
use ploverlift_routing::configuration::ServiceName;
use ploverlift_routing::rate_limit::TenantTag;
use ploverlift_routing::software::SoftwareVersion;
use ploverlift_streamorigin::keepers::{first_nodes, is_among_first, KEEPERS};
use ploverlift_streamorigin::known_sources::Sources;
use ploverlift_streamorigin::origins::{StreamOrigin, StreamOrigins};
use ploverlift_streamorigin::placement::{place, OriginAnswer, Placement};
use ploverlift_streamorigin::source::{ServiceHash, StreamSource};
use ploverlift_streamorigin::stream_key::StreamKey;
use proptest::prelude::*;
use std::collections::HashMap;

fn version(name: &str) -> SoftwareVersion {
    SoftwareVersion(name.to_owned())
}

fn source(software: &str) -> StreamSource {
    StreamSource::new(&ServiceName::from("llm"), version(software))
}

/// A source as a node of an earlier release tells it.
fn unnamed(software: &str) -> StreamSource {
    StreamSource {
        service: ServiceHash::UNNAMED,
        software: version(software),
    }
}

fn origin(stream: u64, tenant: u64, expires_at: u64) -> StreamOrigin {
    StreamOrigin {
        stream: StreamKey(stream),
        tenant: TenantTag(tenant),
        source: source("v1"),
        expires_at: Millis(expires_at),
    }
}

fn answer(software: Option<&str>) -> OriginAnswer {
    OriginAnswer {
        source: software.map(source),
    }
}

#[test]
fn a_stream_is_forgotten_with_its_deadline() {
    let mut origins = StreamOrigins::default();
    assert!(origins.keep(origin(1, 1, 500), Millis(0)));
    let known = |origins: &StreamOrigins, now| origins.source(StreamKey(1), Millis(now)).cloned();
    assert_eq!(known(&origins, 499), Some(source("v1")));
    assert_eq!(known(&origins, 500), None);
    origins.keep(origin(2, 1, 900), Millis(600));
    assert_eq!(origins.len(), 1);
}

#[test]
fn the_source_of_a_stream_never_changes() {
    let mut origins = StreamOrigins::default();
    origins.keep(origin(1, 1, 500), Millis(0));
    let later = StreamOrigin {
        source: source("v2"),
        ..origin(1, 1, 900)
    };
    assert!(origins.keep(later, Millis(10)));
    assert_eq!(
        origins.source(StreamKey(1), Millis(800)),
        Some(&source("v1"))
    );
}

// Guards against a service that is not known counting as the service to which the route leads.
#[test]
fn a_source_without_its_service_places_no_stream_and_gives_way_to_a_whole_one() {
    let without_service = OriginAnswer {
        source: Some(unnamed("v1")),
    };
    let answers = [without_service, answer(Some("v1"))];
    let several = Sources::Several(2);
    let placed = |answers: &[OriginAnswer]| place(Some(&several), answers, answers.len());
    assert_eq!(
        placed(&answers[..1]),
        Placement::Unknown {
            may_become_known: false
        }
    );
    assert_eq!(placed(&answers), Placement::Began(source("v1")));

    let mut origins = StreamOrigins::default();
    let earlier = StreamOrigin {
        source: unnamed("v1"),
        ..origin(1, 1, 500)
    };
    origins.keep(earlier.clone(), Millis(0));
    assert_eq!(
        origins.source(StreamKey(1), Millis(1)),
        Some(&unnamed("v1"))
    );
    origins.keep(origin(1, 1, 500), Millis(2));
    origins.keep(earlier, Millis(3));
    assert_eq!(origins.source(StreamKey(1), Millis(4)), Some(&source("v1")));
}

// Guards against one tenant's ids filling the table of all.
#[test]
fn a_tenant_takes_a_part_of_the_table_at_most() {
    let mut origins = StreamOrigins::default();
    let kept = (0..100_000).filter(|id| origins.keep(origin(*id, 1, 500), Millis(0)));
    let kept = kept.count();
    assert!(kept < 100_000);
    assert!(origins.keep(origin(1 << 40, 2, 500), Millis(0)));
    // Room is free again once streams have expired.
    assert!(origins.keep(origin(1 << 41, 1, 900), Millis(600)));
    assert_eq!(origins.len(), 1);
}

#[test]
fn unannounced_streams_are_taken_once_and_by_service() {
    let mut origins = StreamOrigins::default();
    let (one, other) = (ServiceName::from("one"), ServiceName::from("other"));
    for (stream, service) in [(1, &one), (2, &other), (3, &one)] {
        let of_service = StreamOrigin {
            source: StreamSource::new(service, version("v1")),
            ..origin(stream, 1, 500)
        };
        origins.keep(of_service, Millis(0));
        origins.note_unannounced(StreamKey(stream));
    }
    let mut take = |service, now| origins.take_unannounced(ServiceHash::of(service), Millis(now));
    assert_eq!(take(&one, 1).len(), 2);
    assert!(take(&one, 1).is_empty());
    assert!(take(&other, 500).is_empty());
}

#[test]
fn a_stream_is_placed_only_by_knowledge() {
    let unknown = |may_become_known| Placement::Unknown { may_become_known };
    let began = Placement::Began(source("v2"));
    let only = Sources::Only(source("v1"));
    let placed_only = Placement::Only(source("v1"));
    let none = || answer(None);
    let cases = [
        (None, vec![answer(Some("v2")), none()], 2, began.clone()),
        (
            Some(only.clone()),
            vec![answer(Some("v2"))],
            3,
            began.clone(),
        ),
        (
            Some(Sources::Several(2)),
            vec![answer(Some("v2"))],
            1,
            began,
        ),
        (Some(only.clone()), vec![none()], 1, placed_only.clone()),
        // The register tells of all streams, whoever answers.
        (Some(only.clone()), vec![], 6, placed_only.clone()),
        (Some(only), vec![], 0, placed_only),
        (Some(Sources::Several(2)), vec![none()], 2, unknown(true)),
        (Some(Sources::Several(2)), vec![none()], 1, unknown(false)),
        (Some(Sources::Unproven), vec![none()], 1, unknown(false)),
        (Some(Sources::None), vec![], 0, unknown(false)),
        // The store did not answer: no number of nodes that know nothing proves anything.
        (None, vec![none(), none()], 2, unknown(true)),
        (None, vec![], 0, unknown(true)),
    ];
    for (sources, answers, asked, expected) in cases {
        let placed = place(sources.as_ref(), &answers, asked);
        assert_eq!(placed, expected, "{sources:?} {answers:?}");
    }
}

#[test]
fn a_request_id_names_another_stream_for_another_tenant() {
    let key = StreamKey::new(TenantTag(1), "r1");
    assert_eq!(key, StreamKey::new(TenantTag(1), "r1"));
    for other in [
        StreamKey::new(TenantTag(2), "r1"),
        StreamKey::new(TenantTag(1), "r2"),
    ] {
        assert_ne!(key, other);
    }
}

proptest! {
    #[test]
    fn the_loss_of_a_node_moves_only_its_own_streams(
        nodes in prop::collection::btree_set(any::<u64>(), 4..40),
        stream in any::<u64>(),
        lost in any::<prop::sample::Index>(),
    ) {
        let nodes: Vec<PeerId> = nodes.into_iter().map(PeerId).collect();
        let lost = nodes[lost.index(nodes.len())];
        let before = first_nodes(StreamKey(stream), nodes.iter().copied(), KEEPERS);
        let left = nodes.iter().copied().filter(|node| *node != lost);
        let after = first_nodes(StreamKey(stream), left, KEEPERS);
        let kept = before.iter().filter(|node| **node != lost);
        prop_assert!(kept.clone().all(|node| after.contains(node)));
        prop_assert_eq!(kept.count() == KEEPERS, !before.contains(&lost));
        let is_first = is_among_first(StreamKey(stream), lost, nodes.iter().copied(), KEEPERS);
        prop_assert_eq!(is_first, before.contains(&lost));
    }
}

/// Streams are spread evenly: no node keeps over twice the mean.
#[test]
fn keepers_are_spread_over_small_and_large_fleets() {
    const STREAMS: u64 = 20_000;
    for nodes in [7_u64, 69, 985] {
        let mut kept: HashMap<PeerId, u64> = HashMap::new();
        for stream in 0..STREAMS {
            let peers = (0..nodes).map(|node| PeerId::of(&format!("node-{node}")));
            for keeper in first_nodes(StreamKey(stream * 7_919), peers, KEEPERS) {
                *kept.entry(keeper).or_default() += 1;
            }
        }
        let mean = STREAMS * KEEPERS as u64 / nodes;
        let most = kept.values().max().copied().unwrap_or(0);
        assert!(most <= 2 * mean, "{nodes} nodes: {most} of {mean}");
    }
}
