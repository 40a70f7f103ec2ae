//! HTTP/1.1 messages on a TCP stream, for a proxy that must control every byte.
//!
//! `httparse` parses the heads; framing of bodies is implemented here. `trillium`
//! is not used on this path: its server delays the first part of a streamed body
//! until a buffer is full, and it cannot abort a response in a way that the
//! caller recognises as truncated (docs/design/platform.md, "HTTP").
//!
//! ```text
//! BufferedStream ── read_request_head ──▶ RequestHead + BodyDecoder
//!                ── read_response_head ─▶ ResponseHead + BodyDecoder
//! ```

pub mod body;
pub mod connection;
pub mod error;
pub mod head;
pub mod header;
pub mod limits;
pub mod message;
pub mod status;
pub mod stream;
pub mod target;
pub mod turns;

pub use body::{BodyDecoder, Framing};
pub use connection::TcpConnection;
pub use error::HttpError;
pub use head::{Headers, RequestHead, ResponseHead};
pub use header::{HeaderName, HeaderValue};
pub use message::{read_request_head, read_response_head};
pub use status::StatusCode;
pub use stream::{BufferedStream, PayloadDecoder};
pub use target::Target;
pub use turns::ReadingTurns;
