//! The streams of a journal as text: 16 characters a stream, so that thousands of them fit into
//! one stored object.
//!
//! A stream is 12 bytes, in the order of the network: its key (8), the index of its source in a
//! table (1) and the time for which it may still be taken up in milliseconds (3). Three bytes are
//! four characters of the base64url alphabet (RFC 4648), without padding.

use crate::journal::JournalledStream;
use crate::source::StreamSource;
use crate::stream_key::StreamKey;
use ploverlift_policy::ids::Millis;
use std::collections::HashMap;
use std::sync::Arc;

/// Length of an encoded stream, in characters.
pub const STREAM_CHARS: usize = 16;
/// Length of a stream before it is encoded, in bytes.
const STREAM_BYTES: usize = 12;
/// Maximum number of sources of one object.
const MAX_SOURCES: usize = 256;
/// Maximum time left, in milliseconds.
const MAX_LEFT_MS: u64 = (1 << 24) - 1;
/// The base64url alphabet.
const ALPHABET: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-_";

/// Streams as they are stored.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct EncodedStreams {
    /// The sources to which the streams refer.
    pub sources: Vec<Arc<StreamSource>>,
    /// The streams.
    pub text: String,
    /// Number of streams that were left out because there are too many sources.
    pub left_out: usize,
}

/// A stream as it was stored.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoredStream {
    /// The stream.
    pub stream: StreamKey,
    /// Its source.
    pub source: Arc<StreamSource>,
    /// Time for which it could still be taken up when it was stored, in milliseconds.
    pub left_ms: u64,
}

/// Encodes streams.
pub fn encode(streams: &[JournalledStream], now: Millis) -> EncodedStreams {
    let mut encoded = EncodedStreams {
        text: String::with_capacity(streams.len() * STREAM_CHARS),
        ..EncodedStreams::default()
    };
    let mut indices: HashMap<Arc<StreamSource>, u8> = HashMap::new();
    for journalled in streams {
        let known = indices.get(&journalled.source).copied();
        let index = match known {
            Some(index) => index,
            None if encoded.sources.len() >= MAX_SOURCES => {
                encoded.left_out += 1;
                continue;
            }
            None => {
                let index = encoded.sources.len() as u8;
                indices.insert(Arc::clone(&journalled.source), index);
                encoded.sources.push(Arc::clone(&journalled.source));
                index
            }
        };
        let left_ms = journalled.expires_at.since(now).min(MAX_LEFT_MS);
        let mut bytes = [0; STREAM_BYTES];
        bytes[..8].copy_from_slice(&journalled.stream.0.to_be_bytes());
        bytes[8] = index;
        bytes[9..].copy_from_slice(&left_ms.to_be_bytes()[5..]);
        push_base64(&bytes, &mut encoded.text);
    }
    encoded
}

/// Decodes streams; those that are malformed or refer to no source are left out.
pub fn decode(sources: &[Arc<StreamSource>], text: &str) -> Vec<StoredStream> {
    let streams = text.as_bytes().chunks_exact(STREAM_CHARS);
    let decoded = streams.filter_map(|chars| {
        let bytes = read_base64(chars)?;
        let key = bytes.first_chunk::<8>()?;
        let source = sources.get(usize::from(bytes[8]))?;
        let left = [0, bytes[9], bytes[10], bytes[11]];
        Some(StoredStream {
            stream: StreamKey(u64::from_be_bytes(*key)),
            source: Arc::clone(source),
            left_ms: u64::from(u32::from_be_bytes(left)),
        })
    });
    decoded.collect()
}

fn push_base64(bytes: &[u8; STREAM_BYTES], text: &mut String) {
    for group in bytes.chunks_exact(3) {
        let bits = u32::from_be_bytes([0, group[0], group[1], group[2]]);
        for shift in [18, 12, 6, 0] {
            let digit = (bits >> shift) & 63;
            text.push(char::from(ALPHABET[digit as usize]));
        }
    }
}

fn read_base64(chars: &[u8]) -> Option<[u8; STREAM_BYTES]> {
    let mut bytes = [0; STREAM_BYTES];
    let groups = chars.chunks_exact(4).zip(bytes.chunks_exact_mut(3));
    for (chars, bytes) in groups {
        let mut bits = 0;
        for char in chars {
            bits = bits << 6 | digit(*char)?;
        }
        bytes.copy_from_slice(&bits.to_be_bytes()[1..]);
    }
    Some(bytes)
}

fn digit(char: u8) -> Option<u32> {
    let digit = match char {
        b'A'..=b'Z' => char - b'A',
        b'a'..=b'z' => char - b'a' + 26,
        b'0'..=b'9' => char - b'0' + 52,
        b'-' => 62,
        b'_' => 63,
        _ => return None,
    };
    Some(u32::from(digit))
}
