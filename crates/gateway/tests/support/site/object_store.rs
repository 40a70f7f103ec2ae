//! Calls of the simulated object store and their answers.

use super::super::store::STORE_ERA;
use super::StandInSite;
use ploverlift_gateway::ports::{
    ObjectStore, StoreCall, StoreError, StoreObject, StoreReply, WatchEvent,
};
use ploverlift_http1::{RequestHead, ResponseHead, Target};
use ploverlift_policy::ids::StoreEra;
use serde_json::{json, Value};

impl ObjectStore for StandInSite {
    fn store_message(&self, call: &StoreCall) -> Result<(RequestHead, Vec<u8>), StoreError> {
        let body = match call {
            StoreCall::List { kind, .. } => json!({"do": "list", "kind": format!("{kind:?}")}),
            StoreCall::Get { kind, name } => {
                json!({"do": "get", "kind": format!("{kind:?}"), "name": name})
            }
            StoreCall::Watch {
                kind,
                revision,
                wait_ms,
            } => json!({"do": "watch", "kind": format!("{kind:?}"),
                        "revision": revision, "wait_ms": wait_ms}),
            StoreCall::Create {
                kind,
                name,
                content,
            } => json!({"do": "put", "kind": format!("{kind:?}"), "name": name,
                        "revision": 0, "content": content}),
            StoreCall::Replace {
                kind,
                name,
                revision,
                content,
            } => json!({"do": "put", "kind": format!("{kind:?}"), "name": name,
                        "revision": revision, "content": content}),
            StoreCall::Delete {
                kind,
                name,
                revision,
            } => json!({"do": "delete", "kind": format!("{kind:?}"), "name": name,
                        "revision": revision}),
            StoreCall::ReplaceStatus {
                kind,
                name,
                revision,
                status,
            } => json!({"do": "put_status", "kind": format!("{kind:?}"), "name": name,
                        "revision": revision, "status": status}),
        };
        let head = RequestHead::new("POST", Target::literal("/store"));
        Ok((head, body.to_string().into_bytes()))
    }

    fn read_store_answer(
        &self,
        call: &StoreCall,
        head: &ResponseHead,
        body: &[u8],
    ) -> Result<StoreReply, StoreError> {
        let value: Value = serde_json::from_slice(body).unwrap_or_default();
        match head.status.get() {
            200 => Ok(reply(call, &value)),
            404 => Err(StoreError::NotFound),
            409 => Err(StoreError::Conflict {
                current: Some(Box::new(object(&value))),
            }),
            410 => Err(StoreError::HistoryGone),
            429 => Err(StoreError::Throttled),
            status => Err(StoreError::Refused { status }),
        }
    }

    fn store_era(&self, head: &ResponseHead) -> Option<StoreEra> {
        let text = head.headers.get(STORE_ERA)?;
        text.parse().ok().map(StoreEra)
    }
}

fn reply(call: &StoreCall, value: &Value) -> StoreReply {
    let list = |key: &str| value[key].as_array().cloned().unwrap_or_default();
    let revision = value["revision"].as_u64().unwrap_or(0);
    match call {
        StoreCall::List { .. } => StoreReply::Page {
            objects: list("objects").iter().map(object).collect(),
            rejected: Vec::new(),
            end: None,
            has_more: false,
            revision,
        },
        StoreCall::Watch { .. } => {
            let events = list("events")
                .iter()
                .map(|event| WatchEvent {
                    object: object(event),
                    is_gone: event["gone"].as_bool().unwrap_or(false),
                })
                .collect();
            StoreReply::Changes {
                events,
                rejected: Vec::new(),
                revision,
            }
        }
        StoreCall::Delete { .. } => StoreReply::Deleted,
        _ => StoreReply::Object(object(value)),
    }
}

fn object(value: &Value) -> StoreObject {
    StoreObject {
        name: value["name"].as_str().unwrap_or_default().to_owned(),
        revision: value["revision"].as_u64().unwrap_or(0),
        is_deleting: false,
        content: value["content"].clone(),
        status: value
            .get("status")
            .filter(|status| !status.is_null())
            .cloned(),
    }
}
