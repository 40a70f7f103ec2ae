//! The stand-in's protocols: the ports, with names of their own.

use ploverlift_balancing::cache_contents::{CacheEvent, CacheEvents};
use ploverlift_balancing::catalogue::{EngineRecord, InstanceId};
use ploverlift_gateway::ports::{
    AnswerMeaning, CacheAnswer, CacheProtocol, CallerProtocol, CallerRequest, EngineCall,
    EngineControl, EngineProtocol, EngineReport, InvalidDocument, InvalidRequest, LoadOrder,
    NamedVersion, ObjectStore, OrderAnswer, Refusal, RefusedByEngine, StoreCall, StoreError,
    StoreObject, StoreReply, StoredDocuments, WatchEvent,
};
use ploverlift_http1::{RequestHead, ResponseHead};
use ploverlift_policy::ids::{TenantName, ZoneName};
use ploverlift_rollout::order::{RolloutOrder, RolloutState, RolloutStatus};
use ploverlift_routing::configuration::{
    CacheStore, CallerLimits, Configuration, Delivery, Route, Service, ServiceName, Tenant,
    WeightedTarget,
};
use ploverlift_routing::prompt::{Prompt, PromptPart};
use ploverlift_routing::rate_limit::{LimitUnit, RateLimit};
use ploverlift_routing::software::SoftwareVersion;
use serde_json::{json, Value};

pub const ID: &str = "t-id";
pub const KEY: &str = "t-key";
pub const DEADLINE: &str = "t-deadline";
pub const PARTS: &str = "t-parts";
pub const TOKENS: &str = "t-tokens";
pub const AFTER: &str = "t-after";
pub const TENANT: &str = "t-tenant";
pub const INSTANCE: &str = "t-instance";
pub const WEIGHTS: &str = "t-weights";
pub const SALT: &str = "t-salt";
pub const FETCH: &str = "t-fetch";
pub const SAVE: &str = "t-save";
pub const NOT_RUN: &str = "t-not-run";
pub const SIGNED: &str = "t-signed";

/// The stand-in's protocols.
pub struct StandInSite;

impl CallerProtocol for StandInSite {
    fn read_request(&self, head: RequestHead) -> Result<CallerRequest, InvalidRequest> {
        let headers = &head.headers;
        let Some(id) = headers.get(ID) else {
            return Err(InvalidRequest {
                header: ID.to_owned(),
                reason: "is missing".to_owned(),
            });
        };
        let parts = headers.get(PARTS).map(|text| {
            let parts = text.split(',').map(|part| PromptPart {
                id: part.parse().expect("a part"),
                tokens: 10,
            });
            Prompt {
                model: "m".to_owned(),
                parts: parts.collect(),
                max_output_tokens: 1,
            }
        });
        Ok(CallerRequest {
            id: id.to_owned(),
            host: headers.get("host").unwrap_or_default().to_owned(),
            key: headers.get(KEY).map(str::to_owned),
            deadline_ms: headers.get(DEADLINE).and_then(|text| text.parse().ok()),
            prompt: parts,
            declared_tokens: headers.get(TOKENS).and_then(|text| text.parse().ok()),
            resume_after: headers.get(AFTER).map(str::to_owned),
            method: head.method.clone(),
            target: head.target.clone(),
            forwarded: [(ID, id)].into(),
        })
    }

    fn refusal_head(&self, refusal: &Refusal, request_id: Option<&str>) -> ResponseHead {
        let mut head = ResponseHead::new(refusal.kind.status());
        if let Some(id) = request_id {
            head.headers.push(ID, id);
        }
        if let Some(retry_after_ms) = refusal.retry_after_ms {
            head.headers
                .push("retry-after-ms", retry_after_ms.to_string());
        }
        head
    }
}

impl EngineProtocol for StandInSite {
    fn engine_head(&self, call: &EngineCall<'_>) -> RequestHead {
        let mut head = RequestHead::new(&call.request.method, &call.request.target);
        head.headers = call.request.forwarded.clone();
        let headers = &mut head.headers;
        headers.push("content-length", call.body_length.to_string());
        headers.push(DEADLINE, call.deadline_ms.to_string());
        headers.push(INSTANCE, &call.instance.0);
        if let Some(tenant) = call.tenant {
            headers.push(TENANT, tenant);
        }
        if let Some(weights) = call.weights {
            headers.push(WEIGHTS, weights.to_string());
        }
        if let Some(cache) = &call.cache {
            headers.push(SALT, &cache.salt);
            if let Some(address) = cache.fetch_from {
                headers.push(FETCH, address.to_string());
            }
            if let Some(address) = cache.save_to {
                headers.push(SAVE, address.to_string());
            }
        }
        if let Some(after) = call.resume_after {
            headers.push(AFTER, after);
        }
        head
    }

    fn answer_meaning(&self, request_id: &str, head: &ResponseHead) -> AnswerMeaning {
        let headers = &head.headers;
        if headers.get(NOT_RUN).is_some() {
            return AnswerMeaning::Refused(RefusedByEngine {
                status: head.status,
                other_instance: headers.get(INSTANCE).map(|id| InstanceId(id.to_owned())),
                weights: headers.get(WEIGHTS).and_then(|text| text.parse().ok()),
                ..RefusedByEngine::default()
            });
        }
        if headers.get(ID) != Some(request_id) {
            return AnswerMeaning::Foreign {
                reason: "another request's",
            };
        }
        if !head.is_success() {
            return AnswerMeaning::Failure;
        }
        match headers.get(SIGNED) {
            Some(_) => AnswerMeaning::Success,
            None => AnswerMeaning::Foreign {
                reason: "not signed",
            },
        }
    }

    fn answer_weights(&self, head: &ResponseHead) -> Option<u64> {
        head.headers.get(WEIGHTS)?.parse().ok()
    }
}

impl EngineControl for StandInSite {
    fn report_head(&self) -> RequestHead {
        RequestHead::new("GET", "/control/report")
    }

    fn read_report(&self, head: &ResponseHead, body: &[u8]) -> Option<EngineReport> {
        let body: Value = serde_json::from_slice(body).ok()?;
        head.is_success().then(|| EngineReport {
            is_busy: body["busy"].as_bool().unwrap_or(false),
            orders_taken: body["orders"].as_u64().unwrap_or(0),
            weights: [("m".to_owned(), body["weights"].as_u64().unwrap_or(0))].into(),
        })
    }

    fn order_message(&self, order: &LoadOrder) -> (RequestHead, Vec<u8>) {
        let body = json!({"instance": order.instance.0, "version": order.version,
            "token": order.fencing_token, "expected": order.expected_orders,
            "holder": order.holder});
        let head = RequestHead::new("POST", "/control/order");
        (head, body.to_string().into_bytes())
    }

    fn read_order_answer(&self, head: &ResponseHead) -> OrderAnswer {
        match head.status {
            202 => OrderAnswer::Accepted,
            200 => OrderAnswer::AlreadyDone,
            409 => OrderAnswer::Conflict,
            412 => OrderAnswer::FenceTooLow,
            421 => OrderAnswer::OtherInstance,
            _ => OrderAnswer::Rejected,
        }
    }
}

impl CacheProtocol for StandInSite {
    fn cache_events_head(&self, since: u64, _wait_ms: u64) -> RequestHead {
        RequestHead::new("GET", format!("/cache/{since}"))
    }

    fn read_cache_answer(&self, head: &ResponseHead, body: &[u8]) -> CacheAnswer {
        match head.status {
            429 => CacheAnswer::TooManyCalls,
            200 => CacheAnswer::Events(cache_events(body)),
            _ => CacheAnswer::Invalid,
        }
    }
}

impl ObjectStore for StandInSite {
    fn store_message(&self, call: &StoreCall) -> (RequestHead, Vec<u8>) {
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
            StoreCall::ReplaceStatus {
                kind,
                name,
                revision,
                status,
            } => json!({"do": "put_status", "kind": format!("{kind:?}"), "name": name,
                        "revision": revision, "status": status}),
        };
        let head = RequestHead::new("POST", "/store");
        (head, body.to_string().into_bytes())
    }

    fn read_store_answer(
        &self,
        call: &StoreCall,
        head: &ResponseHead,
        body: &[u8],
    ) -> Result<StoreReply, StoreError> {
        let value: Value = serde_json::from_slice(body).unwrap_or_default();
        match head.status {
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
}

fn reply(call: &StoreCall, value: &Value) -> StoreReply {
    let list = |key: &str| value[key].as_array().cloned().unwrap_or_default();
    let revision = value["revision"].as_u64().unwrap_or(0);
    match call {
        StoreCall::List { .. } => StoreReply::Page {
            objects: list("objects").iter().map(object).collect(),
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
            StoreReply::Changes { events, revision }
        }
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

impl StoredDocuments for StandInSite {
    fn configuration(&self, object: &StoreObject) -> Result<Configuration, InvalidDocument> {
        let body = &object.content;
        let invalid = |reason: &str| InvalidDocument {
            document: object.name.clone(),
            reason: reason.to_owned(),
        };
        let version = body["version"].as_u64();
        let routes = body["routes"].as_array().cloned().unwrap_or_default();
        let keys = body["keys"].as_object().cloned().unwrap_or_default();
        let tenants = keys.into_iter().map(|(key, name)| Tenant {
            name: TenantName::from(name.as_str().unwrap_or_default()),
            keys: vec![key],
            priority: None,
            is_isolated: false,
            rate_limit: rate_limit(body),
        });
        Ok(Configuration {
            version: version.ok_or_else(|| invalid("no version"))?,
            routes: routes.iter().map(route).collect(),
            services: cache_service(body)
                .into_iter()
                .chain(model_service(body))
                .collect(),
            tenants: Some(tenants.collect()),
            limits: CallerLimits {
                max_head_bytes: 2_048,
                max_body_bytes: 4_096,
                head_timeout_ms: 200,
                idle_timeout_ms: 5_000,
            },
        })
    }

    fn engine(&self, object: &StoreObject) -> Result<EngineRecord, InvalidDocument> {
        let body = &object.content;
        let weights = body["weights"].as_u64();
        Ok(EngineRecord {
            instance: InstanceId(object.name.clone()),
            revision: object.revision,
            service: ServiceName::from(body["service"].as_str().unwrap_or_default()),
            address: body["address"]
                .as_str()
                .unwrap_or_default()
                .parse()
                .expect("address"),
            zone: ZoneName::from("z"),
            software: SoftwareVersion(body["software"].as_str().unwrap_or_default().to_owned()),
            slots: 4,
            cold_ms: body["cold_ms"].as_u64().unwrap_or(0),
            is_leaving: body["leaving"].as_bool().unwrap_or(false),
            weights: weights
                .map(|version| ("m".to_owned(), version))
                .into_iter()
                .collect(),
        })
    }

    fn named_version(&self, object: &StoreObject) -> Result<NamedVersion, InvalidDocument> {
        Ok(NamedVersion {
            model: object.name.clone(),
            version: object.content["version"].as_u64().unwrap_or(0),
        })
    }

    fn rollout_order(&self, object: &StoreObject) -> Result<RolloutOrder, InvalidDocument> {
        if object.content["ms"].is_string() {
            return Err(InvalidDocument {
                document: object.name.clone(),
                reason: "the time is no number".to_owned(),
            });
        }
        let text = |key: &str| object.content[key].as_str().unwrap_or_default().to_owned();
        let status = object.status.as_ref().map(|status| RolloutStatus {
            state: match status["state"].as_str() {
                Some("completed") => RolloutState::Completed,
                Some("rolled-back") => RolloutState::RolledBack,
                _ => RolloutState::Running,
            },
            target: SoftwareVersion(status["to"].as_str().unwrap_or_default().to_owned()),
            progress: status["progress"].as_str().unwrap_or_default().to_owned(),
        });
        Ok(RolloutOrder {
            service: ServiceName(text("service")),
            target: SoftwareVersion(text("to")),
            duration_ms: object.content["ms"].as_u64().unwrap_or(0),
            revision: object.revision,
            status,
        })
    }

    fn rollout_status_content(&self, status: &RolloutStatus) -> Value {
        let state = match status.state {
            RolloutState::Running => "running",
            RolloutState::Completed => "completed",
            RolloutState::RolledBack => "rolled-back",
        };
        json!({"state": state, "to": status.target.0, "progress": status.progress})
    }
}

/// The limit of all tenants, in tokens.
fn rate_limit(body: &Value) -> Option<RateLimit> {
    let limit = &body["limit"];
    Some(RateLimit {
        per_second: limit["per_second"].as_f64()?,
        burst: limit["burst"].as_f64()?,
        unit: LimitUnit::Tokens { undeclared: 1 },
    })
}

/// Events of a cache; none in an empty body.
fn cache_events(body: &[u8]) -> CacheEvents {
    let body: Value = serde_json::from_slice(body).unwrap_or_default();
    let events = body["events"].as_array().into_iter().flatten();
    let events = events.map(|event| CacheEvent {
        salt: event[0].as_str().unwrap_or_default().to_owned(),
        part: event[1].as_u64().unwrap_or(0),
        kept_tokens: event[2].as_u64().unwrap_or(0),
    });
    CacheEvents {
        epoch: body["epoch"].as_u64().unwrap_or(0),
        next: body["next"].as_u64().unwrap_or(0),
        has_gap: false,
        events: events.collect(),
    }
}

/// The model service, where its engines hold calls for events.
fn model_service(body: &Value) -> Option<(ServiceName, Service)> {
    let service = Service {
        max_event_calls: Some(body["event_calls"].as_u64()? as u32),
        ..Service::default()
    };
    Some((ServiceName::from("llm"), service))
}

fn cache_service(body: &Value) -> Option<(ServiceName, Service)> {
    let address = body["cache"].as_str()?.parse().ok()?;
    let service = Service {
        cache_store: Some(CacheStore {
            address,
            zone: ZoneName::from("z"),
            capacity_tokens: 1_000,
            link_mbps: None,
            max_event_calls: None,
        }),
        ..Service::default()
    };
    Some((ServiceName::from("cache"), service))
}

fn route(body: &Value) -> Route {
    let text = |key: &str| body[key].as_str().unwrap_or_default().to_owned();
    let number = |key: &str| body[key].as_u64().unwrap_or(0);
    Route {
        name: text("host"),
        host: text("host"),
        path_prefix: "/".to_owned(),
        targets: vec![WeightedTarget {
            service: ServiceName(text("service")),
            weight: 1.0,
        }],
        delivery: match text("delivery").as_str() {
            "safe" => Delivery::Repeatable,
            "unsafe" => Delivery::AtMostOnce,
            kind => Delivery::Stream {
                resumable: kind == "resumable",
            },
        },
        timeout_ms: number("timeout_ms"),
        objective_ms: number("objective_ms"),
        max_attempts: number("max_attempts") as u32,
        priority: 1,
        is_public: false,
    }
}
