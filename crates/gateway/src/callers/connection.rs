//! Serves the requests of one caller connection.

use super::connection_end::{ConnectionEnd, OpenRequest};
use super::start_hold::{start_hold_ms, wait_for_site};
use super::{IdleConnection, OpenConnection};
use crate::forward::{
    admit, refuse, serve, Admission, AfterAnswer, CallerAnswer, ReceivedRequest, StreamFraming,
    TimeLimits,
};
use crate::planned_stop::StopPhase;
use crate::ports::{CallerRequest, InvalidRequest, Refusal, RefusalKind};
use crate::state::Gateway;
use crate::time::{sleep, within};
use ploverlift_http1::{read_request_head, BodyDecoder, BufferedStream, HttpError, RequestHead};
use ploverlift_policy::ids::Millis;
use ploverlift_quarantine::fingerprint::{RequestFingerprint, RequestParts};
use ploverlift_quarantine::subject::{PartFingerprint, PartIdentity, SharedPart};
use ploverlift_routing::configuration::CallerLimits;
use smol::net::TcpStream;
use socket2::SockRef;
use std::io;
use std::net::Shutdown;
use std::sync::Arc;
use std::time::Duration;

/// Idle time after which a stopping node closes a kept connection, in milliseconds.
const STOPPING_IDLE_MS: u64 = 1_500;
/// Time for which a node that has stopped accepting connections waits on an open one for a
/// request that is on its way, in milliseconds.
const CLOSING_IDLE_MS: u64 = 100;
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

/// The connection is idle and ends, or has ended.
struct Ended;

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

/// Waits for the first byte of the next request, unless it has been received already.
async fn wait_for_request(
    gateway: &Arc<Gateway>,
    connection: &mut BufferedStream,
    open: &OpenConnection,
) -> Result<(), Ended> {
    if !connection.pending().is_empty() {
        return Ok(());
    }
    let idle = open.mark_idle(gateway.clock.now());
    wait_for_bytes(gateway, connection, idle).await
}

/// Reads the head of a request that has begun, within the limits on its size and time.
async fn read_head(
    gateway: &Arc<Gateway>,
    connection: &mut BufferedStream,
) -> Result<(RequestHead, BodyDecoder), NoRequest> {
    let limits = caller_limits(gateway);
    let reading = read_request_head(connection, limits.max_head_bytes);
    let refused = |kind, reason: &str| Err(NoRequest::Refused(Refusal::new(kind, reason)));
    match within(limits.head_timeout_ms, reading).await {
        Some(Ok(read)) => Ok(read),
        None => refused(RefusalKind::RequestTimeout, "the head did not come in time"),
        Some(Err(HttpError::HeadTooLarge { .. })) => {
            refused(RefusalKind::HeadTooLarge, "the head is over its limit")
        }
        Some(Err(HttpError::Malformed { reason })) => refused(RefusalKind::BadRequest, &reason),
        Some(Err(error)) => Err(NoRequest::Cut(error)),
    }
}

/// Waits for the first byte of the next request. The wait is shorter when the node is
/// stopping, or needs the connection's slot for other callers.
async fn wait_for_bytes(
    gateway: &Arc<Gateway>,
    connection: &mut BufferedStream,
    mut idle: IdleConnection,
) -> Result<(), Ended> {
    let filling = async {
        match connection.fill().await {
            Ok(count) if count > 0 => Received::Bytes,
            _ => Received::End,
        }
    };
    let idling = async {
        let stop_began = gateway.stop_began.listen();
        if !gateway.is_stopping() {
            futures_lite::future::or(stop_began, wait_for_idle_timeout(gateway)).await;
        }
        if gateway.is_stopping() {
            sleep(STOPPING_IDLE_MS).await;
        }
        Received::Nothing
    };
    let close_requested = async {
        idle.wait_for_close_request().await;
        Received::Nothing
    };
    let closing = async {
        gateway.planned_stop.wait_for(StopPhase::Closing).await;
        sleep(CLOSING_IDLE_MS).await;
        Received::Nothing
    };
    let ending = futures_lite::future::or(idling, close_requested);
    let ending = futures_lite::future::or(ending, closing);
    // The read is tried first: bytes that have arrived are never left unread for a time-out
    // that expired meanwhile.
    match futures_lite::future::or(filling, ending).await {
        Received::Bytes => Ok(()),
        Received::End => Err(Ended),
        Received::Nothing => {
            close_idle(gateway, connection).await;
            Err(Ended)
        }
    }
}

/// Waits for the idle time-out: that of the configuration in force now or, if that is longer,
/// of the one in force at the end of the wait.
async fn wait_for_idle_timeout(gateway: &Gateway) {
    let since = gateway.clock.now();
    let mut timeout_ms = caller_limits(gateway).idle_timeout_ms;
    loop {
        let idle_ms = gateway.clock.now().since(since);
        if idle_ms < timeout_ms {
            sleep(timeout_ms - idle_ms).await;
            continue;
        }
        timeout_ms = caller_limits(gateway).idle_timeout_ms;
        if idle_ms >= timeout_ms {
            return;
        }
    }
}

/// What an idle connection has received.
enum Received {
    Bytes,
    /// The caller has closed or reset the connection.
    End,
    Nothing,
}

/// Closes an idle connection. A request that arrives at the same moment is not read: callers
/// send it again when they know that it was not.
async fn close_idle(gateway: &Arc<Gateway>, connection: &BufferedStream) {
    let _ = connection.writer().shutdown(Shutdown::Write);
    if connection.has_unread_bytes().await {
        OpenRequest::begin(gateway).end(ConnectionEnd::ClosedUnread);
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

fn caller_limits(gateway: &Gateway) -> CallerLimits {
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
    let body = match read_body(connection, &mut decoder, limits, open).await {
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
    body: Vec<u8>,
    received: Millis,
) -> Result<ReceivedRequest, Refusal> {
    let request =
        request.map_err(|invalid| Refusal::new(RefusalKind::BadRequest, invalid.to_string()))?;
    let admission = admit(gateway, &request)?;
    let limits = TimeLimits::new(received, request.deadline_ms, admission.route.timeout_ms);
    let fingerprint = RequestFingerprint::of(&RequestParts {
        tenant: admission.tenant.as_ref().map(|tenant| tenant.name.as_str()),
        host: &request.host,
        method: &request.method,
        target: &request.target,
        body: &body,
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

/// Parts of the request's prompt that other requests may share; each part once.
fn shared_parts(request: &CallerRequest, admission: &Admission) -> Vec<SharedPart> {
    let Some(prompt) = &request.prompt else {
        return Vec::new();
    };
    let mut parts: Vec<SharedPart> = Vec::new();
    for part in prompt.shared_parts() {
        let fingerprint = PartFingerprint::of(&PartIdentity {
            tenant: admission.tenant.as_ref().map(|tenant| tenant.name.as_str()),
            service: &admission.service.0,
            model: &prompt.model,
            part: part.id,
        });
        if parts.iter().all(|known| known.id != part.id) {
            let id = part.id;
            parts.push(SharedPart { id, fingerprint });
        }
    }
    parts
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
/// Pipelined bytes are kept for the next request up to a limit. Beyond it all bytes are discarded, since the close is only
/// noticed by reading on.
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

/// Limits on one body.
#[derive(Clone, Copy, Debug)]
struct BodyLimits {
    max_bytes: usize,
    /// Longest time for reading the whole body, in milliseconds.
    timeout_ms: u64,
    /// Whether the caller waits for `100 Continue` before it sends the body.
    expects_continue: bool,
}

/// Why reading a body gave no whole body.
enum NoBody {
    /// The caller closed or reset the connection inside the body.
    Cut,
    /// The caller gets a refusal.
    Refused(Refusal),
}

/// Reads a body within its limits.
async fn read_body(
    connection: &mut BufferedStream,
    decoder: &mut BodyDecoder,
    limits: BodyLimits,
    open: &mut OpenRequest,
) -> Result<Vec<u8>, NoBody> {
    let too_large = || {
        let reason = format!("the body is over {} bytes", limits.max_bytes);
        NoBody::Refused(Refusal::new(RefusalKind::BodyTooLarge, reason))
    };
    let declared = decoder.declared_length().unwrap_or(0);
    if declared > limits.max_bytes as u64 {
        return Err(too_large());
    }
    let mut body = Vec::with_capacity(declared as usize);
    let reading = async {
        if limits.expects_continue {
            let written = connection.write_all(b"HTTP/1.1 100 Continue\r\n\r\n").await;
            written.map_err(|error| no_body(error.into(), open))?;
        }
        loop {
            let read = decoder.read(connection, &mut body).await;
            open.set_body_bytes(body.len());
            if !read.map_err(|error| no_body(error, open))? {
                return Ok(());
            }
            if body.len() > limits.max_bytes {
                return Err(too_large());
            }
        }
    };
    let read = within(limits.timeout_ms, reading).await;
    let slow = || {
        let reason = "the body did not come in time";
        Err(NoBody::Refused(Refusal::new(
            RefusalKind::RequestTimeout,
            reason,
        )))
    };
    read.unwrap_or_else(slow)?;
    Ok(body)
}

fn no_body(error: HttpError, open: &mut OpenRequest) -> NoBody {
    match error {
        HttpError::Malformed { reason } => {
            NoBody::Refused(Refusal::new(RefusalKind::BadRequest, reason))
        }
        error => {
            open.set_error(&error);
            NoBody::Cut
        }
    }
}

/// Closes a connection after a complete answer. While the caller sends, its bytes are drained
/// first: closing with them would reset the connection, and the caller could lose the answer.
async fn linger(connection: &mut BufferedStream) {
    let _ = connection.writer().shutdown(Shutdown::Write);
    let draining = async {
        while let Some(Ok(1..)) = within(LINGER_PAUSE_MS, connection.fill()).await {
            let count = connection.pending().len();
            connection.consume(count);
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
