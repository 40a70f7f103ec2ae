//! The pages for operators match the program: they list every key of the settings with its
//! default, and only fields that the log lines of requests have.

mod support;

use ploverlift_gateway::assembly::start;
use ploverlift_gateway::settings::GatewaySettings;
use std::collections::{BTreeMap, BTreeSet};
use std::io;
use std::path::Path;
use std::sync::{Arc, Mutex};
use support::caller::{self, prompt, request};
use support::engine::{Behaviour, StandInEngine};
use support::store::StandInStore;
use support::{configuration, settings, site};

const CONFIGURATION: &str = include_str!("../../../docs/CONFIGURATION.md");
const OPERATIONS: &str = include_str!("../../../docs/OPERATIONS.md");
const ALL_ADDRESSES: &str = "[node]\nname = \"n\"\nzone = \"z\"\n[listen]\n\
    callers = \"127.0.0.1:1\"\nreadiness = \"127.0.0.1:2\"\nmetrics = \"127.0.0.1:3\"\n\
    peers = \"127.0.0.1:5\"\ntunnels = \"127.0.0.1:6\"\n\
    [store]\naddress = \"127.0.0.1:4\"\n";

/// The first two columns of the table under a heading.
fn table(page: &str, heading: &str) -> BTreeMap<String, String> {
    let section = page.split(heading).nth(1).expect("the heading");
    let rows = section.lines().skip_while(|line| !line.starts_with('|'));
    let rows = rows.take_while(|line| line.starts_with('|')).skip(2);
    rows.map(|row| {
        let mut cells = row
            .split('|')
            .skip(1)
            .map(|cell| cell.trim().trim_matches('`'));
        let key = cells.next().unwrap_or_default().to_owned();
        (key, cells.next().unwrap_or_default().to_owned())
    })
    .collect()
}

fn flatten(prefix: &str, value: &toml::Value, into: &mut BTreeMap<String, String>) {
    match value {
        toml::Value::Table(table) => {
            for (key, value) in table {
                let name = match prefix {
                    "" => key.clone(),
                    _ => format!("{prefix}.{key}"),
                };
                flatten(&name, value, into);
            }
        }
        toml::Value::String(text) => {
            into.insert(prefix.to_owned(), text.clone());
        }
        other => {
            into.insert(prefix.to_owned(), other.to_string());
        }
    }
}

#[test]
fn the_settings_page_lists_every_key_with_its_default() {
    let settings = GatewaySettings::parse(ALL_ADDRESSES, Path::new("t.toml")).expect("settings");
    let value = toml::Value::try_from(&settings).expect("a table");
    let mut keys = BTreeMap::new();
    flatten("", &value, &mut keys);
    let documented = table(CONFIGURATION, "## Gateway settings");
    for (key, default) in &keys {
        let documented_default = documented.get(key);
        let documented_default =
            documented_default.unwrap_or_else(|| panic!("'{key}' is not on the page"));
        let has_no_default = ["node.", "listen."]
            .iter()
            .any(|start| key.starts_with(start))
            || key == "store.address";
        assert!(
            has_no_default || documented_default == default,
            "'{key}': {documented_default}, not {default}"
        );
    }
    for key in documented.keys() {
        assert!(
            keys.contains_key(key),
            "the page lists '{key}', which is no setting"
        );
    }
}

/// Collects the log output.
#[derive(Clone, Default)]
struct Captured(Arc<Mutex<Vec<u8>>>);

impl io::Write for Captured {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.0.lock().expect("lines").extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

#[test]
fn request_log_lines_have_the_documented_fields() {
    let captured = Captured::default();
    let log = ploverlift_telemetry::json_logger_to(captured.clone(), slog::o!("node" => "n"));
    smol::block_on(async {
        let app = StandInEngine::start("app-1", "app", Behaviour::Answer).await;
        let llm = StandInEngine::start("llm-1", "llm", Behaviour::BreakInside(3)).await;
        let store = StandInStore::start().await;
        store.put("Configuration", "main", configuration(1));
        store.put("Engines", "app-1", app.record());
        store.put("Engines", "llm-1", llm.record());
        let node =
            start(settings(&store, "n", ""), Arc::new(site::StandInSite), log).expect("start");
        while caller::get_status(node.readiness).await != 200 {}
        caller::send(node.callers, &request("safe.test", "r-answered")).await;
        app.set(Behaviour::Refuse);
        caller::send(node.callers, &request("unsafe.test", "r-refused")).await;
        app.set(Behaviour::Reset);
        caller::send(node.callers, &request("unsafe.test", "r-lost")).await;
        app.set(Behaviour::Silent);
        caller::send(node.callers, &request("brief.test", "r-late")).await;
        caller::send(node.callers, &prompt("stream.test", "r-broken")).await;
        caller::send(node.callers, &request("nowhere.test", "r-unknown")).await;
    });
    let bytes = captured.0.lock().expect("lines").clone();
    let text = String::from_utf8(bytes).expect("text");
    let lines: Vec<serde_json::Value> = text
        .lines()
        .map(|line| serde_json::from_str(line).expect("a line of JSON"))
        .filter(|line: &serde_json::Value| line["msg"] == "request")
        .collect();
    let outcome = |id: &str| {
        let line = lines.iter().find(|line| line["id"] == id);
        let line = line.unwrap_or_else(|| panic!("no log line of '{id}'"));
        line["outcome"].as_str().unwrap_or_default().to_owned()
    };
    assert_eq!(outcome("r-answered"), "answered");
    assert_eq!(outcome("r-refused"), "refused");
    assert_eq!(outcome("r-lost"), "engine_lost");
    assert_eq!(outcome("r-late"), "timed_out");
    assert_eq!(outcome("r-broken"), "broken_off");
    assert_eq!(outcome("r-unknown"), "not_admitted");
    let logged_fields: BTreeSet<&String> = lines
        .iter()
        .filter_map(serde_json::Value::as_object)
        .flat_map(|line| line.keys())
        .collect();
    let documented_fields = table(OPERATIONS, "## From a request's id to its cause");
    assert!(documented_fields.len() > 10);
    for field in documented_fields.keys() {
        assert!(
            logged_fields.contains(field),
            "no log line has the field '{field}'"
        );
    }
    assert!(!text.contains("key-a"), "a key was logged");
}
