//! Exit codes of the command line: 0 done, 1 refused or failed, 2 wrong use.

mod support;

use std::path::PathBuf;
use std::process::{Command, Output};
use support::*;

fn ploverlift(arguments: &[&str]) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_ploverlift"));
    command.args(arguments).output().expect("runs")
}

fn file(name: &str, text: &str) -> String {
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
    std::fs::write(&path, text).expect("written");
    path.to_str().expect("UTF-8").to_owned()
}

fn error_of(output: &Output) -> String {
    String::from_utf8_lossy(&output.stderr).into_owned()
}

#[test]
fn wrong_use_exits_with_2_and_help_with_0() {
    assert_eq!(ploverlift(&["no-such-command"]).status.code(), Some(2));
    assert_eq!(ploverlift(&["serve"]).status.code(), Some(2));
    assert_eq!(ploverlift(&["--help"]).status.code(), Some(0));
}

#[test]
fn check_names_file_field_value_and_fix() {
    let good = r#"{"kind":"Pool","metadata":{"name":"p"},"spec":{"model":"m"}}"#;
    let good = file("good.json", good);
    assert_eq!(ploverlift(&["check", &good]).status.code(), Some(0));
    let bad = r#"[{"kind":"Pool","metadata":{"name":"p"},"spec":{"model":"m","blockTokens":0}}]"#;
    let bad = file("bad.json", bad);
    let output = ploverlift(&["check", &bad]);
    assert_eq!(output.status.code(), Some(1));
    let error = error_of(&output);
    for part in [
        "bad.json",
        "'p'",
        "spec.blockTokens = 0",
        "use 1 to 1000000",
    ] {
        assert!(error.contains(part), "{error}");
    }
}

#[test]
fn operators_apply_get_diff_and_read_status() {
    let platform = start_platform();
    let node = start_node("node-a", "hall-north", platform.address("listening"), &[]);
    let admin = node.address("operators").to_string();
    let pool = r#"{"kind":"Pool","metadata":{"name":"p"},"spec":{"model":"m"}}"#;
    let pool = file("pool.json", pool);
    assert_eq!(
        ploverlift(&["diff", "--admin", &admin, &pool])
            .status
            .code(),
        Some(1)
    );
    let applied = ploverlift(&["apply", "--admin", &admin, &pool]);
    assert_eq!(applied.status.code(), Some(0), "{}", error_of(&applied));
    assert_eq!(
        ploverlift(&["diff", "--admin", &admin, &pool])
            .status
            .code(),
        Some(0)
    );
    let got = ploverlift(&["get", "--admin", &admin, "--json", "pools", "p"]);
    assert!(String::from_utf8_lossy(&got.stdout).contains("\"model\":\"m\""));
    let status = ploverlift(&["status", "--admin", &admin]);
    assert!(String::from_utf8_lossy(&status.stdout).contains("node node-a in zone hall-north"));
    let unknown = ploverlift(&["explain", "--admin", &admin, "nothing"]);
    assert_eq!(unknown.status.code(), Some(1));
    let metrics = get(node.address("operators"), "/metrics").text;
    assert!(metrics.contains("ploverlift_requests_total 0"), "{metrics}");
    assert!(
        metrics.contains("ploverlift_cluster_bytes_total"),
        "{metrics}"
    );
}
