//! Which weights a request may begin on, by the ages of a node's own proofs and of those
//! that other nodes report.

use ploverlift_balancing::weights::{
    ListedVersions, NamedWeights, ReportedVersion, WeightsBounds, WeightsNews,
};
use ploverlift_policy::ids::Millis;
use proptest::prelude::*;

const BOUNDS: WeightsBounds = WeightsBounds {
    avoid_after_ms: 6_000,
    avoid_after_start_ms: 2_500,
};

fn listed<'a>(versions: &[(&'a str, u64)]) -> ListedVersions<'a> {
    ListedVersions {
        versions: versions.to_vec(),
        is_complete: true,
    }
}

fn prove(weights: &mut NamedWeights, version: u64, sent: u64) {
    weights.note_listed(&listed(&[("m", version)]), Millis(sent), Millis(sent + 4));
}

fn required(weights: &NamedWeights, now: u64) -> Option<u64> {
    weights.required("m", &BOUNDS, Millis(now))
}

#[test]
fn old_weights_are_not_used_after_the_bound() {
    let mut weights = NamedWeights::default();
    prove(&mut weights, 1, 1_000);
    assert!(weights.note_version("m", 2, Millis(1_100)));
    assert!(!weights.note_version("m", 2, Millis(2_000)));
    assert!(!weights.note_version("m", 1, Millis(2_000)));
    prove(&mut weights, 2, 3_900);
    assert!(weights.note_version("m", 3, Millis(4_000)));
    assert_eq!(required(&weights, 6_999), Some(1));
    assert_eq!(required(&weights, 7_000), Some(2));
    assert_eq!(required(&weights, 9_899), Some(2));
    prove(&mut weights, 3, 9_000);
    assert_eq!(required(&weights, 9_900), Some(3));
    assert_eq!(weights.newest("m"), Some((3, Millis(4_000))));
}

#[test]
fn no_version_may_be_used_when_a_newer_one_may_be_unknown() {
    let mut weights = NamedWeights::default();
    prove(&mut weights, 1, 1_000);
    // Without a later proof a newer version may have been published right after this one.
    assert_eq!(required(&weights, 6_999), Some(1));
    assert_eq!(required(&weights, 7_000), None);
    prove(&mut weights, 1, 8_000);
    assert_eq!(required(&weights, 8_004), Some(1));
    // That another model has no version is proven as well.
    assert_eq!(weights.required("other", &BOUNDS, Millis(8_004)), Some(0));
    assert_eq!(weights.required("other", &BOUNDS, Millis(14_000)), None);
}

#[test]
fn missed_versions_count_from_the_last_proof_before_them() {
    let mut weights = NamedWeights::default();
    prove(&mut weights, 1, 1_000);
    prove(&mut weights, 4, 5_000);
    assert_eq!(required(&weights, 6_999), Some(1));
    assert_eq!(required(&weights, 7_000), Some(4));
    assert_eq!(weights.left_ms("m", 3, &BOUNDS, Millis(6_000)), 1_000);
}

#[test]
fn a_model_counts_as_without_weights_until_its_first_version() {
    let mut weights = NamedWeights::default();
    weights.note_listed(&listed(&[]), Millis(1_000), Millis(1_004));
    weights.note_version("m", 1, Millis(2_000));
    assert_eq!(required(&weights, 6_999), Some(0));
    prove(&mut weights, 1, 3_000);
    assert_eq!(required(&weights, 7_000), Some(1));
}

#[test]
fn no_request_may_begin_before_the_first_proof() {
    let mut weights = NamedWeights::default();
    assert_eq!(required(&weights, 1_000), None);
    weights.note_version("m", 2, Millis(1_000));
    assert_eq!(required(&weights, 1_001), None);
}

#[test]
fn a_restarted_fleet_accepts_older_weights_for_a_short_time() {
    let mut weights = NamedWeights::default();
    prove(&mut weights, 2, 0);
    assert_eq!(required(&weights, 2_499), Some(0));
    assert_eq!(required(&weights, 2_500), Some(2));
    let short = WeightsBounds {
        avoid_after_ms: 400,
        ..BOUNDS
    };
    assert_eq!(weights.required("m", &short, Millis(400)), None);
    assert_eq!(weights.left_ms("m", 1, &short, Millis(100)), 300);
}

/// Report of a node that had proofs of version 1 and has had proofs of version 2 for a
/// while.
fn report_of_a_long_running_node() -> WeightsNews {
    let version_report = |version, named_age_ms, proof_age_ms| ReportedVersion {
        model: "m".to_owned(),
        version,
        named_age_ms: Some(named_age_ms),
        proof_age_ms: Some(proof_age_ms),
    };
    WeightsNews {
        versions: vec![
            version_report(1, 60_000, 5_500),
            version_report(2, 4_800, 300),
        ],
        proof_age_ms: Some(300),
        all_models_age_ms: Some(300),
        known_for_ms: Some(90_000),
    }
}

#[test]
fn a_starting_node_takes_over_the_version_ages_of_other_nodes() {
    let mut weights = NamedWeights::default();
    prove(&mut weights, 2, 10_000);
    assert_eq!(required(&weights, 10_050), Some(0));
    let news = report_of_a_long_running_node();
    weights.apply_reported(&news, Some(Millis(10_060)), Millis(10_100));
    assert_eq!(required(&weights, 10_100), Some(1));
    assert_eq!(required(&weights, 10_560), Some(2));
    // Loads are due as if this node had learned of the version when the others did.
    let named_at = weights.first_newer("m", 1, 1_500);
    assert_eq!(named_at, Some(Millis(10_100 - 4_800)));
    assert_eq!(weights.first_newer("m", 2, 1_500), None);
}

#[test]
fn a_node_that_starts_after_the_bound_rejects_older_weights() {
    let mut weights = NamedWeights::default();
    prove(&mut weights, 2, 10_000);
    let mut news = report_of_a_long_running_node();
    news.versions.remove(0);
    weights.apply_reported(&news, Some(Millis(10_060)), Millis(10_100));
    assert_eq!(required(&weights, 10_100), Some(2));
    assert_eq!(weights.first_newer("m", 1, 1_500), Some(Millis(0)));
}

#[test]
fn an_unsolicited_report_adds_versions_but_no_proofs() {
    let mut weights = NamedWeights::default();
    prove(&mut weights, 1, 1_000);
    let named = weights.apply_reported(&report_of_a_long_running_node(), None, Millis(6_900));
    assert_eq!(named.len(), 1);
    assert_eq!(weights.newest("m"), Some((2, Millis(2_100))));
    assert_eq!(weights.proof_age_ms(Millis(6_900)), Some(5_900));
    assert_eq!(required(&weights, 7_000), None);
}

#[test]
fn a_version_that_the_store_has_lost_stays_in_force() {
    let mut weights = NamedWeights::default();
    prove(&mut weights, 1, 1_000);
    weights.note_version("m", 2, Millis(2_000));
    // A write of version 1 that was not acknowledged was executed again, late.
    for sent in [3_000, 5_000, 8_500] {
        prove(&mut weights, 1, sent);
    }
    assert_eq!(required(&weights, 7_999), Some(1));
    assert_eq!(required(&weights, 8_600), Some(2));
    assert_eq!(weights.newest("m"), Some((2, Millis(2_000))));
    assert_eq!(weights.left_ms("m", 2, &BOUNDS, Millis(8_600)), 5_900);
}

#[test]
fn a_starting_node_trusts_higher_versions_of_other_nodes_over_the_store() {
    let mut weights = NamedWeights::default();
    prove(&mut weights, 1, 10_000);
    let mut news = report_of_a_long_running_node();
    news.versions.remove(0);
    // Known for 4.8 s, whether or not the report answers one of this node's.
    weights.apply_reported(&news, None, Millis(10_100));
    assert_eq!(weights.left_ms("m", 1, &BOUNDS, Millis(10_100)), 1_200);
    prove(&mut weights, 1, 11_000);
    assert_eq!(required(&weights, 11_300), Some(2));
}

#[test]
fn first_newer_is_capped_by_the_last_proof_plus_the_allowed_delay() {
    let mut weights = NamedWeights::default();
    prove(&mut weights, 1, 1_000);
    weights.note_version("m", 2, Millis(1_900));
    assert_eq!(weights.first_newer("m", 1, 1_500), Some(Millis(1_900)));
    // Learned long after the last proof: it may have been published right after that.
    weights.note_version("m", 3, Millis(9_000));
    prove(&mut weights, 2, 2_000);
    assert_eq!(weights.first_newer("m", 2, 1_500), Some(Millis(3_500)));
}

#[test]
fn a_model_whose_version_is_no_longer_listed_stays_in_service() {
    let mut weights = NamedWeights::default();
    prove(&mut weights, 1, 1_000);
    for sent in (2_000..20_000).step_by(1_000) {
        weights.note_listed(&listed(&[]), Millis(sent), Millis(sent + 4));
    }
    // The lists prove that no version above 1 was published by 19 s.
    assert_eq!(required(&weights, 19_500), Some(1));
}

#[test]
fn an_unreadable_version_is_no_proof_for_its_model() {
    let mut weights = NamedWeights::default();
    prove(&mut weights, 1, 1_000);
    let unreadable = ListedVersions {
        is_complete: false,
        ..listed(&[("other", 4)])
    };
    weights.note_listed(&unreadable, Millis(6_000), Millis(6_004));
    assert_eq!(required(&weights, 7_000), None);
    assert_eq!(weights.required("other", &BOUNDS, Millis(7_000)), Some(4));
    assert_eq!(weights.required("third", &BOUNDS, Millis(7_000)), None);
}

/// A node that follows relays makes no store calls of its own. It depends on reports, which
/// may contain more models than fit into one datagram.
#[test]
fn a_report_in_several_parts_proves_as_much_as_one_in_a_single_part() {
    let models: Vec<String> = (0..25).map(|index| format!("model-{index}")).collect();
    let mut sender = NamedWeights::default();
    let newest: Vec<(&str, u64)> = models.iter().map(|model| (model.as_str(), 1)).collect();
    sender.note_listed(&listed(&newest), Millis(1_000), Millis(1_004));
    let mut receiver = NamedWeights::default();
    for news in sender.current_report(&BOUNDS, Millis(1_100)).parts(24) {
        receiver.apply_reported(&news, Some(Millis(1_090)), Millis(1_101));
    }
    assert_eq!(
        receiver.required("model-7", &BOUNDS, Millis(6_900)),
        Some(1)
    );
    assert!(
        receiver.is_proven(),
        "otherwise the node would never become ready, and nothing would be read"
    );
    // No part contains all models, so a model that is missing may have a version.
    assert_eq!(receiver.required("another", &BOUNDS, Millis(6_900)), None);
}

/// A step of a schedule.
#[derive(Clone, Debug)]
enum Step {
    /// The store acknowledges the next version of the weights.
    Name,
    /// A node lists the versions; the store's answer reflects the state at the time of the
    /// call and arrives immediately or late.
    List { node: usize, late_ms: u64 },
    /// A watch delivers the newest version to a node.
    Watch { node: usize },
    /// A node sends a report; the other node answers when it arrives, with its state then.
    Exchange {
        from: usize,
        to: usize,
        there_ms: u64,
        back_ms: u64,
    },
}

fn step() -> impl Strategy<Value = Step> {
    let node = 0usize..3;
    prop_oneof![
        1 => Just(Step::Name),
        3 => (node.clone(), 0u64..3_000).prop_map(|(node, late_ms)| Step::List { node, late_ms }),
        2 => node.clone().prop_map(|node| Step::Watch { node }),
        6 => (node.clone(), node, 0u64..2_000, 0u64..2_000).prop_map(
            |(from, to, there_ms, back_ms)| Step::Exchange { from, to, there_ms, back_ms }
        ),
    ]
}

/// An event that is scheduled for a later time.
enum Later {
    Listed {
        node: usize,
        version: u64,
        sent: u64,
    },
    Asked {
        from: usize,
        to: usize,
        sent: u64,
        back_ms: u64,
    },
    Answered {
        node: usize,
        news: WeightsNews,
        sent: u64,
    },
}

/// Three nodes with different clock offsets, and the store.
struct Fleet {
    now: u64,
    acknowledged: Vec<u64>,
    nodes: Vec<NamedWeights>,
    later: Vec<(u64, Later)>,
}

/// Time by which each node's clock is ahead of the schedule's, in milliseconds.
const AHEAD_MS: [u64; 3] = [1_000_000, 5_000, 77_777];

const STRICT: WeightsBounds = WeightsBounds {
    avoid_after_ms: 6_000,
    avoid_after_start_ms: 0,
};

impl Fleet {
    fn new() -> Self {
        Self {
            now: 0,
            acknowledged: vec![0],
            nodes: vec![NamedWeights::default(); 3],
            later: Vec::new(),
        }
    }

    fn newest(&self) -> u64 {
        self.acknowledged.len() as u64
    }

    fn local(&self, node: usize, at: u64) -> Millis {
        Millis(at + AHEAD_MS[node])
    }

    fn step(&mut self, step: Step) {
        let now = self.now;
        match step {
            Step::Name => self.acknowledged.push(now),
            Step::List { node, late_ms } => {
                let version = self.newest();
                let listed = Later::Listed {
                    node,
                    version,
                    sent: now,
                };
                self.later.push((now + late_ms, listed));
            }
            Step::Watch { node } => {
                let (version, at) = (self.newest(), self.local(node, now));
                self.nodes[node].note_version("m", version, at);
            }
            Step::Exchange {
                from,
                to,
                there_ms,
                back_ms,
            } => {
                let asked = Later::Asked {
                    from,
                    to,
                    sent: now,
                    back_ms,
                };
                self.later.push((now + there_ms, asked));
            }
        }
    }

    fn advance(&mut self, to: u64) {
        while let Some(next) = (0..self.later.len()).min_by_key(|index| self.later[*index].0) {
            if self.later[next].0 > to {
                break;
            }
            let (at, later) = self.later.swap_remove(next);
            self.now = at;
            self.take(later);
        }
        self.now = to;
    }

    fn take(&mut self, later: Later) {
        let now = self.now;
        match later {
            Later::Listed {
                node,
                version,
                sent,
            } => {
                let (sent, now) = (self.local(node, sent), self.local(node, now));
                self.nodes[node].note_listed(&listed(&[("m", version)]), sent, now);
            }
            Later::Asked {
                from,
                to,
                sent,
                back_ms,
            } => {
                let news = self.nodes[to].current_report(&STRICT, self.local(to, now));
                let answered = Later::Answered {
                    node: from,
                    news,
                    sent,
                };
                self.later.push((now + back_ms, answered));
            }
            Later::Answered { node, news, sent } => {
                let (sent, now) = (self.local(node, sent), self.local(node, now));
                self.nodes[node].apply_reported(&news, Some(sent), now);
            }
        }
    }

    /// The lowest version on which the bound allows a request to begin now: no version above
    /// it was acknowledged that long ago.
    fn lowest_allowed(&self) -> u64 {
        let due = self.acknowledged.iter();
        let due = due.filter(|at| **at + STRICT.avoid_after_ms <= self.now);
        due.count() as u64
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 512, ..ProptestConfig::default() })]

    /// However late answers and reports arrive, and whatever a node has missed, no node lets
    /// a request begin on old weights after the bound.
    #[test]
    fn no_schedule_lets_a_request_begin_on_old_weights_after_the_bound(
        steps in prop::collection::vec((step(), 0u64..1_500), 1..120),
    ) {
        let mut fleet = Fleet::new();
        for (step, pause_ms) in steps {
            fleet.step(step);
            fleet.advance(fleet.now + pause_ms);
            let lowest = fleet.lowest_allowed();
            for (node, weights) in fleet.nodes.iter().enumerate() {
                let now = fleet.local(node, fleet.now);
                if let Some(required) = weights.required("m", &STRICT, now) {
                    prop_assert!(required >= lowest, "node {node}: {required} < {lowest}");
                }
                for version in 0..lowest {
                    prop_assert_eq!(weights.left_ms("m", version, &STRICT, now), 0);
                }
            }
        }
    }
}
