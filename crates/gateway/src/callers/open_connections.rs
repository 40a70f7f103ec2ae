//! Open connections of callers: their limit, and which of them are idle.
//!
//! An idle connection uses a file descriptor and may be half-open. At the limit, the
//! connection that has been idle longest is closed for a new one, so that half-open
//! connections never keep callers out. Connections with a request in progress stay open.

use event_listener::{Event, EventListener};
use ploverlift_policy::ids::Millis;
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard};

/// Limits on connections of callers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConnectionLimits {
    /// Connections that may be open at the same time.
    pub max_open: usize,
    /// Idle time after which a connection may be closed for a new one, in milliseconds. A
    /// caller that has just connected is about to send its request.
    pub min_idle_ms: u64,
}

/// The open connections of a listener.
#[derive(Debug)]
pub struct OpenConnections {
    limits: ConnectionLimits,
    state: Mutex<State>,
    /// Notified whenever a connection has ended.
    pub ended: Event,
}

#[derive(Debug, Default)]
struct State {
    open: usize,
    next_idle_number: u64,
    /// Idle connections by number; the one that became idle first has the lowest number.
    idle: BTreeMap<u64, IdleEntry>,
}

#[derive(Debug)]
struct IdleEntry {
    since: Millis,
    close: Arc<Event>,
}

impl OpenConnections {
    /// Creates the state without connections.
    pub fn new(limits: ConnectionLimits) -> Arc<Self> {
        Arc::new(Self {
            limits,
            state: Mutex::default(),
            ended: Event::new(),
        })
    }

    fn state(&self) -> MutexGuard<'_, State> {
        let state = self.state.lock();
        state.unwrap_or_else(|poisoned| poisoned.into_inner())
    }

    /// Number of open connections.
    pub fn count(&self) -> usize {
        self.state().open
    }

    /// Whether one more connection may be opened.
    pub fn has_capacity(&self) -> bool {
        self.count() < self.limits.max_open
    }

    /// Counts a connection as open until the guard is dropped.
    pub fn open(self: &Arc<Self>) -> OpenConnection {
        self.state().open += 1;
        OpenConnection {
            connections: Arc::clone(self),
        }
    }

    /// Waits until no connection is open.
    pub async fn wait_until_ended(&self) {
        loop {
            let ended = self.ended.listen();
            if self.count() == 0 {
                return;
            }
            ended.await;
        }
    }

    /// Requests the connection that has been idle longest to close; returns false when none has
    /// been idle long enough.
    pub fn close_longest_idle(&self, now: Millis) -> bool {
        let mut state = self.state();
        let oldest = state.idle.first_entry();
        let longest_idle = oldest
            .filter(|idle_entry| now.since(idle_entry.get().since) >= self.limits.min_idle_ms);
        let Some(longest_idle) = longest_idle else {
            return false;
        };
        longest_idle.remove().close.notify(usize::MAX);
        true
    }
}

/// Guard of one open connection.
#[derive(Debug)]
pub struct OpenConnection {
    connections: Arc<OpenConnections>,
}

impl OpenConnection {
    /// Marks the connection as idle until the returned guard is dropped.
    pub fn mark_idle(&self, now: Millis) -> IdleConnection {
        let close = Arc::new(Event::new());
        let closing = close.listen();
        let mut state = self.connections.state();
        let number = state.next_idle_number;
        state.next_idle_number += 1;
        state.idle.insert(number, IdleEntry { since: now, close });
        IdleConnection {
            connections: Arc::clone(&self.connections),
            number,
            closing,
        }
    }
}

impl Drop for OpenConnection {
    fn drop(&mut self) {
        self.connections.state().open -= 1;
        self.connections.ended.notify(usize::MAX);
    }
}

/// Guard of a connection that has no request in progress.
pub struct IdleConnection {
    connections: Arc<OpenConnections>,
    number: u64,
    closing: EventListener,
}

impl IdleConnection {
    /// Waits until the connection should close for a new one.
    pub async fn wait_for_close_request(&mut self) {
        (&mut self.closing).await;
    }
}

impl Drop for IdleConnection {
    fn drop(&mut self) {
        self.connections.state().idle.remove(&self.number);
    }
}
