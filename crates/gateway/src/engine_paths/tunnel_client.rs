//! Asks peers for a tunnel to an engine.

use crate::http_call::{set_liveness_options, SERVER_LIVENESS};
use crate::peer_stream::{read_message, write_message, ConnectionSnafu, StreamError};
use crate::state::Gateway;
use crate::time::within;
use ploverlift_balancing::engine_paths::DirectFailure;
use ploverlift_balancing::names::{EngineTag, InstanceId, PeerId, ZoneTag};
use ploverlift_balancing::tunnel_peers::{PeerFailure, TunnelPeer};
use ploverlift_http1::BufferedStream;
use ploverlift_tunnel::framing::FrameDecoder;
use ploverlift_tunnel::messages::{decode_answer, TunnelRefusal, TunnelRequest, MAX_MESSAGE_BYTES};
use ploverlift_wire::WireError;
use smol::net::TcpStream;
use snafu::{ResultExt, Snafu};
use std::sync::Arc;

/// Maximum number of peers that are asked for one connection.
const MAX_ASKED: usize = 3;
/// Time after which the next peer is asked while one has not answered, in milliseconds.
const NEXT_PEER_AFTER_MS: u64 = 120;
/// Time added to the connect time-out of a peer for its answer, in milliseconds.
const ANSWER_SLACK_MS: u64 = 100;

/// An open tunnel.
pub struct Tunnel {
    /// The connection to the peer; what is read from it comes from the engine.
    pub stream: BufferedStream,
    /// The peer.
    pub peer: TunnelPeer,
}

/// No peer opened a tunnel.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct NoTunnel {
    /// Number of peers that were asked.
    pub asked: usize,
    /// Number of them whose own connection the engine refused.
    pub refused: usize,
    /// Number of them whose own connection the engine did not answer.
    pub silent: usize,
}

impl NoTunnel {
    /// Whether a peer with a working link has tried in vain.
    pub fn is_answered(&self) -> bool {
        self.refused + self.silent > 0
    }

    fn count(&mut self, error: &TunnelError) {
        let TunnelError::Refused { refusal } = error else {
            return;
        };
        if let TunnelRefusal::Unreachable {
            failure,
            is_link_suspected: false,
        } = refusal
        {
            match failure {
                DirectFailure::Refused => self.refused += 1,
                DirectFailure::NoAnswer => self.silent += 1,
            }
        }
    }
}

/// Why a peer opened no tunnel.
#[derive(Debug, Snafu)]
enum TunnelError {
    #[snafu(transparent)]
    Stream { source: StreamError },
    #[snafu(display("the peer's answer is invalid: {source}"))]
    Message { source: WireError },
    #[snafu(display("the peer did not answer in time"))]
    TimedOut,
    #[snafu(display("the peer opens none: {}", refusal.name()))]
    Refused { refusal: TunnelRefusal },
}

impl TunnelError {
    fn as_peer_failure(&self) -> PeerFailure {
        match self {
            Self::Refused { refusal } => match refusal {
                TunnelRefusal::Unreachable {
                    is_link_suspected: true,
                    ..
                } => PeerFailure::LinkSuspected,
                TunnelRefusal::Unreachable { .. }
                | TunnelRefusal::UnknownEngine
                | TunnelRefusal::EngineUnavailable => PeerFailure::EngineUnreached,
                TunnelRefusal::Full => PeerFailure::Busy,
                TunnelRefusal::Stopping | TunnelRefusal::NotPermitted => PeerFailure::Stopping,
            },
            _ => PeerFailure::NoAnswer,
        }
    }

    fn label(&self) -> &'static str {
        match self {
            Self::Refused { refusal } => refusal.name(),
            _ => "no_answer",
        }
    }
}

/// A peer that was asked, and its answer.
type Asked = (TunnelPeer, Result<TcpStream, TunnelError>);

/// Asks peers for a tunnel to an engine, one after the other, until one opens it.
///
/// # Errors
/// When none of up to [`MAX_ASKED`] peers opens one.
pub async fn open_tunnel(
    gateway: &Arc<Gateway>,
    instance: &InstanceId,
) -> Result<Tunnel, NoTunnel> {
    let tag = EngineTag::of(instance);
    let (answers, answered) = async_channel::unbounded::<Asked>();
    let mut asked: Vec<PeerId> = Vec::new();
    // Dropping a task closes its connection, and so the tunnel that comes too late.
    let mut asking: Vec<smol::Task<()>> = Vec::new();
    let mut none = NoTunnel::default();
    let mut pending = 0;
    loop {
        if let Some(peer) = next_peer(gateway, instance, &asked) {
            asked.push(peer.id);
            pending += 1;
            let (gateway, answers) = (Arc::clone(gateway), answers.clone());
            let instance = instance.clone();
            asking.push(smol::spawn(async move {
                let result = ask(&gateway, peer, &instance).await;
                // The receiver is gone once another peer has opened a tunnel.
                let _ = answers.send((peer, result)).await;
            }));
        }
        none.asked = asked.len();
        if pending == 0 {
            return Err(none);
        }
        let may_ask_more = asked.len() < MAX_ASKED;
        let answer = match may_ask_more {
            true => within(NEXT_PEER_AFTER_MS, answered.recv()).await,
            false => Some(answered.recv().await),
        };
        let Some(Ok((peer, result))) = answer else {
            continue;
        };
        pending -= 1;
        note_answer(gateway, peer, tag, &result);
        match result {
            Ok(stream) => return Ok(tunnel(stream, peer)),
            Err(error) => none.count(&error),
        }
    }
}

fn tunnel(stream: TcpStream, peer: TunnelPeer) -> Tunnel {
    let decoder = Box::new(FrameDecoder::default());
    Tunnel {
        stream: BufferedStream::with_decoder(stream, decoder),
        peer,
    }
}

/// The next peer to ask; `None` when there is none or enough were asked.
fn next_peer(gateway: &Gateway, instance: &InstanceId, asked: &[PeerId]) -> Option<TunnelPeer> {
    if asked.len() >= MAX_ASKED {
        return None;
    }
    let now = gateway.clock.now();
    let own_zone = ZoneTag::of(&gateway.zone);
    // Collected first, so that the two locks are never held together.
    let peers: Vec<TunnelPeer> = {
        let book = gateway.address_book();
        let peers = book.tunnel_peers(now);
        peers.filter(|peer| !asked.contains(&peer.id)).collect()
    };
    let beliefs = gateway.beliefs();
    let engine = beliefs.engines.get(instance)?;
    let near_zones = [own_zone, ZoneTag::of(&engine.record.zone)];
    let draw = fastrand::f64();
    let tunnel_peers = &beliefs.tunnel_peers;
    tunnel_peers.choose(peers.into_iter(), engine.tag, near_zones, draw, now)
}

fn note_answer(
    gateway: &Gateway,
    peer: TunnelPeer,
    engine: EngineTag,
    result: &Result<TcpStream, TunnelError>,
) {
    let now = gateway.clock.now();
    let label = match result {
        Ok(_) => "opened",
        Err(error) => error.label(),
    };
    gateway.metrics.paths.count_tunnel_request(label);
    let mut beliefs = gateway.beliefs();
    match result {
        Ok(_) => beliefs.tunnel_peers.note_opened(peer.id, engine),
        Err(error) => {
            let failure = error.as_peer_failure();
            beliefs
                .tunnel_peers
                .note_failure(peer.id, engine, failure, now);
            drop(beliefs);
            slog::debug!(gateway.log, "no tunnel from a peer";
                "peer" => peer.address.to_string(), "engine" => engine.0, "error" => error.to_string());
        }
    }
}

async fn ask(
    gateway: &Gateway,
    peer: TunnelPeer,
    instance: &InstanceId,
) -> Result<TcpStream, TunnelError> {
    let settings = gateway.settings();
    let request = TunnelRequest {
        sender: PeerId::of(&settings.node.name),
        engine: instance.clone(),
    };
    let limit_ms = settings.attempts.connect_timeout_ms + ANSWER_SLACK_MS;
    let asked = within(limit_ms, exchange(peer, &request)).await;
    asked.unwrap_or(Err(TunnelError::TimedOut))
}

async fn exchange(peer: TunnelPeer, request: &TunnelRequest) -> Result<TcpStream, TunnelError> {
    let connected = TcpStream::connect(peer.address).await;
    let mut stream = connected.context(ConnectionSnafu)?;
    set_liveness_options(&stream, SERVER_LIVENESS);
    write_message(&mut stream, &request.encode()).await?;
    let answer = read_message(&mut stream, MAX_MESSAGE_BYTES).await?;
    match decode_answer(&answer).context(MessageSnafu)? {
        Ok(()) => Ok(stream),
        Err(refusal) => RefusedSnafu { refusal }.fail(),
    }
}
