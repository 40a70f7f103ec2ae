//! Versions of an engine's software, and rules for which of them may serve a request.

use std::fmt;

/// A version of an engine's software. The derived order has no meaning: it does not tell
/// which version is newer.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct SoftwareVersion(pub String);

impl fmt::Display for SoftwareVersion {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(&self.0)
    }
}

/// The software versions that may serve a request.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub enum SoftwareRule {
    /// Every version, as no rollout affects the service.
    #[default]
    Any,
    /// Only this version.
    Only(SoftwareVersion),
    /// Every version except this one.
    Except(SoftwareVersion),
    /// Every version except these.
    ExceptAll(Vec<SoftwareVersion>),
}

impl SoftwareRule {
    /// Excludes further versions from the rule; `None` when no version is left.
    pub fn excluding(self, excluded: &[SoftwareVersion]) -> Option<Self> {
        if excluded.is_empty() {
            return Some(self);
        }
        match self {
            Self::Only(only) if excluded.contains(&only) => None,
            Self::Only(only) => Some(Self::Only(only)),
            Self::Any => Some(Self::ExceptAll(excluded.to_vec())),
            Self::Except(except) => {
                let all = excluded.iter().cloned().chain([except]);
                Some(Self::ExceptAll(all.collect()))
            }
            Self::ExceptAll(known) => {
                let all = excluded.iter().cloned().chain(known);
                Some(Self::ExceptAll(all.collect()))
            }
        }
    }

    /// Whether engines of a version may serve the request.
    pub fn allows(&self, version: &SoftwareVersion) -> bool {
        match self {
            Self::Any => true,
            Self::Only(only) => version == only,
            Self::Except(except) => version != except,
            Self::ExceptAll(except) => !except.contains(version),
        }
    }
}
