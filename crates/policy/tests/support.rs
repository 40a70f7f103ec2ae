//! Builders for tests and benchmarks of the policy crate.
#![allow(dead_code)]

use ploverlift_policy::fleet::{Engine, Fleet, Health, ListedEngine};
use ploverlift_policy::ids::{EngineName, Incarnation, WeightsVersion, ZoneName};
use ploverlift_policy::labels::Labels;
use ploverlift_policy::objects::{MachineRole, MachineState};
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use std::net::SocketAddr;

/// A property test runner with a fixed seed, so that results in CI are reproducible.
pub fn runner() -> TestRunner {
    let config = Config {
        cases: 256,
        failure_persistence: None,
        ..Config::default()
    };
    TestRunner::new_with_rng(config, TestRng::from_seed(RngAlgorithm::ChaCha, &[3; 32]))
}

pub fn engine(number: usize) -> Engine {
    let mut engine = Engine::from(ListedEngine {
        name: EngineName(format!("engine-{number}")),
        address: SocketAddr::from(([127, 0, 0, 1], 9_000)),
        zone: ZoneName::from("hall-north"),
        labels: Labels::default(),
        role: MachineRole::Engine,
        state: MachineState::Live,
    });
    engine.incarnation = Incarnation(1);
    engine.weights = WeightsVersion(1);
    engine.health = Health::Ready;
    engine
}

pub fn fleet(engines: usize) -> Fleet {
    let mut fleet = Fleet::default();
    for number in 0..engines {
        fleet.upsert(engine(number));
    }
    fleet
}
