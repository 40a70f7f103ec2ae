//! A stand-in engine over HTTP: the OpenAI API with streams, resumption by
//! position and cancellation by closing the connection, and plain requests,
//! which are counted.

use crate::engine_state::{EngineSettings, EngineState, EngineTables};
use crate::engine_tokens::{piece, token_text, Run};
use async_channel::Sender;
use futures_lite::AsyncReadExt;
use ploverlift_node::callers::body_channel::{body_channel, BodyChunk};
use ploverlift_node::callers::events::{opening_comment, write_event, DONE, KEEP_ALIVE};
use ploverlift_node::engines::client::{
    ENGINE_INCARNATION_HEADER, ENGINE_WEIGHTS_HEADER, EXPECTED_INCARNATION_HEADER,
    EXPECTED_WEIGHTS_HEADER, NOT_RUN, REQUEST_ID_HEADER, RESUME_FROM_HEADER, RUN_STATE_HEADER,
};
use ploverlift_node::listener::{HttpListener, ListenerLimits};
use ploverlift_policy::prompt::render_prompt;
use serde::Deserialize;
use serde_json::{json, Map, Value};
use smol::lock::{Mutex as AsyncMutex, Semaphore, SemaphoreGuardArc};
use smol::Timer;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use trillium::{Body, Conn, KnownHeaderName, Method, Status};

/// Tokens of an answer when the request does not set `max_tokens`.
const DEFAULT_ANSWER_TOKENS: u64 = 16;
/// `retry-after` of requests that are refused as not run, in seconds.
const FULL_RETRY_SECONDS: u64 = 1;
/// Period of the keep-alive comments in a stream.
const KEEP_ALIVE_PERIOD: Duration = Duration::from_millis(200);
/// Largest number of connections.
const MAX_CONNECTIONS: usize = 20_000;
/// Largest request head, in bytes.
const MAX_HEAD_BYTES: usize = 64 * 1024;
/// Field of a request whose tokens each wait for a call of `/admin/release`.
const HOLD_FIELD: &str = "lab_hold";

/// A running stand-in engine.
pub struct EngineServer {
    /// The engine's state; tests read the record of runs from it.
    pub state: Arc<EngineState>,
    listener: HttpListener,
}

struct Engine {
    state: Arc<EngineState>,
    slots: Arc<Semaphore>,
    prefill: AsyncMutex<()>,
    holds: Mutex<HashMap<String, Sender<()>>>,
}

/// An order to an engine, refused when its token is older than the last one.
#[derive(Clone, Debug, Deserialize)]
#[serde(rename_all = "camelCase", deny_unknown_fields)]
pub struct LoadOrder {
    /// Fencing token of the lease under which the order was sent.
    pub fencing_token: u64,
    /// Weights to load; 0 or the weights already served only registers the token.
    pub weights_version: u64,
}

impl EngineServer {
    /// Starts an engine on `address`.
    ///
    /// # Errors
    /// When the address cannot be bound.
    pub fn start(address: SocketAddr, settings: EngineSettings) -> std::io::Result<Self> {
        let slots = Arc::new(Semaphore::new(settings.slots as usize));
        let state = Arc::new(EngineState::new(settings));
        let engine = Arc::new(Engine {
            state: Arc::clone(&state),
            slots,
            prefill: AsyncMutex::new(()),
            holds: Mutex::default(),
        });
        let handler = move |conn: Conn| handle(Arc::clone(&engine), conn);
        let limits = ListenerLimits {
            max_connections: MAX_CONNECTIONS,
            max_head_bytes: MAX_HEAD_BYTES,
        };
        let listener = HttpListener::start(address, limits, handler)?;
        Ok(Self { state, listener })
    }

    /// Address of the listener.
    pub fn address(&self) -> SocketAddr {
        self.listener.address
    }

    /// Stops accepting connections and finishes the running requests.
    pub async fn stop(self) {
        self.listener.stop().await;
    }
}

async fn handle(engine: Arc<Engine>, mut conn: Conn) -> Conn {
    let path = conn.path().to_owned();
    let mut body = Vec::new();
    if conn
        .request_body()
        .await
        .read_to_end(&mut body)
        .await
        .is_err()
    {
        return conn.with_status(Status::BadRequest).halt();
    }
    match (conn.method(), path.as_str()) {
        (Method::Get, "/metrics") => conn.ok(engine.state.metrics_page()),
        (Method::Get, "/admin/runs") => {
            let runs = serde_json::to_string(&engine.state.tables().runs);
            conn.ok(runs.unwrap_or_default())
        }
        (Method::Post, "/admin/leaving") => {
            engine.state.tables().leaving = true;
            conn.ok("leaving\n")
        }
        (Method::Post, "/admin/load") => load(&engine, conn, &body).await,
        (Method::Post, path) if path.starts_with("/admin/release/") => {
            release(&engine, conn, path.trim_start_matches("/admin/release/")).await
        }
        (Method::Post, "/v1/chat/completions" | "/v1/completions") => {
            completion(engine, conn, &body).await
        }
        _ => respond_plain(&engine, conn),
    }
}

fn request_id(conn: &Conn) -> String {
    let header = conn.request_headers().get_str(REQUEST_ID_HEADER);
    header.unwrap_or("unnamed").to_owned()
}

fn refuse_not_run(conn: Conn, status: Status) -> Conn {
    conn.with_status(status)
        .with_response_header(RUN_STATE_HEADER, NOT_RUN)
        .with_response_header(KnownHeaderName::RetryAfter, FULL_RETRY_SECONDS.to_string())
        .with_body("not run\n")
        .halt()
}

fn respond_plain(engine: &Engine, conn: Conn) -> Conn {
    let id = request_id(&conn);
    let mut tables = engine.state.tables();
    if tables.leaving {
        drop(tables);
        return refuse_not_run(conn, Status::ServiceUnavailable);
    }
    let record = tables.runs.entry(id.clone()).or_default();
    record.runs += 1;
    record.completed += 1;
    let answer = json!({"request": id, "engine": engine.state.settings.name, "runs": record.runs});
    drop(tables);
    conn.with_response_header(REQUEST_ID_HEADER, id)
        .with_response_header(KnownHeaderName::ContentType, "application/json")
        .ok(answer.to_string())
}

async fn load(engine: &Engine, conn: Conn, body: &[u8]) -> Conn {
    let id = request_id(&conn);
    let conn = conn.with_response_header(REQUEST_ID_HEADER, id);
    let Ok(order) = serde_json::from_slice::<LoadOrder>(body) else {
        return conn.with_status(Status::BadRequest).halt();
    };
    {
        let mut tables = engine.state.tables();
        if order.fencing_token < tables.fencing_token {
            drop(tables);
            return conn
                .with_status(Status::Conflict)
                .with_body("stale token\n");
        }
        tables.fencing_token = order.fencing_token;
        let loaded = tables.weights.0 == order.weights_version;
        if order.weights_version == 0 || loaded {
            let state = if tables.loading {
                "loading\n"
            } else {
                "idle\n"
            };
            drop(tables);
            return conn.ok(state);
        }
        tables.loading = true;
    }
    Timer::after(Duration::from_millis(engine.state.settings.load_ms)).await;
    let mut tables = engine.state.tables();
    tables.loading = false;
    tables.weights.0 = order.weights_version;
    tables.cache.clear();
    drop(tables);
    conn.ok("loaded\n")
}

async fn release(engine: &Engine, conn: Conn, id: &str) -> Conn {
    let hold = engine
        .holds
        .lock()
        .ok()
        .and_then(|holds| holds.get(id).cloned());
    match hold {
        Some(hold) if hold.send(()).await.is_ok() => conn.ok("released\n"),
        _ => conn.with_status(Status::NotFound).halt(),
    }
}

async fn completion(engine: Arc<Engine>, conn: Conn, body: &[u8]) -> Conn {
    let Ok(fields) = serde_json::from_slice::<Map<String, Value>>(body) else {
        return conn.with_status(Status::BadRequest).halt();
    };
    if expects_other_state(&engine, &conn) {
        let weights = engine.state.tables().weights;
        let incarnation = engine.state.settings.incarnation;
        let conn = conn
            .with_response_header(ENGINE_INCARNATION_HEADER, incarnation.to_string())
            .with_response_header(ENGINE_WEIGHTS_HEADER, weights.to_string());
        return refuse_not_run(conn, Status::PreconditionFailed);
    }
    let run = read_run(&engine, &conn, &fields);
    {
        let mut tables = engine.state.tables();
        let full = tables.waiting >= engine.state.settings.max_waiting;
        if tables.leaving && run.from == 0 || tables.loading || full {
            drop(tables);
            return refuse_not_run(conn, Status::ServiceUnavailable);
        }
        if run.from > 0 && !may_resume(&tables, &run, &fields) {
            drop(tables);
            return conn
                .with_status(Status::Gone)
                .with_response_header(REQUEST_ID_HEADER, run.id)
                .with_body("this engine does not have the stream\n");
        }
        let record = tables.runs.entry(run.id.clone()).or_default();
        record.scope = run.scope.clone();
        if run.from == 0 {
            record.runs += 1;
        } else {
            record.resumes += 1;
        }
    }
    let conn = conn.with_response_header(REQUEST_ID_HEADER, run.id.clone());
    if run.stream {
        return stream(engine, conn, run);
    }
    respond_complete(engine, conn, run).await
}

/// Whether the request expects another incarnation or other weights.
fn expects_other_state(engine: &Engine, conn: &Conn) -> bool {
    let number = |name: &'static str| conn.request_headers().get_str(name)?.parse::<u64>().ok();
    let incarnation = number(EXPECTED_INCARNATION_HEADER);
    let weights = number(EXPECTED_WEIGHTS_HEADER);
    let other_incarnation =
        incarnation.is_some_and(|expected| expected != engine.state.settings.incarnation);
    let other_weights = weights.is_some_and(|weights| weights != engine.state.tables().weights.0);
    other_incarnation || other_weights
}

fn may_resume(tables: &EngineTables, run: &Run, fields: &Map<String, Value>) -> bool {
    let continued = fields.contains_key("partial_output");
    let known = tables.runs.get(&run.id);
    continued || known.is_some_and(|record| record.scope == run.scope)
}

fn read_run(engine: &Engine, conn: &Conn, fields: &Map<String, Value>) -> Run {
    let id = request_id(conn);
    let scope = fields.get("cache_salt").and_then(Value::as_str);
    let tokens = fields.get("max_tokens").and_then(Value::as_u64);
    let from = conn.request_headers().get_str(RESUME_FROM_HEADER);
    let held = fields.get(HOLD_FIELD).and_then(Value::as_bool);
    let hold = held.unwrap_or(false).then(|| {
        let (sender, receiver) = async_channel::unbounded();
        if let Ok(mut holds) = engine.holds.lock() {
            holds.insert(id.clone(), sender);
        }
        receiver
    });
    Run {
        id,
        prompt: render_prompt(fields),
        scope: scope.unwrap_or_default().to_owned(),
        from: from.and_then(|text| text.parse().ok()).unwrap_or(0),
        tokens: tokens.unwrap_or(DEFAULT_ANSWER_TOKENS),
        chat: fields.contains_key("messages"),
        stream: fields
            .get("stream")
            .and_then(Value::as_bool)
            .unwrap_or(false),
        hold,
    }
}

/// Counts a request in the batch until this guard is dropped.
struct Running {
    engine: Arc<Engine>,
    _slot: SemaphoreGuardArc,
}

impl Drop for Running {
    fn drop(&mut self) {
        self.engine.state.tables().running -= 1;
    }
}

/// Counts a request and its prompt tokens as waiting until this guard is dropped.
struct Waiting<'a> {
    engine: &'a Engine,
    tokens: u32,
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        let mut tables = self.engine.state.tables();
        tables.waiting -= 1;
        tables.queued_tokens -= self.tokens;
    }
}

/// Waits for a slot and prefills the uncached part of the prompt. Returns the slot
/// and the number of cached prompt tokens.
async fn prefill(engine: &Arc<Engine>, run: &Run) -> (Running, u32) {
    let chain = engine.state.chain(&run.scope, &run.prompt);
    let waiting = {
        let mut tables = engine.state.tables();
        tables.waiting += 1;
        tables.queued_tokens += chain.tokens;
        Waiting {
            engine,
            tokens: chain.tokens,
        }
    };
    let slot = engine.slots.acquire_arc().await;
    engine.state.tables().running += 1;
    let running = Running {
        engine: Arc::clone(engine),
        _slot: slot,
    };
    let prefill_guard = engine.prefill.lock().await;
    let blocks = engine.state.tables().cache.cached_prefix(&chain.blocks);
    let cached = chain.tokens_of(blocks);
    let uncached = u64::from(chain.tokens - cached);
    let micros = uncached * engine.state.settings.prefill_micros_per_token;
    if micros > 0 {
        Timer::after(Duration::from_micros(micros)).await;
    }
    let now = engine.state.clock.now();
    engine.state.store(&chain, now);
    drop(prefill_guard);
    drop(waiting);
    (running, cached)
}

fn stream(engine: Arc<Engine>, conn: Conn, run: Run) -> Conn {
    let (sender, body) = body_channel();
    smol::spawn(run_stream(engine, run, sender)).detach();
    conn.with_status(Status::Ok)
        .with_response_header(KnownHeaderName::ContentType, "text/event-stream")
        .with_body(Body::new_streaming(body, None))
        .halt()
}

async fn run_stream(engine: Arc<Engine>, run: Run, sender: Sender<BodyChunk>) {
    let generate = async {
        let opened = sender.send(BodyChunk::Bytes(opening_comment())).await;
        opened.ok()?;
        let (_running, _cached) = prefill(&engine, &run).await;
        for position in run.from..run.tokens {
            wait_for_token(&engine, &run, position).await;
            let mut chunk = Vec::new();
            let data = piece(&run, position).to_string();
            write_event(&mut chunk, &position.to_string(), &data);
            sender.send(BodyChunk::Bytes(chunk)).await.ok()?;
        }
        let mut chunk = Vec::new();
        write_event(&mut chunk, &run.tokens.to_string(), DONE);
        sender.send(BodyChunk::Bytes(chunk)).await.ok()
    };
    let closed = async {
        sender.closed().await;
        None
    };
    let caller_gone = futures_lite::future::or(closed, send_keep_alives(&sender));
    let outcome = futures_lite::future::or(generate, caller_gone).await;
    let mut tables = engine.state.tables();
    let record = tables.runs.entry(run.id.clone()).or_default();
    match outcome {
        Some(()) => record.completed += 1,
        None => record.cancelled += 1,
    }
}

/// Sends keep-alive comments until the caller has closed the connection. A closed
/// connection is detected only by writing to it.
async fn send_keep_alives(sender: &Sender<BodyChunk>) -> Option<()> {
    loop {
        Timer::after(KEEP_ALIVE_PERIOD).await;
        let comment = BodyChunk::Bytes(KEEP_ALIVE.to_vec());
        if sender.send(comment).await.is_err() {
            return None;
        }
    }
}

async fn wait_for_token(engine: &Engine, run: &Run, position: u64) {
    if let Some(hold) = &run.hold {
        let _ = hold.recv().await;
    } else if position > run.from && engine.state.settings.decode_ms > 0 {
        Timer::after(Duration::from_millis(engine.state.settings.decode_ms)).await;
    }
}

async fn respond_complete(engine: Arc<Engine>, conn: Conn, run: Run) -> Conn {
    let (running, cached) = prefill(&engine, &run).await;
    for position in 0..run.tokens {
        wait_for_token(&engine, &run, position).await;
    }
    drop(running);
    let text: String = (0..run.tokens)
        .map(|position| token_text(&run, position))
        .collect();
    let choice = if run.chat {
        json!({"index": 0, "message": {"role": "assistant", "content": text}, "finish_reason": "stop"})
    } else {
        json!({"index": 0, "text": text, "finish_reason": "stop"})
    };
    let usage = json!({"prompt_tokens_details": {"cached_tokens": cached}});
    let answer =
        json!({"id": run.id, "object": "chat.completion", "choices": [choice], "usage": usage});
    let mut tables = engine.state.tables();
    tables.runs.entry(run.id.clone()).or_default().completed += 1;
    drop(tables);
    conn.with_response_header(KnownHeaderName::ContentType, "application/json")
        .ok(answer.to_string())
}
