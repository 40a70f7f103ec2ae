//! Selects the engines whose costs are compared.
//!
//! In a small service these are all engines. In a large one they are a bounded set that
//! does not grow with the service: the first engines of each zone in the prompt's
//! rendezvous order, on which all nodes agree, so that a prompt reaches its home; engines
//! that are known to cache a shared part of the prompt; and some random ones, so that
//! idle engines receive work.

use crate::catalogue::{Engine, EngineCatalogue};
use crate::eligibility::{eligible, NoChoice};
use crate::fleet::{Criteria, FleetView, PromptCriteria};
use crate::names::InstanceId;
use crate::rendezvous;
use crate::service_index::ServiceIndex;
use ploverlift_policy::ids::Millis;
use ploverlift_routing::prompt::{cache_salt, part_keys};
use std::cmp::Reverse;
use std::collections::{BTreeSet, HashSet};
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Largest service whose engines are all examined: this takes half a millisecond of one
/// core.
const MAX_FULL_SCAN: usize = 512;
/// Engines per zone from the prompt's rendezvous order: the number over which a prompt
/// that all callers send spreads in a zone.
const HOMES_PER_ZONE: usize = 6;
/// Maximum number of engines examined because they are known to cache the prompt.
const MAX_HOLDERS: usize = 24;
/// Random engines from this node's zone: where half of the engines are idle, two of four
/// random ones are nearly always idle.
const RANDOM_SAME_ZONE: usize = 8;
/// Random engines from each other zone.
const RANDOM_OTHER_ZONE: usize = 1;
/// Time for which an engine that has announced that it is leaving remains a source of KV
/// cache, in milliseconds. Some engines end after that, and a move from one that has
/// ended costs tenths of a second.
const SOURCE_AFTER_NOTICE_MS: u64 = 2_000;
/// Increment between the random points on a ring; any odd number spreads them.
const POINT_STEP: u64 = 0x9e37_79b9_7f4a_7c15;

/// The engines that are compared.
pub(crate) struct Candidates<'a> {
    /// Eligible engines: those of the prompt's rendezvous order first, starting with the
    /// home, then the others.
    pub(crate) engines: Vec<&'a Engine>,
    /// Possible sources of the prompt's KV cache, including engines that may not serve
    /// the request because they are leaving or were tried.
    pub(crate) sources: Vec<&'a Engine>,
    /// Engines of the service per examined engine.
    pub(crate) engines_per_candidate: f64,
}

/// Returns the engines that may serve the request, all of them or a bounded set.
///
/// # Errors
/// Returns the reason when no engine may serve the request.
pub(crate) fn candidates<'a>(
    view: &FleetView<'a>,
    criteria: &Criteria<'_>,
    now: Millis,
) -> Result<Candidates<'a>, NoChoice> {
    let index = view.catalogue.service_index(criteria.service);
    let index = index.ok_or(NoChoice::NoEngine)?;
    let rate_limits = &view.catalogue.rate_limits;
    if index.len() > MAX_FULL_SCAN {
        let sample = sample(view, index, criteria, now);
        match eligible(sample.clone(), view.catalogue, criteria, now) {
            Ok(engines) => {
                let engines_per_candidate = index.len() as f64 / engines.len() as f64;
                return Ok(Candidates {
                    engines,
                    sources: sources(sample, view.catalogue, now),
                    engines_per_candidate,
                });
            }
            // When most engines are rate-limited, the node that holds their limits knows
            // better than a full scan.
            Err(NoChoice::RateLimited) if rate_limits.len() > index.len() / 2 => {
                return Err(NoChoice::RateLimited);
            }
            // A full scan for each rejected request would cost too much.
            Err(NoChoice::BackingOff) if view.catalogue.notices.len() > index.len() / 2 => {
                return Err(NoChoice::BackingOff);
            }
            // When no engine of the bounded set may serve the request, another one may.
            Err(_) => {}
        }
    }
    let all: Vec<&Engine> = view.catalogue.of_service(criteria.service).collect();
    let engines = eligible(all.clone(), view.catalogue, criteria, now)?;
    Ok(Candidates {
        engines: ranked(engines, criteria.prompt.as_ref()),
        sources: sources(all, view.catalogue, now),
        engines_per_candidate: 1.0,
    })
}

/// Engines that can be sources of KV cache: those that have probably ended by now are
/// left out.
fn sources<'a>(
    mut engines: Vec<&'a Engine>,
    catalogue: &EngineCatalogue,
    now: Millis,
) -> Vec<&'a Engine> {
    if !catalogue.notices.is_empty() {
        engines.retain(|engine| {
            let notice = catalogue.leaving_notice(engine);
            notice.is_none_or(|notice| now.since(notice.since) < SOURCE_AFTER_NOTICE_MS)
        });
    }
    engines
}

/// A bounded set of a large service's engines.
fn sample<'a>(
    view: &FleetView<'a>,
    index: &'a ServiceIndex,
    criteria: &Criteria<'_>,
    now: Millis,
) -> Vec<&'a Engine> {
    let prompt = criteria.prompt.as_ref();
    let homes = prompt.map_or_else(Vec::new, |prompt| homes(view.catalogue, index, prompt));
    let homes = ranked(homes, prompt);
    let mut others = random_engines(view.catalogue, index, criteria);
    if let Some(prompt) = prompt {
        let known = homes.iter().chain(&others);
        let versions: BTreeSet<u64> = known
            .map(|engine| engine.weights_of(prompt.model))
            .collect();
        others.extend(holders(view, &versions, prompt, now));
    }
    let mut seen: HashSet<&InstanceId> = HashSet::new();
    let mut engines: Vec<&Engine> = homes.into_iter().chain(others).collect();
    engines.retain(|engine| seen.insert(&engine.record.instance));
    engines
}

/// The first engines of each zone in the order of the prompt's key.
fn homes<'a>(
    catalogue: &'a EngineCatalogue,
    index: &'a ServiceIndex,
    prompt: &PromptCriteria<'_>,
) -> Vec<&'a Engine> {
    let instances = index.zones().flat_map(|zone| {
        let point = xxh3_64_with_seed(zone.0.as_bytes(), prompt.key.0);
        index.from_point(zone, point).take(HOMES_PER_ZONE)
    });
    let engines = instances.filter_map(|instance| catalogue.get(instance));
    engines.collect()
}

/// Random engines, with more from this node's zone than from others.
fn random_engines<'a>(
    catalogue: &'a EngineCatalogue,
    index: &'a ServiceIndex,
    criteria: &Criteria<'_>,
) -> Vec<&'a Engine> {
    let mut point = criteria.sample_seed;
    let mut engines = Vec::new();
    for zone in index.zones() {
        let count = match zone == criteria.zone {
            true => RANDOM_SAME_ZONE,
            false => RANDOM_OTHER_ZONE,
        };
        for _ in 0..count {
            point = point.wrapping_mul(POINT_STEP).wrapping_add(POINT_STEP);
            let instance = index.from_point(zone, point).next();
            engines.extend(instance.and_then(|instance| catalogue.get(instance)));
        }
    }
    engines
}

/// Engines that are known to cache the prompt's shared parts under any of these weights
/// versions; holders of the last part first, then of earlier ones.
fn holders<'a>(
    view: &FleetView<'a>,
    versions: &BTreeSet<u64>,
    prompt: &PromptCriteria<'_>,
    now: Millis,
) -> Vec<&'a Engine> {
    let mut engines = Vec::new();
    for version in versions {
        let salt = cache_salt(prompt.model, *version, prompt.scope);
        let keys = part_keys(&salt, prompt.shared);
        for key in keys.iter().rev() {
            let holders = view.holders.holders_of(*key, now);
            let known = holders.filter_map(|tag| view.catalogue.by_tag(tag));
            engines.extend(known.take(MAX_HOLDERS - engines.len()));
        }
    }
    engines
}

/// Sorts engines by the prompt's rendezvous order.
fn ranked<'a>(
    mut engines: Vec<&'a Engine>,
    prompt: Option<&PromptCriteria<'_>>,
) -> Vec<&'a Engine> {
    if let Some(prompt) = prompt {
        engines.sort_by_cached_key(|engine| {
            Reverse(rendezvous::weight(prompt.key, &engine.record.instance))
        });
    }
    engines
}
