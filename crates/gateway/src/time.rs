//! The node's steady clock, and waiting with a limit.

use ploverlift_policy::ids::Millis;
use smol::Timer;
use std::future::Future;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// A monotonic clock with a fixed start. It begins late enough that times
/// before the start can be told from its zero.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start: Instant,
}

/// What the clock shows at its start, in milliseconds.
const START_MS: u64 = 1_000_000;

impl Default for Clock {
    fn default() -> Self {
        Self {
            start: Instant::now(),
        }
    }
}

impl Clock {
    /// The present time.
    pub fn now(&self) -> Millis {
        Millis(START_MS + self.start.elapsed().as_millis() as u64)
    }
}

/// Waits for `future`, at most so long.
pub async fn within<T>(limit_ms: u64, future: impl Future<Output = T>) -> Option<T> {
    let value = async { Some(future.await) };
    let timeout = async {
        sleep(limit_ms).await;
        None
    };
    futures_lite::future::or(value, timeout).await
}

/// Waits so long.
pub async fn sleep(milliseconds: u64) {
    Timer::after(Duration::from_millis(milliseconds)).await;
}

/// The time of day in milliseconds since 1970, which only tells two lives of a node
/// apart; 0 where the clock stands before that.
pub fn unix_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |duration| duration.as_millis() as u64)
}
