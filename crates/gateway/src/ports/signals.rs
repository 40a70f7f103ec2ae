//! Signals that an engine gives about itself in the head of any answer.

/// A signal in the head of an answer.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub enum Signal<T> {
    /// The head does not contain the signal.
    #[default]
    Absent,
    /// A valid value.
    Value(T),
    /// A header value that can't be parsed.
    Invalid {
        /// The header value, truncated.
        text: String,
    },
}

/// The engine is draining: it is about to stop and wants no new requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Leaving;

/// Signals of an engine in the head of an answer.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct EngineSignals {
    /// Rate limit of the engine over all nodes together, in requests per second.
    pub limit: Signal<f64>,
    /// Whether the engine is leaving.
    pub leaving: Signal<Leaving>,
    /// Backoff requested from this node, in milliseconds. Only engines that refuse a request
    /// send it.
    pub backoff_ms: Signal<u64>,
    /// Version of its weights.
    pub weights: Option<u64>,
    /// Names of headers with the engines' prefix that this release does not know.
    pub unread: Vec<String>,
}
