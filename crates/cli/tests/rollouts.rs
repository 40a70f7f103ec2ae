//! Rollouts of engines' software with processes of the gateway, against a stand-in for
//! the platform's store and engines.

#[path = "../../../platform/tests/stand_in/mod.rs"]
mod stand_in;

use serde_json::{json, Value};
use stand_in::{call, configuration, Engine, Store};
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{self, JoinHandle};
use std::time::Duration;

const HOST: &str = "app.test";
const SERVICE: &str = "app";
const KIND: &str = "rollouts";
/// Maximum wait for the end of a rollout.
const ROLLOUT_TIMEOUT: Duration = Duration::from_secs(60);
/// Time after the end of a rollout within which requests in flight arrive.
const SETTLE_TIME: Duration = Duration::from_millis(500);
/// Threads that send requests to each node.
const CALLERS_PER_NODE: usize = 2;

/// A process of the gateway, with its log.
struct Gateway {
    name: String,
    child: Child,
    callers: SocketAddr,
    readiness: SocketAddr,
    lines: Arc<Mutex<Vec<Value>>>,
}

impl Gateway {
    fn start(name: &str, store: SocketAddr) -> Self {
        let text = format!(
            "[node]\nname = \"{name}\"\nzone = \"z\"\nis_first_start = true\n\
             [listen]\ncallers = \"127.0.0.1:0\"\nreadiness = \"127.0.0.1:0\"\n\
             peers = \"127.0.0.1:0\"\n[store]\naddress = \"{store}\"\n\
             [bounds]\ncanary_share = 0.6\ncanary_slack = 300\nlease_ms = 300\n"
        );
        let directory = PathBuf::from(env!("CARGO_TARGET_TMPDIR"));
        let file = directory.join(format!("rollout-{name}-{}.toml", store.port()));
        std::fs::write(&file, text).expect("settings are written");
        let mut child = Command::new(env!("CARGO_BIN_EXE_ploverlift"))
            .args(["gateway", "--settings"])
            .arg(&file)
            .stdout(Stdio::piped())
            .stderr(Stdio::null())
            .spawn()
            .expect("the gateway starts");
        let output = child.stdout.take().expect("output is piped");
        let mut output = BufReader::new(output);
        let started = loop {
            let mut line = String::new();
            assert!(output.read_line(&mut line).expect("a line") > 0, "it ended");
            let line: Value = serde_json::from_str(&line).expect("the line is JSON");
            if line["msg"] == json!("started") {
                break line;
            }
        };
        let address = |key: &str| {
            let text = started[key].as_str().expect("an address");
            text.parse().expect("it fits")
        };
        let lines = Arc::new(Mutex::new(Vec::new()));
        let collected = Arc::clone(&lines);
        thread::spawn(move || {
            for line in output.lines().map_while(Result::ok) {
                let line = serde_json::from_str(&line).unwrap_or_default();
                collected.lock().expect("lines").push(line);
            }
        });
        Self {
            name: name.to_owned(),
            child,
            callers: address("callers"),
            readiness: address("readiness"),
            lines,
        }
    }

    fn wait_until_ready(&self) {
        loop {
            let answer = call(self.readiness, "GET /readyz", &[], &[]);
            if answer.is_some_and(|answer| answer.status() == 200) {
                return;
            }
            thread::sleep(Duration::from_millis(20));
        }
    }

    /// The log without lines on requests.
    fn decisions(&self) -> String {
        let lines = self.lines.lock().expect("lines");
        let lines = lines.iter().filter(|line| line["msg"] != json!("request"));
        let lines: Vec<String> = lines.map(Value::to_string).collect();
        lines.join("\n")
    }

    /// The log lines on refused requests.
    fn refusals(&self) -> String {
        let lines = self.lines.lock().expect("lines");
        let lines = lines
            .iter()
            .filter(|line| line["outcome"] == json!("refused"));
        let lines: Vec<String> = lines.map(Value::to_string).collect();
        lines.join("\n")
    }

    fn has_logged(&self, message: &str, key: &str, value: &str) -> bool {
        let lines = self.lines.lock().expect("lines");
        let mut lines = lines.iter();
        lines.any(|line| line["msg"] == json!(message) && line[key] == json!(value))
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Sends requests until it is stopped.
struct Traffic {
    is_over: Arc<AtomicBool>,
    good: Arc<AtomicU64>,
    bad: Arc<AtomicU64>,
    threads: Vec<JoinHandle<()>>,
}

impl Traffic {
    fn start(gateways: &[Gateway]) -> Self {
        let mut traffic = Self {
            is_over: Arc::default(),
            good: Arc::default(),
            bad: Arc::default(),
            threads: Vec::new(),
        };
        for gateway in gateways {
            for caller in 0..CALLERS_PER_NODE {
                let (is_over, good) = (Arc::clone(&traffic.is_over), Arc::clone(&traffic.good));
                let bad = Arc::clone(&traffic.bad);
                let address = gateway.callers;
                let name = format!("{}-{caller}", gateway.name);
                traffic.threads.push(thread::spawn(move || {
                    let mut sent = 0;
                    while !is_over.load(Ordering::Relaxed) {
                        sent += 1;
                        let id = format!("{name}-{sent}");
                        let headers = [("Host", HOST), ("X-Request-Id", id.as_str())];
                        match call(address, "GET /x", &headers, &[]).map(|it| it.status()) {
                            Some(200) => good.fetch_add(1, Ordering::Relaxed),
                            // A killed process accepts no connection.
                            None => {
                                thread::sleep(Duration::from_millis(20));
                                continue;
                            }
                            Some(status) => {
                                eprintln!("request {id} was answered {status}");
                                bad.fetch_add(1, Ordering::Relaxed)
                            }
                        };
                    }
                }));
            }
        }
        traffic
    }

    /// Stops and returns the numbers of successful and of other answers.
    fn stop(self) -> (u64, u64) {
        self.is_over.store(true, Ordering::Relaxed);
        for thread in self.threads {
            thread.join().expect("a caller ends");
        }
        let (good, bad) = (self.good, self.bad);
        (good.load(Ordering::Relaxed), bad.load(Ordering::Relaxed))
    }
}

fn start_site(names: &[&str]) -> (Store, Vec<Engine>, Vec<Gateway>) {
    let store = Store::start();
    store.put("config", "main", configuration(HOST, SERVICE));
    let engines = ["old-1", "old-2"].map(|name| Engine::start(name, "v1", 1));
    for engine in &engines {
        engine.record(&store, SERVICE);
    }
    let gateways: Vec<Gateway> = names
        .iter()
        .map(|name| Gateway::start(name, store.address))
        .collect();
    gateways.iter().for_each(Gateway::wait_until_ready);
    (store, engines.into(), gateways)
}

fn order(store: &Store, engines: &[Engine], duration_s: f64) {
    let spec = json!({"service": SERVICE, "targetVersion": "v2", "durationS": duration_s});
    store.put(KIND, SERVICE, spec);
    for engine in engines {
        engine.record(store, SERVICE);
    }
}

fn arrivals(engines: &[Engine]) -> u64 {
    engines.iter().map(Engine::arrivals).sum()
}

#[test]
fn a_bad_version_is_rolled_back_by_processes_and_serves_nothing_afterwards() {
    let (store, _old, gateways) = start_site(&["a", "b", "c"]);
    let new = ["new-1", "new-2"].map(|name| Engine::start(name, "v2", 2));
    let traffic = Traffic::start(&gateways);
    order(&store, &new, 30.0);
    let is_over = |status: &Value| status["state"] == json!("rolled_back");
    let status = store.wait_for_status(KIND, SERVICE, ROLLOUT_TIMEOUT, is_over);
    assert_eq!(status["targetVersion"], json!("v2"));
    thread::sleep(SETTLE_TIME);
    let at_the_end = arrivals(&new);
    assert!(at_the_end > 0);
    thread::sleep(2 * SETTLE_TIME);
    assert_eq!(arrivals(&new), at_the_end);
    let (good, bad) = traffic.stop();
    assert!(good > 100);
    assert!(bad * 10 < good, "{bad} of {good}");
    for gateway in &gateways {
        let is_rolled_back = gateway.has_logged("rollout stage", "stage", "rolled_back");
        assert!(is_rolled_back, "{}", gateway.decisions());
    }
}

#[test]
fn a_rollout_whose_decider_is_killed_is_completed_by_another_process() {
    let (store, old, mut gateways) = start_site(&["a", "b", "c"]);
    let new = ["new-1", "new-2"].map(|name| Engine::start(name, "v2", 1));
    let traffic = Traffic::start(&gateways);
    order(&store, &new, 5.0);
    store.wait_for_status(KIND, SERVICE, ROLLOUT_TIMEOUT, |status| {
        status["state"] == json!("running")
    });
    let lease = store.spec("ploverlift-leases", "rollouts");
    let holder = lease["lease"]["holder"]
        .as_str()
        .expect("a holder")
        .to_owned();
    let index = gateways.iter().position(|gateway| gateway.name == holder);
    drop(gateways.remove(index.expect("one of the processes")));
    let is_over = |status: &Value| status["state"] == json!("completed");
    store.wait_for_status(KIND, SERVICE, ROLLOUT_TIMEOUT, is_over);
    let at_the_end = arrivals(&old);
    thread::sleep(2 * SETTLE_TIME);
    assert_eq!(arrivals(&old), at_the_end);
    let (good, bad) = traffic.stop();
    assert!(good > 100);
    let refusals: Vec<String> = gateways.iter().map(Gateway::refusals).collect();
    assert_eq!(bad, 0, "{}", refusals.join("\n"));
    let lease = store.spec("ploverlift-leases", "rollouts");
    assert!(lease["lease"]["fencingToken"].as_u64() >= Some(2));
}
