//! A TCP stream with a buffer of bytes that were read but not yet consumed.

use crate::connection::TcpConnection;
use crate::error::HttpError;
use crate::turns::ReadingTurns;
use smol::io::{AsyncRead, AsyncWriteExt};
use std::future::poll_fn;
use std::io;
use std::pin::Pin;

/// Size of one read, in bytes.
const READ_BYTES: usize = 4 * 1024;
/// Size of one read of bytes that are discarded, in bytes.
const DISCARDED_BYTES: usize = 64 * 1024;

/// Extracts the payload from the bytes of a connection that frames it.
pub trait PayloadDecoder: Send + Sync {
    /// Decodes the next bytes of the connection and appends their payload.
    ///
    /// # Errors
    /// When the bytes are not valid.
    fn decode(&mut self, raw: &[u8], payload: &mut Vec<u8>) -> io::Result<()>;

    /// Whether the sender has ended the payload regularly.
    fn is_ended(&self) -> bool;

    /// Whether another message may be sent on the connection.
    fn may_be_reused(&self) -> bool;
}

/// A TCP stream with a read buffer. A task that reads what a fast peer sends lets other tasks
/// run from time to time.
pub struct BufferedStream {
    stream: TcpConnection,
    turns: ReadingTurns,
    buffer: Vec<u8>,
    start: usize,
    /// Set where what is read is framed.
    decoder: Option<Box<dyn PayloadDecoder>>,
}

impl BufferedStream {
    /// Wraps a stream from which nothing has been read.
    pub fn new(stream: impl Into<TcpConnection>) -> Self {
        Self {
            stream: stream.into(),
            turns: ReadingTurns::default(),
            buffer: Vec::new(),
            start: 0,
            decoder: None,
        }
    }

    /// Wraps a stream from which nothing has been read, and whose received bytes are
    /// framed. What is written is not.
    pub fn with_decoder(
        stream: impl Into<TcpConnection>,
        decoder: Box<dyn PayloadDecoder>,
    ) -> Self {
        Self {
            decoder: Some(decoder),
            ..Self::new(stream)
        }
    }

    /// Bytes that were read but not yet consumed.
    pub fn pending(&self) -> &[u8] {
        &self.buffer[self.start..]
    }

    /// Marks pending bytes as consumed. The buffer is freed with the last of
    /// them, so that an idle connection holds no memory.
    pub fn consume(&mut self, count: usize) {
        self.start += count;
        if self.start >= self.buffer.len() {
            self.buffer = Vec::new();
            self.start = 0;
        }
    }

    /// Reads more from the peer; returns 0 when the peer closed its side.
    ///
    /// # Errors
    /// Errors of the operating system.
    pub async fn fill(&mut self) -> io::Result<usize> {
        if self.start > 0 {
            self.buffer.drain(..self.start);
            self.start = 0;
        }
        let mut chunk = [0; READ_BYTES];
        if self.decoder.is_some() {
            return self.fill_decoded(&mut chunk).await;
        }
        let count = self.read_some(&mut chunk).await?;
        self.buffer.extend_from_slice(&chunk[..count]);
        Ok(count)
    }

    /// Reads and discards bytes, pending ones included; returns 0 when the peer closed its side.
    ///
    /// # Errors
    /// Errors of the operating system.
    pub async fn discard(&mut self) -> io::Result<usize> {
        self.consume(self.pending().len());
        poll_fn(|context| {
            let mut chunk = [0; DISCARDED_BYTES];
            Pin::new(&mut self.stream).poll_read(context, &mut chunk)
        })
        .await
    }

    /// Reads what has arrived, or waits until something does.
    async fn read_some(&mut self, chunk: &mut [u8]) -> io::Result<usize> {
        self.turns.take().await;
        let mut has_waited = false;
        let reading = poll_fn(|context| {
            let read = Pin::new(&mut self.stream).poll_read(context, chunk);
            has_waited |= read.is_pending();
            read
        });
        let read = reading.await;
        if has_waited {
            self.turns.note_wait();
        }
        self.turns.note_read(*read.as_ref().unwrap_or(&0));
        read
    }

    /// Reads until there is payload, or the payload has ended.
    async fn fill_decoded(&mut self, chunk: &mut [u8]) -> io::Result<usize> {
        let before = self.buffer.len();
        let has_ended = |stream: &Self| {
            let decoder = stream.decoder.as_ref();
            decoder.is_none_or(|decoder| decoder.is_ended())
        };
        while self.buffer.len() == before && !has_ended(self) {
            let count = self.read_some(chunk).await?;
            if count == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
            if let Some(decoder) = &mut self.decoder {
                decoder.decode(&chunk[..count], &mut self.buffer)?;
            }
        }
        Ok(self.buffer.len() - before)
    }

    /// Reads more within an incomplete message.
    ///
    /// # Errors
    /// [`HttpError::Truncated`] when the peer closed its side, otherwise errors
    /// of the operating system.
    pub async fn fill_message(&mut self) -> Result<(), HttpError> {
        match self.fill().await? {
            0 => Err(HttpError::Truncated),
            _ => Ok(()),
        }
    }

    /// Writes all bytes.
    ///
    /// # Errors
    /// Errors of the operating system.
    pub async fn write_all(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes).await
    }

    /// Whether the peer has, as far as is known locally, neither sent more data
    /// nor closed its side.
    pub async fn is_quiet(&self) -> bool {
        let mut byte = [0; 1];
        let peeked = smol::future::poll_once(self.stream.peek(&mut byte)).await;
        self.pending().is_empty() && peeked.is_none()
    }

    /// Waits until the peer sends something or ends the connection.
    pub async fn until_input(&self) {
        let mut byte = [0; 1];
        // An error ends the connection as well.
        let _ = self.stream.peek(&mut byte).await;
    }

    /// Whether the peer has sent bytes that were not read yet, as far as is known locally.
    pub async fn has_unread_bytes(&self) -> bool {
        let mut byte = [0; 1];
        let peeked = smol::future::poll_once(self.stream.peek(&mut byte)).await;
        matches!(peeked, Some(Ok(count)) if count > 0)
    }

    /// Whether another message may be sent on the connection, as far as the peer has
    /// announced.
    pub fn may_be_reused(&self) -> bool {
        let decoder = self.decoder.as_ref();
        decoder.is_none_or(|decoder| decoder.may_be_reused())
    }

    /// A second handle of the same connection, for writing while it is being
    /// read. A failure that it gets is an error for this reader too.
    pub fn writer(&self) -> TcpConnection {
        self.stream.clone()
    }
}
