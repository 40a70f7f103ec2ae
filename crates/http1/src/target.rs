//! Targets of requests.

use crate::error::{malformed, HttpError};
use percent_encoding::{utf8_percent_encode, AsciiSet, NON_ALPHANUMERIC};
use std::fmt;

/// Characters that are escaped in a segment of a path and in a parameter of a query: all but the
/// unreserved ones (RFC 3986, section 2.3).
const ESCAPED: &AsciiSet = &NON_ALPHANUMERIC
    .remove(b'-')
    .remove(b'.')
    .remove(b'_')
    .remove(b'~');

/// Segments that name the directory itself and the one above it, whether escaped or not
/// (RFC 3986, section 6.2.2.3).
const DOT_SEGMENTS: [&str; 2] = [".", ".."];

/// The target of a request: path and query as they stand on the request line. It has no blank and
/// no control character, so it never ends the line or becomes a part of another one.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Target(String);

impl Target {
    /// A target that was received or configured.
    ///
    /// # Errors
    /// [`HttpError::Malformed`] when the text can't stand on a request line.
    pub fn new(text: impl Into<String>) -> Result<Self, HttpError> {
        let text = text.into();
        let is_written = |byte: u8| byte > b' ' && byte != 0x7f;
        match !text.is_empty() && text.bytes().all(is_written) {
            true => Ok(Self(text)),
            false => Err(malformed("the text is no target of a request")),
        }
    }

    /// A target that the program sets.
    ///
    /// # Panics
    /// When `text` can't stand on a request line.
    pub fn literal(text: &'static str) -> Self {
        match Self::new(text) {
            Ok(target) => target,
            Err(error) => panic!("{text:?}: {error}"),
        }
    }

    /// Appends a segment to the path of a target without a query. Whatever its text is, it stays
    /// one segment.
    ///
    /// # Errors
    /// [`HttpError::Malformed`] when the segment is empty or a dot segment: with it the target
    /// names what contains the one that is meant.
    pub fn segment(mut self, text: &str) -> Result<Self, HttpError> {
        if text.is_empty() || DOT_SEGMENTS.contains(&text) {
            return Err(malformed(format!("'{text}' is no segment of a path")));
        }
        debug_assert!(!self.0.contains('?'), "a segment after a query");
        self.0.push('/');
        self.0.extend(utf8_percent_encode(text, ESCAPED));
        Ok(self)
    }

    /// Appends a parameter to the query. Whatever its value is, it stays one value.
    #[must_use]
    pub fn parameter(mut self, name: &'static str, value: impl fmt::Display) -> Self {
        self.0.push(if self.0.contains('?') { '&' } else { '?' });
        self.0.push_str(name);
        self.0.push('=');
        let value = value.to_string();
        self.0.extend(utf8_percent_encode(&value, ESCAPED));
        self
    }

    /// The text as it stands on the request line.
    pub fn as_str(&self) -> &str {
        &self.0
    }

    /// The path without its query.
    pub fn path(&self) -> &str {
        self.0.split('?').next().unwrap_or_default()
    }
}

impl Default for Target {
    fn default() -> Self {
        Self::literal("/")
    }
}

impl fmt::Display for Target {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(&self.0)
    }
}

/// Decodes a segment of a path, as [`Target::segment`] writes it; `None` if it isn't text.
pub fn decode_segment(segment: &str) -> Option<String> {
    let decoded = percent_encoding::percent_decode_str(segment).decode_utf8();
    decoded.ok().map(std::borrow::Cow::into_owned)
}
