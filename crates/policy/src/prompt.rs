//! Renders the prompt of a request as the text that is split into blocks.

use serde_json::{Map, Value};

/// Separates the parts of a prompt, so that the same text split into different parts gives
/// different blocks.
const PART_SEPARATOR: u8 = 0x1f;

/// Renders the prompt of a chat or plain completion request: every message's
/// role and content, or the plain `prompt`, in order.
pub fn render_prompt(body: &Map<String, Value>) -> Vec<u8> {
    let mut text = Vec::new();
    if let Some(Value::Array(messages)) = body.get("messages") {
        for message in messages {
            push_part(&mut text, message.get("role"));
            push_part(&mut text, message.get("content"));
        }
    }
    push_part(&mut text, body.get("prompt"));
    text
}

fn push_part(text: &mut Vec<u8>, part: Option<&Value>) {
    match part {
        None | Some(Value::Null) => return,
        Some(Value::String(plain)) => text.extend_from_slice(plain.as_bytes()),
        Some(structured) => text.extend_from_slice(structured.to_string().as_bytes()),
    }
    text.push(PART_SEPARATOR);
}
