//! Heads and bodies over real connections: which messages are accepted, which
//! are refused and which count as truncated.

mod support;

use ploverlift_http1::{
    read_request_head, read_response_head, HttpError, RequestHead, ResponseHead,
};
use support::{stream_with, LIMIT};

async fn request(bytes: &[u8]) -> Result<(RequestHead, Vec<u8>), HttpError> {
    let mut stream = stream_with(bytes).await;
    let (head, mut decoder) = read_request_head(&mut stream, LIMIT).await?;
    let mut body = Vec::new();
    while decoder.read(&mut stream, &mut body).await? {}
    Ok((head, body))
}

async fn response(bytes: &[u8]) -> Result<(ResponseHead, Vec<u8>), HttpError> {
    let mut stream = stream_with(bytes).await;
    let (head, mut decoder) = read_response_head(&mut stream, "GET", LIMIT).await?;
    let mut body = Vec::new();
    while decoder.read(&mut stream, &mut body).await? {}
    Ok((head, body))
}

fn is_malformed<T>(result: &Result<T, HttpError>) -> bool {
    matches!(result, Err(HttpError::Malformed { .. }))
}

#[test]
fn a_request_with_a_length_is_read() {
    let (head, body) = smol::block_on(request(
        b"POST /a/b?c=d HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nabc",
    ))
    .expect("request");
    assert_eq!(head.path(), "/a/b");
    assert_eq!(head.target.as_str(), "/a/b?c=d");
    assert_eq!(body, b"abc");
    assert!(head.keeps_alive());
}

#[test]
fn a_chunked_request_is_read_without_its_framing() {
    let (_, body) = smol::block_on(request(
        b"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n1;x=y\r\nc\r\n0\r\nT: t\r\n\r\n",
    ))
    .expect("request");
    assert_eq!(body, b"abc");
}

#[test]
fn two_framings_are_refused_because_they_may_hide_a_second_request() {
    let both =
        b"POST / HTTP/1.1\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n";
    assert!(is_malformed(&smol::block_on(request(both))));
    let twice = b"POST / HTTP/1.1\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\nabcd";
    assert!(is_malformed(&smol::block_on(request(twice))));
    let signed = b"POST / HTTP/1.1\r\nContent-Length: +3\r\n\r\nabc";
    assert!(is_malformed(&smol::block_on(request(signed))));
    let stacked = b"POST / HTTP/1.1\r\nTransfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n";
    assert!(is_malformed(&smol::block_on(request(stacked))));
}

#[test]
fn a_chunk_longer_than_its_length_is_refused() {
    let bytes = b"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nabc\r\n0\r\n\r\n";
    assert!(is_malformed(&smol::block_on(request(bytes))));
    let negative = b"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n-2\r\nab\r\n0\r\n\r\n";
    assert!(is_malformed(&smol::block_on(request(negative))));
}

#[test]
fn a_head_over_its_limit_is_refused() {
    let mut bytes = b"GET / HTTP/1.1\r\nX: ".to_vec();
    bytes.extend(vec![b'a'; 2 * LIMIT]);
    let read = smol::block_on(request(&bytes));
    assert!(matches!(
        read,
        Err(HttpError::HeadTooLarge { limit: LIMIT })
    ));
    bytes.extend(b"\r\n\r\n");
    let read = smol::block_on(request(&bytes));
    assert!(matches!(read, Err(HttpError::HeadTooLarge { .. })));
}

#[test]
fn a_closed_connection_is_distinguished_from_a_truncated_message() {
    assert!(matches!(
        smol::block_on(request(b"")),
        Err(HttpError::Closed)
    ));
    let inside_head = smol::block_on(request(b"GET / HT"));
    assert!(matches!(inside_head, Err(HttpError::Truncated)));
    let inside_body = smol::block_on(request(b"POST / HTTP/1.1\r\nContent-Length: 3\r\n\r\nab"));
    assert!(matches!(inside_body, Err(HttpError::Truncated)));
}

#[test]
fn a_response_that_ends_early_is_truncated() {
    let short = b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nab";
    assert!(matches!(
        smol::block_on(response(short)),
        Err(HttpError::Truncated)
    ));
    let unfinished = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n";
    assert!(matches!(
        smol::block_on(response(unfinished)),
        Err(HttpError::Truncated)
    ));
}

#[test]
fn a_response_without_a_length_ends_with_its_connection() {
    let (head, body) = smol::block_on(response(b"HTTP/1.1 200 OK\r\n\r\nabc")).expect("response");
    assert_eq!(head.status, 200);
    assert_eq!(body, b"abc");
}

#[test]
fn interim_responses_are_skipped() {
    let bytes = b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n";
    let (head, body) = smol::block_on(response(bytes)).expect("response");
    assert_eq!(head.status, 404);
    assert!(body.is_empty());
}

#[test]
fn connection_headers_are_removed() {
    let (mut head, _) = smol::block_on(request(
        b"GET / HTTP/1.1\r\nHost: h\r\nConnection: close, X-Hop\r\nX-Hop: 1\r\nKeep-Alive: 3\r\nX-End: 2\r\n\r\n",
    ))
    .expect("request");
    assert!(!head.keeps_alive());
    head.headers.remove_connection_headers();
    let left: Vec<&str> = head.headers.iter().map(|(name, _)| name).collect();
    assert_eq!(left, ["Host", "X-End"]);
}
