//! Log lines on changes of engines: when a node received a change, and from which source.

use crate::peers::relay_messages::EngineChange;
use crate::state::Gateway;

/// Source of an update.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UpdateSource {
    /// A list or a watch of the store.
    Store,
    /// A report of a relay.
    Relay,
    /// A snapshot of all engines from a relay.
    Snapshot,
}

impl UpdateSource {
    fn name(self) -> &'static str {
        match self {
            Self::Store => "store",
            Self::Relay => "relay",
            Self::Snapshot => "snapshot",
        }
    }
}

/// Logs changes of engines that are new to this node, and notifies the task that handles new
/// software versions.
pub fn log_engine_updates(gateway: &Gateway, changes: &[EngineChange], from: UpdateSource) {
    for change in changes {
        log_change(gateway, change, from);
    }
}

fn log_change(gateway: &Gateway, change: &EngineChange, from: UpdateSource) {
    let Some(record) = &change.record else {
        slog::info!(gateway.log, "engine gone";
            "engine" => &change.instance.0,
            "from" => from.name(),
            "revision" => change.revision);
        return;
    };
    // Followers log only engines that leave or are gone: otherwise hundreds of followers
    // would repeat each line of a relay.
    if from != UpdateSource::Store && !record.is_leaving {
        return;
    }
    slog::info!(gateway.log, "engine changed";
        "engine" => &change.instance.0,
        "from" => from.name(),
        "service" => &record.service.0,
        "software" => &record.software.0,
        "leaving" => record.is_leaving,
        "born_ms" => record.heartbeat.born_ms,
        "sequence" => record.heartbeat.sequence,
        "weights" => format!("{:?}", record.weights),
        "revision" => change.revision);
}
