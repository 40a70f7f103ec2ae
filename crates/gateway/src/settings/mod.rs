//! The gateway's settings file (TOML).
//!
//! All keys have defaults, except the addresses and the name and zone of the node.

mod admission;
mod attempts;
mod bounds;
mod cache;
mod callers;
mod checks;
mod cost;
mod error;
mod listen;
mod log;
mod node;
mod store;
mod topology;
mod weights;

pub use self::admission::AdmissionSettings;
pub use self::attempts::AttemptSettings;
pub use self::bounds::BoundSettings;
pub use self::cache::CacheSettings;
pub use self::callers::CallerSettings;
pub use self::cost::CostSettings;
pub use self::error::SettingsError;
pub use self::listen::ListenSettings;
pub use self::log::{LogLevel, LogSettings};
pub use self::node::NodeSettings;
pub use self::store::StoreSettings;
pub use self::topology::TopologySettings;
pub use self::weights::WeightSettings;

use self::checks::InvalidValue;
use self::error::{renamed_key, ReadSnafu, RenamedSnafu, ShapeSnafu};
use serde::{Deserialize, Serialize};
use snafu::ResultExt;
use std::path::Path;

/// All settings.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct GatewaySettings {
    /// This node.
    pub node: NodeSettings,
    /// Regions of the site's zones.
    #[serde(default)]
    pub topology: TopologySettings,
    /// Addresses on which the gateway listens.
    pub listen: ListenSettings,
    /// The object store.
    pub store: StoreSettings,
    /// Bounds that the site guarantees.
    #[serde(default)]
    pub bounds: BoundSettings,
    /// Connections of callers.
    #[serde(default)]
    pub callers: CallerSettings,
    /// Admission of requests to models.
    #[serde(default)]
    pub admission: AdmissionSettings,
    /// Attempts at engines.
    #[serde(default)]
    pub attempts: AttemptSettings,
    /// Costs by which an engine is chosen.
    #[serde(default)]
    pub cost: CostSettings,
    /// KV cache.
    #[serde(default)]
    pub cache: CacheSettings,
    /// Loading of new weights.
    #[serde(default)]
    pub weights: WeightSettings,
    /// Logs.
    #[serde(default)]
    pub log: LogSettings,
}

impl GatewaySettings {
    /// Reads and checks a settings file.
    ///
    /// # Errors
    /// When it cannot be read, is not valid TOML of the expected structure, contains a key of
    /// an earlier release or a value outside its valid range.
    pub fn read(file: &Path) -> Result<Self, SettingsError> {
        let text = std::fs::read_to_string(file).context(ReadSnafu { file })?;
        Self::parse(&text, file)
    }

    /// Parses and checks the text of a settings file; `file` is its path for errors.
    ///
    /// # Errors
    /// When it is not valid TOML of the expected structure, contains a key of an earlier release
    /// or a value outside its valid range.
    pub fn parse(text: &str, file: &Path) -> Result<Self, SettingsError> {
        let table = toml::from_str::<toml::Table>(text).map_err(Box::new);
        let table = table.context(ShapeSnafu { file })?;
        if let Some((key, name)) = renamed_key(&table) {
            return RenamedSnafu { file, key, name }.fail();
        }
        let parsed = toml::from_str::<Self>(text).map_err(Box::new);
        let settings = parsed.context(ShapeSnafu { file })?;
        let checked = settings.check();
        checked.map_err(|invalid| SettingsError::Value {
            file: file.to_owned(),
            key: invalid.key,
            value: invalid.value,
            fix: invalid.fix,
        })?;
        Ok(settings)
    }

    fn check(&self) -> Result<(), InvalidValue> {
        self.node.check()?;
        self.store.check()?;
        self.bounds.check()?;
        self.callers.check()?;
        self.admission.check()?;
        self.attempts.check()?;
        self.cost.check()?;
        self.weights.check()
    }
}
