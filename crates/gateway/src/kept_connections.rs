//! Connections to engines that are kept for a short time after a whole answer.
//!
//! An engine may close or forget an idle connection at the moment it is used, and
//! then nobody knows whether a request on it ran. So only requests that may run
//! again are sent on a kept connection, and it is closed on any doubt: when bytes
//! came that nobody asked for, when the engine announced its close, or when it is
//! older than a part of the time for which the engine keeps it.

use ploverlift_balancing::catalogue::InstanceId;
use ploverlift_http1::{BufferedStream, Headers};
use ploverlift_policy::ids::Millis;
use std::collections::HashMap;

/// Kept connections to one engine; the oldest ones go first.
const MAX_PER_ENGINE: usize = 4;
/// Part of the time that an engine says it keeps idle connections for.
const ANNOUNCED_SHARE: f64 = 0.5;

/// A connection on which nothing is under way.
pub struct IdleConnection {
    stream: BufferedStream,
    use_before: Millis,
}

/// Kept connections by engine.
#[derive(Default)]
pub struct KeptConnections {
    by_engine: HashMap<InstanceId, Vec<IdleConnection>>,
}

impl KeptConnections {
    /// Keeps a connection after a whole answer with these headers, for `longest_ms`
    /// at most.
    pub fn keep(
        &mut self,
        instance: &InstanceId,
        stream: BufferedStream,
        headers: &Headers,
        longest_ms: u64,
        now: Millis,
    ) {
        self.expire(now);
        let announced_ms = announced_ms(headers).unwrap_or(u64::MAX);
        let connection = IdleConnection {
            stream,
            use_before: now.plus(longest_ms.min(announced_ms)),
        };
        let kept = self.by_engine.entry(instance.clone()).or_default();
        if kept.len() >= MAX_PER_ENGINE {
            kept.remove(0);
        }
        kept.push(connection);
    }

    /// Takes the connection to an engine that was used last.
    pub fn take(&mut self, instance: &InstanceId, now: Millis) -> Option<BufferedStream> {
        self.expire(now);
        let kept = self.by_engine.get_mut(instance)?;
        kept.pop().map(|connection| connection.stream)
    }

    /// Closes the connections to an engine: one of them had fallen silent.
    pub fn forget(&mut self, instance: &InstanceId) {
        self.by_engine.remove(instance);
    }

    /// Closes connections that were idle for too long.
    fn expire(&mut self, now: Millis) {
        self.by_engine.retain(|_, kept| {
            kept.retain(|connection| now < connection.use_before);
            !kept.is_empty()
        });
    }

    /// Connections that are kept.
    pub fn len(&self) -> usize {
        self.by_engine.values().map(Vec::len).sum()
    }

    /// Whether no connection is kept.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}

/// Time for which a connection is used again after an answer that says how long
/// the engine keeps it (`Keep-Alive: timeout=SECONDS`), in milliseconds.
fn announced_ms(headers: &Headers) -> Option<u64> {
    let announced = headers.get("keep-alive")?;
    let mut parameters = announced.split(',').map(str::trim);
    let timeout = parameters.find_map(|parameter| parameter.strip_prefix("timeout="))?;
    let seconds: f64 = timeout.trim().parse().ok()?;
    Some((seconds * 1_000.0 * ANNOUNCED_SHARE) as u64)
}
