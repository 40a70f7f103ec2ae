//! Writes an answer to a caller.

use crate::time::within;
use ploverlift_http1::{RequestHead, ResponseHead, TcpConnection};
use smol::io::AsyncWriteExt;
use socket2::SockRef;
use std::io;
use std::time::Duration;

/// Bytes up to which a body is copied behind its head, to go out in one segment.
const MAX_COPIED_BYTES: usize = 16 * 1_024;

/// What becomes of the caller's connection after an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AfterAnswer {
    /// The connection stays open for the next request.
    Keep,
    /// The answer is complete and the connection is closed.
    Close,
    /// The answer is incomplete: the connection must be closed at once, so that the caller
    /// detects this.
    Abort,
}

/// Framing of answers that are written piece by piece.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StreamFraming {
    /// Chunked transfer coding.
    Chunked,
    /// The answer ends with the connection, for callers that know no chunks. One that breaks
    /// off is reset.
    UntilClose,
}

impl StreamFraming {
    /// The framing that the sender of this request understands.
    pub fn for_request(head: &RequestHead) -> Self {
        match head.is_http_1_1 {
            true => Self::Chunked,
            false => Self::UntilClose,
        }
    }
}

/// Writer for one answer.
pub struct CallerAnswer {
    stream: TcpConnection,
    framing: StreamFraming,
    keep_open: bool,
    has_started: bool,
    stalled_ms: u64,
}

impl CallerAnswer {
    /// Creates a writer. `keep_open` is whether the connection may stay open after the answer.
    /// A caller that accepts no byte for `stalled_ms` milliseconds counts as gone.
    pub fn new(
        stream: TcpConnection,
        framing: StreamFraming,
        keep_open: bool,
        stalled_ms: u64,
    ) -> Self {
        Self {
            stream,
            framing,
            keep_open,
            has_started: false,
            stalled_ms,
        }
    }

    /// Whether writing has started.
    pub fn has_started(&self) -> bool {
        self.has_started
    }

    /// Closes the connection after this answer.
    pub fn close_after(&mut self) {
        self.keep_open = false;
    }

    /// Writes a complete answer.
    ///
    /// # Errors
    /// When an answer has begun already, or writing to the caller fails.
    pub async fn send_complete(
        &mut self,
        mut head: ResponseHead,
        body: &[u8],
    ) -> io::Result<AfterAnswer> {
        self.begin()?;
        head.headers.set("Content-Length", body.len());
        let message = self.encode(head);
        self.write_together(message, body, b"").await?;
        Ok(self.after())
    }

    /// Writes the head of an answer of unknown length and its first bytes.
    ///
    /// # Errors
    /// When an answer has begun already, or writing to the caller fails.
    pub async fn start_stream(&mut self, mut head: ResponseHead, first: &[u8]) -> io::Result<()> {
        self.begin()?;
        head.headers.remove("Content-Length");
        match self.framing {
            StreamFraming::Chunked => head.headers.set("Transfer-Encoding", "chunked"),
            StreamFraming::UntilClose => {
                self.keep_open = false;
                // Until the answer is complete, closing the connection resets it.
                SockRef::from(&self.stream).set_linger(Some(Duration::ZERO))?;
            }
        }
        let message = self.encode(head);
        self.write_piece(message, first).await
    }

    /// Writes more bytes of an answer of unknown length.
    ///
    /// # Errors
    /// When writing to the caller fails.
    pub async fn write_chunk(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.write_piece(Vec::new(), bytes).await
    }

    /// Writes the end of a complete answer of unknown length.
    ///
    /// # Errors
    /// When writing to the caller fails.
    pub async fn finish_stream(&mut self) -> io::Result<AfterAnswer> {
        match self.framing {
            StreamFraming::Chunked => self.write(b"0\r\n\r\n").await?,
            StreamFraming::UntilClose => SockRef::from(&self.stream).set_linger(None)?,
        }
        Ok(self.after())
    }

    /// Begins the answer. Each head is written through here: a second one would reach the caller
    /// as bytes of the first one's body.
    fn begin(&mut self) -> io::Result<()> {
        match std::mem::replace(&mut self.has_started, true) {
            false => Ok(()),
            true => Err(io::Error::other("an answer has begun already")),
        }
    }

    /// Writes all bytes. Each write is limited in time: a silently dead connection accepts no
    /// byte and is never reset, so the request would occupy a slot of its engine for ever.
    async fn write(&mut self, mut bytes: &[u8]) -> io::Result<()> {
        while !bytes.is_empty() {
            let written = within(self.stalled_ms, self.stream.write(bytes)).await;
            let count = written.unwrap_or_else(|| Err(io::ErrorKind::TimedOut.into()))?;
            if count == 0 {
                return Err(io::ErrorKind::WriteZero.into());
            }
            bytes = &bytes[count..];
        }
        Ok(())
    }

    /// Writes a piece of an answer of unknown length after `start`.
    async fn write_piece(&mut self, mut start: Vec<u8>, bytes: &[u8]) -> io::Result<()> {
        match self.framing {
            StreamFraming::Chunked if !bytes.is_empty() => {
                start.extend_from_slice(format!("{:x}\r\n", bytes.len()).as_bytes());
                self.write_together(start, bytes, b"\r\n").await
            }
            _ => self.write_together(start, bytes, b"").await,
        }
    }

    /// Writes bytes between `start` and `end`: in one segment if they are few, and without a copy
    /// of them if they are many.
    async fn write_together(
        &mut self,
        mut start: Vec<u8>,
        bytes: &[u8],
        end: &[u8],
    ) -> io::Result<()> {
        if bytes.len() <= MAX_COPIED_BYTES {
            start.extend_from_slice(bytes);
            start.extend_from_slice(end);
            return self.write(&start).await;
        }
        self.write(&start).await?;
        self.write(bytes).await?;
        self.write(end).await
    }

    fn encode(&self, mut head: ResponseHead) -> Vec<u8> {
        if !self.keep_open {
            head.headers.set("Connection", "close");
        }
        head.encode()
    }

    fn after(&self) -> AfterAnswer {
        match self.keep_open {
            true => AfterAnswer::Keep,
            false => AfterAnswer::Close,
        }
    }
}
