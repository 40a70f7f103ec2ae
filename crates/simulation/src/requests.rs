//! State of one request on one simulated node.

use crate::oracle::TryId;
use ploverlift_cluster::claim_proposer::Ticket;
use ploverlift_cluster::router::RoutedRequest;
use ploverlift_policy::attempt::AttemptState;
use ploverlift_policy::fleet::EngineKey;
use ploverlift_policy::request::RequestMachine;

/// A request that a node handles.
pub struct SimRequest {
    /// The caller's try.
    pub try_id: TryId,
    /// Key of the request.
    pub request: u64,
    /// Input of the routing decision.
    pub routed: RoutedRequest,
    /// The state machine, the same as in a real node.
    pub machine: RequestMachine,
    /// Engines that failed in earlier attempts.
    pub failed: Vec<EngineKey>,
    /// Number of attempts so far.
    pub attempts: u32,
    /// Progress of the present attempt.
    pub attempt_state: AttemptState,
    /// The engine of the present attempt.
    pub engine: Option<EngineKey>,
    /// Ticket of the claim that was proposed or granted.
    pub claim: Option<Ticket>,
    /// Whether the claim was granted.
    pub granted: bool,
    /// The recorded answer of an earlier try.
    pub replay: Option<u64>,
}

/// A report about an attempt that reaches its node.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AttemptReport {
    /// The connection was refused: nothing was sent.
    Unsent,
    /// The engine refused; with its incarnation and weights when they differ from
    /// the expected ones.
    Refused(Option<(u64, u64)>),
    /// The head of the response arrived.
    Head,
    /// A piece of the answer.
    Piece {
        /// Position in the answer.
        position: u64,
        /// Content of the piece.
        content: u64,
    },
    /// The answer is complete.
    Completed,
    /// The connection broke.
    Broken,
}
