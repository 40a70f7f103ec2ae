//! Ends of callers' connections while a request on them is open.
//!
//! A request is open from the first byte of its head until its answer is complete. Each
//! connection that ends in between is counted and logged exactly once, also when its task is
//! dropped or panics.

use crate::planned_stop::StopPhase;
use crate::state::Gateway;
use ploverlift_policy::ids::Millis;
use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::registry::Registry;
use std::io;
use std::sync::Arc;

/// Where the connection of a caller ended while a request on it was open.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionEnd {
    /// The caller closed or reset the connection inside the head.
    HeadCut,
    /// The caller closed or reset the connection inside the body.
    BodyCut,
    /// The caller closed or reset the connection while its request waited for the data of the
    /// site.
    LeftWhileHeld,
    /// The caller closed or reset the connection while its request was served.
    LeftWhileServed,
    /// Writing the answer failed.
    WriteFailed,
    /// The caller took no byte of the answer for `callers.stalled_ms`.
    WriteStalled,
    /// This node broke the answer off.
    BrokenOff,
    /// This node closed an idle connection on which bytes arrived at the same moment.
    ClosedUnread,
    /// The planned stop of this node reached its time limit.
    NodeStopped,
    /// The task of the connection panicked.
    Panicked,
    /// The task of the connection was dropped.
    Dropped,
}

impl ConnectionEnd {
    /// Label for logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::HeadCut => "head_cut",
            Self::BodyCut => "body_cut",
            Self::LeftWhileHeld => "left_while_held",
            Self::LeftWhileServed => "left_while_served",
            Self::WriteFailed => "write_failed",
            Self::WriteStalled => "write_stalled",
            Self::BrokenOff => "broken_off",
            Self::ClosedUnread => "closed_unread",
            Self::NodeStopped => "node_stopped",
            Self::Panicked => "panicked",
            Self::Dropped => "dropped",
        }
    }

    /// The end that follows from an error of writing to the caller.
    pub(super) fn of_write(error: &io::Error) -> Self {
        // The kernel's own time-out has an error number, the limit on one write has none.
        let is_stalled = error.kind() == io::ErrorKind::TimedOut && error.raw_os_error().is_none();
        match is_stalled {
            true => Self::WriteStalled,
            false => Self::WriteFailed,
        }
    }
}

/// Label of the ends of connections.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct ConnectionEndLabel {
    /// As in [`ConnectionEnd::name`].
    pub end: &'static str,
}

/// Metrics of callers' connections.
#[derive(Debug, Default)]
pub struct ConnectionMetrics {
    /// Connections that ended while a request was open.
    ends: Family<ConnectionEndLabel, Counter>,
}

impl ConnectionMetrics {
    /// Number of connections that ended in this way.
    pub fn ended(&self, end: ConnectionEnd) -> u64 {
        let label = ConnectionEndLabel { end: end.name() };
        self.ends.get_or_create(&label).get()
    }

    fn count(&self, end: ConnectionEnd) {
        let label = ConnectionEndLabel { end: end.name() };
        self.ends.get_or_create(&label).inc();
    }

    /// Adds the metrics to a page.
    pub(crate) fn register(&self, registry: &mut Registry) {
        let help = "Connections of callers that ended while a request on them was open";
        registry.register("caller_connection_ends", help, self.ends.clone());
    }
}

/// A request that was begun on a connection and whose answer is not complete. Dropping it
/// logs the end of the connection, unless [`Self::complete`] was called.
pub(super) struct OpenRequest {
    gateway: Arc<Gateway>,
    began: Millis,
    id: Option<String>,
    body_bytes: usize,
    end: Option<ConnectionEnd>,
    error: Option<String>,
    is_complete: bool,
}

impl OpenRequest {
    /// A request whose first byte has been received.
    pub(super) fn begin(gateway: &Arc<Gateway>) -> Self {
        Self {
            gateway: Arc::clone(gateway),
            began: gateway.clock.now(),
            id: None,
            body_bytes: 0,
            end: None,
            error: None,
            is_complete: false,
        }
    }

    /// Notes the caller's id of the request.
    pub(super) fn set_id(&mut self, id: &str) {
        self.id = Some(id.to_owned());
    }

    /// The caller's id of the request, if its head was valid.
    pub(super) fn id(&self) -> Option<&str> {
        self.id.as_deref()
    }

    /// Notes how much of the body has been read.
    pub(super) fn set_body_bytes(&mut self, count: usize) {
        self.body_bytes = count;
    }

    /// The answer is complete.
    pub(super) fn complete(mut self) {
        self.is_complete = true;
    }

    /// The connection ends now.
    pub(super) fn end(mut self, end: ConnectionEnd) {
        self.end = Some(end);
    }

    /// Notes the error with which the connection ended.
    pub(super) fn set_error(&mut self, error: &dyn std::error::Error) {
        self.error = Some(error.to_string());
    }

    /// The end of a request whose task is dropped.
    fn end_of_dropped_task(&self) -> ConnectionEnd {
        if std::thread::panicking() {
            ConnectionEnd::Panicked
        } else if self.gateway.planned_stop.has_begun(StopPhase::Ended) {
            ConnectionEnd::NodeStopped
        } else {
            ConnectionEnd::Dropped
        }
    }
}

impl Drop for OpenRequest {
    fn drop(&mut self) {
        if self.is_complete {
            return;
        }
        let end = self.end.unwrap_or_else(|| self.end_of_dropped_task());
        let gateway = &self.gateway;
        gateway.metrics.connections.count(end);
        let configuration = gateway.configuration();
        slog::info!(gateway.log, "caller connection ended";
            "id" => &self.id,
            "end" => end.name(),
            "error" => &self.error,
            "body_bytes" => self.body_bytes,
            "age_ms" => gateway.clock.now().since(self.began),
            "stopping" => gateway.is_stopping(),
            "configuration" => configuration.map(|known| known.document.version));
    }
}
