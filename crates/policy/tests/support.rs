//! Small builders for tests of the policy.
#![allow(dead_code)]

use ploverlift_policy::fleet::{
    Engine, EngineKey, Fleet, Health, LoadReport, UnseenSends, DEFAULT_EVICTION_AGE_MS,
};
use ploverlift_policy::ids::{EngineName, Incarnation, Millis, WeightsVersion, ZoneName};
use ploverlift_policy::labels::Labels;
use ploverlift_policy::objects::{MachineRole, MachineState};
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use std::net::SocketAddr;

/// A runner whose seed is fixed, so that CI returns the same verdict every time.
pub fn runner() -> TestRunner {
    let config = Config {
        cases: 256,
        failure_persistence: None,
        ..Config::default()
    };
    TestRunner::new_with_rng(config, TestRng::from_seed(RngAlgorithm::ChaCha, &[3; 32]))
}

pub fn engine(number: usize) -> Engine {
    let name = EngineName(format!("engine-{number}"));
    Engine {
        key: EngineKey::of(&name),
        name,
        address: SocketAddr::from(([127, 0, 0, 1], 9_000)),
        zone: ZoneName::from("hall-north"),
        labels: Labels::default(),
        role: MachineRole::Engine,
        listed: MachineState::Live,
        incarnation: Incarnation(1),
        weights: WeightsVersion(1),
        health: Health::Ready,
        unobserved: false,
        load: LoadReport::default(),
        reported_at: Millis(0),
        unseen: UnseenSends::default(),
        in_flight: 0,
        eviction_age_ms: DEFAULT_EVICTION_AGE_MS,
    }
}

pub fn fleet(engines: usize) -> Fleet {
    let mut fleet = Fleet::default();
    for number in 0..engines {
        fleet.upsert(engine(number));
    }
    fleet
}
