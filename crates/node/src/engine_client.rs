//! Calls to back ends over HTTP, one fresh connection an attempt.
//!
//! The pooled client of the HTTP library drains an unread answer when it is
//! dropped, which would keep an abandoned request running at the engine, and a
//! reused connection can carry the late answer of an earlier request. So no
//! connection is reused: dropping the answer closes the connection, which
//! cancels the request, and an answer can only be that of its own request.
//!
//! The connection notes whether any byte was handed to the operating system;
//! only then does an attempt count as [`AttemptState::MaybeSent`].

use futures_lite::{AsyncRead, AsyncReadExt, AsyncWrite};
use ploverlift_policy::admission::ComeBack;
use ploverlift_policy::attempt::AttemptState;
use ploverlift_policy::ids::{Incarnation, RequestId, WeightsVersion};
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::task::{Context, Poll};
use trillium::{async_trait, Headers, KnownHeaderName, Method};
use trillium_client::{Client, Connector};
use trillium_http::transport::{BoxedTransport, Transport};
use trillium_http::{ReceivedBody, Status};
use trillium_smol::async_net::TcpStream;
use trillium_smol::{ClientConfig, SmolTransport};

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
pub const MAX_WHOLE_ANSWER_BYTES: u64 = 64 * 1024 * 1024;

/// A connection that notes whether anything was sent on it.
pub struct TrackedTransport {
    inner: SmolTransport<TcpStream>,
    sent: Arc<AtomicBool>,
}

impl AsyncRead for TrackedTransport {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.inner).poll_read(context, buffer)
    }
}

impl AsyncWrite for TrackedTransport {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &[u8],
    ) -> Poll<io::Result<usize>> {
        let result = Pin::new(&mut self.inner).poll_write(context, buffer);
        if matches!(result, Poll::Ready(Ok(count)) if count > 0) {
            self.sent.store(true, Ordering::Release);
        }
        result
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_flush(context)
    }

    fn poll_close(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_close(context)
    }
}

impl Transport for TrackedTransport {
    fn peer_addr(&self) -> io::Result<Option<SocketAddr>> {
        self.inner.peer_addr()
    }
}

struct TrackedConnector {
    sent: Arc<AtomicBool>,
}

#[async_trait]
impl Connector for TrackedConnector {
    type Transport = TrackedTransport;

    async fn connect(&self, url: &trillium_client::Url) -> io::Result<TrackedTransport> {
        let config = ClientConfig::new().with_nodelay(true);
        let inner = config.connect(url).await?;
        Ok(TrackedTransport {
            inner,
            sent: Arc::clone(&self.sent),
        })
    }

    fn spawn<Fut: Future<Output = ()> + Send + 'static>(&self, future: Fut) {
        smol::spawn(future).detach();
    }
}

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
    pub body: ReceivedBody<'static, BoxedTransport>,
}

/// Why there is no answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CallFailure {
    /// How far the attempt got.
    pub state: AttemptState,
    /// When the back end asked to come back.
    pub come_back: Option<ComeBack>,
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
        let connector = TrackedConnector {
            sent: Arc::clone(sent),
        };
        let client = Client::new(connector);
        let url = format!("http://{}{}", self.address, self.path);
        let mut conn = client
            .build_conn(self.method, url)
            .with_request_header(REQUEST_ID_HEADER, self.request_id.0.clone())
            .with_request_header(KnownHeaderName::ContentType, self.content_type.clone());
        if self.resume_from > 0 {
            conn = conn.with_request_header(RESUME_FROM_HEADER, self.resume_from.to_string());
        }
        if let Some(generation) = self.relies_on {
            let incarnation = generation.incarnation.to_string();
            let weights = generation.weights.to_string();
            conn = conn
                .with_request_header(EXPECTED_INCARNATION_HEADER, incarnation)
                .with_request_header(EXPECTED_WEIGHTS_HEADER, weights);
        }
        if !self.body.is_empty() {
            conn = conn.with_body(self.body.as_ref().clone());
        }
        let result = conn.await;
        let conn = result.map_err(|error| failure_of(sent, error.to_string()))?;
        self.check(conn)
    }

    fn check(&self, conn: trillium_client::Conn) -> Result<EngineAnswer, CallFailure> {
        let headers = conn.response_headers();
        let status = conn.status().unwrap_or(Status::BadGateway);
        if headers.get_str(RUN_STATE_HEADER) == Some(NOT_RUN) {
            let seconds = headers.get_str(KnownHeaderName::RetryAfter);
            let seconds = seconds.and_then(|text| text.parse::<u64>().ok());
            return Err(CallFailure {
                state: AttemptState::Refused,
                come_back: seconds.map(|seconds| ComeBack::after(seconds.saturating_mul(1_000))),
                correction: correction_in(headers),
                reason: format!("refused with status {status}"),
            });
        }
        if headers.get_str(REQUEST_ID_HEADER) != Some(self.request_id.as_str()) {
            return Err(CallFailure {
                state: AttemptState::MaybeSent,
                come_back: None,
                correction: None,
                reason: "the answer is not that of this request".to_owned(),
            });
        }
        let content_type = headers
            .get_str(KnownHeaderName::ContentType)
            .unwrap_or("application/octet-stream")
            .to_owned();
        let body: ReceivedBody<'static, BoxedTransport> = conn.into();
        Ok(EngineAnswer {
            status,
            content_type,
            body: body.with_max_len(u64::MAX),
        })
    }
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

fn correction_in(headers: &Headers) -> Option<EngineGeneration> {
    let number = |name: &'static str| headers.get_str(name)?.parse::<u64>().ok();
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
        let mut limited = (&mut self.body).take(MAX_WHOLE_ANSWER_BYTES + 1);
        limited.read_to_end(&mut bytes).await?;
        if bytes.len() as u64 > MAX_WHOLE_ANSWER_BYTES {
            return Err(io::Error::other("the answer is too large"));
        }
        Ok(bytes)
    }
}
