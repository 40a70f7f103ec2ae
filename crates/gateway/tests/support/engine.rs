//! A stand-in engine whose behaviour a test sets, and that notes what it got.

use super::site;
use ploverlift_gateway::callers::bind;
use ploverlift_gateway::time::{sleep, within};
use ploverlift_http1::{read_request_head, BufferedStream, RequestHead, ResponseHead};
use serde_json::{json, Value};
use smol::net::{TcpListener, TcpStream};
use socket2::SockRef;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};

/// Wait after which a connection to a full accept queue is known not to come about, in
/// milliseconds.
const QUEUE_IS_FULL_MS: u64 = 60;

/// What the engine does with a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Behaviour {
    /// Answers whole.
    Answer,
    /// Says that it did not run it.
    Refuse,
    /// Says that it is another engine than the one that is meant.
    IsAnother,
    /// Runs it and fails.
    Fail,
    /// Resets the connection after the request was read.
    Reset,
    /// Says nothing until the caller is gone.
    Silent,
    /// Answers with another request's id.
    WrongId,
    /// Answers without its signature.
    Unsigned,
    /// Sends events from after the one that the caller has; breaks off inside
    /// the event with this number.
    BreakInside(u64),
    /// Answers before the body is read, and closes.
    RefuseEarly,
    /// Answers, and reads further requests on the same connection.
    KeepConnection,
    /// Answers, and closes when a second request comes on the same connection.
    ForgetConnection,
    /// Answers twice, and leaves the connection open.
    AnswerTwice,
    /// Answers; refuses requests for other weights without saying which it has.
    HidesWeights,
    /// Sends so many events, then says nothing until the caller is gone.
    FallSilentAfter(u64),
    /// Sends large events without end, until the caller is gone.
    Flood,
    /// Answers whole after so long, in milliseconds.
    AnswerAfter(u64),
    /// Sends so many events, one each 50 ms, and then the end.
    StreamSlowly(u64),
}

/// Events of a whole stream.
pub const EVENTS: u64 = 6;

#[derive(Default)]
struct Notes {
    heads: Vec<RequestHead>,
    bodies: Vec<Vec<u8>>,
    orders: Vec<Value>,
    /// Fencing tokens of the orders that were refused for them.
    refused_tokens: Vec<u64>,
    dropped: usize,
    /// Connections on which a request came.
    connections: usize,
}

struct Shared {
    behaviour: Mutex<Behaviour>,
    /// Events of its cache: salt, part, tokens kept from then on.
    cache_events: Mutex<Vec<(String, u64, u64)>>,
    weights: Mutex<u64>,
    /// Whether orders get an answer.
    answers_orders: Mutex<bool>,
    /// The lowest fencing token that it takes orders with.
    lowest_token: Mutex<u64>,
    notes: Mutex<Notes>,
    seen: async_channel::Sender<()>,
}

/// The engine.
pub struct StandInEngine {
    pub instance: String,
    pub service: String,
    /// The version of its software, as its record tells.
    pub software: String,
    pub address: SocketAddr,
    /// Told for each request that was read, and for each that was dropped.
    pub happened: async_channel::Receiver<()>,
    shared: Arc<Shared>,
    listener: Arc<TcpListener>,
    /// Connections that fill the accept queue of an engine without power.
    fillers: Vec<TcpStream>,
    accepting: Option<smol::Task<()>>,
}

impl StandInEngine {
    pub async fn start(instance: &str, service: &str, behaviour: Behaviour) -> Self {
        let listener = bind(SocketAddr::from(([127, 0, 0, 1], 0))).expect("bind");
        let listener = Arc::new(listener);
        let address = listener.local_addr().expect("address");
        let (seen, happened) = async_channel::unbounded();
        let shared = Arc::new(Shared {
            behaviour: Mutex::new(behaviour),
            cache_events: Mutex::default(),
            weights: Mutex::new(1),
            answers_orders: Mutex::new(true),
            lowest_token: Mutex::new(0),
            notes: Mutex::default(),
            seen,
        });
        let serving = Arc::clone(&shared);
        let accepted = Arc::clone(&listener);
        let accepting = smol::spawn(async move {
            while let Ok((stream, _)) = accepted.accept().await {
                smol::spawn(serve(Arc::clone(&serving), stream)).detach();
            }
        });
        Self {
            instance: instance.to_owned(),
            service: service.to_owned(),
            software: String::new(),
            address,
            happened,
            shared,
            listener,
            fillers: Vec::new(),
            accepting: Some(accepting),
        }
    }

    /// Its machine loses its power: nothing is reset, and connections are neither taken
    /// nor refused but time out. What came before stays open and silent.
    pub async fn lose_power(&mut self) {
        if let Some(accepting) = self.accepting.take() {
            accepting.cancel().await;
        }
        SockRef::from(&*self.listener).listen(0).expect("listen");
        let connect = || TcpStream::connect(self.address);
        while let Some(filler) = within(QUEUE_IS_FULL_MS, connect()).await {
            self.fillers.push(filler.expect("a connection"));
        }
    }

    /// The same with a version of its software.
    pub async fn of_software(instance: &str, service: &str, software: &str) -> Self {
        let engine = Self::start(instance, service, Behaviour::Answer).await;
        Self {
            software: software.to_owned(),
            ..engine
        }
    }

    /// Its entry in the catalogue.
    pub fn record(&self) -> Value {
        let weights = (self.service == "llm").then(|| self.weights());
        json!({"service": self.service, "address": self.address.to_string(), "weights": weights,
               "software": self.software})
    }

    pub fn set(&self, behaviour: Behaviour) {
        *self.shared.behaviour.lock().expect("behaviour") = behaviour;
    }

    pub fn set_weights(&self, version: u64) {
        *self.shared.weights.lock().expect("weights") = version;
    }

    pub fn weights(&self) -> u64 {
        *self.shared.weights.lock().expect("weights")
    }

    pub fn answer_orders(&self, answers: bool) {
        *self.shared.answers_orders.lock().expect("answers") = answers;
    }

    /// It has seen this fencing token, and takes no orders with lower ones.
    pub fn see_token(&self, token: u64) {
        *self.shared.lowest_token.lock().expect("token") = token;
    }

    /// Fencing tokens of the orders that it refused for them.
    pub fn refused_tokens(&self) -> Vec<u64> {
        let notes = self.shared.notes.lock().expect("notes");
        notes.refused_tokens.clone()
    }

    /// Its cache keeps so many tokens of a part from now on.
    pub fn keep(&self, salt: &str, part: u64, tokens: u64) {
        let event = (salt.to_owned(), part, tokens);
        self.shared.cache_events.lock().expect("events").push(event);
    }

    /// Heads of the requests that it read.
    pub fn heads(&self) -> Vec<RequestHead> {
        self.shared.notes.lock().expect("notes").heads.clone()
    }

    /// Requests that it read.
    pub fn arrivals(&self) -> usize {
        self.shared.notes.lock().expect("notes").heads.len()
    }

    pub fn bodies(&self) -> Vec<Vec<u8>> {
        self.shared.notes.lock().expect("notes").bodies.clone()
    }

    pub fn orders(&self) -> Vec<Value> {
        self.shared.notes.lock().expect("notes").orders.clone()
    }

    /// Connections on which requests came.
    pub fn connections(&self) -> usize {
        self.shared.notes.lock().expect("notes").connections
    }

    /// Requests whose connection was closed while it was silent.
    pub fn dropped(&self) -> usize {
        self.shared.notes.lock().expect("notes").dropped
    }
}

async fn serve(shared: Arc<Shared>, stream: TcpStream) {
    let mut connection = BufferedStream::new(stream);
    let mut requests = 0;
    while let Ok((head, mut decoder)) = read_request_head(&mut connection, 65_536).await {
        let behaviour = shared.behaviour.lock().expect("behaviour").clone();
        if *shared.behaviour.lock().expect("behaviour") == Behaviour::RefuseEarly {
            let mut refusal = ResponseHead::new(503);
            refusal.headers.push(site::NOT_RUN, "1");
            refusal.headers.push("content-length", "0");
            let _ = connection.write_all(&refusal.encode()).await;
            // The body is not read; the peer must not hang on writing it.
            while connection.fill().await.is_ok_and(|count| count > 0) {}
            return;
        }
        let mut body = Vec::new();
        while let Ok(true) = decoder.read(&mut connection, &mut body).await {}
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
            if tell_cache_events(&shared, &mut connection, since)
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
            shared.notes.lock().expect("notes").connections += 1;
        }
        note(&shared, &head, body);
        respond(&shared, &mut connection, &head).await;
        match behaviour {
            Behaviour::KeepConnection | Behaviour::ForgetConnection => {}
            Behaviour::AnswerTwice => respond(&shared, &mut connection, &head).await,
            _ => return,
        }
    }
}

fn note(shared: &Shared, head: &RequestHead, body: Vec<u8>) {
    let mut notes = shared.notes.lock().expect("notes");
    notes.heads.push(head.clone());
    notes.bodies.push(body);
    let _ = shared.seen.try_send(());
}

/// Tells the events after a position, when there are some.
async fn tell_cache_events(
    shared: &Shared,
    connection: &mut BufferedStream,
    since: usize,
) -> Option<()> {
    let events = loop {
        let events = shared.cache_events.lock().expect("events").clone();
        if events.len() > since || since == 0 {
            break events;
        }
        sleep(2).await;
    };
    let text = json!({"epoch": 1, "next": events.len(), "events": events[since..]}).to_string();
    let mut answer = ResponseHead::new(200);
    answer
        .headers
        .push("content-length", text.len().to_string());
    connection.write_all(&answer.encode()).await.ok()?;
    connection.write_all(text.as_bytes()).await.ok()
}

async fn control(
    shared: &Shared,
    connection: &mut BufferedStream,
    head: &RequestHead,
    body: &[u8],
) -> Option<()> {
    let orders = shared.notes.lock().expect("notes").orders.len() as u64;
    let mut answer = ResponseHead::new(200);
    let mut text = String::new();
    if head.path() == "/control/report" {
        let weights = *shared.weights.lock().expect("weights");
        text = json!({"weights": weights, "orders": orders}).to_string();
    } else {
        let order: Value = serde_json::from_slice(body).expect("an order");
        let token = order["token"].as_u64().unwrap_or(0);
        if token < *shared.lowest_token.lock().expect("token") {
            let mut notes = shared.notes.lock().expect("notes");
            notes.refused_tokens.push(token);
            answer.status = 412;
        } else if order["expected"].as_u64() != Some(orders) {
            answer.status = 409;
        } else {
            *shared.weights.lock().expect("weights") = order["version"].as_u64().unwrap_or(0);
            shared.notes.lock().expect("notes").orders.push(order);
            let _ = shared.seen.try_send(());
            if !*shared.answers_orders.lock().expect("answers") {
                return None;
            }
            answer.status = 202;
        }
    }
    answer
        .headers
        .push("content-length", text.len().to_string());
    let mut message = answer.encode();
    message.extend_from_slice(text.as_bytes());
    connection.write_all(&message).await.ok()
}

async fn respond(shared: &Shared, connection: &mut BufferedStream, request: &RequestHead) {
    let behaviour = shared.behaviour.lock().expect("behaviour").clone();
    let weights = *shared.weights.lock().expect("weights");
    let expected = request.headers.get(site::WEIGHTS);
    if expected.is_some_and(|expected| expected != weights.to_string()) {
        let mut head = ResponseHead::new(421);
        head.headers.push(site::NOT_RUN, "1");
        match behaviour {
            Behaviour::HidesWeights => {
                let instance = request.headers.get(site::INSTANCE).unwrap_or_default();
                head.headers.push(site::INSTANCE, instance);
            }
            _ => head.headers.push(site::WEIGHTS, weights.to_string()),
        }
        head.headers.push("content-length", "0");
        let _ = connection.write_all(&head.encode()).await;
        return;
    }
    let id = request.headers.get(site::ID).unwrap_or_default().to_owned();
    let mut head = ResponseHead::new(200);
    head.headers.push(site::ID, &id);
    match behaviour {
        Behaviour::Silent => {
            while connection.fill().await.is_ok_and(|count| count > 0) {}
            shared.notes.lock().expect("notes").dropped += 1;
            let _ = shared.seen.try_send(());
            return;
        }
        Behaviour::Reset => return,
        Behaviour::Refuse => {
            head.status = 503;
            head.headers.push(site::NOT_RUN, "1");
        }
        Behaviour::IsAnother => {
            head.status = 421;
            head.headers.push(site::NOT_RUN, "1");
            head.headers.push(site::INSTANCE, "another-1");
        }
        Behaviour::Fail => {
            head.status = 500;
            head.headers.push(site::SIGNED, "1");
        }
        Behaviour::WrongId => {
            head.headers.set(site::ID, "another");
            head.headers.push(site::SIGNED, "1");
        }
        Behaviour::Unsigned | Behaviour::RefuseEarly => {}
        Behaviour::Answer
        | Behaviour::KeepConnection
        | Behaviour::ForgetConnection
        | Behaviour::AnswerTwice
        | Behaviour::HidesWeights
        | Behaviour::FallSilentAfter(_)
        | Behaviour::Flood
        | Behaviour::AnswerAfter(_)
        | Behaviour::StreamSlowly(_)
        | Behaviour::BreakInside(_) => {
            head.headers.push(site::SIGNED, "1");
        }
    }
    let is_stream = request.headers.get(site::PARTS).is_some()
        || request.headers.get("host") == Some("x")
        || request.target.starts_with("/events");
    if is_stream && matches!(behaviour, Behaviour::FallSilentAfter(_) | Behaviour::Flood) {
        stream_until_dropped(connection, head, &behaviour).await;
        shared.notes.lock().expect("notes").dropped += 1;
        let _ = shared.seen.try_send(());
        return;
    }
    if let (true, Behaviour::StreamSlowly(events)) = (is_stream, &behaviour) {
        return stream_slowly(connection, head, *events).await;
    }
    if is_stream && head.status == 200 {
        let broken = match behaviour {
            Behaviour::BreakInside(event) => Some(event),
            _ => None,
        };
        return stream(connection, head, request, broken).await;
    }
    if let Behaviour::AnswerAfter(after_ms) = behaviour {
        sleep(after_ms).await;
    }
    let body = format!("answer to {id}");
    head.headers.push("content-length", body.len().to_string());
    let mut message = head.encode();
    message.extend_from_slice(body.as_bytes());
    let _ = connection.write_all(&message).await;
}

async fn stream(
    connection: &mut BufferedStream,
    mut head: ResponseHead,
    request: &RequestHead,
    broken: Option<u64>,
) {
    head.headers.push("transfer-encoding", "chunked");
    if connection.write_all(&head.encode()).await.is_err() {
        return;
    }
    let after = request.headers.get(site::AFTER);
    let first = after.and_then(|text| text.parse::<u64>().ok()).unwrap_or(0) + 1;
    for number in first..=EVENTS {
        let event = event(number);
        if broken == Some(number) {
            let half = &event[..event.len() / 2];
            let chunk = format!("{:x}\r\n{half}\r\n", half.len());
            let _ = connection.write_all(chunk.as_bytes()).await;
            return;
        }
        let chunk = format!("{:x}\r\n{event}\r\n", event.len());
        if connection.write_all(chunk.as_bytes()).await.is_err() {
            return;
        }
    }
    let _ = connection.write_all(b"0\r\n\r\n").await;
}

/// Sends so many events, one each 50 ms, and the end.
async fn stream_slowly(connection: &mut BufferedStream, mut head: ResponseHead, events: u64) {
    head.headers.push("transfer-encoding", "chunked");
    let mut message = head.encode();
    for number in 1..=events {
        let event = event(number);
        message.extend_from_slice(format!("{:x}\r\n{event}\r\n", event.len()).as_bytes());
        if connection.write_all(&message).await.is_err() {
            return;
        }
        message.clear();
        sleep(50).await;
    }
    let _ = connection.write_all(b"0\r\n\r\n").await;
}

/// Sends events and never an end; returns when the connection was closed.
async fn stream_until_dropped(
    connection: &mut BufferedStream,
    mut head: ResponseHead,
    behaviour: &Behaviour,
) {
    head.headers.push("transfer-encoding", "chunked");
    if connection.write_all(&head.encode()).await.is_err() {
        return;
    }
    let (events, filler) = match behaviour {
        Behaviour::FallSilentAfter(events) => (*events, 0),
        _ => (u64::MAX, 64 * 1024),
    };
    for number in 1..=events {
        let text = match filler {
            0 => event(number),
            filler => format!("id: {number}\ndata: {}\n\n", "x".repeat(filler)),
        };
        let chunk = format!("{:x}\r\n{text}\r\n", text.len());
        if connection.write_all(chunk.as_bytes()).await.is_err() {
            return;
        }
    }
    while connection.fill().await.is_ok_and(|count| count > 0) {}
}

/// One event as the engine sends it.
pub fn event(number: u64) -> String {
    format!("id: {number}\ndata: piece {number}\n\n")
}

/// All events of a stream.
pub fn all_events() -> String {
    (1..=EVENTS).map(event).collect()
}
