//! Sizes of the reports of a relay, and the log of changes that they are taken from.

use crate::reports::{engine_change, relay_report, NOW};
use crate::support::fleet::LARGEST_RENEWAL;
use ploverlift_balancing::cache_contents::KeyShare;
use ploverlift_balancing::cache_stores::{StoreTag, StoreUpdate};
use ploverlift_balancing::engine_losses::{LostEngine, MAX_REPORTED};
use ploverlift_balancing::peer_loads::{
    EngineLoad, EngineTag, LoadedWeights, ModelTag, PeerId, ZoneTag,
};
use ploverlift_balancing::prefix_holders::Placement;
use ploverlift_balancing::weights::{ReportedVersion, WeightsNews};
use ploverlift_gateway::catalogue_log::CatalogueLog;
use ploverlift_gateway::peers::message_fields::IncludedReport;
use ploverlift_gateway::peers::messages::{
    decode, encode, encode_body, placement_capacity, PeerMessage,
};
use ploverlift_gateway::peers::relay_contents::{members_of_period, MAX_LISTED_MEMBERS};
use ploverlift_gateway::peers::relay_messages::{
    included_message, relay_report_message, MAX_RELAYED_CHANGES, MAX_RELAYED_LOADS,
    MAX_RELAYED_PLACEMENTS,
};
use ploverlift_gateway::peers::store_contents::MAX_REPORTED_PARTS;
use ploverlift_gateway::peers::weights_messages::MAX_REPORTED_VERSIONS;
use ploverlift_policy::ids::StoreEra;
use ploverlift_routing::prompt::PartKey;
use ploverlift_wire::peers::peer_message::Body;
use std::collections::BTreeSet;

#[test]
fn the_largest_report_of_a_relay_fits_one_datagram_and_survives_the_wire() {
    let lost = (0..MAX_REPORTED as u32).map(|engine| LostEngine {
        engine: EngineTag(u32::MAX - engine),
        nodes: 79,
    });
    for lost in [Vec::new(), lost.collect()] {
        assert_largest_report_fits(lost);
    }
}

fn assert_largest_report_fits(lost: Vec<LostEngine>) {
    let mut report = relay_report(u64::MAX >> 20, 1 << 30, Vec::new());
    report.loads.loads = (0..MAX_RELAYED_LOADS as u32)
        .map(|engine| {
            let load = EngineLoad {
                requests: 500,
                waiting_tokens: 1_000_000,
            };
            (EngineTag(engine), load)
        })
        .collect();
    let placements = placement_capacity(MAX_RELAYED_PLACEMENTS, &lost);
    report.placements = (0..placements as u64)
        .map(|part| Placement {
            part: PartKey(part),
            engine: EngineTag(3),
            is_kept: part % 2 == 0,
        })
        .collect();
    report.changes = (0..MAX_RELAYED_CHANGES as u64)
        .map(|number| engine_change(&format!("i-{number:08x}"), 1 << 40, number == 0))
        .collect();
    report.changes_through = report.changes_after + report.changes.len() as u64;
    report.loaded = vec![
        LoadedWeights {
            engine: EngineTag(7),
            model: ModelTag(8),
            version: 9,
        };
        6
    ];
    report.lost = lost;
    report.lease = Some(LARGEST_RENEWAL);
    report.store_era = Some(StoreEra(1_000));
    let included = IncludedReport {
        life: u64::MAX >> 20,
        sequence: 1 << 40,
    };
    // The newest weights go into another report.
    assert!(!report.has_space_for_weights());
    let mut datagram = encode_body(Body::RelayReport(relay_report_message(&report)));
    datagram.extend(encode_body(Body::RelayReport(included_message(included))));
    assert!(datagram.len() <= 1_200, "{} bytes", datagram.len());
    report.included = Some(included);
    let message = PeerMessage::RelayReport(Box::new(report));
    assert_eq!(decode(&datagram).expect("a message"), Some(message.clone()));
    assert_eq!(decode(&encode(&message)).expect("a message"), Some(message));
}

#[test]
fn the_largest_report_on_weights_fits_one_datagram_and_survives_the_wire() {
    let mut report = relay_report(u64::MAX >> 20, 1 << 30, Vec::new());
    report.placements = (0..MAX_RELAYED_PLACEMENTS as u64)
        .map(|part| Placement {
            part: PartKey(part),
            engine: EngineTag(3),
            is_kept: part % 2 == 0,
        })
        .collect();
    while report.has_space_for_weights() {
        let load = EngineLoad {
            requests: 500,
            waiting_tokens: 1_000_000,
        };
        report.loads.loads.push((EngineTag(1 << 30), load));
    }
    let versions = (0..MAX_REPORTED_VERSIONS as u64).map(|version| ReportedVersion {
        model: "model-with-a-name".to_owned(),
        version: 900 + version,
        named_age_ms: Some(9_999),
        proof_age_ms: Some(9_999),
    });
    report.weights = WeightsNews {
        versions: versions.collect(),
        proof_age_ms: Some(2_000),
        all_models_age_ms: Some(2_000),
        known_for_ms: Some(1 << 30),
    };
    let message = PeerMessage::RelayReport(Box::new(report));
    let datagram = encode(&message);
    assert!(datagram.len() <= 1_200, "{} bytes", datagram.len());
    assert_eq!(decode(&datagram).expect("a message"), Some(message));
}

#[test]
fn the_largest_report_on_a_store_fits_one_datagram_and_survives_the_wire() {
    let mut report = relay_report(u64::MAX >> 20, 1 << 30, Vec::new());
    report.loads.loading = (0..28).map(EngineTag).collect();
    report.loads.zones = (0..13).map(ZoneTag).collect();
    report.stores = vec![StoreUpdate {
        store: StoreTag(u32::MAX),
        epoch: u64::MAX,
        parts: (0..MAX_REPORTED_PARTS as u64)
            .map(|part| (PartKey(u64::MAX - part), 2_000_000))
            .collect(),
        share: Some(KeyShare {
            shares: 5_000,
            share: 4_999,
        }),
    }];
    let included = IncludedReport {
        life: u64::MAX >> 20,
        sequence: 1 << 40,
    };
    let mut datagram = encode_body(Body::RelayReport(relay_report_message(&report)));
    datagram.extend(encode_body(Body::RelayReport(included_message(included))));
    assert!(datagram.len() <= 1_400, "{} bytes", datagram.len());
    report.included = Some(included);
    let message = PeerMessage::RelayReport(Box::new(report));
    assert_eq!(decode(&datagram).expect("a message"), Some(message));
}

#[test]
fn pieces_of_the_change_log_are_contiguous() {
    let mut log = CatalogueLog::default();
    for revision in 1..=5 {
        log.append(
            engine_change("e", revision, false),
            NOW.plus(revision * 100),
        );
    }
    let part = log.latest(250, NOW.plus(500));
    assert_eq!((part.after, part.through), (2, 5));
    let pieces = part.pieces(2);
    let ends: Vec<(u64, u64)> = pieces
        .iter()
        .map(|piece| (piece.after, piece.through))
        .collect();
    assert_eq!(ends, [(2, 4), (4, 5)]);
    let quiet = log.latest(250, NOW.plus(60_000));
    assert_eq!((quiet.after, quiet.through), (5, 5));
    assert_eq!(quiet.pieces(2), [quiet]);
}

/// A zone of a fleet of 1,000 nodes has 200 nodes. Listed in one report they would exceed
/// the receive buffer, and no node would know any other.
#[test]
fn all_nodes_of_a_large_zone_are_listed_a_few_in_each_report() {
    for (nodes, periods) in [(1, 10), (59, 10), (200, 10), (400, 10), (2_000, 42)] {
        let members: Vec<PeerId> = (0..nodes).map(PeerId).collect();
        let mut listed: BTreeSet<PeerId> = BTreeSet::new();
        for period in 7..7 + periods {
            let part = members_of_period(&members, period);
            assert!(part.len() <= MAX_LISTED_MEMBERS);
            listed.extend(part);
        }
        assert_eq!(
            listed.len(),
            members.len(),
            "of {nodes} in {periods} periods"
        );
    }
}
