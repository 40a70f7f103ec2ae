//! Copies the bytes of an open tunnel between the node that asked for it and the engine.
//!
//! When either side ends, the other one is closed at once: a caller that leaves cancels its
//! request at the engine, whatever the path.

use crate::state::Gateway;
use crate::time::{sleep, within};
use futures_lite::{AsyncReadExt, AsyncWriteExt};
use ploverlift_http1::{ReadingTurns, TcpConnection};
use ploverlift_tunnel::framing::{header, CLOSING, END, MAX_PAYLOAD_BYTES};
use socket2::SockRef;
use std::io;
use std::time::Duration;

/// Maximum wait for the node to close its side after the engine has closed its connection, in
/// milliseconds.
const CLOSE_TIMEOUT_MS: u64 = 1_000;

/// How a tunnel ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum TunnelEnd {
    /// The node closed its connection.
    ByNode,
    /// The engine closed its connection regularly.
    ByEngine,
    /// One of the connections broke.
    Broken,
}

impl TunnelEnd {
    /// Label for metrics.
    pub(super) fn name(self) -> &'static str {
        match self {
            Self::ByNode => "closed_by_node",
            Self::ByEngine => "closed_by_engine",
            Self::Broken => "broken",
        }
    }
}

/// Copies bytes in both directions until one side ends, and closes both.
pub(super) async fn copy_tunnel(
    gateway: &Gateway,
    node: TcpConnection,
    engine: TcpConnection,
) -> TunnelEnd {
    let requests = copy_requests(gateway, node.clone(), engine.clone());
    let answers = copy_answers(gateway, engine.clone(), node.clone());
    let end = futures_lite::future::or(requests, answers).await;
    if end == TunnelEnd::Broken {
        // A regular close could be taken for the end of an answer without a length.
        reset(&node);
    }
    end
}

/// Copies the node's bytes to the engine as they are.
async fn copy_requests(
    gateway: &Gateway,
    mut node: TcpConnection,
    mut engine: TcpConnection,
) -> TunnelEnd {
    let mut buffer = vec![0; MAX_PAYLOAD_BYTES];
    let mut is_writable = true;
    let mut turns = ReadingTurns::default();
    loop {
        turns.take().await;
        match node.read(&mut buffer).await {
            Ok(0) => return TunnelEnd::ByNode,
            Err(_) => return TunnelEnd::Broken,
            Ok(count) => {
                turns.note_read(count);
                pace(gateway, count).await;
                // An engine that has stopped reading may have answered: the other direction
                // decides, and gets the failure of the connection as well.
                is_writable = is_writable && engine.write_all(&buffer[..count]).await.is_ok();
            }
        }
    }
}

/// What happened next on the engine's side of a tunnel.
enum EngineEvent {
    Read(io::Result<usize>),
    Stopping,
}

/// Copies the engine's bytes to the node in frames, and announces the shutdown of this node.
async fn copy_answers(
    gateway: &Gateway,
    mut engine: TcpConnection,
    mut node: TcpConnection,
) -> TunnelEnd {
    let mut buffer = vec![0; MAX_PAYLOAD_BYTES];
    let mut has_announced = false;
    let mut turns = ReadingTurns::default();
    loop {
        turns.take().await;
        let reading = async { EngineEvent::Read(engine.read(&mut buffer).await) };
        let stopping = async {
            until_stopping(gateway, has_announced).await;
            EngineEvent::Stopping
        };
        let written = match futures_lite::future::or(reading, stopping).await {
            EngineEvent::Stopping => {
                has_announced = true;
                node.write_all(&CLOSING).await
            }
            EngineEvent::Read(Err(_)) => return TunnelEnd::Broken,
            EngineEvent::Read(Ok(0)) => return end_regularly(node).await,
            EngineEvent::Read(Ok(count)) => {
                turns.note_read(count);
                pace(gateway, count).await;
                let frame = [header(count).as_slice(), &buffer[..count]].concat();
                node.write_all(&frame).await
            }
        };
        if written.is_err() {
            return TunnelEnd::Broken;
        }
    }
}

/// Announces that the engine has closed its connection. Closing while bytes of the node are
/// unread would reset the connection and lose the announcement.
async fn end_regularly(mut node: TcpConnection) -> TunnelEnd {
    if node.write_all(&END).await.is_err() {
        return TunnelEnd::Broken;
    }
    // An error means that the node has closed the connection.
    let _ = node.shutdown(std::net::Shutdown::Write);
    let mut unread = [0; 1_024];
    let draining = async {
        let mut turns = ReadingTurns::default();
        while let Ok(count @ 1..) = node.read(&mut unread).await {
            turns.note_read(count);
            turns.take().await;
        }
    };
    within(CLOSE_TIMEOUT_MS, draining).await;
    TunnelEnd::ByEngine
}

async fn until_stopping(gateway: &Gateway, has_announced: bool) {
    if has_announced {
        std::future::pending::<()>().await;
    }
    let began = gateway.stop_began.listen();
    if !gateway.is_stopping() {
        began.await;
    }
}

/// Counts bytes towards the node's limit, and waits while it is exceeded.
async fn pace(gateway: &Gateway, count: usize) {
    let now = gateway.clock.now();
    gateway.metrics.paths.tunnel_bytes.inc_by(count as u64);
    let wait_ms = gateway.tunnel_use().pass_bytes(count, now);
    if wait_ms > 0 {
        sleep(wait_ms).await;
    }
}

fn reset(stream: &TcpConnection) {
    // An error means that the connection is already closed.
    let _ = SockRef::from(stream).set_linger(Some(Duration::ZERO));
}
