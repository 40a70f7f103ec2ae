//! Waits on an idle connection for its caller's next request.

use super::connection::caller_limits;
use super::connection_end::{ConnectionEnd, OpenRequest};
use super::{IdleConnection, OpenConnection};
use crate::planned_stop::StopPhase;
use crate::state::Gateway;
use crate::time::sleep;
use ploverlift_http1::BufferedStream;
use std::net::Shutdown;
use std::sync::Arc;

/// Idle time after which a stopping node closes a kept connection, in milliseconds.
const STOPPING_IDLE_MS: u64 = 1_500;
/// Time for which a node that has stopped accepting connections waits on an open one for a
/// request that is on its way, in milliseconds.
const CLOSING_IDLE_MS: u64 = 100;

/// The connection is idle and ends, or has ended.
pub(super) struct Ended;

/// Waits for the first byte of the next request, unless it has been received already.
pub(super) async fn wait_for_request(
    gateway: &Arc<Gateway>,
    connection: &mut BufferedStream,
    open: &OpenConnection,
) -> Result<(), Ended> {
    if !connection.pending().is_empty() {
        return Ok(());
    }
    let idle = open.mark_idle(gateway.clock.now());
    wait_for_bytes(gateway, connection, idle).await
}

/// Waits for the first byte of the next request. The wait is shorter when the node is
/// stopping, or needs the connection's slot for other callers.
async fn wait_for_bytes(
    gateway: &Arc<Gateway>,
    connection: &mut BufferedStream,
    mut idle: IdleConnection,
) -> Result<(), Ended> {
    let filling = async {
        match connection.fill().await {
            Ok(count) if count > 0 => Received::Bytes,
            _ => Received::End,
        }
    };
    let idling = async {
        let stop_began = gateway.stop_began.listen();
        if !gateway.is_stopping() {
            futures_lite::future::or(stop_began, wait_for_idle_timeout(gateway)).await;
        }
        if gateway.is_stopping() {
            sleep(STOPPING_IDLE_MS).await;
        }
        Received::Nothing
    };
    let close_requested = async {
        idle.wait_for_close_request().await;
        Received::Nothing
    };
    let closing = async {
        gateway.planned_stop.wait_for(StopPhase::Closing).await;
        sleep(CLOSING_IDLE_MS).await;
        Received::Nothing
    };
    let ending = futures_lite::future::or(idling, close_requested);
    let ending = futures_lite::future::or(ending, closing);
    // The read is tried first: bytes that have arrived are never left unread for a time-out
    // that expired meanwhile.
    match futures_lite::future::or(filling, ending).await {
        Received::Bytes => Ok(()),
        Received::End => Err(Ended),
        Received::Nothing => {
            close_idle(gateway, connection).await;
            Err(Ended)
        }
    }
}

/// Waits for the idle time-out: that of the configuration in force now or, if that is longer,
/// of the one in force at the end of the wait.
async fn wait_for_idle_timeout(gateway: &Gateway) {
    let since = gateway.clock.now();
    let mut timeout_ms = caller_limits(gateway).idle_timeout_ms;
    loop {
        let idle_ms = gateway.clock.now().since(since);
        if idle_ms < timeout_ms {
            sleep(timeout_ms - idle_ms).await;
            continue;
        }
        timeout_ms = caller_limits(gateway).idle_timeout_ms;
        if idle_ms >= timeout_ms {
            return;
        }
    }
}

/// What an idle connection has received.
enum Received {
    Bytes,
    /// The caller has closed or reset the connection.
    End,
    Nothing,
}

/// Closes an idle connection. A request that arrives at the same moment is not read: callers
/// send it again when they know that it was not.
async fn close_idle(gateway: &Arc<Gateway>, connection: &BufferedStream) {
    let _ = connection.writer().shutdown(Shutdown::Write);
    if connection.has_unread_bytes().await {
        OpenRequest::begin(gateway).end(ConnectionEnd::ClosedUnread);
    }
}
