//! The store era, as known to this node.
//!
//! A store that is restored from a copy has lost later writes and assigns revisions again.
//! Each restoration begins a later era, which the store includes in all its answers.

use crate::state::Gateway;
use ploverlift_policy::ids::StoreEra;
use std::sync::atomic::{AtomicU64, Ordering};

/// Where this node learned of an era.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EraSource {
    /// An answer of the store.
    Store,
    /// Another node.
    Peer,
}

impl EraSource {
    /// The name used in logs.
    pub fn name(self) -> &'static str {
        match self {
            Self::Store => "store",
            Self::Peer => "peer",
        }
    }
}

/// The latest known era.
#[derive(Debug, Default)]
pub struct KnownEra {
    /// The era plus one; 0 while no era is known.
    plus_one: AtomicU64,
}

/// Result of comparing a reported era with the known one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EraChange {
    /// The era is the known one, or the first one reported.
    None,
    /// The store was restored from a copy after the known era.
    Restored {
        /// The previously known era.
        before: StoreEra,
    },
    /// The reported era is from before the store was restored.
    Outdated,
}

impl KnownEra {
    /// The latest era; `None` while the store has reported none.
    pub fn get(&self) -> Option<StoreEra> {
        let plus_one = self.plus_one.load(Ordering::Acquire);
        plus_one.checked_sub(1).map(StoreEra)
    }

    /// Updates the known era if the reported one is later.
    pub fn advance(&self, era: StoreEra) -> EraChange {
        let plus_one = era.0.saturating_add(1);
        let before = self.plus_one.fetch_max(plus_one, Ordering::AcqRel);
        match before.checked_sub(1).map(StoreEra) {
            Some(before) if before < era => EraChange::Restored { before },
            Some(before) if before > era => EraChange::Outdated,
            _ => EraChange::None,
        }
    }
}

impl Gateway {
    /// Applies the era reported by another node, if any.
    pub fn note_peer_era(&self, era: Option<StoreEra>) {
        if let Some(era) = era {
            self.note_store_era(era, EraSource::Peer);
        }
    }

    /// Applies the era reported by an answer of the store or by another node.
    pub fn note_store_era(&self, era: StoreEra, source: EraSource) -> EraChange {
        let change = self.store_era.advance(era);
        if let EraChange::Restored { before } = change {
            slog::warn!(self.log, "store restored from a copy";
                "era" => era.0, "before" => before.0, "told_by" => source.name());
            self.metrics.store_restorations.inc();
            let now = self.clock.now();
            let mut beliefs = self.beliefs();
            beliefs.store_outage.note_restored(now);
            beliefs.quarantine.note_store_restored();
            beliefs.stored_origins.clear();
            drop(beliefs);
            self.store_restored.notify(usize::MAX);
        }
        if change != EraChange::Outdated {
            let gauge = i64::try_from(era.0).unwrap_or(i64::MAX);
            self.metrics.store_era.set(gauge);
        }
        change
    }
}
