//! Watches one sentinel connection and replaces it where the engine has closed it.

use super::decision::SentinelState;
use super::{take_quiet_connection, EngineSentinel};
use crate::engine_checks::keep_connection;
use crate::engine_ends::has_ended;
use crate::engine_paths::connect::{connect_engine, EnginePath};
use crate::state::Gateway;
use crate::time::{sleep, within};
use ploverlift_http1::BufferedStream;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Time for which an answer has lasted before a connection is opened for it, in milliseconds.
/// The check of the end of a shorter one opens a connection anyway.
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

/// How the watch of an open connection ended.
#[derive(PartialEq, Eq)]
enum WatchEnd {
    Closed,
    Unused,
}

/// Watches the sentinel until no answer has used it for a while.
pub(super) async fn watch(gateway: Arc<Gateway>, sentinel: Arc<EngineSentinel>) {
    run(&gateway, &sentinel).await;
    let mut kept = gateway.kept_connections();
    let registered = kept.sentinels.get(&sentinel.instance);
    if registered.is_some_and(|registered| Arc::ptr_eq(registered, &sentinel)) {
        kept.sentinels.remove(&sentinel.instance);
    }
}

async fn run(gateway: &Arc<Gateway>, sentinel: &EngineSentinel) {
    if let Some(idle) = take_quiet_connection(gateway, &sentinel.instance).await {
        // Where another check was faster, the idle connection is not needed.
        drop(sentinel.offer(idle.into_stream()));
    }
    let mut connection = wait_for_offer(sentinel).await;
    if connection.is_none() && !sentinel.is_in_use() {
        return;
    }
    let mut attempts = 0;
    loop {
        if let Some(stream) = connection.take() {
            let began = Instant::now();
            if watch_connection(sentinel, &stream).await == WatchEnd::Unused {
                return;
            }
            sentinel.set_state(SentinelState::Unknown, None);
            if began.elapsed() >= LASTED {
                attempts = 0;
            }
        }
        sleep(pause_ms(attempts)).await;
        attempts += 1;
        if sentinel.is_unused_for(UNUSED_FOR) {
            return;
        }
        let timeout_ms = gateway.settings().attempts.connect_timeout_ms;
        let (instance, address) = (&sentinel.instance, sentinel.address);
        match connect_engine(gateway, instance, address, timeout_ms).await {
            // An engine that accepts connections needs no watch until its next answer.
            Ok(opened) if !sentinel.is_in_use() => {
                keep_connection(gateway, instance, opened, gateway.clock.now());
                return;
            }
            Ok(opened) if opened.path == EnginePath::Direct => connection = Some(opened.stream),
            // The end of a tunnel may arrive later than that of a direct connection.
            Ok(opened) => {
                keep_connection(gateway, instance, opened, gateway.clock.now());
                sentinel.set_state(SentinelState::Unknown, None);
            }
            Err(unconnected) if has_ended(&unconnected) => note_refused(gateway, sentinel),
            Err(_) => sentinel.set_state(SentinelState::Unknown, None),
        }
    }
}

/// Waits for the connection of another check, for the time after which one is opened for the
/// sentinel itself.
async fn wait_for_offer(sentinel: &EngineSentinel) -> Option<BufferedStream> {
    let offered = async {
        loop {
            let changed = sentinel.changed.listen();
            if !sentinel.lock().takes_offers {
                return;
            }
            changed.await;
        }
    };
    within(OPEN_AFTER_MS, offered).await;
    let mut inner = sentinel.lock();
    inner.takes_offers = false;
    inner.offered.take()
}

/// Waits until the engine closes the connection or sends on it, or the sentinel is not used any
/// more.
async fn watch_connection(sentinel: &EngineSentinel, stream: &BufferedStream) -> WatchEnd {
    let connection = stream.writer();
    sentinel.set_state(SentinelState::Open, Some(connection.clone()));
    loop {
        let mut byte = [0; 1];
        let peeking = connection.peek(&mut byte);
        if within(USE_CHECK_PERIOD_MS, peeking).await.is_some() {
            return WatchEnd::Closed;
        }
        if sentinel.is_unused_for(UNUSED_FOR) {
            return WatchEnd::Unused;
        }
    }
}

/// Records a refused connection; the first of several counts.
fn note_refused(gateway: &Gateway, sentinel: &EngineSentinel) {
    if matches!(sentinel.state(), SentinelState::Refused { .. }) {
        return;
    }
    let since = Instant::now();
    sentinel.set_state(SentinelState::Refused { since }, None);
    slog::info!(gateway.log, "engine refuses the sentinel connection";
        "engine" => &sentinel.instance.0, "in_use" => sentinel.is_in_use());
}

fn pause_ms(attempts: u32) -> u64 {
    match attempts.checked_sub(ATTEMPTS_AT_ONCE) {
        None => 0,
        Some(doublings) => RETRY_PAUSE_MS << doublings.min(MAX_DOUBLINGS),
    }
}
