//! Operations and faults as data: property tests generate them and traces record them.

use serde::{Deserialize, Serialize};

/// One operation or fault. An index of a node, engine or zone is taken modulo
/// their count.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Operation {
    /// Time passes, in milliseconds.
    Advance(u64),
    /// A node's process is killed.
    KillNode(usize),
    /// A node is killed if it runs, and started with empty memory.
    RestartNode(usize),
    /// Every node except this one is killed and started.
    RestartHerd(usize),
    /// A node is paused.
    FreezeNode(usize),
    /// A paused node is resumed.
    ThawNode(usize),
    /// Two zones are cut off from each other.
    Cut(usize, usize),
    /// All cuts end.
    HealCuts,
    /// Share of messages that are lost, in percent.
    Loss(u8),
    /// Share of messages that are duplicated, in percent.
    Duplicate(u8),
    /// Messages get a random delay of up to this many milliseconds, which reorders them.
    Jitter(u64),
    /// The object API does not answer.
    PlatformDown,
    /// The object API stores changes, but its replies are lost.
    PlatformLosesReplies,
    /// The object API answers reads with an older state.
    PlatformStale,
    /// The object API works again.
    PlatformUp,
    /// An engine's process is killed.
    KillEngine(usize),
    /// An engine is killed if it runs, and started with an empty cache.
    RestartEngine(usize),
    /// An engine reports that it is leaving; the machine list follows later.
    LeaveEngine(usize),
    /// Sets the weights version of the pool.
    WantWeights(u64),
    /// An engine gets other weights without an order, as in a manual rollback.
    EngineWeights(usize, u64),
    /// An operator changes the route through a node.
    Apply(usize),
    /// Two operators change the same version of the route through two nodes.
    ApplyRace(usize, usize),
    /// A caller sends a repeatable request.
    Request {
        /// Node that receives the request.
        node: usize,
        /// Tenant of the caller.
        tenant: usize,
        /// Number of the prompt.
        prompt: usize,
    },
    /// A caller sends a request that may run at most once.
    Once {
        /// Node that receives the request.
        node: usize,
        /// Key of the request; the same number is the same request.
        request: u64,
    },
}
