//! One request to an engine on a connection of its own.
//!
//! A kept connection may be closed by the engine at the moment it is used, and
//! then nobody knows whether the request ran; a second answer that comes late
//! would be taken for the next request's. A connection for each attempt has
//! neither fault, and dropping it cancels the request.

use crate::http_call::{connect, CallError};
use crate::time::within;
use ploverlift_http1::{
    read_response_head, BodyDecoder, BufferedStream, HttpError, RequestHead, ResponseHead,
};
use ploverlift_policy::attempt::AttemptState;
use smol::io::AsyncWriteExt;
use std::net::SocketAddr;

/// Largest head of an answer, in bytes.
const MAX_HEAD_BYTES: usize = 32 * 1024;

/// The head of an engine's answer, and its body not yet read. Dropping it
/// closes the connection, and so cancels the request.
pub struct EngineAnswer {
    /// Head.
    pub head: ResponseHead,
    decoder: BodyDecoder,
    stream: BufferedStream,
}

impl EngineAnswer {
    /// Appends the next bytes of the body; false at its proper end.
    ///
    /// # Errors
    /// When the connection breaks before the end.
    pub async fn read(&mut self, output: &mut Vec<u8>) -> Result<bool, HttpError> {
        self.decoder.read(&mut self.stream, output).await
    }
}

/// Why there is no head of an answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ExchangeFailure {
    /// How far the attempt got.
    pub state: AttemptState,
    /// What happened, for logs.
    pub reason: String,
}

/// Limits of one exchange.
#[derive(Clone, Copy, Debug)]
pub struct ExchangeLimits {
    /// Longest wait for the connection, in milliseconds.
    pub connect_ms: u64,
    /// Longest wait for the head of the answer, in milliseconds.
    pub head_ms: u64,
}

/// Sends a request and waits for the head of the answer. An answer that comes
/// before the whole body was sent ends the sending.
///
/// # Errors
/// When no connection or no head comes in time, or the answer is malformed.
pub async fn exchange(
    address: SocketAddr,
    head: &RequestHead,
    body: &[u8],
    limits: ExchangeLimits,
) -> Result<EngineAnswer, ExchangeFailure> {
    let connected = connect(address, limits.connect_ms).await;
    let mut stream = connected.map_err(|error| unsent(&error))?;
    let mut writer = stream.writer();
    let encoded = head.encode();
    let write = async {
        // An engine that stopped to read may have answered, so an error here
        // is left to the reader to judge.
        let _ = write_message(&mut writer, &encoded, body).await;
        std::future::pending().await
    };
    let read = read_response_head(&mut stream, &head.method, MAX_HEAD_BYTES);
    let both = futures_lite::future::or(read, write);
    let answered = within(limits.head_ms, both).await;
    let maybe_sent = |reason: String| ExchangeFailure {
        state: AttemptState::MaybeSent,
        reason,
    };
    match answered {
        None => Err(maybe_sent("no answer in time".to_owned())),
        Some(Err(error)) => Err(maybe_sent(error.to_string())),
        Some(Ok((head, decoder))) => Ok(EngineAnswer {
            head,
            decoder,
            stream,
        }),
    }
}

async fn write_message(
    writer: &mut smol::net::TcpStream,
    head: &[u8],
    body: &[u8],
) -> std::io::Result<()> {
    // Small messages go out in one segment.
    const ONE_SEGMENT_BYTES: usize = 16 * 1024;
    if head.len() + body.len() <= ONE_SEGMENT_BYTES {
        let mut message = head.to_vec();
        message.extend_from_slice(body);
        return writer.write_all(&message).await;
    }
    writer.write_all(head).await?;
    writer.write_all(body).await
}

fn unsent(error: &CallError) -> ExchangeFailure {
    ExchangeFailure {
        state: AttemptState::Unsent,
        reason: error.to_string(),
    }
}
