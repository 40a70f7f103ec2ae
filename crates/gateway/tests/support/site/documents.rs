//! Parses the stored documents of the simulated site.

use super::StandInSite;
use ploverlift_balancing::catalogue::{EngineRecord, Heartbeat, InstanceId};
use ploverlift_gateway::ports::{InvalidDocument, NamedVersion, StoreObject, StoredDocuments};
use ploverlift_policy::ids::{TenantName, ZoneName};
use ploverlift_rollout::order::{RolloutOrder, RolloutState, RolloutStatus};
use ploverlift_routing::configuration::{
    CacheStore, CallerLimits, Configuration, Delivery, Route, Service, ServiceName, Tenant,
    WeightedTarget,
};
use ploverlift_routing::rate_limit::{LimitUnit, RateLimit};
use ploverlift_routing::software::SoftwareVersion;
use serde_json::{json, Value};

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
                .chain(app_service(body))
                .collect(),
            tenants: Some(tenants.collect()),
            limits: CallerLimits {
                max_head_bytes: 2_048,
                max_body_bytes: body["max_body_bytes"].as_u64().unwrap_or(4_096) as usize,
                head_timeout_ms: 200,
                idle_timeout_ms: body["idle_timeout_ms"].as_u64().unwrap_or(5_000),
            },
        })
    }

    fn engine(&self, object: &StoreObject) -> Result<EngineRecord, InvalidDocument> {
        let body = &object.content;
        if body["spoilt"].as_bool() == Some(true) {
            return Err(InvalidDocument {
                document: object.name.clone(),
                reason: "the record is marked as spoilt".to_owned(),
            });
        }
        let weights = body["weights"].as_u64();
        Ok(EngineRecord {
            instance: InstanceId(object.name.clone()),
            revision: object.revision,
            heartbeat: Heartbeat {
                born_ms: body["born"].as_u64().unwrap_or(0),
                sequence: body["sequence"].as_u64().unwrap_or(0),
            },
            service: ServiceName::from(body["service"].as_str().unwrap_or_default()),
            address: body["address"]
                .as_str()
                .unwrap_or_default()
                .parse()
                .expect("address"),
            zone: ZoneName::from(body["zone"].as_str().unwrap_or("z")),
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
                reason: "the time is not a number".to_owned(),
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

/// The rate limit that all tenants have, in tokens unless it names requests as its unit.
fn rate_limit(body: &Value) -> Option<RateLimit> {
    let limit = &body["limit"];
    Some(RateLimit {
        per_second: limit["per_second"].as_f64()?,
        burst: limit["burst"].as_f64()?,
        unit: match limit["unit"].as_str() {
            Some("requests") => LimitUnit::Requests,
            _ => LimitUnit::Tokens { undeclared: 1 },
        },
    })
}

/// The model service, if its engines report cache events.
fn app_service(body: &Value) -> Option<(ServiceName, Service)> {
    let service = Service {
        max_connections: Some(body["max_connections"].as_u64()? as u32),
        ..Service::default()
    };
    Some((ServiceName::from("app"), service))
}

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
        targets: targets(body),
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

/// The services of a route: those of a split by weight, or the only one.
fn targets(body: &Value) -> Vec<WeightedTarget> {
    let target = |service: &str, weight| WeightedTarget {
        service: ServiceName::from(service),
        weight,
    };
    match body["targets"].as_object() {
        Some(split) => {
            let split = split.iter();
            let targets =
                split.map(|(service, weight)| target(service, weight.as_f64().unwrap_or(0.0)));
            targets.collect()
        }
        None => vec![target(body["service"].as_str().unwrap_or_default(), 1.0)],
    }
}
