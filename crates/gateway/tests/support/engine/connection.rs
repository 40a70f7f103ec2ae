//! One connection to the simulated engine: requests, orders and calls for cache events.

use super::super::site;
use super::answers::respond;
use super::early_answers::answer_early;
use super::{Behaviour, Shared, RUNS_BEFORE_END_MS};
use event_listener::EventListener;
use ploverlift_gateway::time::sleep;
use ploverlift_http1::{
    read_request_head, BodyDecoder, BufferedStream, RequestHead, ResponseHead, StatusCode,
    TcpConnection,
};
use serde_json::{json, Value};
use smol::net::TcpStream;
use std::future::Future;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::Instant;

pub async fn serve(shared: Arc<Shared>, stream: TcpStream) {
    let accepted = Instant::now();
    let mut connection = BufferedStream::new(stream);
    let mut requests = 0;
    while let Some((head, mut decoder)) = next_request(&shared, &mut connection).await {
        let behaviour = shared.behaviour.lock().expect("behaviour").clone();
        if *shared.behaviour.lock().expect("behaviour") == Behaviour::RefuseEarly {
            let mut refusal = ResponseHead::new(503);
            refusal.headers.push(site::NOT_RUN, "1");
            refusal.headers.push("content-length", "0");
            let _ = connection.write_all(&refusal.encode()).await;
            // The body is not interpreted, but drained, so that the peer does not block on
            // writing it.
            while connection.fill().await.is_ok_and(|count| count > 0) {}
            return;
        }
        if let (Behaviour::AnswerEarly(early), false) = (&behaviour, is_call(&head)) {
            record_request(&shared, &head, Vec::new());
            return answer_early(&shared, *early, connection, &head).await;
        }
        let mut body = Vec::new();
        while let Ok(true) = decoder.read(&mut connection, &mut body).await {}
        let forgets_before = *shared.forgets_before.lock().expect("forgets");
        let is_forgotten = forgets_before.is_some_and(|before| accepted < before);
        if is_forgotten || shared.is_killed.load(Ordering::Acquire) {
            std::future::pending::<()>().await;
        }
        if is_probe(&head) {
            shared.probes.fetch_add(1, Ordering::AcqRel);
            sleep(shared.probe_delay_ms.load(Ordering::Acquire)).await;
        }
        if head.path() == site::HEALTH_PATH {
            if answer_health(&shared, &mut connection, &head)
                .await
                .is_none()
            {
                return;
            }
            continue;
        }
        if head.path().starts_with("/control/") {
            if control(&shared, &mut connection, &head, &body)
                .await
                .is_none()
            {
                return;
            }
            continue;
        }
        if let Some(since) = head.path().strip_prefix("/cache/") {
            let since = since.parse().expect("a position");
            if send_cache_events(&shared, &mut connection, since)
                .await
                .is_none()
            {
                return;
            }
            continue;
        }
        requests += 1;
        if requests > 1 && behaviour == Behaviour::ForgetConnection {
            return;
        }
        if requests == 1 {
            shared.recorded.lock().expect("calls").connections += 1;
        }
        // Read before the request is recorded: a test that sees the record may set another
        // behaviour at once.
        let answers = shared.behaviour.lock().expect("behaviour").clone();
        let ends = match answers {
            Behaviour::EndsUnder(marked) => marked == body,
            Behaviour::EndsUnderPart(parts) => shares_part(&head, parts),
            _ => false,
        };
        let closed = shared.running_closed.listen();
        record_request(&shared, &head, body);
        if ends {
            sleep(RUNS_BEFORE_END_MS).await;
            if matches!(answers, Behaviour::EndsUnderPart(_)) {
                let last_event = head.headers.get(site::AFTER);
                let last_event: u64 = last_event.map_or(0, |id| id.parse().expect("an event"));
                let ends = Behaviour::EndAfter(last_event + 1);
                respond(&shared, ends, &mut connection, &head).await;
            }
            shared.end();
            std::future::pending::<()>().await;
        }
        if requests > 1 && answers == Behaviour::CloseKeptThenRefuse {
            return;
        }
        let responding = respond(&shared, answers.clone(), &mut connection, &head);
        if !is_answered(responding, closed).await {
            return;
        }
        match behaviour {
            _ if shared.format().is_unframed() => return,
            Behaviour::KeepConnection
            | Behaviour::KeepConnectionAfter(_)
            | Behaviour::ForgetConnection => {}
            Behaviour::AnswerTwiceAfter(after_ms) => {
                let (shared, writer) = (Arc::clone(&shared), connection.writer());
                smol::spawn(answer_again(shared, writer, head, after_ms)).detach();
            }
            Behaviour::AnswerTwice => respond(&shared, answers, &mut connection, &head).await,
            _ => return,
        }
    }
}

/// Sends an answer on a connection once more, where the answer to a later request may be due.
async fn answer_again(
    shared: Arc<Shared>,
    writer: TcpConnection,
    head: RequestHead,
    after_ms: u64,
) {
    sleep(after_ms).await;
    let mut connection = BufferedStream::new(writer);
    respond(&shared, Behaviour::Answer, &mut connection, &head).await;
}

/// Waits for the next request; `None` when the peer or the engine closes the idle connection.
async fn next_request(
    shared: &Shared,
    connection: &mut BufferedStream,
) -> Option<(RequestHead, BodyDecoder)> {
    let closed = shared.idle_closed.listen();
    let reading = async { read_request_head(connection, 65_536).await.ok() };
    let closing = async {
        closed.await;
        None
    };
    futures_lite::future::or(reading, closing).await
}

/// Runs until the answer is sent; returns false when the engine closes the connection before.
async fn is_answered(responding: impl Future<Output = ()>, closed: EventListener) -> bool {
    let responding = async {
        responding.await;
        true
    };
    let closing = async {
        closed.await;
        false
    };
    futures_lite::future::or(responding, closing).await
}

/// Whether a request asks only whether the engine runs.
fn is_probe(head: &RequestHead) -> bool {
    let is_expected = head.headers.get(site::INSTANCE).is_some();
    head.path() == site::HEALTH_PATH || (head.path() == "/control/report" && is_expected)
}

/// Whether a node calls for itself, rather than for a caller.
fn is_call(head: &RequestHead) -> bool {
    let path = head.path();
    path == site::HEALTH_PATH || path.starts_with("/control/") || path.starts_with("/cache/")
}

/// Answers with the engine's id; an engine that is not the expected one refuses.
async fn answer_health(
    shared: &Shared,
    connection: &mut BufferedStream,
    head: &RequestHead,
) -> Option<()> {
    let expected = head.headers.get(site::INSTANCE);
    let is_expected = expected.is_none_or(|expected| expected == shared.instance);
    let mut answer = ResponseHead::new(if is_expected { 200 } else { 421 });
    answer
        .headers
        .try_push(site::INSTANCE, &shared.instance)
        .expect("a value");
    answer.headers.push("content-length", "0");
    connection.write_all(&answer.encode()).await.ok()
}

/// Whether the prompt has one of the parts, other than as its last one.
fn shares_part(head: &RequestHead, parts: &[u64]) -> bool {
    let prompt = head.headers.get(site::PROMPT).unwrap_or_default();
    let mut shared = prompt.rsplit(',').skip(1);
    shared.any(|id| id.parse().is_ok_and(|id| parts.contains(&id)))
}

fn record_request(shared: &Shared, head: &RequestHead, body: Vec<u8>) {
    let mut recorded = shared.recorded.lock().expect("calls");
    recorded.arrived.push(Instant::now());
    recorded.heads.push(head.clone());
    recorded.bodies.push(body);
    let _ = shared.seen.try_send(());
}

/// Sends the cache events after a position, once there are some. Positions start at 1: the first
/// call, from 0, is answered at once.
async fn send_cache_events(
    shared: &Shared,
    connection: &mut BufferedStream,
    since: usize,
) -> Option<()> {
    let events = loop {
        let kept = shared.cache_changed.listen();
        let events = shared.cache_events.lock().expect("events").clone();
        if events.len() + 1 > since {
            break events;
        }
        kept.await;
    };
    let text = json!({"epoch": 1, "next": events.len() + 1,
                      "events": events[since.saturating_sub(1)..]})
    .to_string();
    let mut answer = ResponseHead::new(200);
    answer.headers.push("content-length", text.len());
    connection.write_all(&answer.encode()).await.ok()?;
    connection.write_all(text.as_bytes()).await.ok()
}

async fn control(
    shared: &Shared,
    connection: &mut BufferedStream,
    head: &RequestHead,
    body: &[u8],
) -> Option<()> {
    let orders = shared.recorded.lock().expect("calls").orders.len() as u64;
    let mut answer = ResponseHead::new(200);
    let mut text = String::new();
    if head.path() == "/control/report" {
        let weights = *shared.weights.lock().expect("weights");
        let is_busy = shared.is_loading();
        text = json!({"weights": weights, "orders": orders, "busy": is_busy}).to_string();
    } else {
        let order: Value = serde_json::from_slice(body).expect("an order");
        let token = order["token"].as_u64().unwrap_or(0);
        if token < *shared.lowest_token.lock().expect("token") {
            let mut recorded = shared.recorded.lock().expect("calls");
            recorded.refused_tokens.push(token);
            answer.status = StatusCode::literal(412);
        } else if order["expected"].as_u64() != Some(orders) {
            answer.status = StatusCode::literal(409);
        } else {
            *shared.weights.lock().expect("weights") = order["version"].as_u64().unwrap_or(0);
            shared.begin_load();
            shared.recorded.lock().expect("calls").record_order(order);
            let _ = shared.seen.try_send(());
            if !*shared.answers_orders.lock().expect("answers") {
                return None;
            }
            answer.status = StatusCode::literal(202);
        }
    }
    answer.headers.push("content-length", text.len());
    let mut message = answer.encode();
    message.extend_from_slice(text.as_bytes());
    connection.write_all(&message).await.ok()
}
