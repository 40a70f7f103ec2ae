//! Answers that an engine sends before it has read the body of the request, and after which it ends
//! the connection at once.

use super::super::site;
use super::answers::is_stream;
use super::{AnswerFormat, Shared};
use ploverlift_gateway::time::sleep;
use ploverlift_http1::{BufferedStream, Framing, RequestHead, ResponseHead, StatusCode};
use socket2::SockRef;
use std::net::Shutdown;
use std::time::Duration;

/// Body of an answer that is no stream, as far as it is sent.
pub const PART: &str = "the first forty bytes of a longer answer";
/// Length that an answer with a length declares, in bytes.
const DECLARED_BYTES: usize = 2 * PART.len();
/// Time between the end of the engine's side and the close of the connection, in milliseconds.
const CLOSED_AFTER_MS: u64 = 200;

/// How an engine ends the connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EarlyEnd {
    /// Resets it.
    Reset,
    /// Closes it while bytes of the request are unread, for which the kernel resets it.
    CloseUnread,
    /// Ends its side regularly, and reads on until the node closes.
    ShutDown,
    /// Ends its side regularly, and closes the connection later with unread bytes.
    ShutDownThenClose,
}

impl EarlyEnd {
    pub const RESETS: [Self; 2] = [Self::Reset, Self::CloseUnread];
    pub const REGULAR: [Self; 2] = [Self::ShutDown, Self::ShutDownThenClose];
}

/// An answer before the body of its request was read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EarlyAnswer {
    pub status: u16,
    /// Bytes of the connection that are read after the head at least.
    pub reads_bytes: usize,
    pub end: EarlyEnd,
}

pub(super) async fn answer_early(
    shared: &Shared,
    answer: EarlyAnswer,
    mut connection: BufferedStream,
    request: &RequestHead,
) {
    read_some(&mut connection, answer.reads_bytes).await;
    if answer.end == EarlyEnd::CloseUnread {
        // Where all that has arrived is read, the kernel ends the connection regularly.
        connection.until_input().await;
    }
    let message = message(shared.format(), answer.status, request);
    // The node may have left meanwhile.
    let _ = connection.write_all(&message).await;
    match answer.end {
        EarlyEnd::Reset => {
            let _ = SockRef::from(&connection.writer()).set_linger(Some(Duration::ZERO));
        }
        EarlyEnd::CloseUnread => {}
        EarlyEnd::ShutDown => {
            let _ = connection.writer().shutdown(Shutdown::Write);
            while connection.discard().await.is_ok_and(|count| count > 0) {}
        }
        EarlyEnd::ShutDownThenClose => {
            let _ = connection.writer().shutdown(Shutdown::Write);
            sleep(CLOSED_AFTER_MS).await;
        }
    }
}

async fn read_some(connection: &mut BufferedStream, bytes: usize) {
    let mut read = 0;
    while read < bytes {
        match connection.discard().await {
            Ok(count @ 1..) => read += count,
            _ => return,
        }
    }
}

/// The head of an answer, and the first event of a stream or [`PART`].
fn message(format: AnswerFormat, status: u16, request: &RequestHead) -> Vec<u8> {
    let mut head = ResponseHead::new(200);
    head.status = StatusCode::literal(status);
    let id = request.headers.get(site::ID).unwrap_or_default();
    head.headers.try_push(site::ID, id).expect("a value");
    head.headers.push(site::SIGNED, "1");
    let part = match is_stream(request) && status == 200 {
        true => format.event(1),
        false => PART.to_owned(),
    };
    let part = match format.framing {
        Framing::Chunked => {
            head.headers.push("transfer-encoding", "chunked");
            format!("{:x}\r\n{part}\r\n", part.len())
        }
        Framing::Length(_) => {
            head.headers.push("content-length", DECLARED_BYTES);
            part
        }
        Framing::UntilClose => part,
    };
    let mut message = head.encode();
    message.extend_from_slice(part.as_bytes());
    message
}
