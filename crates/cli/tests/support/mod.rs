//! Starts the system as separate processes on loopback, with ports from the
//! kernel, and ends exactly those processes again.
#![allow(dead_code)]

use ploverlift_lab::http_call::{call, client, WholeAnswer};
use ploverlift_policy::ids::ZoneName;
use ploverlift_policy::labels::Labels;
use ploverlift_policy::objects::{Kind, MachineRole, MachineSpec, MachineState, Object};
use ploverlift_policy::snapshot::hash_key;
use serde_json::{json, Value};
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};

pub const KEY: &str = "counter-key";
pub const MODEL: &str = "fixit-model";

/// A process that printed its addresses as one line of JSON.
pub struct Process {
    child: Child,
    pub line: Value,
}

impl Process {
    fn start(command: &mut Command) -> Self {
        let mut child = command
            .stdout(Stdio::piped())
            .stderr(Stdio::null())
            .spawn()
            .expect("process starts");
        let output = child.stdout.take().expect("output is piped");
        let mut text = String::new();
        BufReader::new(output).read_line(&mut text).expect("line");
        let line = serde_json::from_str(&text).expect("the line is JSON");
        Self { child, line }
    }

    pub fn address(&self, name: &str) -> SocketAddr {
        let text = self.line[name].as_str().expect("the address is printed");
        text.parse().expect("the address fits")
    }

    pub fn kill(&mut self) {
        self.child.kill().expect("own process can be killed");
        self.child.wait().expect("own process can be waited for");
    }

    pub fn signal(&self, signal: &str) {
        let status = Command::new("kill")
            .arg(format!("-{signal}"))
            .arg(self.child.id().to_string())
            .status();
        assert!(status.expect("kill runs").success());
    }

    pub fn wait_for_exit(&mut self) -> Option<i32> {
        self.child
            .wait()
            .expect("own process can be waited for")
            .code()
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

fn lab_binary() -> PathBuf {
    let node = PathBuf::from(env!("CARGO_BIN_EXE_ploverlift"));
    node.with_file_name("ploverlift-lab")
}

pub fn start_platform() -> Process {
    Process::start(Command::new(lab_binary()).arg("platform"))
}

pub fn start_engine(name: &str, listen: &str, decode_ms: u64) -> Process {
    let mut command = Command::new(lab_binary());
    command.args(["engine", "--name", name, "--model", MODEL]);
    command.args(["--listen", listen, "--decode-ms", &decode_ms.to_string()]);
    Process::start(&mut command)
}

/// Writes a separate settings file for a node and starts the node.
pub fn start_node(name: &str, zone: &str, platform: SocketAddr, seeds: &[SocketAddr]) -> Process {
    start_node_with(name, zone, Some(platform), seeds, "")
}

pub fn start_node_with(
    name: &str,
    zone: &str,
    platform: Option<SocketAddr>,
    seeds: &[SocketAddr],
    more: &str,
) -> Process {
    let directory = PathBuf::from(env!("CARGO_TARGET_TMPDIR"));
    let unique = format!("{name}-{}-{}.toml", std::process::id(), unique_number());
    let file = directory.join(unique);
    let seeds: Vec<String> = seeds.iter().map(SocketAddr::to_string).collect();
    let platform = platform.map_or(String::new(), |platform| {
        format!("[platform]\naddress = \"{platform}\"\n")
    });
    let text = format!(
        "[node]\nname = \"{name}\"\nzone = \"{zone}\"\n\
         [listen]\ncallers = \"127.0.0.1:0\"\noperators = \"127.0.0.1:0\"\n\
         cluster = \"127.0.0.1:0\"\n{platform}[cluster]\nseeds = {seeds:?}\n{more}"
    );
    std::fs::write(&file, text).expect("settings can be written");
    let mut command = Command::new(env!("CARGO_BIN_EXE_ploverlift"));
    Process::start(command.arg("serve").arg("--settings").arg(&file))
}

fn unique_number() -> usize {
    use std::sync::atomic::{AtomicUsize, Ordering};
    static NEXT: AtomicUsize = AtomicUsize::new(0);
    NEXT.fetch_add(1, Ordering::Relaxed)
}

/// The objects of a small site: one pool, one tenant, routes.
pub fn site_objects() -> Vec<Object> {
    let pool = json!({"model": MODEL, "selector": {"matchLabels": {"pool": "fixit"}}});
    let tenant = json!({"keyHashes": [hash_key(KEY)]});
    let route = json!({"pool": "fixit", "engineSelector": {"matchLabels": {"tier": "fast"}}});
    vec![
        Object::new(Kind::Pool, "fixit", Labels::default(), pool),
        Object::new(Kind::Tenant, "counter", Labels::default(), tenant),
        Object::new(Kind::Route, "fixit", Labels::default(), route),
    ]
}

pub fn machine(name: &str, address: SocketAddr, tier: &str) -> Object {
    let spec = MachineSpec {
        role: MachineRole::Engine,
        address: address.to_string(),
        zone: ZoneName::from("nadi-hall"),
        state: MachineState::Live,
    };
    let labels = Labels::from_pairs([("pool", "fixit"), ("tier", tier)]);
    Object::new(Kind::Machine, name, labels, spec)
}

/// Stores an object at the platform and returns its version.
pub fn put(platform: SocketAddr, object: &Object) -> u64 {
    let (plural, name) = (object.kind.plural(), &object.metadata.name);
    let url = format!("http://{platform}/apis/ploverlift.io/v1/{plural}/{name}");
    let body = serde_json::to_string(object).expect("object serializes");
    let answer = smol::block_on(call(client().put(url).with_body(body))).expect("stored");
    assert_eq!(answer.status, 200, "{}", answer.text);
    let stored: Object = serde_json::from_str(&answer.text).expect("object");
    stored.metadata.resource_version.0
}

pub fn get(address: SocketAddr, path: &str) -> WholeAnswer {
    smol::block_on(call(client().get(format!("http://{address}{path}")))).expect("answer")
}

pub fn post(address: SocketAddr, path: &str, body: &str) -> WholeAnswer {
    let conn = client().post(format!("http://{address}{path}"));
    smol::block_on(call(conn.with_body(body.to_owned()))).expect("answer")
}

/// Waits until a node has the configuration and `engines` engines are ready.
pub fn wait_ready(node: &Process, configuration: u64, engines: usize) {
    let operators = node.address("operators");
    get(operators, &format!("/wait/configuration/{configuration}"));
    get(operators, &format!("/wait/engines/{engines}"));
}

/// A chat request as callers send it.
pub fn chat(node: SocketAddr, id: &str, more: Value) -> trillium_client::Conn {
    let mut body = json!({"model": MODEL, "messages": [{"role": "user", "content": "no sound"}]});
    let fields = body.as_object_mut().expect("an object");
    for (key, value) in more.as_object().expect("an object") {
        fields.insert(key.clone(), value.clone());
    }
    client()
        .post(format!("http://{node}/v1/chat/completions"))
        .with_request_header("authorization", format!("Bearer {KEY}"))
        .with_request_header("x-request-id", id.to_owned())
        .with_body(body.to_string())
}
