//! The rate that an engine names in its answers.

use super::choice::ChosenEngine;
use super::Forwarding;
use crate::ports::AdvertisedLimit;
use ploverlift_http1::ResponseHead;

impl Forwarding {
    /// Takes in what the head of an engine's own answer says of the rate that it takes.
    pub(super) fn learn_limit(&self, head: &ResponseHead, chosen: &ChosenEngine) {
        let gateway = &self.gateway;
        let named = match gateway.site.answer_limit(head) {
            AdvertisedLimit::Unlimited => None,
            AdvertisedLimit::PerSecond(per_second) => Some(per_second),
            AdvertisedLimit::Invalid { text } => {
                gateway.metrics.invalid_limits.inc();
                slog::warn!(gateway.log, "engine's rate limit not read";
                    "engine" => &chosen.instance.0, "text" => text);
                return;
            }
        };
        if named.is_some() {
            gateway.metrics.limited_answers.inc();
        }
        let before = {
            let limits = &mut gateway.beliefs().named_limits;
            match named {
                Some(per_second) => limits.insert(chosen.tag, per_second),
                None => limits.remove(&chosen.tag),
            }
        };
        if before != named {
            slog::info!(gateway.log, "engine's rate limit";
                "engine" => &chosen.instance.0, "per_second" => named, "before" => before,
                "id" => &self.received.request.id);
        }
    }
}
