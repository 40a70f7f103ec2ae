//! Accepts connections of callers.

use super::{serve_connection, ConnectionLimits, OpenConnections};
use crate::http_call::{set_liveness_options, PeerLiveness};
use crate::planned_stop::StopPhase;
use crate::state::Gateway;
use crate::time::within;
use smol::net::{TcpListener, TcpStream};
use socket2::SockRef;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// Length of the kernel's queue of connections to accept. With the default of 128, callers
/// of a burst wait one second for their next connection attempt.
const ACCEPT_QUEUE: i32 = 1_024;
/// Idle time after which a connection may be closed for a new one, in milliseconds.
const MIN_IDLE_MS: u64 = 500;
/// Idle time of a caller's connection before the first TCP keepalive probe, and time between
/// two probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(5);
/// Number of unanswered keepalive probes after which a caller's connection is closed, on
/// kernels that do not use the time-out alone.
const KEEPALIVE_PROBES: u32 = 3;
/// Longest pause while no more connections can be accepted, in milliseconds.
const CAPACITY_WAIT_MS: u64 = 20;

/// Binds a non-blocking listener.
///
/// # Errors
/// When the address can't be bound.
pub fn bind(address: SocketAddr) -> io::Result<TcpListener> {
    let listener = std::net::TcpListener::bind(address)?;
    SockRef::from(&listener).listen(ACCEPT_QUEUE)?;
    listener.set_nonblocking(true)?;
    TcpListener::try_from(listener)
}

/// Accepts and serves connections of callers until a planned stop closes them; ends when the
/// last one has ended.
pub async fn accept_callers(gateway: Arc<Gateway>, listener: TcpListener) {
    let limits = ConnectionLimits {
        max_open: gateway.settings().callers.max_connections,
        min_idle_ms: MIN_IDLE_MS,
    };
    let connections = OpenConnections::new(limits);
    let accepting = accept_within_limits(&gateway, &listener, &connections);
    let closing = gateway.planned_stop.wait_for(StopPhase::Closing);
    futures_lite::future::or(closing, accepting).await;
    accept_queued(&gateway, &listener, &connections).await;
    // From now on the kernel refuses callers, which then connect to another node.
    drop(listener);
    connections.wait_until_ended().await;
}

/// Accepts connections until the future is dropped.
async fn accept_within_limits(
    gateway: &Arc<Gateway>,
    listener: &TcpListener,
    connections: &Arc<OpenConnections>,
) {
    loop {
        if !connections.has_capacity() {
            wait_for_capacity(gateway, connections).await;
            continue;
        }
        match listener.accept().await {
            Ok((stream, _)) => serve_accepted(gateway, stream, connections),
            Err(error) => {
                // Probably out of file descriptors: connections that end free some.
                log_not_accepted(gateway, connections, &error);
                wait_for_capacity(gateway, connections).await;
            }
        }
    }
}

/// Accepts the connections in the kernel's queue. Closing the listener would reset them,
/// although requests may have arrived on them.
async fn accept_queued(
    gateway: &Arc<Gateway>,
    listener: &TcpListener,
    connections: &Arc<OpenConnections>,
) {
    while let Some(accepted) = futures_lite::future::poll_once(listener.accept()).await {
        match accepted {
            Ok((stream, _)) => serve_accepted(gateway, stream, connections),
            Err(error) => return log_not_accepted(gateway, connections, &error),
        }
    }
}

/// Serves a connection in a task of its own, until it ends or the node does.
fn serve_accepted(gateway: &Arc<Gateway>, stream: TcpStream, connections: &Arc<OpenConnections>) {
    let (gateway, open) = (Arc::clone(gateway), connections.open());
    let liveness = caller_liveness(gateway.settings().callers.peer_timeout_ms);
    smol::spawn(async move {
        set_liveness_options(&stream, liveness);
        let serving = serve_connection(Arc::clone(&gateway), stream, open);
        let ending = gateway.planned_stop.wait_for(StopPhase::Ended);
        futures_lite::future::or(serving, ending).await;
    })
    .detach();
}

fn log_not_accepted(gateway: &Gateway, connections: &OpenConnections, error: &io::Error) {
    slog::warn!(gateway.log, "caller not accepted";
        "open" => connections.count(), "error" => error.to_string());
}

/// When the kernel considers a caller's connection dead. A caller is silent while its engine
/// works, and its link may be down for longer than one between machines of the site.
fn caller_liveness(peer_timeout_ms: u64) -> PeerLiveness {
    PeerLiveness {
        keepalive: KEEPALIVE_INTERVAL,
        probes: KEEPALIVE_PROBES,
        timeout: Duration::from_millis(peer_timeout_ms),
    }
}

/// Closes an idle connection, and waits for a short time until a connection has ended.
async fn wait_for_capacity(gateway: &Gateway, connections: &Arc<OpenConnections>) {
    let ended = connections.ended.listen();
    if connections.close_longest_idle(gateway.clock.now()) {
        gateway.metrics.connections_closed_for_room.inc();
    }
    within(CAPACITY_WAIT_MS, ended).await;
}
