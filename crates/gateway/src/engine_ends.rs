//! Engines that ended under requests of this node, and what ran there.
//!
//! An engine that resets one connection, or spoils one answer, lives on. One that has
//! ended takes no new connection, and ends all others at that moment. So the first
//! connection that an engine ends is followed by an attempt to open another one, on which
//! nothing is sent.
//!
//! ```text
//! connection ended ─▶ a new one is refused ─▶ ended, under all that was cut there
//!                  └▶ it is taken, or nobody answers ─▶ nothing is known
//! ```

use crate::http_call::{connect, ConnectFailure};
use crate::state::Gateway;
use ploverlift_balancing::catalogue::InstanceId;
use ploverlift_http1::{BufferedStream, Headers};
use ploverlift_policy::ids::Millis;
use ploverlift_quarantine::fingerprint::RequestFingerprint;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;

/// Requests that one log line names.
const MAX_LOGGED_REQUESTS: usize = 16;

/// A request whose connection its engine ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CutRequest {
    /// The request.
    pub fingerprint: RequestFingerprint,
    /// When it was sent there.
    pub begun: Millis,
}

/// Engines that ended a connection, and of which it is being found out whether they have
/// ended.
#[derive(Clone, Debug, Default)]
pub struct EngineEnds {
    open: HashMap<InstanceId, Vec<CutRequest>>,
}

impl EngineEnds {
    /// An engine ended the connection of a request; tells whether it is the first one of
    /// which this node has to find out.
    fn note(&mut self, instance: &InstanceId, cut: CutRequest) -> bool {
        let open = self.open.entry(instance.clone()).or_default();
        open.push(cut);
        open.len() == 1
    }

    /// It was found out; tells which requests were cut.
    fn close(&mut self, instance: &InstanceId) -> Vec<CutRequest> {
        self.open.remove(instance).unwrap_or_default()
    }
}

/// What was found out of an engine.
enum Finding {
    Ended,
    Lives(BufferedStream),
    Unknown(String),
}

/// An engine ended the connection of a request of this node.
pub fn note_cut(
    gateway: &Arc<Gateway>,
    instance: &InstanceId,
    address: SocketAddr,
    cut: CutRequest,
) {
    if gateway.beliefs().engine_ends.note(instance, cut) {
        let (gateway, instance) = (Arc::clone(gateway), instance.clone());
        smol::spawn(async move { find_out(&gateway, &instance, address).await }).detach();
    }
}

async fn find_out(gateway: &Gateway, instance: &InstanceId, address: SocketAddr) {
    let timeout_ms = gateway.settings().attempts.connect_timeout_ms;
    let finding = match connect(address, timeout_ms).await {
        Ok(stream) => Finding::Lives(stream),
        Err(error) if error.connect_failure() == Some(ConnectFailure::Refused) => Finding::Ended,
        Err(error) => Finding::Unknown(error.to_string()),
    };
    let cut = gateway.beliefs().engine_ends.close(instance);
    match finding {
        Finding::Ended => log_end(gateway, instance, &cut),
        Finding::Lives(stream) => keep(gateway, instance, stream),
        Finding::Unknown(error) => {
            slog::info!(gateway.log, "connections ended, engine unknown";
                "engine" => &instance.0, "requests" => cut.len(), "error" => error);
        }
    }
}

/// The connection that the engine has taken serves the next request.
fn keep(gateway: &Gateway, instance: &InstanceId, stream: BufferedStream) {
    let longest_ms = gateway.settings().attempts.keep_connection_ms;
    if longest_ms > 0 {
        let now = gateway.clock.now();
        let unused = Headers::default();
        let mut kept = gateway.kept_connections();
        kept.keep(instance, stream, &unused, longest_ms, now);
    }
}

fn log_end(gateway: &Gateway, instance: &InstanceId, cut: &[CutRequest]) {
    let now = gateway.clock.now();
    gateway.metrics.engine_ends.inc();
    let requests = cut.iter().take(MAX_LOGGED_REQUESTS);
    let requests: Vec<String> = requests
        .map(|cut| format!("{} after {} ms", cut.fingerprint, now.since(cut.begun)))
        .collect();
    slog::warn!(gateway.log, "engine ended";
        "engine" => &instance.0,
        "requests" => cut.len(),
        "under" => requests.join(", "));
}
