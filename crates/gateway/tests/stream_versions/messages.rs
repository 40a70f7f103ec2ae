//! Messages on streams' origins: what survives the wire, and their size.

use ploverlift_balancing::names::PeerId;
use ploverlift_gateway::peers::messages::{decode, encode, PeerMessage};
use ploverlift_gateway::peers::stream_origin_messages::{
    NumberedOriginAnswer, OriginQuery, ReportedOrigin,
};
use ploverlift_policy::ids::Millis;
use ploverlift_routing::configuration::ServiceName;
use ploverlift_routing::rate_limit::TenantTag;
use ploverlift_routing::software::SoftwareVersion;
use ploverlift_streamorigin::history::RecentVersions;
use ploverlift_streamorigin::origins::StreamOrigin;
use ploverlift_streamorigin::placement::OriginAnswer;
use ploverlift_streamorigin::source::{ServiceHash, StreamSource};
use ploverlift_streamorigin::stream_key::StreamKey;

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
    let answer = |software: Option<&str>, versions| {
        PeerMessage::StreamOriginAnswer(NumberedOriginAnswer {
            number: 7,
            answer: OriginAnswer {
                source: software.map(source),
                versions,
            },
        })
    };
    let query = |stream| {
        PeerMessage::StreamOriginQuery(OriginQuery {
            number: 7,
            stream,
            service: ServiceName::from("llm"),
            lifetime_ms: 3_000,
        })
    };
    for message in [
        PeerMessage::StreamOrigins(vec![reported(), reported()]),
        PeerMessage::StreamOriginsWanted(PeerId(9)),
        query(Some(StreamKey(5))),
        query(None),
        answer(Some("v1"), RecentVersions::Several),
        answer(None, RecentVersions::Sole(version("v2"))),
        // A service may have one version without a name.
        answer(Some(""), RecentVersions::Sole(version(""))),
        answer(None, RecentVersions::Unproven),
    ] {
        let decoded = decode(&encode(&message)).expect("a message");
        assert_eq!(decoded, Some(message));
    }
}
