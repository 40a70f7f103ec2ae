//! A site of several nodes, with engines that end when they run a request with a certain part
//! in its prompt, and a load of requests of which no two are alike.

use crate::support::caller::{self, prompt, Request};
use crate::support::engine::{Behaviour, StandInEngine};
use crate::support::fleet::{start_engines, start_known_nodes};
use crate::support::store::StandInStore;
use crate::support::{configuration, site};
use ploverlift_gateway::assembly::RunningGateway;
use ploverlift_gateway::time::sleep;
use serde_json::json;
use std::time::{Duration, Instant};

/// A part that ends engines.
pub const HARMFUL: u64 = 666;
/// Another one.
pub const SECOND_HARMFUL: u64 = 777;
/// Engines that may end before the part is refused everywhere, and sends after that.
pub const MAX_SENT: usize = 5 + 3;
/// Least share of the other requests that is answered.
pub const MIN_SERVED: f64 = 0.9;
/// The part with which each prompt of the load begins, unless the harmful one does.
const COMMON: u64 = 1;
/// Time after which an ended engine is back.
const DOWN_TIME: Duration = Duration::from_millis(1_500);
/// Time between two requests of the load, in milliseconds.
const PERIOD_MS: u64 = 10;
/// One in this number of requests has the harmful part.
const HARMFUL_ONE_IN: usize = 10;

/// Where a part is in the prompt.
#[derive(Clone, Copy, Debug)]
pub enum Place {
    First,
    Middle,
    NextToLast,
    Last,
}

/// Nodes and the engines of one service.
pub struct Site {
    pub store: StandInStore,
    pub engines: Vec<StandInEngine>,
    pub nodes: Vec<RunningGateway>,
    /// When each engine ended that is not back yet.
    ended_at: Vec<Option<Instant>>,
    /// Number of times that each engine was started again.
    restarts: Vec<usize>,
}

/// A load of requests, some of them with a harmful part.
#[derive(Clone, Debug)]
pub struct Load {
    pub host: &'static str,
    pub place: Place,
    /// Harmful parts, taken in turn.
    pub harmful: Vec<u64>,
    pub duration_ms: u64,
}

/// The answers to a load.
#[derive(Clone, Debug, Default)]
pub struct Answers {
    pub sound: Vec<u16>,
    pub harmful: Vec<u16>,
}

impl Site {
    /// Starts the given number of engines, and no node.
    pub async fn new(engines: usize) -> Self {
        let store = StandInStore::start().await;
        let mut content = configuration(1);
        content["keys"] = json!({"key-a": "tenant-a", "key-b": "tenant-b"});
        store.put("Configuration", "main", content);
        let behaviour = Behaviour::EndsUnderPart(&[HARMFUL, SECOND_HARMFUL]);
        Self {
            engines: start_engines(&store, "llm", engines, behaviour).await,
            store,
            nodes: Vec::new(),
            ended_at: vec![None; engines],
            restarts: vec![0; engines],
        }
    }

    /// Starts nodes that report to each other.
    pub async fn start_nodes(&mut self, count: usize) {
        self.nodes = start_known_nodes(&self.store, count).await;
    }

    /// Sends the load to the nodes in turn; ended engines come back after a while.
    pub async fn send_load(&mut self, load: &Load) -> Answers {
        let began = Instant::now();
        let mut open = Vec::new();
        for number in 0.. {
            if began.elapsed() >= Duration::from_millis(load.duration_ms) {
                break;
            }
            let node = self.nodes[(number + number / HARMFUL_ONE_IN) % self.nodes.len()].callers;
            let harmful = load.harmful_part(number);
            let asked = load.request(number, harmful);
            let asking = smol::spawn(async move { caller::send(node, &asked).await.status() });
            open.push((harmful.is_some(), asking));
            self.restart_engines();
            sleep(PERIOD_MS).await;
        }
        let mut answers = Answers::default();
        for (is_harmful, asking) in open {
            let answer = asking.await;
            match is_harmful {
                true => answers.harmful.push(answer),
                false => answers.sound.push(answer),
            }
        }
        answers
    }

    /// Starts the engines again that ended `DOWN_TIME` ago.
    pub fn restart_engines(&mut self) {
        for (number, engine) in self.engines.iter_mut().enumerate() {
            if engine.ends() == self.restarts[number] {
                continue;
            }
            let ended_at = *self.ended_at[number].get_or_insert_with(Instant::now);
            if ended_at.elapsed() >= DOWN_TIME {
                engine.start_again();
                self.restarts[number] = engine.ends();
                self.ended_at[number] = None;
            }
        }
    }

    /// Number of requests with the part that engines received.
    pub fn arrived_with(&self, part: u64) -> usize {
        let heads = self.engines.iter().flat_map(StandInEngine::heads);
        let parts = heads.map(|head| head.headers.get(site::PROMPT).unwrap_or("").to_owned());
        let with_part = parts.filter(|parts| parts.split(',').any(|id| id.parse() == Ok(part)));
        with_part.count()
    }

    /// Number of requests that the nodes have withheld because engines ended.
    pub fn withheld(&self) -> u64 {
        let nodes = self.nodes.iter();
        let withheld = nodes.map(|node| node.gateway.metrics.withheld_requests.get());
        withheld.sum()
    }

    /// Number of requests and parts of prompts that a node refuses.
    pub fn refused(&self, node: usize) -> usize {
        self.nodes[node].gateway.beliefs().quarantine.refused()
    }
}

impl Load {
    fn harmful_part(&self, number: usize) -> Option<u64> {
        let is_harmful = number % HARMFUL_ONE_IN == 0 && !self.harmful.is_empty();
        is_harmful.then(|| self.harmful[number / HARMFUL_ONE_IN % self.harmful.len()])
    }

    fn request(&self, number: usize, harmful: Option<u64>) -> Request {
        let number = number as u64;
        let (manual, page, own) = (10 + number % 5, 100 + number % 40, 10_000 + number);
        let parts = match (harmful, self.place) {
            (None, _) => vec![COMMON, manual, page, own],
            (Some(part), Place::First) => vec![part, manual, page, own],
            (Some(part), Place::Middle) => vec![COMMON, part, page, own],
            (Some(part), Place::NextToLast) => vec![COMMON, manual, part, own],
            (Some(part), Place::Last) => vec![COMMON, manual, page, part],
        };
        prompt_of(self.host, &format!("r{number}"), &parts)
    }
}

impl Answers {
    /// Share of the requests without a harmful part that were answered.
    pub fn served(&self) -> f64 {
        let served = self.sound.iter().filter(|status| **status == 200).count();
        served as f64 / self.sound.len() as f64
    }
}

/// A request with these parts in its prompt and with a body of its own.
pub fn prompt_of(host: &str, id: &str, parts: &[u64]) -> Request {
    let mut request = prompt(host, id);
    let parts: Vec<String> = parts.iter().map(u64::to_string).collect();
    request
        .head
        .headers
        .try_set(site::PARTS, parts.join(","))
        .expect("a value");
    request.body = id.as_bytes().to_vec();
    request
}
