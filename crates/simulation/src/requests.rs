//! One request on one simulated node.

use crate::oracle::TryId;
use ploverlift_cluster::claim_proposer::Ticket;
use ploverlift_cluster::router::RoutedRequest;
use ploverlift_policy::attempt::AttemptState;
use ploverlift_policy::fleet::EngineKey;
use ploverlift_policy::request::RequestMachine;

/// A request that a node works on.
pub struct SimRequest {
    /// The caller's try.
    pub try_id: TryId,
    /// Key of the request.
    pub request: u64,
    /// What the decision needs.
    pub routed: RoutedRequest,
    /// The state machine, the same as in a real node.
    pub machine: RequestMachine,
    /// Engines that failed.
    pub failed: Vec<EngineKey>,
    /// Attempts so far.
    pub attempts: u32,
    /// How far the present attempt got.
    pub attempt_state: AttemptState,
    /// The engine of the present attempt.
    pub engine: Option<EngineKey>,
    /// A claim that was asked for or granted.
    pub claim: Option<Ticket>,
    /// Whether the claim was granted.
    pub granted: bool,
    /// The recorded answer of an earlier try.
    pub replay: Option<u64>,
}

/// What a node learns of an attempt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AttemptReport {
    /// The connection was refused: nothing was sent.
    Unsent,
    /// The engine refused, with its life and weights when it has others.
    Refused(Option<(u64, u64)>),
    /// The engine began to answer.
    Head,
    /// A piece of the answer.
    Piece {
        /// Its position.
        position: u64,
        /// Its content.
        content: u64,
    },
    /// The answer is whole.
    Completed,
    /// The connection broke.
    Broken,
}
