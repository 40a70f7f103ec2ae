//! Messages with a length prefix on TCP connections between nodes.

use futures_lite::{AsyncReadExt, AsyncWriteExt};
use ploverlift_wire::{length_prefix, parse_length_prefix, WireError, LENGTH_PREFIX_BYTES};
use smol::net::TcpStream;
use snafu::{ensure, ResultExt, Snafu};

/// Why a message could not be transferred.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub(crate) enum StreamError {
    #[snafu(display("connection to the other node failed: {source}"))]
    Connection { source: std::io::Error },
    #[snafu(display("length of a message is invalid: {source}"))]
    Length { source: WireError },
    #[snafu(display("a message of {length} bytes is over the limit of {max_bytes}"))]
    TooLarge { length: usize, max_bytes: usize },
}

/// Writes a message with its length prefix.
pub(crate) async fn write_message(
    stream: &mut TcpStream,
    message: &[u8],
) -> Result<(), StreamError> {
    let prefix = length_prefix(message.len());
    let prefixed = [prefix.as_slice(), message].concat();
    stream.write_all(&prefixed).await.context(ConnectionSnafu)
}

/// Reads the length prefix of a message.
pub(crate) async fn read_length(stream: &mut TcpStream) -> Result<usize, StreamError> {
    let mut prefix = [0; LENGTH_PREFIX_BYTES];
    let read = stream.read_exact(&mut prefix).await;
    read.context(ConnectionSnafu)?;
    parse_length_prefix(prefix).context(LengthSnafu)
}

/// Reads a message of at most `max_bytes` bytes.
pub(crate) async fn read_message(
    stream: &mut TcpStream,
    max_bytes: usize,
) -> Result<Vec<u8>, StreamError> {
    let length = read_length(stream).await?;
    ensure!(length <= max_bytes, TooLargeSnafu { length, max_bytes });
    let mut message = vec![0; length];
    let read = stream.read_exact(&mut message).await;
    read.context(ConnectionSnafu)?;
    Ok(message)
}
