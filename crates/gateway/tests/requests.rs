//! One request through a gateway: what its caller is told, and what engines get.

mod support;

use ploverlift_balancing::cache_stores::CacheStoreState;
use ploverlift_balancing::catalogue::InstanceId;
use ploverlift_balancing::peer_loads::EngineTag;
use ploverlift_balancing::rendezvous;
use ploverlift_http1::RequestHead;
use ploverlift_routing::prompt::{Prompt, PromptPart};
use serde_json::json;
use smol::io::AsyncWriteExt;
use smol::net::TcpStream;
use support::caller::{self, prompt, request};
use support::engine::{all_events, Behaviour, StandInEngine};
use support::{
    configuration, site, start_node,
    store::{start_cache_store, StandInStore},
    Fixture,
};

async fn app(behaviour: Behaviour) -> StandInEngine {
    StandInEngine::start("app-1", "app", behaviour).await
}

#[test]
fn one_request_of_each_kind_is_answered_through_an_engine() {
    smol::block_on(async {
        let app = app(Behaviour::Answer).await;
        let llm = StandInEngine::start("llm-1", "llm", Behaviour::Answer).await;
        let fixture = Fixture::new(&[&app, &llm]).await;
        for host in ["safe.test", "unsafe.test"] {
            let answer = fixture.send(&request(host, "r1")).await;
            assert_eq!(
                (answer.status(), answer.text()),
                (200, "answer to r1".to_owned())
            );
            assert_eq!(answer.head.headers.get(site::SIGNED), Some("1"));
        }
        for host in ["stream.test", "resume.test"] {
            let answer = fixture.send(&prompt(host, "r2")).await;
            assert_eq!((answer.status(), answer.text()), (200, all_events()));
            assert!(answer.is_whole);
        }
    });
}

#[test]
fn an_engine_gets_the_tenant_and_never_the_key_nor_what_only_the_system_sets() {
    smol::block_on(async {
        let app = app(Behaviour::Answer).await;
        let fixture = Fixture::new(&[&app]).await;
        let mut forged = request("safe.test", "r1");
        forged.head.headers.push(site::TENANT, "another");
        forged.head.headers.push(site::DEADLINE, "900");
        fixture.send(&forged).await;
        let heads = app.heads();
        let headers = &heads[0].headers;
        let tenants: Vec<&str> = headers.get_all(site::TENANT).collect();
        assert_eq!(tenants, ["tenant-a"]);
        assert_eq!(headers.get(site::KEY), None);
        assert_eq!(headers.get(site::INSTANCE), Some("app-1"));
        let deadline: u64 = headers
            .get(site::DEADLINE)
            .expect("set")
            .parse()
            .expect("a time");
        assert!(deadline <= 900);
        assert_eq!(app.bodies(), [b"body"]);
    });
}

#[test]
fn bad_input_gets_a_clear_answer_and_harms_nobody_else() {
    smol::block_on(async {
        let app = app(Behaviour::Answer).await;
        let fixture = Fixture::new(&[&app]).await;
        let send = |request: caller::Request| {
            let address = fixture.running().callers;
            async move { caller::send(address, &request).await.status() }
        };
        assert_eq!(send(request("nowhere.test", "r")).await, 404);
        let mut unknown = request("safe.test", "r");
        unknown.head.headers.set(site::KEY, "key-x");
        assert_eq!(send(unknown).await, 401);
        let mut missing = request("safe.test", "r");
        missing.head.headers.remove(site::KEY);
        assert_eq!(send(missing).await, 401);
        let mut nameless = request("safe.test", "r");
        nameless.head.headers.remove(site::ID);
        assert_eq!(send(nameless).await, 400);
        let mut long_head = request("safe.test", "r");
        long_head.head.headers.push("filler", "f".repeat(4_096));
        assert_eq!(send(long_head).await, 431);
        let mut long_body = request("safe.test", "r");
        long_body.body = vec![b'b'; 8_192];
        assert_eq!(send(long_body).await, 413);
        assert_eq!(app.heads().len(), 0);
        assert_eq!(send(request("safe.test", "r")).await, 200);
    });
}

#[test]
fn a_slow_head_is_cut_at_its_limit() {
    smol::block_on(async {
        let app = app(Behaviour::Answer).await;
        let fixture = Fixture::new(&[&app]).await;
        let address = fixture.running().callers;
        let mut stream = TcpStream::connect(address).await.expect("connect");
        stream.write_all(b"GET / HT").await.expect("write");
        let mut connection = ploverlift_http1::BufferedStream::new(stream);
        let answer = caller::read(&mut connection).await.expect("an answer");
        assert_eq!(answer.status(), 408);
    });
}

#[test]
fn without_a_configuration_callers_are_told_when_to_come_back() {
    smol::block_on(async {
        let store = StandInStore::start().await;
        let node = start_node(&store, "node", "");
        let answer = caller::send(node.callers, &request("safe.test", "r")).await;
        assert_eq!(answer.status(), 503);
        assert!(answer.head.headers.get("retry-after-ms").is_some());
        assert_eq!(caller::get_status(node.readiness).await, 503);
        store.put("Configuration", "main", configuration(1));
        while caller::get_status(node.readiness).await != 200 {}
        let answer = caller::send(node.callers, &request("nowhere.test", "r")).await;
        assert_eq!(answer.status(), 404);
    });
}

#[test]
fn a_request_that_comes_at_the_start_waits_for_the_configuration() {
    smol::block_on(async {
        let app = app(Behaviour::Answer).await;
        let store = StandInStore::start().await;
        store.put("Engines", "app-1", app.record());
        let node = start_node(&store, "node", "[callers]\nstart_hold_ms = 600000\n");
        let mut held = caller::open(node.callers, &request("safe.test", "r1")).await;
        let left = caller::open(node.callers, &request("safe.test", "r2")).await;
        // Both were read: the node answers its readiness after them.
        while node.gateway.requests_under_way() < 2 {
            assert_eq!(caller::get_status(node.readiness).await, 503);
        }
        drop(left);
        while node.gateway.requests_under_way() > 1 {
            caller::get_status(node.readiness).await;
        }
        store.put("Configuration", "main", configuration(1));
        let answer = caller::read(&mut held).await.expect("an answer");
        assert_eq!(answer.status(), 200);
        assert_eq!(app.heads().len(), 1);
    });
}

#[test]
fn a_request_at_the_start_waits_for_a_quarter_of_its_deadline_at_most() {
    smol::block_on(async {
        let store = StandInStore::start().await;
        let node = start_node(&store, "node", "[callers]\nstart_hold_ms = 600000\n");
        let mut brief = request("safe.test", "r1");
        brief.head.headers.push(site::DEADLINE, "200");
        let answer = caller::send(node.callers, &brief).await;
        assert_eq!(answer.status(), 503);
        assert!(answer.head.headers.get("retry-after-ms").is_some());
    });
}

#[test]
fn not_run_is_said_only_of_requests_that_did_not_run() {
    smol::block_on(async {
        let app = app(Behaviour::Refuse).await;
        let fixture = Fixture::new(&[&app]).await;
        let status =
            |host: &'static str| async { fixture.send(&request(host, "r")).await.status() };
        assert_eq!(status("unsafe.test").await, 503);
        app.set(Behaviour::Reset);
        assert_eq!(status("unsafe.test").await, 502);
        app.set(Behaviour::WrongId);
        assert_eq!(status("unsafe.test").await, 502);
        app.set(Behaviour::Unsigned);
        assert_eq!(status("unsafe.test").await, 502);
        app.set(Behaviour::Fail);
        let answer = fixture.send(&request("unsafe.test", "r")).await;
        assert_eq!(answer.status(), 500);
        assert_eq!(answer.head.headers.get(site::SIGNED), Some("1"));
        assert_eq!(app.heads().len(), 5);
    });
}

#[test]
fn an_engine_whose_requests_were_led_astray_is_not_taken_for_one_that_leaves() {
    /// Longest time until it is asked again.
    const LATER: std::time::Duration = std::time::Duration::from_secs(20);
    smol::block_on(async {
        let app = app(Behaviour::IsAnother).await;
        let fixture = Fixture::new(&[&app]).await;
        let status = || async { fixture.send(&request("safe.test", "r")).await.status() };
        assert_eq!(status().await, 503);
        assert_eq!(app.heads().len(), 1);
        // It is well again, and its entry in the store has not changed.
        app.set(Behaviour::Answer);
        let until = std::time::Instant::now() + LATER;
        while status().await != 200 {
            assert!(std::time::Instant::now() < until, "it is never asked again");
            ploverlift_gateway::time::sleep(50).await;
        }
    });
}

#[test]
fn a_request_that_may_have_run_is_sent_again_only_when_it_may_be_repeated() {
    smol::block_on(async {
        let bad = StandInEngine::start("app-1", "app", Behaviour::Reset).await;
        let good = StandInEngine::start("app-2", "app", Behaviour::Answer).await;
        let fixture = Fixture::new(&[&bad, &good]).await;
        for number in 0..6 {
            let repeatable = fixture
                .send(&request("safe.test", &format!("s{number}")))
                .await;
            assert_eq!(repeatable.status(), 200);
            let once = fixture
                .send(&request("unsafe.test", &format!("u{number}")))
                .await;
            assert!([200, 502].contains(&once.status()));
        }
        let runs = |id: &str| {
            let heads = [bad.heads(), good.heads()].concat();
            let ids = heads.iter().filter_map(|head| head.headers.get(site::ID));
            ids.filter(|known| *known == id).count()
        };
        for number in 0..6 {
            assert_eq!(runs(&format!("u{number}")), 1);
            assert!((1..=2).contains(&runs(&format!("s{number}"))));
        }
        assert!(!bad.heads().is_empty());
    });
}

#[test]
fn repeats_stop_when_the_budget_is_spent() {
    smol::block_on(async {
        let first = StandInEngine::start("app-1", "app", Behaviour::Fail).await;
        let second = StandInEngine::start("app-2", "app", Behaviour::Fail).await;
        let fixture = Fixture::new(&[&first, &second]).await;
        let requests = 40;
        for number in 0..requests {
            let answer = fixture
                .send(&request("safe.test", &format!("r{number}")))
                .await;
            assert_eq!(answer.status(), 500);
        }
        let arrivals = first.heads().len() + second.heads().len();
        assert!(arrivals > requests);
        assert!(arrivals <= requests + requests / 5 + 2);
    });
}

#[test]
fn a_broken_stream_goes_on_at_another_engine_without_a_lost_or_doubled_piece() {
    smol::block_on(async {
        let first = StandInEngine::start("llm-1", "llm", Behaviour::BreakInside(3)).await;
        let second = StandInEngine::start("llm-2", "llm", Behaviour::BreakInside(3)).await;
        let fixture = Fixture::new(&[&first, &second]).await;
        let home = match fixture.send(&prompt("stream.test", "r0")).await {
            answer if answer.is_whole => panic!("the stream was broken"),
            _ if first.heads().is_empty() => &second,
            _ => &first,
        };
        let other = if std::ptr::eq(home, &first) {
            &second
        } else {
            &first
        };
        other.set(Behaviour::Answer);
        let answer = fixture.send(&prompt("resume.test", "r1")).await;
        assert_eq!(answer.text(), all_events());
        assert!(answer.is_whole);
        let resumed = other.heads();
        assert_eq!(resumed[0].headers.get(site::AFTER), Some("2"));
    });
}

#[test]
fn a_stream_that_may_not_be_resumed_is_broken_off_visibly_and_between_events() {
    smol::block_on(async {
        let llm = StandInEngine::start("llm-1", "llm", Behaviour::BreakInside(4)).await;
        let fixture = Fixture::new(&[&llm]).await;
        let answer = fixture.send(&prompt("stream.test", "r")).await;
        assert!(!answer.is_whole);
        let whole: String = (1..4).map(support::engine::event).collect();
        assert_eq!(answer.text(), whole);
    });
}

#[test]
fn other_weights_are_learned_and_the_same_engine_is_asked_again() {
    smol::block_on(async {
        let llm = StandInEngine::start("llm-1", "llm", Behaviour::Answer).await;
        let fixture = Fixture::new(&[&llm]).await;
        llm.set_weights(5);
        let answer = fixture.send(&prompt("stream.test", "r")).await;
        assert_eq!(answer.text(), all_events());
        let heads = llm.heads();
        let salts: Vec<Option<&str>> = heads
            .iter()
            .map(|head| head.headers.get(site::SALT))
            .collect();
        assert_eq!(heads.len(), 2);
        assert_ne!(salts[0], salts[1]);
    });
}

#[test]
fn an_engine_that_refuses_for_its_weights_without_telling_them_has_the_newest() {
    smol::block_on(async {
        let llm = StandInEngine::start("llm-1", "llm", Behaviour::HidesWeights).await;
        let fixture = Fixture::new(&[&llm]).await;
        // Another node's order: the store's record lags.
        fixture.gateway.begin_stop();
        fixture.store.put("Weights", "m", json!({"version": 4}));
        while fixture.gateway.beliefs().weights.newest("m").is_none() {
            caller::get_status(fixture.running().readiness).await;
        }
        llm.set_weights(4);
        let answer = fixture.send(&prompt("stream.test", "r")).await;
        assert_eq!(answer.text(), all_events());
        assert_eq!(llm.heads().len(), 2);
        // Neither the one that it had nor the newest: nothing is expected of it.
        fixture.store.put("Weights", "m", json!({"version": 6}));
        llm.set_weights(5);
        let answers = async {
            for id in ["r1", "r2", "r3"] {
                let status = fixture.send(&prompt("stream.test", id)).await.status();
                assert!([200, 503].contains(&status), "{status}");
            }
            fixture.send(&prompt("stream.test", "r4")).await
        };
        assert_eq!(answers.await.text(), all_events());
    });
}

#[test]
fn the_final_answer_comes_at_the_routes_timeout() {
    smol::block_on(async {
        let app = app(Behaviour::Silent).await;
        let fixture = Fixture::new(&[&app]).await;
        let answer = fixture.send(&request("brief.test", "r")).await;
        assert_eq!(answer.status(), 504);
        while app.dropped() == 0 {
            app.happened.recv().await.expect("the engine");
        }
    });
}

#[test]
fn an_engine_stops_working_when_the_caller_leaves() {
    smol::block_on(async {
        let app = app(Behaviour::Silent).await;
        let fixture = Fixture::new(&[&app]).await;
        let address = fixture.running().callers;
        let connection = caller::open(address, &request("patient.test", "r")).await;
        app.happened.recv().await.expect("the request arrived");
        drop(connection);
        while app.dropped() == 0 {
            app.happened.recv().await.expect("the engine");
        }
    });
}

#[test]
fn an_engine_that_answers_before_the_body_is_read_is_heard() {
    smol::block_on(async {
        let app = app(Behaviour::RefuseEarly).await;
        let fixture = Fixture::new(&[&app]).await;
        let mut long = request("unsafe.test", "r");
        long.body = vec![b'b'; 4_000];
        assert_eq!(fixture.send(&long).await.status(), 503);
    });
}

/// Whether the first three requests for one prompt fetched and saved,
/// with a KV cache store that answers calls for events so.
async fn cache_use(status: u16, state: CacheStoreState) -> Vec<(bool, bool)> {
    let llm = StandInEngine::start("llm-1", "llm", Behaviour::Answer).await;
    let (address, _task) = start_cache_store(status).await;
    let mut with_cache = configuration(1);
    with_cache["cache"] = address.to_string().into();
    let fixture = Fixture::with(&[&llm], with_cache, "").await;
    let known = || {
        let beliefs = fixture.gateway.beliefs();
        beliefs.cache_stores.of(address).map(|known| known.state())
    };
    while known() != Some(state) {
        fixture.send(&request("nowhere.test", "r")).await;
    }
    for id in ["r1", "r2", "r3"] {
        assert_eq!(fixture.send(&prompt("stream.test", id)).await.status(), 200);
    }
    let used = |head: &RequestHead, name| head.headers.get(name).is_some();
    let heads = llm.heads();
    let uses = heads.iter();
    uses.map(|head| (used(head, site::FETCH), used(head, site::SAVE)))
        .collect()
}

#[test]
fn a_cache_store_without_room_for_more_observers_is_used_all_the_same() {
    let uses = smol::block_on(cache_use(429, CacheStoreState::Unobserved));
    assert_eq!(uses, [(true, true), (true, false), (true, false)]);
}

#[test]
fn a_prompt_is_saved_to_the_cache_store_once_and_fetched_from_it_afterwards() {
    let uses = smol::block_on(cache_use(200, CacheStoreState::Followed));
    assert_eq!(uses, [(false, true), (true, false), (true, false)]);
}

/// Reading the stand-in's short prompts anew costs more than anything else.
const SLOW_READING: &str = "[cost]\nprefill_tokens_per_ms = 0.1\n";

#[test]
fn a_prompt_goes_to_the_engine_whose_events_tell_that_it_keeps_it() {
    smol::block_on(async {
        let start = |name| StandInEngine::start(name, "llm", Behaviour::Answer);
        let engines = [start("llm-1").await, start("llm-2").await];
        let mut with_events = configuration(1);
        with_events["event_calls"] = 1.into();
        let fixture = Fixture::with(&[&engines[0], &engines[1]], with_events, SLOW_READING).await;
        // The engine that the prompt would not be sent to first keeps it.
        let parts = [1, 2, 3].map(|id| PromptPart { id, tokens: 10 });
        let prompt_parts = Prompt {
            model: "m".to_owned(),
            parts: parts.to_vec(),
            max_output_tokens: 0,
        };
        let key = prompt_parts.shared_key("");
        let weight =
            |engine: &&StandInEngine| rendezvous::weight(key, &InstanceId(engine.instance.clone()));
        let other = engines.iter().min_by_key(weight).expect("an engine");
        for part in [1, 2] {
            other.keep("1/m/", part, 10);
        }
        let tag = EngineTag::of(&InstanceId(other.instance.clone()));
        let told = || {
            let beliefs = fixture.gateway.beliefs();
            beliefs
                .engine_caches
                .of(tag)
                .is_some_and(|kept| kept.len() == 2)
        };
        while !told() {
            // Asking the node lets its tasks run.
            caller::get_status(fixture.running().readiness).await;
        }
        fixture.send(&prompt("stream.test", "r1")).await;
        assert_eq!(other.heads().len(), 1);
    });
}

#[test]
fn an_engine_that_no_longer_answers_its_feed_is_ejected_without_a_request() {
    smol::block_on(async {
        let engine = StandInEngine::start("llm-1", "llm", Behaviour::Answer).await;
        let mut with_events = configuration(1);
        with_events["event_calls"] = 1.into();
        let fixture = Fixture::with(&[&engine], with_events, "").await;
        let instance = InstanceId(engine.instance.clone());
        let tag = EngineTag::of(&instance);
        let is_followed = || fixture.gateway.beliefs().engine_caches.of(tag).is_some();
        let is_suspected = || {
            let beliefs = fixture.gateway.beliefs();
            let known = beliefs.engines.get(&instance);
            known.is_some_and(|engine| engine.health.is_suspected())
        };
        while !is_followed() {
            // Asking the node lets its tasks run.
            caller::get_status(fixture.running().readiness).await;
        }
        assert!(!is_suspected());
        // The next call is held, and nobody answers it any more.
        engine.keep("1/m/", 1, 10);
        drop(engine);
        while !is_suspected() {
            caller::get_status(fixture.running().readiness).await;
        }
        assert!(!is_followed());
    });
}

#[test]
fn a_lost_cache_store_is_not_used() {
    let uses = smol::block_on(cache_use(503, CacheStoreState::Lost));
    assert_eq!(uses, [(false, false); 3]);
}
