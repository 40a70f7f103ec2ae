//! Open connections of callers: how many there may be, and which of them rest.
//!
//! A connection that carries no request holds a descriptor, and may have fallen silent
//! for good. At the limit the one that has rested longest is closed to make room, so
//! that half-open connections never keep callers out. Connections with a request under
//! way are left alone.

use event_listener::{Event, EventListener};
use ploverlift_policy::ids::Millis;
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard};

/// Limits on connections of callers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConnectionLimits {
    /// Connections that may be open at the same time.
    pub max_open: usize,
    /// Rest after which a connection may be closed to make room, in milliseconds. A
    /// caller that has just connected is about to send its request.
    pub min_idle_ms: u64,
}

/// Counts connections.
#[derive(Debug)]
pub struct OpenConnections {
    limits: ConnectionLimits,
    state: Mutex<State>,
    /// Told whenever a connection has ended.
    pub ended: Event,
}

#[derive(Debug, Default)]
struct State {
    open: usize,
    next_idle_number: u64,
    /// Resting connections; the one that has rested longest is first.
    idle: BTreeMap<u64, IdleEntry>,
}

#[derive(Debug)]
struct IdleEntry {
    since: Millis,
    close: Arc<Event>,
}

impl OpenConnections {
    /// No connections yet.
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

    /// Connections that are open.
    pub fn count(&self) -> usize {
        self.state().open
    }

    /// Whether one more connection may be opened.
    pub fn has_capacity(&self) -> bool {
        self.count() < self.limits.max_open
    }

    /// Counts a connection until the guard is dropped.
    pub fn open(self: &Arc<Self>) -> OpenConnection {
        self.state().open += 1;
        OpenConnection {
            connections: Arc::clone(self),
        }
    }

    /// Asks the connection that has rested longest to close; false when none has rested
    /// long enough.
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

/// One open connection.
#[derive(Debug)]
pub struct OpenConnection {
    connections: Arc<OpenConnections>,
}

impl OpenConnection {
    /// The connection carries no request until the rest is dropped.
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

/// A connection that carries no request.
pub struct IdleConnection {
    connections: Arc<OpenConnections>,
    number: u64,
    closing: EventListener,
}

impl IdleConnection {
    /// Waits until the connection has to make room.
    pub async fn wait_for_close_request(&mut self) {
        (&mut self.closing).await;
    }
}

impl Drop for IdleConnection {
    fn drop(&mut self) {
        self.connections.state().idle.remove(&self.number);
    }
}
