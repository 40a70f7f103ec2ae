//! Answers to a node's own calls (of the store, and for reports, orders and cache events) that are
//! no answers, or whose connection fails: a call has a whole answer or none.

mod support;

use ploverlift_bytebudget::limits::ShareLimits;
use ploverlift_bytebudget::share::Share;
use ploverlift_gateway::http_call::CallConnection;
use ploverlift_http1::{read_request_head, BufferedStream};
use smol::net::TcpListener;
use socket2::SockRef;
use std::net::{Shutdown, SocketAddr};
use std::time::Duration;
use support::caller::request;

/// Body of a call that the buffers between node and server do not hold, in bytes.
const LARGE_CALL_BYTES: usize = 8 * 1024 * 1024;
/// Time-out of a call, in milliseconds.
const TIMEOUT_MS: u64 = 5_000;
/// Calls of each case: when the end of a connection arrives is up to the kernel.
const REPEATS: usize = 10;

/// How a server ends the connection after its answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum End {
    /// Resets it.
    Reset,
    /// Closes it while bytes of the call are unread.
    CloseUnread,
    /// Reads the whole call first, and closes it.
    Close,
}

/// A server on a thread of its own that sends these bytes to each call.
fn server(answer: String, end: End) -> SocketAddr {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("bind");
    let address = listener.local_addr().expect("address");
    std::thread::spawn(move || {
        smol::block_on(async {
            let listener = TcpListener::try_from(listener).expect("a listener");
            while let Ok((stream, _)) = listener.accept().await {
                answer_call(BufferedStream::new(stream), &answer, end).await;
            }
        });
    });
    address
}

async fn answer_call(mut connection: BufferedStream, answer: &str, end: End) {
    let Ok((_, mut decoder)) = read_request_head(&mut connection, 65_536).await else {
        return;
    };
    match end {
        End::Close => {
            let mut body = Vec::new();
            while let Ok(true) = decoder.read(&mut connection, &mut body).await {}
        }
        End::CloseUnread => connection.until_input().await,
        End::Reset => {}
    }
    let _ = connection.write_all(answer.as_bytes()).await;
    match end {
        End::Reset => {
            let _ = SockRef::from(&connection.writer()).set_linger(Some(Duration::ZERO));
        }
        End::CloseUnread => {}
        End::Close => {
            let _ = connection.writer().shutdown(Shutdown::Write);
        }
    }
}

/// Whether a call has an answer.
async fn is_answered(server: SocketAddr, body: &[u8]) -> bool {
    let memory = Share::new(ShareLimits::of_bytes(1_000_000));
    let mut connection = CallConnection::new(server, 1_000_000, memory);
    let head = request("store.test", "r").head;
    connection.call(head, body, TIMEOUT_MS).await.is_ok()
}

// Guards against a part of an answer being taken for whole where a call's connection was reset while
// the call was written.
#[test]
fn a_call_whose_connection_is_reset_under_its_body_has_no_answer() {
    smol::block_on(async {
        let large = vec![b'x'; LARGE_CALL_BYTES];
        for status in ["200 OK", "404 Not Found", "409 Conflict"] {
            for end in [End::Reset, End::CloseUnread] {
                let answer = format!("HTTP/1.1 {status}\r\n\r\n{{\"part\": 1}}");
                let server = server(answer, end);
                for _ in 0..REPEATS {
                    assert!(!is_answered(server, &large).await, "{status} {end:?}");
                }
            }
        }
    });
}

// Guards against a call of the store or of an engine being taken for answered by a head with no status
// code, or with a name of a field that is none.
#[test]
fn a_head_that_is_no_answer_answers_no_call() {
    smol::block_on(async {
        let heads = [
            "000 Status",
            "099 Status",
            "600 Status",
            "999 Status",
            "200 OK\r\nX Name: 1",
            "200 OK\r\nX\u{1}Name: 1",
            "200 OK\r\nX-Name : 1",
            "200 OK\r\n X-Name: 1",
        ];
        for head in heads {
            let answer = format!("HTTP/1.1 {head}\r\nContent-Length: 2\r\n\r\n{{}}");
            assert!(
                !is_answered(server(answer, End::Close), b"").await,
                "{head}"
            );
        }
        let sound = "HTTP/1.1 200 OK\r\nX-Name: 1\r\nContent-Length: 2\r\n\r\n{}";
        assert!(is_answered(server(sound.to_owned(), End::Close), b"").await);
    });
}

// Guards against a call being taken for answered by a head in the middle of which the server closed
// the connection.
#[test]
fn a_head_that_is_cut_at_any_byte_answers_no_call() {
    smol::block_on(async {
        let framings = ["Content-Length: 0", "Transfer-Encoding: chunked", "X: 1"];
        for framing in framings {
            let head = format!("HTTP/1.1 200 OK\r\n{framing}\r\n\r\n");
            for length in 0..head.len() {
                let server = server(head[..length].to_owned(), End::Close);
                assert!(!is_answered(server, b"").await, "{:?}", &head[..length]);
            }
        }
    });
}
