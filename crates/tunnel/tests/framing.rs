//! Frames of the bytes that come from the engine.

use ploverlift_http1::PayloadDecoder;
use ploverlift_tunnel::framing::{
    header, FrameDecoder, CLOSING, END, HEADER_BYTES, MAX_PAYLOAD_BYTES,
};
use proptest::prelude::*;

fn framed(payloads: &[Vec<u8>]) -> Vec<u8> {
    let mut raw = Vec::new();
    for payload in payloads {
        raw.extend_from_slice(&header(payload.len()));
        raw.extend_from_slice(payload);
    }
    raw
}

/// Decodes bytes that arrive in pieces of these lengths, in turn.
fn decode_in_pieces(raw: &[u8], lengths: &[usize]) -> (FrameDecoder, Vec<u8>) {
    let mut decoder = FrameDecoder::default();
    let mut payload = Vec::new();
    let mut rest = raw;
    for length in lengths.iter().cycle() {
        if rest.is_empty() {
            break;
        }
        let (piece, later) = rest.split_at((*length).min(rest.len()));
        decoder.decode(piece, &mut payload).expect("valid frames");
        rest = later;
    }
    (decoder, payload)
}

proptest! {
    // Guards against payload that depends on how the network cuts the bytes into pieces.
    #[test]
    fn payload_is_the_same_however_the_bytes_arrive(
        payloads in prop::collection::vec(prop::collection::vec(any::<u8>(), 1..200), 0..20),
        lengths in prop::collection::vec(1_usize..300, 1..8),
        is_ended in any::<bool>(),
        is_closing in any::<bool>(),
    ) {
        let mut raw = framed(&payloads);
        if is_closing {
            raw.extend_from_slice(&CLOSING);
        }
        if is_ended {
            raw.extend_from_slice(&END);
        }
        let (decoder, payload) = decode_in_pieces(&raw, &lengths);
        prop_assert_eq!(payload, payloads.concat());
        prop_assert_eq!(decoder.is_ended(), is_ended);
        prop_assert_eq!(decoder.may_be_reused(), !is_ended && !is_closing);
    }
}

// Guards against a tunnel that breaks inside a frame, or between two, being taken for the end
// of an answer.
#[test]
fn only_the_last_frame_ends_the_payload() {
    let mut raw = framed(&[b"answer".to_vec()]);
    raw.extend_from_slice(&END);
    for cut in 0..raw.len() {
        let (decoder, _) = decode_in_pieces(&raw[..cut], &[3]);
        assert!(!decoder.is_ended(), "cut after {cut} bytes");
    }
}

// Guards against a peer that makes a node allocate without a bound.
#[test]
fn a_frame_over_the_limit_is_invalid() {
    let mut decoder = FrameDecoder::default();
    let length = (MAX_PAYLOAD_BYTES + 1) as u32;
    let decoded = decoder.decode(&length.to_be_bytes(), &mut Vec::new());
    assert!(decoded.is_err());
}

#[test]
fn bytes_after_the_last_frame_are_invalid() {
    let mut decoder = FrameDecoder::default();
    let raw = [END.as_slice(), &[0; HEADER_BYTES]].concat();
    assert!(decoder.decode(&raw, &mut Vec::new()).is_err());
}

// Guards against a peer that announces its shutdown without end, and never sends payload.
#[test]
fn a_shutdown_is_announced_once() {
    let mut decoder = FrameDecoder::default();
    let mut payload = Vec::new();
    assert!(decoder.decode(&CLOSING, &mut payload).is_ok());
    assert!(decoder.decode(&header(1), &mut payload).is_ok());
    assert!(decoder.decode(b"x", &mut payload).is_ok());
    assert!(decoder.decode(&CLOSING, &mut payload).is_err());
    assert_eq!(payload, b"x");
}
