//! Detects engines that terminated while they ran requests of this node, and records
//! these requests.
//!
//! An engine that resets one connection or sends one malformed answer is still alive. An
//! engine that has terminated accepts no new connection, and all its open connections end
//! at that moment. So after the first connection that an engine ends, this node tries to
//! open another one, on which nothing is sent. The kernel may still accept for an engine that
//! has terminated: an accepted connection proves nothing, and leaves open what ended the others.
//!
//! ```text
//! connection ended ─▶ new connection refused ─▶ idle ones end as well, or there is none ─▶ terminated,
//!                  │                          │                          during all requests cut there
//!                  │                          └▶ an idle one stays open ─▶ nothing is known
//!                  └▶ accepted, or no answer ─▶ nothing is known
//! ```

use crate::cut_requests::CutRequest;
use crate::engine_checks::keep_connection;
use crate::engine_paths::connect::{connect_engine, EngineConnection, Unconnected};
use crate::engine_sentinels::keeps_connection_open;
use crate::http_call::ConnectFailure;
use crate::state::Gateway;
use ploverlift_balancing::catalogue::InstanceId;
use ploverlift_balancing::peer_loads::EngineTag;
use ploverlift_quarantine::evidence::{counts_as_evidence, EngineEnd};
use ploverlift_quarantine::quarantine::EndOutcome;
use ploverlift_quarantine::subject::Subject;
use std::net::SocketAddr;
use std::sync::Arc;

/// Maximum number of requests that one log line lists.
const MAX_LOGGED_REQUESTS: usize = 16;

/// Maximum number of prompt parts that one log line lists for a request.
const MAX_LOGGED_PARTS: usize = 8;

/// Status of an engine that ended a connection, found by a connection attempt.
enum Status {
    Ended,
    Accepts(Box<EngineConnection>),
    Unknown(String),
}

/// Records that an engine ended the connection of a request of this node, and starts a
/// probe of the engine unless one is running.
pub fn note_cut(
    gateway: &Arc<Gateway>,
    instance: &InstanceId,
    address: SocketAddr,
    cut: CutRequest,
) {
    let now = gateway.clock.now();
    let is_first = {
        let mut beliefs = gateway.beliefs();
        beliefs
            .quarantine
            .note_undetermined_outcome(cut.fingerprint.into(), cut.tenant, now);
        beliefs.engine_ends.note(instance, cut)
    };
    if is_first {
        let (gateway, instance) = (Arc::clone(gateway), instance.clone());
        smol::spawn(async move { determine_status(&gateway, &instance, address).await }).detach();
    }
}

async fn determine_status(gateway: &Arc<Gateway>, instance: &InstanceId, address: SocketAddr) {
    let timeout_ms = gateway.settings().attempts.connect_timeout_ms;
    let result = match connect_engine(gateway, instance, address, timeout_ms).await {
        Ok(connection) => Status::Accepts(Box::new(connection)),
        Err(unconnected) if has_ended(&unconnected) => {
            status_after_refusal(gateway, instance).await
        }
        Err(unconnected) => Status::Unknown(unconnected.reason()),
    };
    let cut = gateway.beliefs().engine_ends.close(instance);
    if matches!(result, Status::Ended) {
        log_end(gateway, instance, &cut);
    }
    for request in &cut {
        apply_probe_result(gateway, instance, request, matches!(result, Status::Ended));
    }
    gateway.quarantine_changed.notify(usize::MAX);
    match result {
        Status::Ended => {}
        Status::Accepts(connection) => {
            keep_connection(gateway, instance, *connection, gateway.clock.now());
        }
        Status::Unknown(error) => {
            slog::info!(gateway.log, "connections ended, engine unknown";
                "engine" => &instance.0, "requests" => cut.len(), "error" => error);
        }
    }
}

/// Status of an engine that refused the probe: it may be at its limit of connections, or leave.
async fn status_after_refusal(gateway: &Gateway, instance: &InstanceId) -> Status {
    match keeps_connection_open(gateway, instance).await {
        true => Status::Unknown("refuses connections, keeps others open".to_owned()),
        false => Status::Ended,
    }
}

/// Whether a refused connection shows that the engine accepts none, as if it has terminated: a
/// peer whose own link works was refused as well, or there was no peer to ask.
pub(crate) fn has_ended(unconnected: &Unconnected) -> bool {
    let is_refused = unconnected.failure() == ConnectFailure::Refused;
    let peers = unconnected.peers.unwrap_or_default();
    is_refused && (peers.asked == 0 || peers.refused > 0)
}

/// Records the result of the probe for one request whose connection was cut.
fn apply_probe_result(gateway: &Gateway, instance: &InstanceId, cut: &CutRequest, has_ended: bool) {
    let now = gateway.clock.now();
    let mut beliefs = gateway.beliefs();
    beliefs
        .quarantine
        .note_determined_outcome(cut.fingerprint.into());
    if !has_ended || !counts_as_evidence(cut.streamed_ms) {
        return;
    }
    let known = beliefs.engines.get(instance);
    let software = known.map(|engine| engine.record.software.clone());
    let end = EngineEnd {
        engine: EngineTag::of(instance),
        begun: cut.begun,
        at: cut.ended,
        request: cut.fingerprint.into(),
    };
    let parts = cut.parts.iter().map(|part| Subject::Part(part.fingerprint));
    let subjects = std::iter::once(Subject::Request(cut.fingerprint)).chain(parts);
    let outcomes = subjects.map(|subject| {
        let quarantine = &mut beliefs.quarantine;
        let outcome = quarantine.note_end(subject, cut.tenant, end, software.clone(), now);
        (subject, outcome)
    });
    let outcomes: Vec<(Subject, EndOutcome)> = outcomes.collect();
    drop(beliefs);
    for (subject, outcome) in outcomes {
        log_outcome(gateway, instance, cut, subject, outcome);
    }
}

/// Logs a change of the state of a request, and from the second end on of a part: parts in use
/// are beside each end.
fn log_outcome(
    gateway: &Gateway,
    instance: &InstanceId,
    cut: &CutRequest,
    subject: Subject,
    outcome: EndOutcome,
) {
    let mut parts = cut.parts.iter();
    let part = parts.find(|part| subject == Subject::Part(part.fingerprint));
    let part = part.map(|part| format!("{:x}", part.id));
    match outcome {
        EndOutcome::Cleared | EndOutcome::Known => {}
        EndOutcome::Suspected { moments } if moments <= 1 && subject.is_part() => {}
        EndOutcome::Suspected { moments } => {
            slog::info!(gateway.log, "request suspected";
                "fingerprint" => subject.to_string(), "part" => part,
                "engine" => &instance.0, "moments" => moments);
        }
        EndOutcome::Refused => {
            slog::warn!(gateway.log, "request refused from now on";
                "fingerprint" => subject.to_string(), "part" => part,
                "engine" => &instance.0, "from" => "own");
        }
    }
}

fn log_end(gateway: &Gateway, instance: &InstanceId, cut: &[CutRequest]) {
    gateway.metrics.engine_ends.inc();
    let requests = cut.iter().take(MAX_LOGGED_REQUESTS);
    let requests: Vec<String> = requests
        .map(|cut| {
            let after_ms = cut.ended.since(cut.begun);
            let streamed_ms = cut.streamed_ms;
            let parts = cut.parts.iter().take(MAX_LOGGED_PARTS);
            let parts: Vec<String> = parts.map(|part| format!("{:x}", part.id)).collect();
            let parts = parts.join(",");
            format!(
                "{} after {after_ms} ms, streamed {streamed_ms}, parts {parts}",
                cut.fingerprint
            )
        })
        .collect();
    slog::warn!(gateway.log, "engine ended";
        "engine" => &instance.0,
        "requests" => cut.len(),
        "under" => requests.join("; "));
}
