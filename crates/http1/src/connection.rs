//! A TCP connection whose handles share the record of its failure.
//!
//! The operating system reports the failure of a connection (a reset, a time-out, an unreachable
//! host) to one operation only: the next read returns 0, as it does at a regular end. Where a
//! connection is written while it is read, the write may get the error. Each operation therefore
//! records it, and no read returns 0 afterwards.
//!
//! | first error | reads afterwards |
//! | --- | --- |
//! | a broken pipe: the peer had ended its side regularly, or this side was shut down | what was received, then 0 |
//! | any other | what was received, then the error |

use smol::io::{AsyncRead, AsyncWrite};
use smol::net::TcpStream;
use std::future::{poll_fn, Future};
use std::io;
use std::net::Shutdown;
use std::os::fd::{AsFd, BorrowedFd};
use std::pin::{pin, Pin};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{ready, Context, Poll};

/// A handle of a TCP connection.
#[derive(Clone, Debug)]
pub struct TcpConnection {
    stream: TcpStream,
    failure: SharedFailure,
}

/// The record that all handles of a connection share.
#[derive(Clone, Debug, Default)]
struct SharedFailure(Arc<Mutex<RecordedFailure>>);

impl SharedFailure {
    /// Held during each operation: an error that another thread's operation has taken is recorded
    /// before a read here can return 0 because of it.
    fn lock(&self) -> MutexGuard<'_, RecordedFailure> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// The failure of a connection, once an operation has reported it.
#[derive(Debug, Default)]
struct RecordedFailure(Option<io::ErrorKind>);

/// Whether an error shows that the connection has failed. A broken pipe comes first only after the
/// peer, or this side, had ended it regularly; an interrupted operation was not carried out.
fn is_failure(kind: io::ErrorKind) -> bool {
    !matches!(kind, io::ErrorKind::BrokenPipe | io::ErrorKind::Interrupted)
}

impl RecordedFailure {
    /// Records the failure that an operation has reported.
    fn record<T>(&mut self, result: &io::Result<T>) {
        if let Err(error) = result {
            let kind = Some(error.kind()).filter(|kind| is_failure(*kind));
            self.0 = self.0.or(kind);
        }
    }

    /// The result of a read, in which an end after the failure is an error.
    fn check_read(&mut self, result: io::Result<usize>) -> io::Result<usize> {
        self.record(&result);
        match (result, self.0) {
            (Ok(0), Some(kind)) => {
                let reason = format!("the connection had failed: {kind}");
                Err(io::Error::new(kind, reason))
            }
            (result, _) => result,
        }
    }
}

impl From<TcpStream> for TcpConnection {
    /// The first handle of a connection. Operations on other handles of `stream` are not recorded.
    fn from(stream: TcpStream) -> Self {
        Self {
            stream,
            failure: SharedFailure::default(),
        }
    }
}

impl TcpConnection {
    /// Waits until bytes have arrived or the peer has ended its side, and copies them without
    /// consuming them; returns 0 at the regular end.
    ///
    /// # Errors
    /// Errors of the operating system, and the failure of the connection.
    pub async fn peek(&self, bytes: &mut [u8]) -> io::Result<usize> {
        let mut peeking = pin!(self.stream.peek(bytes));
        poll_fn(|context| {
            let mut failure = self.failure.lock();
            let peeked = ready!(peeking.as_mut().poll(context));
            Poll::Ready(failure.check_read(peeked))
        })
        .await
    }

    /// Ends this side, or both sides, of the connection.
    ///
    /// # Errors
    /// Errors of the operating system.
    pub fn shutdown(&self, how: Shutdown) -> io::Result<()> {
        self.stream.shutdown(how)
    }
}

impl AsyncRead for TcpConnection {
    fn poll_read(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let Self { stream, failure } = self.get_mut();
        let mut failure = failure.lock();
        let read = ready!(Pin::new(stream).poll_read(context, bytes));
        Poll::Ready(failure.check_read(read))
    }
}

impl AsyncWrite for TcpConnection {
    fn poll_write(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let Self { stream, failure } = self.get_mut();
        let mut failure = failure.lock();
        let written = ready!(Pin::new(stream).poll_write(context, bytes));
        failure.record(&written);
        Poll::Ready(written)
    }

    fn poll_flush(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.get_mut().stream).poll_flush(context)
    }

    fn poll_close(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.get_mut().stream).poll_close(context)
    }
}

impl AsFd for TcpConnection {
    fn as_fd(&self) -> BorrowedFd<'_> {
        self.stream.as_fd()
    }
}
