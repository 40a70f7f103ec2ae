//! Calls to the operators' listener of a node.

use ploverlift_lab::http_call::{call, client, WholeAnswer};
use snafu::Snafu;
use std::net::SocketAddr;
use trillium::Method;

/// Why a call to a node failed.
#[derive(Debug, Snafu)]
pub enum OperatorError {
    /// The node did not answer.
    #[snafu(display("node at {address} did not answer: {reason}"))]
    NoAnswer {
        /// Operators' address of the node.
        address: SocketAddr,
        /// The error of the call.
        reason: String,
    },
    /// The node refused the call.
    #[snafu(display("refused with status {status}: {message}"))]
    Refused {
        /// HTTP status.
        status: u16,
        /// The body of the node's answer.
        message: String,
    },
    /// The node's answer does not have the expected shape.
    #[snafu(display("the node's answer does not fit: {reason}"))]
    Shape {
        /// The parser's error.
        reason: String,
    },
}

/// Calls a node and returns the body of a successful answer.
pub fn request(
    address: SocketAddr,
    method: Method,
    path: &str,
    body: Option<String>,
) -> Result<String, OperatorError> {
    let mut conn = client().build_conn(method, format!("http://{address}{path}"));
    if let Some(body) = body {
        conn = conn.with_body(body);
    }
    let answer = smol::block_on(call(conn)).map_err(|error| OperatorError::NoAnswer {
        address,
        reason: error.to_string(),
    })?;
    successful(answer)
}

fn successful(answer: WholeAnswer) -> Result<String, OperatorError> {
    if (200..300).contains(&answer.status) {
        return Ok(answer.text);
    }
    let parsed: Option<serde_json::Value> = serde_json::from_str(&answer.text).ok();
    let message = parsed.and_then(|value| Some(value["error"]["message"].as_str()?.to_owned()));
    Err(OperatorError::Refused {
        status: answer.status,
        message: message.unwrap_or(answer.text),
    })
}

/// Calls a node and reads the answer's JSON.
pub fn request_json<T: serde::de::DeserializeOwned>(
    address: SocketAddr,
    path: &str,
) -> Result<T, OperatorError> {
    let text = request(address, Method::Get, path, None)?;
    serde_json::from_str(&text).map_err(|error| OperatorError::Shape {
        reason: error.to_string(),
    })
}
