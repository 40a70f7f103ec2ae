//! The head and body of a back end's HTTP/1.1 answer.

use smol::io::AsyncReadExt;
use smol::net::TcpStream;
use std::io;

/// Largest head that is accepted, in bytes.
const MAX_HEAD_BYTES: usize = 64 * 1024;
/// Headers that are accepted.
const MAX_HEADERS: usize = 64;
/// Size of one read from the connection, in bytes.
const READ_BYTES: usize = 2 * 1024;
/// Longest line with the length of a chunk, in bytes.
const MAX_CHUNK_LINE_BYTES: usize = 256;

/// The head of an answer.
#[derive(Clone, Debug, Default)]
pub struct AnswerHead {
    /// HTTP status.
    pub status: u16,
    headers: Vec<(String, String)>,
}

impl AnswerHead {
    /// The value of a header, by its lower-case name.
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut headers = self.headers.iter();
        let (_, value) = headers.find(|(known, _)| known == name)?;
        Some(value)
    }
}

/// Where in the body the reader is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Position {
    /// So many bytes are left of a body with a length.
    Length(u64),
    /// The length of the next chunk follows.
    ChunkHead,
    /// So many bytes are left of a chunk.
    Chunk(u64),
    /// The line end after a chunk follows.
    ChunkEnd,
    /// The body lasts until the connection is closed.
    UntilClose,
    /// The body is whole.
    End,
}

/// The body of an answer. Dropping it closes the connection.
pub struct EngineBody {
    stream: TcpStream,
    buffer: Vec<u8>,
    start: usize,
    position: Position,
}

/// Reads the head of an answer; interim answers (1xx) are passed over.
///
/// # Errors
/// When the connection breaks or the head does not fit.
pub async fn read_head(mut stream: TcpStream) -> io::Result<(AnswerHead, EngineBody)> {
    let mut buffer = Vec::with_capacity(READ_BYTES);
    let mut chunk = [0; READ_BYTES];
    loop {
        if let Some((head, length)) = parse_head(&buffer)? {
            if (100..200).contains(&head.status) {
                buffer.drain(..length);
                continue;
            }
            let position = position_of(&head)?;
            let body = EngineBody {
                stream,
                buffer,
                start: length,
                position,
            };
            return Ok((head, body));
        }
        if buffer.len() > MAX_HEAD_BYTES {
            return Err(invalid("the head is too large"));
        }
        let count = stream.read(&mut chunk).await?;
        if count == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        buffer.extend_from_slice(&chunk[..count]);
    }
}

fn invalid(what: &str) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, what.to_owned())
}

fn parse_head(bytes: &[u8]) -> io::Result<Option<(AnswerHead, usize)>> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut response = httparse::Response::new(&mut headers);
    let parsed = response
        .parse(bytes)
        .map_err(|error| invalid(&error.to_string()))?;
    let httparse::Status::Complete(length) = parsed else {
        return Ok(None);
    };
    let named = response.headers.iter().map(|header| {
        let value = String::from_utf8_lossy(header.value).into_owned();
        (header.name.to_ascii_lowercase(), value)
    });
    let head = AnswerHead {
        status: response.code.unwrap_or_default(),
        headers: named.collect(),
    };
    Ok(Some((head, length)))
}

fn position_of(head: &AnswerHead) -> io::Result<Position> {
    let chunked = head.header("transfer-encoding");
    if chunked.is_some_and(|value| value.eq_ignore_ascii_case("chunked")) {
        return Ok(Position::ChunkHead);
    }
    match head.header("content-length") {
        Some(text) => {
            let length = text.trim().parse().map_err(|_| invalid("content-length"))?;
            Ok(Position::Length(length))
        }
        None if matches!(head.status, 204 | 304) => Ok(Position::End),
        None => Ok(Position::UntilClose),
    }
}

impl EngineBody {
    /// Reads some of the body; 0 at its proper end.
    ///
    /// # Errors
    /// When the connection breaks before the end.
    pub async fn read(&mut self, output: &mut [u8]) -> io::Result<usize> {
        loop {
            match self.position {
                Position::End => return Ok(0),
                Position::Length(0) => self.position = Position::End,
                Position::Length(left) => {
                    let count = self.take(output, left).await?;
                    self.position = Position::Length(left - count as u64);
                    return Ok(count);
                }
                Position::Chunk(0) => self.position = Position::ChunkEnd,
                Position::Chunk(left) => {
                    let count = self.take(output, left).await?;
                    self.position = Position::Chunk(left - count as u64);
                    return Ok(count);
                }
                Position::ChunkEnd => {
                    self.line().await?;
                    self.position = Position::ChunkHead;
                }
                Position::ChunkHead => self.chunk_head().await?,
                Position::UntilClose => return self.take_until_close(output).await,
            }
        }
    }

    async fn chunk_head(&mut self) -> io::Result<()> {
        let line = self.line().await?;
        let digits = line.split(';').next().unwrap_or_default().trim();
        let length = u64::from_str_radix(digits, 16).map_err(|_| invalid("chunk length"))?;
        if length > 0 {
            self.position = Position::Chunk(length);
            return Ok(());
        }
        // Trailers, up to an empty line.
        while !self.line().await?.is_empty() {}
        self.position = Position::End;
        Ok(())
    }

    /// Reads up to the next line end, which is not part of the result.
    async fn line(&mut self) -> io::Result<String> {
        loop {
            let pending = &self.buffer[self.start..];
            if let Some(end) = pending.iter().position(|byte| *byte == b'\n') {
                let line = String::from_utf8_lossy(&pending[..end]).into_owned();
                self.start += end + 1;
                return Ok(line.trim_end_matches('\r').to_owned());
            }
            if pending.len() > MAX_CHUNK_LINE_BYTES {
                return Err(invalid("the line is too long"));
            }
            if self.fill().await? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
    }

    /// Takes at most `limit` bytes; there must be some.
    async fn take(&mut self, output: &mut [u8], limit: u64) -> io::Result<usize> {
        if self.start == self.buffer.len() && self.fill().await? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let pending = &self.buffer[self.start..];
        let limit = usize::try_from(limit).unwrap_or(usize::MAX);
        let count = pending.len().min(output.len()).min(limit);
        output[..count].copy_from_slice(&pending[..count]);
        self.start += count;
        Ok(count)
    }

    async fn take_until_close(&mut self, output: &mut [u8]) -> io::Result<usize> {
        if self.start == self.buffer.len() && self.fill().await? == 0 {
            self.position = Position::End;
            return Ok(0);
        }
        self.take(output, u64::MAX).await
    }

    /// Reads more from the connection; 0 when it was closed.
    async fn fill(&mut self) -> io::Result<usize> {
        self.buffer.drain(..self.start);
        self.start = 0;
        let before = self.buffer.len();
        self.buffer.resize(before + READ_BYTES, 0);
        let read = self.stream.read(&mut self.buffer[before..]).await;
        let count = *read.as_ref().unwrap_or(&0);
        self.buffer.truncate(before + count);
        read
    }
}
