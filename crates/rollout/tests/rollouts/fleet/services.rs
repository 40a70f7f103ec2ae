//! The two services of the simulations.

use super::scenario::{SimRoute, SimService};

const fn route(
    name: &'static str,
    part: f64,
    is_repeatable: bool,
    first_byte_ms: f64,
    rest_ms: f64,
) -> SimRoute {
    SimRoute {
        name,
        part,
        is_repeatable,
        first_byte_ms,
        rest_ms,
    }
}

/// 60 engines of a language model, 495 requests per second.
pub fn models() -> SimService {
    SimService {
        nodes: 81,
        nodes_with_traffic: 81,
        engines: 60,
        rate: 495.0,
        duration_ms: 12_000,
        routes: vec![
            route("screen", 0.37, true, 150.0, 100.0),
            route("reply", 0.63, true, 60.0, 600.0),
        ],
        own_failures: 0.003,
        hot_prompt: Some(0.1),
        burst: None,
        engines_after_ms: Some(300),
        barrier_ms: 1_500,
    }
}

/// 4 engines of a service without a model, 154 requests per second, most of which may
/// run only once.
pub fn payments() -> SimService {
    SimService {
        nodes: 81,
        nodes_with_traffic: 81,
        engines: 4,
        rate: 154.0,
        duration_ms: 12_000,
        routes: vec![
            route("send", 0.59, false, 20.0, 1.0),
            route("balance", 0.41, true, 20.0, 1.0),
        ],
        own_failures: 0.003,
        hot_prompt: None,
        burst: None,
        engines_after_ms: Some(300),
        barrier_ms: 700,
    }
}
