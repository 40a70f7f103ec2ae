//! The era of the store, as this node knows it.
//!
//! A store that comes back from a copy has lost what was written since, and gives out
//! revisions again. Each time it enters a later era, which all its answers tell.

use crate::state::Gateway;
use ploverlift_policy::ids::StoreEra;
use std::sync::atomic::{AtomicU64, Ordering};

/// Who told this node of an era.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EraSource {
    /// An answer of the store.
    Store,
    /// Another node.
    Peer,
}

impl EraSource {
    /// Its name in logs.
    pub fn name(self) -> &'static str {
        match self {
            Self::Store => "store",
            Self::Peer => "peer",
        }
    }
}

/// The latest era of which this node knows.
#[derive(Debug, Default)]
pub struct KnownEra {
    /// The era plus one; 0 while none is known.
    plus_one: AtomicU64,
}

/// What the news of an era means.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EraChange {
    /// It is the one that is known, or the first one.
    None,
    /// The store has come back from a copy since the era that was known.
    Restored {
        /// The era that was known.
        before: StoreEra,
    },
    /// The change is from before the store came back.
    Outdated,
}

impl KnownEra {
    /// The latest era; nothing while the store has told none.
    pub fn get(&self) -> Option<StoreEra> {
        let plus_one = self.plus_one.load(Ordering::Acquire);
        plus_one.checked_sub(1).map(StoreEra)
    }

    /// Takes in an era.
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
    /// Takes in the era that another node told, where it told one.
    pub fn note_peer_era(&self, era: Option<StoreEra>) {
        if let Some(era) = era {
            self.note_store_era(era, EraSource::Peer);
        }
    }

    /// Takes in the era that an answer of the store or another node told.
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
