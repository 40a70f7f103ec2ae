//! Reads the bodies of callers' requests.

use super::connection_end::OpenRequest;
use crate::ports::{Refusal, RefusalKind};
use crate::time::within;
use ploverlift_http1::{BodyDecoder, BufferedStream, HttpError};

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

/// Reads a body within its limits.
pub(super) async fn read_body(
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
