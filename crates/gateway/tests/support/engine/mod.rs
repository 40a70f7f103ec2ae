//! A stand-in engine whose behaviour a test sets, and that recorded what it got.

mod answers;
mod connection;

use self::connection::serve;
use super::site;
use event_listener::Event;
use ploverlift_gateway::callers::bind;
use ploverlift_gateway::time::within;
use ploverlift_http1::RequestHead;
use serde_json::{json, Value};
use smol::net::{TcpListener, TcpStream};
use socket2::SockRef;
use std::net::{Shutdown, SocketAddr};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, Weak};
use std::time::{Duration, Instant};

/// Wait after which a connection to a full accept queue is known not to come about, in
/// milliseconds.
const FULL_QUEUE_TIMEOUT_MS: u64 = 60;

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
    /// Runs it and fails with this status.
    FailWith(u16),
    /// Says that another request was not run.
    RefuseAnother,
    /// Reads a second request on a connection and closes; refuses on a new one.
    CloseKeptThenRefuse,
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
    /// Answers whole, but ends a moment after it has begun a request with this body.
    EndsUnder(&'static [u8]),
}

/// Time for which an engine runs a request under which it ends, in milliseconds.
pub const RUNS_BEFORE_END_MS: u64 = 20;

/// Events of a whole stream.
pub const EVENTS: u64 = 6;

#[derive(Default)]
struct RecordedCalls {
    heads: Vec<RequestHead>,
    bodies: Vec<Vec<u8>>,
    orders: Vec<Value>,
    /// When each of them came.
    order_times: Vec<Instant>,
    /// Fencing tokens of the orders that were refused for them.
    refused_tokens: Vec<u64>,
    dropped: usize,
    /// Connections on which a request came.
    connections: usize,
    /// When each request was read.
    arrived: Vec<Instant>,
    /// Refusals that named a time to back off.
    backoffs: Vec<NamedBackoff>,
}

/// A refusal that named a time to back off.
#[derive(Clone, Debug)]
pub struct NamedBackoff {
    /// The request that was refused.
    pub id: String,
    pub at: Instant,
    pub duration: Duration,
}

struct Shared {
    behaviour: Mutex<Behaviour>,
    /// Events of its cache: salt, part, tokens kept from then on.
    cache_events: Mutex<Vec<(String, u64, u64)>>,
    cache_changed: Event,
    weights: Mutex<u64>,
    /// Time that a load takes.
    load_time: Mutex<Duration>,
    loads_until: Mutex<Option<Instant>>,
    /// Whether orders get an answer.
    answers_orders: Mutex<bool>,
    /// The lowest fencing token that it takes orders with.
    lowest_token: Mutex<u64>,
    recorded: Mutex<RecordedCalls>,
    /// The rate limit that its answers name.
    limit: Mutex<Option<String>>,
    /// What its answers say of its leaving.
    leaving: Mutex<Option<String>>,
    /// The time to back off that its refusals name, in milliseconds.
    backoff_ms: Mutex<Option<String>>,
    /// How often it has ended; its connections end with it.
    ends: AtomicUsize,
    ended: Event,
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
    queue_fillers: Vec<TcpStream>,
    accepting: Option<smol::Task<()>>,
    _ending: smol::Task<()>,
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
            cache_changed: Event::new(),
            weights: Mutex::new(1),
            load_time: Mutex::default(),
            loads_until: Mutex::default(),
            answers_orders: Mutex::new(true),
            lowest_token: Mutex::new(0),
            recorded: Mutex::default(),
            limit: Mutex::default(),
            leaving: Mutex::default(),
            backoff_ms: Mutex::default(),
            ends: AtomicUsize::new(0),
            ended: Event::new(),
            seen,
        });
        let accepting = accept(&shared, &listener);
        let ending = smol::spawn(close_when_ended(
            Arc::clone(&shared),
            Arc::downgrade(&listener),
        ));
        Self {
            instance: instance.to_owned(),
            service: service.to_owned(),
            software: String::new(),
            address,
            happened,
            shared,
            listener,
            queue_fillers: Vec::new(),
            accepting: Some(accepting),
            _ending: ending,
        }
    }

    /// It ends: all connections are closed, and new ones are refused.
    pub async fn end(&self) {
        self.shared.end();
        while TcpStream::connect(self.address).await.is_ok() {}
    }

    /// It is back after it has ended.
    pub fn start_again(&mut self) {
        let listener = bind(self.address).expect("bind");
        self.listener = Arc::new(listener);
        self.accepting = Some(accept(&self.shared, &self.listener));
        let listener = Arc::downgrade(&self.listener);
        let ending = close_when_ended(Arc::clone(&self.shared), listener);
        self._ending = smol::spawn(ending);
    }

    /// How often it has ended.
    pub fn ends(&self) -> usize {
        self.shared.ends.load(Ordering::Acquire)
    }

    /// Its machine loses its power: nothing is reset, and connections are neither taken
    /// nor refused but time out. What came before stays open and silent.
    pub async fn lose_power(&mut self) {
        if let Some(accepting) = self.accepting.take() {
            accepting.cancel().await;
        }
        SockRef::from(&*self.listener).listen(0).expect("listen");
        let connect = || TcpStream::connect(self.address);
        while let Some(filler) = within(FULL_QUEUE_TIMEOUT_MS, connect()).await {
            self.queue_fillers.push(filler.expect("a connection"));
        }
    }

    /// Its machine has power again: connections that wait are taken.
    pub fn regain_power(&mut self) {
        SockRef::from(&*self.listener).listen(128).expect("listen");
        self.queue_fillers.clear();
        self.accepting = Some(accept(&self.shared, &self.listener));
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

    /// Its answers name this rate limit from now on, or none.
    pub fn name_limit(&self, limit: Option<&str>) {
        *self.shared.limit.lock().expect("limit") = limit.map(str::to_owned);
    }

    /// Its answers say this of its leaving from now on, or nothing.
    pub fn name_leaving(&self, value: Option<&str>) {
        *self.shared.leaving.lock().expect("leaving") = value.map(str::to_owned);
    }

    /// Its refusals name this time to back off from now on, in milliseconds, or none.
    pub fn name_backoff(&self, value: Option<&str>) {
        *self.shared.backoff_ms.lock().expect("backoff") = value.map(str::to_owned);
    }

    /// When each request was read.
    pub fn arrival_times(&self) -> Vec<Instant> {
        self.shared.recorded.lock().expect("notes").arrived.clone()
    }

    pub fn set_weights(&self, version: u64) {
        *self.shared.weights.lock().expect("weights") = version;
    }

    pub fn weights(&self) -> u64 {
        *self.shared.weights.lock().expect("weights")
    }

    /// It loads weights for so long from now on.
    pub fn set_load_time(&self, duration: Duration) {
        *self.shared.load_time.lock().expect("load time") = duration;
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
        let recorded = self.shared.recorded.lock().expect("notes");
        recorded.refused_tokens.clone()
    }

    /// Its cache keeps so many tokens of a part from now on.
    pub fn keep(&self, salt: &str, part: u64, tokens: u64) {
        let event = (salt.to_owned(), part, tokens);
        self.shared.cache_events.lock().expect("events").push(event);
        self.shared.cache_changed.notify(usize::MAX);
    }

    /// Heads of the requests that it read.
    pub fn heads(&self) -> Vec<RequestHead> {
        self.shared.recorded.lock().expect("notes").heads.clone()
    }

    /// Its refusals that named a time to back off.
    pub fn backoffs(&self) -> Vec<NamedBackoff> {
        self.shared.recorded.lock().expect("notes").backoffs.clone()
    }

    /// Ids of the requests that it read.
    pub fn arrived_ids(&self) -> Vec<String> {
        let heads = self.heads();
        let ids = heads.iter().map(|head| head.headers.get(site::ID));
        ids.map(|id| id.unwrap_or_default().to_owned()).collect()
    }

    /// Requests that it read.
    pub fn arrivals(&self) -> usize {
        self.shared.recorded.lock().expect("notes").heads.len()
    }

    pub fn bodies(&self) -> Vec<Vec<u8>> {
        self.shared.recorded.lock().expect("notes").bodies.clone()
    }

    pub fn orders(&self) -> Vec<Value> {
        self.shared.recorded.lock().expect("notes").orders.clone()
    }

    /// When each order came.
    pub fn order_times(&self) -> Vec<Instant> {
        self.shared
            .recorded
            .lock()
            .expect("notes")
            .order_times
            .clone()
    }

    /// Connections on which requests came.
    pub fn connections(&self) -> usize {
        self.shared.recorded.lock().expect("notes").connections
    }

    /// Requests whose connection was closed while it was silent.
    pub fn dropped(&self) -> usize {
        self.shared.recorded.lock().expect("notes").dropped
    }
}

impl RecordedCalls {
    fn record_order(&mut self, order: Value) {
        self.orders.push(order);
        self.order_times.push(Instant::now());
    }
}

impl Shared {
    fn begin_load(&self) {
        let until = Instant::now() + *self.load_time.lock().expect("load time");
        *self.loads_until.lock().expect("loads until") = Some(until);
    }

    fn is_loading(&self) -> bool {
        let until = *self.loads_until.lock().expect("loads until");
        until.is_some_and(|until| Instant::now() < until)
    }

    fn end(&self) {
        self.ends.fetch_add(1, Ordering::AcqRel);
        self.ended.notify(usize::MAX);
    }
}

/// Refuses new connections whenever the engine has ended.
async fn close_when_ended(shared: Arc<Shared>, listener: Weak<TcpListener>) {
    let mut ended = shared.ended.listen();
    loop {
        ended.await;
        ended = shared.ended.listen();
        // Not held here: an engine that is dropped listens no longer.
        let Some(listener) = listener.upgrade() else {
            return;
        };
        let _ = SockRef::from(&*listener).shutdown(Shutdown::Both);
    }
}

fn accept(shared: &Arc<Shared>, listener: &Arc<TcpListener>) -> smol::Task<()> {
    let (serving, accepted) = (Arc::clone(shared), Arc::clone(listener));
    smol::spawn(async move {
        while let Ok((stream, _)) = accepted.accept().await {
            let shared = Arc::clone(&serving);
            smol::spawn(async move {
                let ended = shared.ended.listen();
                futures_lite::future::or(serve(Arc::clone(&shared), stream), ended).await;
            })
            .detach();
        }
    })
}

/// One event as the engine sends it.
pub fn event(number: u64) -> String {
    format!("id: {number}\ndata: piece {number}\n\n")
}

/// All events of a stream.
pub fn all_events() -> String {
    (1..=EVENTS).map(event).collect()
}
