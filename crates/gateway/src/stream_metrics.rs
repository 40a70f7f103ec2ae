//! Metrics of streams that go on after a break.

use ploverlift_streamorigin::placement::Placement;
use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::Registry;

/// How the software version of a stream that was taken up was found.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct PlacementLabel {
    /// `began`, `only`, `unanswered` or `unknown`.
    pub placement: &'static str,
}

/// How the wait for the registration of a source ended.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct HeldLabel {
    /// `registered` or `rejected`.
    pub outcome: &'static str,
}

/// Metrics of streams that go on after a break.
#[derive(Debug, Default)]
pub struct StreamMetrics {
    /// Streams that were taken up, by how their version was found.
    pub placements: Family<PlacementLabel, Counter>,
    /// Streams that waited for the registration of a source, by whether one was registered.
    pub held: Family<HeldLabel, Counter>,
    /// Messages that announced the version of a stream.
    pub announced: Counter,
    /// Questions for the version of a stream.
    pub queries: Counter,
    /// Streams whose version this node knows.
    pub known: Gauge,
    /// Streams that were not kept for lack of room.
    pub dropped: Counter,
}

impl StreamMetrics {
    /// Counts a stream that was taken up.
    pub fn count_placement(&self, placement: &Placement) {
        let placement = placement_name(placement);
        let label = PlacementLabel { placement };
        self.placements.get_or_create(&label).inc();
    }

    /// Counts a stream that waited for the registration of a source.
    pub fn count_held(&self, is_registered: bool) {
        let outcome = match is_registered {
            true => "registered",
            false => "rejected",
        };
        self.held.get_or_create(&HeldLabel { outcome }).inc();
    }

    /// Records that `known` streams are kept, and that `dropped` were not.
    pub fn note_kept(&self, known: usize, dropped: usize) {
        self.known.set(known as i64);
        self.dropped.inc_by(dropped as u64);
    }

    /// Adds the metrics to a page.
    pub(crate) fn register(&self, registry: &mut Registry) {
        let help = "Streams that were taken up, by how their software version was found";
        registry.register("resumed_streams", help, self.placements.clone());
        let help = "Streams that waited for the registration of a source, by outcome";
        registry.register("held_streams", help, self.held.clone());
        let help = "Messages that announced the software version of a stream";
        registry.register("announced_streams", help, self.announced.clone());
        let help = "Questions for the software version of a stream";
        registry.register("stream_queries", help, self.queries.clone());
        let help = "Streams whose software version is known";
        registry.register("known_streams", help, self.known.clone());
        let help = "Streams that were not kept for lack of room";
        registry.register("dropped_streams", help, self.dropped.clone());
    }
}

/// Label of a placement for logs and metrics.
pub(crate) fn placement_name(placement: &Placement) -> &'static str {
    match placement {
        Placement::Began(_) => "began",
        Placement::Only(_) => "only",
        Placement::Unknown {
            may_become_known: true,
        } => "unanswered",
        Placement::Unknown {
            may_become_known: false,
        } => "unknown",
    }
}
