//! Reports of engines and orders to them.

use ploverlift_balancing::catalogue::InstanceId;
use ploverlift_http1::{RequestHead, ResponseHead};
use std::collections::BTreeMap;

/// What an engine reports.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct EngineReport {
    /// Whether an order is being carried out.
    pub is_busy: bool,
    /// Orders taken since its start.
    pub orders_taken: u64,
    /// When it started, in Unix milliseconds; 0 where it does not tell.
    pub born_ms: u64,
    /// The version of each model's weights.
    pub weights: BTreeMap<String, u64>,
}

/// An order to load weights.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LoadOrder {
    /// The life of the engine that is meant.
    pub instance: InstanceId,
    /// The model.
    pub model: String,
    /// The version.
    pub version: u64,
    /// Who gives the order.
    pub holder: String,
    /// Fencing token of the lease under which it is given.
    pub fencing_token: u64,
    /// Orders that the engine must have taken, so that an order which is
    /// carried out late cannot undo a newer one.
    pub expected_orders: u64,
}

/// An engine's answer to an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderAnswer {
    /// It is being carried out.
    Accepted,
    /// It holds already.
    AlreadyDone,
    /// Another order is being carried out, or the number of orders differs.
    Conflict,
    /// A higher token was seen.
    FenceTooLow,
    /// The engine at the address is another one.
    OtherInstance,
    /// The order is not understood.
    Rejected,
}

/// The protocol of engines for reports and orders.
pub trait EngineControl: Send + Sync {
    /// The head that asks for a report.
    fn report_head(&self) -> RequestHead;

    /// Reads a report; nothing when it does not fit.
    fn read_report(&self, head: &ResponseHead, body: &[u8]) -> Option<EngineReport>;

    /// Head and body of an order, without the body's length.
    fn order_message(&self, order: &LoadOrder) -> (RequestHead, Vec<u8>);

    /// Reads the answer to an order.
    fn read_order_answer(&self, head: &ResponseHead) -> OrderAnswer;
}
