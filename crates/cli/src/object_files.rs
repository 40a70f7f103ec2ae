//! Files with objects: one JSON object or an array of them.

use ploverlift_node::settings::{Settings, SettingsError};
use ploverlift_policy::objects::{Object, ObjectError};
use snafu::{ResultExt, Snafu};
use std::path::{Path, PathBuf};

/// Why an object file was refused.
#[derive(Debug, Snafu)]
pub enum ObjectFileError {
    /// The file could not be read.
    #[snafu(display("{}: cannot read: {source}", file.display()))]
    Read {
        /// The file.
        file: PathBuf,
        /// The error of the operating system.
        source: std::io::Error,
    },
    /// The file is not JSON of the expected shape.
    #[snafu(display("{}: not an object or an array of objects: {source}", file.display()))]
    Json {
        /// The file.
        file: PathBuf,
        /// The parser's error, with line and column.
        source: serde_json::Error,
    },
    /// An object is invalid.
    #[snafu(display("{}: {source}", file.display()))]
    Object {
        /// The file.
        file: PathBuf,
        /// The fault.
        source: ObjectError,
    },
}

/// Why a file did not pass a check.
#[derive(Debug, Snafu)]
pub enum CheckError {
    /// An object file was refused.
    #[snafu(transparent)]
    Objects {
        /// The fault.
        source: ObjectFileError,
    },
    /// A settings file was refused.
    #[snafu(transparent)]
    Settings {
        /// The fault.
        source: SettingsError,
    },
}

/// Reads and checks the objects of a file.
pub fn read(file: &Path) -> Result<Vec<Object>, ObjectFileError> {
    let text = std::fs::read_to_string(file).context(ReadSnafu { file })?;
    let is_array = text.trim_start().starts_with('[');
    let objects: Vec<Object> = if is_array {
        serde_json::from_str(&text).context(JsonSnafu { file })?
    } else {
        vec![serde_json::from_str(&text).context(JsonSnafu { file })?]
    };
    for object in &objects {
        object.validate().context(ObjectSnafu { file })?;
    }
    Ok(objects)
}

/// Reads and checks the objects of several files.
pub fn read_all(files: &[PathBuf]) -> Result<Vec<Object>, ObjectFileError> {
    let mut objects = Vec::new();
    for file in files {
        objects.extend(read(file)?);
    }
    Ok(objects)
}

/// Checks settings files by their ending `.toml` and all others as object files.
pub fn check(files: &[PathBuf]) -> Result<(), CheckError> {
    for file in files {
        if file.extension().is_some_and(|ending| ending == "toml") {
            Settings::read(file)?;
        } else {
            read(file)?;
        }
        println!("{}: in order", file.display());
    }
    Ok(())
}
