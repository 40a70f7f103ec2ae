//! Strategies for schedules, and functions that run and check a schedule.

use ploverlift_simulation::oracle::{Promise, Violation};
use ploverlift_simulation::schedule::Operation;
use ploverlift_simulation::world::{Mutations, World};
use proptest::prelude::*;
use proptest::strategy::ValueTree;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};

/// Number of schedules of one property when none is configured.
pub const DEFAULT_SCHEDULES: u32 = 64;
/// Environment variable that sets the number of schedules.
const SCHEDULES_VARIABLE: &str = "PLOVERLIFT_SCHEDULES";
/// Time after the last operation within which the site must settle, in milliseconds.
const SETTLE_MS: u64 = 30_000;

pub fn schedules() -> u32 {
    let given = std::env::var(SCHEDULES_VARIABLE).ok();
    let given = given.and_then(|text| text.parse().ok());
    given.unwrap_or(DEFAULT_SCHEDULES)
}

/// A runner with a fixed seed, so that CI gets the same result every time.
pub fn runner() -> TestRunner {
    let config = Config {
        cases: schedules(),
        max_shrink_iters: 400,
        failure_persistence: None,
        ..Config::default()
    };
    let seed = [7; 32];
    let random = TestRng::from_seed(RngAlgorithm::ChaCha, &seed);
    TestRunner::new_with_rng(config, random)
}

/// Runs a schedule on a settled site, ends every fault and lets the site settle.
pub fn run(seed: u64, operations: &[Operation], mutations: Mutations) -> Vec<Violation> {
    let mut world = World::settled(seed, mutations);
    for operation in operations {
        world.perform(operation);
    }
    world.recover();
    world.advance(SETTLE_MS);
    world.check_settled();
    world.oracle.violations
}

/// Asserts that no generated schedule violates a promise.
pub fn assert_holds(strategy: impl Strategy<Value = (u64, Vec<Operation>)>) {
    let outcome = runner().run(&strategy, |(seed, operations)| {
        let violations = run(seed, &operations, Mutations::default());
        prop_assert!(violations.is_empty(), "{violations:?}");
        Ok(())
    });
    if let Err(failure) = outcome {
        panic!("{failure}");
    }
}

/// Asserts that the check can fail: some generated schedule violates the promise
/// under a mutation of the environment.
pub fn assert_violated_by(
    promise: Promise,
    mutations: Mutations,
    strategy: impl Strategy<Value = (u64, Vec<Operation>)>,
) {
    let mut runner = runner();
    for tried in 1..=MUTATION_SCHEDULES {
        let tree = strategy.new_tree(&mut runner).expect("a schedule");
        let (seed, operations) = tree.current();
        let violations = run(seed, &operations, mutations);
        if let Some(found) = violations.iter().find(|found| found.promise == promise) {
            println!("{promise:?} violated by schedule {tried}: {}", found.what);
            return;
        }
    }
    panic!("no schedule violated {promise:?} under {mutations:?}");
}

/// Number of schedules tried before [`assert_violated_by`] fails.
const MUTATION_SCHEDULES: u32 = 400;

fn advance() -> impl Strategy<Value = Operation> {
    prop_oneof![
        4 => (1u64..50).prop_map(Operation::Advance),
        2 => (50u64..1_000).prop_map(Operation::Advance),
        1 => (1_000u64..6_000).prop_map(Operation::Advance),
    ]
}

fn node_faults() -> impl Strategy<Value = Operation> {
    prop_oneof![
        (0usize..6).prop_map(Operation::KillNode),
        (0usize..6).prop_map(Operation::RestartNode),
        (0usize..6).prop_map(Operation::RestartHerd),
        (0usize..6).prop_map(Operation::FreezeNode),
        (0usize..6).prop_map(Operation::ThawNode),
    ]
}

fn network_faults() -> impl Strategy<Value = Operation> {
    prop_oneof![
        (0usize..3, 0usize..3).prop_map(|(a, b)| Operation::Cut(a, b)),
        Just(Operation::HealCuts),
        (0u8..30).prop_map(Operation::Loss),
        (0u8..30).prop_map(Operation::Duplicate),
        (0u64..40).prop_map(Operation::Jitter),
    ]
}

fn platform_faults() -> impl Strategy<Value = Operation> {
    prop_oneof![
        Just(Operation::PlatformDown),
        Just(Operation::PlatformLosesReplies),
        Just(Operation::PlatformStale),
        Just(Operation::PlatformUp),
    ]
}

fn engine_faults() -> impl Strategy<Value = Operation> {
    prop_oneof![
        1 => (0usize..6).prop_map(Operation::KillEngine),
        3 => (0usize..6).prop_map(Operation::RestartEngine),
        1 => (0usize..6).prop_map(Operation::LeaveEngine),
        1 => (0usize..6, 1u64..4).prop_map(|(engine, version)| Operation::EngineWeights(engine, version)),
    ]
}

fn request() -> impl Strategy<Value = Operation> {
    (0usize..6, 0usize..2, 0usize..6).prop_map(|(node, tenant, prompt)| Operation::Request {
        node,
        tenant,
        prompt,
    })
}

fn once() -> impl Strategy<Value = Operation> {
    (0usize..6, 1u64..4).prop_map(|(node, request)| Operation::Once { node, request })
}

fn operators() -> impl Strategy<Value = Operation> {
    prop_oneof![
        3 => (0usize..6).prop_map(Operation::Apply),
        1 => (0usize..6, 0usize..6).prop_map(|(a, b)| Operation::ApplyRace(a, b)),
    ]
}

fn schedule_of(
    operation: impl Strategy<Value = Operation>,
) -> impl Strategy<Value = (u64, Vec<Operation>)> {
    (any::<u64>(), prop::collection::vec(operation, 1..60))
}

/// Requests, and engines that crash, restart, leave and change weights.
pub fn cache_schedules() -> impl Strategy<Value = (u64, Vec<Operation>)> {
    schedule_of(prop_oneof![4 => request(), 3 => advance(), 2 => engine_faults()])
}

/// Requests, and faults of engines and network that break streams.
pub fn stream_schedules() -> impl Strategy<Value = (u64, Vec<Operation>)> {
    schedule_of(prop_oneof![
        4 => request(),
        3 => advance(),
        1 => engine_faults(),
        2 => network_faults(),
    ])
}

/// Requests that may run at most once, and faults by which nodes lose their state.
pub fn once_schedules() -> impl Strategy<Value = (u64, Vec<Operation>)> {
    schedule_of(prop_oneof![
        6 => once(),
        3 => advance(),
        3 => node_faults(),
        2 => network_faults(),
        1 => platform_faults(),
        1 => (0usize..6).prop_map(Operation::RestartEngine),
    ])
}

/// Leaving engines under constant requests, with faults of the object API and lost
/// messages.
pub fn leaving_schedules() -> impl Strategy<Value = (u64, Vec<Operation>)> {
    schedule_of(prop_oneof![
        6 => request(),
        4 => advance(),
        2 => (0usize..4).prop_map(Operation::LeaveEngine),
        1 => platform_faults(),
        1 => (0u8..15).prop_map(Operation::Loss),
    ])
}

/// Changes by operators, with stale reads, cuts, restarts and lost replies.
pub fn configuration_schedules() -> impl Strategy<Value = (u64, Vec<Operation>)> {
    schedule_of(prop_oneof![
        4 => operators(),
        3 => advance(),
        2 => node_faults(),
        2 => network_faults(),
        2 => platform_faults(),
    ])
}

/// Rollouts of weights, with lease holders that are paused and restarted.
pub fn order_schedules() -> impl Strategy<Value = (u64, Vec<Operation>)> {
    schedule_of(prop_oneof![
        2 => (2u64..5).prop_map(Operation::WantWeights),
        4 => advance(),
        3 => node_faults(),
        1 => network_faults(),
        1 => platform_faults(),
    ])
}

/// A pause of any node, longer than a lease, during a rollout whose target
/// weights change.
pub fn paused_holder_schedules() -> impl Strategy<Value = (u64, Vec<Operation>)> {
    let round = (2u64..200, 1u64..600, 0usize..6, 5_500u64..8_500, 1u64..900);
    let rounds = prop::collection::vec(round, 1..6);
    (any::<u64>(), rounds).prop_map(|(seed, rounds)| {
        let operations = rounds
            .into_iter()
            .flat_map(|(weights, before, node, pause, after)| {
                [
                    Operation::WantWeights(weights),
                    Operation::Advance(before),
                    Operation::FreezeNode(node),
                    Operation::Advance(pause),
                    Operation::WantWeights(weights + 1),
                    Operation::Advance(after),
                    Operation::ThawNode(node),
                ]
            });
        (seed, operations.collect())
    })
}

/// Answers that are lost after the request has run. The engines of the node's
/// own zone leave first, so that requests cross zones; then the zone is cut off
/// or an engine restarts while a request runs.
pub fn lost_answer_schedules() -> impl Strategy<Value = (u64, Vec<Operation>)> {
    let round = (1u64..9, 4u64..40, 0usize..6, any::<bool>());
    let rounds = prop::collection::vec(round, 1..8);
    (any::<u64>(), 0usize..3, rounds).prop_map(|(seed, zone, rounds)| {
        let mut operations = vec![
            Operation::LeaveEngine(zone),
            Operation::LeaveEngine(zone + 3),
            Operation::Advance(2_000),
        ];
        for (request, before, engine, cut) in rounds {
            operations.push(Operation::Once {
                node: zone,
                request,
            });
            operations.push(Operation::Advance(before));
            if cut {
                operations.push(Operation::Cut(zone, zone + 1));
                operations.push(Operation::Cut(zone, zone + 2));
            } else {
                operations.push(Operation::RestartEngine(engine));
            }
            operations.push(Operation::Advance(2_500));
            operations.push(Operation::HealCuts);
        }
        (seed, operations)
    })
}

/// A replica restarts and recovers while a proposal still waits for other votes,
/// then the same request arrives at another node.
pub fn lost_vote_schedules() -> impl Strategy<Value = (u64, Vec<Operation>)> {
    let round = (
        0usize..6,
        0usize..6,
        0usize..6,
        30u8..75,
        3u64..9,
        40u64..130,
    );
    let rounds = prop::collection::vec(round, 1..12);
    (any::<u64>(), rounds).prop_map(|(seed, rounds)| {
        let rounds = rounds.into_iter().enumerate();
        let operations = rounds.flat_map(|(request, (first, second, restarted, loss, a, b))| {
            let request = request as u64 + 1;
            [
                Operation::Loss(loss),
                Operation::Once {
                    node: first,
                    request,
                },
                Operation::Advance(a),
                Operation::RestartNode(restarted),
                Operation::Advance(b),
                Operation::Once {
                    node: second,
                    request,
                },
                Operation::Advance(400),
                Operation::Loss(0),
                Operation::Advance(2_000),
            ]
        });
        (seed, operations.collect())
    })
}

/// All operations and faults combined.
pub fn mixed_schedules() -> impl Strategy<Value = (u64, Vec<Operation>)> {
    schedule_of(prop_oneof![
        4 => request(),
        3 => once(),
        4 => advance(),
        2 => node_faults(),
        2 => network_faults(),
        1 => platform_faults(),
        2 => engine_faults(),
        1 => operators(),
    ])
}
