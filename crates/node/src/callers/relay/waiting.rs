//! Waiting for a back end, a deadline and the caller at once.

use super::Relay;
use crate::callers::body_channel::BodyChunk;
use crate::callers::events::KEEP_ALIVE;
use async_channel::Sender;
use futures_lite::future;
use ploverlift_policy::request::STREAM_IDLE_MS;
use smol::Timer;
use std::future::Future;
use std::time::Duration;

/// Pause of an engine after which the caller is sent a comment.
const KEEP_ALIVE_PERIOD: Duration = Duration::from_millis(1_000);

/// Why the waiting ended.
pub enum Waited<T> {
    /// The back end has answered.
    Ready(T),
    /// The deadline for the first byte passed, or an answer that has begun was
    /// silent for too long.
    DeadlinePassed,
    /// The caller has hung up.
    CallerGone,
}

impl Relay {
    /// Waits for `work` until the deadline for the first byte, or for as long as
    /// an answer that has `begun` may be silent, and until the caller hangs up. A claimed request
    /// goes on without its caller: its answer is recorded for the next try.
    pub(super) async fn wait<T>(&self, work: impl Future<Output = T>, begun: bool) -> Waited<T> {
        let ready = async { Waited::Ready(work.await) };
        let late = async {
            let remaining = if begun {
                STREAM_IDLE_MS
            } else {
                self.deadline.since(self.node.clock.now())
            };
            Timer::after(Duration::from_millis(remaining)).await;
            Waited::DeadlinePassed
        };
        let gone = async {
            if self.claim.is_some() {
                future::pending::<()>().await;
            }
            match &self.body {
                Some(body) => keep_alive_until_gone(body).await,
                None => self.start.closed().await,
            }
            Waited::CallerGone
        };
        future::or(ready, future::or(late, gone)).await
    }
}

async fn keep_alive_until_gone(body: &Sender<BodyChunk>) {
    let closed = async { body.closed().await };
    let comments = async {
        loop {
            Timer::after(KEEP_ALIVE_PERIOD).await;
            let comment = BodyChunk::Bytes(KEEP_ALIVE.to_vec());
            if body.send(comment).await.is_err() {
                return;
            }
        }
    };
    future::or(closed, comments).await;
}
