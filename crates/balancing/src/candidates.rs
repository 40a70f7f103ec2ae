//! Which engines a choice looks at.
//!
//! All of them where they are few. In a large service a bounded set, whatever its size:
//! those that the prompt's own order names first in each zone, which all nodes agree on,
//! so that a prompt finds its home; those that are known to keep the prompt's first
//! part; and some drawn at random, so that work finds engines without any.

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

/// Engines of a service up to which a choice looks at all: such a choice takes half a
/// millisecond of a whole core.
const MAX_ALL: usize = 512;
/// Engines of each zone that a prompt's own order names: as many as one prompt that is
/// asked for by everyone spreads over in a zone.
const HOMES_PER_ZONE: usize = 6;
/// Engines that are known to keep the prompt and are looked at.
const MAX_HOLDERS: usize = 24;
/// Engines of this node's zone that are drawn at random: two of four are nearly always
/// without work where half of the engines are.
const DRAWN_NEAR: usize = 8;
/// Engines of each other zone that are drawn at random.
const DRAWN_FAR: usize = 1;
/// Time for which an engine that said that it leaves is a source of KV cache, in
/// milliseconds: some end then, and a move from one that has ended costs tenths of a second.
const SOURCE_AFTER_NOTICE_MS: u64 = 2_000;
/// Steps between the points of a ring that are drawn: any odd number spreads them.
const POINT_SEED: u64 = 0x9e37_79b9_7f4a_7c15;

/// The engines that a choice looks at.
pub(crate) struct Candidates<'a> {
    /// Those in the prompt's own order first, the home in front; the others follow.
    pub(crate) engines: Vec<&'a Engine>,
    /// Those of whom the prompt's parts can be had: also engines that may not serve it,
    /// as they leave or were tried.
    pub(crate) sources: Vec<&'a Engine>,
    /// Engines of the service for each one that is looked at.
    pub(crate) thinning: f64,
}

/// The engines of the service that may serve the request, all of them or a bounded set.
///
/// # Errors
/// When no engine may serve the request.
pub(crate) fn candidates<'a>(
    view: &FleetView<'a>,
    criteria: &Criteria<'_>,
    now: Millis,
) -> Result<Candidates<'a>, NoChoice> {
    let index = view.catalogue.service_index(criteria.service);
    let index = index.ok_or(NoChoice::NoEngine)?;
    let rooms = &view.catalogue.rate_limits;
    if index.len() > MAX_ALL {
        let few = few(view, index, criteria, now);
        match eligible(few.clone(), view.catalogue, criteria, now) {
            Ok(engines) => {
                let thinning = index.len() as f64 / engines.len() as f64;
                return Ok(Candidates {
                    engines,
                    sources: sources(few, view.catalogue, now),
                    thinning,
                });
            }
            // Whoever counts for the limited engines knows better than a look at all.
            Err(NoChoice::NoRoom) if rooms.len() > index.len() / 2 => {
                return Err(NoChoice::NoRoom);
            }
            // Looking at all of them for each rejected request would cost too much.
            Err(NoChoice::BackingOff) if view.catalogue.notices.len() > index.len() / 2 => {
                return Err(NoChoice::BackingOff);
            }
            // Where none of a few may serve, another one may.
            Err(_) => {}
        }
    }
    let all: Vec<&Engine> = view.catalogue.of_service(criteria.service).collect();
    let engines = eligible(all.clone(), view.catalogue, criteria, now)?;
    Ok(Candidates {
        engines: ranked(engines, criteria.prompt.as_ref()),
        sources: sources(all, view.catalogue, now),
        thinning: 1.0,
    })
}

/// Those of whom KV cache can be had: not those that have likely ended by now.
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
fn few<'a>(
    view: &FleetView<'a>,
    index: &'a ServiceIndex,
    criteria: &Criteria<'_>,
    now: Millis,
) -> Vec<&'a Engine> {
    let prompt = criteria.prompt.as_ref();
    let homes = prompt.map_or_else(Vec::new, |prompt| homes(view.catalogue, index, prompt));
    let homes = ranked(homes, prompt);
    let mut others = drawn(view.catalogue, index, criteria);
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

/// The engines of each zone that the prompt's key names first.
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

/// Engines drawn at random, more of this node's zone.
fn drawn<'a>(
    catalogue: &'a EngineCatalogue,
    index: &'a ServiceIndex,
    criteria: &Criteria<'_>,
) -> Vec<&'a Engine> {
    let mut point = criteria.draw;
    let mut engines = Vec::new();
    for zone in index.zones() {
        let count = match zone == criteria.zone {
            true => DRAWN_NEAR,
            false => DRAWN_FAR,
        };
        for _ in 0..count {
            point = point.wrapping_mul(POINT_SEED).wrapping_add(POINT_SEED);
            let instance = index.from_point(zone, point).next();
            engines.extend(instance.and_then(|instance| catalogue.get(instance)));
        }
    }
    engines
}

/// Engines that are known to keep the prompt's last shared part, or else its first one,
/// under any of these versions of weights.
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

/// Engines in the order in which the prompt prefers them.
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
