//! Drives one request's [`RequestMachine`]: performs its steps and reports
//! what came of them.
//!
//! The relay is a task of its own, so an answer goes on to be read, recorded
//! and accounted for in one place. It ends when the caller hangs up; dropping
//! the engine's answer then closes that connection and frees the engine's slot.

use crate::body_channel::{body_channel, BodyChunk, ChannelBody};
use crate::caller_request::{event_id, stream_opening, RequestHeaders};
use crate::engine_client::{state_without_answer, CallFailure, EngineAnswer, EngineCall};
use crate::reply::ErrorReply;
use crate::sse::{write_error_event, write_event, SseEvent, SseParser, DONE, KEEP_ALIVE};
use crate::state::{count, ChosenEngine, Node, RoutedRequest};
use async_channel::Sender;
use futures_lite::{future, AsyncReadExt};
use ploverlift_policy::admission::admit_by_deadline;
use ploverlift_policy::attempt::AttemptState;
use ploverlift_policy::fleet::EngineKey;
use ploverlift_policy::ids::Millis;
use ploverlift_policy::objects::RouteSpec;
use ploverlift_policy::request::{Event, RequestMachine, Step};
use serde_json::{Map, Value};
use smol::Timer;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::Duration;
use trillium::{Method, Status};

/// Pause of an engine after which the caller is sent a comment.
const KEEP_ALIVE_PERIOD: Duration = Duration::from_millis(1_000);
/// Size of one read from an engine, in bytes.
const READ_BYTES: usize = 16 * 1024;

/// What is sent to the back end.
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

/// A request that was admitted.
#[derive(Clone, Debug)]
pub struct RelayRequest {
    /// What the decision needs.
    pub routed: RoutedRequest,
    /// The caller's headers.
    pub headers: RequestHeaders,
    /// What is sent on.
    pub payload: Payload,
}

/// What the caller gets.
pub enum CallerAnswer {
    /// A whole answer.
    Whole {
        /// HTTP status.
        status: Status,
        /// Content type.
        content_type: String,
        /// Body.
        body: Vec<u8>,
    },
    /// A stream of server-sent events.
    Stream(ChannelBody),
    /// A refusal.
    Refused(ErrorReply),
}

/// Starts the relay and waits for the beginning of the answer. Dropping the
/// future ends the relay.
pub async fn answer(node: Arc<Node>, request: RelayRequest) -> CallerAnswer {
    let (start, started) = async_channel::bounded(1);
    let relay = Relay::new(Arc::clone(&node), request, start);
    smol::spawn(relay.run()).detach();
    let lost = || {
        let message = "the request was dropped inside the router";
        ErrorReply::rejected(Status::InternalServerError, "internal", message)
    };
    let answer = started.recv().await;
    answer.unwrap_or_else(|_| CallerAnswer::Refused(lost()))
}

struct Relay {
    node: Arc<Node>,
    request: RelayRequest,
    route: RouteSpec,
    machine: RequestMachine,
    start: Sender<CallerAnswer>,
    body: Option<Sender<BodyChunk>>,
    failed: Vec<EngineKey>,
    attempts: u32,
    deadline: Millis,
    delivered: Vec<String>,
}

/// Counts a request as under way at an engine until it is dropped.
struct InFlight {
    node: Arc<Node>,
    engine: EngineKey,
}

impl Drop for InFlight {
    fn drop(&mut self) {
        self.node.tables().fleet.record_done(self.engine);
    }
}

/// Why waiting for an engine ended.
enum Waited<T> {
    Ready(T),
    DeadlinePassed,
    CallerGone,
}

impl Relay {
    fn new(node: Arc<Node>, request: RelayRequest, start: Sender<CallerAnswer>) -> Self {
        let route = request.routed.snapshot.routes[request.routed.route]
            .spec
            .clone();
        let deadline = node.clock.now().plus(route.deadline_ms);
        let marked = request.headers.idempotency_key.is_some();
        let repeatable = route.repeatable && !marked && request.headers.resume.is_none();
        let mut machine = RequestMachine::new(repeatable, false, deadline);
        if let Some(point) = &request.headers.resume {
            machine = machine.resume_at(point.next_position);
        }
        Self {
            node,
            request,
            route,
            machine,
            start,
            body: None,
            failed: Vec::new(),
            attempts: 0,
            deadline,
            delivered: Vec::new(),
        }
    }

    async fn run(mut self) {
        let mut step = self.on(Event::Admitted);
        loop {
            step = match step {
                Step::Attempt { from } => self.attempt(from).await,
                Step::Claim => self.on(Event::ClaimHeld),
                Step::Finish => return self.finish().await,
                Step::Refuse(refusal) | Step::Abort(refusal) => {
                    return self.refuse(ErrorReply::from(refusal)).await
                }
                Step::Replay | Step::Wait | Step::Deliver | Step::Skip => return,
            };
        }
    }

    fn on(&mut self, event: Event) -> Step {
        let now = self.node.clock.now();
        let mut tables = self.node.tables();
        self.machine.on(event, &mut tables.retries, now)
    }

    async fn attempt(&mut self, from: u64) -> Step {
        self.attempts += 1;
        count(&self.node.counters.attempts);
        let Some(chosen) = self.choose() else {
            return self.on(Event::NoEngine);
        };
        let _in_flight = InFlight {
            node: Arc::clone(&self.node),
            engine: chosen.key,
        };
        let remaining = self.deadline.since(self.node.clock.now());
        if from == 0 {
            if let Err(come_back) = admit_by_deadline(chosen.expected_ms, remaining) {
                return self.on(Event::Overloaded(come_back));
            }
        }
        let sent = Arc::new(AtomicBool::new(false));
        let call = self.call(&chosen, from);
        let answer = self.wait(call.send(&sent), from > 0).await;
        match answer {
            Waited::Ready(Ok(answer)) => self.read(answer, &chosen).await,
            Waited::Ready(Err(failure)) => self.failed(&chosen, failure),
            Waited::DeadlinePassed => self.on(Event::DeadlinePassed(state_without_answer(&sent))),
            Waited::CallerGone => Step::Wait,
        }
    }

    fn choose(&self) -> Option<ChosenEngine> {
        match &self.request.headers.resume {
            Some(point) => self.node.choose_named(&self.request.routed, &point.engine),
            None => self
                .node
                .choose(&self.request.routed, self.attempts, &self.failed),
        }
    }

    fn call(&self, chosen: &ChosenEngine, from: u64) -> EngineCall {
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
        EngineCall {
            address: chosen.address,
            method,
            path,
            request_id: resume.map_or(own_id, |point| &point.request).clone(),
            content_type,
            body,
            resume_from: from,
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

    fn failed(&mut self, chosen: &ChosenEngine, failure: CallFailure) -> Step {
        slog::info!(self.node.log, "attempt failed";
            "request_id" => self.request.headers.id.as_str(),
            "engine" => chosen.name.as_str(),
            "state" => format!("{:?}", failure.state),
            "reason" => failure.reason);
        self.failed.push(chosen.key);
        self.on(Event::AttemptFailed(failure.state, failure.come_back))
    }

    async fn read(&mut self, answer: EngineAnswer, chosen: &ChosenEngine) -> Step {
        if answer.status.is_server_error() {
            self.failed.push(chosen.key);
            return self.on(Event::AttemptFailed(AttemptState::Answered, None));
        }
        self.on(Event::Head);
        let is_stream = answer.content_type.starts_with("text/event-stream");
        if is_stream {
            self.read_stream(answer, chosen).await
        } else {
            self.read_whole(answer, chosen).await
        }
    }

    async fn read_whole(&mut self, mut answer: EngineAnswer, chosen: &ChosenEngine) -> Step {
        match self.wait(answer.read_whole(), false).await {
            Waited::Ready(Ok(body)) => {
                let whole = CallerAnswer::Whole {
                    status: answer.status,
                    content_type: answer.content_type.clone(),
                    body,
                };
                let step = self.on(Event::Completed);
                let _ = self.start.send(whole).await;
                step
            }
            Waited::Ready(Err(_)) => self.broken(chosen),
            Waited::DeadlinePassed => self.on(Event::DeadlinePassed(AttemptState::Answered)),
            Waited::CallerGone => Step::Wait,
        }
    }

    async fn read_stream(&mut self, mut answer: EngineAnswer, chosen: &ChosenEngine) -> Step {
        let mut parser = SseParser::default();
        let mut buffer = vec![0; READ_BYTES];
        let mut position = None;
        loop {
            let begun = self.body.is_some();
            let read = async { answer.body.read(&mut buffer).await };
            let bytes = match self.wait(read, begun).await {
                Waited::Ready(Ok(bytes)) if bytes > 0 => bytes,
                Waited::Ready(_) => return self.broken(chosen),
                Waited::DeadlinePassed => {
                    return self.on(Event::DeadlinePassed(AttemptState::Answered))
                }
                Waited::CallerGone => return Step::Wait,
            };
            let Ok(events) = parser.push(&buffer[..bytes]) else {
                return self.broken(chosen);
            };
            if let Some(step) = self.deliver(events, &mut position, chosen).await {
                return step;
            }
        }
    }

    /// Hands on the events of one read as one chunk. Returns the next step
    /// when the stream of this attempt has ended.
    async fn deliver(
        &mut self,
        events: Vec<SseEvent>,
        position: &mut Option<u64>,
        chosen: &ChosenEngine,
    ) -> Option<Step> {
        let mut chunk = Vec::new();
        let mut ending = None;
        for event in events {
            if event.event.as_deref() == Some("error") {
                ending = Some(self.broken(chosen));
                break;
            }
            if event.data == DONE {
                let id = self.event_id(chosen, self.machine.next_position());
                write_event(&mut chunk, &id, DONE);
                ending = Some(self.on(Event::Completed));
                break;
            }
            let at = piece_position(&event, position, self.machine.next_position());
            match self.on(Event::Piece(at)) {
                Step::Deliver => {
                    let id = self.event_id(chosen, at);
                    write_event(&mut chunk, &id, &event.data);
                    self.delivered.push(event.data);
                }
                Step::Skip => {}
                step => {
                    ending = Some(step);
                    break;
                }
            }
        }
        if !chunk.is_empty() && !self.send(chunk).await {
            return Some(Step::Wait);
        }
        ending
    }

    fn event_id(&self, chosen: &ChosenEngine, position: u64) -> String {
        let resume = self.request.headers.resume.as_ref();
        let request = resume.map_or(&self.request.headers.id, |point| &point.request);
        event_id(request, &chosen.name, position)
    }

    fn broken(&mut self, chosen: &ChosenEngine) -> Step {
        slog::info!(self.node.log, "stream broke off";
            "request_id" => self.request.headers.id.as_str(),
            "engine" => chosen.name.as_str(),
            "position" => self.machine.next_position());
        self.failed.push(chosen.key);
        self.on(Event::StreamBroken)
    }

    /// Sends bytes to the caller; false when it has hung up.
    async fn send(&mut self, bytes: Vec<u8>) -> bool {
        if self.body.is_none() {
            let (sender, body) = body_channel();
            let opening = BodyChunk::Bytes(stream_opening());
            let opened = sender.send(opening).await.is_ok();
            let started = self.start.send(CallerAnswer::Stream(body)).await.is_ok();
            if !(opened && started) {
                return false;
            }
            self.body = Some(sender);
        }
        match &self.body {
            Some(sender) => sender.send(BodyChunk::Bytes(bytes)).await.is_ok(),
            None => false,
        }
    }

    /// Waits for an engine until the deadline for the first byte, unless the
    /// answer has `begun`, and until the caller hangs up.
    async fn wait<T>(&self, work: impl std::future::Future<Output = T>, begun: bool) -> Waited<T> {
        let ready = async { Waited::Ready(work.await) };
        let late = async {
            if begun {
                future::pending::<()>().await;
            }
            let remaining = self.deadline.since(self.node.clock.now());
            Timer::after(Duration::from_millis(remaining)).await;
            Waited::DeadlinePassed
        };
        let gone = async {
            match &self.body {
                Some(body) => keep_alive_until_gone(body).await,
                None => self.start.closed().await,
            }
            Waited::CallerGone
        };
        future::or(ready, future::or(late, gone)).await
    }

    async fn refuse(self, reply: ErrorReply) {
        slog::info!(self.node.log, "request refused";
            "request_id" => self.request.headers.id.as_str(),
            "reason" => reply.body.error.r#type,
            "run_state" => format!("{:?}", reply.body.run_state));
        let Some(body) = &self.body else {
            count(&self.node.counters.refused);
            let _ = self.start.send(CallerAnswer::Refused(reply)).await;
            return;
        };
        count(&self.node.counters.aborted);
        let mut chunk = Vec::new();
        write_error_event(&mut chunk, &reply.json());
        let _ = body.send(BodyChunk::Bytes(chunk)).await;
        let _ = body.send(BodyChunk::Broken).await;
    }

    async fn finish(self) {
        count(&self.node.counters.completed);
        self.node.counters.in_flight.load(Ordering::Relaxed);
        slog::debug!(self.node.log, "request completed";
            "request_id" => self.request.headers.id.as_str(),
            "pieces" => self.machine.next_position(),
            "attempts" => self.attempts);
    }
}

/// The position of a piece: the engine's own numbering where it has one.
fn piece_position(event: &SseEvent, last: &mut Option<u64>, next: u64) -> u64 {
    let numbered = event.id.as_deref().and_then(|id| id.parse::<u64>().ok());
    let counted = last.map_or(next, |last| last + 1);
    let position = numbered.unwrap_or(counted);
    *last = Some(position);
    position
}

async fn keep_alive_until_gone(body: &Sender<BodyChunk>) {
    let closed = async { body.closed().await };
    let comments = async {
        loop {
            Timer::after(KEEP_ALIVE_PERIOD).await;
            let comment = BodyChunk::Bytes(KEEP_ALIVE.to_vec());
            if body.send(comment).await.is_err() {
                return;
            }
        }
    };
    future::or(closed, comments).await;
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
