//! Which software version may continue a stream, from what nodes know of it.

use crate::history::RecentVersions;
use ploverlift_routing::software::SoftwareVersion;

/// What one node knows of a stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OriginAnswer {
    /// The version that began the stream, if the node knows it.
    pub software: Option<SoftwareVersion>,
    /// The versions of the stream's service within its lifetime.
    pub versions: RecentVersions,
}

/// The version that may continue a stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Placement {
    /// The version that began it, as some node knows.
    Began(SoftwareVersion),
    /// The only version that has served within its lifetime.
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
    if let Some(began) = answers.iter().find_map(|answer| answer.software.clone()) {
        return Placement::Began(began);
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
