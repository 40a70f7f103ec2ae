//! Errors of settings files, and earlier names of settings.

use snafu::Snafu;
use std::path::PathBuf;

/// Earlier names of renamed settings, with their present names.
const RENAMED: [(&str, &str); 4] = [
    ("cost.prompt_tokens_per_ms", "cost.prefill_tokens_per_ms"),
    ("cost.displaced_share", "cost.eviction_share"),
    ("cost.outdated_ms", "cost.stale_version_ms"),
    ("attempts.patience", "attempts.timeout_objectives"),
];

/// Why settings cannot be used.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum SettingsError {
    /// The file cannot be read.
    #[snafu(display("cannot read the settings file {}: {source}", file.display()))]
    Read {
        /// The file.
        file: PathBuf,
        /// The error of the operating system.
        source: std::io::Error,
    },
    /// The file is not valid TOML or does not have the expected structure.
    #[snafu(display("{}: {source}", file.display()))]
    Shape {
        /// The file.
        file: PathBuf,
        /// The parser's error, with the line, the key and the expected value.
        source: Box<toml::de::Error>,
    },
    /// The file contains a key by its name in an earlier release.
    #[snafu(display("{}: '{key}' is now '{name}'", file.display()))]
    Renamed {
        /// The file.
        file: PathBuf,
        /// The key found.
        key: &'static str,
        /// Its present name.
        name: &'static str,
    },
    /// A value is outside its valid range.
    #[snafu(display("{}: {key} = {value}: {fix}", file.display()))]
    Value {
        /// The file.
        file: PathBuf,
        /// The key.
        key: &'static str,
        /// The value found.
        value: String,
        /// The valid range, as advice to the operator.
        fix: &'static str,
    },
}

/// The first renamed key in a file, with its present name.
pub(crate) fn renamed_key(table: &toml::Table) -> Option<(&'static str, &'static str)> {
    let mut renamed = RENAMED.iter();
    let found = renamed.find(|(key, _)| has_key(table, key));
    found.copied()
}

/// Whether a file contains a key, given as `table.name`.
fn has_key(table: &toml::Table, key: &str) -> bool {
    let Some((section, name)) = key.split_once('.') else {
        return table.contains_key(key);
    };
    let section = table.get(section).and_then(toml::Value::as_table);
    section.is_some_and(|section| section.contains_key(name))
}
