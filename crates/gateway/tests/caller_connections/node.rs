//! A node whose log lines a test reads.

use crate::support::caller;
use crate::support::engine::StandInEngine;
use crate::support::settings;
use crate::support::site::StandInSite;
use crate::support::store::StandInStore;
use ploverlift_gateway::assembly::{start, RunningGateway};
use ploverlift_gateway::callers::ConnectionEnd;
use ploverlift_gateway::state::Gateway;
use ploverlift_gateway::time::sleep;
use serde_json::Value;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// Pause between two looks at the log, in milliseconds.
const POLL_MS: u64 = 2;

/// Blocks the thread that runs the tasks of all nodes for a time, as a long computation does;
/// returns once it is blocked.
pub async fn hold_executor(milliseconds: u64) -> smol::Task<()> {
    let (began, beginning) = async_channel::bounded(1);
    let hold = smol::spawn(async move {
        began.try_send(()).expect("a receiver");
        std::thread::sleep(Duration::from_millis(milliseconds));
    });
    beginning.recv().await.expect("the hold");
    hold
}

/// Collects the log output.
#[derive(Clone, Default)]
struct Captured(Arc<Mutex<Vec<u8>>>);

impl io::Write for Captured {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.0.lock().expect("lines").extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// A store and one node that logs to memory.
pub struct LoggedNode {
    pub store: StandInStore,
    pub gateway: Arc<Gateway>,
    pub running: Option<RunningGateway>,
    pub callers: SocketAddr,
    captured: Captured,
}

impl LoggedNode {
    /// Starts a node with this configuration, or with none; `more` is appended to its settings.
    pub async fn start(
        engines: &[&StandInEngine],
        configuration: Option<Value>,
        more: &str,
    ) -> Self {
        let store = StandInStore::start().await;
        for engine in engines {
            store.put("Engines", &engine.instance, engine.record());
        }
        let is_complete = configuration.is_some();
        if let Some(configuration) = configuration {
            store.put("Configuration", "main", configuration);
        }
        let captured = Captured::default();
        let log = ploverlift_telemetry::json_logger_to(captured.clone(), slog::o!());
        let settings = settings(&store, "node", more);
        let running = start(settings, Arc::new(StandInSite), log).expect("start");
        if is_complete {
            while caller::get_status(running.readiness).await != 200 {}
        }
        Self {
            store,
            gateway: Arc::clone(&running.gateway),
            callers: running.callers,
            running: Some(running),
            captured,
        }
    }

    /// Stores a configuration and waits until it is in force.
    pub async fn configure(&self, configuration: Value) {
        let version = configuration["version"].as_u64();
        self.store.put("Configuration", "main", configuration);
        while self.gateway.beliefs().configuration_version() != version {
            sleep(POLL_MS).await;
        }
    }

    /// The log lines with this message.
    pub fn lines(&self, message: &str) -> Vec<Value> {
        let bytes = self.captured.0.lock().expect("lines").clone();
        let text = String::from_utf8(bytes).expect("text");
        // The logger writes a line in several parts: the last one may be incomplete.
        let whole_lines = text.rsplit_once('\n').map_or("", |(whole, _)| whole);
        let lines = whole_lines
            .lines()
            .map(|line| serde_json::from_str(line).expect("a line of JSON"));
        lines
            .filter(|line: &Value| line["msg"] == message)
            .collect()
    }

    /// Log lines on connections that ended while a request was open.
    pub fn ends(&self) -> Vec<Value> {
        self.lines("caller connection ended")
    }

    /// Waits for the end of a connection; asserts that there is one line, and that it was
    /// counted.
    pub async fn only_end(&self, end: ConnectionEnd) -> Value {
        while self.ends().is_empty() {
            sleep(POLL_MS).await;
        }
        while self.gateway.requests_in_flight() > 0 {
            sleep(POLL_MS).await;
        }
        let mut lines = self.ends();
        assert_eq!(lines.len(), 1, "{lines:?}");
        assert_eq!(lines[0]["end"], end.name());
        assert_eq!(self.gateway.metrics.connections.ended(end), 1);
        lines.remove(0)
    }
}
