//! Log lines about rollouts.

use super::service::StageChange;
use super::OrderUpdate;
use crate::state::Gateway;
use ploverlift_rollout::decider::Reason;
use ploverlift_rollout::evidence::Finding;
use ploverlift_rollout::order::RolloutOrder;
use ploverlift_rollout::stage::{Progress, Stage};
use slog::{Record, Serializer, KV};

/// Log fields common to all lines about a stage, decided or applied.
struct StageFields<'a> {
    order: &'a RolloutOrder,
    progress: &'a Progress,
}

impl KV for StageFields<'_> {
    fn serialize(&self, _record: &Record<'_>, serializer: &mut dyn Serializer) -> slog::Result {
        let (order, progress) = (self.order, self.progress);
        serializer.emit_str("service", &order.service.0)?;
        serializer.emit_str("target", &order.target.0)?;
        serializer.emit_str("stage", progress.stage.name())?;
        serializer.emit_u64("share_ppm", progress.stage.share_ppm())?;
        serializer.emit_u64("rollout", progress.rollout.0)?;
        serializer.emit_u64("epoch", progress.epoch.0)?;
        serializer.emit_u64("elapsed_ms", progress.elapsed_ms)?;
        serializer.emit_u64("requests", progress.requests)?;
        serializer.emit_u64("target_arrivals", progress.target_arrivals)?;
        serializer.emit_u64("revision", order.revision)
    }
}

/// Logs changed orders and stages.
pub fn log_order_updates(gateway: &Gateway, updates: &[OrderUpdate]) {
    for update in updates {
        match &update.stage {
            Ok(Some(change)) => log_stage(gateway, &update.order, change),
            Ok(None) => {
                slog::info!(gateway.log, "rollout order";
                    "service" => &update.order.service.0, "target" => &update.order.target.0,
                    "duration_ms" => update.order.duration_ms, "revision" => update.order.revision);
            }
            Err(error) => {
                slog::error!(gateway.log, "rollout status can't be read, its target is held back";
                    "service" => &update.order.service.0, "target" => &update.order.target.0,
                    "revision" => update.order.revision, "error" => error.to_string());
            }
        }
    }
}

fn log_stage(gateway: &Gateway, order: &RolloutOrder, change: &StageChange) {
    let progress = &change.progress;
    gateway
        .metrics
        .note_rollout_stage(&order.service.0, progress.stage.name(), progress.epoch.0);
    slog::info!(gateway.log, "rollout stage";
        "before" => change.before.map(Stage::name),
        "cause" => format!("{:?}", progress.stage),
        StageFields { order, progress });
}

/// Logs a decision before it is stored.
pub fn log_decision(gateway: &Gateway, order: &RolloutOrder, next: &Progress, reason: &Reason) {
    let finding = match reason {
        Reason::Bad(finding) => Some(finding),
        _ => None,
    };
    slog::info!(gateway.log, "rollout decided";
        "reason" => reason_name(reason),
        "finding" => finding.map(finding_text),
        StageFields { order, progress: next });
}

/// Logs that this node stopped sending requests to the target on its own evidence alone.
pub fn log_own_stop(gateway: &Gateway, service: &str, target: &str, finding: &Finding) {
    slog::warn!(gateway.log, "rollout stopped by own evidence";
        "service" => service, "target" => target, "finding" => finding_text(finding));
}

/// The evidence that a version is bad, as one text for logs.
pub fn finding_text(finding: &Finding) -> String {
    let route = finding.route.map(|route| format!("{:08x}", route.0));
    format!(
        "{:?} route={} answers={} bad={} borne_share={:.4} evidence={:.2} threshold={:.2}",
        finding.symptom,
        route.as_deref().unwrap_or("all"),
        finding.answers,
        finding.bad,
        finding.borne_share,
        finding.evidence,
        finding.threshold,
    )
}

/// A reason's name in logs.
pub fn reason_name(reason: &Reason) -> String {
    match reason {
        Reason::Bad(_) => "bad".to_owned(),
        other => format!("{other:?}"),
    }
}
