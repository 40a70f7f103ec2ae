//! Serves the requests of one caller connection.

use super::connection_end::{ConnectionEnd, OpenRequest};
use super::idle_wait::wait_for_request;
use super::request_body::{read_body, BodyLimits, NoBody};
use super::start_hold::{start_hold_ms, wait_for_site};
use super::OpenConnection;
use crate::forward::{
    admit, check_stop, refuse, refuse_not_run, serve, shared_parts, AfterAnswer, CallerAnswer,
    ReceivedRequest, StreamFraming, TimeLimits,
};
use crate::held_body::HeldBody;
use crate::ports::{CallerRequest, InvalidRequest, Refusal, RefusalKind};
use crate::state::Gateway;
use crate::time::within;
use ploverlift_http1::{read_request_head, BodyDecoder, BufferedStream, HttpError, RequestHead};
use ploverlift_policy::ids::Millis;
use ploverlift_quarantine::fingerprint::{RequestFingerprint, RequestParts};
use ploverlift_routing::configuration::CallerLimits;
use smol::net::TcpStream;
use socket2::SockRef;
use std::io;
use std::net::Shutdown;
use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;

/// Longest pause of a caller that still sends after the last answer, in milliseconds.
const LINGER_PAUSE_MS: u64 = 300;
/// Longest time for which a caller may still send after the last answer, in milliseconds.
const LONGEST_LINGER_MS: u64 = 3_000;
/// Bytes that a caller may pipeline before the answer to its current request. If it sends
/// more, its connection is closed after that answer.
const MAX_PIPELINED_BYTES: usize = 64 * 1024;

/// Why reading a head gave no request.
enum NoRequest {
    /// The caller closed or reset the connection inside the head.
    Cut(HttpError),
    /// The caller gets a refusal.
    Refused(Refusal),
}

/// Serves a connection until it ends.
pub async fn serve_connection(gateway: Arc<Gateway>, stream: TcpStream, open: OpenConnection) {
    let mut connection = BufferedStream::new(stream);
    loop {
        if wait_for_request(&gateway, &mut connection, &open)
            .await
            .is_err()
        {
            return;
        }
        let mut request = OpenRequest::begin(&gateway);
        let answered = match read_head(&gateway, &mut connection).await {
            Ok((head, body)) => {
                let _guard = gateway.request_guard();
                answer_request(&gateway, &mut connection, head, body, &mut request).await
            }
            Err(NoRequest::Refused(refusal)) => {
                let answer = new_answer(&gateway, &connection, StreamFraming::Chunked, false);
                refuse_unadmitted(&gateway, answer, &refusal, &mut request).await
            }
            Err(NoRequest::Cut(error)) => {
                request.set_error(&error);
                Err(ConnectionEnd::HeadCut)
            }
        };
        match answered {
            Ok(AfterAnswer::Keep) => request.complete(),
            Ok(AfterAnswer::Close) => {
                request.complete();
                return linger(&mut connection).await;
            }
            Ok(AfterAnswer::Abort) => {
                request.end(ConnectionEnd::BrokenOff);
                return abort(&connection);
            }
            Err(end) => return request.end(end),
        }
    }
}

/// Reads the head of a request that has begun, within the limits on its size and time.
async fn read_head(
    gateway: &Arc<Gateway>,
    connection: &mut BufferedStream,
) -> Result<(RequestHead, BodyDecoder), NoRequest> {
    let limits = caller_limits(gateway);
    let reading = read_request_head(connection, limits.max_head_bytes);
    let reading = pin!(within(limits.head_timeout_ms, reading));
    let refused = |kind, reason: &str| Err(NoRequest::Refused(Refusal::new(kind, reason)));
    let Some(read) = gateway.planned_stop.unless_concluding(reading).await else {
        return Err(NoRequest::Refused(stopped_before_read()));
    };
    match read {
        Some(Ok(read)) => Ok(read),
        None => refused(RefusalKind::RequestTimeout, "the head did not come in time"),
        Some(Err(HttpError::HeadTooLarge { .. })) => {
            refused(RefusalKind::HeadTooLarge, "the head is over its limit")
        }
        Some(Err(HttpError::Malformed { reason })) => refused(RefusalKind::BadRequest, &reason),
        Some(Err(error)) => Err(NoRequest::Cut(error)),
    }
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

pub(super) fn caller_limits(gateway: &Gateway) -> CallerLimits {
    let configuration = gateway.configuration();
    configuration.map_or_else(CallerLimits::default, |known| known.document.limits)
}

async fn answer_request(
    gateway: &Arc<Gateway>,
    connection: &mut BufferedStream,
    head: RequestHead,
    mut decoder: BodyDecoder,
    open: &mut OpenRequest,
) -> Result<AfterAnswer, ConnectionEnd> {
    let received = gateway.clock.now();
    let keep_open = head.keeps_alive() && !gateway.is_stopping();
    let framing = StreamFraming::for_request(&head);
    let mut answer = new_answer(gateway, connection, framing, keep_open);
    let expects_continue = head.headers.has_token("expect", "100-continue");
    let request = gateway.site.read_request(head);
    if let Ok(request) = &request {
        open.set_id(&request.id);
    }
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
    let body = match read_body_until_stop(gateway, connection, &mut decoder, limits, open).await {
        Ok(body) => body,
        Err(NoBody::Refused(refusal)) => {
            answer.close_after();
            return refuse_unadmitted(gateway, answer, &refusal, open).await;
        }
        Err(NoBody::Cut) => {
            abort(connection);
            return Err(ConnectionEnd::BodyCut);
        }
    };
    let hold_ms = start_hold_ms(gateway, deadline_ms);
    if let Some(hold_ms) = hold_ms {
        if !hold_until_site_known(gateway, connection, hold_ms).await {
            abort(connection);
            return Err(ConnectionEnd::LeftWhileHeld);
        }
        answer.close_after();
    }
    match prepare(gateway, request, body, received) {
        Ok(prepared) => answer_watched(gateway, connection, prepared, answer, open).await,
        Err(refusal) => {
            if refusal.kind == RefusalKind::NotRun {
                // The caller's next connection probably reaches another node.
                answer.close_after();
            }
            refuse_unadmitted(gateway, answer, &refusal, open).await
        }
    }
}

/// Reads a body, unless this node has to end before it has arrived.
async fn read_body_until_stop(
    gateway: &Gateway,
    connection: &mut BufferedStream,
    decoder: &mut BodyDecoder,
    limits: BodyLimits,
    open: &mut OpenRequest,
) -> Result<HeldBody, NoBody> {
    let memory = &gateway.byte_budget.request_bodies;
    let reading = pin!(read_body(connection, decoder, limits, memory, open));
    let read = gateway.planned_stop.unless_concluding(reading).await;
    read.unwrap_or_else(|| Err(NoBody::Refused(stopped_before_read())))
}

/// Refusal of a request that had not arrived whole when this node had to end.
fn stopped_before_read() -> Refusal {
    refuse_not_run("this node stops, and the request has not arrived whole; ask another")
}

/// Logs and sends the refusal of a request that is not admitted.
async fn refuse_unadmitted(
    gateway: &Gateway,
    mut answer: CallerAnswer,
    refusal: &Refusal,
    open: &mut OpenRequest,
) -> Result<AfterAnswer, ConnectionEnd> {
    log_refusal(gateway, refusal, open.id());
    let refused = refuse(gateway, &mut answer, refusal, open.id()).await;
    refused.map_err(|error| end_of_write(&error, open))
}

/// Notes an error of writing to the caller.
fn end_of_write(error: &io::Error, open: &mut OpenRequest) -> ConnectionEnd {
    open.set_error(error);
    ConnectionEnd::of_write(error)
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
    body: HeldBody,
    received: Millis,
) -> Result<ReceivedRequest, Refusal> {
    let request =
        request.map_err(|invalid| Refusal::new(RefusalKind::BadRequest, invalid.to_string()))?;
    let admission = admit(gateway, &request)?;
    let limits = TimeLimits::new(received, request.deadline_ms, admission.route.timeout_ms);
    check_stop(gateway, &request, &admission, &limits)?;
    let fingerprint = RequestFingerprint::of(&RequestParts {
        tenant: admission.tenant.as_ref().map(|tenant| tenant.name.as_str()),
        host: &request.host,
        method: &request.method,
        target: request.target.as_str(),
        body: body.bytes(),
    });
    let shared_parts = shared_parts(&request, &admission);
    Ok(ReceivedRequest {
        request,
        body: Arc::new(body),
        admission,
        limits,
        fingerprint,
        shared_parts,
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
    open: &mut OpenRequest,
) -> Result<AfterAnswer, ConnectionEnd> {
    let serving = serve(Arc::clone(gateway), received, answer);
    let mut has_discarded = false;
    let watching = async {
        let closed = wait_for_caller_close(connection, &mut has_discarded).await;
        Served::CallerLeft(closed)
    };
    let answering = async { Served::Answered(serving.await) };
    // Polled first: a caller that disconnected while its connection was queued or its body
    // was being read is noticed before anything is sent.
    match futures_lite::future::or(watching, answering).await {
        Served::CallerLeft(error) => {
            if let Some(error) = error {
                open.set_error(&error);
            }
            Err(ConnectionEnd::LeftWhileServed)
        }
        Served::Answered(Ok(AfterAnswer::Keep)) if has_discarded => Ok(AfterAnswer::Close),
        Served::Answered(Ok(after)) => Ok(after),
        Served::Answered(Err(error)) => Err(end_of_write(&error, open)),
    }
}

/// What ended the service of a request.
enum Served {
    /// The caller closed its connection, or reset it with this error.
    CallerLeft(Option<io::Error>),
    Answered(io::Result<AfterAnswer>),
}

/// Waits until the caller closes its connection; returns the error if it was reset.
/// Pipelined bytes are kept for the next request up to a limit. Beyond it all bytes are
/// discarded, since the close is only noticed by reading on.
async fn wait_for_caller_close(
    connection: &mut BufferedStream,
    has_discarded: &mut bool,
) -> Option<io::Error> {
    loop {
        match connection.fill().await {
            Ok(0) => return None,
            Ok(_) => {}
            Err(error) => return Some(error),
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

/// Closes a connection after a complete answer. While the caller sends, its bytes are drained
/// first: closing with them would reset the connection, and the caller could lose the answer.
async fn linger(connection: &mut BufferedStream) {
    let _ = connection.writer().shutdown(Shutdown::Write);
    let draining = async {
        while let Some(Ok(1..)) = within(LINGER_PAUSE_MS, connection.discard()).await {
            // Lets other requests run, and the time limit expire, beside a caller that floods.
            futures_lite::future::yield_now().await;
        }
    };
    within(LONGEST_LINGER_MS, draining).await;
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
