//! Which heads of responses are accepted, and that what is written is read back the same.

mod support;

use ploverlift_http1::{
    read_request_head, read_response_head, HeaderName, HeaderValue, HttpError, RequestHead,
    ResponseHead, StatusCode, Target,
};
use proptest::prelude::*;
use support::{stream_with, LIMIT};

/// Reads a response to a GET request, with its body.
fn read(bytes: &[u8]) -> Result<(ResponseHead, Vec<u8>), HttpError> {
    smol::block_on(async {
        let mut stream = stream_with(bytes).await;
        let (head, mut decoder) = read_response_head(&mut stream, "GET", LIMIT).await?;
        let mut body = Vec::new();
        while decoder.read(&mut stream, &mut body).await? {}
        Ok((head, body))
    })
}

fn with_status_line(line: &str) -> Vec<u8> {
    format!("{line}\r\nContent-Length: 4\r\n\r\nbody").into_bytes()
}

fn with_line(line: &[u8]) -> Vec<u8> {
    let mut bytes = b"HTTP/1.1 200 OK\r\nA: 1\r\n".to_vec();
    bytes.extend_from_slice(line);
    bytes.extend_from_slice(b"\r\nContent-Length: 4\r\n\r\nbody");
    bytes
}

// Guards against an answer whose status is no status code (000, 099, 600) reaching a caller as an
// answer.
#[test]
fn a_head_whose_status_is_no_status_code_is_no_answer() {
    let statuses = [
        "000", "001", "042", "099", "600", "700", "999", "101", "20", "2000", "-20", "+20", "2x0",
        " 200", "", "0x1", "1e2",
    ];
    for status in statuses {
        let line = format!("HTTP/1.1 {status} Fine");
        assert!(read(&with_status_line(&line)).is_err(), "{line}");
    }
    let lines = [
        "HTTP/2.0 200 OK",
        "HTTP/1.1",
        "HTP/1.1 200 OK",
        "200 OK",
        "http/1.1 200 OK",
    ];
    for line in lines {
        assert!(read(&with_status_line(line)).is_err(), "{line}");
    }
    for status in [200, 299, 404, 500, 599] {
        let line = format!("HTTP/1.1 {status} Fine");
        let (head, body) = read(&with_status_line(&line)).expect("an answer");
        assert_eq!((head.status.get(), body), (status, b"body".to_vec()));
    }
}

// Guards against a line whose name holds a blank or a control byte being passed on, or changing
// where the body ends.
#[test]
fn a_head_whose_lines_are_malformed_is_no_answer() {
    let mut lines: Vec<Vec<u8>> = Vec::new();
    let in_name = [
        0x00, 0x01, b'\t', 0x0b, 0x1f, b' ', b'"', b'(', b'@', 0x7f, 0x80, 0xff,
    ];
    for byte in in_name {
        lines.push([&[byte][..], b"X-Name: 1"].concat());
        lines.push([b"X-", &[byte][..], b"Name: 1"].concat());
        lines.push([b"X-Name", &[byte][..], b": 1"].concat());
        lines.push([b"Content-Length", &[byte][..], b": 2"].concat());
    }
    for byte in [0x00, 0x01, 0x08, 0x0b, 0x0c, b'\r', 0x1f, 0x7f] {
        lines.push([b"X-Name: a", &[byte][..], b"b"].concat());
    }
    lines.extend([
        b": no name".to_vec(),
        b"no colon".to_vec(),
        b" folded".to_vec(),
    ]);
    for line in lines {
        let read = read(&with_line(&line));
        assert!(
            read.is_err(),
            "{:?}: {read:?}",
            String::from_utf8_lossy(&line)
        );
    }
}

#[test]
fn a_head_whose_framing_is_ambiguous_is_no_answer() {
    let framings: [&[u8]; 12] = [
        b"Content-Length: 4",
        b"Content-Length: 5",
        b"Transfer-Encoding: chunked",
        b"Transfer-Encoding: xchunked",
        b"Transfer-Encoding: chunked, gzip",
        b"Transfer-Encoding: identity",
        b"Content-Length: +4",
        b"Content-Length: 4, 4",
        b"Content-Length: -4",
        b"Content-Length: 0x4",
        b"Content-Length: 18446744073709551620",
        b"Content-Length:",
    ];
    for line in framings {
        let read = read(&with_line(line));
        assert!(
            read.is_err(),
            "{:?}: {read:?}",
            String::from_utf8_lossy(line)
        );
    }
    let chunked = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nContent-Length: 4\r\n\r\n\
        4\r\nbody\r\n0\r\n\r\n";
    assert!(read(chunked).is_err(), "a length beside valid chunks");
}

// A recipient may accept a line that ends with a line feed alone (RFC 9112, section 2.2); such lines
// are written with both.
#[test]
fn a_line_feed_alone_ends_a_line() {
    let bytes = b"HTTP/1.1 200 OK\nContent-Length: 4\nX: 1\n\nbody";
    let (head, body) = read(bytes).expect("an answer");
    assert_eq!((head.headers.get("X"), body), (Some("1"), b"body".to_vec()));
    assert!(head.encode().ends_with(b"X: 1\r\n\r\n"));
}

// Guards against a part of a head being taken for an answer.
#[test]
fn no_proper_prefix_of_a_head_is_an_answer() {
    let interim = "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n";
    let heads = [
        "HTTP/1.1 200 OK\r\nX: 1\r\nContent-Length: 4\r\n\r\n",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
        "HTTP/1.1 200 OK\r\nX: 1\r\n\r\n",
    ];
    for head in heads {
        let whole = format!("{interim}{head}");
        for length in 0..whole.len() {
            assert!(
                read(&whole.as_bytes()[..length]).is_err(),
                "{length} bytes of {whole:?}"
            );
        }
    }
}

fn is_token(name: &str) -> bool {
    let is_token_byte =
        |byte: u8| byte.is_ascii_alphanumeric() || b"!#$%&'*+-.^_`|~".contains(&byte);
    !name.is_empty() && name.bytes().all(is_token_byte)
}

fn is_field_value(value: &str) -> bool {
    let is_trimmed = value.trim_matches([' ', '\t']) == value;
    let is_text = |byte: u8| byte == b'\t' || (byte >= b' ' && byte != 0x7f);
    is_trimmed && value.bytes().all(is_text)
}

/// Lines of heads, mostly near to valid ones.
fn line() -> impl Strategy<Value = Vec<u8>> {
    prop_oneof![
        "[A-Za-z-]{1,8}: [a-z0-9 ]{0,8}".prop_map(String::into_bytes),
        "[!-~ \t]{0,6}:[ -~\t]{0,8}".prop_map(String::into_bytes),
        prop::collection::vec(any::<u8>(), 0..12),
        Just(b"Content-Length: 4".to_vec()),
    ]
}

fn response_bytes() -> impl Strategy<Value = Vec<u8>> {
    let status = prop_oneof!["[0-9]{3}", "[0-9 ]{0,4}", Just("200".to_owned())];
    let version = prop_oneof![Just("HTTP/1.1".to_owned()), "HTTP/[0-9].[0-9]"];
    let reason = prop_oneof![Just(" OK".to_owned()), "[ -~]{0,6}"];
    let ending = prop_oneof![Just("\r\n"), Just("\n"), Just("\r")];
    let lines = prop::collection::vec((line(), ending), 0..5);
    (version, status, reason, lines).prop_map(|(version, status, reason, lines)| {
        let mut bytes = format!("{version} {status}{reason}\r\n").into_bytes();
        for (line, ending) in lines {
            bytes.extend_from_slice(&line);
            bytes.extend_from_slice(ending.as_bytes());
        }
        bytes.extend_from_slice(b"\r\nbody");
        bytes
    })
}

fn read_head(bytes: &[u8]) -> Result<ResponseHead, HttpError> {
    smol::block_on(async {
        let mut stream = stream_with(bytes).await;
        let (head, _) = read_response_head(&mut stream, "GET", LIMIT).await?;
        Ok(head)
    })
}

fn headers() -> impl Strategy<Value = Vec<(String, String)>> {
    let name = "[A-Za-z][!#$%&'*+.^_`|~A-Za-z0-9-]{0,10}";
    let value = "([!-~\u{a1}-\u{ff}]([ !-~]{0,10}[!-~])?)?";
    prop::collection::vec((name, value), 0..6)
}

/// Text that is odd in a head, and text of any kind.
fn any_text() -> impl Strategy<Value = String> {
    let odd = "[ \\t\\r\\n\\x00\\x7f:a-zA-Z0-9/%-]{0,12}";
    prop_oneof![odd, any::<String>(), "[a-zA-Z-]{1,8}"]
}

// Guards against a stored name that adds lines to a request.
#[test]
fn text_that_would_add_a_line_is_no_value_of_a_header() {
    for text in [
        "a\r\nX-Forged: yes",
        "a\nb",
        "a\rb",
        "a\0b",
        "a\u{1}b",
        "a\x7fb",
        " a",
        "a\t",
    ] {
        assert!(HeaderValue::new(text).is_err(), "{text:?}");
    }
    for text in ["", "a", "a b", "a\tb", "é", "a: b"] {
        let value = HeaderValue::new(text).expect("a value");
        assert_eq!(value.as_str(), text);
    }
    for text in ["", "a b", "a:", "é", "a\r\n"] {
        assert!(HeaderName::new(text).is_err(), "{text:?}");
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(512))]

    #[test]
    fn whatever_is_accepted_is_a_head(bytes in response_bytes()) {
        if let Ok(head) = read_head(&bytes) {
            prop_assert!((200..=599).contains(&head.status.get()));
            for (name, value) in head.headers.iter() {
                prop_assert!(is_token(name), "name {name:?}");
                prop_assert!(is_field_value(value), "value {value:?}");
            }
            let again = read_head(&head.encode());
            prop_assert_eq!(again.ok(), Some(head));
        }
    }

    #[test]
    fn what_is_written_is_read_back_the_same(
        status in 200_u16..=599,
        pairs in headers(),
        target in "/[!-~]{0,20}",
    ) {
        let mut response = ResponseHead::new(status);
        let mut request = RequestHead::new("GET", Target::new(target).expect("a target"));
        for (name, value) in pairs {
            let is_framing = ["content-length", "transfer-encoding"]
                .iter()
                .any(|framing| name.eq_ignore_ascii_case(framing));
            if !is_framing {
                let name = HeaderName::new(name).expect("a name");
                let value = HeaderValue::new(value).expect("a value");
                response.headers.push(name.clone(), value.clone());
                request.headers.push(name, value);
            }
        }
        prop_assert_eq!(read_head(&response.encode()).ok(), Some(response));
        let read = smol::block_on(async {
            let mut stream = stream_with(&request.encode()).await;
            read_request_head(&mut stream, LIMIT).await
        });
        prop_assert_eq!(read.ok().map(|(head, _)| head), Some(request));
    }

    // Guards against a value that ends its header, adds another one, or is read as another value.
    #[test]
    fn any_text_in_a_head_is_refused_or_read_back_the_same(
        name in any_text(),
        value in any_text(),
        target in any_text(),
    ) {
        let mut head = RequestHead::new("GET", Target::new(target).unwrap_or_default());
        let is_framing = ["content-length", "transfer-encoding"]
            .iter()
            .any(|framing| name.eq_ignore_ascii_case(framing));
        let name = HeaderName::new(name).unwrap_or("x-text".into());
        match HeaderValue::new(value) {
            Ok(value) if !is_framing => head.headers.push(name, value),
            _ => {}
        }
        let read = smol::block_on(async {
            let mut stream = stream_with(&head.encode()).await;
            read_request_head(&mut stream, LIMIT).await
        });
        prop_assert_eq!(read.ok().map(|(read, _)| read), Some(head));
    }

    #[test]
    fn a_status_has_three_digits(code in any::<u16>()) {
        let status = StatusCode::new(code);
        prop_assert_eq!(status.is_some(), (100..=599).contains(&code));
        if let Some(status) = status {
            prop_assert_eq!(status.to_string().len(), 3);
        }
    }
}
