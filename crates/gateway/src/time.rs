//! Waiting with a limit. Timers stand still while the machine is suspended: whoever waited
//! looks at the clock again before it acts.

use smol::Timer;
use std::future::Future;
use std::time::Duration;

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
