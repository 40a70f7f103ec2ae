//! Sentinel connections: one idle connection to each engine that sends answers without framing.
//!
//! Such an answer ends with its connection, and so does that of an engine that terminates. Only an
//! answer to a probe tells them apart ([`crate::engine_liveness`]). An engine that is at its limit
//! of connections, or that leaves and has closed its listener, accepts no connection for a probe at
//! that moment: the sentinel is open before, and nothing but probes is sent on it.
//!
//! All answers of an engine share its sentinel. It is a connection that was opened for an earlier
//! probe, or an idle one; another one is opened only for an answer that lasts, and again where the
//! engine closes it, as engines do with idle connections.

mod watch;

use crate::engine_checks::keep_connection;
use crate::engine_paths::connect::{EngineConnection, EnginePath};
use crate::kept_connections::IdleConnection;
use crate::state::Gateway;
use crate::time::sleep;
use event_listener::Event;
use ploverlift_balancing::catalogue::InstanceId;
use ploverlift_http1::TcpConnection;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

/// Time for the ends of idle connections to arrive after the engine refused another one, in
/// milliseconds.
const END_ARRIVES_MS: u64 = 100;

/// The sentinel connection to one engine.
pub struct EngineSentinel {
    instance: InstanceId,
    address: SocketAddr,
    inner: Mutex<Inner>,
    /// Notified when the connection is set, taken or returned.
    changed: Event,
}

struct Inner {
    connection: Option<EngineConnection>,
    /// Whether a probe has taken the connection.
    is_taken: bool,
    /// Number of answers that use it.
    users: usize,
    last_used: Instant,
}

/// The use of a sentinel by one answer; ends when dropped.
pub(crate) struct SentinelUse(Arc<EngineSentinel>);

impl Drop for SentinelUse {
    fn drop(&mut self) {
        let mut inner = self.0.lock();
        inner.users -= 1;
        inner.last_used = Instant::now();
    }
}

/// Keeps the sentinel from being replaced while a probe has its connection.
pub(crate) struct TakenSentinel(Arc<EngineSentinel>);

impl Drop for TakenSentinel {
    fn drop(&mut self) {
        self.0.lock().is_taken = false;
        self.0.changed.notify(usize::MAX);
    }
}

impl EngineSentinel {
    fn new(instance: &InstanceId, address: SocketAddr) -> Self {
        Self {
            instance: instance.clone(),
            address,
            inner: Mutex::new(Inner {
                connection: None,
                is_taken: false,
                users: 0,
                last_used: Instant::now(),
            }),
            changed: Event::new(),
        }
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner
            .lock()
            .unwrap_or_else(std::sync::PoisonError::into_inner)
    }

    /// A handle of the open connection.
    fn handle(&self) -> Option<TcpConnection> {
        let inner = self.lock();
        let connection = inner.connection.as_ref()?;
        Some(connection.stream.writer())
    }

    /// Whether no answer has used it for this time.
    fn is_unused_for(&self, duration: Duration) -> bool {
        let inner = self.lock();
        inner.users == 0 && inner.last_used.elapsed() >= duration
    }

    /// Whether a connection should be opened: an answer uses the sentinel, and there is none.
    fn lacks_connection(&self) -> bool {
        let inner = self.lock();
        inner.users > 0 && inner.connection.is_none() && !inner.is_taken
    }

    /// Uses the connection as the sentinel; returns it if there is one already.
    fn offer(&self, connection: EngineConnection) -> Option<EngineConnection> {
        let mut inner = self.lock();
        if inner.connection.is_some() {
            return Some(connection);
        }
        inner.connection = Some(connection);
        drop(inner);
        self.changed.notify(usize::MAX);
        None
    }

    /// Closes the connection if the engine has closed it, or has sent on it.
    async fn discard_unless_quiet(&self) {
        let connection = self.lock().connection.take();
        if let Some(connection) = connection {
            if connection.stream.is_quiet().await {
                drop(self.offer(connection));
            }
        }
    }
}

/// Uses the engine's sentinel, or begins one, for an answer that ends with its connection.
pub(crate) fn use_sentinel(
    gateway: &Arc<Gateway>,
    instance: &InstanceId,
    address: SocketAddr,
) -> SentinelUse {
    let mut kept = gateway.kept_connections();
    let known = kept.sentinels.get(instance);
    let sentinel = match known.filter(|known| known.address == address) {
        Some(sentinel) => Arc::clone(sentinel),
        None => {
            let sentinel = Arc::new(EngineSentinel::new(instance, address));
            kept.sentinels
                .insert(instance.clone(), Arc::clone(&sentinel));
            let watching = watch::watch(Arc::clone(gateway), Arc::clone(&sentinel));
            smol::spawn(watching).detach();
            sentinel
        }
    };
    sentinel.lock().users += 1;
    SentinelUse(sentinel)
}

/// Takes the engine's sentinel connection for a probe.
pub(crate) fn take_sentinel(
    gateway: &Gateway,
    instance: &InstanceId,
) -> Option<(EngineConnection, TakenSentinel)> {
    let sentinel = gateway
        .kept_connections()
        .sentinels
        .get(instance)
        .cloned()?;
    let connection = {
        let mut inner = sentinel.lock();
        let connection = inner.connection.take()?;
        inner.is_taken = true;
        connection
    };
    Some((connection, TakenSentinel(sentinel)))
}

/// Uses a connection as the engine's sentinel if it lacks one, otherwise for the next request.
pub(crate) fn keep_as_sentinel(
    gateway: &Gateway,
    instance: &InstanceId,
    connection: EngineConnection,
) {
    let sentinel = gateway.kept_connections().sentinels.get(instance).cloned();
    let keeps_idle = gateway.settings().attempts.keep_connection_ms > 0;
    let connection = match sentinel {
        Some(sentinel) if connection.path == EnginePath::Direct && keeps_idle => {
            sentinel.offer(connection)
        }
        _ => Some(connection),
    };
    if let Some(connection) = connection {
        keep_connection(gateway, instance, connection, gateway.clock.now());
    }
}

/// Whether an engine that has just refused a connection keeps another one open that is idle, once
/// its end would have arrived if the engine terminated.
pub(crate) async fn keeps_connection_open(gateway: &Gateway, instance: &InstanceId) -> bool {
    let handles = {
        let now = gateway.clock.now();
        let mut kept = gateway.kept_connections();
        let mut handles = kept.direct_handles(instance, now);
        let sentinel = kept.sentinels.get(instance);
        handles.extend(sentinel.and_then(|sentinel| sentinel.handle()));
        handles
    };
    if !is_any_quiet(&handles).await {
        return false;
    }
    sleep(END_ARRIVES_MS).await;
    is_any_quiet(&handles).await
}

async fn is_any_quiet(connections: &[TcpConnection]) -> bool {
    for connection in connections {
        let mut byte = [0; 1];
        let peeked = smol::future::poll_once(connection.peek(&mut byte)).await;
        if peeked.is_none() {
            return true;
        }
    }
    false
}

/// Takes an idle connection that is no tunnel; closed ones are discarded.
async fn take_quiet_connection(gateway: &Gateway, instance: &InstanceId) -> Option<IdleConnection> {
    loop {
        let now = gateway.clock.now();
        let idle = gateway.kept_connections().take_oldest_direct(instance, now);
        let idle = idle?;
        if idle.is_quiet().await {
            return Some(idle);
        }
    }
}
