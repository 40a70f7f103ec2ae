//! Reading and checking a caller's request.

use crate::callers::reply::ErrorReply;
use crate::state::Node;
use futures_lite::AsyncReadExt;
use ploverlift_policy::ids::{EngineName, RequestId};
use ploverlift_policy::prompt::render_prompt;
use ploverlift_policy::snapshot::Tenant;
use serde_json::{Map, Value};
use smol::Timer;
use std::sync::Arc;
use std::time::Duration;
use trillium::{Conn, KnownHeaderName, Status};

/// Longest request id that a caller may choose, in bytes.
const MAX_REQUEST_ID_BYTES: usize = 128;
/// Longest idempotency key, in bytes.
const MAX_IDEMPOTENCY_KEY_BYTES: usize = 255;
/// Header that marks a request that may run at most once.
const IDEMPOTENCY_KEY_HEADER: &str = "idempotency-key";
/// Header with the last stream position that the caller has.
const LAST_EVENT_ID_HEADER: &str = "last-event-id";
/// Separates request and engine in the id of a stream event.
const ENGINE_SEPARATOR: char = '@';

/// Where a caller's stream broke off.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ResumePoint {
    /// The request whose stream broke off.
    pub request: RequestId,
    /// The engine that served it.
    pub engine: EngineName,
    /// The first position that the caller lacks.
    pub next_position: u64,
}

/// A completion request after all checks.
#[derive(Clone, Debug)]
pub struct CompletionRequest {
    /// Model that the caller names.
    pub model: String,
    /// Whether the answer is a stream.
    pub stream: bool,
    /// Text that prompt blocks are cut from.
    pub prompt: Arc<Vec<u8>>,
    /// The body's fields.
    pub fields: Map<String, Value>,
}

/// Headers that every kind of request may have.
#[derive(Clone, Debug)]
pub struct RequestHeaders {
    /// The caller's request id, or a new one.
    pub id: RequestId,
    /// Whether the caller chose the id, so that a repeated request has it too.
    pub id_from_caller: bool,
    /// Marks the request as one that runs at most once.
    pub idempotency_key: Option<String>,
    /// Where a broken stream goes on.
    pub resume: Option<ResumePoint>,
}

/// The id of one stream event: `<request>@<engine>.<position>`.
pub fn event_id(request: &RequestId, engine: &EngineName, position: u64) -> String {
    format!("{request}{ENGINE_SEPARATOR}{engine}.{position}")
}

/// Reads an event id back; nothing when it was not made by [`event_id`].
pub fn parse_event_id(text: &str) -> Option<ResumePoint> {
    let (stream, position) = text.rsplit_once('.')?;
    let (request, engine) = stream.rsplit_once(ENGINE_SEPARATOR)?;
    let position: u64 = position.parse().ok()?;
    Some(ResumePoint {
        request: RequestId::from(request),
        engine: EngineName::from(engine),
        next_position: position.checked_add(1)?,
    })
}

/// Finds the tenant by the bearer key.
///
/// # Errors
/// Status 401 when there is no key or no tenant has it.
pub fn authenticate(node: &Node, conn: &Conn) -> Result<Arc<Tenant>, ErrorReply> {
    let header = conn
        .request_headers()
        .get_str(KnownHeaderName::Authorization);
    let key = header.and_then(|value| value.strip_prefix("Bearer "));
    let snapshot = node.snapshot();
    let tenant = key.and_then(|key| snapshot.authenticate(key.trim()));
    tenant.cloned().ok_or_else(|| {
        ErrorReply::rejected(
            Status::Unauthorized,
            "invalid_api_key",
            "send 'authorization: Bearer KEY' with a key of a configured tenant",
        )
    })
}

/// Reads the headers that every kind of request may have.
///
/// # Errors
/// Status 400 when one of them does not fit.
pub fn read_headers(conn: &Conn) -> Result<RequestHeaders, ErrorReply> {
    let headers = conn.request_headers();
    let chosen_id = headers.get_str("x-request-id");
    let id = match chosen_id {
        Some(text) => checked_request_id(text)?,
        None => RequestId(format!("{:016x}", fastrand::u64(..))),
    };
    let idempotency_key = headers.get_str(IDEMPOTENCY_KEY_HEADER).map(str::to_owned);
    let too_long = |key: &String| key.is_empty() || key.len() > MAX_IDEMPOTENCY_KEY_BYTES;
    if idempotency_key.as_ref().is_some_and(too_long) {
        let message = "idempotency-key takes 1 to 255 bytes";
        return Err(invalid(message.to_owned()));
    }
    let resume = match headers.get_str(LAST_EVENT_ID_HEADER) {
        None => None,
        Some(text) => {
            let point = parse_event_id(text);
            let message = || "last-event-id was not given by this service".to_owned();
            Some(point.ok_or_else(|| invalid(message()))?)
        }
    };
    Ok(RequestHeaders {
        id,
        id_from_caller: chosen_id.is_some(),
        idempotency_key,
        resume,
    })
}

fn checked_request_id(text: &str) -> Result<RequestId, ErrorReply> {
    let allowed = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.' | ':');
    if text.is_empty() || text.len() > MAX_REQUEST_ID_BYTES || !text.chars().all(allowed) {
        let message = "x-request-id takes 1 to 128 letters, digits, '-', '_', '.' or ':'";
        return Err(invalid(message.to_owned()));
    }
    Ok(RequestId::from(text))
}

/// Reads the body within the node's limits of size and time.
///
/// # Errors
/// Status 413 for a body over its limit, 408 for a caller that is too slow and
/// 400 for one that breaks off.
pub async fn read_body(node: &Node, conn: &mut Conn) -> Result<Vec<u8>, ErrorReply> {
    let limit = node.settings.limits.max_body_bytes;
    let too_large = || {
        let message = format!("the body is over the limit of {limit} bytes");
        ErrorReply::rejected(Status::PayloadTooLarge, "body_too_large", message)
    };
    let declared = conn
        .request_headers()
        .get_str(KnownHeaderName::ContentLength);
    let declared = declared.and_then(|text| text.parse::<usize>().ok());
    if declared.is_some_and(|length| length > limit) {
        return Err(too_large());
    }
    let read = async {
        let mut bytes = Vec::with_capacity(declared.unwrap_or(0));
        let body = conn.request_body().await;
        let result = body.take(limit as u64 + 1).read_to_end(&mut bytes).await;
        match result {
            Ok(_) if bytes.len() > limit => Err(too_large()),
            Ok(_) => Ok(bytes),
            Err(error) => Err(invalid(format!("the body broke off: {error}"))),
        }
    };
    let timeout = async {
        Timer::after(Duration::from_millis(node.settings.limits.read_timeout_ms)).await;
        let message = "the body did not come in time";
        Err(ErrorReply::rejected(
            Status::RequestTimeout,
            "body_too_slow",
            message,
        ))
    };
    futures_lite::future::or(read, timeout).await
}

/// Checks the body of a completion request.
///
/// # Errors
/// Status 400 with the position for malformed JSON, or with the field's name.
pub fn parse_completion(bytes: &[u8], chat: bool) -> Result<CompletionRequest, ErrorReply> {
    let fields: Map<String, Value> = serde_json::from_slice(bytes).map_err(|error| {
        let (line, column) = (error.line(), error.column());
        invalid(format!(
            "malformed JSON at line {line}, column {column}: {error}"
        ))
    })?;
    let Some(Value::String(model)) = fields.get("model") else {
        return Err(invalid("'model' must be a string".to_owned()));
    };
    let stream = match fields.get("stream") {
        None | Some(Value::Null) => false,
        Some(Value::Bool(stream)) => *stream,
        Some(_) => return Err(invalid("'stream' must be true or false".to_owned())),
    };
    if chat {
        check_messages(&fields)?;
    } else if !matches!(
        fields.get("prompt"),
        Some(Value::String(_) | Value::Array(_))
    ) {
        return Err(invalid("'prompt' must be a string or an array".to_owned()));
    }
    Ok(CompletionRequest {
        model: model.clone(),
        stream,
        prompt: Arc::new(render_prompt(&fields)),
        fields,
    })
}

fn check_messages(fields: &Map<String, Value>) -> Result<(), ErrorReply> {
    let Some(Value::Array(messages)) = fields.get("messages") else {
        return Err(invalid("'messages' must be an array".to_owned()));
    };
    if messages.is_empty() {
        return Err(invalid("'messages' must not be empty".to_owned()));
    }
    for (position, message) in messages.iter().enumerate() {
        if !matches!(message.get("role"), Some(Value::String(_))) {
            return Err(invalid(format!(
                "'messages[{position}].role' must be a string"
            )));
        }
    }
    Ok(())
}

fn invalid(message: String) -> ErrorReply {
    ErrorReply::rejected(Status::BadRequest, "invalid_request", message)
}
