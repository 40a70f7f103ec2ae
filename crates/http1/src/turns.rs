//! Turns of tasks that read from fast peers.
//!
//! A read that finds bytes never waits, so a task that reads in a loop would keep its thread for
//! as long as the peer sends: no other task would run, and no time limit expire.

use crate::limits::MESSAGE_LIMITS;

/// What a task has read since it last waited or let other tasks run.
#[derive(Clone, Copy, Debug, Default)]
pub struct ReadingTurns {
    /// Bytes read in this turn.
    bytes: usize,
}

impl ReadingTurns {
    /// Lets other tasks run if this one has read its share. To be awaited before each read.
    pub async fn take(&mut self) {
        if self.bytes >= MESSAGE_LIMITS.turn_bytes {
            self.bytes = 0;
            smol::future::yield_now().await;
        }
    }

    /// The task has waited for bytes, so others could run.
    pub fn note_wait(&mut self) {
        self.bytes = 0;
    }

    /// The task has read bytes.
    pub fn note_read(&mut self, count: usize) {
        self.bytes += count;
    }
}
