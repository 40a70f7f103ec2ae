//! Listeners for the readiness probe and for metrics.

use crate::engine_limits::publish_limits;
use crate::engine_paths::metrics::publish_paths;
use crate::memory_metrics::publish_memory;
use crate::ports::RefusalKind;
use crate::requirements::{incomplete_engines, lacking, publish_requirements, Requirement};
use crate::state::Gateway;
use crate::time::{sleep, within};
use ploverlift_http1::{read_request_head, BufferedStream, ResponseHead};
use smol::net::{TcpListener, TcpStream};
use std::sync::Arc;

/// Maximum size of a request's head, in bytes.
const MAX_HEAD_BYTES: usize = 8 * 1024;
/// Maximum idle time of a connection between two requests, in milliseconds.
const IDLE_MS: u64 = 10_000;
/// Pause after a failed accept, in milliseconds.
const ACCEPT_RETRY_MS: u64 = 20;

/// Whether this node has all the state that it needs to serve callers.
pub fn knows_site(gateway: &Gateway) -> bool {
    Requirement::ALL
        .iter()
        .all(|requirement| requirement.is_met(gateway))
}

/// Why this node does not accept callers; `None` when it does: it lacks nothing that it needs, and
/// is not stopping.
fn unready_reason(gateway: &Gateway) -> Option<String> {
    if gateway.is_stopping() {
        return Some("stopping".to_owned());
    }
    let lacking: Vec<&str> = lacking(gateway)
        .into_iter()
        .map(Requirement::name)
        .collect();
    (!lacking.is_empty()).then(|| format!("lacks {}", lacking.join(", ")))
}

/// What a ready node knows in part only, as lines.
fn incompleteness(gateway: &Gateway) -> String {
    let incomplete = incomplete_engines(gateway);
    incomplete.map_or_else(String::new, |known| {
        format!("incomplete: engines ({known} known, the list can't be read to its end)\n")
    })
}

/// Answers readiness probes of the load balancer until the task is dropped.
pub async fn serve_readiness(gateway: Arc<Gateway>, listener: TcpListener) {
    serve_probes(gateway, listener, |gateway| match unready_reason(gateway) {
        None => (200, format!("ready\n{}", incompleteness(gateway))),
        Some(reason) => (
            RefusalKind::NotRun.status(),
            format!("not ready: {reason}\n"),
        ),
    })
    .await;
}

/// Serves the metrics until the task is dropped.
pub async fn serve_metrics(gateway: Arc<Gateway>, listener: TcpListener) {
    serve_probes(gateway, listener, |gateway| (200, metrics_page(gateway))).await;
}

/// The page of metrics as it is now.
pub fn metrics_page(gateway: &Gateway) -> String {
    publish_limits(gateway);
    publish_paths(gateway);
    publish_memory(gateway);
    publish_requirements(gateway);
    gateway.metrics.page()
}

type ResponseFn = fn(&Gateway) -> (u16, String);

async fn serve_probes(gateway: Arc<Gateway>, listener: TcpListener, response_fn: ResponseFn) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                let gateway = Arc::clone(&gateway);
                smol::spawn(serve_connection(gateway, stream, response_fn)).detach();
            }
            Err(error) => {
                // Typically out of descriptors: an immediate retry would only waste CPU time.
                slog::warn!(gateway.log, "probe connection not accepted"; "error" => error.to_string());
                sleep(ACCEPT_RETRY_MS).await;
            }
        }
    }
}

async fn serve_connection(gateway: Arc<Gateway>, stream: TcpStream, response_fn: ResponseFn) {
    let mut connection = BufferedStream::new(stream);
    loop {
        let reading = read_request_head(&mut connection, MAX_HEAD_BYTES);
        let Some(Ok((head, _))) = within(IDLE_MS, reading).await else {
            return;
        };
        let (status, body) = response_fn(&gateway);
        let mut answer = ResponseHead::new(status);
        answer.headers.set("Content-Length", body.len());
        if !head.keeps_alive() {
            answer.headers.set("Connection", "close");
        }
        let mut message = answer.encode();
        message.extend_from_slice(body.as_bytes());
        let written = within(IDLE_MS, connection.write_all(&message)).await;
        if !matches!(written, Some(Ok(()))) || !head.keeps_alive() {
            return;
        }
    }
}
