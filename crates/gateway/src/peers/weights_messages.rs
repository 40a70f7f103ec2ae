//! Reports of the newest weights, as messages.

use super::message_fields::{encode_age, read_age, read_included, IncludedReport};
use ploverlift_balancing::weights::{ReportedVersion, WeightsNews};
use ploverlift_wire::peers;

/// Maximum number of versions in one datagram. Together with a few loads they stay within
/// one unfragmented datagram: 24 versions of models with names of 17 letters take 650
/// bytes.
pub const MAX_REPORTED_VERSIONS: usize = 24;

/// Report of a node on the newest weights.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WeightsReport {
    /// Incarnation of the sender.
    pub life: u64,
    /// Sequence number, which increases with each of these reports of an incarnation.
    pub sequence: u64,
    /// What the sender knows.
    pub news: WeightsNews,
    /// The last report of the receiver that the sender had applied before it computed the
    /// ages.
    pub included: Option<IncludedReport>,
}

pub(super) fn weights_report_message(report: &WeightsReport) -> peers::WeightsReport {
    peers::WeightsReport {
        life: report.life,
        sequence: report.sequence,
        weights: Some(weights_message(&report.news)),
        included_life: report.included.map_or(0, |included| included.life),
        included_sequence: report.included.map_or(0, |included| included.sequence),
    }
}

pub(super) fn read_weights_report(message: &peers::WeightsReport) -> WeightsReport {
    WeightsReport {
        life: message.life,
        sequence: message.sequence,
        news: message
            .weights
            .as_ref()
            .map(read_weights)
            .unwrap_or_default(),
        included: read_included(message.included_life, message.included_sequence),
    }
}

pub(super) fn weights_message(report: &WeightsNews) -> peers::WeightsNews {
    let versions = report.versions.iter().map(|reported| peers::ProvenVersion {
        model: reported.model.clone(),
        version: reported.version,
        named_age_plus_one: encode_age(reported.named_age_ms),
        proof_age_plus_one: encode_age(reported.proof_age_ms),
    });
    peers::WeightsNews {
        versions: versions.collect(),
        proof_age_plus_one: encode_age(report.proof_age_ms),
        known_for_plus_one: encode_age(report.known_for_ms),
        all_models_age_plus_one: encode_age(report.all_models_age_ms),
    }
}

pub(super) fn read_weights(message: &peers::WeightsNews) -> WeightsNews {
    let versions = message.versions.iter().map(|reported| ReportedVersion {
        model: reported.model.clone(),
        version: reported.version,
        named_age_ms: read_age(reported.named_age_plus_one),
        proof_age_ms: read_age(reported.proof_age_plus_one),
    });
    WeightsNews {
        versions: versions.collect(),
        proof_age_ms: read_age(message.proof_age_plus_one),
        known_for_ms: read_age(message.known_for_plus_one),
        all_models_age_ms: read_age(message.all_models_age_plus_one),
    }
}
