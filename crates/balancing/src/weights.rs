//! Which versions of a model's weights a request may begin on.
//!
//! A newer version must be in use everywhere within a bound that counts only
//! while the store is well. A request that is sent to an engine may wait there
//! and begin later, so engines with older weights leave the choice some time
//! before the bound.

use ploverlift_policy::ids::Millis;
use std::collections::BTreeMap;

/// How the bound on old weights is kept.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WeightsBounds {
    /// Time in one stretch of a well store after which older weights leave the
    /// choice, in milliseconds.
    pub avoid_after_ms: u64,
    /// The same over all such stretches together, in milliseconds.
    pub avoid_after_total_ms: u64,
    /// Time from the start of this process after which weights older than a
    /// version that was named before the start and is in use leave the choice,
    /// in milliseconds.
    pub avoid_after_start_ms: u64,
}

#[derive(Clone, Copy, Debug)]
struct Named {
    version: u64,
    since: Millis,
    is_from_start: bool,
    stretch_since: Millis,
    earlier_stretches_ms: u64,
}

impl Named {
    /// Time until older weights must be avoided, in milliseconds. How long ago a
    /// version was named that stood there when this process started is not known;
    /// once an engine has it, its roll-out is under way and its bound may be near.
    fn left_ms(&self, bounds: &WeightsBounds, is_in_use: bool, now: Millis) -> u64 {
        if self.is_from_start && is_in_use {
            let known_ms = now.since(self.since);
            return bounds.avoid_after_start_ms.saturating_sub(known_ms);
        }
        let stretch_ms = now.since(self.stretch_since);
        let total_ms = stretch_ms + self.earlier_stretches_ms;
        let left_ms = bounds.avoid_after_ms.saturating_sub(stretch_ms);
        left_ms.min(bounds.avoid_after_total_ms.saturating_sub(total_ms))
    }
}

/// The versions that were named for each model and are not yet obsolete.
#[derive(Clone, Debug, Default)]
pub struct NamedWeights {
    by_model: BTreeMap<String, Vec<Named>>,
}

/// Versions that are remembered for each model.
const MAX_REMEMBERED: usize = 16;

impl NamedWeights {
    /// A version was named. Lower and repeated ones change nothing.
    pub fn name(&mut self, model: &str, version: u64, now: Millis) -> bool {
        self.add(model, version, false, now)
    }

    /// A version stood there when this process started.
    pub fn name_from_start(&mut self, model: &str, version: u64, now: Millis) -> bool {
        self.add(model, version, true, now)
    }

    fn add(&mut self, model: &str, version: u64, is_from_start: bool, now: Millis) -> bool {
        let named = self.by_model.entry(model.to_owned()).or_default();
        if named.last().is_some_and(|newest| newest.version >= version) {
            return false;
        }
        named.push(Named {
            version,
            since: now,
            is_from_start,
            stretch_since: now,
            earlier_stretches_ms: 0,
        });
        if named.len() > MAX_REMEMBERED {
            named.remove(0);
        }
        true
    }

    /// The store did not answer properly: the present stretch ends.
    pub fn on_store_trouble(&mut self, now: Millis) {
        for named in self.by_model.values_mut().flatten() {
            named.earlier_stretches_ms += now.since(named.stretch_since);
            named.stretch_since = now;
        }
    }

    /// The newest version of a model and when this node learned of it.
    pub fn newest(&self, model: &str) -> Option<(u64, Millis)> {
        let newest = self.by_model.get(model)?.last()?;
        Some((newest.version, newest.since))
    }

    /// The newest version of each model.
    pub fn newest_of_all(&self) -> impl Iterator<Item = (&str, u64)> {
        let newest = self.by_model.iter();
        newest.filter_map(|(model, named)| Some((model.as_str(), named.last()?.version)))
    }

    /// When the first version above `version` was named; nothing when there is
    /// none.
    pub fn first_newer(&self, model: &str, version: u64) -> Option<Millis> {
        let named = self.by_model.get(model)?.iter();
        let newer = named.filter(|named| named.version > version);
        newer.map(|named| named.since).min()
    }

    /// Time until requests must no longer begin on a version, in milliseconds;
    /// nothing when no newer one is named.
    pub fn left_ms(
        &self,
        model: &str,
        version: u64,
        newest_in_use: u64,
        bounds: &WeightsBounds,
        now: Millis,
    ) -> Option<u64> {
        let named = self.by_model.get(model)?.iter();
        let newer = named.filter(|named| named.version > version);
        newer
            .map(|named| named.left_ms(bounds, newest_in_use >= named.version, now))
            .min()
    }

    /// The lowest version on which a request may begin. `newest_in_use` is the
    /// newest version that any engine has.
    pub fn required(
        &self,
        model: &str,
        newest_in_use: u64,
        bounds: &WeightsBounds,
        now: Millis,
    ) -> u64 {
        let named = self.by_model.get(model).into_iter().flatten();
        named
            .filter(|named| named.left_ms(bounds, newest_in_use >= named.version, now) == 0)
            .map(|named| named.version)
            .max()
            .unwrap_or(0)
    }
}
