//! What is sent to the back end.

use super::Relay;
use crate::engines::client::{EngineCall, EngineGeneration};
use ploverlift_cluster::router::ChosenEngine;
use ploverlift_policy::ids::Incarnation;
use serde_json::{Map, Value};
use std::sync::Arc;
use trillium::Method;

/// A request as it goes to the back end.
#[derive(Clone, Debug)]
pub enum Payload {
    /// A completion: JSON fields to which the router adds its own.
    Completion {
        /// Path of the engine's API.
        path: &'static str,
        /// The caller's fields.
        fields: Map<String, Value>,
    },
    /// A request to a plain service, handed on as it came.
    Plain {
        /// HTTP method.
        method: Method,
        /// Path and query below the service.
        path: String,
        /// Content type.
        content_type: String,
        /// Body.
        body: Arc<Vec<u8>>,
    },
}

impl Relay {
    /// The call for one attempt that begins at the stream position `from`.
    pub(super) fn call(&self, chosen: &ChosenEngine, from: u64) -> EngineCall {
        let (method, path, content_type, body) = match &self.request.payload {
            Payload::Completion { path, fields } => {
                let body = Arc::new(self.engine_body(fields));
                let content_type = "application/json".to_owned();
                (Method::Post, (*path).to_owned(), content_type, body)
            }
            Payload::Plain {
                method,
                path,
                content_type,
                body,
            } => (
                *method,
                path.clone(),
                content_type.clone(),
                Arc::clone(body),
            ),
        };
        let resume = self.request.headers.resume.as_ref();
        let own_id = &self.request.headers.id;
        let observed = chosen.incarnation != Incarnation(0);
        EngineCall {
            address: chosen.address,
            method,
            path,
            request_id: resume.map_or(own_id, |point| &point.request).clone(),
            content_type,
            body,
            resume_from: from,
            relies_on: observed.then_some(EngineGeneration {
                incarnation: chosen.incarnation,
                weights: chosen.weights,
            }),
        }
    }

    fn engine_body(&self, fields: &Map<String, Value>) -> Vec<u8> {
        let scope = self.request.routed.tenant.cache_scope();
        let mut fields = fields.clone();
        fields.insert("cache_salt".to_owned(), Value::from(scope.0));
        fields.insert("priority".to_owned(), Value::from(self.route.priority));
        if !self.delivered.is_empty() {
            let text = delivered_text(&self.delivered);
            fields.insert("partial_output".to_owned(), Value::from(text));
        }
        serde_json::to_vec(&fields).unwrap_or_default()
    }
}

/// The text of the pieces that the caller already has.
fn delivered_text(pieces: &[String]) -> String {
    let mut text = String::new();
    for piece in pieces {
        let Ok(value) = serde_json::from_str::<Value>(piece) else {
            continue;
        };
        let choice = &value["choices"][0];
        let content = choice["delta"]["content"].as_str();
        if let Some(content) = content.or(choice["text"].as_str()) {
            text.push_str(content);
        }
    }
    text
}
