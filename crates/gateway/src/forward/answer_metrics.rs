//! Metrics of engines' answers.

use ploverlift_http1::Framing;
use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::registry::Registry;

/// The end of an answer's body.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct AnswerEndLabel {
    /// `length`, `chunked` or `connection`.
    pub framing: &'static str,
    /// `whole`; `inside_event` for a stream that ended inside an event; `unproven` for a body
    /// that ended with its connection, and whose engine is not proven to run; `cut` where the
    /// connection failed before the end, or ended inside a framed body.
    pub end: &'static str,
}

/// The end of an answer that ended with its connection, or a probe after it.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct EndCheckLabel {
    /// The connection that was used: `kept`, `new`, `tunnel` or `none`.
    pub connection: &'static str,
    /// `answered`, which proves that the engine instance runs, or why it is not proven.
    pub outcome: &'static str,
}

/// A try to have another engine take a request over from a silent one.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct TakeoverLabel {
    /// `not_possible`, `rejected`, `cancelled` or `done`.
    pub outcome: &'static str,
}

/// Metrics of engines' answers.
#[derive(Debug, Default)]
pub struct AnswerMetrics {
    /// Ends of answers' bodies.
    pub ends: Family<AnswerEndLabel, Counter>,
    /// Checks whether the engine of an answer that ended with its connection still runs.
    pub end_checks: Family<EndCheckLabel, Counter>,
    /// Liveness probes that were sent; several checks may share one.
    pub probes: Family<EndCheckLabel, Counter>,
    /// Tries to have another engine take a request over from a silent one.
    pub takeovers: Family<TakeoverLabel, Counter>,
}

impl AnswerMetrics {
    /// Counts the end of a body.
    pub fn count_end(&self, framing: Framing, end: &'static str) {
        let framing = framing.name();
        let label = AnswerEndLabel { framing, end };
        self.ends.get_or_create(&label).inc();
    }

    /// Counts a check whether the engine of an answer that ended with its connection still runs.
    pub fn count_end_check(&self, connection: &'static str, outcome: &'static str) {
        let label = EndCheckLabel {
            connection,
            outcome,
        };
        self.end_checks.get_or_create(&label).inc();
    }

    /// Counts a liveness probe that was sent.
    pub fn count_probe(&self, connection: &'static str, outcome: &'static str) {
        let label = EndCheckLabel {
            connection,
            outcome,
        };
        self.probes.get_or_create(&label).inc();
    }

    /// Counts a try to have another engine take a request over.
    pub fn count_takeover(&self, outcome: &'static str) {
        let label = TakeoverLabel { outcome };
        self.takeovers.get_or_create(&label).inc();
    }

    /// Registers the metrics.
    pub fn register(&self, registry: &mut Registry) {
        let help = "Ends of the bodies of engines' answers, by framing";
        registry.register("answer_ends", help, self.ends.clone());
        let help = "Checks whether the engine of an answer that ended with its connection still \
                    runs, by connection and outcome";
        registry.register("answer_end_checks", help, self.end_checks.clone());
        let help = "Liveness probes of engines that were sent, by connection and outcome";
        registry.register("liveness_probes", help, self.probes.clone());
        let help = "Tries to have another engine take a request over from a silent one";
        registry.register("takeovers", help, self.takeovers.clone());
    }
}
