//! Sources of streams, as messages.

use ploverlift_balancing::names::PeerId;
use ploverlift_policy::ids::Millis;
use ploverlift_routing::rate_limit::TenantTag;
use ploverlift_routing::software::SoftwareVersion;
use ploverlift_streamorigin::origins::StreamOrigin;
use ploverlift_streamorigin::placement::OriginAnswer;
use ploverlift_streamorigin::source::{ServiceHash, StreamSource};
use ploverlift_streamorigin::stream_key::StreamKey;
use ploverlift_wire::peers;

/// A stream's origin, with the time left in place of a point in time.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReportedOrigin {
    stream: StreamKey,
    tenant: TenantTag,
    source: StreamSource,
    /// Time for which the stream may still be taken up, in milliseconds.
    left_ms: u64,
}

impl ReportedOrigin {
    /// The origin as it is sent now.
    pub fn new(origin: &StreamOrigin, now: Millis) -> Self {
        Self {
            stream: origin.stream,
            tenant: origin.tenant,
            source: origin.source.clone(),
            left_ms: origin.expires_at.since(now),
        }
    }

    /// The origin as it was received now.
    pub fn into_origin(self, now: Millis) -> StreamOrigin {
        StreamOrigin {
            stream: self.stream,
            tenant: self.tenant,
            source: self.source,
            expires_at: now.plus(self.left_ms),
        }
    }
}

/// A question for the version that began a stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OriginQuery {
    /// Number of the question.
    pub number: u64,
    /// The stream; `None` if its caller does not name it.
    pub stream: Option<StreamKey>,
}

/// The answer to the question with this number.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct NumberedOriginAnswer {
    /// Number of the question.
    pub number: u64,
    /// The answer.
    pub answer: OriginAnswer,
}

pub(super) fn origins_message(origins: &[ReportedOrigin]) -> peers::StreamOrigins {
    let origins = origins.iter().map(|reported| peers::StreamOrigin {
        stream: reported.stream.0,
        tenant: reported.tenant.0,
        software: reported.source.software.0.clone(),
        left_ms: reported.left_ms,
        service: reported.source.service.0,
    });
    peers::StreamOrigins {
        origins: origins.collect(),
    }
}

pub(super) fn read_origins(message: peers::StreamOrigins) -> Vec<ReportedOrigin> {
    let origins = message.origins.into_iter().map(|reported| ReportedOrigin {
        stream: StreamKey(reported.stream),
        tenant: TenantTag(reported.tenant),
        source: read_source(reported.service, reported.software),
        left_ms: reported.left_ms,
    });
    origins.collect()
}

pub(super) fn wanted_message(sender: PeerId) -> peers::StreamOriginsWanted {
    peers::StreamOriginsWanted { sender: sender.0 }
}

pub(super) fn query_message(query: &OriginQuery) -> peers::StreamOriginQuery {
    peers::StreamOriginQuery {
        number: query.number,
        stream: query.stream.map_or(0, |stream| stream.0),
    }
}

pub(super) fn read_query(message: peers::StreamOriginQuery) -> OriginQuery {
    OriginQuery {
        number: message.number,
        stream: (message.stream != 0).then_some(StreamKey(message.stream)),
    }
}

pub(super) fn answer_message(numbered: &NumberedOriginAnswer) -> peers::StreamOriginAnswer {
    let answer = &numbered.answer;
    let source = answer.source.as_ref();
    peers::StreamOriginAnswer {
        number: numbered.number,
        software: source.map(|source| source.software.0.clone()),
        service: source.map_or(ServiceHash::UNNAMED.0, |source| source.service.0),
    }
}

pub(super) fn read_answer(message: peers::StreamOriginAnswer) -> NumberedOriginAnswer {
    NumberedOriginAnswer {
        number: message.number,
        answer: OriginAnswer {
            source: message
                .software
                .map(|software| read_source(message.service, software)),
        },
    }
}

fn read_source(service: u64, software: String) -> StreamSource {
    StreamSource {
        service: ServiceHash(service),
        software: SoftwareVersion(software),
    }
}
