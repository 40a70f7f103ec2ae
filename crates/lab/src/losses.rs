//! Where requests lost worth, from the JSON log lines of nodes alone.
//!
//! Reads lines as `ploverlift gateway` writes them on standard output and counts
//! requests by route and by what held them up most, with the time to the first
//! byte. Lines of successes are written up to a rate, so counts of successes are
//! of those that were logged.

use serde::Deserialize;
use std::collections::BTreeMap;
use std::fmt::Write;
use std::io::{self, BufRead};

/// Terms of the cost of a choice below this, in milliseconds, held nothing up.
const MIN_DELAY_MS: f64 = 40.0;

/// A request's log line, as far as it is needed.
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

/// What held a request up, or ended it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Reason {
    /// Answered without a notable delay.
    NoDelay,
    /// Prompts in front of it.
    Queueing,
    /// Shared parts were moved to the engine.
    Transfer,
    /// Shared parts were read again, or for the first time.
    Prefill,
    /// Its engine's weights were behind the newest.
    StaleVersion,
    /// An engine failed, was lost or refused, and another one answered.
    SecondEngine,
    /// Its tenant was over its limit.
    OverLimit,
    /// It was refused so that others are answered in time.
    Overload,
    /// No engine could begin to answer within its time.
    NoEngineInTime,
    /// The node could not prove its configuration, or knew none yet.
    ConfigurationUnproven,
    /// It was refused otherwise and has not run.
    Refused,
    /// Its time was up.
    TimedOut,
    /// Its engine was found to take no connection any more.
    EngineUnreachable,
    /// Its engine failed or was lost otherwise, and it ended so.
    EngineLost,
    /// Its caller left.
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

/// Requests of one route with one reason.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Group {
    /// Requests.
    pub requests: u64,
    /// Those of which the time to the first byte is known.
    pub timed: u64,
    /// The sum of those times, in milliseconds.
    pub first_byte_ms: u64,
}

/// Groups by route and reason.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct Losses {
    /// Groups.
    pub groups: BTreeMap<(String, Reason), Group>,
    /// Lines that are not a request's.
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
        // What collects logs may write something in front of each line.
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

    /// The table for a person.
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

/// What the gateway's words for the reason of a refusal begin with.
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

/// What the gateway says of an engine that takes no connection any more.
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

/// The term of the cost that held an answered request up most.
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
