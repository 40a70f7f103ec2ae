//! The request for a tunnel and its answer.

use ploverlift_balancing::engine_paths::DirectFailure;
use ploverlift_balancing::names::{InstanceId, PeerId};
use ploverlift_wire::{
    decode_tunnel_answer, decode_tunnel_request, encode_tunnel_answer, encode_tunnel_request,
    peers, WireError,
};

/// Largest encoded message, in bytes.
pub const MAX_MESSAGE_BYTES: usize = 1_024;

/// A request for a tunnel to an engine. It names the engine and no address: the peer opens
/// connections only to engines that it knows itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TunnelRequest {
    /// The node that asks.
    pub sender: PeerId,
    /// The engine.
    pub engine: InstanceId,
}

/// Why a peer opens no tunnel.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TunnelRefusal {
    /// The peer does not reach the engine either.
    Unreachable {
        /// How its own connection failed.
        failure: DirectFailure,
        /// Whether the peer suspects its own link, so that its failure says nothing about
        /// the engine.
        is_link_suspected: bool,
    },
    /// The peer does not know the engine.
    UnknownEngine,
    /// The engine is shutting down, asked to back off, or another one answers at its address.
    EngineUnavailable,
    /// The peer carries as many tunnels as it may.
    Full,
    /// The peer is shutting down.
    Stopping,
    /// The request does not come from a node that the peer knows.
    NotPermitted,
}

impl TunnelRefusal {
    /// Label for logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Unreachable { .. } => "unreachable",
            Self::UnknownEngine => "unknown_engine",
            Self::EngineUnavailable => "engine_unavailable",
            Self::Full => "full",
            Self::Stopping => "stopping",
            Self::NotPermitted => "not_permitted",
        }
    }
}

/// The answer to a request for a tunnel.
pub type TunnelAnswer = Result<(), TunnelRefusal>;

impl TunnelRequest {
    /// Encodes the request.
    pub fn encode(&self) -> Vec<u8> {
        encode_tunnel_request(&peers::TunnelRequest {
            sender: self.sender.0,
            engine: self.engine.0.clone(),
        })
    }

    /// Decodes a request.
    ///
    /// # Errors
    /// When the bytes are not a request.
    pub fn decode(bytes: &[u8]) -> Result<Self, WireError> {
        let message = decode_tunnel_request(bytes)?;
        Ok(Self {
            sender: PeerId(message.sender),
            engine: InstanceId(message.engine),
        })
    }
}

/// Encodes an answer.
pub fn encode_answer(answer: &TunnelAnswer) -> Vec<u8> {
    use peers::tunnel_answer::Status;
    let status = match answer {
        Ok(()) => Status::Opened,
        Err(TunnelRefusal::Unreachable {
            failure: DirectFailure::Refused,
            ..
        }) => Status::EngineRefused,
        Err(TunnelRefusal::Unreachable {
            failure: DirectFailure::NoAnswer,
            ..
        }) => Status::EngineSilent,
        Err(TunnelRefusal::UnknownEngine) => Status::UnknownEngine,
        Err(TunnelRefusal::EngineUnavailable) => Status::EngineUnavailable,
        Err(TunnelRefusal::Full) => Status::Full,
        Err(TunnelRefusal::Stopping) => Status::Stopping,
        Err(TunnelRefusal::NotPermitted) => Status::NotPermitted,
    };
    let is_link_suspected = matches!(
        answer,
        Err(TunnelRefusal::Unreachable {
            is_link_suspected: true,
            ..
        })
    );
    encode_tunnel_answer(&peers::TunnelAnswer {
        status: status.into(),
        is_link_suspected,
    })
}

/// Decodes an answer. A status of a later release counts as a refusal.
///
/// # Errors
/// When the bytes are not an answer.
pub fn decode_answer(bytes: &[u8]) -> Result<TunnelAnswer, WireError> {
    use peers::tunnel_answer::Status;
    let message = decode_tunnel_answer(bytes)?;
    let unreachable = |failure| TunnelRefusal::Unreachable {
        failure,
        is_link_suspected: message.is_link_suspected,
    };
    Ok(match message.status() {
        Status::Opened => Ok(()),
        Status::EngineRefused => Err(unreachable(DirectFailure::Refused)),
        Status::EngineSilent => Err(unreachable(DirectFailure::NoAnswer)),
        Status::UnknownEngine => Err(TunnelRefusal::UnknownEngine),
        Status::Full => Err(TunnelRefusal::Full),
        Status::Stopping => Err(TunnelRefusal::Stopping),
        Status::NotPermitted => Err(TunnelRefusal::NotPermitted),
        Status::Unspecified | Status::EngineUnavailable => Err(TunnelRefusal::EngineUnavailable),
    })
}
