//! Serves the requests of one caller connection.

use super::start_hold::{start_hold_ms, wait_for_site};
use super::{IdleConnection, OpenConnection};
use crate::forward::{
    admit, refuse, serve, AfterAnswer, CallerAnswer, ReceivedRequest, StreamFraming, TimeLimits,
};
use crate::ports::{CallerRequest, InvalidRequest, Refusal, RefusalKind};
use crate::state::Gateway;
use crate::time::{sleep, within};
use ploverlift_http1::{read_request_head, BodyDecoder, BufferedStream, HttpError, RequestHead};
use ploverlift_policy::ids::Millis;
use ploverlift_quarantine::fingerprint::{RequestFingerprint, RequestParts};
use ploverlift_routing::configuration::CallerLimits;
use smol::net::TcpStream;
use socket2::SockRef;
use std::io;
use std::net::Shutdown;
use std::sync::Arc;
use std::time::Duration;

/// Idle time after which a stopping node closes a kept connection, in milliseconds.
const STOPPING_IDLE_MS: u64 = 1_500;
/// Longest wait for a caller to read the last answer and close, in milliseconds.
const LINGER_MS: u64 = 300;
/// Bytes that a caller may pipeline before the answer to its current request. If it sends
/// more, its connection is closed after that answer.
const MAX_PIPELINED_BYTES: usize = 64 * 1024;

/// Why reading a head gave no request.
enum NoRequest {
    /// The connection has ended or is closed without an answer.
    Ended,
    /// The caller gets a refusal.
    Refused(Refusal),
}

/// Serves a connection until it ends.
pub async fn serve_connection(gateway: Arc<Gateway>, stream: TcpStream, open: OpenConnection) {
    let mut connection = BufferedStream::new(stream);
    loop {
        let read = read_head(&gateway, &mut connection, &open).await;
        let after = match read {
            Err(NoRequest::Ended) => return,
            Err(NoRequest::Refused(refusal)) => {
                let framing = StreamFraming::Chunked;
                let mut answer = new_answer(&gateway, &connection, framing, false);
                refuse(&gateway, &mut answer, &refusal, None).await
            }
            Ok((head, body)) => {
                let _guard = gateway.request_guard();
                answer_request(&gateway, &mut connection, head, body).await
            }
        };
        match after {
            Ok(AfterAnswer::Keep) => {}
            Ok(AfterAnswer::Close) => return linger(&mut connection).await,
            Ok(AfterAnswer::Abort) => return abort(&connection),
            Err(_) => return,
        }
    }
}

/// Waits for the next head, within the limits on its size and time.
async fn read_head(
    gateway: &Arc<Gateway>,
    connection: &mut BufferedStream,
    open: &OpenConnection,
) -> Result<(RequestHead, BodyDecoder), NoRequest> {
    let limits = caller_limits(gateway);
    if connection.pending().is_empty() {
        let idle = open.mark_idle(gateway.clock.now());
        wait_for_bytes(gateway, connection, idle, limits.idle_timeout_ms).await?;
    }
    let reading = read_request_head(connection, limits.max_head_bytes);
    let refused = |kind, reason: &str| Err(NoRequest::Refused(Refusal::new(kind, reason)));
    match within(limits.head_timeout_ms, reading).await {
        Some(Ok(read)) => Ok(read),
        None => refused(RefusalKind::RequestTimeout, "the head did not come in time"),
        Some(Err(HttpError::HeadTooLarge { .. })) => {
            refused(RefusalKind::HeadTooLarge, "the head is over its limit")
        }
        Some(Err(HttpError::Malformed { reason })) => refused(RefusalKind::BadRequest, &reason),
        Some(Err(_)) => Err(NoRequest::Ended),
    }
}

/// Waits for the first byte of the next request. The wait is shorter when the node is
/// stopping, or needs the connection's slot for other callers.
async fn wait_for_bytes(
    gateway: &Arc<Gateway>,
    connection: &mut BufferedStream,
    mut idle: IdleConnection,
    idle_timeout_ms: u64,
) -> Result<(), NoRequest> {
    let filling = async {
        match connection.fill().await {
            Ok(count) if count > 0 => Ok(()),
            _ => Err(NoRequest::Ended),
        }
    };
    let idling = async {
        let stop_began = gateway.stop_began.listen();
        if !gateway.is_stopping() {
            within(idle_timeout_ms, stop_began).await;
        }
        if gateway.is_stopping() {
            sleep(STOPPING_IDLE_MS).await;
        }
        Err(NoRequest::Ended)
    };
    let close_requested = async {
        idle.wait_for_close_request().await;
        Err(NoRequest::Ended)
    };
    let ending = futures_lite::future::or(idling, close_requested);
    futures_lite::future::or(filling, ending).await
}

fn new_answer(
    gateway: &Gateway,
    connection: &BufferedStream,
    framing: StreamFraming,
    keep_open: bool,
) -> CallerAnswer {
    let stalled_ms = gateway.settings().callers.stalled_ms;
    CallerAnswer::new(connection.writer(), framing, keep_open, stalled_ms)
}

fn caller_limits(gateway: &Gateway) -> CallerLimits {
    let configuration = gateway.configuration();
    configuration.map_or_else(CallerLimits::default, |known| known.document.limits)
}

async fn answer_request(
    gateway: &Arc<Gateway>,
    connection: &mut BufferedStream,
    head: RequestHead,
    mut decoder: BodyDecoder,
) -> io::Result<AfterAnswer> {
    let received = gateway.clock.now();
    let keep_open = head.keeps_alive() && !gateway.is_stopping();
    let framing = StreamFraming::for_request(&head);
    let mut answer = new_answer(gateway, connection, framing, keep_open);
    let expects_continue = head.headers.has_token("expect", "100-continue");
    let request = gateway.site.read_request(head);
    let limits = caller_limits(gateway);
    let deadline_ms = request.as_ref().ok().and_then(|known| known.deadline_ms);
    let limits = BodyLimits {
        max_bytes: limits.max_body_bytes,
        // After the caller's deadline, nobody waits for the answer any more.
        timeout_ms: deadline_ms.map_or(limits.idle_timeout_ms, |deadline_ms| {
            deadline_ms.min(limits.idle_timeout_ms)
        }),
        expects_continue,
    };
    let body = read_body(connection, &mut decoder, limits).await;
    let body = match body {
        Ok(body) => body,
        Err(Some(refusal)) => {
            answer.close_after();
            let id = request.as_ref().ok().map(|request| request.id.as_str());
            return refuse(gateway, &mut answer, &refusal, id).await;
        }
        Err(None) => return Ok(AfterAnswer::Abort),
    };
    let hold_ms = start_hold_ms(gateway, deadline_ms);
    if let Some(hold_ms) = hold_ms {
        if !hold_until_site_known(gateway, connection, hold_ms).await {
            return Ok(AfterAnswer::Abort);
        }
        answer.close_after();
    }
    match prepare(gateway, request, body, received) {
        Ok(prepared) => answer_watched(gateway, connection, prepared, answer).await,
        Err((refusal, id)) => {
            log_refusal(gateway, &refusal, id.as_deref());
            if refusal.kind == RefusalKind::NotRun {
                // The caller's next connection probably reaches another node.
                answer.close_after();
            }
            refuse(gateway, &mut answer, &refusal, id.as_deref()).await
        }
    }
}

/// Holds a request until this node has loaded the data of its site; returns false when the
/// caller has disconnected.
async fn hold_until_site_known(
    gateway: &Gateway,
    connection: &mut BufferedStream,
    hold_ms: u64,
) -> bool {
    let mut has_discarded = false;
    let leaving = async {
        wait_for_caller_close(connection, &mut has_discarded).await;
        false
    };
    let waiting = async {
        wait_for_site(gateway, hold_ms).await;
        true
    };
    futures_lite::future::or(leaving, waiting).await
}

fn prepare(
    gateway: &Arc<Gateway>,
    request: Result<CallerRequest, InvalidRequest>,
    body: Vec<u8>,
    received: Millis,
) -> Result<ReceivedRequest, (Refusal, Option<String>)> {
    let request = request.map_err(|invalid| {
        let refusal = Refusal::new(RefusalKind::BadRequest, invalid.to_string());
        (refusal, None)
    })?;
    let admission = match admit(gateway, &request) {
        Ok(admission) => admission,
        Err(refusal) => return Err((refusal, Some(request.id))),
    };
    let limits = TimeLimits::new(received, request.deadline_ms, admission.route.timeout_ms);
    let fingerprint = RequestFingerprint::of(&RequestParts {
        tenant: admission.tenant.as_ref().map(|tenant| tenant.name.as_str()),
        host: &request.host,
        method: &request.method,
        target: &request.target,
        body: &body,
    });
    Ok(ReceivedRequest {
        request,
        body,
        admission,
        limits,
        fingerprint,
    })
}

fn log_refusal(gateway: &Gateway, refusal: &Refusal, id: Option<&str>) {
    gateway.metrics.count_request("not_admitted");
    let age = gateway.beliefs().freshness.age_ms(gateway.clock.now());
    let version = gateway.configuration().map(|known| known.document.version);
    slog::info!(gateway.log, "request";
        "id" => id,
        "outcome" => "not_admitted",
        "status" => refusal.kind.status(),
        "reason" => &refusal.reason,
        "configuration" => version,
        "configuration_age_ms" => age);
}

/// Serves a request, and cancels it as soon as the caller closes its connection.
async fn answer_watched(
    gateway: &Arc<Gateway>,
    connection: &mut BufferedStream,
    received: ReceivedRequest,
    answer: CallerAnswer,
) -> io::Result<AfterAnswer> {
    let serving = serve(Arc::clone(gateway), received, answer);
    let mut has_discarded = false;
    let watching = async {
        wait_for_caller_close(connection, &mut has_discarded).await;
        Err(io::ErrorKind::ConnectionAborted.into())
    };
    // Polled first: a caller that disconnected while its connection was queued or its body
    // was being read is noticed before anything is sent.
    let after = futures_lite::future::or(watching, serving).await?;
    Ok(match after {
        AfterAnswer::Keep if has_discarded => AfterAnswer::Close,
        after => after,
    })
}

/// Waits until the caller closes its connection. Pipelined bytes are kept for the next
/// request up to a limit. Beyond it all bytes are discarded, since the close is only
/// noticed by reading on.
async fn wait_for_caller_close(connection: &mut BufferedStream, has_discarded: &mut bool) {
    loop {
        match connection.fill().await {
            Ok(count) if count > 0 => {}
            _ => return,
        }
        let count = connection.pending().len();
        if count > MAX_PIPELINED_BYTES || *has_discarded {
            *has_discarded = true;
            connection.consume(count);
            // Without this, a caller that sends faster than it is read would block the thread
            // for ever.
            futures_lite::future::yield_now().await;
        }
    }
}

/// Limits on one body.
#[derive(Clone, Copy, Debug)]
struct BodyLimits {
    max_bytes: usize,
    /// Longest time for reading the whole body, in milliseconds.
    timeout_ms: u64,
    /// Whether the caller waits for `100 Continue` before it sends the body.
    expects_continue: bool,
}

/// Reads a body within its limits.
///
/// # Errors
/// The refusal, or `None` when the connection broke.
async fn read_body(
    connection: &mut BufferedStream,
    decoder: &mut BodyDecoder,
    limits: BodyLimits,
) -> Result<Vec<u8>, Option<Refusal>> {
    let too_large = || {
        let reason = format!("the body is over {} bytes", limits.max_bytes);
        Some(Refusal::new(RefusalKind::BodyTooLarge, reason))
    };
    let declared = decoder.declared_length().unwrap_or(0);
    if declared > limits.max_bytes as u64 {
        return Err(too_large());
    }
    let mut body = Vec::with_capacity(declared as usize);
    let reading = async {
        if limits.expects_continue {
            let written = connection.write_all(b"HTTP/1.1 100 Continue\r\n\r\n").await;
            written.map_err(|_| None)?;
        }
        while decoder
            .read(connection, &mut body)
            .await
            .map_err(body_error)?
        {
            if body.len() > limits.max_bytes {
                return Err(too_large());
            }
        }
        Ok(())
    };
    let read = within(limits.timeout_ms, reading).await;
    let slow = || {
        let reason = "the body did not come in time";
        Err(Some(Refusal::new(RefusalKind::RequestTimeout, reason)))
    };
    read.unwrap_or_else(slow)?;
    Ok(body)
}

fn body_error(error: HttpError) -> Option<Refusal> {
    match error {
        HttpError::Malformed { reason } => Some(Refusal::new(RefusalKind::BadRequest, reason)),
        _ => None,
    }
}

/// Closes a connection after a complete answer. Unread bytes are drained first: closing
/// with them would reset the connection, and the caller could lose the answer.
async fn linger(connection: &mut BufferedStream) {
    let _ = connection.writer().shutdown(Shutdown::Write);
    let draining = async {
        while connection.fill().await.is_ok_and(|count| count > 0) {
            let count = connection.pending().len();
            connection.consume(count);
        }
    };
    within(LINGER_MS, draining).await;
}

/// Closes a connection within an answer. The framing shows the caller that the answer is
/// incomplete; without framing, the connection is reset when it is dropped, which a shutdown
/// would prevent.
fn abort(connection: &BufferedStream) {
    let writer = connection.writer();
    let is_reset_on_drop = matches!(SockRef::from(&writer).linger(), Ok(Some(Duration::ZERO)));
    if !is_reset_on_drop {
        let _ = writer.shutdown(Shutdown::Both);
    }
}
