//! Operations and faults as data: what property tests generate and traces record.

use serde::{Deserialize, Serialize};

/// One thing that happens. Numbers select among what there is, modulo its count.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Operation {
    /// Time passes, in milliseconds.
    Advance(u64),
    /// A node's process ends at once.
    KillNode(usize),
    /// A node starts with empty memory; it is killed first when it runs.
    RestartNode(usize),
    /// Every node but one is killed and started.
    RestartHerd(usize),
    /// A node is paused.
    FreezeNode(usize),
    /// A paused node goes on.
    ThawNode(usize),
    /// Two zones are cut off from each other.
    Cut(usize, usize),
    /// Every cut ends.
    HealCuts,
    /// Messages are lost, in percent.
    Loss(u8),
    /// Messages are doubled, in percent.
    Duplicate(u8),
    /// Messages are delayed by up to so many milliseconds, and so reordered.
    Jitter(u64),
    /// The object API does not answer.
    PlatformDown,
    /// The object API takes changes and loses the replies.
    PlatformLosesReplies,
    /// The object API answers reads with an older state.
    PlatformStale,
    /// The object API works again.
    PlatformUp,
    /// An engine's process ends at once.
    KillEngine(usize),
    /// An engine starts with an empty cache; it is killed first when it runs.
    RestartEngine(usize),
    /// An engine says that it leaves; the machine list says so later.
    LeaveEngine(usize),
    /// The weights that the pool wants.
    WantWeights(u64),
    /// An engine is given other weights by hand, as in a rollback.
    EngineWeights(usize, u64),
    /// An operator changes the route through a node.
    Apply(usize),
    /// Two operators change the route through two nodes at once.
    ApplyRace(usize, usize),
    /// A caller sends a request that may be repeated.
    Request {
        /// Node it is sent to.
        node: usize,
        /// Tenant that sends it.
        tenant: usize,
        /// Which of a few prompts.
        prompt: usize,
    },
    /// A caller sends a request that may run at most once; the same number is
    /// the same request.
    Once {
        /// Node it is sent to.
        node: usize,
        /// Which request.
        request: u64,
    },
}
