//! Identification of a request, independent of its sender, time and attempt.

use std::fmt;
use std::num::ParseIntError;
use std::str::FromStr;
use xxhash_rust::xxh3::Xxh3Default;

/// The parts of a request that are the same in each repetition.
#[derive(Clone, Copy, Debug)]
pub struct RequestParts<'a> {
    /// The tenant rather than its key, as keys are rotated. With the tenant included,
    /// nobody can cause the request of another tenant to be refused.
    pub tenant: Option<&'a str>,
    /// The requested host.
    pub host: &'a str,
    /// The method.
    pub method: &'a str,
    /// Path and query.
    pub target: &'a str,
    /// The body.
    pub body: &'a [u8],
}

/// The hash of a request's parts (XXH3, 64 bits). The probability that any two of a billion
/// requests collide is 3 in 100. The probability that any of a thousand quarantined
/// requests collides with one of a billion others is 5 in 100 million.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestFingerprint(pub u64);

impl RequestFingerprint {
    /// The fingerprint of a request.
    pub fn of(parts: &RequestParts<'_>) -> Self {
        let mut hasher = Xxh3Default::new();
        let texts = [parts.host, parts.method, parts.target];
        hasher.update(&[u8::from(parts.tenant.is_some())]);
        for text in parts.tenant.iter().chain(&texts) {
            // The length prefix makes the encoding of the parts unambiguous.
            hasher.update(&(text.len() as u64).to_le_bytes());
            hasher.update(text.as_bytes());
        }
        hasher.update(parts.body);
        Self(hasher.digest())
    }
}

/// The low 32 bits of a fingerprint, which tell a few requests apart.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestTag(pub u32);

impl From<RequestFingerprint> for RequestTag {
    fn from(request: RequestFingerprint) -> Self {
        Self(request.0 as u32)
    }
}

impl FromStr for RequestFingerprint {
    type Err = ParseIntError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        u64::from_str_radix(text, 16).map(Self)
    }
}

impl fmt::Display for RequestFingerprint {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:016x}", self.0)
    }
}
