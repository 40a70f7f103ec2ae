//! Watches one sentinel connection and replaces it where the engine has closed it.

use super::{take_quiet_connection, EngineSentinel};
use crate::engine_checks::keep_connection;
use crate::engine_paths::connect::{connect_engine, EnginePath};
use crate::state::Gateway;
use crate::time::within;
use ploverlift_http1::TcpConnection;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Time for which an answer has lasted before a connection is opened for it, in milliseconds.
/// The probe after a shorter one opens a connection anyway.
const OPEN_AFTER_MS: u64 = 50;
/// Time for which a sentinel stays open after the last answer that used it: less than the idle
/// time-outs of most engines.
const UNUSED_FOR: Duration = Duration::from_millis(4_000);
/// Interval between two checks whether the sentinel is still used, in milliseconds.
const USE_CHECK_PERIOD_MS: u64 = 1_000;
/// Time for which a connection has lasted after which another one is opened at once.
const LASTED: Duration = Duration::from_millis(1_000);
/// Number of attempts without a pause: the first connection and its first replacement.
const ATTEMPTS_AT_ONCE: u32 = 2;
/// Pause before the next attempt, in milliseconds; it doubles with each further one.
const RETRY_PAUSE_MS: u64 = 250;
/// Maximum number of doublings of the pause.
const MAX_DOUBLINGS: u32 = 3;

/// Watches the sentinel until no answer has used it for a while.
pub(super) async fn watch(gateway: Arc<Gateway>, sentinel: Arc<EngineSentinel>) {
    if let Some(idle) = take_quiet_connection(&gateway, &sentinel.instance).await {
        // Where a probe was faster, the idle connection is not needed.
        drop(sentinel.offer(idle.into_connection()));
    }
    let offered = sentinel.changed.listen();
    if sentinel.handle().is_none() {
        within(OPEN_AFTER_MS, offered).await;
    }
    let mut attempts = 0;
    while !is_over(&gateway, &sentinel) {
        let changed = sentinel.changed.listen();
        if let Some(connection) = sentinel.handle() {
            let began = Instant::now();
            within(USE_CHECK_PERIOD_MS, watch_connection(&connection, changed)).await;
            sentinel.discard_unless_quiet().await;
            if began.elapsed() >= LASTED {
                attempts = 0;
            }
        } else if sentinel.lacks_connection() {
            within(pause_ms(attempts), changed).await;
            attempts += 1;
            if sentinel.lacks_connection() {
                open(&gateway, &sentinel).await;
            }
        } else {
            within(USE_CHECK_PERIOD_MS, changed).await;
        }
    }
}

/// Whether the watch is over; the sentinel is then removed.
fn is_over(gateway: &Gateway, sentinel: &Arc<EngineSentinel>) -> bool {
    let mut kept = gateway.kept_connections();
    if !sentinel.is_unused_for(UNUSED_FOR) {
        return false;
    }
    let registered = kept.sentinels.get(&sentinel.instance);
    if registered.is_some_and(|registered| Arc::ptr_eq(registered, sentinel)) {
        kept.sentinels.remove(&sentinel.instance);
    }
    true
}

/// Waits until the engine closes the connection or sends on it, or a probe takes it.
async fn watch_connection(connection: &TcpConnection, taken: event_listener::EventListener) {
    let closed = async {
        let mut byte = [0; 1];
        let _ = connection.peek(&mut byte).await;
    };
    futures_lite::future::or(closed, taken).await;
}

async fn open(gateway: &Arc<Gateway>, sentinel: &EngineSentinel) {
    let timeout_ms = gateway.settings().attempts.connect_timeout_ms;
    let (instance, address) = (&sentinel.instance, sentinel.address);
    let surplus = match connect_engine(gateway, instance, address, timeout_ms).await {
        Ok(opened) if opened.path == EnginePath::Direct => sentinel.offer(opened),
        // A tunnel depends on its peer as well.
        Ok(opened) => Some(opened),
        Err(unconnected) => {
            slog::debug!(gateway.log, "sentinel connection not opened";
                "engine" => &instance.0, "error" => unconnected.reason());
            None
        }
    };
    if let Some(surplus) = surplus {
        keep_connection(gateway, instance, surplus, gateway.clock.now());
    }
}

fn pause_ms(attempts: u32) -> u64 {
    match attempts.checked_sub(ATTEMPTS_AT_ONCE) {
        None => 0,
        Some(doublings) => RETRY_PAUSE_MS << doublings.min(MAX_DOUBLINGS),
    }
}
