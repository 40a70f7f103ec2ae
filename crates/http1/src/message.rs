//! Reading of message heads.

use crate::body::{BodyDecoder, Framing};
use crate::error::{malformed, HttpError};
use crate::head::{Headers, RequestHead, ResponseHead};
use crate::stream::BufferedStream;

/// Maximum number of headers in one head.
const MAX_HEADERS: usize = 96;

/// Reads the head of the next request. `limit` is its maximum length in bytes.
///
/// # Errors
/// [`HttpError::Closed`] when the peer closed the connection between requests;
/// other errors when the head is truncated, too large or malformed.
pub async fn read_request_head(
    stream: &mut BufferedStream,
    limit: usize,
) -> Result<(RequestHead, BodyDecoder), HttpError> {
    loop {
        if let Some((head, length)) = parse_request(stream.pending())? {
            if length > limit {
                return Err(HttpError::HeadTooLarge { limit });
            }
            stream.consume(length);
            let framing = Framing::of_request(&head)?;
            return Ok((head, BodyDecoder::new(framing)));
        }
        fill_head(stream, limit).await?;
    }
}

/// Reads the head of a response; interim responses (1xx) are skipped. A head
/// that is still incomplete after `limit` bytes is refused.
///
/// # Errors
/// When the connection ends, or the head is too large or malformed.
pub async fn read_response_head(
    stream: &mut BufferedStream,
    method: &str,
    limit: usize,
) -> Result<(ResponseHead, BodyDecoder), HttpError> {
    loop {
        if let Some((head, length)) = parse_response(stream.pending())? {
            stream.consume(length);
            if (100..200).contains(&head.status) {
                continue;
            }
            let framing = Framing::of_response(&head, method)?;
            return Ok((head, BodyDecoder::new(framing)));
        }
        fill_head(stream, limit).await?;
    }
}

async fn fill_head(stream: &mut BufferedStream, limit: usize) -> Result<(), HttpError> {
    let pending = stream.pending().len();
    if pending > limit {
        return Err(HttpError::HeadTooLarge { limit });
    }
    match stream.fill().await? {
        0 if pending == 0 => Err(HttpError::Closed),
        0 => Err(HttpError::Truncated),
        _ => Ok(()),
    }
}

fn parse_request(bytes: &[u8]) -> Result<Option<(RequestHead, usize)>, HttpError> {
    let mut slots = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut request = httparse::Request::new(&mut slots);
    let parsed = request.parse(bytes);
    let parsed = parsed.map_err(|error| malformed(error.to_string()))?;
    let httparse::Status::Complete(length) = parsed else {
        return Ok(None);
    };
    let head = RequestHead {
        method: request.method.unwrap_or_default().to_owned(),
        target: request.path.unwrap_or_default().to_owned(),
        is_http_1_1: request.version == Some(1),
        headers: to_headers(request.headers)?,
    };
    Ok(Some((head, length)))
}

fn parse_response(bytes: &[u8]) -> Result<Option<(ResponseHead, usize)>, HttpError> {
    let mut slots = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut response = httparse::Response::new(&mut slots);
    let parsed = response.parse(bytes);
    let parsed = parsed.map_err(|error| malformed(error.to_string()))?;
    let httparse::Status::Complete(length) = parsed else {
        return Ok(None);
    };
    let head = ResponseHead {
        status: response.code.unwrap_or_default(),
        headers: to_headers(response.headers)?,
    };
    Ok(Some((head, length)))
}

fn to_headers(headers: &[httparse::Header<'_>]) -> Result<Headers, HttpError> {
    let mut pairs = Vec::with_capacity(headers.len());
    for header in headers {
        let value = std::str::from_utf8(header.value);
        let value = value.map_err(|_| malformed("a header is not text"))?;
        pairs.push((header.name.to_owned(), value.to_owned()));
    }
    Ok(Headers::from(pairs))
}
