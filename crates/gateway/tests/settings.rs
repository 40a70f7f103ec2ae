//! Settings files that are refused, and their error messages.

use ploverlift_gateway::settings::GatewaySettings;
use std::path::Path;

const ADDRESSES: &str = "[node]\nname = \"n\"\nzone = \"z\"\n\
    [listen]\ncallers = \"127.0.0.1:1\"\nreadiness = \"127.0.0.1:2\"\n\
    [store]\naddress = \"127.0.0.1:3\"\n";

fn error_of(more: &str) -> String {
    let text = format!("{ADDRESSES}{more}");
    let parsed = GatewaySettings::parse(&text, Path::new("node.toml"));
    parsed.expect_err("an error").to_string()
}

#[test]
fn a_renamed_key_is_refused_with_its_present_name() {
    let renamed = [
        ("cost", "prompt_tokens_per_ms", "prefill_tokens_per_ms"),
        ("cost", "displaced_share", "eviction_share"),
        ("cost", "outdated_ms", "stale_version_ms"),
        ("attempts", "patience", "timeout_objectives"),
    ];
    for (section, earlier, present) in renamed {
        assert_eq!(
            error_of(&format!("[{section}]\n{earlier} = 2.0\n")),
            format!("node.toml: '{section}.{earlier}' is now '{section}.{present}'")
        );
        let text = format!("{ADDRESSES}[{section}]\n{present} = 2.0\n");
        assert!(GatewaySettings::parse(&text, Path::new("node.toml")).is_ok());
    }
}

#[test]
fn values_out_of_bounds_are_refused_with_key_and_valid_range() {
    assert_eq!(
        error_of("[bounds]\nleaving_engine_ms = 0\n"),
        "node.toml: bounds.leaving_engine_ms = 0: use 1 or more"
    );
    let negative = ADDRESSES.replace("zone = \"z\"\n", "zone = \"z\"\ncpu_cores = -0.5\n");
    let parsed = GatewaySettings::parse(&negative, Path::new("node.toml"));
    assert_eq!(
        parsed.expect_err("an error").to_string(),
        "node.toml: node.cpu_cores = -0.5: use a number of 0.0 or more"
    );
}

#[test]
fn an_unknown_key_is_refused() {
    assert!(error_of("[cost]\nplenty = 1\n").contains("plenty"));
}
