//! Messages on streams' origins: what survives the wire, and their size.

use ploverlift_balancing::names::PeerId;
use ploverlift_gateway::peers::messages::{decode, encode, PeerMessage};
use ploverlift_gateway::peers::stream_origin_messages::{
    NumberedOriginAnswer, OriginQuery, ReportedOrigin,
};
use ploverlift_gateway::stream_sources::document::{read, to_content};
use ploverlift_policy::ids::{Millis, StoreEra};
use ploverlift_routing::configuration::ServiceName;
use ploverlift_routing::rate_limit::TenantTag;
use ploverlift_routing::software::SoftwareVersion;
use ploverlift_streamorigin::origins::StreamOrigin;
use ploverlift_streamorigin::placement::OriginAnswer;
use ploverlift_streamorigin::source::{ServiceHash, StreamSource};
use ploverlift_streamorigin::sources::{Generation, RouteKey, SourceLink, SourceRegister};
use ploverlift_streamorigin::stream_key::StreamKey;
use serde_json::json;

/// Maximum size of the announcement of one stream, in bytes.
const MAX_ANNOUNCEMENT_BYTES: usize = 48;

fn version(name: &str) -> SoftwareVersion {
    SoftwareVersion(name.to_owned())
}

fn source(software: &str) -> StreamSource {
    StreamSource {
        service: ServiceHash(u64::MAX),
        software: version(software),
    }
}

fn reported() -> ReportedOrigin {
    let origin = StreamOrigin {
        stream: StreamKey(u64::MAX),
        tenant: TenantTag(u64::MAX),
        source: source("v1.22.333"),
        expires_at: Millis(120_000),
    };
    ReportedOrigin::new(&origin, Millis(0))
}

#[test]
fn the_announcement_of_a_stream_is_small() {
    let datagram = encode(&PeerMessage::StreamOrigins(vec![reported()]));
    let bytes = datagram.len();
    assert!(bytes <= MAX_ANNOUNCEMENT_BYTES, "{bytes}");
}

#[test]
fn messages_on_streams_survive_the_wire() {
    let answer = |software: Option<&str>| {
        PeerMessage::StreamOriginAnswer(NumberedOriginAnswer {
            number: 7,
            answer: OriginAnswer {
                source: software.map(source),
            },
        })
    };
    let query = |stream| PeerMessage::StreamOriginQuery(OriginQuery { number: 7, stream });
    for message in [
        PeerMessage::StreamOrigins(vec![reported(), reported()]),
        PeerMessage::StreamOriginsWanted(PeerId(9)),
        query(Some(StreamKey(5))),
        query(None),
        answer(Some("v1")),
        // A service may have one version without a name.
        answer(Some("")),
        answer(None),
    ] {
        let decoded = decode(&encode(&message)).expect("a message");
        assert_eq!(decoded, Some(message));
    }
}

#[test]
fn the_register_of_stream_sources_survives_the_store() {
    let service = ServiceName::from("llm");
    let target = SourceLink::Target(RouteKey::new("a.test", "/x/"), service.clone());
    let register = SourceRegister {
        era: StoreEra(3),
        generation: Generation(17),
        incomplete_since: Some(Generation(5)),
        links: [
            (target, None),
            (SourceLink::Software(service.clone(), version("v1")), None),
            (
                SourceLink::Software(service, version("")),
                Some(Generation(9)),
            ),
        ]
        .into(),
    };
    assert_eq!(read(&to_content(&register)), Some(register));
    assert_eq!(read(&json!({"era": 1})), None);
}
