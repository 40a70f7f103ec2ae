//! Reading measured values: times, memory and kinds of messages.

use super::report::Times;
use ploverlift_wire::messages::Envelope;

pub(super) fn summary(sorted: &[u64]) -> Times {
    let at = |share: f64| {
        let position = ((sorted.len() as f64 * share) as usize).min(sorted.len().max(1) - 1);
        sorted.get(position).copied().unwrap_or(0)
    };
    Times {
        p50: at(0.5),
        p99: at(0.99),
        worst: sorted.last().copied().unwrap_or(0),
    }
}

/// Resident memory of this process, in kilobytes, as the system reports it.
pub(super) fn resident_kb() -> f64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find(|line| line.starts_with("VmRSS:"));
    let number = line.and_then(|line| line.split_whitespace().nth(1));
    number.and_then(|text| text.parse().ok()).unwrap_or(0.0)
}

pub(super) fn kind_of(envelope: &Envelope) -> &'static str {
    use ploverlift_wire::messages::envelope::Body;
    match envelope.body {
        Some(Body::Probe(_) | Body::ProbeAnswer(_) | Body::IndirectProbe(_)) => "probes",
        Some(Body::Join(_) | Body::JoinAnswer(_) | Body::CatchUp(_)) => "joins",
        Some(Body::ConfigPush(_)) => "config_pushes",
        Some(Body::ConfigBuckets(_) | Body::ConfigVersions(_) | Body::ConfigPull(_)) => {
            "config_comparisons"
        }
        Some(Body::EngineReports(_)) => "engine_reports",
        _ => "other",
    }
}
