//! Reports of engines, and orders to engines.

use ploverlift_balancing::catalogue::InstanceId;
use ploverlift_http1::{HttpError, RequestHead, ResponseHead};
use std::collections::BTreeMap;

/// Status report of an engine.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct EngineReport {
    /// Whether an order is being carried out.
    pub is_busy: bool,
    /// Number of orders accepted since its start.
    pub orders_taken: u64,
    /// Start time in Unix milliseconds; 0 if not reported.
    pub born_ms: u64,
    /// Version of the weights of each model.
    pub weights: BTreeMap<String, u64>,
}

/// An order to load weights.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LoadOrder {
    /// Engine incarnation that the order is for.
    pub instance: InstanceId,
    /// The model.
    pub model: String,
    /// The version.
    pub version: u64,
    /// Name of the lease holder that gives the order.
    pub holder: String,
    /// Fencing token of that lease.
    pub fencing_token: u64,
    /// Number of orders that the engine must have accepted before, so that an order that is
    /// carried out late cannot undo a newer one.
    pub expected_orders: u64,
}

/// An engine's answer to an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderAnswer {
    /// The order is being carried out.
    Accepted,
    /// The engine already has the ordered weights.
    AlreadyDone,
    /// Another order is being carried out, or the number of accepted orders differs.
    Conflict,
    /// The engine has seen a higher fencing token.
    FenceTooLow,
    /// Another engine incarnation serves at the address.
    OtherInstance,
    /// The engine does not understand the order.
    Rejected,
}

/// The engines' protocol for reports and orders.
pub trait EngineControl: Send + Sync {
    /// The head of a request for a report.
    fn report_head(&self) -> RequestHead;

    /// Decodes a report; `None` if it is invalid.
    fn read_report(&self, head: &ResponseHead, body: &[u8]) -> Option<EngineReport>;

    /// Head and body of an order; the head lacks the body's length.
    ///
    /// # Errors
    /// When the engine's identifier can't be written in a head.
    fn order_message(&self, order: &LoadOrder) -> Result<(RequestHead, Vec<u8>), HttpError>;

    /// Decodes the answer to an order.
    fn read_order_answer(&self, head: &ResponseHead) -> OrderAnswer;
}
