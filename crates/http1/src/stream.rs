//! A TCP stream with a buffer of bytes that were read but not yet consumed.

use crate::error::HttpError;
use smol::io::{AsyncReadExt, AsyncWriteExt};
use smol::net::TcpStream;
use std::io;

/// Size of one read, in bytes.
const READ_BYTES: usize = 4 * 1024;

/// A TCP stream with a read buffer.
pub struct BufferedStream {
    stream: TcpStream,
    buffer: Vec<u8>,
    start: usize,
}

impl BufferedStream {
    /// Wraps a stream from which nothing has been read.
    pub fn new(stream: TcpStream) -> Self {
        Self {
            stream,
            buffer: Vec::new(),
            start: 0,
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
        let count = self.stream.read(&mut chunk).await?;
        self.buffer.extend_from_slice(&chunk[..count]);
        Ok(count)
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

    /// A second handle of the same connection, for writing while it is being
    /// read.
    pub fn writer(&self) -> TcpStream {
        self.stream.clone()
    }
}
