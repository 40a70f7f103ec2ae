//! Filters the engines that may serve a request, before their costs are compared.

use crate::catalogue::{Engine, EngineCatalogue};
use crate::fleet::Criteria;
use ploverlift_policy::ids::Millis;

/// Why no engine could be selected: the first filter that left no engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NoChoice {
    /// The service has no engine that is up and not leaving.
    NoEngine,
    /// No engine runs a software version that may serve the request.
    SoftwareHeldBack,
    /// All engines have weights that are too old.
    WeightsTooOld,
    /// The last proof of which weights are the newest is too old.
    WeightsNotProven,
    /// All engines were tried already.
    AllTried,
    /// All untried engines have asked this node to back off.
    BackingOff,
    /// All untried engines have used up their rate limits for now.
    RateLimited,
    /// All untried engines admit no further connection of this node for now.
    NoRoom,
}

/// Returns the engines that may serve the request, in the given order.
pub(crate) fn eligible<'a>(
    mut engines: Vec<&'a Engine>,
    catalogue: &EngineCatalogue,
    criteria: &Criteria<'_>,
    now: Millis,
) -> Result<Vec<&'a Engine>, NoChoice> {
    let is_available = |engine: &&Engine| !engine.record.is_leaving && !engine.is_misdirected(now);
    apply_filter(&mut engines, is_available, NoChoice::NoEngine)?;
    if !catalogue.notices.is_empty() {
        drop_leaving(&mut engines, catalogue, criteria, now)?;
    }
    let has_software = |engine: &&Engine| criteria.software.allows(&engine.record.software);
    apply_filter(&mut engines, has_software, NoChoice::SoftwareHeldBack)?;
    let has_weights = |engine: &&Engine| has_weights(engine, criteria);
    apply_filter(&mut engines, has_weights, NoChoice::WeightsTooOld)?;
    let is_untried = |engine: &&Engine| !criteria.excluded.contains(&engine.record.instance);
    apply_filter(&mut engines, is_untried, NoChoice::AllTried)?;
    if !catalogue.notices.is_empty() {
        let takes_requests = |engine: &&Engine| catalogue.backoff(engine, now).is_none();
        apply_filter(&mut engines, takes_requests, NoChoice::BackingOff)?;
    }
    let has_room = |engine: &&Engine| engine.connections.has_room(now);
    apply_filter(&mut engines, has_room, NoChoice::NoRoom)?;
    let rate_limits = &catalogue.rate_limits;
    if !rate_limits.is_empty() {
        let is_below_limit = |engine: &&Engine| {
            let is_avoided = criteria.avoids_limited && rate_limits.is_limited(engine.tag);
            !is_avoided && rate_limits.has_token(engine.tag, now)
        };
        apply_filter(&mut engines, is_below_limit, NoChoice::RateLimited)?;
    }
    Ok(engines)
}

/// Leaves out engines that announced in answers that they are leaving. Where all did,
/// those that announced it within the grace period stay eligible.
fn drop_leaving(
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
    apply_filter(engines, is_recent, NoChoice::NoEngine)
}

fn apply_filter(
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
