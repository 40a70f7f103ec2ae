//! Answers of the simulated engine.

use super::super::site;
use super::{
    all_events_with, event, Behaviour, NamedBackoff, Pause, PausePoint, Shared, ANSWERS_AFTER_MS,
    EVENTS,
};
use ploverlift_gateway::time::sleep;
use ploverlift_http1::{BufferedStream, RequestHead, ResponseHead, StatusCode};
use socket2::SockRef;
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
                head.headers
                    .try_push(site::INSTANCE, instance)
                    .expect("a value");
            }
            _ => head.headers.push(site::WEIGHTS, weights),
        }
        head.headers.push("content-length", "0");
        let _ = connection.write_all(&head.encode()).await;
        return;
    }
    let behaviour = match behaviour {
        Behaviour::RefuseAfter(after_ms) => {
            sleep(after_ms).await;
            Behaviour::Refuse
        }
        Behaviour::FailAfter(after_ms) => {
            sleep(after_ms).await;
            Behaviour::Fail
        }
        other => other,
    };
    let id = request.headers.get(site::ID).unwrap_or_default().to_owned();
    let mut head = ResponseHead::new(200);
    head.headers.try_push(site::ID, &id).expect("a value");
    if let Some(limit) = &*shared.limit.lock().expect("limit") {
        head.headers.try_push(site::LIMIT, limit).expect("a value");
    }
    if let Some(value) = &*shared.leaving.lock().expect("leaving") {
        head.headers
            .try_push(site::LEAVING, value)
            .expect("a value");
    }
    match behaviour {
        Behaviour::Silent => {
            while connection.fill().await.is_ok_and(|count| count > 0) {}
            shared.recorded.lock().expect("calls").dropped += 1;
            let _ = shared.seen.try_send(());
            return;
        }
        Behaviour::Reset => return,
        Behaviour::Refuse | Behaviour::RefuseAfter(_) | Behaviour::CloseKeptThenRefuse => {
            head.status = StatusCode::literal(503);
            head.headers.push(site::NOT_RUN, "1");
            if let Some(value) = &*shared.backoff_ms.lock().expect("backoff") {
                head.headers
                    .try_push(site::BACKOFF_MS, value)
                    .expect("a value");
                record_backoff(shared, &id, value);
            }
        }
        Behaviour::RefuseAnother => {
            head.status = StatusCode::literal(503);
            head.headers.set(site::ID, "another");
            head.headers.push(site::NOT_RUN, "1");
        }
        Behaviour::IsAnother => {
            head.status = StatusCode::literal(421);
            head.headers.push(site::NOT_RUN, "1");
            head.headers.push(site::INSTANCE, "another-1");
        }
        Behaviour::Fail
        | Behaviour::FailAfter(_)
        | Behaviour::FailWith(_)
        | Behaviour::AnswerLarge(..) => {
            let status = match behaviour {
                Behaviour::FailWith(status) | Behaviour::AnswerLarge(status, _) => status,
                _ => 500,
            };
            head.status = StatusCode::literal(status);
            head.headers.push(site::SIGNED, "1");
        }
        Behaviour::WrongId => {
            head.headers.set(site::ID, "another");
            head.headers.push(site::SIGNED, "1");
        }
        Behaviour::Unsigned | Behaviour::RefuseEarly | Behaviour::AnswerEarly(_) => {}
        Behaviour::Answer
        | Behaviour::KeepConnection
        | Behaviour::ForgetConnection
        | Behaviour::AnswerTwice
        | Behaviour::AnswerTwiceAfter(_)
        | Behaviour::HidesWeights
        | Behaviour::FallSilentAfter(_)
        | Behaviour::Flood
        | Behaviour::AnswerAfter(_)
        | Behaviour::KeepConnectionAfter(_)
        | Behaviour::StreamSlowly(_)
        | Behaviour::Pause(_)
        | Behaviour::PauseOften(_)
        | Behaviour::EndsUnder(_)
        | Behaviour::EndsUnderPart(_)
        | Behaviour::CutAt(_)
        | Behaviour::ResetInside(_)
        | Behaviour::BreakAfterPause(_)
        | Behaviour::EndHalfwayAfter(_)
        | Behaviour::EndAfter(_)
        | Behaviour::BreakInside(_) => {
            head.headers.push(site::SIGNED, "1");
        }
    }
    if matches!(behaviour, Behaviour::EndsUnderPart(_)) {
        sleep(ANSWERS_AFTER_MS).await;
    }
    let is_stream = is_stream(request);
    if is_stream && matches!(behaviour, Behaviour::FallSilentAfter(_) | Behaviour::Flood) {
        stream_until_dropped(connection, head, &behaviour).await;
        shared.recorded.lock().expect("calls").dropped += 1;
        let _ = shared.seen.try_send(());
        return;
    }
    if let (true, Behaviour::StreamSlowly(events)) = (is_stream, &behaviour) {
        return stream_slowly(shared, connection, head, *events).await;
    }
    let pause = match behaviour {
        Behaviour::Pause(pause) => Some(pause),
        _ => None,
    };
    pause_at(pause, PausePoint::Head).await;
    if is_stream && head.status == 200 {
        return stream(shared, connection, head, request, &behaviour).await;
    }
    if let Behaviour::AnswerAfter(after_ms) | Behaviour::KeepConnectionAfter(after_ms) = behaviour {
        sleep(after_ms).await;
    }
    let mut body = match behaviour {
        Behaviour::AnswerLarge(_, bytes) => "x".repeat(bytes),
        _ => format!("answer to {id}"),
    };
    shared.format().frame_body(&mut head, body.len());
    let ends = matches!(
        behaviour,
        Behaviour::EndAfter(_) | Behaviour::EndHalfwayAfter(_)
    );
    if ends {
        body.truncate(body.len() / 2);
    }
    let mut message = head.encode();
    let ends_after = match behaviour {
        Behaviour::EndHalfwayAfter(after_ms) => Some(after_ms),
        _ => None,
    };
    if pause.is_some() || ends_after.is_some() {
        if connection.write_all(&message).await.is_err() {
            return;
        }
        message.clear();
        pause_at(pause, PausePoint::Event(1)).await;
        sleep(ends_after.unwrap_or(0)).await;
    }
    let last = body.split_off(body.len() - 1);
    message.extend_from_slice(body.as_bytes());
    if pause.is_some() {
        if connection.write_all(&message).await.is_err() {
            return;
        }
        message.clear();
        pause_at(pause, PausePoint::End).await;
    }
    message.extend_from_slice(last.as_bytes());
    let _ = connection.write_all(&message).await;
    if ends {
        terminate(shared).await;
    }
}

/// Whether a request asks for a stream of events.
pub(super) fn is_stream(request: &RequestHead) -> bool {
    request.headers.get(site::PARTS).is_some()
        || request.headers.get("host") == Some("x")
        || request.target.as_str().starts_with("/events")
}

async fn pause_at(pause: Option<Pause>, point: PausePoint) {
    if let Some(pause) = pause {
        pause.wait_at(point).await;
    }
}

/// Terminates the engine, which drops the calling task.
async fn terminate(shared: &Shared) {
    shared.end();
    std::future::pending::<()>().await;
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
    shared: &Shared,
    connection: &mut BufferedStream,
    mut head: ResponseHead,
    request: &RequestHead,
    behaviour: &Behaviour,
) {
    let format = shared.format();
    format.frame_stream(&mut head);
    if connection.write_all(&head.encode()).await.is_err() {
        return;
    }
    if let Behaviour::CutAt(bytes) = behaviour {
        let all = all_events_with(format.line_ending);
        let piece = format.piece(&all[..*bytes]);
        let _ = connection.write_all(piece.as_bytes()).await;
        return;
    }
    let pause = match behaviour {
        Behaviour::Pause(pause) => Some(*pause),
        _ => None,
    };
    let after = request.headers.get(site::AFTER);
    let first = after.map_or(0, |id| format.ids.number_of(id)) + 1;
    for number in first..=EVENTS {
        pause_at(pause, PausePoint::Event(number)).await;
        if let (Behaviour::PauseOften(length_ms), 3..) = (behaviour, number) {
            sleep(*length_ms).await;
        }
        let event = format.event(number);
        let is_broken = match behaviour {
            Behaviour::BreakInside(broken) | Behaviour::ResetInside(broken) => *broken == number,
            Behaviour::BreakAfterPause(_) => number == 3,
            _ => false,
        };
        if let (true, Behaviour::BreakAfterPause(length_ms)) = (is_broken, behaviour) {
            sleep(*length_ms).await;
        }
        if is_broken {
            let half = format.piece(&event[..event.len() / 2]);
            let _ = connection.write_all(half.as_bytes()).await;
            if matches!(behaviour, Behaviour::ResetInside(_)) {
                reset_once_read(connection).await;
            }
            return;
        }
        let piece = format.piece(&event);
        if connection.write_all(piece.as_bytes()).await.is_err() {
            return;
        }
        if matches!(behaviour, Behaviour::EndAfter(last) if *last == number) {
            terminate(shared).await;
        }
    }
    pause_at(pause, PausePoint::End).await;
    let _ = connection.write_all(format.stream_end().as_bytes()).await;
}

/// Resets the connection once the peer has received what was sent: a reset discards bytes that
/// are still on their way.
async fn reset_once_read(connection: &BufferedStream) {
    /// Time for the peer to receive, in milliseconds.
    const RECEIVED_AFTER_MS: u64 = 20;
    sleep(RECEIVED_AFTER_MS).await;
    let _ = SockRef::from(&connection.writer()).set_linger(Some(Duration::ZERO));
}

/// Sends the given number of events, one every 50 ms, and the end of the stream.
async fn stream_slowly(
    shared: &Shared,
    connection: &mut BufferedStream,
    mut head: ResponseHead,
    events: u64,
) {
    let format = shared.format();
    format.frame_stream(&mut head);
    let mut message = head.encode();
    for number in 1..=events {
        message.extend_from_slice(format.piece(&event(number)).as_bytes());
        if connection.write_all(&message).await.is_err() {
            return;
        }
        message.clear();
        sleep(50).await;
    }
    let _ = connection.write_all(format.stream_end().as_bytes()).await;
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
