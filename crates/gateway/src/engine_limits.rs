//! The rate limits of engines, as one node knows them: log lines and metrics.

use crate::beliefs::Beliefs;
use crate::state::Gateway;
use ploverlift_balancing::peer_loads::EngineTag;

/// An engine's limit is another one from now on; `source` told it.
pub(crate) fn log_limit(
    gateway: &Gateway,
    beliefs: &Beliefs,
    engine: EngineTag,
    before: Option<f64>,
    source: &'static str,
) {
    let limits = &beliefs.engine_limits;
    let limited = limits.limited().count();
    gateway.metrics.limited_engines.set(limited as i64);
    let known = beliefs.engines.by_tag(engine);
    slog::info!(gateway.log, "engine's rate limit";
        "engine" => known.map(|known| known.record.instance.0.as_str()),
        "tag" => engine.0,
        "per_second" => limits.limit_of(engine),
        "before" => before,
        "from" => source,
        "limited" => limited);
}
