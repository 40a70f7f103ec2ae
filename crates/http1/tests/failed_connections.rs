//! Connections that fail while they are written and read: no body ends regularly after that.
//!
//! Each operation here follows the failure, so which one gets the error is no race.

use ploverlift_http1::{read_response_head, BufferedStream, HttpError};
use smol::io::AsyncWriteExt;
use smol::net::{TcpListener, TcpStream};
use smol::Timer;
use socket2::SockRef;
use std::io;
use std::net::Shutdown;
use std::time::Duration;

/// What the peer sends before the connection ends.
const ANSWER: &str = "HTTP/1.1 200 OK\r\n\r\npart";
/// Head limit, in bytes.
const LIMIT: usize = 4 * 1024;
/// Unacknowledged bytes end a connection after this time.
const USER_TIMEOUT: Duration = Duration::from_millis(100);
/// Longest time for that on a busy machine.
const LONGEST_TIMEOUT: Duration = Duration::from_secs(30);

/// How the peer ends the connection after its answer.
#[derive(Clone, Copy, Debug)]
enum End {
    Reset,
    /// Closes it with unread bytes.
    CloseUnread,
    ShutDown,
    ShutDownThenReset,
}

/// A connection, and its peer.
async fn pair() -> (BufferedStream, TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("bind");
    let address = listener.local_addr().expect("address");
    let stream = TcpStream::connect(address).await.expect("connect");
    let (peer, _) = listener.accept().await.expect("accept");
    (BufferedStream::new(stream), peer)
}

/// A connection whose peer has sent [`ANSWER`] and ended it in this way; returns the peer where it
/// lives on.
async fn ended(end: End) -> (BufferedStream, Option<TcpStream>) {
    let (stream, mut peer) = pair().await;
    stream.writer().write_all(b"request").await.expect("write");
    peer.write_all(ANSWER.as_bytes()).await.expect("write");
    let reset = |peer: &TcpStream| SockRef::from(peer).set_linger(Some(Duration::ZERO));
    match end {
        End::Reset => reset(&peer).expect("linger"),
        End::CloseUnread => {}
        End::ShutDown => {
            peer.shutdown(Shutdown::Write).expect("shutdown");
            return (stream, Some(peer));
        }
        End::ShutDownThenReset => {
            peer.shutdown(Shutdown::Write).expect("shutdown");
            reset(&peer).expect("linger");
        }
    }
    drop(peer);
    (stream, None)
}

/// An operation on a connection before its body is read.
#[derive(Clone, Copy, Debug)]
enum Before {
    Nothing,
    Write,
    TwoWrites,
    /// Waits for input, which consumes nothing.
    Wait,
    /// Asks whether there is input, in the two ways.
    Ask,
}

const BEFORE: [Before; 5] = [
    Before::Nothing,
    Before::Write,
    Before::TwoWrites,
    Before::Wait,
    Before::Ask,
];

async fn operate(stream: &BufferedStream, before: Before) {
    let mut writer = stream.writer();
    match before {
        Before::Nothing => {}
        Before::Write => drop(writer.write_all(b"more").await),
        Before::TwoWrites => {
            drop(writer.write_all(b"more").await);
            drop(writer.write_all(b"more").await);
        }
        Before::Wait => stream.until_input().await,
        Before::Ask => {
            stream.is_quiet().await;
            stream.has_unread_bytes().await;
        }
    }
}

/// Reads the answer; returns its body, and whether that has ended regularly.
async fn read(stream: &mut BufferedStream) -> (String, Result<bool, HttpError>) {
    let head = read_response_head(stream, "POST", LIMIT).await;
    let (_, mut decoder) = head.expect("a head");
    let mut body = Vec::new();
    let end = loop {
        match decoder.read(stream, &mut body).await {
            Ok(true) => {}
            end => break end,
        }
    };
    (String::from_utf8(body).expect("text"), end)
}

/// Reads an answer whose connection has ended, after an operation on it; returns whether the body
/// has ended regularly, and a description.
async fn read_after(end: End, before: Before) -> (Result<bool, HttpError>, String) {
    let (mut stream, _peer) = ended(end).await;
    operate(&stream, before).await;
    let (body, end_of_body) = read(&mut stream).await;
    let case = format!("{end:?}, {before:?}: {end_of_body:?}");
    assert_eq!(body, "part", "{case}");
    (end_of_body, case)
}

// Guards against a reset that the write of the request gets, after which the read of the answer
// finds a regular end.
#[test]
fn a_body_does_not_end_regularly_after_a_reset_whichever_operation_got_it() {
    smol::block_on(async {
        for end in [End::Reset, End::CloseUnread] {
            for before in BEFORE {
                let (end_of_body, case) = read_after(end, before).await;
                let Err(HttpError::Io { source }) = end_of_body else {
                    panic!("{case}");
                };
                assert_eq!(source.kind(), io::ErrorKind::ConnectionReset, "{case}");
            }
        }
    });
}

// Guards against the same where a read, or a wait, got the error before.
#[test]
fn a_failed_connection_stays_failed_for_all_handles() {
    smol::block_on(async {
        for before in BEFORE {
            let (mut stream, _peer) = ended(End::Reset).await;
            operate(&stream, before).await;
            assert_eq!(stream.fill().await.expect("the answer"), ANSWER.len());
            for _ in 0..3 {
                assert!(stream.fill().await.is_err(), "{before:?}");
                assert!(stream.discard().await.is_err(), "{before:?}");
                assert!(!stream.has_unread_bytes().await);
            }
        }
    });
}

// Guards against a wait for input that gets the reset, once all that was received is read, and leaves a
// regular end to the read after it.
#[test]
fn a_body_does_not_end_regularly_after_a_reset_that_a_wait_got() {
    smol::block_on(async {
        for before in [Before::Wait, Before::Ask] {
            let (mut stream, _peer) = ended(End::Reset).await;
            assert_eq!(stream.fill().await.expect("the answer"), ANSWER.len());
            operate(&stream, before).await;
            let (body, end) = read(&mut stream).await;
            assert_eq!(body, "part", "{before:?}");
            assert!(
                matches!(end, Err(HttpError::Io { .. })),
                "{before:?}: {end:?}"
            );
        }
    });
}

// Guards against a connection that timed out under a write being taken for one that the peer ended.
#[test]
fn a_body_does_not_end_regularly_after_a_time_out_that_a_write_got() {
    smol::block_on(async {
        let (mut stream, mut peer) = pair().await;
        peer.write_all(ANSWER.as_bytes()).await.expect("write");
        let mut writer = stream.writer();
        let timeout = SockRef::from(&writer).set_tcp_user_timeout(Some(USER_TIMEOUT));
        timeout.expect("a time-out");
        let piece = vec![b'x'; 64 * 1024];
        let writing = async {
            loop {
                if let Err(error) = writer.write_all(&piece).await {
                    return error.kind();
                }
            }
        };
        let too_late = async {
            Timer::after(LONGEST_TIMEOUT).await;
            panic!("the connection did not time out");
        };
        let kind = smol::future::or(writing, too_late).await;
        assert_eq!(kind, io::ErrorKind::TimedOut);
        let (body, end) = read(&mut stream).await;
        assert_eq!(body, "part");
        assert!(matches!(end, Err(HttpError::Io { .. })), "{end:?}");
        drop(peer);
    });
}

// Guards against whole answers that are taken for cut ones: the peer has ended its side and reads no
// more, so writes fail.
#[test]
fn a_body_ends_regularly_where_the_peer_ended_its_side_before() {
    smol::block_on(async {
        for end in [End::ShutDown, End::ShutDownThenReset] {
            for before in BEFORE {
                let (end_of_body, case) = read_after(end, before).await;
                assert!(matches!(end_of_body, Ok(false)), "{case}");
            }
        }
    });
}
