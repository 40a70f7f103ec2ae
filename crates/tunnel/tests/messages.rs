//! The request for a tunnel and its answer.

use ploverlift_balancing::engine_paths::DirectFailure;
use ploverlift_balancing::names::{InstanceId, PeerId};
use ploverlift_tunnel::messages::{
    decode_answer, encode_answer, TunnelRefusal, TunnelRequest, MAX_MESSAGE_BYTES,
};

#[test]
fn a_request_is_read_as_it_was_written() {
    let request = TunnelRequest {
        sender: PeerId(7),
        engine: InstanceId("engine-1".to_owned()),
    };
    let bytes = request.encode();
    assert!(bytes.len() <= MAX_MESSAGE_BYTES);
    assert_eq!(TunnelRequest::decode(&bytes).expect("a request"), request);
}

#[test]
fn answers_are_read_as_they_were_written() {
    let unreachable = |failure, is_link_suspected| {
        Err(TunnelRefusal::Unreachable {
            failure,
            is_link_suspected,
        })
    };
    let answers = [
        Ok(()),
        unreachable(DirectFailure::Refused, false),
        unreachable(DirectFailure::Refused, true),
        unreachable(DirectFailure::NoAnswer, false),
        unreachable(DirectFailure::NoAnswer, true),
        Err(TunnelRefusal::UnknownEngine),
        Err(TunnelRefusal::EngineUnavailable),
        Err(TunnelRefusal::Full),
        Err(TunnelRefusal::Stopping),
        Err(TunnelRefusal::NotPermitted),
    ];
    for answer in answers {
        let read = decode_answer(&encode_answer(&answer));
        assert_eq!(read.expect("an answer"), answer);
    }
}

// Guards against bytes of another protocol, or a status of a later release, opening a tunnel.
#[test]
fn only_the_known_status_opens_a_tunnel() {
    assert!(decode_answer(&[]).expect("an empty message").is_err());
    let later_status = [8, 99];
    assert!(decode_answer(&later_status).expect("a message").is_err());
    assert!(decode_answer(b"HTTP/1.1 200 OK").map_or(true, |answer| answer.is_err()));
}
