//! The settings file: what is refused, how it is told, and that every key is
//! in the documentation.

use ploverlift_node::settings::Settings;
use std::path::Path;

fn refused(text: &str) -> String {
    let directory = Path::new(env!("CARGO_TARGET_TMPDIR"));
    let unique = format!("settings-{:x}.toml", fastrand::u64(..));
    let file = directory.join(unique);
    std::fs::write(&file, text).expect("written");
    Settings::read(&file).expect_err("refused").to_string()
}

#[test]
fn an_error_names_file_key_value_and_fix() {
    let zone = refused("[node]\nname = \"a\"\nzone = \"\"\n");
    assert!(
        zone.contains(".toml") && zone.contains("node.zone = ''"),
        "{zone}"
    );
    assert!(zone.contains("use 1 to 64 letters"), "{zone}");
    let base = "[node]\nname = \"a\"\nzone = \"z\"\n";
    let body = refused(&format!("{base}[limits]\nmax_body_bytes = 7\n"));
    assert!(body.contains("limits.max_body_bytes = 7"), "{body}");
    let unknown = refused(&format!("{base}[limits]\nmax_bodies = 7\n"));
    assert!(unknown.contains("max_bodies"), "{unknown}");
    let address = refused(&format!("{base}[listen]\ncallers = \"here\"\n"));
    assert!(address.contains("callers"), "{address}");
}

#[test]
fn every_key_is_in_the_documentation() {
    let documentation = include_str!("../../../docs/CONFIGURATION.md");
    let mut settings = Settings::named("a", "z");
    settings.platform.address = Some(([127, 0, 0, 1], 1).into());
    settings.cluster.claim_retention_seconds = Some(1);
    let value = serde_json::to_value(&settings).expect("settings serialize");
    let sections = value.as_object().expect("sections");
    for (section, keys) in sections {
        for key in keys.as_object().expect("keys").keys() {
            let row = format!("| `{section}.{key}` |");
            assert!(
                documentation.contains(&row),
                "docs/CONFIGURATION.md lacks {row}"
            );
        }
    }
}
