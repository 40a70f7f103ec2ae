//! The answer of a request that ran at most once, in the form in which its
//! claim's replicas keep it: a line of JSON and then the body.

use serde::{Deserialize, Serialize};

/// A whole answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RecordedAnswer {
    /// HTTP status.
    pub status: u16,
    /// Content type.
    pub content_type: String,
    /// Body.
    pub body: Vec<u8>,
}

#[derive(Serialize, Deserialize)]
struct Head {
    status: u16,
    content_type: String,
}

impl RecordedAnswer {
    /// The form that is kept.
    pub fn to_bytes(&self) -> Vec<u8> {
        let head = Head {
            status: self.status,
            content_type: self.content_type.clone(),
        };
        let mut bytes = serde_json::to_vec(&head).unwrap_or_default();
        bytes.push(b'\n');
        bytes.extend_from_slice(&self.body);
        bytes
    }

    /// Reads the form that is kept.
    pub fn from_bytes(bytes: &[u8]) -> Option<Self> {
        let end = bytes.iter().position(|byte| *byte == b'\n')?;
        let head: Head = serde_json::from_slice(&bytes[..end]).ok()?;
        Some(Self {
            status: head.status,
            content_type: head.content_type,
            body: bytes[end + 1..].to_vec(),
        })
    }
}
