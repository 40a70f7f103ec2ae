//! A node that knows a rollout, and sample reports.

use ploverlift_balancing::catalogue::EngineCatalogue;
use ploverlift_balancing::peer_loads::PeerId;
use ploverlift_gateway::rollouts::exchange::Reporter;
use ploverlift_gateway::rollouts::RolloutBeliefs;
use ploverlift_policy::ids::Millis;
use ploverlift_rollout::counts::{Answer, Counts, RouteTag, Side};
use ploverlift_rollout::order::RolloutOrder;
use ploverlift_rollout::settings::RolloutSettings;
use ploverlift_rollout::stage::{Epoch, Progress, RolloutNumber, Stage};
use ploverlift_routing::configuration::{Delivery, Route, ServiceName};
use ploverlift_routing::software::SoftwareVersion;

pub const NOW: Millis = Millis(2_000_000);
pub const ROLLOUT: RolloutNumber = RolloutNumber(7);

pub fn service() -> ServiceName {
    ServiceName::from("app")
}

pub fn route(name: &str) -> Route {
    Route {
        name: name.to_owned(),
        host: "h".to_owned(),
        path_prefix: "/".to_owned(),
        targets: Vec::new(),
        delivery: Delivery::Repeatable,
        timeout_ms: 1_000,
        objective_ms: 100,
        max_attempts: 2,
        priority: 0,
        is_public: false,
    }
}

pub fn progress(stage: Stage) -> Progress {
    Progress {
        rollout: ROLLOUT,
        epoch: Epoch(9),
        stage,
        duration_ms: 12_000,
        elapsed_ms: 100,
        requests: 0,
        target_arrivals: 0,
        credits: 10,
        avoided: Vec::new(),
        established: vec![SoftwareVersion("v1".to_owned())],
    }
}

pub fn order(revision: u64) -> RolloutOrder {
    let order = RolloutOrder {
        service: service(),
        target: SoftwareVersion("v2".to_owned()),
        duration_ms: 12_000,
        revision,
        status: None,
    };
    let status = progress(Stage::Canary { share_ppm: 30_000 }).status(&order);
    RolloutOrder {
        status: Some(status),
        ..order
    }
}

/// A node that knows the order and has sent `requests` requests.
pub fn node_with_requests(requests: usize) -> RolloutBeliefs {
    let mut node = RolloutBeliefs::default();
    let catalogue = EngineCatalogue::default();
    node.note_orders_known(3, Some(NOW), &catalogue, NOW);
    let update = node.apply_order(order(8), RolloutSettings::default(), NOW);
    assert!(update.is_some_and(|update| update.stage.is_ok_and(|change| change.is_some())));
    for _ in 0..requests {
        node.note_request(&service(), &route("a"));
    }
    node
}

pub fn reporter(node: u64) -> Reporter {
    Reporter {
        node: PeerId(node),
        life: 1,
    }
}

/// Counts of a busy service with four routes and all buckets in use.
pub fn busy_counts() -> Counts {
    let mut counts = Counts::default();
    for route in ["a", "b", "c", "d"] {
        let route = RouteTag::of(route);
        for index in 0..4_000_u64 {
            counts.note_request(route, true);
            counts.note_target_arrival(route);
            let side = match index % 2 {
                0 => Side::Target,
                _ => Side::Established,
            };
            let answer = Answer {
                engine: index,
                has_failed: index % 3 == 0,
                first_byte_ms: Some(index * 3),
            };
            counts.note_answer(route, side, &answer);
        }
    }
    counts
}
