//! Signals that engines set in answers, as messages.

use super::engine_limit_messages::{group_message, read_group};
use ploverlift_balancing::engine_notices::exchange::ReportedLeaving;
use ploverlift_balancing::engine_notices::EngineLife;
use ploverlift_balancing::peer_loads::{EngineTag, PeerId};
use ploverlift_enginelimit::node_messages::GroupUpdate;
use ploverlift_wire::peers;

/// Signals of engines that a node reports.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineSignalReport {
    /// The sender.
    pub sender: PeerId,
    /// Rate limits, by group.
    pub groups: Vec<GroupUpdate>,
    /// Engines that are leaving.
    pub leaving: Vec<ReportedLeaving>,
    /// Whether the sender knows no signals yet and requests all of them.
    pub wants_all: bool,
}

pub(super) fn report_message(report: &EngineSignalReport) -> peers::EngineSignalReport {
    peers::EngineSignalReport {
        sender: report.sender.0,
        groups: report.groups.iter().map(group_message).collect(),
        wants_all: report.wants_all,
        leaving: report.leaving.iter().map(leaving_message).collect(),
    }
}

/// Reads a report; a group whose holder has an invalid address is left out.
pub(super) fn read_report(message: &peers::EngineSignalReport) -> EngineSignalReport {
    EngineSignalReport {
        sender: PeerId(message.sender),
        groups: message.groups.iter().filter_map(read_group).collect(),
        leaving: message.leaving.iter().map(read_leaving).collect(),
        wants_all: message.wants_all,
    }
}

fn leaving_message(reported: &ReportedLeaving) -> peers::LeavingEngine {
    peers::LeavingEngine {
        engine: reported.life.engine.0,
        born_ms: reported.life.born_ms,
        age_ms: reported.age_ms,
    }
}

fn read_leaving(message: &peers::LeavingEngine) -> ReportedLeaving {
    ReportedLeaving {
        life: EngineLife {
            engine: EngineTag(message.engine),
            born_ms: message.born_ms,
        },
        age_ms: message.age_ms,
    }
}
