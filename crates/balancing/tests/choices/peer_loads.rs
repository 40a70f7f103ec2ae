//! Load reports of other nodes, merged although reports are lost, late or repeated.

use crate::fleet::{instance, tag, NOW};
use crate::reports::{catalogue, load, report};
use ploverlift_balancing::peer_loads::{
    EngineLoad, PeerId, PeerLoads, ReportBuilder, ZoneTag, FULL_REPORT_PERIOD_MS,
};
use proptest::prelude::*;

proptest! {
    #![proptest_config(ProptestConfig { cases: 128, ..ProptestConfig::default() })]

    /// Whichever reports are lost, repeated or overtaken, after a full report of each
    /// node the totals are the sum of the nodes' loads.
    #[test]
    fn totals_are_the_sum_of_the_last_full_reports(
        steps in prop::collection::vec((0usize..3, 0usize..4, 0u32..5, any::<bool>()), 1..60),
        order in any::<u64>(),
    ) {
        let mut catalogues = vec![catalogue(&[1; 4]); 3];
        let mut builders: Vec<ReportBuilder> =
            (0..3).map(|node| ReportBuilder::new(PeerId(node), ZoneTag(0), 1)).collect();
        let mut merged = PeerLoads::default();
        let mut late = Vec::new();
        let mut now = NOW;
        for (index, (node, engine, tokens, arrives)) in steps.iter().enumerate() {
            now = now.plus(40);
            let catalogue = &mut catalogues[*node];
            if order.rotate_left(index as u32) & 1 == 0 {
                catalogue.begin(&instance(*engine), u64::from(*tokens), now);
            } else {
                catalogue.end(&instance(*engine), u64::from(*tokens));
            }
            if let Some(report) = builders[*node].next(index as u64 + 1, catalogue, &[], false, now) {
                if *arrives {
                    merged.apply(&report, now);
                } else {
                    late.push(report);
                }
            }
        }
        now = now.plus(FULL_REPORT_PERIOD_MS);
        for node in 0..3 {
            let full = builders[node].next(1_000, &catalogues[node], &[], false, now);
            merged.apply(&full.expect("a full report"), now);
        }
        for report in late {
            prop_assert!(!merged.apply(&report, now));
        }
        for engine in 0..4 {
            let expected = catalogues.iter().filter_map(|catalogue| catalogue.get(&instance(engine)));
            let requests: u32 = expected.map(|engine| engine.in_flight).sum();
            prop_assert_eq!(merged.at(tag(engine)).requests, requests);
        }
    }
}

#[test]
fn loads_of_a_node_that_stops_reporting_expire() {
    let mut loads = PeerLoads::default();
    loads.apply(&report(1, 1, &[(tag(0), load(3, 900))]), NOW);
    loads.apply(&report(2, 1, &[(tag(0), load(1, 50))]), NOW.plus(1_500));
    loads.expire(NOW.plus(1_900));
    assert_eq!(loads.at(tag(0)), load(1, 50));
    assert_eq!(loads.peer_count(), 1);
}

#[test]
fn a_restarted_node_begins_without_load() {
    let mut loads = PeerLoads::default();
    loads.apply(&report(1, 900, &[(tag(0), load(3, 900))]), NOW);
    let mut restarted = report(1, 1, &[(tag(1), load(1, 10))]);
    restarted.life = 2;
    assert!(loads.apply(&restarted, NOW));
    assert_eq!(loads.at(tag(0)), EngineLoad::default());
    assert_eq!(loads.at(tag(1)), load(1, 10));
}

#[test]
fn engines_loading_for_another_node_are_known_until_its_next_report() {
    let mut loads = PeerLoads::default();
    let mut loading = report(1, 1, &[]);
    loading.loading = vec![tag(2)];
    loads.apply(&loading, NOW);
    assert!(loads.is_loading(tag(2)));
    loads.apply(&report(1, 2, &[]), NOW);
    assert!(!loads.is_loading(tag(2)));
}

#[test]
fn nodes_that_receive_each_others_reports_agree_on_their_ranks() {
    let nodes = [7, 3, 9];
    let ranks = nodes.map(|own| {
        let mut loads = PeerLoads::default();
        for other in nodes.iter().filter(|other| **other != own) {
            loads.apply(&report(*other, 1, &[]), NOW);
        }
        loads.rank(PeerId(own))
    });
    assert_eq!(ranks, [1, 0, 2]);
}
