//! Frames of the bytes that come from the engine.
//!
//! A frame is a length of four bytes, most significant byte first, and as many bytes of
//! payload. Two lengths have a meaning of their own: the engine has closed its connection,
//! and the peer that carries the tunnel is shutting down.

use ploverlift_http1::PayloadDecoder;
use std::io;

/// Largest payload of one frame, in bytes.
pub const MAX_PAYLOAD_BYTES: usize = 16 * 1024;
/// Length of a frame's header, in bytes.
pub const HEADER_BYTES: usize = 4;
/// Header of the frame after which no payload follows: the engine closed its connection
/// regularly.
pub const END: [u8; HEADER_BYTES] = [0; HEADER_BYTES];
/// Header of the frame after which the connection takes no further request: the peer is
/// shutting down.
pub const CLOSING: [u8; HEADER_BYTES] = [0xff; HEADER_BYTES];

/// The header of a frame with `length` bytes of payload, from 1 to [`MAX_PAYLOAD_BYTES`].
pub fn header(length: usize) -> [u8; HEADER_BYTES] {
    debug_assert!((1..=MAX_PAYLOAD_BYTES).contains(&length));
    (length as u32).to_be_bytes()
}

/// Extracts the payload from frames.
#[derive(Debug, Default)]
pub struct FrameDecoder {
    /// Bytes of an incomplete header.
    header: Vec<u8>,
    /// Bytes of payload that are missing of the current frame.
    missing: usize,
    is_ended: bool,
    is_closing: bool,
}

impl FrameDecoder {
    fn read_header(&mut self) -> io::Result<()> {
        let header: [u8; HEADER_BYTES] = match self.header.as_slice().try_into() {
            Ok(header) => header,
            // Incomplete.
            Err(_) => return Ok(()),
        };
        self.header.clear();
        match header {
            END => self.is_ended = true,
            CLOSING if self.is_closing => return Err(invalid("a shutdown is announced twice")),
            CLOSING => self.is_closing = true,
            _ => {
                let length = u32::from_be_bytes(header) as usize;
                if length > MAX_PAYLOAD_BYTES {
                    return Err(invalid("a frame is too large"));
                }
                self.missing = length;
            }
        }
        Ok(())
    }
}

impl PayloadDecoder for FrameDecoder {
    fn decode(&mut self, mut raw: &[u8], payload: &mut Vec<u8>) -> io::Result<()> {
        while !raw.is_empty() {
            if self.is_ended {
                return Err(invalid("bytes follow the last frame"));
            }
            if self.missing == 0 {
                let count = (HEADER_BYTES - self.header.len()).min(raw.len());
                self.header.extend_from_slice(&raw[..count]);
                raw = &raw[count..];
                self.read_header()?;
                continue;
            }
            let count = self.missing.min(raw.len());
            payload.extend_from_slice(&raw[..count]);
            self.missing -= count;
            raw = &raw[count..];
        }
        Ok(())
    }

    fn is_ended(&self) -> bool {
        self.is_ended
    }

    fn may_be_reused(&self) -> bool {
        !self.is_ended && !self.is_closing
    }
}

fn invalid(reason: &'static str) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, reason)
}
