//! Where an engine can have the shared parts of a prompt that it lacks, and how long
//! the move takes.

use crate::catalogue::{Engine, InstanceId};
use crate::prefix_reach::PrefixReach;
use crate::selection::{FleetView, PromptCriteria};
use ploverlift_policy::ids::ZoneName;

/// How much longer moving cache takes between zones.
const FAR_TRANSFER: f64 = 2.0;
/// Rates at which KV cache moves within a zone, in tokens a millisecond.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct MoveRates {
    /// From one engine to another.
    pub between_engines: f64,
    /// From the store to an engine.
    pub from_store: f64,
}

impl Default for MoveRates {
    /// Where no rates are known, moving takes no time.
    fn default() -> Self {
        Self {
            between_engines: f64::INFINITY,
            from_store: f64::INFINITY,
        }
    }
}

/// Where an engine can have shared parts that it lacks.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CacheSource {
    /// Another engine.
    Engine(InstanceId),
    /// The KV cache store.
    Store,
}

/// How an engine can have the shared parts of a prompt.
#[derive(Clone, Debug, Default)]
pub(crate) struct Supply {
    /// Where it can have what it lacks.
    pub(crate) source: Option<CacheSource>,
    /// Tokens that it keeps itself.
    pub(crate) held_tokens: u64,
    /// Tokens that need not be read.
    pub(crate) kept_tokens: u64,
}

/// What a source keeps of a prompt, and the time to move what an engine lacks.
pub(crate) struct Offer {
    /// The source.
    pub(crate) source: CacheSource,
    /// Tokens of the shared parts that it keeps.
    pub(crate) kept_tokens: u64,
    /// Time of the move, in milliseconds.
    pub(crate) move_ms: f64,
}

/// What the offers of all sources for one prompt follow from.
pub(crate) struct Offering<'a> {
    /// What is known of the fleet.
    pub(crate) view: &'a FleetView<'a>,
    /// Who keeps the prompt's shared parts.
    pub(crate) reach: &'a PrefixReach<'a>,
    /// The prompt.
    pub(crate) prompt: &'a PromptCriteria<'a>,
}

/// How much longer a move takes over the distance.
fn distance(from: &ZoneName, to: &ZoneName) -> f64 {
    match from == to {
        true => 1.0,
        false => FAR_TRANSFER,
    }
}

/// The source that keeps the most; of two that keep as much, the faster one.
pub(crate) fn best_offer(offering: &Offering<'_>, engine: &Engine, held: u64) -> Option<Offer> {
    let from_engine = offer_of_engine(offering, engine, held);
    let from_store = offer_of_store(offering, engine, held);
    let (Some(near), Some(stored)) = (&from_engine, &from_store) else {
        return from_engine.or(from_store);
    };
    let is_better = stored.kept_tokens > near.kept_tokens
        || (stored.kept_tokens == near.kept_tokens && stored.move_ms < near.move_ms);
    match is_better {
        true => from_store,
        false => from_engine,
    }
}

fn offer_of_engine(offering: &Offering<'_>, engine: &Engine, held: u64) -> Option<Offer> {
    let Offering { reach, prompt, .. } = offering;
    let (source, kept_tokens) = reach.best_source(engine, prompt.model)?;
    let moved = kept_tokens.saturating_sub(held) as f64;
    let distance = distance(&source.record.zone, &engine.record.zone);
    Some(Offer {
        source: CacheSource::Engine(source.record.instance.clone()),
        kept_tokens,
        move_ms: moved / prompt.moves.between_engines * distance,
    })
}

fn offer_of_store(offering: &Offering<'_>, engine: &Engine, held: u64) -> Option<Offer> {
    let Offering {
        view,
        reach,
        prompt,
    } = offering;
    let store = view.cache_store?;
    let kept_tokens = reach.stored(engine.weights_of(prompt.model))?;
    let moved = kept_tokens.saturating_sub(held) as f64;
    let distance = distance(store.zone, &engine.record.zone);
    Some(Offer {
        source: CacheSource::Store,
        kept_tokens,
        move_ms: moved / prompt.moves.from_store * distance,
    })
}
