//! Reading of message heads.

use crate::body::{BodyDecoder, Framing};
use crate::error::{malformed, HttpError};
use crate::head::{Headers, RequestHead, ResponseHead};
use crate::header::{HeaderName, HeaderValue};
use crate::limits::MESSAGE_LIMITS;
use crate::status::StatusCode;
use crate::stream::BufferedStream;
use crate::target::Target;

/// Reads the head of the next request. `limit` is its maximum length in bytes.
///
/// # Errors
/// [`HttpError::Closed`] when the peer closed the connection between requests;
/// other errors when the head is truncated, too large or malformed.
pub async fn read_request_head(
    stream: &mut BufferedStream,
    limit: usize,
) -> Result<(RequestHead, BodyDecoder), HttpError> {
    let mut reading = HeadReading::new(limit);
    let head = reading.read_head(stream, parse_request).await?;
    let framing = Framing::of_request(&head)?;
    Ok((head, BodyDecoder::new(framing)))
}

/// Status of a response after which the connection speaks another protocol.
const SWITCHING_PROTOCOLS: u16 = 101;

/// Reads the head of a response; interim responses (1xx) are skipped. `limit` is the maximum
/// length of the head and all interim responses before it, in bytes.
///
/// # Errors
/// When the connection ends, or the head is too large or malformed. A response that switches
/// protocols is malformed, because no request asks for that.
pub async fn read_response_head(
    stream: &mut BufferedStream,
    method: &str,
    limit: usize,
) -> Result<(ResponseHead, BodyDecoder), HttpError> {
    let mut reading = HeadReading::new(limit);
    loop {
        let head = reading.read_head(stream, parse_response).await?;
        if head.status == SWITCHING_PROTOCOLS {
            return Err(malformed("a switch of protocols that was not asked for"));
        }
        if !(100..200).contains(&head.status.get()) {
            let framing = Framing::of_response(&head, method)?;
            return Ok((head, BodyDecoder::new(framing)));
        }
    }
}

/// The result of parsing: a head and its length in bytes, or `None` for an incomplete one.
type Parsed<H> = Result<Option<(H, usize)>, HttpError>;

/// Reading of a head, and of what precedes it, within one limit.
struct HeadReading {
    limit: usize,
    /// Bytes consumed so far.
    consumed: usize,
    /// Pending bytes that were searched for line endings.
    searched: usize,
    /// Pending bytes when the head was last parsed.
    parsed: usize,
}

impl HeadReading {
    fn new(limit: usize) -> Self {
        Self {
            limit,
            consumed: 0,
            searched: 0,
            parsed: 0,
        }
    }

    async fn read_head<H>(
        &mut self,
        stream: &mut BufferedStream,
        parse: fn(&[u8]) -> Parsed<H>,
    ) -> Result<H, HttpError> {
        loop {
            self.skip_empty_lines(stream);
            let parsed = match self.should_parse(stream.pending()) {
                true => parse(stream.pending())?,
                false => None,
            };
            let length = match &parsed {
                Some((_, length)) => *length,
                None => stream.pending().len(),
            };
            if self.consumed + length > self.limit {
                return Err(HttpError::HeadTooLarge { limit: self.limit });
            }
            match parsed {
                Some((head, length)) => {
                    self.consume(stream, length);
                    return Ok(head);
                }
                None => self.fill(stream).await?,
            }
        }
    }

    /// Skips the empty lines that may precede a head.
    fn skip_empty_lines(&mut self, stream: &mut BufferedStream) {
        let is_ending = |byte: &&u8| matches!(**byte, b'\r' | b'\n');
        let count = stream.pending().iter().take_while(is_ending).count();
        if count > 0 {
            self.consume(stream, count);
        }
    }

    /// Whether the pending bytes may hold a whole head, or an error that was not there when they
    /// were last parsed. Parsing after each read would cost the square of the length where
    /// bytes arrive one by one.
    fn should_parse(&mut self, pending: &[u8]) -> bool {
        let has_line = pending[self.searched..].contains(&b'\n');
        self.searched = pending.len();
        let should_parse = !pending.is_empty() && (has_line || pending.len() >= 2 * self.parsed);
        if should_parse {
            self.parsed = pending.len();
        }
        should_parse
    }

    fn consume(&mut self, stream: &mut BufferedStream, count: usize) {
        stream.consume(count);
        self.consumed += count;
        self.searched = 0;
        self.parsed = 0;
    }

    async fn fill(&mut self, stream: &mut BufferedStream) -> Result<(), HttpError> {
        let is_between_messages = self.consumed == 0 && stream.pending().is_empty();
        match stream.fill().await? {
            0 if is_between_messages => Err(HttpError::Closed),
            0 => Err(HttpError::Truncated),
            _ => Ok(()),
        }
    }
}

fn parse_request(bytes: &[u8]) -> Parsed<RequestHead> {
    let mut slots = [httparse::EMPTY_HEADER; MESSAGE_LIMITS.headers];
    let mut request = httparse::Request::new(&mut slots);
    let parsed = request.parse(bytes);
    let parsed = parsed.map_err(|error| malformed(error.to_string()))?;
    let httparse::Status::Complete(length) = parsed else {
        return Ok(None);
    };
    let head = RequestHead {
        method: request.method.unwrap_or_default().to_owned(),
        target: Target::new(request.path.unwrap_or_default())?,
        is_http_1_1: request.version == Some(1),
        headers: to_headers(request.headers)?,
    };
    Ok(Some((head, length)))
}

fn parse_response(bytes: &[u8]) -> Parsed<ResponseHead> {
    let mut slots = [httparse::EMPTY_HEADER; MESSAGE_LIMITS.headers];
    let mut response = httparse::Response::new(&mut slots);
    let parsed = response.parse(bytes);
    let parsed = parsed.map_err(|error| malformed(error.to_string()))?;
    let httparse::Status::Complete(length) = parsed else {
        return Ok(None);
    };
    let status = response.code.and_then(StatusCode::new);
    let head = ResponseHead {
        status: status.ok_or_else(|| malformed("the status is no status code"))?,
        headers: to_headers(response.headers)?,
    };
    Ok(Some((head, length)))
}

fn to_headers(headers: &[httparse::Header<'_>]) -> Result<Headers, HttpError> {
    let mut pairs = Vec::with_capacity(headers.len());
    for header in headers {
        let value = std::str::from_utf8(header.value);
        let value = value.map_err(|_| malformed("a header is not text"))?;
        pairs.push((HeaderName::new(header.name)?, HeaderValue::new(value)?));
    }
    Ok(Headers::from(pairs))
}
