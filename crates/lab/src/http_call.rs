//! HTTP calls of the lab's tools and tests.

use futures_lite::AsyncReadExt;
use std::io;
use trillium_client::{Client, Conn};
use trillium_http::transport::BoxedTransport;
use trillium_http::{ReceivedBody, Status};
use trillium_smol::ClientConfig;

/// A response with its complete body.
#[derive(Clone, Debug)]
pub struct WholeAnswer {
    /// HTTP status code.
    pub status: u16,
    /// Body as text.
    pub text: String,
    /// The `retry-after` header.
    pub retry_after: Option<String>,
}

/// A client without connection reuse.
pub fn client() -> Client {
    Client::new(ClientConfig::new().with_nodelay(true))
}

/// Sends a request and reads the complete response.
///
/// # Errors
/// When the connection fails or breaks before the end.
pub async fn call(conn: Conn) -> io::Result<WholeAnswer> {
    let conn = conn.await.map_err(io::Error::other)?;
    let status = conn.status().unwrap_or(Status::BadGateway) as u16;
    let retry_after = conn
        .response_headers()
        .get_str("retry-after")
        .map(str::to_owned);
    let body: ReceivedBody<'static, BoxedTransport> = conn.into();
    let mut text = String::new();
    let mut body = body.with_max_len(u64::MAX);
    body.read_to_string(&mut text).await?;
    Ok(WholeAnswer {
        status,
        text,
        retry_after,
    })
}
