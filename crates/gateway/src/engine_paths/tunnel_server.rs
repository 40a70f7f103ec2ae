//! Opens tunnels to engines for other nodes.
//!
//! A tunnel is opened only for a host of a listed node, to an engine of the catalogue that
//! takes requests, and on a direct connection: a request for a tunnel is never passed on.

use super::connect::direct_failure;
use super::tunnel_copy::copy_tunnel;
use crate::http_call::{connect, set_liveness_options, SERVER_LIVENESS};
use crate::peer_stream::{read_message, write_message, StreamError};
use crate::state::Gateway;
use crate::time::{sleep, within};
use ploverlift_balancing::engine_paths::DirectFailure;
use ploverlift_balancing::names::EngineTag;
use ploverlift_http1::TcpConnection;
use ploverlift_tunnel::messages::{
    encode_answer, TunnelAnswer, TunnelRefusal, TunnelRequest, MAX_MESSAGE_BYTES,
};
use ploverlift_wire::WireError;
use smol::net::{TcpListener, TcpStream};
use snafu::{ResultExt, Snafu};
use std::net::SocketAddr;
use std::sync::Arc;

/// Maximum time until a request for a tunnel has been read, in milliseconds.
const REQUEST_TIMEOUT_MS: u64 = 500;
/// Pause after a failed accept, in milliseconds.
const ACCEPT_RETRY_MS: u64 = 20;

/// Why a request for a tunnel was not answered.
#[derive(Debug, Snafu)]
enum ServerError {
    #[snafu(transparent)]
    Stream { source: StreamError },
    #[snafu(display("invalid request: {source}"))]
    Message { source: WireError },
    #[snafu(display("the request did not arrive in time"))]
    TimedOut,
}

/// Accepts requests for tunnels until the task is dropped.
pub async fn serve_tunnels(gateway: Arc<Gateway>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, from)) => {
                let gateway = Arc::clone(&gateway);
                smol::spawn(async move { serve_connection(&gateway, stream, from).await }).detach();
            }
            Err(error) => {
                slog::warn!(gateway.log, "tunnel connection not accepted"; "error" => error.to_string());
                sleep(ACCEPT_RETRY_MS).await;
            }
        }
    }
}

async fn serve_connection(gateway: &Arc<Gateway>, mut stream: TcpStream, from: SocketAddr) {
    set_liveness_options(&stream, SERVER_LIVENESS);
    if !gateway.tunnel_use().begin_opening() {
        gateway
            .metrics
            .paths
            .count_tunnel_answer(TunnelRefusal::Full.name());
        // The node may ask another peer whether or not this answer reaches it.
        let _ = write_message(&mut stream, &encode_answer(&Err(TunnelRefusal::Full))).await;
        return;
    }
    let opened = open(gateway, &mut stream, from).await;
    gateway
        .tunnel_use()
        .end_opening(matches!(opened, Ok(Some(_))));
    match opened {
        Ok(Some(engine)) => carry(gateway, stream.into(), engine).await,
        Ok(None) => {}
        Err(error) => {
            gateway.metrics.paths.count_tunnel_answer("invalid");
            slog::warn!(gateway.log, "request for a tunnel not answered";
                "from" => from.to_string(), "error" => error.to_string());
        }
    }
}

/// Carries an open tunnel. It counts as a request in flight, so that a planned stop waits for
/// its end.
async fn carry(gateway: &Arc<Gateway>, node: TcpConnection, engine: TcpConnection) {
    let _in_flight = gateway.request_guard();
    let end = copy_tunnel(gateway, node, engine).await;
    gateway.metrics.paths.count_tunnel_end(end.name());
    gateway.tunnel_use().close();
}

/// Reads a request and answers it; returns the connection to the engine, if it was opened.
async fn open(
    gateway: &Gateway,
    stream: &mut TcpStream,
    from: SocketAddr,
) -> Result<Option<TcpConnection>, ServerError> {
    let read = within(REQUEST_TIMEOUT_MS, read_request(stream)).await;
    let request = read.unwrap_or(Err(ServerError::TimedOut))?;
    let connected = connect_for(gateway, &request, from).await;
    let answer: TunnelAnswer = connected.as_ref().map(|_| ()).map_err(|refusal| *refusal);
    let label = match &answer {
        Ok(()) => "opened",
        Err(refusal) => refusal.name(),
    };
    gateway.metrics.paths.count_tunnel_answer(label);
    if answer == Err(TunnelRefusal::NotPermitted) {
        slog::warn!(gateway.log, "request for a tunnel from an unknown host";
            "from" => from.to_string(), "engine" => &request.engine.0);
    }
    write_message(stream, &encode_answer(&answer)).await?;
    Ok(connected.ok())
}

async fn read_request(stream: &mut TcpStream) -> Result<TunnelRequest, ServerError> {
    let message = read_message(stream, MAX_MESSAGE_BYTES).await?;
    TunnelRequest::decode(&message).context(MessageSnafu)
}

/// Opens a direct connection to the engine, if a tunnel is permitted.
async fn connect_for(
    gateway: &Gateway,
    request: &TunnelRequest,
    from: SocketAddr,
) -> Result<TcpConnection, TunnelRefusal> {
    if gateway.is_stopping() {
        return Err(TunnelRefusal::Stopping);
    }
    if !gateway.address_book().lists_host(from.ip()) {
        return Err(TunnelRefusal::NotPermitted);
    }
    let tag = EngineTag::of(&request.engine);
    let address = engine_address(gateway, request)?;
    if let Some(failure) = known_failure(gateway, tag) {
        return Err(unreachable(gateway, failure));
    }
    let timeout_ms = gateway.settings().attempts.connect_timeout_ms;
    let connected = connect(address, timeout_ms).await;
    let now = gateway.clock.now();
    match connected {
        Ok(stream) => {
            let mut beliefs = gateway.beliefs();
            beliefs.engine_paths.note_direct(tag, now);
            beliefs.losses.note_reached(&request.engine, now);
            Ok(stream.writer())
        }
        Err(error) => {
            let Some(failure) = direct_failure(&error) else {
                return Err(TunnelRefusal::Full);
            };
            let mut beliefs = gateway.beliefs();
            beliefs.engine_paths.note_direct_failed(tag, failure, now);
            drop(beliefs);
            Err(unreachable(gateway, failure))
        }
    }
}

/// The address of an engine that takes requests, as this node knows it.
fn engine_address(gateway: &Gateway, request: &TunnelRequest) -> Result<SocketAddr, TunnelRefusal> {
    let now = gateway.clock.now();
    let beliefs = gateway.beliefs();
    let engine = beliefs.engines.get(&request.engine);
    let engine = engine.ok_or(TunnelRefusal::UnknownEngine)?;
    let is_unavailable = engine.record.is_leaving
        || engine.is_misdirected(now)
        || beliefs.engines.backoff(engine, now).is_some();
    match is_unavailable {
        true => Err(TunnelRefusal::EngineUnavailable),
        false => Ok(engine.record.address),
    }
}

fn known_failure(gateway: &Gateway, engine: EngineTag) -> Option<DirectFailure> {
    let now = gateway.clock.now();
    gateway.beliefs().engine_paths.known_failure(engine, now)
}

fn unreachable(gateway: &Gateway, failure: DirectFailure) -> TunnelRefusal {
    let now = gateway.clock.now();
    TunnelRefusal::Unreachable {
        failure,
        is_link_suspected: gateway.beliefs().engine_paths.is_link_suspected(now),
    }
}
