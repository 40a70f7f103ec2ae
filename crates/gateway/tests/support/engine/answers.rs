//! Answers of the simulated engine.

use super::super::site;
use super::{event, Behaviour, NamedBackoff, Shared, EVENTS};
use ploverlift_gateway::time::sleep;
use ploverlift_http1::{BufferedStream, RequestHead, ResponseHead};
use std::time::{Duration, Instant};

pub async fn respond(
    shared: &Shared,
    behaviour: Behaviour,
    connection: &mut BufferedStream,
    request: &RequestHead,
) {
    let weights = *shared.weights.lock().expect("weights");
    let expected = request.headers.get(site::WEIGHTS);
    if expected.is_some_and(|expected| expected != weights.to_string()) {
        let mut head = ResponseHead::new(421);
        head.headers.push(site::NOT_RUN, "1");
        match behaviour {
            Behaviour::HidesWeights => {
                let instance = request.headers.get(site::INSTANCE).unwrap_or_default();
                head.headers.push(site::INSTANCE, instance);
            }
            _ => head.headers.push(site::WEIGHTS, weights.to_string()),
        }
        head.headers.push("content-length", "0");
        let _ = connection.write_all(&head.encode()).await;
        return;
    }
    let id = request.headers.get(site::ID).unwrap_or_default().to_owned();
    let mut head = ResponseHead::new(200);
    head.headers.push(site::ID, &id);
    if let Some(limit) = &*shared.limit.lock().expect("limit") {
        head.headers.push(site::LIMIT, limit);
    }
    if let Some(value) = &*shared.leaving.lock().expect("leaving") {
        head.headers.push(site::LEAVING, value);
    }
    match behaviour {
        Behaviour::Silent => {
            while connection.fill().await.is_ok_and(|count| count > 0) {}
            shared.recorded.lock().expect("calls").dropped += 1;
            let _ = shared.seen.try_send(());
            return;
        }
        Behaviour::Reset => return,
        Behaviour::Refuse | Behaviour::CloseKeptThenRefuse => {
            head.status = 503;
            head.headers.push(site::NOT_RUN, "1");
            if let Some(value) = &*shared.backoff_ms.lock().expect("backoff") {
                head.headers.push(site::BACKOFF_MS, value);
                record_backoff(shared, &id, value);
            }
        }
        Behaviour::RefuseAnother => {
            head.status = 503;
            head.headers.set(site::ID, "another");
            head.headers.push(site::NOT_RUN, "1");
        }
        Behaviour::IsAnother => {
            head.status = 421;
            head.headers.push(site::NOT_RUN, "1");
            head.headers.push(site::INSTANCE, "another-1");
        }
        Behaviour::Fail | Behaviour::FailWith(_) => {
            head.status = match behaviour {
                Behaviour::FailWith(status) => status,
                _ => 500,
            };
            head.headers.push(site::SIGNED, "1");
        }
        Behaviour::WrongId => {
            head.headers.set(site::ID, "another");
            head.headers.push(site::SIGNED, "1");
        }
        Behaviour::Unsigned | Behaviour::RefuseEarly => {}
        Behaviour::Answer
        | Behaviour::KeepConnection
        | Behaviour::ForgetConnection
        | Behaviour::AnswerTwice
        | Behaviour::HidesWeights
        | Behaviour::FallSilentAfter(_)
        | Behaviour::Flood
        | Behaviour::AnswerAfter(_)
        | Behaviour::StreamSlowly(_)
        | Behaviour::EndsUnder(_)
        | Behaviour::BreakInside(_) => {
            head.headers.push(site::SIGNED, "1");
        }
    }
    let is_stream = request.headers.get(site::PARTS).is_some()
        || request.headers.get("host") == Some("x")
        || request.target.starts_with("/events");
    if is_stream && matches!(behaviour, Behaviour::FallSilentAfter(_) | Behaviour::Flood) {
        stream_until_dropped(connection, head, &behaviour).await;
        shared.recorded.lock().expect("calls").dropped += 1;
        let _ = shared.seen.try_send(());
        return;
    }
    if let (true, Behaviour::StreamSlowly(events)) = (is_stream, &behaviour) {
        return stream_slowly(connection, head, *events).await;
    }
    if is_stream && head.status == 200 {
        let broken = match behaviour {
            Behaviour::BreakInside(event) => Some(event),
            _ => None,
        };
        return stream(connection, head, request, broken).await;
    }
    if let Behaviour::AnswerAfter(after_ms) = behaviour {
        sleep(after_ms).await;
    }
    let body = format!("answer to {id}");
    head.headers.push("content-length", body.len().to_string());
    let mut message = head.encode();
    message.extend_from_slice(body.as_bytes());
    let _ = connection.write_all(&message).await;
}

fn record_backoff(shared: &Shared, id: &str, value: &str) {
    let Ok(duration_ms) = value.parse() else {
        return;
    };
    let mut recorded = shared.recorded.lock().expect("calls");
    recorded.backoffs.push(NamedBackoff {
        id: id.to_owned(),
        at: Instant::now(),
        duration: Duration::from_millis(duration_ms),
    });
}

async fn stream(
    connection: &mut BufferedStream,
    mut head: ResponseHead,
    request: &RequestHead,
    broken: Option<u64>,
) {
    head.headers.push("transfer-encoding", "chunked");
    if connection.write_all(&head.encode()).await.is_err() {
        return;
    }
    let after = request.headers.get(site::AFTER);
    let first = after.and_then(|text| text.parse::<u64>().ok()).unwrap_or(0) + 1;
    for number in first..=EVENTS {
        let event = event(number);
        if broken == Some(number) {
            let half = &event[..event.len() / 2];
            let chunk = format!("{:x}\r\n{half}\r\n", half.len());
            let _ = connection.write_all(chunk.as_bytes()).await;
            return;
        }
        let chunk = format!("{:x}\r\n{event}\r\n", event.len());
        if connection.write_all(chunk.as_bytes()).await.is_err() {
            return;
        }
    }
    let _ = connection.write_all(b"0\r\n\r\n").await;
}

/// Sends the given number of events, one every 50 ms, and the end of the stream.
async fn stream_slowly(connection: &mut BufferedStream, mut head: ResponseHead, events: u64) {
    head.headers.push("transfer-encoding", "chunked");
    let mut message = head.encode();
    for number in 1..=events {
        let event = event(number);
        message.extend_from_slice(format!("{:x}\r\n{event}\r\n", event.len()).as_bytes());
        if connection.write_all(&message).await.is_err() {
            return;
        }
        message.clear();
        sleep(50).await;
    }
    let _ = connection.write_all(b"0\r\n\r\n").await;
}

/// Sends events without an end of the stream; returns when the connection is closed.
async fn stream_until_dropped(
    connection: &mut BufferedStream,
    mut head: ResponseHead,
    behaviour: &Behaviour,
) {
    head.headers.push("transfer-encoding", "chunked");
    if connection.write_all(&head.encode()).await.is_err() {
        return;
    }
    let (events, filler) = match behaviour {
        Behaviour::FallSilentAfter(events) => (*events, 0),
        _ => (u64::MAX, 64 * 1024),
    };
    for number in 1..=events {
        let text = match filler {
            0 => event(number),
            filler => format!("id: {number}\ndata: {}\n\n", "x".repeat(filler)),
        };
        let chunk = format!("{:x}\r\n{text}\r\n", text.len());
        if connection.write_all(chunk.as_bytes()).await.is_err() {
            return;
        }
    }
    while connection.fill().await.is_ok_and(|count| count > 0) {}
}
