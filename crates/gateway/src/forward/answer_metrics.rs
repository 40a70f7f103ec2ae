//! Metrics of engines' answers.

use ploverlift_http1::Framing;
use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::registry::Registry;

/// A regular end of an answer's body.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct AnswerEndLabel {
    /// `length`, `chunked` or `connection`.
    pub framing: &'static str,
    /// `whole`, or `inside_event` for a stream that ended inside an event.
    pub end: &'static str,
}

/// Metrics of engines' answers.
#[derive(Debug, Default)]
pub struct AnswerMetrics {
    /// Bodies of answers that ended regularly.
    pub ends: Family<AnswerEndLabel, Counter>,
}

impl AnswerMetrics {
    /// Counts a regular end of a body.
    pub fn count_end(&self, framing: Framing, end: &'static str) {
        let framing = framing.name();
        let label = AnswerEndLabel { framing, end };
        self.ends.get_or_create(&label).inc();
    }

    /// Registers the metrics.
    pub fn register(&self, registry: &mut Registry) {
        let help = "Bodies of engines' answers that ended regularly, by framing";
        registry.register("answer_ends", help, self.ends.clone());
    }
}
