//! Which engines may serve a request at all: one filter before the one cost.

use crate::catalogue::{Engine, EngineCatalogue};
use crate::fleet::Criteria;
use ploverlift_policy::ids::Millis;

/// Why no engine could be chosen. The first filter that leaves no engine is named.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NoChoice {
    /// The service has no engine that is up and stays.
    NoEngine,
    /// No engine has a version of the software that may serve the request.
    SoftwareHeldBack,
    /// Every engine has weights that are too old.
    WeightsTooOld,
    /// The last proof of which weights are the newest is too old.
    WeightsNotProven,
    /// Every engine was tried already.
    AllTried,
    /// Every engine that was not tried asked this node to back off.
    BackingOff,
    /// Every engine that was not tried has given out all that it takes for now.
    NoRoom,
}

/// Those of a service's engines that may serve the request, in their order.
pub(crate) fn eligible<'a>(
    mut engines: Vec<&'a Engine>,
    catalogue: &EngineCatalogue,
    criteria: &Criteria<'_>,
    now: Millis,
) -> Result<Vec<&'a Engine>, NoChoice> {
    let is_there = |engine: &&Engine| !engine.record.is_leaving && !engine.is_misdirected(now);
    keep(&mut engines, is_there, NoChoice::NoEngine)?;
    if !catalogue.notices.is_empty() {
        keep_staying(&mut engines, catalogue, criteria, now)?;
    }
    let has_software = |engine: &&Engine| criteria.software.allows(&engine.record.software);
    keep(&mut engines, has_software, NoChoice::SoftwareHeldBack)?;
    let has_weights = |engine: &&Engine| has_weights(engine, criteria);
    keep(&mut engines, has_weights, NoChoice::WeightsTooOld)?;
    let is_untried = |engine: &&Engine| !criteria.excluded.contains(&engine.record.instance);
    keep(&mut engines, is_untried, NoChoice::AllTried)?;
    if !catalogue.notices.is_empty() {
        let takes_requests = |engine: &&Engine| catalogue.backoff(engine, now).is_none();
        keep(&mut engines, takes_requests, NoChoice::BackingOff)?;
    }
    let rooms = &catalogue.rate_limits;
    if !rooms.is_empty() {
        let has_room = |engine: &&Engine| {
            let is_avoided = criteria.avoids_limited && rooms.is_limited(engine.tag);
            !is_avoided && rooms.has_token(engine.tag, now)
        };
        keep(&mut engines, has_room, NoChoice::NoRoom)?;
    }
    Ok(engines)
}

/// Leaves out engines that said in answers that they leave. Where all did, those that said
/// so a moment ago serve on.
fn keep_staying(
    engines: &mut Vec<&Engine>,
    catalogue: &EngineCatalogue,
    criteria: &Criteria<'_>,
    now: Millis,
) -> Result<(), NoChoice> {
    let notice = |engine: &&Engine| catalogue.leaving_notice(engine);
    if engines.iter().any(|engine| notice(engine).is_none()) {
        engines.retain(|engine| notice(engine).is_none());
        return Ok(());
    }
    let is_recent = |engine: &&Engine| {
        let since = notice(engine).map(|notice| notice.since);
        since.is_none_or(|since| now.since(since) < criteria.leaving_grace_ms)
    };
    keep(engines, is_recent, NoChoice::NoEngine)
}

fn keep(
    engines: &mut Vec<&Engine>,
    is_eligible: impl Fn(&&Engine) -> bool,
    otherwise: NoChoice,
) -> Result<(), NoChoice> {
    engines.retain(is_eligible);
    match engines.is_empty() {
        true => Err(otherwise),
        false => Ok(()),
    }
}

fn has_weights(engine: &Engine, criteria: &Criteria<'_>) -> bool {
    let prompt = criteria.prompt.as_ref();
    prompt.is_none_or(|prompt| engine.weights_of(prompt.model) >= prompt.required_weights)
}
