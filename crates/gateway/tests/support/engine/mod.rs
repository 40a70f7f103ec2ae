//! A simulated engine whose behaviour a test sets, and that records what it receives.

mod admission;
mod answers;
mod connection;
pub mod early_answers;
pub mod format;
pub mod killed;
pub mod listening;
mod pause;

pub use self::format::{AnswerFormat, LineEnding};
pub use self::pause::{Pause, PausePoint};

use self::admission::{admit, Admission};
use self::connection::serve;
use self::early_answers::EarlyAnswer;
use self::format::format_event;
use super::accept_queue::QueueFillers;
use super::site;
use event_listener::Event;
use ploverlift_gateway::callers::bind;
use ploverlift_http1::RequestHead;
use serde_json::{json, Value};
use smol::net::{TcpListener, TcpStream};
use smol::Executor;
use socket2::SockRef;
use std::future::Future;
use std::net::{Shutdown, SocketAddr};
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, Weak};
use std::time::{Duration, Instant};

/// How the engine handles a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Behaviour {
    /// Sends a complete answer.
    Answer,
    /// Answers that it did not run the request.
    Refuse,
    /// Answers that it is not the engine that the request is addressed to.
    IsAnother,
    /// Runs the request and fails.
    Fail,
    /// Runs the request and fails with this status.
    FailWith(u16),
    /// Answers with this status and a body of this number of bytes.
    AnswerLarge(u16, usize),
    /// Answers that another request was not run.
    RefuseAnother,
    /// Closes the connection after the second request on it; refuses requests on a new
    /// connection.
    CloseKeptThenRefuse,
    /// Resets the connection after the request was read.
    Reset,
    /// Sends nothing until the peer closes the connection.
    Silent,
    /// Answers with another request's id.
    WrongId,
    /// Answers without its signature.
    Unsigned,
    /// Sends the events after the last one that the caller has; closes the connection inside
    /// the event with this number.
    BreakInside(u64),
    /// Closes the connection after this number of bytes of the whole stream.
    CutAt(usize),
    /// Sends two events, nothing for this time, in milliseconds, and half of the third event; then
    /// closes the connection.
    BreakAfterPause(u64),
    /// Sends the head of an answer that is no stream, half of the body after this time, in
    /// milliseconds, and terminates.
    EndHalfwayAfter(u64),
    /// Like [`Self::BreakInside`], but resets the connection there.
    ResetInside(u64),
    /// Terminates after the event with this number, and after half of an answer that is not a
    /// stream.
    EndAfter(u64),
    /// Refuses the request before reading its body, and closes the connection.
    RefuseEarly,
    /// Answers before it has read the body of the request, and ends the connection at once.
    AnswerEarly(EarlyAnswer),
    /// Answers, and reads further requests on the same connection.
    KeepConnection,
    /// Answers, and closes the connection when a second request arrives on it.
    ForgetConnection,
    /// Answers twice, and leaves the connection open.
    AnswerTwice,
    /// Answers, and reads further requests on the same connection; sends the same answer again this
    /// time later, in milliseconds.
    AnswerTwiceAfter(u64),
    /// Answers; refuses requests for other weights without naming its own version.
    HidesWeights,
    /// Sends this number of events, then nothing until the peer closes the connection.
    FallSilentAfter(u64),
    /// Sends large events until the peer closes the connection.
    Flood,
    /// Sends a complete answer after this delay, in milliseconds.
    AnswerAfter(u64),
    /// Sends a complete answer after this number of milliseconds, and keeps the connection open.
    KeepConnectionAfter(u64),
    /// Answers after this delay, in milliseconds, that it did not run the request.
    RefuseAfter(u64),
    /// Runs the request for this time, in milliseconds, and fails.
    FailAfter(u64),
    /// Sends this number of events, one every 50 ms, and then the end of the stream.
    StreamSlowly(u64),
    /// Sends a complete answer with one pause in it.
    Pause(Pause),
    /// Sends a complete stream with a pause of this length, in milliseconds, before the third
    /// event and each later one.
    PauseOften(u64),
    /// Sends complete answers, but terminates `RUNS_BEFORE_END_MS` after it has begun a
    /// request with this body.
    EndsUnder(&'static [u8]),
    /// Sends complete answers after `ANSWERS_AFTER_MS`, but begins the answer to a request with
    /// one of these shared parts in its prompt `RUNS_BEFORE_END_MS` after it has begun to run
    /// it, and terminates after one event, also of a stream that is resumed.
    EndsUnderPart(&'static [u64]),
}

/// Time for which an engine runs a request before it terminates, in milliseconds.
pub const RUNS_BEFORE_END_MS: u64 = 20;
/// Time for which an engine runs a request beside which it may terminate, in milliseconds.
const ANSWERS_AFTER_MS: u64 = 250;

/// Number of events of a complete stream.
pub const EVENTS: u64 = 6;

#[derive(Default)]
struct RecordedCalls {
    heads: Vec<RequestHead>,
    bodies: Vec<Vec<u8>>,
    orders: Vec<Value>,
    /// When each order arrived.
    order_times: Vec<Instant>,
    /// Fencing tokens of the orders that were refused because the token was too low.
    refused_tokens: Vec<u64>,
    dropped: usize,
    /// Number of connections on which a request arrived.
    connections: usize,
    /// When each request was read.
    arrived: Vec<Instant>,
    /// Refusals that requested a backoff.
    backoffs: Vec<NamedBackoff>,
}

/// A refusal that requested a backoff.
#[derive(Clone, Debug)]
pub struct NamedBackoff {
    /// Id of the refused request.
    pub id: String,
    pub at: Instant,
    pub duration: Duration,
}

struct Shared {
    /// Id of the incarnation that runs.
    instance: String,
    /// Whether the process has been killed: it runs nothing.
    is_killed: AtomicBool,
    /// Connections that were accepted before are not served any more, and stay open.
    forgets_before: Mutex<Option<Instant>>,
    /// Number of liveness probes that were read.
    probes: AtomicUsize,
    /// Time until a liveness probe is answered, in milliseconds.
    probe_delay_ms: AtomicU64,
    behaviour: Mutex<Behaviour>,
    /// Format of complete answers and of streams that break off.
    format: Mutex<AnswerFormat>,
    /// Events of its cache: salt, part, number of tokens cached from then on.
    cache_events: Mutex<Vec<(String, u64, u64)>>,
    cache_changed: Event,
    weights: Mutex<u64>,
    /// Duration of a load of weights.
    load_time: Mutex<Duration>,
    loads_until: Mutex<Option<Instant>>,
    /// Whether orders are answered.
    answers_orders: Mutex<bool>,
    /// The lowest fencing token that is accepted in orders.
    lowest_token: Mutex<u64>,
    recorded: Mutex<RecordedCalls>,
    /// The rate limit in its answers.
    limit: Mutex<Option<String>>,
    /// The value of the leaving signal in its answers.
    leaving: Mutex<Option<String>>,
    /// The backoff that its refusals request, in milliseconds.
    backoff_ms: Mutex<Option<String>>,
    /// Number of terminations.
    ends: AtomicUsize,
    ended: Event,
    /// Notified once a terminated engine refuses new connections; its open ones end then.
    closed: Event,
    /// Notified when the engine closes its idle connections in order.
    idle_closed: Event,
    /// Notified when the engine closes the connections on which it runs requests.
    running_closed: Event,
    /// Number of connections that were accepted.
    accepted: AtomicUsize,
    admission: Admission,
    /// Runs its tasks on a thread of its own; `None` for the thread of all other tasks.
    executor: Option<Arc<Executor<'static>>>,
    seen: async_channel::Sender<()>,
}

/// The simulated engine.
pub struct StandInEngine {
    pub instance: String,
    pub service: String,
    /// The software version in its record.
    pub software: String,
    pub address: SocketAddr,
    /// Receives one message for each request that was read, and for each that was dropped.
    pub happened: async_channel::Receiver<()>,
    shared: Arc<Shared>,
    listener: Arc<TcpListener>,
    /// Connections that fill the accept queue while the engine has no power.
    queue_fillers: QueueFillers,
    accepting: Option<smol::Task<()>>,
    _ending: smol::Task<()>,
}

impl StandInEngine {
    pub async fn start(instance: &str, service: &str, behaviour: Behaviour) -> Self {
        Self::start_at(
            SocketAddr::from(([127, 0, 0, 1], 0)),
            instance,
            service,
            behaviour,
        )
        .await
    }

    /// Like [`Self::start`], on a thread of its own: what it does happens while a node writes, as
    /// with the process of a real engine.
    pub async fn start_on_thread(instance: &str, service: &str, behaviour: Behaviour) -> Self {
        let executor = Arc::new(Executor::new());
        let running = Arc::clone(&executor);
        std::thread::spawn(move || smol::block_on(running.run(std::future::pending::<()>())));
        let address = SocketAddr::from(([127, 0, 0, 1], 0));
        Self::start_with(address, instance, service, behaviour, Some(executor))
    }

    /// Like [`Self::start`], at this address.
    pub async fn start_at(
        address: SocketAddr,
        instance: &str,
        service: &str,
        behaviour: Behaviour,
    ) -> Self {
        Self::start_with(address, instance, service, behaviour, None)
    }

    fn start_with(
        address: SocketAddr,
        instance: &str,
        service: &str,
        behaviour: Behaviour,
        executor: Option<Arc<Executor<'static>>>,
    ) -> Self {
        let listener = Arc::new(bind(address).expect("bind"));
        let address = listener.local_addr().expect("address");
        let (seen, happened) = async_channel::unbounded();
        let shared = Arc::new(Shared {
            instance: instance.to_owned(),
            is_killed: AtomicBool::new(false),
            forgets_before: Mutex::default(),
            probes: AtomicUsize::new(0),
            probe_delay_ms: AtomicU64::new(0),
            behaviour: Mutex::new(behaviour),
            format: Mutex::default(),
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
            closed: Event::new(),
            idle_closed: Event::new(),
            running_closed: Event::new(),
            accepted: AtomicUsize::new(0),
            admission: Admission::default(),
            executor,
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
            queue_fillers: QueueFillers::default(),
            accepting: Some(accepting),
            _ending: ending,
        }
    }

    /// Terminates the engine: all connections are closed, and new ones are refused.
    pub async fn end(&self) {
        self.shared.end();
        while TcpStream::connect(self.address).await.is_ok() {}
    }

    /// Starts the engine again after it has terminated.
    pub fn start_again(&mut self) {
        let listener = bind(self.address).expect("bind");
        self.shared.is_killed.store(false, Ordering::Release);
        self.listener = Arc::new(listener);
        self.accepting = Some(accept(&self.shared, &self.listener));
        let listener = Arc::downgrade(&self.listener);
        let ending = close_when_ended(Arc::clone(&self.shared), listener);
        self._ending = smol::spawn(ending);
    }

    /// Number of terminations.
    pub fn ends(&self) -> usize {
        self.shared.ends.load(Ordering::Acquire)
    }

    /// Simulates a power loss of the engine's machine: no connection is reset, and new
    /// connections are neither accepted nor refused but time out. Connections in the accept
    /// queue stay open without an answer.
    pub async fn lose_power(&mut self) {
        if let Some(accepting) = self.accepting.take() {
            accepting.cancel().await;
        }
        self.queue_fillers = QueueFillers::fill(&self.listener).await;
    }

    /// Simulates the return of power: waiting connections are accepted.
    pub fn regain_power(&mut self) {
        self.queue_fillers.drain(&self.listener);
        self.accepting = Some(accept(&self.shared, &self.listener));
    }

    /// Like [`Self::start`], with a software version.
    pub async fn of_software(instance: &str, service: &str, software: &str) -> Self {
        let engine = Self::start(instance, service, Behaviour::Answer).await;
        Self {
            software: software.to_owned(),
            ..engine
        }
    }

    /// Its record in the store.
    pub fn record(&self) -> Value {
        let weights = (self.service == "llm").then(|| self.weights());
        json!({"service": self.service, "address": self.address.to_string(), "weights": weights,
               "software": self.software})
    }

    pub fn set(&self, behaviour: Behaviour) {
        *self.shared.behaviour.lock().expect("behaviour") = behaviour;
    }

    /// Sets the format of its answers.
    pub fn set_format(&self, format: AnswerFormat) {
        *self.shared.format.lock().expect("format") = format;
    }

    /// Sets the rate limit in its answers; `None` for no rate limit.
    pub fn name_limit(&self, limit: Option<&str>) {
        *self.shared.limit.lock().expect("limit") = limit.map(str::to_owned);
    }

    /// Sets the value of the leaving signal in its answers; `None` for no signal.
    pub fn name_leaving(&self, value: Option<&str>) {
        *self.shared.leaving.lock().expect("leaving") = value.map(str::to_owned);
    }

    /// Sets the backoff that its refusals request, in milliseconds; `None` for no backoff.
    pub fn name_backoff(&self, value: Option<&str>) {
        *self.shared.backoff_ms.lock().expect("backoff") = value.map(str::to_owned);
    }

    /// When each request was read.
    pub fn arrival_times(&self) -> Vec<Instant> {
        self.shared.recorded.lock().expect("calls").arrived.clone()
    }

    pub fn set_weights(&self, version: u64) {
        *self.shared.weights.lock().expect("weights") = version;
    }

    pub fn weights(&self) -> u64 {
        *self.shared.weights.lock().expect("weights")
    }

    /// Sets the duration of later loads of weights.
    pub fn set_load_time(&self, duration: Duration) {
        *self.shared.load_time.lock().expect("load time") = duration;
    }

    pub fn answer_orders(&self, answers: bool) {
        *self.shared.answers_orders.lock().expect("answers") = answers;
    }

    /// Sets the lowest fencing token that is accepted in orders.
    pub fn see_token(&self, token: u64) {
        *self.shared.lowest_token.lock().expect("token") = token;
    }

    /// Fencing tokens of the orders that were refused because the token was too low.
    pub fn refused_tokens(&self) -> Vec<u64> {
        let recorded = self.shared.recorded.lock().expect("calls");
        recorded.refused_tokens.clone()
    }

    /// Adds a cache event: the cache holds this number of tokens of a part from now on.
    pub fn keep(&self, salt: &str, part: u64, tokens: u64) {
        let event = (salt.to_owned(), part, tokens);
        self.shared.cache_events.lock().expect("events").push(event);
        self.shared.cache_changed.notify(usize::MAX);
    }

    /// Heads of the requests that were read.
    pub fn heads(&self) -> Vec<RequestHead> {
        self.shared.recorded.lock().expect("calls").heads.clone()
    }

    /// Its refusals that requested a backoff.
    pub fn backoffs(&self) -> Vec<NamedBackoff> {
        self.shared.recorded.lock().expect("calls").backoffs.clone()
    }

    /// Ids of the requests that were read.
    pub fn arrived_ids(&self) -> Vec<String> {
        let heads = self.heads();
        let ids = heads.iter().map(|head| head.headers.get(site::ID));
        ids.map(|id| id.unwrap_or_default().to_owned()).collect()
    }

    /// Number of requests that were read.
    pub fn arrivals(&self) -> usize {
        self.shared.recorded.lock().expect("calls").heads.len()
    }

    pub fn bodies(&self) -> Vec<Vec<u8>> {
        self.shared.recorded.lock().expect("calls").bodies.clone()
    }

    pub fn orders(&self) -> Vec<Value> {
        self.shared.recorded.lock().expect("calls").orders.clone()
    }

    /// When each order arrived.
    pub fn order_times(&self) -> Vec<Instant> {
        self.shared
            .recorded
            .lock()
            .expect("calls")
            .order_times
            .clone()
    }

    /// Number of connections on which requests arrived.
    pub fn connections(&self) -> usize {
        self.shared.recorded.lock().expect("calls").connections
    }

    /// Number of requests whose connection was closed while the engine sent nothing.
    pub fn dropped(&self) -> usize {
        self.shared.recorded.lock().expect("calls").dropped
    }
}

impl RecordedCalls {
    fn record_order(&mut self, order: Value) {
        self.orders.push(order);
        self.order_times.push(Instant::now());
    }
}

impl Shared {
    fn spawn(&self, task: impl Future<Output = ()> + Send + 'static) -> smol::Task<()> {
        match &self.executor {
            Some(executor) => executor.spawn(task),
            None => smol::spawn(task),
        }
    }

    fn begin_load(&self) {
        let until = Instant::now() + *self.load_time.lock().expect("load time");
        *self.loads_until.lock().expect("loads until") = Some(until);
    }

    fn is_loading(&self) -> bool {
        let until = *self.loads_until.lock().expect("loads until");
        until.is_some_and(|until| Instant::now() < until)
    }

    fn format(&self) -> AnswerFormat {
        *self.format.lock().expect("format")
    }

    fn end(&self) {
        self.is_killed.store(true, Ordering::Release);
        self.ends.fetch_add(1, Ordering::AcqRel);
        self.ended.notify(usize::MAX);
    }
}

/// Shuts the listener down when the engine terminates, so that new connections are refused, and
/// then closes the open connections.
async fn close_when_ended(shared: Arc<Shared>, listener: Weak<TcpListener>) {
    let mut ended = shared.ended.listen();
    loop {
        ended.await;
        ended = shared.ended.listen();
        // A weak reference: a dropped engine must not go on listening.
        let Some(listener) = listener.upgrade() else {
            return;
        };
        let _ = SockRef::from(&*listener).shutdown(Shutdown::Both);
        shared.closed.notify(usize::MAX);
    }
}

fn accept(shared: &Arc<Shared>, listener: &Arc<TcpListener>) -> smol::Task<()> {
    let (serving, accepted) = (Arc::clone(shared), Arc::clone(listener));
    shared.spawn(async move {
        loop {
            // Listened for before a connection exists: none may outlive a termination.
            let closed = serving.closed.listen();
            let Ok((stream, _)) = accepted.accept().await else {
                return;
            };
            serving.accepted.fetch_add(1, Ordering::AcqRel);
            let Some(admitted) = admit(&serving, &stream) else {
                continue;
            };
            let shared = Arc::clone(&serving);
            let served = async move {
                futures_lite::future::or(serve(shared, stream), closed).await;
                drop(admitted);
            };
            serving.spawn(served).detach();
        }
    })
}

/// An event as the engine sends it.
pub fn event(number: u64) -> String {
    format_event(number, LineEnding::LineFeed)
}

/// All events of a stream.
pub fn all_events() -> String {
    all_events_with(LineEnding::LineFeed)
}

/// All events of a stream whose lines end like this.
pub fn all_events_with(line_ending: LineEnding) -> String {
    let events = 1..=EVENTS;
    events
        .map(|number| format_event(number, line_ending))
        .collect()
}
