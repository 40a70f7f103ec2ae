//! Reads the bodies of callers' requests.

use super::connection_end::OpenRequest;
use crate::forward::refuse_not_run;
use crate::held_body::HeldBody;
use crate::ports::{Refusal, RefusalKind};
use crate::time::within;
use ploverlift_bytebudget::share::Share;
use ploverlift_http1::{BodyDecoder, BufferedStream, HttpError};
use std::sync::Arc;

/// Longest wait for memory before a body is read, in milliseconds. Meanwhile the caller's
/// connection is not read.
const LONGEST_RESERVATION_WAIT_MS: u64 = 250;
/// A request waits for memory for at most this part of the time limit on its body: the rest is
/// for another node.
const RESERVATION_WAIT_DIVISOR: u64 = 8;

/// Limits on one body.
#[derive(Clone, Copy, Debug)]
pub(super) struct BodyLimits {
    /// Maximum size, in bytes.
    pub(super) max_bytes: usize,
    /// Longest time for reading the whole body, in milliseconds.
    pub(super) timeout_ms: u64,
    /// Whether the caller waits for `100 Continue` before it sends the body.
    pub(super) expects_continue: bool,
}

/// Why reading a body gave no whole body.
pub(super) enum NoBody {
    /// The caller closed or reset the connection inside the body.
    Cut,
    /// The caller gets a refusal.
    Refused(Refusal),
}

/// Reads a body within its limits, once there is memory for it.
pub(super) async fn read_body(
    connection: &mut BufferedStream,
    decoder: &mut BodyDecoder,
    limits: BodyLimits,
    memory: &Arc<Share>,
    open: &mut OpenRequest,
) -> Result<HeldBody, NoBody> {
    let too_large = || {
        let reason = format!("the body is over {} bytes", limits.max_bytes);
        NoBody::Refused(Refusal::new(RefusalKind::BodyTooLarge, reason))
    };
    let declared = decoder.declared_length().unwrap_or(0);
    if declared > limits.max_bytes as u64 {
        return Err(too_large());
    }
    let mut body = reserve_body(memory, declared as usize, limits.timeout_ms).await?;
    let reading = async {
        if limits.expects_continue {
            let written = connection.write_all(b"HTTP/1.1 100 Continue\r\n\r\n").await;
            written.map_err(|error| no_body(error.into(), open))?;
        }
        loop {
            let read = decoder.read(connection, body.buffer()).await;
            let length = body.bytes().len();
            open.set_body_bytes(length);
            if !read.map_err(|error| no_body(error, open))? {
                return Ok(());
            }
            if length > limits.max_bytes {
                return Err(too_large());
            }
            body.hold_buffer().map_err(|_| no_memory(memory))?;
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

/// Reserves memory for a body of the declared length; chunked ones have none and start empty.
async fn reserve_body(
    memory: &Arc<Share>,
    length: usize,
    timeout_ms: u64,
) -> Result<HeldBody, NoBody> {
    let longest_ms = timeout_ms / RESERVATION_WAIT_DIVISOR;
    let longest_ms = longest_ms.min(LONGEST_RESERVATION_WAIT_MS);
    let reserved = within(longest_ms, HeldBody::reserve(memory, length)).await;
    match reserved {
        Some(Ok(body)) => Ok(body),
        Some(Err(_)) | None => Err(no_memory(memory)),
    }
}

fn no_memory(memory: &Share) -> NoBody {
    let (held, limit) = (memory.held(), memory.limits().bytes);
    let reason = format!("this node holds {held} of {limit} bytes of requests; ask another");
    NoBody::Refused(refuse_not_run(&reason))
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
