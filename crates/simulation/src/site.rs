//! The small site used by the proofs: three zones, six nodes, six engines, two
//! tenants, one pool, one route for completions and one for bookings.

use crate::engines::SimEngine;
use ploverlift_policy::ids::ZoneName;
use ploverlift_policy::labels::Labels;
use ploverlift_policy::objects::{Kind, MachineRole, MachineSpec, MachineState, Object};
use serde_json::json;
use std::net::SocketAddr;

/// Names of the zones.
pub const ZONES: [&str; 3] = ["lautoka-hall", "nadi-hall", "ba-hall"];
/// Names of the tenants.
pub const TENANTS: [&str; 2] = ["counter", "workshop"];
/// Model of completions.
pub const MODEL: &str = "fixit";
/// Name of the route for completions, which operators change.
pub const ROUTE: &str = "completions";
/// Service of bookings.
pub const BOOKINGS: &str = "bookings";
/// Deadline for the first byte, in milliseconds.
pub const DEADLINE_MS: u64 = 2_000;
/// Tokens in a block of the site's prompts.
pub const BLOCK_TOKENS: u32 = 4;
/// Largest number of engines that may load weights at the same time.
pub const MAX_CONCURRENT_LOADS: u32 = 2;

/// Size of a site.
#[derive(Clone, Copy, Debug)]
pub struct SiteSize {
    /// Nodes, spread over the zones in turn.
    pub nodes: usize,
    /// Engines, spread over the zones in turn.
    pub engines: usize,
}

impl Default for SiteSize {
    fn default() -> Self {
        Self {
            nodes: 6,
            engines: 6,
        }
    }
}

/// The zone of the node or engine with this number.
pub fn zone_of(number: usize) -> ZoneName {
    ZoneName::from(ZONES[number % ZONES.len()])
}

/// The cluster listener of the node with this number.
pub fn node_address(number: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 10_000 + number as u16))
}

/// The engine with this number.
pub fn engine(number: usize) -> SimEngine {
    SimEngine::new(&format!("engine-{number}"), ZONES[number % ZONES.len()])
}

/// The machine list's entry of an engine.
pub fn machine(engine: &SimEngine, number: usize, state: MachineState) -> Object {
    let spec = MachineSpec {
        role: MachineRole::Engine,
        address: format!("127.0.0.1:{}", 20_000 + number),
        zone: engine.zone.clone(),
        state,
    };
    let labels = Labels::from_pairs([("pool", "fixit")]);
    Object::new(Kind::Machine, engine.name.as_str(), labels, spec)
}

/// Pools, tenants and routes.
pub fn objects() -> Vec<Object> {
    let none = Labels::default();
    let mut objects = vec![
        pool("fixit", MODEL, 0),
        pool("bookings", BOOKINGS, 0),
        route(ROUTE, "fixit", true, 0),
        route("bookings", "bookings", false, 0),
    ];
    for tenant in TENANTS {
        let spec = json!({"keyHashes": []});
        objects.push(Object::new(Kind::Tenant, tenant, none.clone(), spec));
    }
    objects
}

/// A pool over all engines.
pub fn pool(name: &str, model: &str, weights: u64) -> Object {
    let spec = json!({
        "model": model,
        "selector": {"matchLabels": {"pool": "fixit"}},
        "blockTokens": BLOCK_TOKENS,
        "bytesPerToken": 1,
        "maxConcurrentLoads": MAX_CONCURRENT_LOADS,
        "weightsVersion": weights,
    });
    Object::new(Kind::Pool, name, Labels::default(), spec)
}

/// A route; `change` makes one version differ from another.
pub fn route(name: &str, pool: &str, repeatable: bool, change: i32) -> Object {
    let spec = json!({
        "pool": pool,
        "repeatable": repeatable,
        "deadlineMs": DEADLINE_MS,
        "priority": change,
    });
    Object::new(Kind::Route, name, Labels::default(), spec)
}

/// The text of a prompt. There are six of them, which share long prefixes.
pub fn prompt(number: usize) -> Vec<u8> {
    let shared = "manual: open the back, ";
    let branch = ["lift the battery, ", "lift the screen, "][number % 2];
    let detail = ["then wait", "then clean", "then call"][number / 2 % 3];
    format!("{shared}{branch}{detail}").into_bytes()
}
