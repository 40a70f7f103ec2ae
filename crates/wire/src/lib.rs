//! The internal protocols between nodes: typed messages, their encoding and the
//! bounds on their sizes.
//!
//! [`messages`] are those of the cluster, [`peers`] the reports of gateways.
//!
//! Messages up to [`MAX_DATAGRAM_BYTES`] travel as one UDP datagram; larger
//! ones over a TCP connection, prefixed by their length. Both use the same
//! encoding, so a state machine need not know which way a message takes.

/// Types generated from `proto/cluster.proto` by `cargo run -p xtask`.
#[allow(missing_docs, clippy::all)]
pub mod generated {
    include!("generated/ploverlift.cluster.v1.rs");
}

pub use generated as messages;

/// Types generated from `proto/peers.proto` by `cargo run -p xtask`.
#[allow(missing_docs, clippy::all)]
pub mod peers {
    include!("generated/ploverlift.peers.v1.rs");
}

use generated::Envelope;
use prost::Message;
use snafu::{ensure, ResultExt, Snafu};

/// Largest message that is sent as one datagram, in bytes: it passes every
/// ordinary path without being cut into fragments.
pub const MAX_DATAGRAM_BYTES: usize = 1_200;
/// Largest message that is accepted at all, in bytes.
pub const MAX_MESSAGE_BYTES: usize = 16 * 1024 * 1024;
/// Length of the prefix of a message on a TCP connection, in bytes.
pub const LENGTH_PREFIX_BYTES: usize = 4;

/// Why bytes are not a message.
#[derive(Debug, Snafu)]
pub enum WireError {
    /// The message is over [`MAX_MESSAGE_BYTES`].
    #[snafu(display("a message of {length} bytes is over the limit of {MAX_MESSAGE_BYTES}"))]
    TooLarge {
        /// Its length.
        length: usize,
    },
    /// The bytes do not decode.
    #[snafu(display("not a message: {source}"))]
    Decode {
        /// What the decoder found.
        source: prost::DecodeError,
    },
}

/// Encodes a message.
pub fn encode(envelope: &Envelope) -> Vec<u8> {
    envelope.encode_to_vec()
}

/// Decodes a message.
///
/// # Errors
/// When it is too large or does not decode.
pub fn decode(bytes: &[u8]) -> Result<Envelope, WireError> {
    let length = bytes.len();
    ensure!(length <= MAX_MESSAGE_BYTES, TooLargeSnafu { length });
    Envelope::decode(bytes).context(DecodeSnafu)
}

/// Encodes a message between gateways, which goes as one datagram.
pub fn encode_peer_message(message: &peers::PeerMessage) -> Vec<u8> {
    message.encode_to_vec()
}

/// Decodes a message between gateways.
///
/// # Errors
/// When it does not decode.
pub fn decode_peer_message(datagram: &[u8]) -> Result<peers::PeerMessage, WireError> {
    peers::PeerMessage::decode(datagram).context(DecodeSnafu)
}

/// The length prefix of an encoded message of so many bytes on a TCP connection.
pub fn length_prefix(bytes: usize) -> [u8; LENGTH_PREFIX_BYTES] {
    u32::try_from(bytes).unwrap_or(u32::MAX).to_be_bytes()
}

/// Reads a length prefix.
///
/// # Errors
/// When the announced length is over the limit.
pub fn parse_length_prefix(prefix: [u8; LENGTH_PREFIX_BYTES]) -> Result<usize, WireError> {
    let length = u32::from_be_bytes(prefix) as usize;
    ensure!(length <= MAX_MESSAGE_BYTES, TooLargeSnafu { length });
    Ok(length)
}

/// Encodes the question for a snapshot, which goes over TCP.
pub fn encode_snapshot_request(message: &peers::SnapshotRequest) -> Vec<u8> {
    message.encode_to_vec()
}

/// Decodes the question for a snapshot.
///
/// # Errors
/// When it does not decode.
pub fn decode_snapshot_request(bytes: &[u8]) -> Result<peers::SnapshotRequest, WireError> {
    peers::SnapshotRequest::decode(bytes).context(DecodeSnafu)
}

/// Encodes a snapshot, which goes over TCP.
pub fn encode_snapshot(message: &peers::Snapshot) -> Vec<u8> {
    message.encode_to_vec()
}

/// Decodes a snapshot.
///
/// # Errors
/// When it does not decode.
pub fn decode_snapshot(bytes: &[u8]) -> Result<peers::Snapshot, WireError> {
    peers::Snapshot::decode(bytes).context(DecodeSnafu)
}

/// Encodes the request for a tunnel, which goes over TCP.
pub fn encode_tunnel_request(message: &peers::TunnelRequest) -> Vec<u8> {
    message.encode_to_vec()
}

/// Decodes the request for a tunnel.
///
/// # Errors
/// When it does not decode.
pub fn decode_tunnel_request(bytes: &[u8]) -> Result<peers::TunnelRequest, WireError> {
    peers::TunnelRequest::decode(bytes).context(DecodeSnafu)
}

/// Encodes the answer to the request for a tunnel.
pub fn encode_tunnel_answer(message: &peers::TunnelAnswer) -> Vec<u8> {
    message.encode_to_vec()
}

/// Decodes the answer to the request for a tunnel.
///
/// # Errors
/// When it does not decode.
pub fn decode_tunnel_answer(bytes: &[u8]) -> Result<peers::TunnelAnswer, WireError> {
    peers::TunnelAnswer::decode(bytes).context(DecodeSnafu)
}
