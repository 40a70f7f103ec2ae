//! Waiting with a time limit. Timers do not run while the machine is suspended, so code
//! that has waited must read the clock again before it acts.

use smol::Timer;
use std::future::Future;
use std::time::Duration;

/// Waits for `future` for at most `limit_ms` milliseconds; `None` on time-out.
pub async fn within<T>(limit_ms: u64, future: impl Future<Output = T>) -> Option<T> {
    let value = async { Some(future.await) };
    let timeout = async {
        sleep(limit_ms).await;
        None
    };
    futures_lite::future::or(value, timeout).await
}

/// Like [`within`], but `None` at once when there is no time left: a loop of reads that never wait
/// would otherwise outlast its limit.
pub async fn within_time_left<T>(limit_ms: u64, future: impl Future<Output = T>) -> Option<T> {
    match limit_ms {
        0 => None,
        limit_ms => within(limit_ms, future).await,
    }
}

/// Waits for the given number of milliseconds.
pub async fn sleep(milliseconds: u64) {
    Timer::after(Duration::from_millis(milliseconds)).await;
}
