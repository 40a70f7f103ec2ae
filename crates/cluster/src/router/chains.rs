//! Chains of a prompt for each weights version, and conversion of machine
//! objects to engines.

use super::{RoutedRequest, VersionedChains};
use ploverlift_policy::chain::{ChainSeed, PromptChain};
use ploverlift_policy::directory::PrefixMatch;
use ploverlift_policy::fleet::{Engine, ListedEngine};
use ploverlift_policy::ids::{EngineName, WeightsVersion};
use ploverlift_policy::objects::{MachineRole, MachineSpec, Object};

/// The prompt's blocks under each of the weights versions.
pub fn chains_of(request: &RoutedRequest, weights: &[WeightsVersion]) -> VersionedChains {
    let route = request.snapshot.routes.get(request.route);
    let Some(pool) = route.and_then(|route| request.snapshot.pool(&route.spec.pool)) else {
        return Vec::new();
    };
    let scope = request.tenant.cache_scope();
    let chain = |weights: WeightsVersion| {
        let seed = ChainSeed {
            scope: &scope,
            model: &pool.spec.model,
            weights,
        };
        let (block_tokens, bytes) = (pool.spec.block_tokens, pool.spec.bytes_per_token);
        PromptChain::of_text(&seed, &request.prompt, block_tokens, bytes)
    };
    weights
        .iter()
        .map(|weights| (*weights, chain(*weights)))
        .collect()
}

/// Adds a match, keeping the longer of two matches of the same engine
/// incarnation.
pub(super) fn merge_match(matches: &mut Vec<PrefixMatch>, found: PrefixMatch) {
    let known = matches
        .iter_mut()
        .find(|known| known.engine == found.engine && known.incarnation == found.incarnation);
    match known {
        Some(known) if known.blocks < found.blocks => *known = found,
        Some(known) if known.blocks == found.blocks => {
            known.used_at = known.used_at.max(found.used_at);
        }
        Some(_) => {}
        None => matches.push(found),
    }
}

pub(super) fn engine_of(object: &Object) -> Option<Engine> {
    object.validate().ok()?;
    let spec: MachineSpec = object.typed().ok()?;
    if spec.role == MachineRole::Node {
        return None;
    }
    Some(Engine::from(ListedEngine {
        name: EngineName(object.metadata.name.clone()),
        address: spec.address.parse().ok()?,
        zone: spec.zone,
        labels: object.metadata.labels.clone(),
        role: spec.role,
        state: spec.state,
    }))
}
