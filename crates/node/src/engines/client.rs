//! Calls to back ends over HTTP/1.1, one fresh connection an attempt.
//!
//! The HTTP library's client does not fit here: its pool drains an unread
//! answer when it is dropped, which keeps an abandoned request running at the
//! engine, and it waits for `100 Continue` before every body, a round trip
//! before the first token. So the request is written at once on a connection of
//! its own, and [`EngineBody`] reads the answer. No connection is reused:
//! dropping the answer closes it, which cancels the request, and an answer can
//! only be that of its own request.
//!
//! An attempt counts as [`AttemptState::MaybeSent`] from the first byte that
//! the operating system took.

use crate::engines::body::{read_head, EngineBody};
use ploverlift_http1::ResponseHead;
use ploverlift_policy::admission::RetryAfter;
use ploverlift_policy::attempt::{promises_not_run, AttemptState};
use ploverlift_policy::decimal::read_seconds_as_ms;
use ploverlift_policy::ids::{Incarnation, RequestId, WeightsVersion};
use smol::io::AsyncWriteExt;
use smol::net::TcpStream;
use std::fmt::Write;
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use trillium::{Method, Status};

/// Header by which a back end says whether it ran a request that it refused.
pub const RUN_STATE_HEADER: &str = "x-run-state";
/// Value of [`RUN_STATE_HEADER`] for a request that did not run.
pub const NOT_RUN: &str = "not_run";
/// Header with the first stream position that is wanted.
pub const RESUME_FROM_HEADER: &str = "x-resume-from";
/// Header with the engine's life on whose cache the request relies.
pub const EXPECTED_INCARNATION_HEADER: &str = "x-expected-incarnation";
/// Header with the weights on which the request relies.
pub const EXPECTED_WEIGHTS_HEADER: &str = "x-expected-weights";
/// Header by which an engine tells its life when it refuses a request.
pub const ENGINE_INCARNATION_HEADER: &str = "x-engine-incarnation";
/// Header by which an engine tells its weights when it refuses a request.
pub const ENGINE_WEIGHTS_HEADER: &str = "x-engine-weights";
/// Header with the request's identifier, echoed by the back end.
pub const REQUEST_ID_HEADER: &str = "x-request-id";

/// Largest whole answer that is held in memory, in bytes.
pub const MAX_WHOLE_ANSWER_BYTES: usize = 64 * 1024 * 1024;

/// One request to a back end.
#[derive(Clone, Debug)]
pub struct EngineCall {
    /// The back end's listener.
    pub address: SocketAddr,
    /// HTTP method.
    pub method: Method,
    /// Path and query.
    pub path: String,
    /// Identifier that the back end must echo.
    pub request_id: RequestId,
    /// Content type of the body.
    pub content_type: String,
    /// Body.
    pub body: Arc<Vec<u8>>,
    /// First stream position that is wanted, 0 for all.
    pub resume_from: u64,
    /// The engine's life and weights on which the decision relies, when it was
    /// observed; the engine refuses the request when it has others.
    pub relies_on: Option<EngineGeneration>,
}

/// One life of an engine with one version of weights.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EngineGeneration {
    /// The engine's life.
    pub incarnation: Incarnation,
    /// The weights it serves.
    pub weights: WeightsVersion,
}

/// The head of a back end's answer and its body, not yet read.
pub struct EngineAnswer {
    /// HTTP status.
    pub status: Status,
    /// Content type.
    pub content_type: String,
    /// Body. Dropping it closes the connection.
    pub body: EngineBody,
}

/// Why there is no answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CallFailure {
    /// How far the attempt got.
    pub state: AttemptState,
    /// When the back end asked to come back.
    pub come_back: Option<RetryAfter>,
    /// What the engine said of itself when it refused.
    pub correction: Option<EngineGeneration>,
    /// What happened, for logs.
    pub reason: String,
}

impl EngineCall {
    /// Sends the request and waits for the head of the answer. `sent` tells,
    /// also while this is under way, whether any byte was sent.
    ///
    /// # Errors
    /// When the connection fails, the back end refuses the request or the
    /// answer is that of another request.
    pub async fn send(&self, sent: &Arc<AtomicBool>) -> Result<EngineAnswer, CallFailure> {
        let exchange = async {
            let mut stream = TcpStream::connect(self.address).await?;
            stream.set_nodelay(true)?;
            write_noting(&mut stream, &self.request_bytes(), sent).await?;
            read_head(stream, self.method.as_ref()).await
        };
        let answered: io::Result<(ResponseHead, EngineBody)> = exchange.await;
        let (head, body) = answered.map_err(|error| failure_of(sent, error.to_string()))?;
        self.check(&head, body)
    }

    /// The whole request, written in one piece.
    fn request_bytes(&self) -> Vec<u8> {
        let mut head = format!(
            "{} {} HTTP/1.1\r\nhost: {}\r\nconnection: close\r\n\
             {REQUEST_ID_HEADER}: {}\r\ncontent-type: {}\r\ncontent-length: {}\r\n",
            self.method,
            self.path,
            self.address,
            self.request_id,
            self.content_type,
            self.body.len(),
        );
        if self.resume_from > 0 {
            let _ = write!(head, "{RESUME_FROM_HEADER}: {}\r\n", self.resume_from);
        }
        if let Some(generation) = self.relies_on {
            let _ = write!(
                head,
                "{EXPECTED_INCARNATION_HEADER}: {}\r\n{EXPECTED_WEIGHTS_HEADER}: {}\r\n",
                generation.incarnation, generation.weights
            );
        }
        head.push_str("\r\n");
        let mut bytes = head.into_bytes();
        bytes.extend_from_slice(&self.body);
        bytes
    }

    fn check(&self, head: &ResponseHead, body: EngineBody) -> Result<EngineAnswer, CallFailure> {
        let status = Status::try_from(head.status.get()).unwrap_or(Status::BadGateway);
        if head.headers.get(RUN_STATE_HEADER) == Some(NOT_RUN) {
            let retry_after = head.headers.get("retry-after");
            let retry_after_ms = retry_after.and_then(read_seconds_as_ms);
            return Err(CallFailure {
                state: AttemptState::Refused,
                come_back: retry_after_ms.map(RetryAfter::clamped),
                correction: correction_in(head),
                reason: format!("refused with status {status}"),
            });
        }
        if head.headers.get(REQUEST_ID_HEADER) != Some(self.request_id.as_str()) {
            return Err(CallFailure {
                state: AttemptState::MaybeSent,
                come_back: None,
                correction: None,
                reason: "the answer is not that of this request".to_owned(),
            });
        }
        if promises_not_run(head.status.get()) {
            // The engine ran it, so its status must not reach the caller.
            return Err(CallFailure {
                state: AttemptState::Answered,
                come_back: None,
                correction: None,
                reason: format!("failed with status {status}"),
            });
        }
        let content_type = head.headers.get("content-type");
        Ok(EngineAnswer {
            status,
            content_type: content_type
                .unwrap_or("application/octet-stream")
                .to_owned(),
            body,
        })
    }
}

/// Writes everything and notes as soon as any byte was taken.
async fn write_noting(stream: &mut TcpStream, bytes: &[u8], sent: &AtomicBool) -> io::Result<()> {
    let mut written = 0;
    while written < bytes.len() {
        let count = stream.write(&bytes[written..]).await?;
        if count == 0 {
            return Err(io::ErrorKind::WriteZero.into());
        }
        sent.store(true, Ordering::Release);
        written += count;
    }
    Ok(())
}

/// The state of an attempt that ended without an answer.
pub fn state_without_answer(sent: &AtomicBool) -> AttemptState {
    if sent.load(Ordering::Acquire) {
        AttemptState::MaybeSent
    } else {
        AttemptState::Unsent
    }
}

fn failure_of(sent: &AtomicBool, reason: String) -> CallFailure {
    CallFailure {
        state: state_without_answer(sent),
        come_back: None,
        correction: None,
        reason,
    }
}

fn correction_in(head: &ResponseHead) -> Option<EngineGeneration> {
    let number = |name: &str| head.headers.get(name)?.parse::<u64>().ok();
    Some(EngineGeneration {
        incarnation: Incarnation(number(ENGINE_INCARNATION_HEADER)?),
        weights: WeightsVersion(number(ENGINE_WEIGHTS_HEADER)?),
    })
}

impl EngineAnswer {
    /// Reads the whole body.
    ///
    /// # Errors
    /// When the connection breaks before the end or the answer is too large.
    pub async fn read_whole(&mut self) -> io::Result<Vec<u8>> {
        let mut bytes = Vec::new();
        let mut buffer = [0; READ_BYTES];
        loop {
            let count = self.body.read(&mut buffer).await?;
            if count == 0 {
                return Ok(bytes);
            }
            bytes.extend_from_slice(&buffer[..count]);
            if bytes.len() > MAX_WHOLE_ANSWER_BYTES {
                return Err(io::Error::other("the answer is too large"));
            }
        }
    }
}

/// Size of one read of a whole answer, in bytes.
const READ_BYTES: usize = 8 * 1024;
