//! Measures the latency that a node adds: the paths caller→node→engine and
//! caller→engine are measured alternately in the same run.

use crate::http_call::client;
use futures_lite::AsyncReadExt;
use hdrhistogram::Histogram;
use ploverlift_node::callers::events::SseParser;
use ploverlift_node::engines::client::REQUEST_ID_HEADER;
use serde::Serialize;
use serde_json::json;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};
use trillium_http::transport::BoxedTransport;
use trillium_http::ReceivedBody;

/// Settings of a measurement.
#[derive(Clone, Debug)]
pub struct BenchSettings {
    /// Address of the node's listener for callers.
    pub node: SocketAddr,
    /// Address of an engine behind the node.
    pub engine: SocketAddr,
    /// Bearer key of a tenant.
    pub key: String,
    /// Model named in the requests.
    pub model: String,
    /// Streams that are open at the same time.
    pub streams: usize,
    /// Requests on each of the two paths.
    pub requests: usize,
    /// Bytes of the prompt.
    pub prompt_bytes: usize,
    /// Process id of the node, to measure its processor time and memory.
    pub pid: Option<u32>,
}

/// Times of one path, in milliseconds.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct PathTimes {
    /// Median.
    pub p50: f64,
    /// 99th percentile.
    pub p99: f64,
}

/// Results of a measurement.
#[derive(Clone, Debug, Serialize)]
pub struct BenchReport {
    /// Streams that were open at the same time.
    pub streams: usize,
    /// Requests on each path.
    pub requests: usize,
    /// Time to first token without the node.
    pub direct_ms: PathTimes,
    /// Time to first token through the node.
    pub through_node_ms: PathTimes,
    /// Difference of the two paths' median and 99th percentile.
    pub added_ms: PathTimes,
    /// Requests that failed.
    pub failed: usize,
    /// Processor time of the node per request, in milliseconds.
    pub node_cpu_ms_per_request: Option<f64>,
    /// Requests per second that one core of the node could serve at that processor time.
    pub requests_per_second_per_core: Option<f64>,
    /// Resident memory of the node per open stream, in kilobytes.
    pub memory_kb_per_stream: Option<f64>,
}

/// Highest time that is recorded, in microseconds.
const HIGHEST_MICROS: u64 = 60_000_000;
/// Tokens per answer while times are measured.
const ANSWER_TOKENS: u64 = 4;
/// Streams that are kept open to measure the memory per stream.
const MEMORY_STREAMS: usize = 1_000;
/// Tokens requested for a stream that is kept open.
const OPEN_STREAM_TOKENS: u64 = 1_000_000;
/// Clock ticks per second in `/proc/<pid>/stat`, fixed on Linux.
const TICKS_PER_SECOND: f64 = 100.0;

/// Runs the measurement.
pub async fn run(settings: BenchSettings) -> BenchReport {
    let settings = Arc::new(settings);
    let failed = Arc::new(AtomicUsize::new(0));
    // The warm-up opens files and fills caches; its results are discarded.
    let warm_up = settings.requests / 10 + 1;
    measure(&settings, true, warm_up, &failed).await;
    measure(&settings, false, warm_up, &failed).await;
    failed.store(0, Ordering::Relaxed);
    let mut direct = new_histogram();
    let mut via_node = new_histogram();
    let mut node_cpu = 0.0;
    for _ in 0..ROUNDS {
        let part = settings.requests / ROUNDS;
        direct
            .add(measure(&settings, false, part, &failed).await)
            .ok();
        let before = cpu_seconds(settings.pid);
        via_node
            .add(measure(&settings, true, part, &failed).await)
            .ok();
        node_cpu += cpu_seconds(settings.pid) - before;
    }
    let cpu_ms = settings
        .pid
        .map(|_| node_cpu * 1_000.0 / via_node.len().max(1) as f64);
    let memory = match settings.pid {
        Some(pid) => Some(memory_per_stream(&settings, pid).await),
        None => None,
    };
    let (direct_ms, through_node_ms) = (times(&direct), times(&via_node));
    BenchReport {
        streams: settings.streams,
        requests: via_node.len() as usize,
        direct_ms,
        through_node_ms,
        added_ms: PathTimes {
            p50: through_node_ms.p50 - direct_ms.p50,
            p99: through_node_ms.p99 - direct_ms.p99,
        },
        failed: failed.load(Ordering::Relaxed),
        node_cpu_ms_per_request: cpu_ms,
        requests_per_second_per_core: cpu_ms.map(|cpu_ms| 1_000.0 / cpu_ms),
        memory_kb_per_stream: memory,
    }
}

/// Number of alternations between the two paths.
const ROUNDS: usize = 5;

fn new_histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, HIGHEST_MICROS, 3).expect("the bounds fit")
}

fn times(histogram: &Histogram<u64>) -> PathTimes {
    let at = |share| histogram.value_at_quantile(share) as f64 / 1_000.0;
    PathTimes {
        p50: at(0.5),
        p99: at(0.99),
    }
}

/// Sends requests on one path with the configured number of concurrent streams.
async fn measure(
    settings: &Arc<BenchSettings>,
    via_node: bool,
    requests: usize,
    failed: &Arc<AtomicUsize>,
) -> Histogram<u64> {
    let next = Arc::new(AtomicUsize::new(0));
    let workers = (0..settings.streams.min(requests)).map(|_| {
        let (settings, next) = (Arc::clone(settings), Arc::clone(&next));
        let failed = Arc::clone(failed);
        smol::spawn(async move {
            let mut histogram = new_histogram();
            while next.fetch_add(1, Ordering::Relaxed) < requests {
                match first_token(&settings, via_node).await {
                    Some(time) => {
                        let _ = histogram.record(time.as_micros() as u64);
                    }
                    None => {
                        failed.fetch_add(1, Ordering::Relaxed);
                    }
                }
            }
            histogram
        })
    });
    let mut total = new_histogram();
    for worker in workers.collect::<Vec<_>>() {
        total.add(worker.await).ok();
    }
    total
}

fn request(
    settings: &BenchSettings,
    via_node: bool,
    tokens: u64,
    hold: bool,
) -> trillium_client::Conn {
    let address = if via_node {
        settings.node
    } else {
        settings.engine
    };
    let prompt = "x".repeat(settings.prompt_bytes);
    let body = json!({
        "model": settings.model,
        "stream": true,
        "max_tokens": tokens,
        "lab_hold": hold,
        "messages": [{"role": "user", "content": prompt}],
    });
    client()
        .post(format!("http://{address}/v1/chat/completions"))
        .with_request_header("authorization", format!("Bearer {}", settings.key))
        .with_request_header(REQUEST_ID_HEADER, format!("{:016x}", fastrand::u64(..)))
        .with_body(body.to_string())
}

/// Time from sending a request to its first token. The rest of the answer is read
/// but not timed. `None` when the request fails.
async fn first_token(settings: &BenchSettings, via_node: bool) -> Option<Duration> {
    let began = Instant::now();
    let conn = request(settings, via_node, ANSWER_TOKENS, false)
        .await
        .ok()?;
    let body: ReceivedBody<'static, BoxedTransport> = conn.into();
    let mut body = body.with_max_len(u64::MAX);
    let mut parser = SseParser::default();
    let mut buffer = [0; 4_096];
    let mut first = None;
    loop {
        let count = body.read(&mut buffer).await.ok()?;
        if count == 0 {
            return first;
        }
        let events = parser.push(&buffer[..count]).ok()?;
        if first.is_none() && !events.is_empty() {
            first = Some(began.elapsed());
        }
    }
}

/// Opens streams through the node, keeps them open and returns the growth of the
/// node's resident memory per stream, in kilobytes.
async fn memory_per_stream(settings: &BenchSettings, pid: u32) -> f64 {
    let before = resident_kb(pid);
    let mut open = Vec::new();
    for _ in 0..MEMORY_STREAMS {
        // The engine withholds the tokens, so the head of the response does not
        // arrive. The request is in progress as soon as it is sent.
        let conn = request(settings, true, OPEN_STREAM_TOKENS, true);
        open.push(smol::spawn(async move {
            let _held = conn.await;
            std::future::pending::<()>().await;
        }));
    }
    smol::Timer::after(Duration::from_secs(2)).await;
    let grown = resident_kb(pid) - before;
    for task in open {
        task.cancel().await;
    }
    grown / MEMORY_STREAMS as f64
}

fn cpu_seconds(pid: Option<u32>) -> f64 {
    let Some(pid) = pid else {
        return 0.0;
    };
    let stat = std::fs::read_to_string(format!("/proc/{pid}/stat")).unwrap_or_default();
    let after_name = stat.rsplit_once(')').map_or("", |(_, rest)| rest);
    let fields: Vec<&str> = after_name.split_whitespace().collect();
    let ticks = |position: usize| {
        fields
            .get(position)
            .and_then(|text| text.parse::<f64>().ok())
    };
    let user = ticks(USER_TIME_FIELD).unwrap_or(0.0);
    let system = ticks(SYSTEM_TIME_FIELD).unwrap_or(0.0);
    (user + system) / TICKS_PER_SECOND
}

/// Positions in `/proc/<pid>/stat` after the process's name.
const USER_TIME_FIELD: usize = 11;
const SYSTEM_TIME_FIELD: usize = 12;

fn resident_kb(pid: u32) -> f64 {
    let status = std::fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
    let line = status.lines().find(|line| line.starts_with("VmRSS:"));
    let number = line.and_then(|line| line.split_whitespace().nth(1));
    number.and_then(|text| text.parse().ok()).unwrap_or(0.0)
}
