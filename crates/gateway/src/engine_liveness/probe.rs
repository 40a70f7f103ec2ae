//! One probe of an engine.

use crate::answer_limits::ANSWER_LIMITS;
use crate::engine_connection::{exchange_on, EngineAnswer, FailureReason};
use crate::engine_paths::connect::{
    connect_engine, ConnectedInstance, EngineConnection, EnginePath,
};
use crate::engine_sentinels::{keep_as_sentinel, take_sentinel, TakenSentinel};
use crate::http_call::ConnectFailure;
use crate::ports::{LivenessAnswer, LivenessProbe};
use crate::state::Gateway;
use crate::time::within;
use ploverlift_balancing::catalogue::InstanceId;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Instant;

/// Longest duration of a probe, over all connections that are tried, in milliseconds.
const PROBE_TIMEOUT_MS: u64 = 1_000;
/// Time for which an engine may hold a probe, in milliseconds; a full engine rejects it then, which
/// is an answer.
const PROBE_DEADLINE_MS: u64 = 600;
/// Longest wait for an answer on one connection, in milliseconds; a new one may still lead to the
/// engine where a kept one has been silently cut.
const ANSWER_TIMEOUT_MS: u64 = 700;
/// Longest wait for the body of an answer to a probe, which proves nothing, in milliseconds.
const BODY_TIMEOUT_MS: u64 = 100;

/// The engine that is probed.
#[derive(Clone, Debug)]
pub(crate) struct ProbedEngine {
    pub(crate) instance: InstanceId,
    pub(crate) address: SocketAddr,
    /// Path of its service's health check, if it is known.
    pub(crate) health_path: Option<String>,
    /// Whether engines of its service report on their models.
    pub(crate) reports: bool,
}

/// What a probe showed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ProbeOutcome {
    /// The instance answered, and so runs.
    Answered,
    /// Another instance answered.
    OtherInstance,
    /// The answer is none to a probe, or does not show by whom it was given.
    Foreign,
    /// The connection was refused.
    Refused,
    /// The connection was closed or reset.
    Closed,
    /// There was no answer in time.
    NoAnswer,
    /// This node has no descriptors, ports or memory for a connection.
    LocalError,
    /// The engine's protocol has no question for it.
    NoQuestion,
}

impl ProbeOutcome {
    /// Label for logs and metrics.
    pub(crate) fn name(self) -> &'static str {
        match self {
            Self::Answered => "answered",
            Self::OtherInstance => "other_instance",
            Self::Foreign => "foreign",
            Self::Refused => "refused",
            Self::Closed => "closed",
            Self::NoAnswer => "no_answer",
            Self::LocalError => "local_error",
            Self::NoQuestion => "no_question",
        }
    }
}

/// The outcome of a probe, and the connection that was tried last.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct ProbeResult {
    /// `kept`, `new`, `tunnel` or `none`.
    pub(crate) connection: &'static str,
    pub(crate) outcome: ProbeOutcome,
}

impl ProbeResult {
    /// No answer in time.
    pub(crate) const TIMED_OUT: Self = Self {
        connection: "none",
        outcome: ProbeOutcome::NoAnswer,
    };
}

/// A connection that was open before the probe.
struct KeptConnection {
    connection: EngineConnection,
    /// Set where it is the sentinel.
    _sentinel: Option<TakenSentinel>,
}

/// Probes an engine that has answered a request sent at `request_sent_at`.
pub(super) async fn probe(
    gateway: &Arc<Gateway>,
    engine: &ProbedEngine,
    request_sent_at: Instant,
) -> ProbeResult {
    let mut result = ProbeResult::TIMED_OUT;
    let probing = Probe {
        gateway,
        engine,
        request_sent_at,
    };
    let is_in_time = within(PROBE_TIMEOUT_MS, probing.run(&mut result)).await;
    if is_in_time.is_none() {
        result.outcome = ProbeOutcome::NoAnswer;
    }
    result
}

struct Probe<'a> {
    gateway: &'a Arc<Gateway>,
    engine: &'a ProbedEngine,
    request_sent_at: Instant,
}

impl Probe<'_> {
    /// Asks on one connection after the other until the instance answers.
    async fn run(&self, result: &mut ProbeResult) {
        while let Some(kept) = self.take_kept().await {
            result.connection = "kept";
            result.outcome = self.ask(kept.connection, "kept").await;
            match result.outcome {
                ProbeOutcome::Answered => return,
                // The other kept ones are as old.
                ProbeOutcome::NoAnswer => break,
                _ => {}
            }
        }
        result.connection = "new";
        let (instance, address) = (&self.engine.instance, self.engine.address);
        let connecting = connect_engine(self.gateway, instance, address, PROBE_TIMEOUT_MS);
        match connecting.await {
            Ok(connection) => {
                if matches!(connection.path, EnginePath::Tunnel(_)) {
                    result.connection = "tunnel";
                }
                result.outcome = self.ask(connection, result.connection).await;
            }
            Err(unconnected) => {
                result.outcome = match unconnected.failure() {
                    // As that of an engine that accepted the probe's connection and closed it.
                    ConnectFailure::Rejected => ProbeOutcome::Closed,
                    ConnectFailure::Refused => ProbeOutcome::Refused,
                    ConnectFailure::NoAnswer => ProbeOutcome::NoAnswer,
                    ConnectFailure::Local => ProbeOutcome::LocalError,
                };
            }
        }
    }

    /// Takes the sentinel or an idle connection that is neither closed nor has unread bytes; others
    /// are discarded.
    async fn take_kept(&self) -> Option<KeptConnection> {
        let instance = &self.engine.instance;
        if let Some((connection, sentinel)) = take_sentinel(self.gateway, instance) {
            if connection.stream.is_quiet().await {
                return Some(KeptConnection {
                    connection,
                    _sentinel: Some(sentinel),
                });
            }
        }
        loop {
            let now = self.gateway.clock.now();
            let idle = self.gateway.kept_connections().take_oldest(instance, now)?;
            if idle.is_quiet().await {
                return Some(KeptConnection {
                    connection: idle.into_connection(),
                    _sentinel: None,
                });
            }
        }
    }

    /// Asks on one connection, and keeps it if it may be used again.
    async fn ask(&self, connection: EngineConnection, name: &'static str) -> ProbeOutcome {
        let is_instance_known = connection.leads_to_instance(self.request_sent_at);
        let question = LivenessProbe {
            instance: &self.engine.instance,
            health_path: self.engine.health_path.as_deref(),
            reports: self.engine.reports,
            is_instance_known,
            deadline_ms: PROBE_DEADLINE_MS,
        };
        let Some(mut head) = self.gateway.site.liveness_head(&question) else {
            return ProbeOutcome::NoQuestion;
        };
        head.headers.set("Host", self.engine.address);
        let EngineConnection { stream, path, .. } = connection;
        let outcome = match exchange_on(stream, &head, &[], ANSWER_TIMEOUT_MS).await {
            Err(failure) => outcome_without_answer(&failure.reason),
            Ok(answer) => {
                let outcome = self.outcome(&answer, is_instance_known);
                if outcome == ProbeOutcome::Answered {
                    self.keep(answer, path).await;
                }
                outcome
            }
        };
        let metrics = &self.gateway.metrics.answers;
        metrics.count_probe(name, outcome.name());
        outcome
    }

    fn outcome(&self, answer: &EngineAnswer, is_instance_known: bool) -> ProbeOutcome {
        let site = &self.gateway.site;
        if !answer.request_is_written() {
            return ProbeOutcome::Foreign;
        }
        match site.liveness_answer(&self.engine.instance, &answer.head) {
            LivenessAnswer::Instance => ProbeOutcome::Answered,
            LivenessAnswer::Unnamed if is_instance_known => ProbeOutcome::Answered,
            LivenessAnswer::OtherInstance => ProbeOutcome::OtherInstance,
            LivenessAnswer::Unnamed | LivenessAnswer::Foreign => ProbeOutcome::Foreign,
        }
    }

    /// Keeps the connection on which the instance has answered.
    async fn keep(&self, mut answer: EngineAnswer, path: EnginePath) {
        if within(BODY_TIMEOUT_MS, read_to_end(&mut answer)).await != Some(true) {
            return;
        }
        if let Some((stream, place)) = answer.into_idle_connection() {
            let connection = EngineConnection {
                stream,
                path,
                instance: ConnectedInstance::HasAnswered,
                place,
            };
            keep_as_sentinel(self.gateway, &self.engine.instance, connection);
        }
    }
}

fn outcome_without_answer(reason: &FailureReason) -> ProbeOutcome {
    match reason {
        FailureReason::ConnectionEnded(_) => ProbeOutcome::Closed,
        FailureReason::Malformed(_) => ProbeOutcome::Foreign,
        FailureReason::NoAnswerInTime
        | FailureReason::EngineLost
        | FailureReason::WeightsOutdated => ProbeOutcome::NoAnswer,
    }
}

/// Reads the body; returns false if it is too large or breaks off.
async fn read_to_end(answer: &mut EngineAnswer) -> bool {
    let mut body = Vec::new();
    loop {
        match answer.read(&mut body).await {
            Ok(true) if body.len() <= ANSWER_LIMITS.report_bytes => {}
            Ok(false) => return true,
            Ok(true) | Err(_) => return false,
        }
    }
}
