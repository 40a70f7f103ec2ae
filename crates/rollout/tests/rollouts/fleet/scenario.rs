//! What is played: a service, how its new version is bad, what fails.

use ploverlift_rollout::settings::RolloutSettings;

/// A route of the service.
#[derive(Clone, Copy, Debug)]
pub struct SimRoute {
    /// Its name.
    pub name: &'static str,
    /// Part of the requests.
    pub part: f64,
    /// Whether they may run more than once.
    pub is_repeatable: bool,
    /// Median time to the first byte, in milliseconds.
    pub first_byte_ms: f64,
    /// Median time from the first byte to the end, in milliseconds.
    pub rest_ms: f64,
}

/// A service and the fleet before it.
#[derive(Clone, Debug)]
pub struct SimService {
    /// Nodes.
    pub nodes: u32,
    /// Nodes that callers know; the others get no request.
    pub nodes_with_traffic: u32,
    /// Engines of each version.
    pub engines: u32,
    /// Requests in a second.
    pub rate: f64,
    /// Time from the order to its deadline, in milliseconds.
    pub duration_ms: u64,
    /// Routes.
    pub routes: Vec<SimRoute>,
    /// Part of all answers, of either version, that fail by the requests' own fault.
    pub own_failures: f64,
    /// Part of the requests that ask for one prompt; nothing when there are no prompts.
    pub hot_prompt: Option<f64>,
    /// From when on so many times more requests come.
    pub burst: Option<(u64, f64)>,
    /// Time until the target's engines are there, from the order; nothing if never.
    pub engines_after_ms: Option<u64>,
    /// What the decider is told of the barrier, in milliseconds.
    pub barrier_ms: u64,
}

/// How a version is bad.
#[derive(Clone, Copy, Debug, Default)]
pub struct Defect {
    /// From when on, since the order, in milliseconds.
    pub from_ms: u64,
    /// From when on after all traffic moved, in milliseconds; before any other time.
    pub after_cut_over_ms: Option<u64>,
    /// Part of its answers that fail.
    pub fails: f64,
    /// How many times later the first byte comes; 0 is 1.
    pub slower: f64,
    /// Only on engines that carry as much as established ones.
    pub under_load: bool,
    /// Only on one route.
    pub route: Option<&'static str>,
}

/// What happens to a node.
#[derive(Clone, Copy, Debug)]
pub enum Fault {
    /// It hears and tells nothing, and goes on serving.
    Cut,
    /// It stands still.
    Pause,
    /// It ends, and comes back with a later life.
    Kill,
}

/// A fault, from a time on since the order.
#[derive(Clone, Copy, Debug)]
pub struct Disruption {
    /// Node, or the one that decides at that time.
    pub node: Option<u32>,
    /// What.
    pub fault: Fault,
    /// From when, in milliseconds since the order.
    pub from_ms: u64,
    /// For how long, in milliseconds.
    pub for_ms: u64,
}

/// How news go.
#[derive(Clone, Copy, Debug, Default)]
pub struct MessageFaults {
    /// Part of the reports that are lost.
    pub lost: f64,
    /// Part that come twice, the second time late.
    pub doubled: f64,
    /// The store answers nobody between these times since the order.
    pub store_unavailable: Option<(u64, u64)>,
    /// Part of the writes whose answer is lost.
    pub answers_lost: f64,
}

/// One run.
#[derive(Clone, Debug)]
pub struct Scenario {
    /// The service.
    pub service: SimService,
    /// The bounds.
    pub settings: RolloutSettings,
    /// How the target is bad, if it is.
    pub defect: Option<Defect>,
    /// Faults of nodes.
    pub disruptions: Vec<Disruption>,
    /// News.
    pub message_faults: MessageFaults,
    /// Time after which the run ends, since the order, in milliseconds.
    pub until_ms: u64,
    /// Seed of the run.
    pub seed: u64,
}
