//! Encoding of limits and tokens.

use ploverlift_balancing::engine_notices::exchange::{
    ReportedLeaving, MAX_REPORTED as MAX_LEAVING,
};
use ploverlift_balancing::engine_notices::EngineLife;
use ploverlift_balancing::names::{EngineTag, PeerId};
use ploverlift_enginelimit::group::{GroupTag, Holder, NodeAddress};
use ploverlift_enginelimit::node_messages::{
    Denial, GroupUpdate, TokenAnswer, TokenRequest, UpdatedLimit, Wanted, MAX_LIMITS_PER_UPDATE,
};
use ploverlift_gateway::peers::engine_limit_messages::{NumberedAnswer, ReportedObservation};
use ploverlift_gateway::peers::engine_signal_messages::EngineSignalReport;
use ploverlift_gateway::peers::messages::{decode, encode, PeerMessage};

fn assert_round_trip(message: PeerMessage) {
    let datagram = encode(&message);
    assert!(datagram.len() <= 1_200, "{} bytes", datagram.len());
    assert_eq!(decode(&datagram).expect("a message"), Some(message));
}

#[test]
fn reports_of_limits_fit_one_datagram_and_survive_the_wire() {
    let limits = (0..MAX_LIMITS_PER_UPDATE as u32).map(|number| UpdatedLimit {
        engine: EngineTag(u32::MAX - number),
        limit: [Some(1.7), Some(0.0), None][number as usize % 3],
        sequence: 1 << 40,
        age_ms: 1 << 30,
    });
    let at = NodeAddress {
        node: PeerId(u64::MAX),
        address: "255.255.255.255:65535".parse().expect("an address"),
    };
    assert_round_trip(PeerMessage::EngineSignals(EngineSignalReport {
        sender: PeerId(u64::MAX),
        groups: vec![GroupUpdate {
            group: GroupTag(u32::MAX),
            holder: Holder { at, term: 1 << 40 },
            limits: limits.collect(),
        }],
        leaving: Vec::new(),
        wants_all: true,
    }));
}

#[test]
fn reports_of_engines_that_leave_fit_one_datagram_and_survive_the_wire() {
    let leaving = (0..MAX_LEAVING as u32).map(|number| ReportedLeaving {
        life: EngineLife {
            engine: EngineTag(u32::MAX - number),
            born_ms: 1 << 42,
        },
        age_ms: 120_000,
    });
    assert_round_trip(PeerMessage::EngineSignals(EngineSignalReport {
        sender: PeerId(u64::MAX),
        groups: Vec::new(),
        leaving: leaving.collect(),
        wants_all: false,
    }));
}

#[test]
fn tokens_survive_the_wire() {
    for limit in [Some(0.0), Some(1.7), None] {
        assert_round_trip(PeerMessage::EngineLimitObserved(ReportedObservation {
            engine: EngineTag(1),
            group: GroupTag(2),
            limit,
            sent_age_ms: 30,
            head_age_ms: 0,
        }));
    }
    let excluded = (0..8).map(EngineTag).collect();
    for wanted in [Wanted::Engine(EngineTag(0)), Wanted::AnyBut(excluded)] {
        assert_round_trip(PeerMessage::TokenRequest(TokenRequest {
            sender: PeerId(3),
            number: 0,
            group: GroupTag(2),
            wanted,
            is_urgent: true,
        }));
    }
    let denial = Denial {
        wait_ms: 0,
        spread_ms: 30_000,
        turn_ms: 12,
    };
    let granted = TokenAnswer::Granted {
        engine: EngineTag(7),
        left: 0.5,
    };
    let answers = [
        granted,
        TokenAnswer::Denied(denial),
        TokenAnswer::Unlimited,
        TokenAnswer::NotHolder,
    ];
    for answer in answers {
        assert_round_trip(PeerMessage::TokenAnswer(NumberedAnswer {
            number: 1 << 40,
            answer,
        }));
    }
    assert_round_trip(PeerMessage::TokenReturn(EngineTag(9)));
}
