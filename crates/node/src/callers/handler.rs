//! The callers' listener: the OpenAI API and plain services.

use crate::callers::relay::{self, CallerAnswer, Payload, PoolShare, RelayRequest};
use crate::callers::reply::{self, ErrorReply};
use crate::callers::request::{
    authenticate, parse_completion, read_body, read_headers, RequestHeaders,
};
use crate::state::{count, Node};
use ploverlift_cluster::router::RoutedRequest;
use ploverlift_policy::snapshot::Tenant;
use serde::Serialize;
use smol::Timer;
use std::sync::Arc;
use std::time::Duration;
use trillium::{Body, Conn, KnownHeaderName, Method, Status};

/// Start of the paths of plain services.
const SERVICES_PREFIX: &str = "/services/";
/// Time between two looks at whether a paused node has caught up, in milliseconds.
const CATCH_UP_STEP_MS: u64 = 10;
/// Seconds after which a stopping node's callers should come back.
const STOPPING_RETRY_SECONDS: u64 = 1;

#[derive(Serialize)]
struct ModelList<'a> {
    object: &'static str,
    data: Vec<ModelEntry<'a>>,
}

#[derive(Serialize)]
struct ModelEntry<'a> {
    id: &'a str,
    object: &'static str,
    owned_by: &'static str,
}

/// Answers one request of a caller.
pub async fn handle(node: Arc<Node>, conn: Conn) -> Conn {
    let path = conn.path().to_owned();
    match (conn.method(), path.as_str()) {
        (Method::Get, "/healthz") => health(&node, conn),
        (Method::Get, "/v1/models") => models(&node, conn),
        (Method::Post, "/v1/chat/completions") => {
            completion(node, conn, "/v1/chat/completions").await
        }
        (Method::Post, "/v1/completions") => completion(node, conn, "/v1/completions").await,
        (_, service) if service.starts_with(SERVICES_PREFIX) => plain_service(node, conn).await,
        _ => reply::error(conn, &unknown_path(&path)),
    }
}

fn unknown_path(path: &str) -> ErrorReply {
    let message = format!("there is nothing at '{path}' for this method");
    ErrorReply::rejected(Status::NotFound, "unknown_path", message)
}

fn health(node: &Node, conn: Conn) -> Conn {
    if node.is_stopping() {
        return reply::error(conn, &stopping());
    }
    conn.ok("ready\n")
}

fn stopping() -> ErrorReply {
    ErrorReply::try_later(
        Status::ServiceUnavailable,
        "stopping",
        "this node is stopping; ask another",
        STOPPING_RETRY_SECONDS,
    )
}

fn models(node: &Node, conn: Conn) -> Conn {
    let tenant = match authenticate(node, &conn) {
        Ok(tenant) => tenant,
        Err(error) => return reply::error(conn, &error),
    };
    let snapshot = node.snapshot();
    let data = snapshot.models_for(&tenant).into_iter();
    let list = ModelList {
        object: "list",
        data: data
            .map(|id| ModelEntry {
                id,
                object: "model",
                owned_by: "ploverlift",
            })
            .collect(),
    };
    reply::json(conn, Status::Ok, &list)
}

/// After a start or a pause of the process, waits shortly until the node has
/// heard what it missed.
async fn catch_up(node: &Node) {
    while node.core().is_catching_up(node.clock.now()) {
        Timer::after(Duration::from_millis(CATCH_UP_STEP_MS)).await;
    }
}

async fn completion(node: Arc<Node>, mut conn: Conn, path: &'static str) -> Conn {
    catch_up(&node).await;
    let prepared = prepare_completion(&node, &mut conn, path).await;
    respond(node, conn, prepared).await
}

async fn plain_service(node: Arc<Node>, mut conn: Conn) -> Conn {
    catch_up(&node).await;
    let prepared = prepare_plain(&node, &mut conn).await;
    respond(node, conn, prepared).await
}

async fn prepare_completion(
    node: &Arc<Node>,
    conn: &mut Conn,
    path: &'static str,
) -> Result<RelayRequest, ErrorReply> {
    let (tenant, headers) = admit(node, conn)?;
    let body = read_body(node, conn).await?;
    let request = parse_completion(&body, path == "/v1/chat/completions")?;
    let mut routed = route(node, &tenant, &headers, &request.model)?;
    routed.prompt = request.prompt;
    let share = PoolShare::start(node, &routed)?;
    Ok(RelayRequest {
        routed,
        share,
        headers,
        payload: Payload::Completion {
            path,
            fields: request.fields,
        },
    })
}

async fn prepare_plain(node: &Arc<Node>, conn: &mut Conn) -> Result<RelayRequest, ErrorReply> {
    let (tenant, headers) = admit(node, conn)?;
    let below = conn
        .path()
        .strip_prefix(SERVICES_PREFIX)
        .unwrap_or_default();
    let (service, rest) = below.split_once('/').unwrap_or((below, ""));
    let mut path = format!("/{rest}");
    if !conn.querystring().is_empty() {
        path.push('?');
        path.push_str(conn.querystring());
    }
    let routed = route(node, &tenant, &headers, service)?;
    let method = conn.method();
    let content_type = conn.request_headers().get_str(KnownHeaderName::ContentType);
    let content_type = content_type
        .unwrap_or("application/octet-stream")
        .to_owned();
    let body = Arc::new(read_body(node, conn).await?);
    let share = PoolShare::start(node, &routed)?;
    Ok(RelayRequest {
        routed,
        share,
        headers,
        payload: Payload::Plain {
            method,
            path,
            content_type,
            body,
        },
    })
}

fn admit(node: &Node, conn: &Conn) -> Result<(Arc<Tenant>, RequestHeaders), ErrorReply> {
    count(&node.counters.requests);
    if node.is_stopping() {
        return Err(stopping());
    }
    let tenant = authenticate(node, conn)?;
    let headers = read_headers(conn)?;
    take_rate(node, &tenant)?;
    Ok((tenant, headers))
}

fn take_rate(node: &Node, tenant: &Tenant) -> Result<(), ErrorReply> {
    let taken = node.with_core(|core, now| core.take_rate(tenant, now));
    taken.map_err(|come_back| {
        let message = "the tenant's request rate is over its limit";
        let seconds = come_back.seconds_rounded_up();
        ErrorReply::try_later(Status::TooManyRequests, "rate_limited", message, seconds)
    })
}

fn route(
    node: &Node,
    tenant: &Arc<Tenant>,
    headers: &RequestHeaders,
    model: &str,
) -> Result<RoutedRequest, ErrorReply> {
    let snapshot = node.snapshot();
    let position = snapshot.route(tenant, model).map(|(position, _)| position);
    let Some(route) = position else {
        let message = format!("no route of this tenant leads to '{model}'");
        return Err(ErrorReply::rejected(
            Status::NotFound,
            "unknown_model",
            message,
        ));
    };
    Ok(RoutedRequest {
        id: headers.id.clone(),
        tenant: Arc::clone(tenant),
        route,
        snapshot,
        prompt: Arc::default(),
    })
}

async fn respond(
    node: Arc<Node>,
    mut conn: Conn,
    prepared: Result<RelayRequest, ErrorReply>,
) -> Conn {
    let request = match prepared {
        Ok(request) => request,
        Err(error) => {
            count(&node.counters.refused);
            return reply::error(conn, &error);
        }
    };
    let id = request.headers.id.0.clone();
    let answer = conn
        .cancel_on_disconnect(relay::answer(Arc::clone(&node), request))
        .await;
    let conn = conn.with_response_header("x-request-id", id);
    match answer {
        None => conn.halt(),
        Some(CallerAnswer::Refused(error)) => reply::error(conn, &error),
        Some(CallerAnswer::Whole {
            status,
            content_type,
            body,
        }) => conn
            .with_status(status)
            .with_response_header(KnownHeaderName::ContentType, content_type)
            .with_body(body)
            .halt(),
        Some(CallerAnswer::Stream(body)) => conn
            .with_status(Status::Ok)
            .with_response_header(KnownHeaderName::ContentType, "text/event-stream")
            .with_response_header(KnownHeaderName::CacheControl, "no-store")
            .with_body(Body::new_streaming(body, None))
            .halt(),
    }
}
