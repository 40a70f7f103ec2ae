//! Which versions of a model's weights a request may begin on.
//!
//! A newer version must be in use everywhere within a bound that starts with its
//! acknowledgement by the store, whether or not this node has learned of it. The decision
//! therefore rests on proofs with an age: a version was the newest when a store call was
//! sent whose answer contained no newer one, so any successor was acknowledged after that
//! moment. From then on requests may begin on the version for the length of the bound,
//! less the time that a request may wait at an engine. No event on this node extends that
//! time. Proofs of other nodes count as much as its own ([`WeightsNews`]).

use ploverlift_policy::ids::Millis;
use std::collections::BTreeMap;

/// Time limits for requests on old weights.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WeightsBounds {
    /// Time for which requests may begin on a version after the last proof that it was the
    /// newest, in milliseconds.
    pub avoid_after_ms: u64,
    /// Time for which requests may begin on older weights after the very first proof, in
    /// milliseconds: how long ago those were replaced is not known.
    pub avoid_after_start_ms: u64,
}

/// A version of a model's weights that a node reports to others.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReportedVersion {
    /// The model.
    pub model: String,
    /// The version.
    pub version: u64,
    /// Time since the node learned of the version, in milliseconds; `None` when it only has
    /// a proof of it.
    pub named_age_ms: Option<u64>,
    /// Age of the last proof that the version was the newest, in milliseconds; `None` when
    /// it is known but not proven yet.
    pub proof_age_ms: Option<u64>,
}

/// A node's report on the newest weights.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct WeightsNews {
    /// Versions on which requests may begin, and the newest of each model.
    pub versions: Vec<ReportedVersion>,
    /// Age of the last proof, in milliseconds.
    pub proof_age_ms: Option<u64>,
    /// Age of the last proof of which models have a version at all, in milliseconds. Set
    /// only when the report contains all models.
    pub all_models_age_ms: Option<u64>,
    /// Age of the very first proof, in milliseconds.
    pub known_for_ms: Option<u64>,
}

impl WeightsNews {
    /// Splits the report into parts of at most `most` versions each.
    pub fn parts(self, most: usize) -> Vec<WeightsNews> {
        if self.versions.len() <= most {
            return vec![self];
        }
        let parts = self.versions.chunks(most);
        let parts = parts.map(|versions| WeightsNews {
            versions: versions.to_vec(),
            all_models_age_ms: None,
            ..self
        });
        parts.collect()
    }
}

/// A version and the latest time by which this node, or the node that reported it, knew of
/// it.
#[derive(Clone, Copy, Debug)]
struct KnownVersion {
    version: u64,
    learned_at: Millis,
}

/// Proof that a version was the newest at the time when a store call was sent.
#[derive(Clone, Copy, Debug)]
struct NewestProof {
    version: u64,
    at: Millis,
}

/// The versions and proofs of one model. Both lists are in ascending order of versions; the
/// proofs ascend in time too.
#[derive(Clone, Debug, Default)]
struct ModelWeights {
    named: Vec<KnownVersion>,
    proofs: Vec<NewestProof>,
}

/// The known versions of each model, and the proofs of which one was the newest.
#[derive(Clone, Debug, Default)]
pub struct NamedWeights {
    by_model: BTreeMap<String, ModelWeights>,
    /// The last proof of any model's version.
    proven_at: Option<Millis>,
    /// The last proof of which models have a version.
    all_models_at: Option<Millis>,
    known_since: Option<Millis>,
}

/// The newest versions as listed by a store call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ListedVersions<'a> {
    /// The newest version of each model.
    pub versions: Vec<(&'a str, u64)>,
    /// Whether the list contains every model that has a version: no entry was unreadable.
    pub is_complete: bool,
}

/// Maximum number of versions that are remembered for each model.
const MAX_REMEMBERED: usize = 16;
/// Maximum number of versions that are reported for each model, the highest ones. A node
/// that does not receive a lower version stops using it earlier.
const MAX_REPORTED_PER_MODEL: usize = 4;

impl NamedWeights {
    /// Records a version of a model's weights; returns whether it is higher than all known
    /// ones. Repeated versions are not recorded twice.
    pub fn note_version(&mut self, model: &str, version: u64, now: Millis) -> bool {
        let proven_at = self.all_models_at;
        let weights = self.by_model.entry(model.to_owned()).or_insert_with(|| {
            // Before its first version the model provably had none.
            let proofs = proven_at.map(|at| NewestProof { version: 0, at });
            ModelWeights {
                proofs: proofs.into_iter().collect(),
                ..ModelWeights::default()
            }
        });
        weights.note_version(version, now)
    }

    /// Records the newest versions that a store call sent at `sent` has listed.
    pub fn note_listed(&mut self, listed: &ListedVersions<'_>, sent: Millis, now: Millis) {
        for (model, version) in &listed.versions {
            self.note_version(model, *version, now);
            self.note_proof(
                model,
                NewestProof {
                    version: *version,
                    at: sent,
                },
            );
        }
        if listed.is_complete {
            let is_listed = |model: &str| listed.versions.iter().any(|(name, _)| *name == model);
            // The version of the model was withdrawn, and no newer one replaces it.
            let unlisted = self
                .by_model
                .iter_mut()
                .filter(|(model, _)| !is_listed(model));
            for (_, weights) in unlisted {
                weights.note_proof(NewestProof {
                    version: 0,
                    at: sent,
                });
            }
            self.all_models_at = self.all_models_at.max(Some(sent));
        }
        self.note_proven(sent, sent);
    }

    /// Applies another node's report. Proof ages count back from `sent`, the time at which
    /// this node sent the report that the other node answers; without it the proofs are
    /// ignored. Returns the versions that are higher than the known ones.
    pub fn apply_reported(
        &mut self,
        report: &WeightsNews,
        sent: Option<Millis>,
        now: Millis,
    ) -> Vec<ReportedVersion> {
        let mut named = Vec::new();
        for reported in &report.versions {
            // Since the report took time to arrive, the other node learned of the version at
            // this time or earlier.
            let named_at = now.before(reported.named_age_ms.unwrap_or(0));
            if self.note_version(&reported.model, reported.version, named_at) {
                named.push(reported.clone());
            }
        }
        let Some(sent) = sent else {
            return named;
        };
        let ago = |age_ms: u64| sent.before(age_ms);
        for reported in &report.versions {
            if let Some(age_ms) = reported.proof_age_ms {
                let (version, at) = (reported.version, ago(age_ms));
                self.note_proof(&reported.model, NewestProof { version, at });
            }
        }
        if let (Some(age_ms), Some(known_for_ms)) = (report.proof_age_ms, report.known_for_ms) {
            self.note_proven(ago(age_ms), ago(known_for_ms));
        }
        let all_models_at = report.all_models_age_ms.map(ago);
        self.all_models_at = self.all_models_at.max(all_models_at);
        named
    }

    /// The report for other nodes, without proofs that are older than the bound: those are of
    /// no use to any node.
    pub fn current_report(&self, bounds: &WeightsBounds, now: Millis) -> WeightsNews {
        let models = self.by_model.iter();
        let versions =
            models.flat_map(|(model, weights)| weights.reported_versions(model, bounds, now));
        WeightsNews {
            versions: versions.collect(),
            proof_age_ms: self.proof_age_ms(now),
            all_models_age_ms: self.all_models_at.map(|at| now.since(at)),
            known_for_ms: self.known_since.map(|since| now.since(since)),
        }
    }

    /// Whether this node ever had a proof of the newest versions, its own or another node's.
    pub fn is_proven(&self) -> bool {
        self.proven_at.is_some()
    }

    /// Time since the last proof, in milliseconds; `None` before the first one.
    pub fn proof_age_ms(&self, now: Millis) -> Option<u64> {
        self.proven_at.map(|at| now.since(at))
    }

    /// The newest version of a model and when this node learned of it.
    pub fn newest(&self, model: &str) -> Option<(u64, Millis)> {
        let newest = self.by_model.get(model)?.named.last()?;
        Some((newest.version, newest.learned_at))
    }

    /// The time at which the first version above `version` became known, as far as this node
    /// can tell; `None` when there is none. When this node learned of it more than `late_ms`
    /// after the last proof that `version` was the newest, the result is that proof's time
    /// plus `late_ms`.
    pub fn first_newer(&self, model: &str, version: u64, late_ms: u64) -> Option<Millis> {
        let weights = self.by_model.get(model)?;
        let mut named = weights.named.iter();
        let learned_at = named.find(|named| named.version > version)?.learned_at;
        let latest = match weights.proven_at(version) {
            Some(at) => at.plus(late_ms),
            None if self.known_since.is_some() => Millis(0),
            None => learned_at,
        };
        Some(learned_at.min(latest))
    }

    /// Remaining time for which requests may begin on a version, in milliseconds.
    pub fn left_ms(&self, model: &str, version: u64, bounds: &WeightsBounds, now: Millis) -> u64 {
        let until = self.begins_until(model, version, bounds);
        until.map_or(0, |until| until.since(now))
    }

    /// The lowest version on which a request may begin; `None` when there is no recent enough
    /// proof of which versions are in force.
    pub fn required(&self, model: &str, bounds: &WeightsBounds, now: Millis) -> Option<u64> {
        let may_begin = |version: &u64| self.left_ms(model, *version, bounds, now) > 0;
        let known = self.by_model.get(model);
        let proven = known.into_iter().flat_map(|weights| &weights.proofs);
        let mut versions = std::iter::once(0).chain(proven.map(|proof| proof.version));
        versions.find(may_begin)
    }

    fn begins_until(&self, model: &str, version: u64, bounds: &WeightsBounds) -> Option<Millis> {
        let weights = self.by_model.get(model);
        let proven_at = match weights {
            Some(weights) => weights.proven_at(version),
            None => self.all_models_at,
        };
        if let Some(at) = proven_at {
            return Some(at.plus(bounds.avoid_after_ms));
        }
        let after_ms = bounds.avoid_after_start_ms.min(bounds.avoid_after_ms);
        let at_start = self.known_since?.plus(after_ms);
        // At most as long as on any later version.
        let lowest = weights.and_then(|weights| weights.proofs.first());
        let later = lowest.map(|proof| proof.at.plus(bounds.avoid_after_ms));
        Some(later.map_or(at_start, |later| later.min(at_start)))
    }

    fn note_proof(&mut self, model: &str, proof: NewestProof) {
        if let Some(weights) = self.by_model.get_mut(model) {
            weights.note_proof(proof);
        }
    }

    fn note_proven(&mut self, at: Millis, known_since: Millis) {
        self.proven_at = self.proven_at.max(Some(at));
        let known = self.known_since.unwrap_or(known_since);
        self.known_since = Some(known.min(known_since));
    }
}

impl ModelWeights {
    fn note_version(&mut self, version: u64, learned_at: Millis) -> bool {
        if version == 0 {
            // 0 stands for no version.
            return false;
        }
        let at = self.named.partition_point(|named| named.version < version);
        let next = self.named.get(at).copied();
        if next.is_none_or(|next| next.version > version) {
            // A skipped version was published before the versions above it.
            let learned_at = next.map_or(learned_at, |next| learned_at.min(next.learned_at));
            self.named.insert(
                at,
                KnownVersion {
                    version,
                    learned_at,
                },
            );
        }
        self.note_known_by(at, learned_at);
        if self.named.len() > MAX_REMEMBERED {
            self.named.remove(0);
        }
        next.is_none()
    }

    /// Applies that the version at `index` was known by `known_at`. Versions only rise, so all
    /// lower versions were known by then too, and were no longer the newest.
    fn note_known_by(&mut self, index: usize, known_at: Millis) {
        for named in &mut self.named[..=index] {
            named.learned_at = named.learned_at.min(known_at);
        }
        let version = self.named[index].version;
        for proof in self
            .proofs
            .iter_mut()
            .filter(|proof| proof.version < version)
        {
            proof.at = proof.at.min(known_at);
        }
    }

    /// The time of the last proof that `version` or a lower one was the newest: no version
    /// above `version` had been acknowledged by then.
    fn proven_at(&self, version: u64) -> Option<Millis> {
        let proofs = self.proofs.iter();
        let mut lower = proofs.rev().filter(|proof| proof.version <= version);
        lower.next().map(|proof| proof.at)
    }

    /// Records a proof. If a higher version was known before the proof, a delayed write has
    /// overwritten that version in the store: the higher version stays in force, and the proof
    /// counts for it.
    fn note_proof(&mut self, proof: NewestProof) {
        let is_known_before = |named: &&KnownVersion| named.learned_at < proof.at;
        let known_before = self.named.iter().filter(is_known_before);
        let mut higher = known_before.filter(|named| named.version > proof.version);
        let Some(first_higher) = higher.next().copied() else {
            return self.insert_proof(proof);
        };
        let last_higher = higher.next_back();
        let newest = last_higher.map_or(first_higher.version, |last| last.version);
        self.insert_proof(NewestProof {
            at: first_higher.learned_at,
            ..proof
        });
        self.insert_proof(NewestProof {
            version: newest,
            ..proof
        });
    }

    fn insert_proof(&mut self, proof: NewestProof) {
        if self
            .proven_at(proof.version)
            .is_some_and(|at| at >= proof.at)
        {
            return;
        }
        // Proofs of later versions that are not more recent are implied by this one.
        let is_implied =
            |known: &NewestProof| known.version >= proof.version && known.at <= proof.at;
        self.proofs.retain(|known| !is_implied(known));
        let at = self
            .proofs
            .partition_point(|known| known.version < proof.version);
        self.proofs.insert(at, proof);
        if self.proofs.len() > MAX_REMEMBERED {
            self.proofs.remove(0);
        }
    }

    fn named_age_ms(&self, version: u64, now: Millis) -> Option<u64> {
        let mut named = self.named.iter();
        let named = named.find(|named| named.version == version)?;
        Some(now.since(named.learned_at))
    }

    fn reported_versions(
        &self,
        model: &str,
        bounds: &WeightsBounds,
        now: Millis,
    ) -> Vec<ReportedVersion> {
        let reported = |version, proof_age_ms| ReportedVersion {
            model: model.to_owned(),
            version,
            named_age_ms: self.named_age_ms(version, now),
            proof_age_ms,
        };
        let proofs = self.proofs.iter();
        let aged = proofs.map(|proof| (proof.version, now.since(proof.at)));
        let young = aged.filter(|(_, age_ms)| *age_ms < bounds.avoid_after_ms);
        let mut versions: Vec<ReportedVersion> = young
            .map(|(version, age_ms)| reported(version, Some(age_ms)))
            .collect();
        let newest = self.named.last().map_or(0, |named| named.version);
        if versions.last().is_none_or(|last| last.version < newest) {
            versions.push(reported(newest, None));
        }
        let first = versions.len().saturating_sub(MAX_REPORTED_PER_MODEL);
        versions.split_off(first)
    }
}
