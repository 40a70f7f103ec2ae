//! Names and values of headers: texts that can be written in a head and are read back the same.

use crate::error::{malformed, HttpError};
use std::borrow::Cow;
use std::fmt;
use std::net::SocketAddr;

/// Name of a header: a token (RFC 9110, section 5.6.2).
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HeaderName(Cow<'static, str>);

/// Value of a header: text without control characters but tabs, and without blanks around it
/// (RFC 9110, section 5.5).
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HeaderValue(Cow<'static, str>);

impl HeaderName {
    /// A name that was received.
    ///
    /// # Errors
    /// [`HttpError::Malformed`] when the text is no token.
    pub fn new(text: impl Into<String>) -> Result<Self, HttpError> {
        Self::checked(Cow::Owned(text.into()))
    }

    fn checked(text: Cow<'static, str>) -> Result<Self, HttpError> {
        match !text.is_empty() && text.bytes().all(is_token_byte) {
            true => Ok(Self(text)),
            false => Err(malformed("the text is no name of a header")),
        }
    }

    /// The text.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl HeaderValue {
    /// A value that was received, stored or configured.
    ///
    /// # Errors
    /// [`HttpError::Malformed`] when the text would end the header or be read back as another one.
    pub fn new(text: impl Into<String>) -> Result<Self, HttpError> {
        Self::checked(Cow::Owned(text.into()))
    }

    /// A time in milliseconds as seconds with three decimal places.
    pub fn seconds(milliseconds: u64) -> Self {
        let seconds = milliseconds as f64 / 1_000.0;
        Self(Cow::Owned(format!("{seconds:.3}")))
    }

    fn checked(text: Cow<'static, str>) -> Result<Self, HttpError> {
        let is_blank = |byte: Option<u8>| matches!(byte, Some(b' ' | b'\t'));
        let mut bytes = text.bytes();
        let is_trimmed = !is_blank(bytes.next()) && !is_blank(bytes.next_back());
        match is_trimmed && text.bytes().all(is_value_byte) {
            true => Ok(Self(text)),
            false => Err(malformed("the text is no value of a header")),
        }
    }

    /// The text.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

fn is_token_byte(byte: u8) -> bool {
    byte.is_ascii_alphanumeric() || b"!#$%&'*+-.^_`|~".contains(&byte)
}

fn is_value_byte(byte: u8) -> bool {
    byte == b'\t' || (byte >= b' ' && byte != 0x7f)
}

impl From<&'static str> for HeaderName {
    /// A name that the program sets.
    ///
    /// # Panics
    /// When the text is no token.
    fn from(text: &'static str) -> Self {
        let checked = Self::checked(Cow::Borrowed(text));
        checked.unwrap_or_else(|error| panic!("{text:?}: {error}"))
    }
}

impl From<&'static str> for HeaderValue {
    /// A value that the program sets.
    ///
    /// # Panics
    /// When the text is no value of a header.
    fn from(text: &'static str) -> Self {
        let checked = Self::checked(Cow::Borrowed(text));
        checked.unwrap_or_else(|error| panic!("{text:?}: {error}"))
    }
}

impl From<u64> for HeaderValue {
    fn from(number: u64) -> Self {
        Self(Cow::Owned(number.to_string()))
    }
}

impl From<usize> for HeaderValue {
    fn from(number: usize) -> Self {
        Self(Cow::Owned(number.to_string()))
    }
}

impl From<SocketAddr> for HeaderValue {
    fn from(address: SocketAddr) -> Self {
        Self(Cow::Owned(address.to_string()))
    }
}

impl fmt::Display for HeaderName {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(&self.0)
    }
}

impl fmt::Display for HeaderValue {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(&self.0)
    }
}
