//! Sentinel connections: one idle connection to each engine that sends answers without framing.
//!
//! Such an answer ends with its connection, and so does that of an engine that terminates. An
//! engine that refuses a new connection at that moment has not always terminated: it may be at
//! its limit of connections, or it leaves and has closed its listener. All connections of an
//! engine that terminates end at that moment, so another one that stays open shows that it runs.
//!
//! ```text
//! open ── closed ──▶ reconnect ── accepted ──▶ open
//!                              └─ refused ───▶ refused since then, tried again
//! ```
//!
//! All answers of an engine share its sentinel. It is a connection that was opened to check the
//! end of an earlier answer, or an idle one; another one is opened only for an answer that
//! lasts. An engine may close an idle connection at any time, so the closing alone shows nothing:
//! it is the refusal of the next one, while an answer of an engine goes on that has announced its
//! leaving, that shows a closed listener ([`decision::RefusalCause`]).

pub mod decision;
mod watch;

use crate::engine_checks::keep_connection;
use crate::engine_paths::connect::{EngineConnection, EnginePath};
use crate::kept_connections::IdleConnection;
use crate::state::Gateway;
use crate::time::{sleep, within};
use decision::SentinelState;
use event_listener::Event;
use ploverlift_balancing::catalogue::InstanceId;
use ploverlift_http1::BufferedStream;
use smol::net::TcpStream;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

/// Time for the end of a sentinel connection to arrive after the engine refused another one, in
/// milliseconds.
const END_ARRIVES_MS: u64 = 100;

/// The sentinel connection to one engine.
pub struct EngineSentinel {
    instance: InstanceId,
    address: SocketAddr,
    inner: Mutex<Inner>,
    /// Notified when the state changes or a connection is offered.
    changed: Event,
}

struct Inner {
    state: SentinelState,
    /// A handle of the open connection.
    connection: Option<TcpStream>,
    /// Whether a connection is waited for that another check opens.
    takes_offers: bool,
    offered: Option<BufferedStream>,
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

impl EngineSentinel {
    fn new(instance: &InstanceId, address: SocketAddr) -> Self {
        Self {
            instance: instance.clone(),
            address,
            inner: Mutex::new(Inner {
                state: SentinelState::Unknown,
                connection: None,
                takes_offers: true,
                offered: None,
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

    fn state(&self) -> SentinelState {
        self.lock().state
    }

    /// Whether an answer uses it.
    fn is_in_use(&self) -> bool {
        self.lock().users > 0
    }

    /// Whether no answer has used it for this time.
    fn is_unused_for(&self, duration: Duration) -> bool {
        let inner = self.lock();
        inner.users == 0 && inner.last_used.elapsed() >= duration
    }

    /// Uses the connection as the sentinel; returns it if there is one already.
    fn offer(&self, stream: BufferedStream) -> Option<BufferedStream> {
        let mut inner = self.lock();
        if !inner.takes_offers {
            return Some(stream);
        }
        inner.takes_offers = false;
        inner.state = SentinelState::Open;
        inner.connection = Some(stream.writer());
        inner.offered = Some(stream);
        drop(inner);
        self.changed.notify(usize::MAX);
        None
    }

    fn set_state(&self, state: SentinelState, connection: Option<TcpStream>) {
        let mut inner = self.lock();
        inner.state = state;
        inner.connection = connection;
        drop(inner);
        self.changed.notify(usize::MAX);
    }

    /// The state once the end of the connection would have arrived, if the engine terminated.
    async fn state_after_refusal(&self) -> SentinelState {
        let closing = async {
            loop {
                let changed = self.changed.listen();
                if self.state() != SentinelState::Open {
                    return;
                }
                changed.await;
            }
        };
        within(END_ARRIVES_MS, closing).await;
        let (state, connection) = {
            let inner = self.lock();
            (inner.state, inner.connection.clone())
        };
        // The task that watches the connection may be late.
        match connection {
            Some(connection) if !is_quiet(&connection).await => SentinelState::Unknown,
            _ => state,
        }
    }
}

/// Whether the peer has, as far as is known locally, neither sent data nor closed its side.
async fn is_quiet(connection: &TcpStream) -> bool {
    let mut byte = [0; 1];
    let peeked = smol::future::poll_once(connection.peek(&mut byte)).await;
    peeked.is_none()
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

/// Uses a new connection as the engine's sentinel if it waits for one, otherwise for the next
/// request.
pub(crate) fn keep_as_sentinel(
    gateway: &Gateway,
    instance: &InstanceId,
    connection: EngineConnection,
) {
    let sentinel = gateway.kept_connections().sentinels.get(instance).cloned();
    let path = connection.path;
    let keeps_idle = gateway.settings().attempts.keep_connection_ms > 0;
    let stream = match sentinel {
        Some(sentinel) if path == EnginePath::Direct && keeps_idle => {
            sentinel.offer(connection.stream)
        }
        _ => Some(connection.stream),
    };
    if let Some(stream) = stream {
        let connection = EngineConnection { stream, path };
        keep_connection(gateway, instance, connection, gateway.clock.now());
    }
}

/// State of an engine's sentinel right after the engine refused a connection.
pub(crate) async fn state_after_refusal(gateway: &Gateway, instance: &InstanceId) -> SentinelState {
    let sentinel = gateway.kept_connections().sentinels.get(instance).cloned();
    match sentinel {
        Some(sentinel) => sentinel.state_after_refusal().await,
        None => SentinelState::Unknown,
    }
}

/// Whether an engine that has just refused a connection keeps another one open that is idle.
pub(crate) async fn keeps_connection_open(gateway: &Gateway, instance: &InstanceId) -> bool {
    let sentinel = state_after_refusal(gateway, instance).await;
    sentinel == SentinelState::Open || keeps_idle_connection_open(gateway, instance).await
}

/// Whether an idle connection for requests is still open once its end would have arrived, if the
/// engine terminated.
pub(crate) async fn keeps_idle_connection_open(gateway: &Gateway, instance: &InstanceId) -> bool {
    let now = gateway.clock.now();
    let idle = gateway.kept_connections().direct_handles(instance, now);
    if !is_any_quiet(&idle).await {
        return false;
    }
    sleep(END_ARRIVES_MS).await;
    is_any_quiet(&idle).await
}

async fn is_any_quiet(connections: &[TcpStream]) -> bool {
    for connection in connections {
        if is_quiet(connection).await {
            return true;
        }
    }
    false
}

/// Takes an idle connection that is no tunnel, whose end might arrive later than that of another
/// connection; closed ones are discarded.
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
