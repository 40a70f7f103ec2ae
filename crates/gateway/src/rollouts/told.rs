//! Log lines on rollouts.

use super::service::StageChange;
use super::OrderNews;
use crate::state::Gateway;
use ploverlift_rollout::decider::Reason;
use ploverlift_rollout::evidence::Finding;
use ploverlift_rollout::order::RolloutOrder;
use ploverlift_rollout::stage::{Progress, Stage};

/// A stage's name in logs and metrics.
pub fn stage_name(stage: &Stage) -> &'static str {
    match stage {
        Stage::Canary { .. } => "canary",
        Stage::CuttingOver => "cutting_over",
        Stage::Completed => "completed",
        Stage::RolledBack { .. } => "rolled_back",
    }
}

/// The share of a stage, in parts of a million.
fn share_ppm(stage: &Stage) -> u64 {
    match stage {
        Stage::Canary { share_ppm } => u64::from(*share_ppm),
        Stage::CuttingOver | Stage::Completed => ploverlift_rollout::stage::MILLION,
        Stage::RolledBack { .. } => 0,
    }
}

/// Says what orders have brought.
pub fn log_news(gateway: &Gateway, news: &[OrderNews]) {
    for news in news {
        match &news.stage {
            Ok(Some(change)) => log_stage(gateway, &news.order, change),
            Ok(None) => {
                slog::info!(gateway.log, "rollout order";
                    "service" => &news.order.service.0, "target" => &news.order.target.0,
                    "duration_ms" => news.order.duration_ms, "revision" => news.order.revision);
            }
            Err(error) => {
                slog::error!(gateway.log, "rollout status can't be read, its target is held back";
                    "service" => &news.order.service.0, "target" => &news.order.target.0,
                    "revision" => news.order.revision, "error" => error.to_string());
            }
        }
    }
}

fn log_stage(gateway: &Gateway, order: &RolloutOrder, change: &StageChange) {
    let progress = &change.progress;
    gateway.metrics.note_rollout_stage(
        &order.service.0,
        stage_name(&progress.stage),
        progress.epoch.0,
    );
    slog::info!(gateway.log, "rollout stage";
        "service" => &order.service.0,
        "target" => &order.target.0,
        "stage" => stage_name(&progress.stage),
        "before" => change.before.as_ref().map(stage_name),
        "share_ppm" => share_ppm(&progress.stage),
        "cause" => format!("{:?}", progress.stage),
        "rollout" => progress.rollout.0,
        "epoch" => progress.epoch.0,
        "elapsed_ms" => progress.elapsed_ms,
        "requests" => progress.requests,
        "target_arrivals" => progress.target_arrivals,
        "revision" => order.revision);
}

/// Says what the decider has decided, before it is stored.
pub fn log_decision(gateway: &Gateway, order: &RolloutOrder, next: &Progress, reason: &Reason) {
    let finding = match reason {
        Reason::Bad(finding) => Some(finding),
        _ => None,
    };
    slog::info!(gateway.log, "rollout decided";
        "service" => &order.service.0,
        "target" => &order.target.0,
        "stage" => stage_name(&next.stage),
        "share_ppm" => share_ppm(&next.stage),
        "reason" => reason_name(reason),
        "finding" => finding.map(finding_text),
        "rollout" => next.rollout.0,
        "epoch" => next.epoch.0,
        "elapsed_ms" => next.elapsed_ms,
        "requests" => next.requests,
        "target_arrivals" => next.target_arrivals,
        "revision" => order.revision);
}

/// Says that this node sends the target nothing by what it saw alone.
pub fn log_own_stop(gateway: &Gateway, service: &str, target: &str, finding: &Finding) {
    slog::warn!(gateway.log, "rollout stopped by own evidence";
        "service" => service, "target" => target, "finding" => finding_text(finding));
}

/// The evidence that a version is bad, in one text.
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
