//! The memory that this process may use.

use crate::settings::NodeSettings;
use std::fs;

/// Memory that is assumed where the machine does not tell its own, in megabytes.
const DEFAULT_MEMORY_MB: f64 = 256.0;
/// Kilobytes in a megabyte.
const KILOBYTES: f64 = 1_024.0;

/// The memory that this process may use, in megabytes: by its settings, else that of the machine.
pub fn memory_mb(node: &NodeSettings) -> f64 {
    if node.memory_mb > 0.0 {
        return node.memory_mb;
    }
    let read = fs::read_to_string("/proc/meminfo").ok();
    let total = read.as_deref().and_then(total_mb);
    total.unwrap_or(DEFAULT_MEMORY_MB)
}

/// The total in the text of `/proc/meminfo`, in megabytes.
fn total_mb(text: &str) -> Option<f64> {
    let line = text
        .lines()
        .find_map(|line| line.strip_prefix("MemTotal:"))?;
    let kilobytes = line.split_whitespace().next()?;
    Some(kilobytes.parse::<f64>().ok()? / KILOBYTES)
}
