//! Formats answers as human-readable text.

use ploverlift_cluster::router::DecisionRecord;
use ploverlift_node::operators::handler::{Explanation, StatusReport};

/// A node's report as text.
pub fn status_text(report: &StatusReport) -> String {
    let mut text = format!(
        "node {} in zone {}: {}, configuration version {}\n",
        report.node,
        report.zone,
        if report.stopping {
            "stopping"
        } else {
            "serving"
        },
        report.configuration,
    );
    for rejected in &report.rejected {
        text.push_str(&format!("  left out: {}\n", rejected.reason));
    }
    text.push_str("node              zone          status\n");
    for node in &report.nodes {
        let (name, zone) = (node.name.as_str(), node.zone.as_str());
        text.push_str(&format!("{name:<17} {zone:<13} {}\n", node.status));
    }
    text.push_str("engine            zone          health   weights  running  waiting\n");
    for engine in &report.engines {
        text.push_str(&format!(
            "{:<17} {:<13} {:<8} {:>7}  {:>7}  {:>7}\n",
            engine.name.as_str(),
            engine.zone.as_str(),
            format!("{:?}", engine.health).to_lowercase(),
            engine.weights,
            engine.running,
            engine.waiting,
        ));
    }
    text
}

/// An explanation as text.
pub fn explanation_text(explanation: &Explanation) -> String {
    let mut text = format!("request {}\n", explanation.request);
    for decision in &explanation.decisions {
        text.push_str(&decision_text(decision));
    }
    text
}

fn decision_text(decision: &DecisionRecord) -> String {
    let mut text = format!(
        "attempt {} on node {} under configuration version {}\n\
         \x20 tenant {}, route '{}', pool '{}', {} prompt tokens\n",
        decision.attempt,
        decision.node,
        decision.configuration,
        decision.tenant,
        decision.route,
        decision.pool,
        decision.prompt_tokens,
    );
    let selector = serde_json::to_string(&decision.engine_selector).unwrap_or_default();
    text.push_str(&format!("  the route selects engines by {selector}\n"));
    for exclusion in &decision.excluded {
        let reason = serde_json::to_string(&exclusion.reason).unwrap_or_default();
        text.push_str(&format!("  left out {}: {reason}\n", exclusion.engine));
    }
    for candidate in &decision.scored {
        text.push_str(&format!(
            "  scored {}: {:.2} ms = wait {:.2} + prefill {:.2} + distance {:.2}; {} tokens cached\n",
            candidate.engine,
            candidate.cost.total_ms(),
            candidate.cost.wait_ms,
            candidate.cost.prefill_ms,
            candidate.cost.distance_ms,
            candidate.cached_tokens,
        ));
    }
    match &decision.chosen {
        Some(engine) => text.push_str(&format!("  chose {engine}\n")),
        None => text.push_str("  no engine was eligible\n"),
    }
    text
}
