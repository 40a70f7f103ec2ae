//! Whole unframed answers that arrive as whole, and what the checks of their ends cost.

use crate::app_engine::app;
use crate::support::caller::{self, prompt, request, Answer, Request};
use crate::support::engine::listening::IdleConnections;
use crate::support::engine::{AnswerFormat, Behaviour, StandInEngine, EVENTS};
use crate::support::Fixture;
use ploverlift_gateway::time::sleep;
use std::time::{Duration, Instant};

/// Answers of each case, and how many may be lost of them.
const ANSWERS: usize = 24;
const MAX_LOST: usize = ANSWERS / 100;
/// Time from the beginning of an answer until its engine stops listening, in milliseconds.
const LISTENS_FOR_MS: u64 = 100;
/// Time until a slow engine answers a probe, in milliseconds.
const SLOW_PROBE_MS: u64 = 500;

fn asked(service: &str, host: &str, number: usize) -> Request {
    let id = format!("r{number}");
    match service {
        "llm" => prompt(host, &id),
        _ => request(host, &id),
    }
}

fn is_whole(answer: &Answer) -> bool {
    answer.status() == 200 && answer.is_whole
}

async fn start(service: &str, behaviour: Behaviour) -> (StandInEngine, Fixture) {
    let engine = match service {
        "llm" => StandInEngine::start("llm-1", "llm", behaviour).await,
        _ => app(behaviour).await,
    };
    engine.set_format(AnswerFormat::UNFRAMED);
    let fixture = Fixture::new(&[&engine]).await;
    (engine, fixture)
}

// Guards against whole answers that are lost because their engines are not proven to run, and
// against checks that cost engines more than a probe for each answer.
#[test]
fn whole_answers_of_sound_and_slow_engines_arrive_as_whole() {
    smol::block_on(async {
        let cases = [
            ("llm", "resume.test", Behaviour::Answer),
            ("llm", "stream.test", Behaviour::StreamSlowly(EVENTS)),
            ("app", "safe.test", Behaviour::Answer),
            ("app", "unsafe.test", Behaviour::AnswerAfter(LISTENS_FOR_MS)),
        ];
        let cases = [0, SLOW_PROBE_MS]
            .into_iter()
            .flat_map(|probe_ms| cases.clone().map(|case| (probe_ms, case)));
        let running = cases.map(|(probe_ms, (service, host, behaviour))| {
            smol::spawn(assert_whole(probe_ms, service, host, behaviour))
        });
        for case in running.collect::<Vec<_>>() {
            case.await;
        }
    });
}

async fn assert_whole(
    probe_ms: u64,
    service: &'static str,
    host: &'static str,
    behaviour: Behaviour,
) {
    let case = format!("{host} {behaviour:?}, probes answered after {probe_ms} ms");
    let (engine, fixture) = start(service, behaviour).await;
    engine.delay_probes(probe_ms);
    let before = engine.accepted();
    let (mut whole, mut longest) = (0, Duration::ZERO);
    for number in 0..ANSWERS {
        let began = Instant::now();
        let answer = fixture.send(&asked(service, host, number)).await;
        longest = longest.max(began.elapsed());
        whole += usize::from(is_whole(&answer));
    }
    let (probes, opened) = (engine.probes(), engine.accepted() - before);
    println!(
        "{case}: {whole} of {ANSWERS} whole, {probes} probes, {opened} connections, \
         longest {longest:?}"
    );
    assert!(whole + MAX_LOST >= ANSWERS, "{case}: {whole} whole");
    assert!(probes <= ANSWERS, "{case}: {probes} probes");
    // One for each request, and one that stays open beside them.
    assert!(opened <= ANSWERS + 2, "{case}: {opened} connections");
}

// Guards against as many probes as answers that end together, and against an end that takes the answer
// to a probe that was sent before it for a proof.
#[test]
fn answers_that_end_together_share_a_probe() {
    const TOGETHER: usize = 16;
    smol::block_on(async {
        for (service, host, behaviour) in [
            ("llm", "stream.test", Behaviour::StreamSlowly(EVENTS)),
            ("app", "unsafe.test", Behaviour::AnswerAfter(200)),
        ] {
            let (engine, fixture) = start(service, behaviour).await;
            engine.delay_probes(SLOW_PROBE_MS);
            let address = fixture.running().callers;
            let asking = (0..TOGETHER).map(|number| {
                let asked = asked(service, host, number);
                smol::spawn(async move { caller::send(address, &asked).await })
            });
            let asking: Vec<_> = asking.collect();
            for answer in asking {
                assert!(is_whole(&answer.await), "{host}");
            }
            let probes = engine.probes();
            println!("{host}: {probes} probes for {TOGETHER} answers");
            // The first end, and all that were seen while its probe was under way.
            assert!((1..=2).contains(&probes), "{host}: {probes} probes");
        }
    });
}

// Guards against whole streams of an engine that leaves, or is at its limit, being lost while it keeps
// one connection open.
#[test]
fn whole_streams_of_an_engine_that_stops_listening_arrive_as_whole() {
    const STREAMS: usize = 12;
    smol::block_on(async {
        let (engine, fixture) = start("llm", Behaviour::StreamSlowly(EVENTS)).await;
        let address = fixture.running().callers;
        let asking = (0..STREAMS).map(|number| {
            let asked = prompt("stream.test", &format!("r{number}"));
            smol::spawn(async move { caller::send(address, &asked).await })
        });
        let asking: Vec<_> = asking.collect();
        while engine.arrivals() < STREAMS {
            sleep(1).await;
        }
        sleep(LISTENS_FOR_MS).await;
        engine.stop_listening(IdleConnections::LeftOpen).await;
        for answer in asking {
            assert!(is_whole(&answer.await));
        }
        let probes = engine.probes();
        println!("{probes} probes for {STREAMS} streams");
        assert!(probes <= STREAMS);
    });
}
