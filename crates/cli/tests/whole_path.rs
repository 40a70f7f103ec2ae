//! End-to-end tests with separate processes: object API, engines and nodes.

mod support;

use futures_lite::AsyncReadExt;
use ploverlift_lab::http_call::call;
use ploverlift_node::callers::events::{SseEvent, SseParser, DONE};
use serde_json::{json, Value};
use support::*;
use trillium_http::transport::BoxedTransport;
use trillium_http::ReceivedBody;

struct Site {
    _platform: Process,
    engines: Vec<Process>,
    nodes: Vec<Process>,
}

fn start_site() -> Site {
    let platform = start_platform();
    let address = platform.address("listening");
    let mut version = 0;
    for object in site_objects() {
        version = put(address, &object);
    }
    let mut engines = Vec::new();
    for (name, tier) in [
        ("engine-a", "fast"),
        ("engine-b", "fast"),
        ("engine-c", "slow"),
    ] {
        let engine = start_engine(name, "127.0.0.1:0", 1);
        let object = machine(name, engine.address("listening"), tier);
        version = version.max(put(address, &object));
        engines.push(engine);
    }
    let first = start_node("node-a", "nadi-hall", address, &[]);
    let second = start_node("node-b", "ba-hall", address, &[first.address("cluster")]);
    for node in [&first, &second] {
        wait_ready(node, version, 3);
    }
    Site {
        _platform: platform,
        engines,
        nodes: vec![first, second],
    }
}

fn text_of(events: &[SseEvent]) -> String {
    let data = events.iter().filter(|event| event.data != DONE);
    data.map(|event| {
        let value: Value = serde_json::from_str(&event.data).expect("data is JSON");
        let content = value["choices"][0]["delta"]["content"].as_str();
        content.expect("content").to_owned()
    })
    .collect()
}

#[test]
fn a_streamed_request_is_answered_in_full_through_either_node() {
    let site = start_site();
    let mut texts = Vec::new();
    for (position, node) in site.nodes.iter().enumerate() {
        let id = format!("streamed-{position}");
        let conn = chat(
            node.address("callers"),
            &id,
            json!({"stream": true, "max_tokens": 7}),
        );
        let answer = smol::block_on(call(conn)).expect("answer");
        assert_eq!(answer.status, 200, "{}", answer.text);
        let events = SseParser::default()
            .push(answer.text.as_bytes())
            .expect("events");
        assert_eq!(events.len(), 8);
        assert_eq!(events[7].data, DONE);
        for (at, event) in events.iter().enumerate() {
            let id = event.id.as_deref().expect("every event has an id");
            assert!(id.ends_with(&format!(".{at}")), "{id}");
        }
        texts.push(text_of(&events));
    }
    assert_eq!(texts[0], texts[1]);
    // The route selects fast engines only: the slow one ran nothing.
    let runs = |engine: &Process| get(engine.address("listening"), "/admin/runs").text;
    assert_eq!(runs(&site.engines[2]), "{}");
    let explained = get(site.nodes[0].address("operators"), "/explain/streamed-0").text;
    let explained: Value = serde_json::from_str(&explained).expect("JSON");
    let excluded = &explained["decisions"][0]["excluded"][0];
    assert_eq!(excluded["engine"], "engine-c");
    assert!(
        excluded["reason"]["route_selector"].is_object(),
        "{excluded}"
    );
}

#[test]
fn tokens_reach_the_caller_one_by_one() {
    let site = start_site();
    let node = site.nodes[0].address("callers");
    let more = json!({"stream": true, "max_tokens": 5, "lab_hold": true});
    smol::block_on(async {
        let conn = chat(node, "one-by-one", more);
        let reading = smol::spawn(async move { conn.await.expect("head") });
        release_until_found(&site.engines, "one-by-one").await;
        let mut body: ReceivedBody<'static, BoxedTransport> = reading.await.into();
        let mut parser = SseParser::default();
        let mut events = Vec::new();
        // The engine may send token n+1 only after the caller has read token n.
        for expected in 1..=5 {
            while events.len() < expected {
                let mut buffer = [0; 4_096];
                let count = body.read(&mut buffer).await.expect("the stream goes on");
                assert!(count > 0, "the stream ended early");
                events.extend(parser.push(&buffer[..count]).expect("events"));
            }
            if expected < 5 {
                assert_eq!(events.len(), expected);
                release_until_found(&site.engines, "one-by-one").await;
            }
        }
    });
}

/// Lets the engine that runs the request send one more token. All engines answer 404
/// until the request has reached one of them.
async fn release_until_found(engines: &[Process], id: &str) {
    loop {
        for engine in &engines[..2] {
            let url = format!("http://{}/admin/release/{id}", engine.address("listening"));
            let conn = ploverlift_lab::http_call::client().post(url);
            if call(conn).await.is_ok_and(|answer| answer.status == 200) {
                return;
            }
        }
        smol::future::yield_now().await;
    }
}

#[test]
fn bad_input_gets_a_clear_error() {
    let site = start_site();
    let node = site.nodes[0].address("callers");
    let send = |key: &str, body: &str| {
        let conn = ploverlift_lab::http_call::client()
            .post(format!("http://{node}/v1/chat/completions"))
            .with_request_header("authorization", format!("Bearer {key}"))
            .with_body(body.to_owned());
        smol::block_on(call(conn)).expect("answer")
    };
    assert_eq!(send("wrong", "{}").status, 401);
    let malformed = send(KEY, "{\"model\": \n oops}");
    assert_eq!(malformed.status, 400);
    assert!(
        malformed.text.contains("line 2, column 2"),
        "{}",
        malformed.text
    );
    let unknown = send(
        KEY,
        r#"{"model":"none","messages":[{"role":"user","content":"x"}]}"#,
    );
    assert_eq!(unknown.status, 404);
    assert!(unknown.text.contains("not_run"), "{}", unknown.text);
    let large = "x".repeat(8 * 1024 * 1024 + 1);
    assert_eq!(send(KEY, &large).status, 413);
}
