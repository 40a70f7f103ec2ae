//! Which engines may continue a stream, from what nodes know of it and from the register of
//! stream sources.

use crate::known_sources::Sources;
use crate::source::StreamSource;

/// What one node knows of a stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OriginAnswer {
    /// The source of the stream, if the node knows it.
    pub source: Option<StreamSource>,
}

/// The engines that may continue a stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Placement {
    /// Those of the source that began it, as some node knows.
    Began(StreamSource),
    /// Those of the only source that may have begun it, by the register.
    Only(StreamSource),
    /// It is not known which source began it.
    Unknown {
        /// Whether a node that may know, or the store, did not answer.
        may_become_known: bool,
    },
}

/// Places a stream that this node does not know, with the answers of other nodes; `asked` is
/// the number of nodes that were asked. `sources` are those of a read of the register that
/// began after the stream was taken up; `None` if there was no such read.
pub fn place(sources: Option<&Sources>, answers: &[OriginAnswer], asked: usize) -> Placement {
    if let Some(began) = named_source(answers) {
        return Placement::Began(began.clone());
    }
    match sources {
        Some(Sources::Only(only)) => Placement::Only(only.clone()),
        _ => Placement::Unknown {
            may_become_known: sources.is_none() || answers.len() < asked,
        },
    }
}

/// The source of the stream, if one of the answers tells it.
pub fn named_source(answers: &[OriginAnswer]) -> Option<&StreamSource> {
    let mut sources = answers.iter().filter_map(|answer| answer.source.as_ref());
    sources.find(|source| source.is_named())
}
