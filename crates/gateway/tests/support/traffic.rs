//! Callers that send requests at a constant rate to each node, and the outcomes.

use super::caller::{self, prompt};
use super::site;
use ploverlift_gateway::time::sleep;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Duration of the timers whose delay is measured, in milliseconds.
const TIMER_MS: u64 = 5;

/// Outcome of one request.
#[derive(Clone, Debug)]
pub struct Asked {
    pub id: String,
    /// Index of the node that the request was sent to.
    pub node: usize,
    pub at: Instant,
    pub status: u16,
    pub took: Duration,
    /// Whether the answer announces that its engine leaves.
    pub says_leaving: bool,
    /// The retry-after time in the answer, in milliseconds.
    pub retry_after_ms: Option<u64>,
}

/// Callers that send requests until this is dropped.
pub struct Traffic {
    asked: Arc<Mutex<Vec<Asked>>>,
    latest_timer: Arc<Mutex<Duration>>,
    _timer: smol::Task<()>,
    _callers: Vec<smol::Task<()>>,
}

impl Traffic {
    /// Sends one request to each node every `period_ms`, regardless of earlier requests that
    /// are still open.
    pub fn start(nodes: impl Iterator<Item = SocketAddr>, period_ms: u64) -> Self {
        let asked = Arc::new(Mutex::new(Vec::new()));
        let callers = nodes.enumerate();
        let callers = callers.map(|(number, node)| {
            let asked = Arc::clone(&asked);
            smol::spawn(ask(number, node, period_ms, asked))
        });
        let latest_timer = Arc::new(Mutex::new(Duration::ZERO));
        Self {
            _callers: callers.collect(),
            asked,
            _timer: smol::spawn(watch_timers(Arc::clone(&latest_timer))),
            latest_timer,
        }
    }

    /// Maximum delay of a timer of this process. A busy machine adds this delay to the time of
    /// an answer, at its caller and at each node.
    pub fn latest_timer(&self) -> Duration {
        *self.latest_timer.lock().expect("timer")
    }

    /// Requests answered so far, in the order of their answers.
    pub fn asked(&self) -> Vec<Asked> {
        self.asked.lock().expect("asked").clone()
    }
}

async fn ask(node: usize, address: SocketAddr, period_ms: u64, asked: Arc<Mutex<Vec<Asked>>>) {
    // Open requests are cancelled when this task is dropped.
    let mut open: Vec<smol::Task<()>> = Vec::new();
    for number in 0_u64.. {
        let id = format!("{node}-{number}");
        let asked = Arc::clone(&asked);
        let mut request = prompt("stream.test", &id);
        // Prompts with different parts are assigned to different engines.
        let parts = fastrand::u32(..).to_string();
        request
            .head
            .headers
            .try_set(site::PARTS, parts)
            .expect("a value");
        open.retain(|request| !request.is_finished());
        open.push(smol::spawn(async move {
            let at = Instant::now();
            let answer = caller::send(address, &request).await;
            let headers = &answer.head.headers;
            let retry_after = headers.get("retry-after-ms");
            asked.lock().expect("asked").push(Asked {
                id,
                node,
                at,
                status: answer.status(),
                took: at.elapsed(),
                says_leaving: headers.get(site::LEAVING).is_some(),
                retry_after_ms: retry_after.map(|text| text.parse().expect("a time")),
            });
        }));
        sleep(period_ms).await;
    }
}

async fn watch_timers(latest: Arc<Mutex<Duration>>) {
    loop {
        let began = Instant::now();
        sleep(TIMER_MS).await;
        let late = began
            .elapsed()
            .saturating_sub(Duration::from_millis(TIMER_MS));
        let mut latest = latest.lock().expect("timer");
        *latest = late.max(*latest);
    }
}
