//! Events of the simulation's event queue.

use super::*;

#[derive(Clone, Debug)]
pub(super) enum SimEvent {
    Message {
        node: usize,
        from: SocketAddr,
        envelope: Envelope,
    },
    Tick {
        node: usize,
        life: u64,
    },
    PollObjectApi {
        node: usize,
        life: u64,
    },
    ObserveEngines {
        node: usize,
        life: u64,
    },
    EngineObserved {
        node: usize,
        life: u64,
        observed_at: Millis,
        engine: EngineKey,
        observed_state: Option<EngineObservation>,
    },
    RequestArrives {
        node: usize,
        try_id: TryId,
        request: u64,
        once: bool,
        tenant: usize,
        prompt: usize,
    },
    RequestReachesEngine {
        engine: usize,
        call: Call,
    },
    EngineStep {
        engine: usize,
        incarnation: Incarnation,
        engine_generation: u64,
        call: Call,
        position: u64,
    },
    AttemptReported {
        call: Call,
        report: AttemptReport,
    },
    Deadline {
        node: usize,
        life: u64,
        try_id: TryId,
    },
    /// The time in which a continued stream must begin is over.
    ContinuationDue {
        call: Call,
    },
    CallerPiece {
        try_id: TryId,
        content: u64,
    },
    CallerEnd {
        try_id: TryId,
        try_outcome: TryOutcome,
    },
    UpdateMachineList {
        engine: usize,
    },
    OrderSent {
        node: usize,
        life: u64,
        order: LoadOrder,
    },
    OrderArrives {
        node: usize,
        life: u64,
        order: LoadOrder,
    },
    OrderAnswered {
        node: usize,
        life: u64,
        order: LoadOrder,
        answer: OrderAnswer,
    },
    LeaseStored {
        node: usize,
        life: u64,
        began: Millis,
        answer: WriteAnswer,
    },
    GroupStored {
        node: usize,
        life: u64,
        answer: WriteAnswer,
    },
}

/// One attempt of a request, as it is sent to an engine.
#[derive(Clone, Debug)]
pub(super) struct Call {
    pub(super) node: usize,
    pub(super) life: u64,
    pub(super) try_id: TryId,
    pub(super) attempt: u32,
    pub(super) request: u64,
    pub(super) from: u64,
    pub(super) scope: String,
    pub(super) blocks: Vec<BlockHash>,
    pub(super) incarnation: Incarnation,
    pub(super) weights: WeightsVersion,
    pub(super) believed_cached: bool,
}

/// The node that handles an event; the event is deferred while this node is
/// paused. `None` for events that no node handles.
pub(super) fn target_node(sim_event: &SimEvent) -> Option<usize> {
    match sim_event {
        SimEvent::Message { node, .. }
        | SimEvent::Tick { node, .. }
        | SimEvent::PollObjectApi { node, .. }
        | SimEvent::ObserveEngines { node, .. }
        | SimEvent::EngineObserved { node, .. }
        | SimEvent::RequestArrives { node, .. }
        | SimEvent::Deadline { node, .. }
        | SimEvent::OrderSent { node, .. }
        | SimEvent::OrderAnswered { node, .. }
        | SimEvent::LeaseStored { node, .. }
        | SimEvent::GroupStored { node, .. } => Some(*node),
        SimEvent::AttemptReported { call, .. } | SimEvent::ContinuationDue { call } => {
            Some(call.node)
        }
        SimEvent::RequestReachesEngine { .. }
        | SimEvent::EngineStep { .. }
        | SimEvent::CallerPiece { .. }
        | SimEvent::CallerEnd { .. }
        | SimEvent::UpdateMachineList { .. }
        | SimEvent::OrderArrives { .. } => None,
    }
}
