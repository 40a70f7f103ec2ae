//! What engines and callers receive for a request, and the answers to invalid input.

use crate::app_engine::app;
use crate::support::caller::{self, prompt, request};
use crate::support::engine::{all_events, Behaviour, StandInEngine};
use crate::support::{site, Fixture};
use smol::io::AsyncWriteExt;
use smol::net::TcpStream;

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
fn an_engine_gets_the_tenant_but_neither_the_key_nor_forged_system_headers() {
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
fn bad_input_is_rejected_and_affects_no_other_request() {
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
        long_head
            .head
            .headers
            .try_push("filler", "f".repeat(4_096))
            .expect("a value");
        assert_eq!(send(long_head).await, 431);
        let mut long_body = request("safe.test", "r");
        long_body.body = vec![b'b'; 8_192];
        assert_eq!(send(long_body).await, 413);
        assert_eq!(app.heads().len(), 0);
        assert_eq!(send(request("safe.test", "r")).await, 200);
    });
}

#[test]
fn a_slow_request_head_times_out() {
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
fn not_run_is_reported_only_for_requests_that_did_not_run() {
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
fn the_final_answer_is_sent_at_the_route_timeout() {
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
fn an_answer_sent_before_the_body_is_read_is_used() {
    smol::block_on(async {
        let app = app(Behaviour::RefuseEarly).await;
        let fixture = Fixture::new(&[&app]).await;
        let mut long = request("unsafe.test", "r");
        long.body = vec![b'b'; 4_000];
        assert_eq!(fixture.send(&long).await.status(), 503);
    });
}
