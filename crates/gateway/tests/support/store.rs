//! A simulated store: objects with revisions, watches, and faults that a test sets.

use ploverlift_gateway::callers::bind;
use ploverlift_http1::{read_request_head, BufferedStream, ResponseHead};
use serde_json::{json, Value};
use smol::net::{TcpListener, TcpStream};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Header with the number of times that the store was restored from a copy, plus one.
pub const STORE_ERA: &str = "t-era";

/// How the store answers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StoreFault {
    None,
    /// Reads calls and sends no answer.
    Silent,
    /// Refuses all calls with this status.
    Status(u16),
    /// Refuses calls for rollout orders.
    HidesOrders,
    /// Refuses calls for the register of stream sources.
    HidesSources,
    /// Does not know rollout orders as a kind of objects.
    LacksOrders,
    /// Carries out writes, and closes the connection without an answer.
    LosesWriteAnswers,
    /// Watches that are opened during the fault receive no events until their wait ends, even
    /// if the fault is over by then, and are then answered that their history is gone. Other
    /// calls are answered properly.
    DeafWatches,
    /// Like `DeafWatches`, and lists take `ms` milliseconds; they return the objects as of
    /// the arrival of the call.
    SlowLists {
        ms: u64,
    },
}

#[derive(Clone, Debug)]
struct Stored {
    kind: String,
    name: String,
    revision: u64,
    content: Value,
    status: Value,
    is_gone: bool,
}

/// Copy of the store's contents, to restore from.
#[derive(Clone)]
pub struct StoreCopy {
    revision: u64,
    objects: Vec<Stored>,
}

struct State {
    revision: u64,
    history_from: u64,
    /// Number of times that the store was restored from a copy, plus one; sent in all answers
    /// once a test has enabled it.
    era: u64,
    reports_era: bool,
    objects: Vec<Stored>,
    fault: StoreFault,
    calls: Vec<String>,
}

/// Addresses that one node reads instead of the stored ones, by stored address.
type ReplacedAddresses = Arc<HashMap<String, String>>;

/// The simulated store.
pub struct StandInStore {
    pub address: SocketAddr,
    state: Arc<Mutex<State>>,
    _task: smol::Task<()>,
}

/// The store as one node sees it: with other addresses of engines.
pub struct StoreView {
    pub address: SocketAddr,
    _task: smol::Task<()>,
}

impl StandInStore {
    pub async fn start() -> Self {
        let listener = bind(SocketAddr::from(([127, 0, 0, 1], 0))).expect("bind");
        let address = listener.local_addr().expect("address");
        let state = Arc::new(Mutex::new(State {
            revision: 0,
            history_from: 0,
            era: 1,
            reports_era: false,
            objects: Vec::new(),
            fault: StoreFault::None,
            calls: Vec::new(),
        }));
        let task = accept_calls(Arc::clone(&state), listener, ReplacedAddresses::default());
        Self {
            address,
            state,
            _task: task,
        }
    }

    /// A view of the store in which engines have these other addresses.
    pub fn view(&self, addresses: HashMap<SocketAddr, SocketAddr>) -> StoreView {
        let listener = bind(SocketAddr::from(([127, 0, 0, 1], 0))).expect("bind");
        let address = listener.local_addr().expect("address");
        let texts = addresses.into_iter();
        let texts = texts.map(|(stored, told)| (stored.to_string(), told.to_string()));
        let replaced = Arc::new(texts.collect());
        StoreView {
            address,
            _task: accept_calls(Arc::clone(&self.state), listener, replaced),
        }
    }

    pub fn put(&self, kind: &str, name: &str, content: Value) -> u64 {
        self.state.lock().expect("state").put(kind, name, content)
    }

    pub fn remove(&self, kind: &str, name: &str) {
        self.state.lock().expect("state").remove(kind, name);
    }

    /// Names of the objects of a kind.
    pub fn names(&self, kind: &str) -> Vec<String> {
        let state = self.state.lock().expect("state");
        let objects = state.objects.iter();
        let present = objects.filter(|known| known.kind == kind && !known.is_gone);
        present.map(|known| known.name.clone()).collect()
    }

    pub fn set_fault(&self, fault: StoreFault) {
        self.state.lock().expect("state").fault = fault;
    }

    /// Drops the history: watches from earlier revisions are answered that it is gone.
    pub fn forget_history(&self) {
        let mut state = self.state.lock().expect("state");
        state.revision += 1;
        state.history_from = state.revision;
    }

    /// Copies the current contents.
    pub fn copy(&self) -> StoreCopy {
        let state = self.state.lock().expect("state");
        StoreCopy {
            revision: state.revision,
            objects: state.objects.clone(),
        }
    }

    /// Restores the store from a copy: later writes are lost, and revisions go back.
    pub fn restore(&self, copy: &StoreCopy) {
        let mut state = self.state.lock().expect("state");
        state.revision = copy.revision;
        state.objects.clone_from(&copy.objects);
        state.era += 1;
    }

    /// Adds the era, which counts restorations from a copy, to all later answers.
    pub fn tell_era(&self) {
        self.state.lock().expect("state").reports_era = true;
    }

    pub fn content(&self, kind: &str, name: &str) -> Option<Value> {
        let state = self.state.lock().expect("state");
        let object = state.find(kind, name)?;
        Some(object.content.clone())
    }

    pub fn status(&self, kind: &str, name: &str) -> Option<Value> {
        let state = self.state.lock().expect("state");
        let object = state.find(kind, name)?;
        Some(object.status.clone()).filter(|status| !status.is_null())
    }

    /// Writes a status as a node would.
    pub fn set_status(&self, kind: &str, name: &str, status: Value) {
        let mut state = self.state.lock().expect("state");
        state.put_status(kind, name, &status);
    }

    /// All calls so far, as `operation kind`.
    pub fn all_calls(&self) -> Vec<String> {
        self.state.lock().expect("state").calls.clone()
    }

    /// Number of calls so far of an `operation kind`.
    pub fn calls(&self, call: &str) -> usize {
        let state = self.state.lock().expect("state");
        state.calls.iter().filter(|known| *known == call).count()
    }
}

impl State {
    fn put(&mut self, kind: &str, name: &str, content: Value) -> u64 {
        self.revision += 1;
        let status = self.find(kind, name).map(|known| known.status.clone());
        self.objects
            .retain(|known| known.kind != kind || known.name != name);
        self.objects.push(Stored {
            kind: kind.to_owned(),
            name: name.to_owned(),
            revision: self.revision,
            content,
            status: status.unwrap_or_default(),
            is_gone: false,
        });
        self.revision
    }

    fn put_status(&mut self, kind: &str, name: &str, status: &Value) {
        self.revision += 1;
        let revision = self.revision;
        for object in &mut self.objects {
            if object.kind == kind && object.name == name {
                object.status = status.clone();
                object.revision = revision;
            }
        }
    }

    fn remove(&mut self, kind: &str, name: &str) {
        self.revision += 1;
        let revision = self.revision;
        for object in &mut self.objects {
            if object.kind == kind && object.name == name {
                object.is_gone = true;
                object.revision = revision;
            }
        }
    }

    fn find(&self, kind: &str, name: &str) -> Option<&Stored> {
        let mut objects = self.objects.iter();
        objects.find(|known| known.kind == kind && known.name == name && !known.is_gone)
    }

    fn changes(&self, kind: &str, revision: u64) -> Vec<Value> {
        let newer = self.objects.iter();
        newer
            .filter(|known| known.kind == kind && known.revision > revision)
            .map(Stored::to_json)
            .collect()
    }

    fn answer(&mut self, call: &Value) -> (u16, Value) {
        let text = |key: &str| call[key].as_str().unwrap_or_default();
        let (kind, name) = (text("kind"), text("name"));
        match text("do") {
            "list" => {
                let objects = self.objects.iter();
                let present = objects.filter(|known| known.kind == kind && !known.is_gone);
                let objects: Vec<Value> = present.map(Stored::to_json).collect();
                (200, json!({"objects": objects, "revision": self.revision}))
            }
            "get" => match self.find(kind, name) {
                Some(object) => (200, object.to_json()),
                None => (404, Value::Null),
            },
            "delete" => {
                let known = self.find(kind, name).map(Stored::to_json);
                let required = call["revision"].as_u64();
                match known {
                    Some(known) if required.is_some_and(|it| known["revision"] != it) => {
                        return (409, known);
                    }
                    _ => {}
                }
                self.remove(kind, name);
                (200, Value::Null)
            }
            _ => {
                let present = self.find(kind, name).map(Stored::to_json);
                let known = self.find(kind, name).map_or(0, |object| object.revision);
                if call["revision"].as_u64() != Some(known) {
                    return (409, present.unwrap_or_default());
                }
                match call.get("status") {
                    Some(status) => self.put_status(kind, name, status),
                    None => {
                        self.put(kind, name, call["content"].clone());
                    }
                }
                let stored = self.find(kind, name).map(Stored::to_json);
                (200, stored.unwrap_or_default())
            }
        }
    }
}

impl Stored {
    fn to_json(&self) -> Value {
        json!({"name": self.name, "revision": self.revision,
               "content": self.content, "status": self.status, "gone": self.is_gone})
    }
}

fn accept_calls(
    state: Arc<Mutex<State>>,
    listener: TcpListener,
    replaced: ReplacedAddresses,
) -> smol::Task<()> {
    smol::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let serving = serve(Arc::clone(&state), stream, Arc::clone(&replaced));
            smol::spawn(serving).detach();
        }
    })
}

/// Replaces addresses anywhere in a value.
fn replace_addresses(value: &mut Value, replaced: &HashMap<String, String>) {
    match value {
        Value::String(text) => {
            if let Some(told) = replaced.get(text.as_str()) {
                text.clone_from(told);
            }
        }
        Value::Array(items) => {
            let each = items.iter_mut();
            each.for_each(|item| replace_addresses(item, replaced));
        }
        Value::Object(fields) => {
            let each = fields.values_mut();
            each.for_each(|field| replace_addresses(field, replaced));
        }
        _ => {}
    }
}

async fn serve(state: Arc<Mutex<State>>, stream: TcpStream, replaced: ReplacedAddresses) {
    let mut connection = BufferedStream::new(stream);
    while let Ok((_, mut decoder)) = read_request_head(&mut connection, 65_536).await {
        let mut body = Vec::new();
        while let Ok(true) = decoder.read(&mut connection, &mut body).await {}
        let call: Value = serde_json::from_slice(&body).expect("a call");
        let Some((status, mut value)) = answer(&state, &call).await else {
            if state.lock().expect("state").fault == StoreFault::Silent {
                std::future::pending::<()>().await;
            }
            return;
        };
        replace_addresses(&mut value, &replaced);
        let body = value.to_string();
        let mut head = ResponseHead::new(status);
        if let Some(era) = reported_era(&state) {
            head.headers.push(STORE_ERA, era);
        }
        head.headers.push("content-length", body.len());
        let mut message = head.encode();
        message.extend_from_slice(body.as_bytes());
        if connection.write_all(&message).await.is_err() {
            return;
        }
    }
}

fn reported_era(state: &Mutex<State>) -> Option<u64> {
    let state = state.lock().expect("state");
    state.reports_era.then_some(state.era)
}

async fn answer(state: &Arc<Mutex<State>>, call: &Value) -> Option<(u16, Value)> {
    let operation = call["do"].as_str().unwrap_or_default();
    let kind = call["kind"].as_str().unwrap_or_default();
    state
        .lock()
        .expect("state")
        .calls
        .push(format!("{operation} {kind}"));
    let wait_ms = call["wait_ms"].as_u64().unwrap_or(0);
    let until = Instant::now() + Duration::from_millis(wait_ms);
    let fault = state.lock().expect("state").fault;
    if let (StoreFault::SlowLists { ms }, "list") = (fault, operation) {
        let answer = state.lock().expect("state").answer(call);
        ploverlift_gateway::time::sleep(ms).await;
        return Some(answer);
    }
    let has_silent_watches = matches!(
        fault,
        StoreFault::DeafWatches | StoreFault::SlowLists { .. }
    );
    if operation == "watch" && has_silent_watches {
        ploverlift_gateway::time::sleep(wait_ms).await;
        return Some((410, Value::Null));
    }
    loop {
        {
            let mut state = state.lock().expect("state");
            match state.fault {
                StoreFault::Silent => return None,
                StoreFault::Status(status) => return Some((status, Value::Null)),
                StoreFault::HidesOrders if kind == "Rollouts" => {
                    return Some((503, Value::Null));
                }
                StoreFault::HidesSources if kind == "StreamSources" => {
                    return Some((503, Value::Null));
                }
                StoreFault::LacksOrders if kind == "Rollouts" => {
                    return Some((404, Value::Null));
                }
                StoreFault::LosesWriteAnswers if operation.starts_with("put") => {
                    state.answer(call);
                    return None;
                }
                _ => {}
            }
            if operation != "watch" {
                return Some(state.answer(call));
            }
            let revision = call["revision"].as_u64().unwrap_or(0);
            if revision < state.history_from || revision > state.revision {
                return Some((410, Value::Null));
            }
            let events = state.changes(kind, revision);
            if !events.is_empty() || Instant::now() >= until {
                let at = state.revision;
                return Some((200, json!({"events": events, "revision": at})));
            }
        }
        // Polls for changes whenever the executor schedules this task.
        smol::future::yield_now().await;
        ploverlift_gateway::time::sleep(2).await;
    }
}

/// Starts a simulated KV cache store that answers each call for events with this status.
pub async fn start_cache_store(status: u16) -> (SocketAddr, smol::Task<()>) {
    let listener = bind(SocketAddr::from(([127, 0, 0, 1], 0))).expect("bind");
    let address = listener.local_addr().expect("address");
    let task = smol::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let mut connection = BufferedStream::new(stream);
            while read_request_head(&mut connection, 4_096).await.is_ok() {
                let mut head = ResponseHead::new(status);
                head.headers.push("content-length", "0");
                if connection.write_all(&head.encode()).await.is_err() {
                    break;
                }
            }
        }
    });
    (address, task)
}
