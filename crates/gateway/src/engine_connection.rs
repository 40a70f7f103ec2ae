//! One request to an engine, on a new connection or on a kept one.
//!
//! A kept connection may be closed by the engine at the moment it is used, and
//! then nobody knows whether the request ran; an answer too many that comes late
//! carries another request's id. A new connection has neither fault. Dropping the
//! answer closes the connection, and so cancels the request.

use crate::time::within;
use ploverlift_http1::{
    read_response_head, BodyDecoder, BufferedStream, HttpError, RequestHead, ResponseHead,
};
use ploverlift_policy::attempt::AttemptState;
use smol::io::AsyncWriteExt;
use std::fmt;
use std::sync::atomic::{AtomicBool, Ordering};

/// Largest head of an answer, in bytes.
const MAX_HEAD_BYTES: usize = 32 * 1024;

/// The head of an engine's answer, and its body not yet read. Dropping it
/// closes the connection, and so cancels the request.
pub struct EngineAnswer {
    /// Head.
    pub head: ResponseHead,
    decoder: BodyDecoder,
    stream: BufferedStream,
    /// Whether the whole request was written. An engine that answered before reads
    /// the rest of the body where another request would stand.
    request_is_written: bool,
}

impl EngineAnswer {
    /// The connection, when the answer is over and another request may follow on it.
    pub fn into_idle_connection(self) -> Option<BufferedStream> {
        let closes = self.head.headers.has_token("connection", "close");
        let is_over = self.decoder.is_over() && !self.decoder.ends_with_connection();
        let is_clean = self.request_is_written && self.stream.pending().is_empty();
        (is_over && is_clean && !closes).then_some(self.stream)
    }

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
    /// What happened.
    pub reason: FailureReason,
}

/// What kept an answer from coming; displayed in logs and to callers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FailureReason {
    /// The engine said nothing within the limit.
    NoAnswerInTime,
    /// The engine was found to be lost during the wait.
    EngineLost,
    /// The request could yet have begun on outdated weights.
    WeightsOutdated,
    /// The engine closed or reset the connection.
    ConnectionEnded(String),
    /// The answer is malformed, or too large.
    Malformed(String),
}

impl FailureReason {
    /// What an error on a connection to an engine says.
    pub fn of(error: &HttpError) -> Self {
        match error {
            HttpError::Closed | HttpError::Truncated | HttpError::Io { .. } => {
                Self::ConnectionEnded(error.to_string())
            }
            HttpError::HeadTooLarge { .. } | HttpError::Malformed { .. } => {
                Self::Malformed(error.to_string())
            }
        }
    }

    /// Whether the engine ended the connection.
    pub fn is_connection_end(&self) -> bool {
        matches!(self, Self::ConnectionEnded(_))
    }

    /// Whether the wait was ended while the connection still stood. Otherwise the
    /// engine may merely have closed a connection that was kept too long.
    pub fn is_abandoned_wait(&self) -> bool {
        match self {
            Self::NoAnswerInTime | Self::EngineLost | Self::WeightsOutdated => true,
            Self::ConnectionEnded(_) | Self::Malformed(_) => false,
        }
    }
}

impl fmt::Display for FailureReason {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            Self::NoAnswerInTime => "no answer in time",
            Self::EngineLost => "the engine is lost",
            Self::WeightsOutdated => "the engine's weights may be outdated",
            Self::ConnectionEnded(reason) | Self::Malformed(reason) => reason,
        })
    }
}

/// Limits of one attempt.
#[derive(Clone, Copy, Debug)]
pub struct ExchangeLimits {
    /// Longest wait for the connection, in milliseconds.
    pub connect_ms: u64,
    /// Longest wait for the head of the answer, in milliseconds.
    pub head_ms: u64,
}

/// Sends a request on a connection and waits for the head of the answer. An answer
/// that comes before the whole body was sent ends the sending.
///
/// # Errors
/// When no head comes in time, or the answer is malformed.
pub async fn exchange_on(
    mut stream: BufferedStream,
    head: &RequestHead,
    body: &[u8],
    limits: ExchangeLimits,
) -> Result<EngineAnswer, ExchangeFailure> {
    let mut writer = stream.writer();
    let encoded = head.encode();
    let request_is_written = AtomicBool::new(false);
    let write = async {
        // An engine that stopped to read may have answered, so an error here
        // is left to the reader to judge.
        let written = write_message(&mut writer, &encoded, body).await;
        request_is_written.store(written.is_ok(), Ordering::Relaxed);
        std::future::pending().await
    };
    let read = read_response_head(&mut stream, &head.method, MAX_HEAD_BYTES);
    let both = futures_lite::future::or(read, write);
    let answered = within(limits.head_ms, both).await;
    let maybe_sent = |reason| ExchangeFailure {
        state: AttemptState::MaybeSent,
        reason,
    };
    match answered {
        None => Err(maybe_sent(FailureReason::NoAnswerInTime)),
        Some(Err(error)) => Err(maybe_sent(FailureReason::of(&error))),
        Some(Ok((head, decoder))) => Ok(EngineAnswer {
            head,
            decoder,
            stream,
            request_is_written: request_is_written.load(Ordering::Relaxed),
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
