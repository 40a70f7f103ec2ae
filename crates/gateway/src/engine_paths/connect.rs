//! Opens a connection to an engine by the path that works.

use super::tunnel_client::{open_tunnel, NoTunnel, Tunnel};
use crate::http_call::{connect, CallError, ConnectFailure};
use crate::state::Gateway;
use crate::time::within;
use ploverlift_balancing::connection_window::EnginePlace;
use ploverlift_balancing::engine_paths::{ConnectPlan, DirectFailure};
use ploverlift_balancing::names::{EngineTag, InstanceId};
use ploverlift_http1::BufferedStream;
use std::fmt;
use std::future::Future;
use std::net::SocketAddr;
use std::pin::{pin, Pin};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// A timer that takes this many times as long as it was set for shows that this node is late.
const LATE_TIMER_FACTOR: u32 = 2;

/// How a connection reaches its engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EnginePath {
    /// Directly.
    Direct,
    /// Through the peer that opens tunnels at this address.
    Tunnel(SocketAddr),
}

impl EnginePath {
    /// Label for metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Direct => "direct",
            Self::Tunnel(_) => "tunnel",
        }
    }
}

impl fmt::Display for EnginePath {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Direct => formatter.write_str("direct"),
            Self::Tunnel(peer) => write!(formatter, "tunnel:{peer}"),
        }
    }
}

/// What shows which engine instance an open connection leads to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectedInstance {
    /// The instance has answered on the connection.
    HasAnswered,
    /// The engine that listened at the address has accepted it, at the latest then.
    AcceptedBy(Instant),
}

/// An open connection to an engine.
pub struct EngineConnection {
    /// The connection.
    pub stream: BufferedStream,
    /// Its path.
    pub path: EnginePath,
    /// What shows which instance it leads to.
    pub instance: ConnectedInstance,
    /// Its place among this node's connections to the engine, where it is counted.
    pub place: Option<EnginePlace>,
}

impl EngineConnection {
    fn through(tunnel: Tunnel) -> Self {
        Self {
            stream: tunnel.stream,
            path: EnginePath::Tunnel(tunnel.peer.address),
            instance: ConnectedInstance::AcceptedBy(Instant::now()),
            place: None,
        }
    }

    /// Whether the connection leads to the instance that has answered a request sent at
    /// `request_sent_at`, as long as it is open.
    pub(crate) fn leads_to_instance(&self, request_sent_at: Instant) -> bool {
        match self.instance {
            ConnectedInstance::HasAnswered => true,
            ConnectedInstance::AcceptedBy(at) => at <= request_sent_at,
        }
    }
}

/// Why no connection could be opened.
#[derive(Debug)]
pub struct Unconnected {
    /// The error of the direct attempt.
    pub error: CallError,
    /// What the peers said that were asked, if any were.
    pub peers: Option<NoTunnel>,
}

impl Unconnected {
    /// How the direct attempt failed.
    pub fn failure(&self) -> ConnectFailure {
        let failure = self.error.connect_failure();
        failure.unwrap_or(ConnectFailure::NoAnswer)
    }

    /// What happened, for logs and callers.
    pub fn reason(&self) -> String {
        match &self.peers {
            Some(peers) if peers.asked > 0 => {
                format!("{}; no tunnel from {} other nodes", self.error, peers.asked)
            }
            _ => self.error.to_string(),
        }
    }
}

/// Which of two connection attempts ended first.
enum Ended {
    Direct(Result<BufferedStream, CallError>),
    Tunnel(Result<Tunnel, NoTunnel>),
}

/// Opens a connection to an engine within `timeout_ms` milliseconds, or a little later through
/// a peer.
///
/// # Errors
/// When neither this node nor a peer that it asked reaches the engine. Nothing was sent.
pub async fn connect_engine(
    gateway: &Arc<Gateway>,
    instance: &InstanceId,
    address: SocketAddr,
    timeout_ms: u64,
) -> Result<EngineConnection, Unconnected> {
    let attempt = ConnectionAttempt {
        gateway,
        instance,
        tag: EngineTag::of(instance),
    };
    let now = gateway.clock.now();
    let plan = gateway
        .beliefs()
        .engine_paths
        .connect_plan(attempt.tag, now);
    let direct = connect(address, timeout_ms);
    match plan {
        ConnectPlan::Direct { tunnel_after_ms } => {
            attempt.direct_first(pin!(direct), tunnel_after_ms).await
        }
        ConnectPlan::DirectOnly => attempt.conclude(direct.await, None),
        ConnectPlan::Tunnel => match open_tunnel(gateway, instance).await {
            Ok(tunnel) => Ok(EngineConnection::through(tunnel)),
            Err(peers) => attempt.conclude(direct.await, Some(peers)),
        },
    }
}

struct ConnectionAttempt<'a> {
    gateway: &'a Arc<Gateway>,
    instance: &'a InstanceId,
    tag: EngineTag,
}

impl ConnectionAttempt<'_> {
    /// Connects directly, and asks peers as well once that has failed or takes long.
    async fn direct_first<D>(
        &self,
        mut direct: Pin<&mut D>,
        tunnel_after_ms: u64,
    ) -> Result<EngineConnection, Unconnected>
    where
        D: Future<Output = Result<BufferedStream, CallError>>,
    {
        match within_own_time(tunnel_after_ms, direct.as_mut()).await {
            Some(Err(error)) if direct_failure(&error).is_some() => {
                let opened = open_tunnel(self.gateway, self.instance).await;
                return self.after_failure(error, opened);
            }
            // Connected; or the engine has no room for a connection, or this node has no
            // descriptors or ports, which a tunnel needs too.
            Some(ended) => return self.conclude(ended, None),
            None => {}
        }
        let mut tunnel = pin!(open_tunnel(self.gateway, self.instance));
        let connecting = async { Ended::Direct(direct.as_mut().await) };
        let tunnelling = async { Ended::Tunnel(tunnel.as_mut().await) };
        match futures_lite::future::or(connecting, tunnelling).await {
            Ended::Direct(Err(error)) if direct_failure(&error).is_some() => {
                self.after_failure(error, tunnel.await)
            }
            Ended::Direct(connected) => self.conclude(connected, None),
            Ended::Tunnel(Ok(tunnel)) => Ok(self.cut_off(tunnel, DirectFailure::NoAnswer)),
            Ended::Tunnel(Err(peers)) => self.conclude(direct.await, Some(peers)),
        }
    }

    fn after_failure(
        &self,
        error: CallError,
        opened: Result<Tunnel, NoTunnel>,
    ) -> Result<EngineConnection, Unconnected> {
        match opened {
            Ok(tunnel) => {
                let failure = direct_failure(&error).unwrap_or(DirectFailure::NoAnswer);
                Ok(self.cut_off(tunnel, failure))
            }
            Err(peers) => Err(self.unconnected(error, Some(peers))),
        }
    }

    /// Records how the direct attempt ended where no peer opened a tunnel.
    fn conclude(
        &self,
        direct: Result<BufferedStream, CallError>,
        peers: Option<NoTunnel>,
    ) -> Result<EngineConnection, Unconnected> {
        let stream = direct.map_err(|error| self.unconnected(error, peers))?;
        let now = self.gateway.clock.now();
        let mut beliefs = self.gateway.beliefs();
        beliefs.engine_paths.note_direct(self.tag, now);
        Ok(EngineConnection {
            stream,
            path: EnginePath::Direct,
            instance: ConnectedInstance::AcceptedBy(Instant::now()),
            place: None,
        })
    }

    /// Records that a peer reaches the engine and this node does not.
    fn cut_off(&self, tunnel: Tunnel, failure: DirectFailure) -> EngineConnection {
        let gateway = self.gateway;
        let now = gateway.clock.now();
        let mut beliefs = gateway.beliefs();
        let paths = &mut beliefs.engine_paths;
        let noted = paths.note_cut(self.tag, failure, now);
        let engines_cut_off = paths.cut_count();
        if noted.is_new {
            beliefs.engines.forget_failures(self.instance);
        }
        drop(beliefs);
        if noted.is_new {
            slog::warn!(gateway.log, "engine cut off from this node";
                "engine" => &self.instance.0, "failure" => failure.name(),
                "peer" => tunnel.peer.address.to_string(), "engines_cut_off" => engines_cut_off);
            // Connections from before the cut would let each request run into its time-out.
            if failure == DirectFailure::NoAnswer {
                gateway.kept_connections().forget(self.instance);
            }
            gateway.engine_cut_off.notify(usize::MAX);
        }
        if noted.has_new_link_suspicion {
            slog::warn!(gateway.log, "link to engines suspected";
                "engines_cut_off" => engines_cut_off, "failure" => failure.name());
            if failure == DirectFailure::NoAnswer {
                gateway.kept_connections().forget_direct();
            }
        }
        EngineConnection::through(tunnel)
    }

    /// Records that no connection could be opened.
    fn unconnected(&self, error: CallError, peers: Option<NoTunnel>) -> Unconnected {
        let now = self.gateway.clock.now();
        let mut beliefs = self.gateway.beliefs();
        let paths = &mut beliefs.engine_paths;
        if let Some(failure) = direct_failure(&error) {
            paths.note_direct_failed(self.tag, failure, now);
        }
        if peers.as_ref().is_some_and(NoTunnel::is_answered) {
            paths.note_unreached_by_peers(self.tag, now);
        }
        Unconnected { error, peers }
    }
}

/// Waits for `future` for `limit_ms` milliseconds, and once more if the timer was so late that
/// this node itself had stood still: the connection may have been established meanwhile.
async fn within_own_time<T>(
    limit_ms: u64,
    mut future: Pin<&mut impl Future<Output = T>>,
) -> Option<T> {
    let began = Instant::now();
    let ended = within(limit_ms, future.as_mut()).await;
    let is_late = began.elapsed() > Duration::from_millis(limit_ms) * LATE_TIMER_FACTOR;
    match ended {
        None if is_late => within(limit_ms, future).await,
        ended => ended,
    }
}

/// How a direct connection failed; `None` where that says nothing against the path.
pub(super) fn direct_failure(error: &CallError) -> Option<DirectFailure> {
    error.connect_failure()?.of_path()
}
