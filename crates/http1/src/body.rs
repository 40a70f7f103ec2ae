//! Framing of message bodies: where a body ends, and decoding of its bytes.

use crate::error::{malformed, HttpError};
use crate::head::{Headers, RequestHead, ResponseHead};
use crate::limits::MESSAGE_LIMITS;
use crate::stream::BufferedStream;

/// How the end of a body is determined.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Framing {
    /// A fixed number of bytes.
    Length(u64),
    /// Chunked transfer coding.
    Chunked,
    /// Everything until the connection ends.
    UntilClose,
}

impl Framing {
    /// Label for logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Framing::Length(_) => "length",
            Framing::Chunked => "chunked",
            Framing::UntilClose => "connection",
        }
    }

    /// Framing of a request's body (RFC 9112, section 6.3). A request with two
    /// framings is refused, because that is the usual form of request
    /// smuggling.
    ///
    /// # Errors
    /// When the headers contradict each other or name an unknown transfer
    /// encoding.
    pub fn of_request(head: &RequestHead) -> Result<Self, HttpError> {
        let length = content_length(&head.headers)?;
        if head.headers.get("transfer-encoding").is_none() {
            return Ok(Framing::Length(length.unwrap_or(0)));
        }
        if length.is_some() {
            return Err(malformed("both a length and a transfer encoding"));
        }
        if !is_chunked(&head.headers) {
            return Err(malformed("unknown transfer encoding"));
        }
        Ok(Framing::Chunked)
    }

    /// Framing of a response's body.
    ///
    /// # Errors
    /// When the headers contradict each other or name an unknown transfer
    /// encoding.
    pub fn of_response(head: &ResponseHead, method: &str) -> Result<Self, HttpError> {
        if method == "HEAD" || matches!(head.status.get(), 204 | 304) {
            return Ok(Framing::Length(0));
        }
        let length = content_length(&head.headers)?;
        if head.headers.get("transfer-encoding").is_some() {
            if length.is_some() {
                return Err(malformed("both a length and a transfer encoding"));
            }
            if !is_chunked(&head.headers) {
                return Err(malformed("unknown transfer encoding"));
            }
            return Ok(Framing::Chunked);
        }
        Ok(length.map_or(Framing::UntilClose, Framing::Length))
    }
}

fn is_chunked(headers: &Headers) -> bool {
    let mut values = headers.get_all("transfer-encoding");
    let first = values.next().unwrap_or_default();
    first.trim().eq_ignore_ascii_case("chunked") && values.next().is_none()
}

fn content_length(headers: &Headers) -> Result<Option<u64>, HttpError> {
    let mut values = headers.get_all("content-length");
    let Some(first) = values.next() else {
        return Ok(None);
    };
    if values.next().is_some() {
        return Err(malformed("two lengths"));
    }
    let first = first.trim();
    if first.is_empty() || !first.bytes().all(|byte| byte.is_ascii_digit()) {
        return Err(malformed("the length is not a number"));
    }
    let parsed = first.parse();
    parsed
        .map(Some)
        .map_err(|_| malformed("the length is too large"))
}

/// Position of the decoder in the body, with the remaining bytes where they are
/// known.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Position {
    Length(u64),
    ChunkHead,
    Chunk(u64),
    ChunkEnd,
    Trailers,
    UntilClose,
    End,
    Malformed,
}

/// Decodes a body by removing its framing.
#[derive(Clone, Debug)]
pub struct BodyDecoder {
    position: Position,
    framing: Framing,
    /// Length of all chunk extensions so far, in bytes.
    extension_bytes: usize,
    /// Length of all trailers so far, in bytes.
    trailer_bytes: usize,
    /// The rule that the framing has violated.
    violation: String,
}

impl BodyDecoder {
    /// A decoder at the start of a body.
    pub fn new(framing: Framing) -> Self {
        let position = match framing {
            Framing::Length(length) => Position::Length(length),
            Framing::Chunked => Position::ChunkHead,
            Framing::UntilClose => Position::UntilClose,
        };
        Self {
            position,
            framing,
            extension_bytes: 0,
            trailer_bytes: 0,
            violation: String::new(),
        }
    }

    /// How the end of the body is determined.
    pub fn framing(&self) -> Framing {
        self.framing
    }

    /// Remaining bytes of a body with a declared length; `None` for other
    /// framings.
    pub fn declared_length(&self) -> Option<u64> {
        match self.position {
            Position::Length(left) => Some(left),
            _ => None,
        }
    }

    /// Whether the whole body was read. For a body that ends with its
    /// connection this is known only after the end was read.
    pub fn is_over(&self) -> bool {
        matches!(self.position, Position::End | Position::Length(0))
    }

    /// Whether the body ends only with the connection.
    pub fn ends_with_connection(&self) -> bool {
        self.framing == Framing::UntilClose
    }

    /// Appends the next bytes of the body to `output`; returns false at the end of the body.
    /// Chunks that have arrived together are decoded together.
    ///
    /// # Errors
    /// When the connection ends before the body does, or the framing is malformed.
    pub async fn read(
        &mut self,
        stream: &mut BufferedStream,
        output: &mut Vec<u8>,
    ) -> Result<bool, HttpError> {
        let before = output.len();
        loop {
            if let Err(violation) = self.decode_pending(stream, output) {
                self.violation = violation;
                self.position = Position::Malformed;
            }
            // What precedes a violation belongs to the body.
            if output.len() > before {
                return Ok(true);
            }
            match self.position {
                Position::End | Position::Length(0) => {
                    self.position = Position::End;
                    return Ok(false);
                }
                Position::Length(left) => {
                    let count = copy_pending(stream, output, left).await?;
                    self.position = Position::Length(left - count);
                    return Ok(true);
                }
                Position::UntilClose => return self.read_until_close(stream, output).await,
                Position::Malformed => return Err(malformed(self.violation.clone())),
                Position::Chunk(_)
                | Position::ChunkHead
                | Position::ChunkEnd
                | Position::Trailers => stream.fill_message().await?,
            }
        }
    }

    /// Decodes the pending bytes of a chunked body, up to a step for which bytes are missing.
    fn decode_pending(
        &mut self,
        stream: &mut BufferedStream,
        output: &mut Vec<u8>,
    ) -> Result<(), Violation> {
        let pending = stream.pending();
        let mut consumed = 0;
        let decoded = loop {
            match self.decode_next(&pending[consumed..], output) {
                Ok(Some(count)) => consumed += count,
                Ok(None) => break Ok(()),
                Err(violation) => break Err(violation),
            }
        };
        stream.consume(consumed);
        decoded
    }

    /// Decodes one step of a chunked body; returns the number of bytes that it took, or `None`
    /// when bytes are missing for it.
    fn decode_next(
        &mut self,
        pending: &[u8],
        output: &mut Vec<u8>,
    ) -> Result<Option<usize>, Violation> {
        match self.position {
            Position::Chunk(_) if pending.is_empty() => Ok(None),
            Position::Chunk(left) => {
                let limit = usize::try_from(left).unwrap_or(usize::MAX);
                let count = pending.len().min(limit);
                output.extend_from_slice(&pending[..count]);
                self.position = match left - count as u64 {
                    0 => Position::ChunkEnd,
                    left => Position::Chunk(left),
                };
                Ok(Some(count))
            }
            Position::ChunkHead | Position::ChunkEnd | Position::Trailers => {
                let Some(count) = line_length(pending)? else {
                    return Ok(None);
                };
                self.take_line(without_ending(&pending[..count]))?;
                Ok(Some(count))
            }
            Position::Length(_) | Position::UntilClose | Position::End | Position::Malformed => {
                Ok(None)
            }
        }
    }

    /// Takes a line between or after chunks.
    fn take_line(&mut self, line: &[u8]) -> Result<(), Violation> {
        match self.position {
            Position::ChunkHead => {
                let (length, extension_bytes) = parse_chunk_head(line)?;
                self.extension_bytes += extension_bytes;
                check_limit(
                    "the chunk extensions are",
                    self.extension_bytes,
                    MESSAGE_LIMITS.extension_bytes,
                )?;
                self.position = match length {
                    0 => Position::Trailers,
                    length => Position::Chunk(length),
                };
            }
            Position::ChunkEnd if !line.is_empty() => {
                return Err("a chunk is longer than its length".to_owned());
            }
            Position::ChunkEnd => self.position = Position::ChunkHead,
            _ if line.is_empty() => self.position = Position::End,
            _ => {
                self.trailer_bytes += line.len();
                let limit = MESSAGE_LIMITS.trailer_bytes;
                check_limit("the trailers are", self.trailer_bytes, limit)?;
            }
        }
        Ok(())
    }

    async fn read_until_close(
        &mut self,
        stream: &mut BufferedStream,
        output: &mut Vec<u8>,
    ) -> Result<bool, HttpError> {
        if stream.pending().is_empty() && stream.fill().await? == 0 {
            self.position = Position::End;
            return Ok(false);
        }
        copy_pending(stream, output, u64::MAX).await?;
        Ok(true)
    }
}

/// The rule that the framing of a body violates.
type Violation = String;

fn check_limit(subject: &str, bytes: usize, limit: usize) -> Result<(), Violation> {
    match bytes > limit {
        true => Err(format!("{subject} over {limit} bytes")),
        false => Ok(()),
    }
}

/// Moves at most `limit` bytes to `output`, after reading from the peer if none
/// are pending. Returns their number, which is at least one for a `limit` above
/// 0.
async fn copy_pending(
    stream: &mut BufferedStream,
    output: &mut Vec<u8>,
    limit: u64,
) -> Result<u64, HttpError> {
    if stream.pending().is_empty() {
        stream.fill_message().await?;
    }
    let limit = usize::try_from(limit).unwrap_or(usize::MAX);
    let count = stream.pending().len().min(limit);
    output.extend_from_slice(&stream.pending()[..count]);
    stream.consume(count);
    Ok(count as u64)
}

/// Length of the first pending line with its line feed; `None` if that has not arrived.
fn line_length(pending: &[u8]) -> Result<Option<usize>, Violation> {
    let end = pending.iter().position(|byte| *byte == b'\n');
    if end.unwrap_or(pending.len()) > MESSAGE_LIMITS.line_bytes {
        return Err("a line is too long".to_owned());
    }
    Ok(end.map(|end| end + 1))
}

/// A line without its line ending.
fn without_ending(line: &[u8]) -> &[u8] {
    let line = line.strip_suffix(b"\n").unwrap_or(line);
    line.strip_suffix(b"\r").unwrap_or(line)
}

/// The length of a chunk, and the length of its extensions, in bytes.
fn parse_chunk_head(line: &[u8]) -> Result<(u64, usize), Violation> {
    let end = line.iter().position(|byte| *byte == b';');
    let (digits, extension) = line.split_at(end.unwrap_or(line.len()));
    let digits = std::str::from_utf8(digits.trim_ascii()).unwrap_or_default();
    let is_number = !digits.is_empty() && digits.bytes().all(|byte| byte.is_ascii_hexdigit());
    if !is_number {
        return Err("the length of a chunk is not a number".to_owned());
    }
    let length = u64::from_str_radix(digits, 16);
    let length = length.map_err(|_| "the length of a chunk is too large")?;
    Ok((length, extension.len()))
}
