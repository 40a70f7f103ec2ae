//! Rollout messages survive encoding and fit the datagrams that nodes read.

use crate::beliefs::{busy_counts, order, service, ROLLOUT};
use crate::support::fleet::{empty_report, LARGEST_RENEWAL};
use ploverlift_balancing::peer_loads::PeerId;
use ploverlift_gateway::peers::messages::{decode, encode, PeerMessage};
use ploverlift_gateway::peers::rollout_messages::{
    news_message, read_news, NodeConfirmation, RolloutNews, RolloutReport, ServiceCounts,
    ServiceTag,
};
use ploverlift_rollout::counts::{Counts, RouteTag};
use ploverlift_rollout::order::{RolloutOrder, RolloutState, RolloutStatus};
use ploverlift_rollout::share::Confirmation;
use ploverlift_rollout::stage::Epoch;
use ploverlift_routing::configuration::ServiceName;
use ploverlift_routing::software::SoftwareVersion;

/// Maximum number of bytes of a datagram that a node reads.
const MAX_DATAGRAM_BYTES: usize = 2_048;

#[test]
fn rollout_reports_round_trip_and_fit_a_datagram() {
    let service = ServiceTag::of(&service());
    let counts = ServiceCounts {
        service,
        rollout: ROLLOUT,
        counts: busy_counts(),
    };
    let confirmation = NodeConfirmation {
        node: PeerId(u64::MAX),
        service,
        confirmation: Confirmation {
            rollout: ROLLOUT,
            epoch: Epoch(9),
            has_left_established: true,
            running_on_established: 3,
            has_stopped: true,
        },
        age_ms: 250,
    };
    let mut report = empty_report();
    report.rollouts = RolloutReport {
        counts: vec![counts.clone(), counts.clone()],
        confirmations: vec![confirmation; 2],
        lease: Some(LARGEST_RENEWAL),
    };
    let message = PeerMessage::Report(report);
    let datagram = encode(&message);
    assert!(datagram.len() <= MAX_DATAGRAM_BYTES, "{}", datagram.len());
    assert_eq!(decode(&datagram).expect("a message"), Some(message));
    let broadcast = RolloutNews {
        known_through: 1 << 40,
        age_ms: 300,
        orders: vec![
            order(8),
            RolloutOrder {
                status: None,
                ..order(9)
            },
        ],
        sums: vec![counts],
    };
    assert_eq!(read_news(&news_message(&broadcast)), broadcast);
    let states = [
        RolloutState::Running,
        RolloutState::Completed,
        RolloutState::RolledBack,
    ];
    for state in states {
        let status = RolloutStatus {
            state,
            target: SoftwareVersion("v2".to_owned()),
            progress: "rollout/1".to_owned(),
        };
        let order = RolloutOrder {
            status: Some(status),
            ..order(8)
        };
        let broadcast = RolloutNews {
            orders: vec![order],
            ..RolloutNews::default()
        };
        assert_eq!(read_news(&news_message(&broadcast)), broadcast);
    }
}

#[test]
fn pieces_of_a_large_zone_report_fit_datagrams_and_lose_nothing() {
    let services = ["app", "other"].map(|name| ServiceTag::of(&ServiceName::from(name)));
    let mut counts = busy_counts();
    for (route, more) in busy_counts().routes {
        counts.routes.insert(RouteTag(route.0 ^ 1), more);
    }
    let counted = services.map(|service| ServiceCounts {
        service,
        rollout: ROLLOUT,
        counts: counts.clone(),
    });
    let confirmations = (0..200).flat_map(|node| {
        services.map(|service| NodeConfirmation {
            node: PeerId(u64::MAX - node),
            service,
            confirmation: Confirmation {
                rollout: ROLLOUT,
                epoch: Epoch(9),
                has_left_established: true,
                running_on_established: 300,
                has_stopped: true,
            },
            age_ms: 4_000,
        })
    });
    let confirmations: Vec<NodeConfirmation> = confirmations.collect();
    let reported = RolloutReport {
        counts: counted.to_vec(),
        confirmations: confirmations.clone(),
        lease: Some(LARGEST_RENEWAL),
    };
    let pieces = reported.pieces();
    for piece in &pieces {
        let mut report = empty_report();
        report.rollouts = piece.clone();
        let datagram = encode(&PeerMessage::ZoneReport(report));
        assert!(datagram.len() <= MAX_DATAGRAM_BYTES, "{}", datagram.len());
    }
    let all_confirmations = pieces.iter().flat_map(|piece| piece.confirmations.clone());
    assert_eq!(all_confirmations.collect::<Vec<_>>(), confirmations);
    for counted in &counted {
        let mut sum = Counts::default();
        let reported = pieces.iter().flat_map(|piece| &piece.counts);
        reported
            .filter(|reported| reported.service == counted.service)
            .for_each(|reported| sum.merge_max(&reported.counts));
        assert_eq!(sum, counted.counts);
    }
}
