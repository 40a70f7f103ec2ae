//! Peers that send without end: readers stop at their limits, hold bounded memory and let other
//! tasks run.

use ploverlift_http1::{
    read_request_head, read_response_head, BodyDecoder, BufferedStream, Framing, HttpError,
};
use smol::io::AsyncWriteExt;
use smol::net::{TcpListener, TcpStream};
use std::future::{poll_fn, Future};
use std::pin::pin;
use std::time::Duration;

const HEAD_LIMIT: usize = 32 * 1024;
/// What a peer sends at least before its connection is closed.
const FLOOD_BYTES: usize = 16 * 1024 * 1024;
/// Longest processor time for which a reader may keep its thread from other tasks.
const LONGEST_TURN: Duration = Duration::from_millis(50);
/// Longest time for reading what a peer sends, on a busy machine.
const LONGEST_READ: Duration = Duration::from_secs(60);
/// Most bytes that a reader may hold.
const MOST_HELD_BYTES: usize = 256 * 1024;

/// A stream to a peer that writes `start`, and then `piece` until the connection is closed.
/// The peer runs on a thread of its own.
async fn flooded(start: &[u8], piece: &[u8]) -> BufferedStream {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("bind");
    let address = listener.local_addr().expect("address");
    let (start, piece) = (start.to_vec(), piece.repeat(64 * 1024 / piece.len() + 1));
    std::thread::spawn(move || {
        smol::block_on(async {
            let mut peer = TcpStream::connect(address).await.expect("connect");
            let mut written = peer.write_all(&start).await;
            while written.is_ok() {
                written = peer.write_all(&piece).await;
            }
        });
    });
    let (stream, _) = listener.accept().await.expect("accept");
    BufferedStream::new(stream)
}

/// Processor time of this thread so far.
fn thread_time() -> Duration {
    let text = std::fs::read_to_string("/proc/thread-self/schedstat").expect("Linux");
    let run_ns = text.split(' ').next().and_then(|text| text.parse().ok());
    Duration::from_nanos(run_ns.expect("a time"))
}

/// Reads the message of an endless peer. Returns the result and the longest processor time for
/// which the reader kept the thread.
fn read_measured<T>(
    start: &[u8],
    piece: &[u8],
    reading: impl AsyncFnOnce(&mut BufferedStream) -> T,
) -> (T, Duration) {
    smol::block_on(async {
        let mut stream = flooded(start, piece).await;
        let mut longest = Duration::ZERO;
        let result = {
            let mut reading = pin!(reading(&mut stream));
            let measured = poll_fn(|context| {
                let began = thread_time();
                let polled = reading.as_mut().poll(context).map(Some);
                longest = longest.max(thread_time() - began);
                polled
            });
            let limit = async {
                smol::Timer::after(LONGEST_READ).await;
                None
            };
            smol::future::or(measured, limit).await
        };
        assert!(stream.pending().len() <= MOST_HELD_BYTES);
        (result.expect("read in time"), longest)
    })
}

fn assert_refused(result: Result<(), HttpError>, longest: Duration, exceeded: &str) {
    let error = result.expect_err("no end").to_string();
    assert!(error.contains(exceeded), "{error}");
    assert!(longest < LONGEST_TURN, "{longest:?}");
}

/// The body of an endless peer, read to its end or `limit` bytes.
async fn read_body(
    stream: &mut BufferedStream,
    framing: Framing,
    limit: usize,
) -> Result<usize, HttpError> {
    let mut decoder = BodyDecoder::new(framing);
    let (mut total, mut piece) = (0, Vec::new());
    while total < limit && decoder.read(stream, &mut piece).await? {
        assert!(piece.len() <= MOST_HELD_BYTES);
        total += piece.len();
        piece.clear();
    }
    Ok(total)
}

// Guards against interim answers without end occupying a thread.
#[test]
fn interim_answers_without_end_are_refused() {
    let (result, longest) =
        read_measured(b"", b"HTTP/1.1 103 Early Hints\r\n\r\n", async |stream| {
            let read = read_response_head(stream, "GET", HEAD_LIMIT).await;
            read.map(|_| ())
        });
    assert_refused(result, longest, "head is over");
}

// Guards against heads without end, which were parsed from the start after each read.
#[test]
fn heads_without_end_are_refused() {
    let cases: [(&[u8], &[u8]); 4] = [
        (b"HTTP/1.1 200 OK\r\nX: ", b"x"),
        (b"HTTP/1.1 200 OK\r\n", b"X: yyyyyyyy\r\n"),
        (b"", b"\r\n"),
        (b"", b"\n"),
    ];
    for (start, piece) in cases {
        let (result, longest) = read_measured(start, piece, async |stream| {
            let read = read_response_head(stream, "GET", HEAD_LIMIT).await;
            read.map(|_| ())
        });
        assert_refused(result, longest, "");
        let (result, longest) = read_measured(b"GET / HTTP/1.1\r\nX: ", b"x", async |stream| {
            let read = read_request_head(stream, HEAD_LIMIT).await;
            read.map(|_| ())
        });
        assert_refused(result, longest, "head is over");
    }
}

// Guards against trailers without end occupying a thread.
#[test]
fn trailers_without_end_are_refused() {
    let (result, longest) = read_measured(b"2\r\nab\r\n0\r\n", b"X: y\r\n", async |stream| {
        let read = read_body(stream, Framing::Chunked, usize::MAX).await;
        read.map(|_| ())
    });
    assert_refused(result, longest, "trailers are over");
}

// Guards against chunk extensions whose bytes no limit on the body counts.
#[test]
fn chunk_extensions_without_end_are_refused() {
    let (result, longest) = read_measured(b"", b"1;a=bbbbbbbbbbbbbbbb\r\nx\r\n", async |stream| {
        let read = read_body(stream, Framing::Chunked, usize::MAX).await;
        read.map(|_| ())
    });
    assert_refused(result, longest, "extensions are over");
    let (result, longest) = read_measured(b"1;", b"a", async |stream| {
        let read = read_body(stream, Framing::Chunked, usize::MAX).await;
        read.map(|_| ())
    });
    assert_refused(result, longest, "line is too long");
}

// Guards against a reader of a fast peer keeping other tasks of its thread from running.
#[test]
fn bodies_without_end_leave_other_tasks_their_turns() {
    let cases: [(Framing, &'static [u8]); 4] = [
        (Framing::UntilClose, b"x"),
        (Framing::Length(1 << 63), b"x"),
        (Framing::Chunked, b"1\r\nx\r\n"),
        (Framing::Chunked, b"1000\r\n"),
    ];
    for (framing, piece) in cases {
        let chunk = [b"1000\r\n".as_slice(), &[b'x'; 0x1000], b"\r\n"].concat();
        let piece: &'static [u8] = match piece {
            b"1000\r\n" => Vec::leak(chunk),
            piece => piece,
        };
        let is_small = piece.len() == 6;
        let limit = if is_small {
            FLOOD_BYTES / 6
        } else {
            FLOOD_BYTES
        };
        let (result, longest) = read_measured(b"", piece, async move |stream| {
            read_body(stream, framing, limit).await
        });
        assert!(result.expect("sound bytes") >= limit, "{framing:?}");
        assert!(longest < LONGEST_TURN, "{framing:?}: {longest:?}");
    }
}

// Guards against many small chunks that have arrived together costing a call each.
#[test]
fn chunks_that_have_arrived_together_are_decoded_together() {
    smol::block_on(async {
        let mut stream = flooded(b"", b"1\r\nx\r\n").await;
        let mut decoder = BodyDecoder::new(Framing::Chunked);
        let (mut calls, mut body) = (0, Vec::new());
        while body.len() < 64 * 1024 {
            assert!(decoder.read(&mut stream, &mut body).await.expect("sound"));
            calls += 1;
        }
        assert!(calls < 64 * 1024 / 16, "{calls}");
    });
}

// Guards against a body going on after a chunk whose length was no number.
#[test]
fn a_malformed_chunk_ends_the_body_after_what_came_before_it() {
    smol::block_on(async {
        let mut stream = flooded(b"2\r\nab\r\nzz\r\n", b"2\r\ncd\r\n").await;
        let mut decoder = BodyDecoder::new(Framing::Chunked);
        let mut body = Vec::new();
        assert!(decoder.read(&mut stream, &mut body).await.expect("sound"));
        for _ in 0..2 {
            let read = decoder.read(&mut stream, &mut body).await;
            assert!(matches!(read, Err(HttpError::Malformed { .. })));
        }
        assert_eq!(body, b"ab");
    });
}
