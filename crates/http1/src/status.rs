//! Status codes.

use std::fmt;

/// A status code: three digits, of which the first is 1 to 5 (RFC 9110, section 15).
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct StatusCode(u16);

impl StatusCode {
    /// A status code that was received; `None` for a number that is none.
    pub const fn new(code: u16) -> Option<Self> {
        match code {
            100..=599 => Some(Self(code)),
            _ => None,
        }
    }

    /// A status code that the program sets.
    ///
    /// # Panics
    /// When `code` is no status code.
    pub const fn literal(code: u16) -> Self {
        match Self::new(code) {
            Some(status) => status,
            None => panic!("a status code has three digits, of which the first is 1 to 5"),
        }
    }

    /// The number.
    pub const fn get(self) -> u16 {
        self.0
    }
}

impl fmt::Display for StatusCode {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(formatter)
    }
}

impl PartialEq<u16> for StatusCode {
    fn eq(&self, other: &u16) -> bool {
        self.0 == *other
    }
}
