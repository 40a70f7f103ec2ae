//! What an engine says of itself in the head of an answer, whatever it answers.

/// One thing that a head may say.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub enum Signal<T> {
    /// Nothing.
    #[default]
    Absent,
    /// This.
    Value(T),
    /// Something that is no value.
    Invalid {
        /// As it stands there, shortened.
        text: String,
    },
}

/// The engine is about to end and wants no new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Leaving;

/// What an engine says of itself in the head of an answer.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct EngineSignals {
    /// Requests a second that it takes from all nodes together.
    pub limit: Signal<f64>,
    /// Whether it leaves.
    pub leaving: Signal<Leaving>,
    /// Time for which this node is to back off, in milliseconds. Only engines that
    /// turn a request away say so.
    pub backoff_ms: Signal<u64>,
    /// The version of its weights.
    pub weights: Option<u64>,
    /// Headers of the engines' own family that this release does not read.
    pub unread: Vec<String>,
}
