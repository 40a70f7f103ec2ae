//! One share of the budget.
//!
//! Small reservations never wait behind large ones: part of the share is theirs alone, and the
//! queue is for large ones. Who holds bytes never waits for more of them, so that no two holders
//! can wait for each other.

use crate::limits::ShareLimits;
use event_listener::Event;
use std::collections::VecDeque;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// Largest reservation that counts as small, in bytes.
pub const SMALL_BYTES: u64 = 64 * 1_024;
/// Most bytes that may be waited for, as a multiple of the share. What would wait longer is
/// turned away at once.
const MAX_WAITING_SHARES: u64 = 2;

/// The share has no room.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NoRoom;

/// One share of the budget.
#[derive(Debug)]
pub struct Share {
    limits: ShareLimits,
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    held: u64,
    waiting: VecDeque<Waiter>,
    waiting_bytes: u64,
    next_number: u64,
}

/// A large reservation that waits for room.
#[derive(Debug)]
struct Waiter {
    number: u64,
    /// Notified when the reservation is the next one and bytes were returned.
    turn: Arc<Event>,
}

impl Share {
    /// A share of which nothing is used.
    pub fn new(limits: ShareLimits) -> Arc<Self> {
        Arc::new(Self {
            limits,
            state: Mutex::default(),
        })
    }

    /// Its size.
    pub fn limits(&self) -> ShareLimits {
        self.limits
    }

    /// Bytes that are held now.
    pub fn held(&self) -> u64 {
        self.state().held
    }

    /// An empty reservation, which can grow.
    pub fn hold_none(self: &Arc<Self>) -> Held {
        Held {
            share: Arc::clone(self),
            bytes: 0,
        }
    }

    /// Reserves bytes, and waits until there is room for them: large reservations in the order of
    /// their calls. Dropping the future ends the wait. A reservation over the share gets all that
    /// is not for small ones.
    ///
    /// # Errors
    /// At once when others wait for too many bytes already, or for a small reservation when even
    /// the part for small ones is used.
    pub async fn reserve(self: &Arc<Self>, bytes: u64) -> Result<Held, NoRoom> {
        let mut held = self.hold_none();
        if bytes <= SMALL_BYTES {
            held.try_grow_to(bytes)?;
            return Ok(held);
        }
        let bytes = bytes.min(self.limits.for_large());
        let turn = Arc::new(Event::new());
        let Some(place) = self.enqueue(bytes, &turn)? else {
            held.bytes = bytes;
            return Ok(held);
        };
        loop {
            let notified = turn.listen();
            if self.take_turn(&place) {
                held.bytes = bytes;
                return Ok(held);
            }
            notified.await;
        }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Takes the bytes of a large reservation, or a place in the queue.
    fn enqueue(
        self: &Arc<Self>,
        bytes: u64,
        turn: &Arc<Event>,
    ) -> Result<Option<QueuePlace>, NoRoom> {
        let mut state = self.state();
        if state.waiting.is_empty() && self.has_room_for_large(&state, bytes) {
            state.held += bytes;
            return Ok(None);
        }
        if state.waiting_bytes + bytes > self.limits.bytes * MAX_WAITING_SHARES {
            return Err(NoRoom);
        }
        let number = state.next_number;
        state.next_number += 1;
        state.waiting_bytes += bytes;
        let turn = Arc::clone(turn);
        state.waiting.push_back(Waiter { number, turn });
        Ok(Some(QueuePlace {
            share: Arc::clone(self),
            number,
            bytes,
        }))
    }

    /// Takes the bytes of a waiting reservation if it is the next one and there is room.
    fn take_turn(&self, place: &QueuePlace) -> bool {
        let mut state = self.state();
        let first = state.waiting.front().map(|waiter| waiter.number);
        let is_due = first == Some(place.number) && self.has_room_for_large(&state, place.bytes);
        if is_due {
            state.held += place.bytes;
        }
        is_due
    }

    fn has_room_for_large(&self, state: &State, bytes: u64) -> bool {
        state.held + bytes <= self.limits.for_large()
    }

    fn take_more(&self, before: u64, bytes: u64) -> Result<(), NoRoom> {
        let mut state = self.state();
        let limit = match bytes <= SMALL_BYTES {
            true => self.limits.bytes,
            false => self.limits.for_large(),
        };
        let held = state.held - before + bytes;
        if held > limit {
            return Err(NoRoom);
        }
        state.held = held;
        Ok(())
    }

    fn give_back(&self, bytes: u64) {
        let mut state = self.state();
        state.held -= bytes;
        state.notify_first();
    }
}

impl State {
    fn notify_first(&self) {
        if let Some(waiter) = self.waiting.front() {
            waiter.turn.notify(usize::MAX);
        }
    }
}

/// A place in the queue; dropping it leaves the queue.
struct QueuePlace {
    share: Arc<Share>,
    number: u64,
    bytes: u64,
}

impl Drop for QueuePlace {
    fn drop(&mut self) {
        let mut state = self.share.state();
        state.waiting.retain(|waiter| waiter.number != self.number);
        state.waiting_bytes -= self.bytes;
        state.notify_first();
    }
}

/// Bytes that are held from a share; dropping it returns them.
#[derive(Debug)]
pub struct Held {
    share: Arc<Share>,
    bytes: u64,
}

impl Held {
    /// The number of bytes.
    pub fn bytes(&self) -> u64 {
        self.bytes
    }

    /// Reserves more bytes, up to `bytes` in all, without a wait.
    ///
    /// # Errors
    /// When the share has no room; what was held stays held.
    pub fn try_grow_to(&mut self, bytes: u64) -> Result<(), NoRoom> {
        if bytes > self.bytes {
            self.share.take_more(self.bytes, bytes)?;
            self.bytes = bytes;
        }
        Ok(())
    }

    /// Returns all but `bytes` bytes.
    pub fn shrink_to(&mut self, bytes: u64) {
        let surplus = self.bytes.saturating_sub(bytes);
        if surplus > 0 {
            self.bytes -= surplus;
            self.share.give_back(surplus);
        }
    }
}

impl Drop for Held {
    fn drop(&mut self) {
        self.share.give_back(self.bytes);
    }
}
