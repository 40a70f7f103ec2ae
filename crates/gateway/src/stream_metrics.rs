//! Metrics of streams that go on after a break.

use ploverlift_streamorigin::placement::Placement;
use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::{exponential_buckets, Histogram};
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
#[derive(Debug)]
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
    /// Streams that were taken up and whose source was found in the store alone.
    pub placed_by_journal: Counter,
    /// Writes of this node's journal.
    pub journal_writes: Counter,
    /// Streams in the journal that was written last.
    pub journal_streams: Gauge,
    /// Size of these streams, in bytes.
    pub journal_bytes: Gauge,
    /// Streams that a journal did not keep, or a read of the journals, for lack of room.
    pub journal_dropped: Counter,
    /// Time from a stream's first event until its source was stored, in seconds.
    pub journal_delay_seconds: Histogram,
    /// Reads of the journals of all nodes.
    pub journal_reads: Counter,
    /// Streams whose sources were read from the store.
    pub journalled_streams: Gauge,
}

impl Default for StreamMetrics {
    fn default() -> Self {
        let buckets = exponential_buckets(0.005, 2.0, 10);
        Self {
            placements: Family::default(),
            announced: Counter::default(),
            queries: Counter::default(),
            known: Gauge::default(),
            dropped: Counter::default(),
            held: Family::default(),
            placed_by_journal: Counter::default(),
            journal_writes: Counter::default(),
            journal_streams: Gauge::default(),
            journal_bytes: Gauge::default(),
            journal_dropped: Counter::default(),
            journal_delay_seconds: Histogram::new(buckets),
            journal_reads: Counter::default(),
            journalled_streams: Gauge::default(),
        }
    }
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

    /// Records a write of the journal; `delays_ms` are those of the streams that were new in it.
    pub fn note_journal_written(&self, streams: usize, bytes: usize, delays_ms: &[u64]) {
        self.journal_writes.inc();
        self.journal_streams.set(streams as i64);
        self.journal_bytes.set(bytes as i64);
        for delay_ms in delays_ms {
            let seconds = *delay_ms as f64 / 1_000.0;
            self.journal_delay_seconds.observe(seconds);
        }
    }

    /// Records a read of the journals, after which `known` streams are known from them; there was
    /// no room for `dropped` more.
    pub fn note_journals_read(&self, known: usize, dropped: usize) {
        self.journal_reads.inc();
        self.journalled_streams.set(known as i64);
        self.journal_dropped.inc_by(dropped as u64);
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
        self.register_journal(registry);
    }

    fn register_journal(&self, registry: &mut Registry) {
        let help = "Streams that were taken up and whose source was found in the store alone";
        let placed = self.placed_by_journal.clone();
        registry.register("streams_placed_by_journal", help, placed);
        let help = "Writes of the journal of running streams";
        registry.register("stream_journal_writes", help, self.journal_writes.clone());
        let help = "Streams in the journal that was written last";
        registry.register("stream_journal_streams", help, self.journal_streams.clone());
        let help = "Size of the streams in the journal that was written last";
        registry.register("stream_journal_bytes", help, self.journal_bytes.clone());
        let help = "Streams that were left out of a journal or of a read for lack of room";
        registry.register("stream_journal_dropped", help, self.journal_dropped.clone());
        let help = "Time from a stream's first event until its source was stored";
        let delay = self.journal_delay_seconds.clone();
        registry.register("stream_journal_delay_seconds", help, delay);
        let help = "Reads of the journals of all nodes";
        registry.register("stream_journal_reads", help, self.journal_reads.clone());
        let help = "Streams whose sources were read from the store";
        registry.register("journalled_streams", help, self.journalled_streams.clone());
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
