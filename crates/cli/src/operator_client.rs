//! Calls to the operators' listener of a node.

use ploverlift_http1::Target;
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
    /// No call can mean what the command names; nothing was sent.
    #[snafu(display("'{text}' can't be addressed: {reason}"))]
    Unaddressable {
        /// The name in the command.
        text: String,
        /// What is wrong with it.
        reason: String,
    },
    /// The node's answer does not have the expected shape.
    #[snafu(display("the node's answer does not fit: {reason}"))]
    Shape {
        /// The parser's error.
        reason: String,
    },
}

/// The target of a call about something that has a name. Whatever the name is, it stays one
/// segment of the path.
///
/// # Errors
/// When no path can hold the name.
pub fn with_name(target: Target, name: &str) -> Result<Target, OperatorError> {
    let named = target.segment(name);
    named.map_err(|error| OperatorError::Unaddressable {
        text: name.to_owned(),
        reason: error.to_string(),
    })
}

/// Calls a node and returns the body of a successful answer.
pub fn request(
    address: SocketAddr,
    method: Method,
    target: &Target,
    body: Option<String>,
) -> Result<String, OperatorError> {
    let mut conn = client().build_conn(method, format!("http://{address}{target}"));
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
    target: &Target,
) -> Result<T, OperatorError> {
    let text = request(address, Method::Get, target, None)?;
    serde_json::from_str(&text).map_err(|error| OperatorError::Shape {
        reason: error.to_string(),
    })
}
