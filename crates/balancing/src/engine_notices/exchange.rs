//! Exchange of notices of leaving engines between nodes.
//!
//! A notice that an engine leaves concerns all nodes. A backoff concerns only the node that
//! was asked for it, and is not reported to others.

use super::{EngineLife, EngineNotices, LeavingNotice, NoticeSource, KEPT_MS};
use crate::names::EngineTag;
use ploverlift_policy::ids::Millis;
use ploverlift_policy::update_broadcast::UpdateBroadcast;

/// Maximum number of engines in one message, so that it fits into one datagram.
pub const MAX_REPORTED: usize = 32;
/// Maximum number of engines that are reported at one time; the others wait for the next
/// time.
const MAX_DUE: usize = 16 * MAX_REPORTED;
/// Maximum number of engines with unchanged notices that are reported again in one period.
const MAX_REPEATED: usize = 8 * MAX_REPORTED;
/// Time for which a notice is reported repeatedly, in milliseconds, so that it also reaches
/// nodes that were cut off for a while.
const REPEATED_FOR_MS: u64 = 30_000;

/// A leaving engine as one node reports it to another.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReportedLeaving {
    /// The life of the engine that sent the notice.
    pub life: EngineLife,
    /// Time since any node first received the notice, in milliseconds.
    pub age_ms: u64,
}

/// The occasion for a set of reports.
#[derive(Clone, Copy, Debug, Default)]
pub struct ReportRound {
    /// Whether some unchanged notices are reported again, in rotation.
    pub is_period: bool,
    /// Whether this node relays the reports of others.
    pub passes_on: bool,
}

impl EngineNotices {
    /// The reports to send now: all notices that are due, and once in each period some of
    /// the notices that this node received from the engine itself or relays.
    pub fn due_reports(&mut self, round: ReportRound, now: Millis) -> Vec<ReportedLeaving> {
        let mut reported = self.due(now);
        for engine in &reported {
            let leaving = self.notices.get_mut(engine);
            if let Some(leaving) = leaving.and_then(|known| known.leaving.as_mut()) {
                leaving.broadcast.record_broadcast(now);
            }
        }
        if round.is_period {
            reported.extend(self.next_in_turn(round.passes_on, now));
            reported.sort();
            reported.dedup();
        }
        let reported = reported.into_iter();
        reported
            .filter_map(|engine| self.report_of(engine, now))
            .collect()
    }

    /// Reports of all engines that are known to leave, for a node that has no state yet.
    pub fn all_leaving(&self, now: Millis) -> Vec<ReportedLeaving> {
        let engines = self.notices.keys();
        engines
            .filter_map(|engine| self.report_of(*engine, now))
            .collect()
    }

    fn due(&self, now: Millis) -> Vec<EngineTag> {
        let leaving = self.leaving_engines();
        let due = leaving.filter(|(_, leaving)| leaving.broadcast.is_due(now));
        due.map(|(engine, _)| engine).take(MAX_DUE).collect()
    }

    fn next_in_turn(&mut self, passes_on: bool, now: Millis) -> Vec<EngineTag> {
        let leaving = self.leaving_engines();
        let is_repeatable = |leaving: &LeavingNotice| {
            let is_first_hand = leaving.source == NoticeSource::Answer;
            (is_first_hand || passes_on) && now.since(leaving.since) < REPEATED_FOR_MS
        };
        let repeated = leaving.filter(|(_, leaving)| is_repeatable(leaving));
        let mut repeated: Vec<EngineTag> = repeated.map(|(engine, _)| engine).collect();
        let first = self.next_repeated % repeated.len().max(1);
        self.next_repeated = first + MAX_REPEATED;
        repeated.rotate_left(first);
        repeated.truncate(MAX_REPEATED);
        repeated
    }

    fn leaving_engines(&self) -> impl Iterator<Item = (EngineTag, LeavingNotice)> + '_ {
        let notices = self.notices.iter();
        notices.filter_map(|(engine, known)| Some((*engine, known.leaving?)))
    }

    fn report_of(&self, engine: EngineTag, now: Millis) -> Option<ReportedLeaving> {
        let known = self.notices.get(&engine)?;
        Some(ReportedLeaving {
            life: EngineLife {
                engine,
                born_ms: known.born_ms,
            },
            age_ms: now.since(known.leaving?.since),
        })
    }

    /// Applies another node's report; returns whether it was new. A relay `passes_on` new
    /// reports. Reports that are older than the retention time of notices are ignored, since
    /// nodes would otherwise keep each other's notices alive for ever.
    pub fn apply_reported(
        &mut self,
        reported: &ReportedLeaving,
        passes_on: bool,
        now: Millis,
    ) -> bool {
        if reported.age_ms >= KEPT_MS {
            return false;
        }
        let notice = LeavingNotice {
            since: now.before(reported.age_ms),
            source: NoticeSource::Node,
            broadcast: match passes_on {
                true => UpdateBroadcast::begin(now),
                false => UpdateBroadcast::default(),
            },
        };
        self.take_leaving(reported.life, notice, now)
    }
}
