//! Log lines and metrics on the rate limits that engines advertise.

use crate::beliefs::Beliefs;
use crate::metrics::LimitedEngineLabel;
use crate::state::Gateway;
use ploverlift_balancing::peer_loads::EngineTag;
use ploverlift_enginelimit::node_messages::{TokenAnswer, TokenRequest};
use ploverlift_policy::ids::Millis;

/// Logs that an engine's limit has changed, as reported by `source`.
pub(crate) fn log_limit(
    gateway: &Gateway,
    beliefs: &Beliefs,
    engine: EngineTag,
    before: Option<f64>,
    source: &'static str,
) {
    let limits = &beliefs.engine_limits;
    let known = beliefs.engines.by_tag(engine);
    slog::info!(gateway.log, "engine's rate limit";
        "engine" => known.map(|known| known.record.instance.0.as_str()),
        "tag" => engine.0,
        "per_second" => limits.limit_of(engine),
        "before" => before,
        "from" => source,
        "limited" => limits.limited().count());
}

/// Updates the metrics of engines with a rate limit, before the metrics are read.
pub(crate) fn publish_limits(gateway: &Gateway) {
    let beliefs = gateway.beliefs();
    let limited = beliefs.engine_limits.limited();
    let named = limited.filter_map(|(engine, limit, _)| {
        let known = beliefs.engines.by_tag(engine)?;
        Some((known.record.instance.0.clone(), limit))
    });
    gateway.metrics.set_engine_limits(named);
}

/// Answers a token request of another node or of this one.
pub(crate) fn answer_request(
    gateway: &Gateway,
    request: &TokenRequest,
    now: Millis,
) -> TokenAnswer {
    let beliefs = &mut *gateway.beliefs();
    let answer = beliefs.engine_limits.answer(request, now);
    gateway.metrics.count_token(&answer);
    if let TokenAnswer::Granted { engine, .. } = answer {
        if let Some(known) = beliefs.engines.by_tag(engine) {
            let engine = known.record.instance.0.clone();
            let granted = &gateway.metrics.granted_requests;
            granted.get_or_create(&LimitedEngineLabel { engine }).inc();
        }
    }
    answer
}
