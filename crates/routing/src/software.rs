//! Versions of an engine's software, and which of them may serve a request.

use std::fmt;

/// A version of an engine's software. Versions have no order of their own.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct SoftwareVersion(pub String);

impl fmt::Display for SoftwareVersion {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(&self.0)
    }
}

/// Which versions may serve a request.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub enum SoftwareRule {
    /// Each version: no rollout concerns the service.
    #[default]
    Any,
    /// One version alone.
    Only(SoftwareVersion),
    /// Each version but one.
    Except(SoftwareVersion),
    /// Each version but some.
    ExceptAll(Vec<SoftwareVersion>),
}

impl SoftwareRule {
    /// The rule without some versions; nothing when it then allows none.
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
