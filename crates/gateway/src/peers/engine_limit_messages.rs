//! Rate limits that engines advertise, and requests for tokens, as messages.

use ploverlift_balancing::peer_loads::{EngineTag, PeerId};
use ploverlift_enginelimit::group::{GroupTag, Holder, NodeAddress};
use ploverlift_enginelimit::node_messages::{
    Denial, GroupUpdate, TokenAnswer, TokenRequest, UpdatedLimit, Wanted,
};
use ploverlift_wire::peers;
use ploverlift_wire::peers::engine_token_answer::Verdict;

/// Rate limit in one answer of an engine, with ages in place of points in time.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ReportedObservation {
    /// The engine.
    pub engine: EngineTag,
    /// Its group.
    pub group: GroupTag,
    /// The rate limit, in requests per second; `None` when the answer has none.
    pub limit: Option<f64>,
    /// Time since the request was sent, in milliseconds.
    pub sent_age_ms: u64,
    /// Time since the head of the answer was read, in milliseconds.
    pub head_age_ms: u64,
}

/// The answer to the request with this number.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct NumberedAnswer {
    /// Number of the request.
    pub number: u64,
    /// The answer.
    pub answer: TokenAnswer,
}

pub(super) fn group_message(update: &GroupUpdate) -> peers::EngineLimitGroup {
    let limits = update.limits.iter().map(|reported| peers::EngineLimit {
        engine: reported.engine.0,
        per_second: reported.limit,
        sequence: reported.sequence,
        age_ms: reported.age_ms,
    });
    peers::EngineLimitGroup {
        group: update.group.0,
        holder: update.holder.at.node.0,
        address: update.holder.at.address.to_string(),
        term: update.holder.term,
        limits: limits.collect(),
    }
}

/// Reads a group; `None` when the address of its holder is invalid.
pub(super) fn read_group(message: &peers::EngineLimitGroup) -> Option<GroupUpdate> {
    let limits = message.limits.iter().map(|reported| UpdatedLimit {
        engine: EngineTag(reported.engine),
        limit: reported.per_second.filter(is_rate),
        sequence: reported.sequence,
        age_ms: reported.age_ms,
    });
    let at = NodeAddress {
        node: PeerId(message.holder),
        address: message.address.parse().ok()?,
    };
    Some(GroupUpdate {
        group: GroupTag(message.group),
        holder: Holder {
            at,
            term: message.term,
        },
        limits: limits.collect(),
    })
}

fn is_rate(per_second: &f64) -> bool {
    per_second.is_finite() && *per_second >= 0.0
}

pub(super) fn observation_message(
    observation: &ReportedObservation,
) -> peers::EngineLimitObservation {
    peers::EngineLimitObservation {
        engine: observation.engine.0,
        group: observation.group.0,
        per_second: observation.limit,
        sent_age_ms: observation.sent_age_ms,
        head_age_ms: observation.head_age_ms,
    }
}

pub(super) fn read_observation(message: &peers::EngineLimitObservation) -> ReportedObservation {
    ReportedObservation {
        engine: EngineTag(message.engine),
        group: GroupTag(message.group),
        limit: message.per_second.filter(is_rate),
        sent_age_ms: message.sent_age_ms,
        head_age_ms: message.head_age_ms,
    }
}

pub(super) fn request_message(request: &TokenRequest) -> peers::EngineTokenRequest {
    let (engine, excluded) = match &request.wanted {
        Wanted::Engine(engine) => (Some(engine.0), Vec::new()),
        Wanted::AnyBut(excluded) => (None, excluded.iter().map(|engine| engine.0).collect()),
    };
    peers::EngineTokenRequest {
        sender: request.sender.0,
        number: request.number,
        group: request.group.0,
        engine,
        excluded,
        is_urgent: request.is_urgent,
    }
}

pub(super) fn read_request(message: &peers::EngineTokenRequest) -> TokenRequest {
    let excluded = message.excluded.iter().copied().map(EngineTag);
    TokenRequest {
        sender: PeerId(message.sender),
        number: message.number,
        group: GroupTag(message.group),
        wanted: match message.engine {
            Some(engine) => Wanted::Engine(EngineTag(engine)),
            None => Wanted::AnyBut(excluded.collect()),
        },
        is_urgent: message.is_urgent,
    }
}

pub(super) fn answer_message(numbered: &NumberedAnswer) -> peers::EngineTokenAnswer {
    let verdict = match numbered.answer {
        TokenAnswer::Granted { engine, left } => Verdict::Granted(peers::EngineTokenGrant {
            engine: engine.0,
            left,
        }),
        TokenAnswer::Denied(denial) => Verdict::Denied(peers::EngineTokenDenial {
            wait_ms: denial.wait_ms,
            spread_ms: denial.spread_ms,
            turn_ms: denial.turn_ms,
        }),
        TokenAnswer::Unlimited => Verdict::IsUnlimited(true),
        TokenAnswer::NotHolder => Verdict::IsNotHolder(true),
    };
    peers::EngineTokenAnswer {
        number: numbered.number,
        verdict: Some(verdict),
    }
}

/// Reads an answer; `None` when this version does not know its verdict.
pub(super) fn read_answer(message: &peers::EngineTokenAnswer) -> Option<NumberedAnswer> {
    let answer = match message.verdict.as_ref()? {
        Verdict::Granted(granted) => TokenAnswer::Granted {
            engine: EngineTag(granted.engine),
            left: granted.left,
        },
        Verdict::Denied(denied) => TokenAnswer::Denied(Denial {
            wait_ms: denied.wait_ms,
            spread_ms: denied.spread_ms,
            turn_ms: denied.turn_ms,
        }),
        Verdict::IsUnlimited(_) => TokenAnswer::Unlimited,
        Verdict::IsNotHolder(_) => TokenAnswer::NotHolder,
    };
    Some(NumberedAnswer {
        number: message.number,
        answer,
    })
}
