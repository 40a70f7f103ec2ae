//! The log lines that tell when a node learned of a change of an engine, and from whom.

use crate::peers::relay_messages::EngineChange;
use crate::state::Gateway;

/// Who told of a change.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NewsFrom {
    /// A list or a watch of the store.
    Store,
    /// A report of a relay.
    Relay,
    /// All engines, as a relay knew them.
    Snapshot,
}

impl NewsFrom {
    fn name(self) -> &'static str {
        match self {
            Self::Store => "store",
            Self::Relay => "relay",
            Self::Snapshot => "snapshot",
        }
    }
}

/// Logs changes of engines that are news here.
pub fn log_engine_news(gateway: &Gateway, changes: &[EngineChange], from: NewsFrom) {
    for change in changes {
        log_change(gateway, change, from);
    }
}

fn log_change(gateway: &Gateway, change: &EngineChange, from: NewsFrom) {
    let Some(record) = &change.record else {
        slog::info!(gateway.log, "engine gone";
            "engine" => &change.instance.0,
            "from" => from.name(),
            "revision" => change.revision);
        return;
    };
    // Those who are told log what keeps requests off an engine; the rest stands in the
    // logs of the relays.
    if from != NewsFrom::Store && !record.is_leaving {
        return;
    }
    slog::info!(gateway.log, "engine changed";
        "engine" => &change.instance.0,
        "from" => from.name(),
        "service" => &record.service.0,
        "leaving" => record.is_leaving,
        "born_ms" => record.word.born_ms,
        "sequence" => record.word.sequence,
        "weights" => format!("{:?}", record.weights),
        "revision" => change.revision);
}
