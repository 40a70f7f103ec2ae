//! Framing of message bodies: where a body ends, and decoding of its bytes.

use crate::error::{malformed, HttpError};
use crate::head::{Headers, RequestHead, ResponseHead};
use crate::stream::BufferedStream;

/// Maximum length of a chunk-size line or a trailer line, in bytes.
const MAX_LINE_BYTES: usize = 1_024;

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
        if method == "HEAD" || matches!(head.status, 204 | 304) {
            return Ok(Framing::Length(0));
        }
        if head.headers.get("transfer-encoding").is_some() {
            if !is_chunked(&head.headers) {
                return Err(malformed("unknown transfer encoding"));
            }
            return Ok(Framing::Chunked);
        }
        let length = content_length(&head.headers)?;
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
    UntilClose,
    End,
}

/// Decodes a body by removing its framing.
#[derive(Clone, Debug)]
pub struct BodyDecoder {
    position: Position,
    framing: Framing,
}

impl BodyDecoder {
    /// A decoder at the start of a body.
    pub fn new(framing: Framing) -> Self {
        let position = match framing {
            Framing::Length(length) => Position::Length(length),
            Framing::Chunked => Position::ChunkHead,
            Framing::UntilClose => Position::UntilClose,
        };
        Self { position, framing }
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

    /// Appends the next bytes of the body to `output`; returns false at the end
    /// of the body.
    ///
    /// # Errors
    /// When the connection ends before the body does, or the framing is
    /// malformed.
    pub async fn read(
        &mut self,
        stream: &mut BufferedStream,
        output: &mut Vec<u8>,
    ) -> Result<bool, HttpError> {
        loop {
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
                Position::Chunk(0) => self.position = Position::ChunkEnd,
                Position::Chunk(left) => {
                    let count = copy_pending(stream, output, left).await?;
                    self.position = Position::Chunk(left - count);
                    return Ok(true);
                }
                Position::ChunkEnd => {
                    if !read_line(stream).await?.is_empty() {
                        return Err(malformed("a chunk is longer than its length"));
                    }
                    self.position = Position::ChunkHead;
                }
                Position::ChunkHead => self.position = read_chunk_head(stream).await?,
                Position::UntilClose => return self.read_until_close(stream, output).await,
            }
        }
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

async fn read_chunk_head(stream: &mut BufferedStream) -> Result<Position, HttpError> {
    let text = read_line(stream).await?;
    let digits = text.split(';').next().unwrap_or_default().trim();
    let is_number = !digits.is_empty() && digits.bytes().all(|byte| byte.is_ascii_hexdigit());
    if !is_number {
        return Err(malformed("the length of a chunk is not a number"));
    }
    let length = u64::from_str_radix(digits, 16);
    let length = length.map_err(|_| malformed("the length of a chunk is too large"))?;
    if length > 0 {
        return Ok(Position::Chunk(length));
    }
    while !read_line(stream).await?.is_empty() {}
    Ok(Position::End)
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

/// Reads a line and strips its terminator.
async fn read_line(stream: &mut BufferedStream) -> Result<String, HttpError> {
    loop {
        let pending = stream.pending();
        if let Some(end) = pending.iter().position(|byte| *byte == b'\n') {
            let text = String::from_utf8_lossy(&pending[..end]).into_owned();
            stream.consume(end + 1);
            return Ok(text.trim_end_matches('\r').to_owned());
        }
        if pending.len() > MAX_LINE_BYTES {
            return Err(malformed("a line is too long"));
        }
        stream.fill_message().await?;
    }
}
