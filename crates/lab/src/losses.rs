//! Causes of delays and failures of requests, from the JSON log lines of nodes.
//!
//! Reads lines as `ploverlift gateway` writes them to standard output and counts
//! requests by route and main cause of delay, with the mean time to the first
//! byte. Log lines of successful requests are rate-limited, so only the logged
//! ones are counted.

use serde::Deserialize;
use std::collections::BTreeMap;
use std::fmt::Write;
use std::io::{self, BufRead};

/// Smallest term of the routing cost that counts as a delay, in milliseconds.
const MIN_DELAY_MS: f64 = 40.0;

/// The fields of a request's log line that are needed here.
#[derive(Deserialize)]
struct RequestLine {
    msg: String,
    #[serde(default)]
    outcome: String,
    #[serde(default)]
    route: String,
    #[serde(default)]
    attempts: String,
    #[serde(default)]
    reason: String,
    first_byte_ms: Option<u64>,
}

/// The main cause of a request's delay, or the cause of its end.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Reason {
    /// Answered without a notable delay.
    NoDelay,
    /// Waited for queued prompts.
    Queueing,
    /// Cached blocks were transferred to the engine.
    Transfer,
    /// Shared parts of the prompt were prefilled again, or for the first time.
    Prefill,
    /// The engine's weights were older than the newest.
    StaleVersion,
    /// Answered by another engine after one had failed, was lost or refused.
    SecondEngine,
    /// The tenant was over its limit.
    OverLimit,
    /// Refused by overload protection, so that other requests are answered in time.
    Overload,
    /// No engine could begin to answer within the request's time.
    NoEngineInTime,
    /// The node could not prove that its configuration is current, or had none yet.
    ConfigurationUnproven,
    /// Refused for another reason; not run.
    Refused,
    /// The request timed out.
    TimedOut,
    /// The engine no longer accepted connections.
    EngineUnreachable,
    /// The engine failed or was lost in another way, which ended the request.
    EngineLost,
    /// The caller closed the connection.
    CallerLeft,
}

impl Reason {
    fn label(self) -> &'static str {
        match self {
            Reason::NoDelay => "answered promptly",
            Reason::Queueing => "waited behind prompts",
            Reason::Transfer => "KV cache was moved",
            Reason::Prefill => "shared parts were read",
            Reason::StaleVersion => "stale model version",
            Reason::SecondEngine => "a second engine answered",
            Reason::OverLimit => "over its tenant's limit",
            Reason::Overload => "engines overloaded",
            Reason::NoEngineInTime => "no engine in time",
            Reason::ConfigurationUnproven => "configuration unproven",
            Reason::Refused => "refused, not run",
            Reason::TimedOut => "time was up",
            Reason::EngineUnreachable => "engine takes no connection",
            Reason::EngineLost => "engine failed or lost",
            Reason::CallerLeft => "caller left",
        }
    }
}

/// Totals of the requests with one route and reason.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Group {
    /// Number of requests.
    pub requests: u64,
    /// Number of requests whose time to the first byte is known.
    pub timed: u64,
    /// The sum of those times, in milliseconds.
    pub first_byte_ms: u64,
}

/// Groups by route and reason.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct Losses {
    /// Totals by route and reason.
    pub groups: BTreeMap<(String, Reason), Group>,
    /// Number of lines that are not log lines of a request.
    pub other_lines: u64,
}

impl Losses {
    /// Counts the requests of a log.
    ///
    /// # Errors
    /// When the log cannot be read.
    pub fn of(log: impl BufRead) -> io::Result<Self> {
        let mut losses = Self::default();
        for line in log.lines() {
            losses.add(&line?);
        }
        Ok(losses)
    }

    fn add(&mut self, line: &str) {
        // A log collector may put a prefix in front of each line.
        let json = line.find('{').map_or("", |start| &line[start..]);
        let request = serde_json::from_str::<RequestLine>(json).ok();
        let Some(request) = request.filter(|request| request.msg == "request") else {
            self.other_lines += 1;
            return;
        };
        let reason = classify(&request);
        let group = self.groups.entry((request.route, reason)).or_default();
        group.requests += 1;
        if let Some(first_byte_ms) = request.first_byte_ms {
            group.timed += 1;
            group.first_byte_ms += first_byte_ms;
        }
    }

    /// The totals as a text table.
    pub fn table(&self) -> String {
        let mut text = format!(
            "{:<24} {:<26} {:>9} {:>15}\n",
            "route", "reason", "requests", "first byte, ms"
        );
        for ((route, reason), group) in &self.groups {
            let mean = match group.timed {
                0 => "-".to_owned(),
                timed => (group.first_byte_ms / timed).to_string(),
            };
            let route = if route.is_empty() { "-" } else { route };
            // Writing to a string does not fail.
            let _ = writeln!(
                text,
                "{route:<24} {:<26} {:>9} {mean:>15}",
                reason.label(),
                group.requests
            );
        }
        text
    }
}

/// Beginnings of the gateway's `reason` of a refusal.
const REFUSAL_PREFIXES: [(&str, Reason); 6] = [
    ("the tenant is over its limit", Reason::OverLimit),
    ("the engines are overloaded", Reason::Overload),
    ("no engine can begin to answer", Reason::NoEngineInTime),
    ("the configuration", Reason::ConfigurationUnproven),
    (
        "keys may have been taken away",
        Reason::ConfigurationUnproven,
    ),
    ("what the tenant has used", Reason::ConfigurationUnproven),
];

/// The gateway's `reason` when an engine no longer accepts connections.
const ENGINE_UNREACHABLE: &str = "the engine is lost";

fn classify(request: &RequestLine) -> Reason {
    match request.outcome.as_str() {
        "refused" | "not_admitted" => classify_refusal(&request.reason),
        "timed_out" => Reason::TimedOut,
        "engine_lost" if request.reason == ENGINE_UNREACHABLE => Reason::EngineUnreachable,
        "engine_lost" | "engine_failure" | "broken_off" => Reason::EngineLost,
        "caller_left" => Reason::CallerLeft,
        _ if request.attempts.contains("; ") => Reason::SecondEngine,
        _ => largest_term(&request.attempts),
    }
}

fn classify_refusal(reason: &str) -> Reason {
    let mut known = REFUSAL_PREFIXES.iter();
    let known = known.find(|(start, _)| reason.starts_with(start));
    known.map_or(Reason::Refused, |(_, reason)| *reason)
}

/// The largest term of the routing cost of an answered request.
fn largest_term(attempts: &str) -> Reason {
    let terms = [
        ("queue=", Reason::Queueing),
        ("transfer=", Reason::Transfer),
        ("prefill=", Reason::Prefill),
        ("stale=", Reason::StaleVersion),
    ];
    let costs = terms.map(|(name, reason)| (term_ms(attempts, name), reason));
    let largest = costs.into_iter().max_by(|a, b| a.0.total_cmp(&b.0));
    largest
        .filter(|(cost_ms, _)| *cost_ms >= MIN_DELAY_MS)
        .map_or(Reason::NoDelay, |(_, reason)| reason)
}

fn term_ms(attempts: &str, name: &str) -> f64 {
    let mut words = attempts.split_whitespace();
    let value = words.find_map(|word| word.strip_prefix(name));
    value.and_then(|value| value.parse().ok()).unwrap_or(0.0)
}
