//! Waiting with a time limit. Timers do not run while the machine is suspended, so code
//! that has waited must read the clock again before it acts.

use pin_project_lite::pin_project;
use smol::Timer;
use std::future::Future;
use std::pin::Pin;
use std::task::{ready, Context, Poll};
use std::time::Duration;

/// Waits for `future` for at most `limit_ms` milliseconds from the first poll on; `None` on
/// time-out.
pub fn within<F: Future>(limit_ms: u64, future: F) -> Within<F> {
    Within {
        future,
        limit_ms,
        timer: None,
    }
}

pin_project! {
    /// Future of [`within`]. It is no async block, since one reserves the space of the futures that
    /// it awaits several times over.
    pub struct Within<F> {
        #[pin]
        future: F,
        limit_ms: u64,
        timer: Option<Timer>,
    }
}

impl<F: Future> Future for Within<F> {
    type Output = Option<F::Output>;

    fn poll(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Self::Output> {
        let this = self.project();
        if let Poll::Ready(value) = this.future.poll(context) {
            return Poll::Ready(Some(value));
        }
        let limit = Duration::from_millis(*this.limit_ms);
        let timer = this.timer.get_or_insert_with(|| Timer::after(limit));
        ready!(Pin::new(timer).poll(context));
        Poll::Ready(None)
    }
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
