//! The head and body of a back end's HTTP/1.1 answer.

use ploverlift_http1::{read_response_head, BodyDecoder, BufferedStream, HttpError, ResponseHead};
use smol::net::TcpStream;
use std::io;

/// Largest head that is accepted, in bytes.
const MAX_HEAD_BYTES: usize = 64 * 1024;

/// The body of an answer. Dropping it closes the connection.
pub struct EngineBody {
    stream: BufferedStream,
    decoder: BodyDecoder,
    /// Decoded bytes, of which the first `start` were returned.
    decoded: Vec<u8>,
    start: usize,
}

/// Reads the head of an answer to a request with this method; interim answers (1xx) are passed
/// over.
///
/// # Errors
/// When the connection breaks or the head is malformed or too large.
pub async fn read_head(stream: TcpStream, method: &str) -> io::Result<(ResponseHead, EngineBody)> {
    let mut stream = BufferedStream::new(stream);
    let read = read_response_head(&mut stream, method, MAX_HEAD_BYTES).await;
    let (head, decoder) = read.map_err(to_io_error)?;
    let body = EngineBody {
        stream,
        decoder,
        decoded: Vec::new(),
        start: 0,
    };
    Ok((head, body))
}

fn to_io_error(error: HttpError) -> io::Error {
    let kind = match error {
        HttpError::Io { source } => return source,
        HttpError::Closed | HttpError::Truncated => io::ErrorKind::UnexpectedEof,
        HttpError::HeadTooLarge { .. } | HttpError::Malformed { .. } => io::ErrorKind::InvalidData,
    };
    io::Error::new(kind, error)
}

impl EngineBody {
    /// Reads some of the body; 0 at its proper end.
    ///
    /// # Errors
    /// When the connection breaks before the end.
    pub async fn read(&mut self, output: &mut [u8]) -> io::Result<usize> {
        if self.start == self.decoded.len() {
            self.decoded.clear();
            self.start = 0;
            let read = self.decoder.read(&mut self.stream, &mut self.decoded).await;
            if !read.map_err(to_io_error)? {
                return Ok(0);
            }
        }
        let pending = &self.decoded[self.start..];
        let count = pending.len().min(output.len());
        output[..count].copy_from_slice(&pending[..count]);
        self.start += count;
        Ok(count)
    }
}
