//! Protocols of the simulated site: implementations of the ports with their own header names.

mod documents;
mod object_store;

use ploverlift_balancing::cache_contents::{CacheEvent, CacheEvents};
use ploverlift_balancing::catalogue::InstanceId;
use ploverlift_gateway::ports::{
    AnswerMeaning, CacheAnswer, CacheProtocol, CallerProtocol, CallerRequest, EngineCall,
    EngineControl, EngineProtocol, EngineReport, EngineSignals, InvalidRequest, Leaving,
    LivenessAnswer, LivenessProbe, LoadOrder, OrderAnswer, Refusal, RefusedByEngine, Signal,
};
use ploverlift_http1::{Headers, HttpError, RequestHead, ResponseHead, Target};
use ploverlift_routing::prompt::{Prompt, PromptPart};
use serde_json::{json, Value};

pub const ID: &str = "t-id";
pub const KEY: &str = "t-key";
pub const DEADLINE: &str = "t-deadline";
pub const PARTS: &str = "t-parts";
/// The parts of the prompt, in a request to an engine.
pub const PROMPT: &str = "t-prompt";
pub const TOKENS: &str = "t-tokens";
pub const AFTER: &str = "t-after";
pub const RESUMES: &str = "t-resumes";
pub const TENANT: &str = "t-tenant";
pub const INSTANCE: &str = "t-instance";
pub const WEIGHTS: &str = "t-weights";
pub const SALT: &str = "t-salt";
pub const FETCH: &str = "t-fetch";
pub const SAVE: &str = "t-save";
pub const NOT_RUN: &str = "t-not-run";
pub const SIGNED: &str = "t-signed";
pub const LIMIT: &str = "t-limit";
pub const LEAVING: &str = "t-leaving";
pub const BACKOFF_MS: &str = "t-backoff-ms";

/// Path of the engines' health check.
pub const HEALTH_PATH: &str = "/health";

/// Id of a request whose head makes the simulated site panic, as a fault in the program would.
pub const PANIC_ID: &str = "panics";

/// Protocols of the simulated site.
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
        assert_ne!(id, PANIC_ID);
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
            resumes: headers.get(RESUMES).map(str::to_owned),
            method: head.method.clone(),
            target: head.target.clone(),
            forwarded: forwarded(id),
        })
    }

    fn refusal_head(&self, refusal: &Refusal, request_id: Option<&str>) -> ResponseHead {
        let mut head = ResponseHead::new(refusal.kind.status());
        if let Some(id) = request_id {
            head.headers.try_push(ID, id).expect("a value");
        }
        if let Some(retry_after_ms) = refusal.retry_after_ms {
            head.headers.push("retry-after-ms", retry_after_ms);
        }
        head
    }
}

/// Headers that are passed on to the engine.
fn forwarded(id: &str) -> Headers {
    let mut headers = Headers::default();
    headers.try_push(ID, id).expect("a received value");
    headers
}

impl EngineProtocol for StandInSite {
    fn engine_head(&self, call: &EngineCall<'_>) -> Result<RequestHead, HttpError> {
        let mut head = RequestHead::new(&call.request.method, call.request.target.clone());
        head.headers = call.request.forwarded.clone();
        let headers = &mut head.headers;
        headers.push("content-length", call.body_length);
        headers.push(DEADLINE, call.deadline_ms);
        headers.try_push(INSTANCE, &call.instance.0)?;
        if let Some(tenant) = call.tenant {
            headers.try_push(TENANT, tenant)?;
        }
        if let Some(weights) = call.weights {
            headers.push(WEIGHTS, weights);
        }
        if let Some(cache) = &call.cache {
            headers.try_push(SALT, &cache.salt)?;
            if let Some(address) = cache.fetch_from {
                headers.push(FETCH, address);
            }
            if let Some(address) = cache.save_to {
                headers.push(SAVE, address);
            }
        }
        if let Some(prompt) = &call.request.prompt {
            let parts: Vec<String> = prompt
                .parts
                .iter()
                .map(|part| part.id.to_string())
                .collect();
            headers.try_push(PROMPT, parts.join(","))?;
        }
        if let Some(after) = call.resume_after {
            headers.try_push(AFTER, after)?;
        }
        Ok(head)
    }

    fn answer_meaning(&self, request_id: &str, head: &ResponseHead) -> AnswerMeaning {
        let headers = &head.headers;
        if headers.get(ID).is_some_and(|id| id != request_id) {
            return AnswerMeaning::Foreign {
                reason: "another request's",
            };
        }
        if headers.get(NOT_RUN).is_some() {
            return AnswerMeaning::Refused(RefusedByEngine {
                status: head.status.get(),
                is_mismatch: head.status == 421,
                answered_by: headers.get(INSTANCE).map(|id| InstanceId(id.to_owned())),
            });
        }
        if headers.get(ID).is_none() {
            return AnswerMeaning::Foreign { reason: "nobody's" };
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

    fn engine_signals(&self, head: &ResponseHead) -> EngineSignals {
        EngineSignals {
            limit: signal(head, LIMIT, |text| text.parse().ok()),
            leaving: signal(head, LEAVING, |text| (text == "1").then_some(Leaving)),
            backoff_ms: signal(head, BACKOFF_MS, |text| text.parse().ok()),
            weights: head.headers.get(WEIGHTS).and_then(|text| text.parse().ok()),
            unread: Vec::new(),
        }
    }

    fn liveness_head(&self, probe: &LivenessProbe<'_>) -> Option<RequestHead> {
        let path = match probe.reports && probe.is_instance_known {
            true => "/control/report",
            false => HEALTH_PATH,
        };
        let mut head = RequestHead::new("GET", Target::literal(path));
        head.headers
            .try_push(INSTANCE, &probe.instance.0)
            .expect("a value");
        Some(head)
    }

    fn liveness_answer(&self, instance: &InstanceId, head: &ResponseHead) -> LivenessAnswer {
        if head.headers.get(ID).is_some() {
            return LivenessAnswer::Foreign;
        }
        match head.headers.get(INSTANCE) {
            Some(id) if head.status != 421 && id == instance.0 => LivenessAnswer::Instance,
            None if head.status != 421 => LivenessAnswer::Unnamed,
            _ => LivenessAnswer::OtherInstance,
        }
    }
}

fn signal<T>(head: &ResponseHead, name: &str, read: fn(&str) -> Option<T>) -> Signal<T> {
    let Some(text) = head.headers.get(name) else {
        return Signal::Absent;
    };
    read(text).map_or_else(
        || Signal::Invalid {
            text: text.to_owned(),
        },
        Signal::Value,
    )
}

impl EngineControl for StandInSite {
    fn report_head(&self) -> RequestHead {
        RequestHead::new("GET", Target::literal("/control/report"))
    }

    fn read_report(&self, head: &ResponseHead, body: &[u8]) -> Option<EngineReport> {
        let body: Value = serde_json::from_slice(body).ok()?;
        head.is_success().then(|| EngineReport {
            is_busy: body["busy"].as_bool().unwrap_or(false),
            orders_taken: body["orders"].as_u64().unwrap_or(0),
            born_ms: body["born"].as_u64().unwrap_or(0),
            weights: [("m".to_owned(), body["weights"].as_u64().unwrap_or(0))].into(),
        })
    }

    fn order_message(&self, order: &LoadOrder) -> Result<(RequestHead, Vec<u8>), HttpError> {
        let body = json!({"instance": order.instance.0, "version": order.version,
            "token": order.fencing_token, "expected": order.expected_orders,
            "holder": order.holder});
        let head = RequestHead::new("POST", Target::literal("/control/order"));
        Ok((head, body.to_string().into_bytes()))
    }

    fn read_order_answer(&self, head: &ResponseHead) -> OrderAnswer {
        match head.status.get() {
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
        let target = Target::literal("/cache").segment(&since.to_string());
        RequestHead::new("GET", target.expect("a number"))
    }

    fn read_cache_answer(&self, head: &ResponseHead, body: &[u8]) -> CacheAnswer {
        match head.status.get() {
            429 => CacheAnswer::TooManyCalls,
            200 => CacheAnswer::Events(cache_events(body)),
            _ => CacheAnswer::Invalid,
        }
    }
}

/// Parses the events of a cache; an empty body has none.
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
