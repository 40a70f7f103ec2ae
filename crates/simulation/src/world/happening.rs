//! Everything that can happen at a point in time.

use super::*;

#[derive(Clone, Debug)]
pub(super) enum Happening {
    Message {
        node: usize,
        from: SocketAddr,
        envelope: Envelope,
    },
    Tick {
        node: usize,
        life: u64,
    },
    Read {
        node: usize,
        life: u64,
    },
    Look {
        node: usize,
        life: u64,
    },
    Looked {
        node: usize,
        life: u64,
        looked_at: Millis,
        engine: EngineKey,
        seen: Option<EngineObservation>,
    },
    RequestArrives {
        node: usize,
        by: TryId,
        request: u64,
        once: bool,
        tenant: usize,
        prompt: usize,
    },
    EngineGets {
        engine: usize,
        call: Call,
    },
    EngineStep {
        engine: usize,
        incarnation: Incarnation,
        life_count: u64,
        call: Call,
        position: u64,
    },
    News {
        call: Call,
        news: AttemptNews,
    },
    Deadline {
        node: usize,
        life: u64,
        by: TryId,
    },
    /// A continuation of a stream has had its time to begin.
    ContinuationDue {
        call: Call,
    },
    CallerPiece {
        by: TryId,
        content: u64,
    },
    CallerEnd {
        by: TryId,
        told: Told,
    },
    MachineListed {
        engine: usize,
    },
    OrderLeaves {
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

/// One attempt of one request, as it travels.
#[derive(Clone, Debug)]
pub(super) struct Call {
    pub(super) node: usize,
    pub(super) life: u64,
    pub(super) by: TryId,
    pub(super) attempt: u32,
    pub(super) request: u64,
    pub(super) from: u64,
    pub(super) scope: String,
    pub(super) blocks: Vec<BlockHash>,
    pub(super) incarnation: Incarnation,
    pub(super) weights: WeightsVersion,
    pub(super) believed_cached: bool,
}

/// The node whose pause holds a happening back.
pub(super) fn frozen_target(happening: &Happening) -> Option<usize> {
    match happening {
        Happening::Message { node, .. }
        | Happening::Tick { node, .. }
        | Happening::Read { node, .. }
        | Happening::Look { node, .. }
        | Happening::Looked { node, .. }
        | Happening::RequestArrives { node, .. }
        | Happening::Deadline { node, .. }
        | Happening::OrderLeaves { node, .. }
        | Happening::OrderAnswered { node, .. }
        | Happening::LeaseStored { node, .. }
        | Happening::GroupStored { node, .. } => Some(*node),
        Happening::News { call, .. } | Happening::ContinuationDue { call } => Some(call.node),
        Happening::EngineGets { .. }
        | Happening::EngineStep { .. }
        | Happening::CallerPiece { .. }
        | Happening::CallerEnd { .. }
        | Happening::MachineListed { .. }
        | Happening::OrderArrives { .. } => None,
    }
}
