//! The node's settings file (TOML). Every value is checked at start; unknown
//! keys are refused. docs/CONFIGURATION.md lists every key.

use serde::{Deserialize, Serialize};
use snafu::{ResultExt, Snafu};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

/// Everything a node is told at its start.
#[derive(Clone, Debug, Deserialize, Serialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Who this node is.
    pub node: NodeSettings,
    /// Where it listens.
    #[serde(default)]
    pub listen: ListenSettings,
    /// How it finds other nodes.
    #[serde(default)]
    pub cluster: ClusterSettings,
    /// Where the object API is.
    #[serde(default)]
    pub platform: PlatformSettings,
    /// Bounds on what callers may use.
    #[serde(default)]
    pub limits: LimitSettings,
    /// Constants of the site that costs depend on.
    #[serde(default)]
    pub site: SiteSettings,
    /// What is logged.
    #[serde(default)]
    pub log: LogSettings,
}

/// Who the node is.
#[derive(Clone, Debug, Deserialize, Serialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct NodeSettings {
    /// Unique name, kept over restarts.
    pub name: String,
    /// Failure domain.
    pub zone: String,
    /// Group of zones; each has its own readers of the object API.
    #[serde(default = "default_region")]
    pub region: String,
}

fn default_region() -> String {
    "default".to_owned()
}

/// Listeners. Port 0 takes any free port.
#[derive(Clone, Debug, Deserialize, Serialize, PartialEq)]
#[serde(deny_unknown_fields, default)]
pub struct ListenSettings {
    /// For callers.
    pub callers: SocketAddr,
    /// For operators and metrics.
    pub operators: SocketAddr,
    /// For other nodes, over UDP and TCP on the same port.
    pub cluster: SocketAddr,
}

impl Default for ListenSettings {
    fn default() -> Self {
        Self {
            callers: SocketAddr::from(([127, 0, 0, 1], 8080)),
            operators: SocketAddr::from(([127, 0, 0, 1], 8081)),
            cluster: SocketAddr::from(([127, 0, 0, 1], 8082)),
        }
    }
}

/// Other nodes.
#[derive(Clone, Debug, Default, Deserialize, Serialize, PartialEq)]
#[serde(deny_unknown_fields, default)]
pub struct ClusterSettings {
    /// Cluster listeners of nodes that are asked first.
    pub seeds: Vec<SocketAddr>,
    /// How long a claim of a request that runs at most once is kept, in seconds.
    pub claim_retention_seconds: Option<u64>,
}

/// The object API.
#[derive(Clone, Debug, Default, Deserialize, Serialize, PartialEq)]
#[serde(deny_unknown_fields, default)]
pub struct PlatformSettings {
    /// `IP:port` of the object API; without it the node learns from other nodes only.
    pub address: Option<SocketAddr>,
}

/// Bounds on what callers may use.
#[derive(Clone, Debug, Deserialize, Serialize, PartialEq)]
#[serde(deny_unknown_fields, default)]
pub struct LimitSettings {
    /// Largest request body, in bytes.
    pub max_body_bytes: usize,
    /// Largest request head, in bytes.
    pub max_head_bytes: usize,
    /// Open connections on the callers' listener.
    pub max_connections: usize,
    /// Longest time a caller may take to send its body, in milliseconds.
    pub read_timeout_ms: u64,
    /// Longest time a planned stop waits for streams, in milliseconds.
    pub stop_timeout_ms: u64,
}

impl Default for LimitSettings {
    fn default() -> Self {
        Self {
            max_body_bytes: 8 * 1024 * 1024,
            max_head_bytes: 16 * 1024,
            max_connections: 10_000,
            read_timeout_ms: 10_000,
            stop_timeout_ms: 60_000,
        }
    }
}

/// Constants of the site.
#[derive(Clone, Debug, Deserialize, Serialize, PartialEq)]
#[serde(deny_unknown_fields, default)]
pub struct SiteSettings {
    /// Travel between zones, one way, in milliseconds.
    pub zone_distance_ms: f64,
}

impl Default for SiteSettings {
    fn default() -> Self {
        Self {
            zone_distance_ms: 1.5,
        }
    }
}

/// What is logged.
#[derive(Clone, Debug, Deserialize, Serialize, PartialEq)]
#[serde(deny_unknown_fields, default)]
pub struct LogSettings {
    /// `error`, `warning`, `info` or `debug`.
    pub level: LogLevel,
}

impl Default for LogSettings {
    fn default() -> Self {
        Self {
            level: LogLevel::Info,
        }
    }
}

/// The least severe level that is logged.
#[derive(Clone, Copy, Debug, Deserialize, Serialize, PartialEq)]
#[serde(rename_all = "lowercase")]
pub enum LogLevel {
    /// Failures only.
    Error,
    /// Also what needs attention.
    Warning,
    /// Also every request's outcome.
    Info,
    /// Everything.
    Debug,
}

/// Why settings were refused.
#[derive(Debug, Snafu)]
pub enum SettingsError {
    /// The file could not be read.
    #[snafu(display("{}: cannot read the settings file: {source}", file.display()))]
    Read {
        /// The settings file.
        file: PathBuf,
        /// What the operating system said.
        source: std::io::Error,
    },
    /// The file is not TOML of the expected shape.
    #[snafu(display("{}: {source}", file.display()))]
    Shape {
        /// The settings file.
        file: PathBuf,
        /// The parser's error, with line, key and what was expected.
        source: Box<toml::de::Error>,
    },
    /// A value is out of its bounds.
    #[snafu(display("{}: {key} = {value}: {fix}", file.display()))]
    Value {
        /// The settings file.
        file: PathBuf,
        /// The key.
        key: &'static str,
        /// The value found.
        value: String,
        /// What to write instead.
        fix: &'static str,
    },
}

/// Names the file when settings were not read from one.
const NO_FILE: &str = "(flags)";

impl Settings {
    /// Settings of a node with this name and zone and defaults for the rest.
    pub fn named(name: &str, zone: &str) -> Self {
        Self {
            node: NodeSettings {
                name: name.to_owned(),
                zone: zone.to_owned(),
                region: default_region(),
            },
            listen: ListenSettings::default(),
            cluster: ClusterSettings::default(),
            platform: PlatformSettings::default(),
            limits: LimitSettings::default(),
            site: SiteSettings::default(),
            log: LogSettings::default(),
        }
    }

    /// Reads and checks a settings file.
    ///
    /// # Errors
    /// When the file cannot be read, has another shape or a value out of bounds.
    pub fn read(file: &Path) -> Result<Self, SettingsError> {
        let text = std::fs::read_to_string(file).context(ReadSnafu { file })?;
        let settings: Settings = toml::from_str(&text)
            .map_err(Box::new)
            .context(ShapeSnafu { file })?;
        settings.check(file)?;
        Ok(settings)
    }

    /// Checks every value.
    ///
    /// # Errors
    /// The first value out of its bounds.
    pub fn check(&self, file: &Path) -> Result<(), SettingsError> {
        let checker = Checker { file };
        checker.name("node.name", &self.node.name)?;
        checker.name("node.zone", &self.node.zone)?;
        checker.name("node.region", &self.node.region)?;
        let limits = &self.limits;
        checker.at_least("limits.max_body_bytes", limits.max_body_bytes as u64, 1_024)?;
        checker.at_least("limits.max_head_bytes", limits.max_head_bytes as u64, 1_024)?;
        checker.at_least("limits.max_connections", limits.max_connections as u64, 1)?;
        checker.at_least("limits.read_timeout_ms", limits.read_timeout_ms, 1)?;
        checker.at_least("limits.stop_timeout_ms", limits.stop_timeout_ms, 1)?;
        if let Some(seconds) = self.cluster.claim_retention_seconds {
            checker.at_least("cluster.claim_retention_seconds", seconds, 1)?;
        }
        let distance = self.site.zone_distance_ms;
        if !(0.0..=10_000.0).contains(&distance) {
            let fix = "use 0.0 to 10000.0 milliseconds";
            return Err(checker.value("site.zone_distance_ms", distance, fix));
        }
        Ok(())
    }
}

struct Checker<'a> {
    file: &'a Path,
}

impl Checker<'_> {
    fn value(&self, key: &'static str, value: impl ToString, fix: &'static str) -> SettingsError {
        let unnamed = self.file.as_os_str().is_empty();
        let file = if unnamed {
            Path::new(NO_FILE)
        } else {
            self.file
        };
        SettingsError::Value {
            file: file.to_owned(),
            key,
            value: value.to_string(),
            fix,
        }
    }

    fn name(&self, key: &'static str, value: &str) -> Result<(), SettingsError> {
        let allowed = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_');
        if value.is_empty() || value.len() > 64 || !value.chars().all(allowed) {
            let quoted = format!("'{value}'");
            return Err(self.value(key, quoted, "use 1 to 64 letters, digits, '-' or '_'"));
        }
        Ok(())
    }

    fn at_least(&self, key: &'static str, value: u64, least: u64) -> Result<(), SettingsError> {
        if value >= least {
            return Ok(());
        }
        let fix = if least == 1 {
            "use 1 or more"
        } else {
            "use 1024 or more"
        };
        Err(self.value(key, value, fix))
    }
}
