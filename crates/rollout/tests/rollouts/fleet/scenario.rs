//! Scenarios: a service, the defects of its new version, and faults of the fleet.

use ploverlift_rollout::settings::RolloutSettings;

/// A route of the service.
#[derive(Clone, Copy, Debug)]
pub struct SimRoute {
    /// Its name.
    pub name: &'static str,
    /// Fraction of the requests.
    pub part: f64,
    /// Whether its requests may be executed more than once.
    pub is_repeatable: bool,
    /// Median time to the first byte, in milliseconds.
    pub first_byte_ms: f64,
    /// Median time from the first byte to the end, in milliseconds.
    pub rest_ms: f64,
}

/// A service and the fleet in front of it.
#[derive(Clone, Debug)]
pub struct SimService {
    /// Number of nodes.
    pub nodes: u32,
    /// Number of nodes that callers know; the others get no requests.
    pub nodes_with_traffic: u32,
    /// Number of engines of each version.
    pub engines: u32,
    /// Requests per second.
    pub rate: f64,
    /// Time from the order to its deadline, in milliseconds.
    pub duration_ms: u64,
    /// Routes.
    pub routes: Vec<SimRoute>,
    /// Fraction of the answers to repeatable requests, of either version, that fail
    /// because of the requests themselves.
    pub own_failures: f64,
    /// Fraction of the requests that use one prompt; `None` if there are no prompts.
    pub hot_prompt: Option<f64>,
    /// Time since the order from which more requests arrive, in milliseconds, and the
    /// factor.
    pub burst: Option<(u64, f64)>,
    /// Time from the order until the target's engines are available; `None` if they
    /// never are.
    pub engines_after_ms: Option<u64>,
    /// The barrier that the decider is given, in milliseconds.
    pub barrier_ms: u64,
}

/// Defect of a version.
#[derive(Clone, Copy, Debug, Default)]
pub struct Defect {
    /// Time since the order from which the defect shows, in milliseconds.
    pub from_ms: u64,
    /// Time since the cut-over from which the defect shows, in milliseconds; takes
    /// precedence over `from_ms`.
    pub after_cut_over_ms: Option<u64>,
    /// Fraction of its answers that fail.
    pub fails: f64,
    /// Factor on the time to the first byte; 0 means 1.
    pub slower: f64,
    /// Whether it shows only on engines that carry as much load as established ones.
    pub under_load: bool,
    /// The only route on which it shows; `None` for all.
    pub route: Option<&'static str>,
}

/// Fault of a node.
#[derive(Clone, Copy, Debug)]
pub enum Fault {
    /// The node is cut off from the store and the other nodes, and keeps serving.
    Cut,
    /// The process is paused.
    Pause,
    /// The process is killed, and starts again with a later life.
    Kill,
}

/// A fault with its time.
#[derive(Clone, Copy, Debug)]
pub struct Disruption {
    /// The node; `None` for the decider at that time.
    pub node: Option<u32>,
    /// The fault.
    pub fault: Fault,
    /// Start, in milliseconds since the order.
    pub from_ms: u64,
    /// Duration, in milliseconds.
    pub for_ms: u64,
}

/// Faults in the delivery of messages.
#[derive(Clone, Copy, Debug, Default)]
pub struct MessageFaults {
    /// Fraction of the reports that are lost.
    pub lost: f64,
    /// Fraction of the reports that arrive twice, the second time late.
    pub doubled: f64,
    /// Times since the order between which the store does not answer.
    pub store_unavailable: Option<(u64, u64)>,
    /// Fraction of the writes whose answer is lost.
    pub answers_lost: f64,
}

/// One run of the simulation.
#[derive(Clone, Debug)]
pub struct Scenario {
    /// The service.
    pub service: SimService,
    /// The bounds.
    pub settings: RolloutSettings,
    /// Defect of the target, if any.
    pub defect: Option<Defect>,
    /// Faults of nodes.
    pub disruptions: Vec<Disruption>,
    /// Faults in the delivery of messages.
    pub message_faults: MessageFaults,
    /// Time after which the run ends, since the order, in milliseconds.
    pub until_ms: u64,
    /// Seed of the run.
    pub seed: u64,
}
