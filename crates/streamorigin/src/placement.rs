//! Which engines may continue a stream, from what nodes know of it.

use crate::history::RecentVersions;
use crate::source::StreamSource;
use ploverlift_routing::software::SoftwareVersion;

/// What one node knows of a stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OriginAnswer {
    /// The source of the stream, if the node knows it.
    pub source: Option<StreamSource>,
    /// The versions of the stream's service within its lifetime.
    pub versions: RecentVersions,
}

/// The engines that may continue a stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Placement {
    /// Those of the source that began it, as some node knows.
    Began(StreamSource),
    /// Those of the only version that has served within its lifetime.
    Only(SoftwareVersion),
    /// It is not known which version began it.
    Unknown {
        /// Whether some node that may know did not answer.
        may_become_known: bool,
    },
}

/// Places a stream that this node does not know, with the answers of other nodes; `asked` is
/// the number of nodes that were asked.
pub fn place(own: &RecentVersions, answers: &[OriginAnswer], asked: usize) -> Placement {
    let mut sources = answers.iter().filter_map(|answer| answer.source.as_ref());
    if let Some(began) = sources.find(|source| source.is_named()) {
        return Placement::Began(began.clone());
    }
    let unknown = Placement::Unknown {
        may_become_known: answers.len() < asked,
    };
    let others = answers.iter().map(|answer| &answer.versions);
    let mut only = None;
    for versions in std::iter::once(own).chain(others) {
        match (versions, &only) {
            (RecentVersions::Unproven, _) => {}
            (RecentVersions::Several, _) => return unknown,
            (RecentVersions::Sole(version), Some(known)) if version != known => return unknown,
            (RecentVersions::Sole(version), _) => only = Some(version.clone()),
        }
    }
    only.map_or(unknown, Placement::Only)
}
