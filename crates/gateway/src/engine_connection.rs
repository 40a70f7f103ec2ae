//! One request to an engine, on a new connection or on a reused one.
//!
//! A reused connection has two faults that a new one has not: the engine may close it at
//! the moment it is used, which leaves unknown whether the request ran, and a late surplus
//! answer on it carries the id of an earlier request. Dropping the answer closes the
//! connection, and so cancels the request.

use crate::answer_limits::ANSWER_LIMITS;
use crate::time::within;
use ploverlift_balancing::connection_window::EnginePlace;
use ploverlift_http1::error::malformed;
use ploverlift_http1::{
    read_response_head, BodyDecoder, BufferedStream, Framing, HttpError, RequestHead, ResponseHead,
    TcpConnection,
};
use ploverlift_policy::attempt::AttemptState;
use smol::io::AsyncWriteExt;
use std::fmt;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Instant;

/// The head of an engine's answer, with its body still unread. Dropping it closes the
/// connection, and so cancels the request.
pub struct EngineAnswer {
    /// Head.
    pub head: ResponseHead,
    decoder: BodyDecoder,
    stream: BufferedStream,
    /// Whether the whole request was written. An engine that answered before that would
    /// read the rest of the body as the start of the next request.
    request_is_written: bool,
    /// When the request was sent, at the earliest.
    request_sent_at: Instant,
    /// Size of the body so far, in bytes.
    body_bytes: u64,
    /// The place of the connection among this node's connections to the engine.
    place: Option<EnginePlace>,
}

/// The regular end of a body.
#[derive(Clone, Copy, Debug)]
pub struct BodyEnd {
    /// How the end was determined.
    pub framing: Framing,
    /// When the request was sent, at the earliest.
    pub request_sent_at: Instant,
}

impl EngineAnswer {
    /// Counts the connection for as long as the answer lasts, or the connection after it.
    pub fn hold_place(mut self, place: Option<EnginePlace>) -> Self {
        self.place = place;
        self
    }

    /// The connection and its place, if the answer is complete and another request may be sent on
    /// it.
    pub fn into_idle_connection(self) -> Option<(BufferedStream, Option<EnginePlace>)> {
        let closes = self.head.headers.has_token("connection", "close");
        let is_over = self.decoder.is_over() && !self.decoder.ends_with_connection();
        let is_clean = self.request_is_written
            && self.stream.pending().is_empty()
            && self.stream.may_be_reused();
        (is_over && is_clean && !closes).then_some((self.stream, self.place))
    }

    /// How the end of the body is determined.
    pub fn framing(&self) -> Framing {
        self.decoder.framing()
    }

    /// The end of the body, once it was read.
    pub fn body_end(&self) -> BodyEnd {
        BodyEnd {
            framing: self.framing(),
            request_sent_at: self.request_sent_at,
        }
    }

    /// Whether the whole request had been written when the head arrived. What answers an unwritten
    /// request was sent before it.
    pub fn request_is_written(&self) -> bool {
        self.request_is_written
    }

    /// Appends the next bytes of the body to `output`; returns false at the regular end of
    /// the body.
    ///
    /// # Errors
    /// When the connection breaks before the end, or the body is over its limit.
    pub async fn read(&mut self, output: &mut Vec<u8>) -> Result<bool, HttpError> {
        let declared = self.decoder.declared_length().unwrap_or(0);
        let limit = ANSWER_LIMITS.body_bytes;
        if self.body_bytes.saturating_add(declared) > limit {
            return Err(malformed(format!("the answer is over {limit} bytes")));
        }
        let before = output.len();
        let read = self.decoder.read(&mut self.stream, output).await;
        self.body_bytes += (output.len() - before) as u64;
        read
    }
}

/// Why no head of an answer was received.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ExchangeFailure {
    /// How far the attempt got.
    pub state: AttemptState,
    /// What happened.
    pub reason: FailureReason,
}

/// Reason why no answer was received; displayed in logs and to callers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FailureReason {
    /// The engine did not answer within the limit.
    NoAnswerInTime,
    /// The engine was found to be lost during the wait.
    EngineLost,
    /// The request might still have begun on outdated weights.
    WeightsOutdated,
    /// The engine closed or reset the connection.
    ConnectionEnded(String),
    /// The answer is malformed, or too large.
    Malformed(String),
}

impl FailureReason {
    /// The reason for an error on a connection to an engine.
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

    /// Whether this node stopped waiting while the connection was still open. Otherwise the
    /// engine may only have closed a connection that was idle for too long.
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

/// Sends a request on a connection and waits at most `timeout_ms` milliseconds for the head of
/// the answer. If the answer arrives before the whole body was sent, the rest of the body is not sent.
///
/// # Errors
/// When no head arrives in time, or the answer is malformed.
pub async fn exchange_on(
    mut stream: BufferedStream,
    head: &RequestHead,
    body: &[u8],
    timeout_ms: u64,
) -> Result<EngineAnswer, ExchangeFailure> {
    let request_sent_at = Instant::now();
    let mut writer = stream.writer();
    let encoded = head.encode();
    let request_is_written = AtomicBool::new(false);
    let write = async {
        // An engine that stopped reading may have answered already, so a write error is not
        // reported here: the read decides, and gets the failure of the connection as well.
        let written = write_message(&mut writer, &encoded, body).await;
        request_is_written.store(written.is_ok(), Ordering::Relaxed);
        std::future::pending().await
    };
    let read = read_response_head(&mut stream, &head.method, ANSWER_LIMITS.head_bytes);
    let both = futures_lite::future::or(read, write);
    let answered = within(timeout_ms, both).await;
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
            request_sent_at,
            body_bytes: 0,
            place: None,
        }),
    }
}

async fn write_message(
    writer: &mut TcpConnection,
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
