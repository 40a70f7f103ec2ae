//! What ends of engines are evidence against: a whole request, or one part of its prompt that
//! other requests share.

use crate::fingerprint::RequestFingerprint;
use std::fmt;
use std::num::ParseIntError;
use std::str::FromStr;
use xxhash_rust::xxh3::Xxh3Default;

/// Precedes the hash of a part in texts.
const PART_PREFIX: &str = "part-";

/// Identifies a part of a prompt.
#[derive(Clone, Copy, Debug)]
pub struct PartIdentity<'a> {
    /// The tenant. With the tenant included, nobody can cause a part of another tenant's
    /// prompts to be refused.
    pub tenant: Option<&'a str>,
    /// The service.
    pub service: &'a str,
    /// The model.
    pub model: &'a str,
    /// The part's id in the prompt.
    pub part: u64,
}

/// The hash of a part's identity (XXH3, 64 bits).
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct PartFingerprint(pub u64);

impl PartFingerprint {
    /// The fingerprint of a part.
    pub fn of(identity: &PartIdentity<'_>) -> Self {
        let mut hasher = Xxh3Default::new();
        hasher.update(PART_PREFIX.as_bytes());
        hasher.update(&[u8::from(identity.tenant.is_some())]);
        let texts = [identity.service, identity.model];
        for text in identity.tenant.iter().chain(&texts) {
            // The length prefix makes the encoding unambiguous.
            hasher.update(&(text.len() as u64).to_le_bytes());
            hasher.update(text.as_bytes());
        }
        hasher.update(&identity.part.to_le_bytes());
        Self(hasher.digest())
    }
}

/// A part of a request's prompt that other requests may share.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SharedPart {
    /// Its id in the prompt.
    pub id: u64,
    /// Its fingerprint.
    pub fingerprint: PartFingerprint,
}

/// What ends of engines are evidence against.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Subject {
    /// A whole request.
    Request(RequestFingerprint),
    /// A part of a prompt, in any request.
    Part(PartFingerprint),
}

impl Subject {
    /// The hash that identifies the subject among those of its kind.
    pub fn hash(&self) -> u64 {
        match self {
            Self::Request(request) => request.0,
            Self::Part(part) => part.0,
        }
    }

    /// Whether it is a part of a prompt.
    pub fn is_part(&self) -> bool {
        matches!(self, Self::Part(_))
    }
}

impl From<RequestFingerprint> for Subject {
    fn from(request: RequestFingerprint) -> Self {
        Self::Request(request)
    }
}

impl From<PartFingerprint> for Subject {
    fn from(part: PartFingerprint) -> Self {
        Self::Part(part)
    }
}

impl FromStr for Subject {
    type Err = ParseIntError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text.strip_prefix(PART_PREFIX) {
            Some(hash) => u64::from_str_radix(hash, 16).map(|hash| PartFingerprint(hash).into()),
            None => text.parse().map(Self::Request),
        }
    }
}

impl fmt::Display for Subject {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Request(request) => write!(formatter, "{request}"),
            Self::Part(part) => write!(formatter, "{PART_PREFIX}{:016x}", part.0),
        }
    }
}
