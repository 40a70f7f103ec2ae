//! A node's view built from the reports of others, and the choice that follows.

use crate::fleet::{self, record, tag, NOW};
use ploverlift_balancing::catalogue::{EngineCatalogue, EngineRecord};
use ploverlift_balancing::cost::CostRates;
use ploverlift_balancing::engine_caches::EngineCaches;
use ploverlift_balancing::engine_paths::EnginePaths;
use ploverlift_balancing::fleet::{Criteria, FleetView, PromptCriteria};
use ploverlift_balancing::moves::MovesUnderWay;
use ploverlift_balancing::peer_loads::{
    EngineLoad, EngineTag, LoadReport, PeerId, PeerLoads, ZoneTag,
};
use ploverlift_balancing::prefix_holders::PrefixHolders;
use ploverlift_balancing::round_trips::RoundTrips;
use ploverlift_balancing::selection::{choose, Choice};
use ploverlift_balancing::unreported_load::RecentPrefill;
use ploverlift_policy::ids::{Millis, ZoneName};
use ploverlift_routing::configuration::ServiceName;
use ploverlift_routing::prompt::{cache_salt, part_keys, ChainKey, PromptPart};
use ploverlift_routing::software::SoftwareRule;
use ploverlift_routing::topology::Topology;

const RATES: CostRates = CostRates {
    eviction_share: 0.2,
    ..fleet::RATES
};

pub fn catalogue(weights: &[u64]) -> EngineCatalogue {
    let mut catalogue = EngineCatalogue::default();
    for (index, weights) in weights.iter().enumerate() {
        catalogue.upsert(EngineRecord {
            weights: [("m".to_owned(), *weights)].into(),
            ..record(index)
        });
    }
    catalogue
}

pub fn load(requests: u32, waiting_tokens: u64) -> EngineLoad {
    EngineLoad {
        requests,
        waiting_tokens,
    }
}

pub fn report(sender: u64, sequence: u64, loads: &[(EngineTag, EngineLoad)]) -> LoadReport {
    LoadReport {
        sender: PeerId(sender),
        zone: ZoneTag(sender as u32 % 2),
        life: 1,
        sequence,
        is_full: false,
        loads: loads.to_vec(),
        loading: Vec::new(),
    }
}

/// Two shared parts of 2,000 and 4,000 tokens.
pub fn parts() -> Vec<PromptPart> {
    vec![
        PromptPart {
            id: 1,
            tokens: 2_000,
        },
        PromptPart {
            id: 2,
            tokens: 4_000,
        },
    ]
}

pub fn chosen(catalogue: &EngineCatalogue, loads: &PeerLoads, holders: &PrefixHolders) -> Choice {
    chosen_at(catalogue, loads, holders, &EngineCaches::default(), NOW)
}

pub fn chosen_at(
    catalogue: &EngineCatalogue,
    loads: &PeerLoads,
    holders: &PrefixHolders,
    caches: &EngineCaches,
    now: Millis,
) -> Choice {
    let view = FleetView {
        topology: &Topology::default(),
        round_trips: &RoundTrips::default(),
        moves: &MovesUnderWay::default(),
        catalogue,
        peer_loads: loads,
        holders,
        caches,
        paths: &EnginePaths::default(),
        recent_prefill: &RecentPrefill::default(),
        cache_stores: Vec::new(),
    };
    chosen_in(&view, &parts(), 0.0, now)
}

/// The choice for a prompt with these shared parts, at this position among the unreported
/// requests of other nodes.
pub fn chosen_in(
    view: &FleetView<'_>,
    shared: &[PromptPart],
    arrival_fraction: f64,
    now: Millis,
) -> Choice {
    let prompt = PromptCriteria {
        arrival_fraction,
        ..criteria_of(shared)
    };
    chosen_for(view, prompt, now)
}

/// A prompt with these shared parts, whose moves take no time.
pub fn criteria_of(shared: &[PromptPart]) -> PromptCriteria<'_> {
    PromptCriteria {
        model: "m",
        scope: "",
        key: ChainKey(7),
        shared,
        move_tokens_per_ms: f64::INFINITY,
        required_weights: 0,
        arrival_fraction: 0.0,
    }
}

/// The choice for a prompt.
pub fn chosen_for(view: &FleetView<'_>, prompt: PromptCriteria<'_>, now: Millis) -> Choice {
    let criteria = Criteria {
        service: &ServiceName::from("llm"),
        zone: &ZoneName::from("z"),
        request_bytes: 0,
        prompt: Some(prompt),
        software: SoftwareRule::Any,
        sample_seed: 1,
        excluded: &[],
        leaving_grace_ms: 0,
        avoids_limited: false,
    };
    choose(view, &criteria, &RATES, now).expect("an engine")
}

/// Holders in which these engines cache the first `count` parts under these weights.
pub fn kept_by(engines: &[usize], weights: u64, count: usize) -> PrefixHolders {
    let chains = part_keys(&cache_salt("m", weights, ""), &parts()[..count]);
    let mut holders = PrefixHolders::default();
    for engine in engines {
        holders.note_own(&chains, tag(*engine), NOW);
    }
    holders
}
