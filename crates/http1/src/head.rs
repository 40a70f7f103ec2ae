//! Heads of requests and responses, and their headers.

use crate::error::HttpError;
use crate::header::{HeaderName, HeaderValue};
use crate::status::StatusCode;
use crate::target::Target;
use std::fmt::Write;

/// Headers in the order in which they were received. Names are compared
/// case-insensitively.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Headers(Vec<(HeaderName, HeaderValue)>);

/// Headers that apply to one connection only (RFC 9110, section 7.6.1).
const CONNECTION_HEADERS: [&str; 8] = [
    "connection",
    "keep-alive",
    "proxy-connection",
    "proxy-authenticate",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

impl Headers {
    /// The first value of a header.
    pub fn get(&self, name: &str) -> Option<&str> {
        let mut headers = self.0.iter();
        let found = headers.find(|(known, _)| known.as_str().eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    /// All values of a header.
    pub fn get_all<'a>(&'a self, name: &'a str) -> impl Iterator<Item = &'a str> {
        let matching = self.0.iter();
        matching
            .filter(move |(known, _)| known.as_str().eq_ignore_ascii_case(name))
            .map(|(_, value)| value.as_str())
    }

    /// Adds a header.
    pub fn push(&mut self, name: impl Into<HeaderName>, value: impl Into<HeaderValue>) {
        self.0.push((name.into(), value.into()));
    }

    /// Adds a header whose value comes from elsewhere.
    ///
    /// # Errors
    /// [`HttpError::Malformed`] when the text is no value of a header; nothing is added then.
    pub fn try_push(
        &mut self,
        name: impl Into<HeaderName>,
        value: impl Into<String>,
    ) -> Result<(), HttpError> {
        self.push(name, HeaderValue::new(value)?);
        Ok(())
    }

    /// Removes all headers of this name, case-insensitively.
    pub fn remove(&mut self, name: &str) {
        self.0
            .retain(|(known, _)| !known.as_str().eq_ignore_ascii_case(name));
    }

    /// Sets a header, replacing all its previous values.
    pub fn set(&mut self, name: &'static str, value: impl Into<HeaderValue>) {
        self.remove(name);
        self.push(name, value);
    }

    /// Sets a header to a value that comes from elsewhere, replacing all its previous values.
    ///
    /// # Errors
    /// [`HttpError::Malformed`] when the text is no value of a header; nothing is changed then.
    pub fn try_set(
        &mut self,
        name: &'static str,
        value: impl Into<String>,
    ) -> Result<(), HttpError> {
        self.set(name, HeaderValue::new(value)?);
        Ok(())
    }

    /// All headers in order.
    pub fn iter(&self) -> impl Iterator<Item = (&str, &str)> {
        self.0
            .iter()
            .map(|(name, value)| (name.as_str(), value.as_str()))
    }

    /// Whether a comma-separated header contains this element.
    pub fn has_token(&self, name: &str, token: &str) -> bool {
        self.get_all(name)
            .flat_map(|value| value.split(','))
            .any(|element| element.trim().eq_ignore_ascii_case(token))
    }

    /// Removes the headers that apply to one connection only, and those that
    /// `Connection` lists.
    pub fn remove_connection_headers(&mut self) {
        let named: Vec<String> = self
            .get_all("connection")
            .flat_map(|value| value.split(','))
            .map(|name| name.trim().to_owned())
            .collect();
        self.0.retain(|(name, _)| {
            let name = name.as_str();
            let listed = named.iter().any(|listed| listed.eq_ignore_ascii_case(name));
            let fixed = CONNECTION_HEADERS.iter();
            !listed
                && !fixed
                    .into_iter()
                    .any(|known| known.eq_ignore_ascii_case(name))
        });
    }

    fn write_to(&self, text: &mut String) {
        for (name, value) in &self.0 {
            let _ = write!(text, "{name}: {value}\r\n");
        }
        text.push_str("\r\n");
    }
}

impl<const N: usize> From<[(&'static str, &'static str); N]> for Headers {
    /// Headers that the program sets.
    ///
    /// # Panics
    /// When a text is no name or no value of a header.
    fn from(pairs: [(&'static str, &'static str); N]) -> Self {
        let headers = pairs.map(|(name, value)| (name.into(), value.into()));
        Self(headers.into())
    }
}

impl From<Vec<(HeaderName, HeaderValue)>> for Headers {
    fn from(pairs: Vec<(HeaderName, HeaderValue)>) -> Self {
        Self(pairs)
    }
}

/// The head of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RequestHead {
    /// Method.
    pub method: String,
    /// Path and query.
    pub target: Target,
    /// Whether the request's version is HTTP/1.1.
    pub is_http_1_1: bool,
    /// Headers.
    pub headers: Headers,
}

impl RequestHead {
    /// A head without headers.
    pub fn new(method: impl Into<String>, target: Target) -> Self {
        Self {
            method: method.into(),
            target,
            is_http_1_1: true,
            headers: Headers::default(),
        }
    }

    /// The path without its query.
    pub fn path(&self) -> &str {
        self.target.path()
    }

    /// Whether the peer keeps the connection after this request.
    pub fn keeps_alive(&self) -> bool {
        if self.headers.has_token("connection", "close") {
            return false;
        }
        self.is_http_1_1 || self.headers.has_token("connection", "keep-alive")
    }

    /// The bytes on the wire.
    pub fn encode(&self) -> Vec<u8> {
        let mut text = format!("{} {} HTTP/1.1\r\n", self.method, self.target);
        self.headers.write_to(&mut text);
        text.into_bytes()
    }
}

/// The head of a response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ResponseHead {
    /// Status code.
    pub status: StatusCode,
    /// Headers.
    pub headers: Headers,
}

impl ResponseHead {
    /// A head without headers.
    ///
    /// # Panics
    /// When `status` is no status code.
    pub fn new(status: u16) -> Self {
        Self {
            status: StatusCode::literal(status),
            headers: Headers::default(),
        }
    }

    /// Whether the status is a success (2xx).
    pub fn is_success(&self) -> bool {
        (200..300).contains(&self.status.get())
    }

    /// The bytes on the wire.
    pub fn encode(&self) -> Vec<u8> {
        let reason = reason_phrase(self.status.get());
        let mut text = format!("HTTP/1.1 {} {reason}\r\n", self.status);
        self.headers.write_to(&mut text);
        text.into_bytes()
    }
}

/// The standard reason phrase of a status code (RFC 9110, section 15).
fn reason_phrase(status: u16) -> &'static str {
    match status {
        200 => "OK",
        400 => "Bad Request",
        401 => "Unauthorized",
        403 => "Forbidden",
        404 => "Not Found",
        408 => "Request Timeout",
        413 => "Content Too Large",
        429 => "Too Many Requests",
        431 => "Request Header Fields Too Large",
        500 => "Internal Server Error",
        502 => "Bad Gateway",
        503 => "Service Unavailable",
        504 => "Gateway Timeout",
        _ => "Status",
    }
}
