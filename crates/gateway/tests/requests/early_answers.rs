//! Answers of engines that have not read the whole request, and end the connection in several ways.

use crate::support::caller::{self, prompt, request, Answer, Request};
use crate::support::engine::early_answers::{EarlyAnswer, EarlyEnd, PART};
use crate::support::engine::{event, AnswerFormat, Behaviour, StandInEngine};
use crate::support::links::Link;
use crate::support::{configuration, site, Fixture};
use ploverlift_gateway::readiness::metrics_page;
use ploverlift_http1::{BufferedStream, Framing};
use smol::io::AsyncWriteExt;
use smol::net::TcpStream;
use std::io::ErrorKind;

/// Size of an upload that the buffers between node and engine do not hold, in bytes.
const UPLOAD_BYTES: usize = 8 * 1024 * 1024;
/// What engines have read of an upload when they answer, in bytes.
const READ_BYTES: [usize; 2] = [0, 512 * 1024];
/// Requests of each case: when the end of a connection arrives is up to the kernel.
const REPEATS: usize = 3;
/// Retries for all requests.
const RETRIES: &str = "[attempts]\nretry_reserve = 1000000.0\n";
const HOSTS: [&str; 4] = ["safe.test", "unsafe.test", "stream.test", "resume.test"];

/// A node with one engine of each service, which run on threads of their own.
struct Site {
    fixture: Fixture,
    engines: [StandInEngine; 2],
}

impl Site {
    async fn start() -> Self {
        let app = StandInEngine::start_on_thread("app-1", "app", Behaviour::Answer).await;
        let llm = StandInEngine::start_on_thread("llm-1", "llm", Behaviour::Answer).await;
        let mut content = configuration(1);
        content["max_body_bytes"] = (2 * UPLOAD_BYTES).into();
        let fixture = Fixture::with(&[&app, &llm], content, RETRIES).await;
        Self {
            fixture,
            engines: [app, llm],
        }
    }

    fn set(&self, early: EarlyAnswer, framing: Framing) {
        for engine in &self.engines {
            engine.set_format(AnswerFormat {
                framing,
                ..AnswerFormat::default()
            });
            engine.set(Behaviour::AnswerEarly(early));
        }
    }

    async fn upload(&self, host: &str, id: &str) -> Answer {
        self.fixture.send(&upload(host, id)).await
    }
}

fn is_stream(host: &str) -> bool {
    matches!(host, "stream.test" | "resume.test")
}

fn upload(host: &str, id: &str) -> Request {
    let mut upload = match is_stream(host) {
        true => prompt(host, id),
        false => request(host, id),
    };
    upload.body = vec![b'x'; UPLOAD_BYTES];
    upload.body[..id.len()].copy_from_slice(id.as_bytes());
    upload
}

/// Whether an answer is complete and that of an engine, rather than of the node.
fn is_whole_of_engine(answer: &Answer) -> bool {
    answer.is_whole && answer.head.headers.get(site::SIGNED).is_some()
}

/// Number of cut answers of this framing that the node has counted.
fn cut_answers(fixture: &Fixture, framing: Framing) -> u64 {
    let labels = format!("{{framing=\"{}\",end=\"cut\"}} ", framing.name());
    let sample = format!("ploverlift_gateway_answer_ends_total{labels}");
    let page = metrics_page(&fixture.gateway);
    let count = page.lines().find_map(|line| line.strip_prefix(&sample));
    count.map_or(0, |count| count.parse().expect("a number"))
}

/// Sends uploads whose engine resets the connection after a part of its answer, and asserts that
/// no caller gets the part as a whole answer.
async fn assert_no_part_is_whole(framing: Framing, statuses: &[u16]) {
    let site = Site::start().await;
    let (mut answers, mut whole) = (0, Vec::new());
    for host in HOSTS {
        for (status, end) in statuses
            .iter()
            .flat_map(|status| EarlyEnd::RESETS.map(|end| (*status, end)))
        {
            for reads_bytes in READ_BYTES {
                let early = EarlyAnswer {
                    status,
                    reads_bytes,
                    end,
                };
                site.set(early, framing);
                for repeat in 0..REPEATS {
                    let id = format!("{host}-{status}-{end:?}-{reads_bytes}-{repeat}");
                    let answer = site.upload(host, &id).await;
                    answers += 1;
                    if is_whole_of_engine(&answer) {
                        whole.push(format!("{} to {id}: {}", answer.status(), answer.text()));
                    } else if answer.is_whole {
                        assert_eq!(answer.status(), 502, "{id}");
                    }
                }
            }
        }
    }
    let count = whole.len();
    assert!(whole.is_empty(), "{count} of {answers} whole: {whole:#?}");
    let cut = cut_answers(&site.fixture, framing);
    assert!(cut >= answers, "{cut} of {answers} counted");
    // Each engine had admitted the connection.
    let page = metrics_page(&site.fixture.gateway);
    assert!(!page.contains("rejected_connections_total{"), "{page}");
}

// Guards against a part of an answer without a length reaching its caller as a whole success or
// failure, because the write of the request gets the reset of the connection.
#[test]
fn an_unframed_answer_whose_connection_is_reset_under_the_upload_is_not_whole() {
    smol::block_on(assert_no_part_is_whole(
        Framing::UntilClose,
        &[200, 404, 500, 503],
    ));
}

// Guards against the same in the framings that show the end of a body themselves.
#[test]
fn a_framed_answer_whose_connection_is_reset_under_the_upload_is_not_whole() {
    smol::block_on(async {
        for framing in [Framing::Chunked, Framing::Length(0)] {
            assert_no_part_is_whole(framing, &[200, 500]).await;
        }
    });
}

// Guards against a request that is given up though another engine may take it, and against one that is
// sent twice though it may not be repeated.
#[test]
fn a_request_whose_answer_is_cut_under_the_upload_goes_to_another_engine_if_it_may() {
    smol::block_on(async {
        let cuts = Behaviour::AnswerEarly(EarlyAnswer {
            status: 200,
            reads_bytes: READ_BYTES[1],
            end: EarlyEnd::Reset,
        });
        for (host, sends) in [
            ("safe.test", 2),
            ("unsafe.test", 1),
            ("stream.test", 1),
            ("resume.test", 2),
        ] {
            let service = if is_stream(host) { "llm" } else { "app" };
            let first = StandInEngine::start_on_thread("1", service, cuts.clone()).await;
            let second = StandInEngine::start_on_thread("2", service, cuts.clone()).await;
            for engine in [&first, &second] {
                engine.set_format(AnswerFormat::UNFRAMED);
            }
            let mut content = configuration(1);
            content["max_body_bytes"] = (2 * UPLOAD_BYTES).into();
            let fixture = Fixture::with(&[&first, &second], content, RETRIES).await;
            let answer = fixture.send(&upload(host, "r")).await;
            assert!(!is_whole_of_engine(&answer), "{host}");
            let arrivals = [first.arrivals(), second.arrivals()];
            assert!(arrivals.iter().all(|count| *count <= 1), "{host}");
            assert_eq!(arrivals.iter().sum::<usize>(), sends, "{host}");
        }
    });
}

// Guards against whole answers being broken off because their engine reads no more of the upload.
#[test]
fn an_unframed_answer_that_ends_regularly_under_the_upload_is_whole() {
    smol::block_on(async {
        let site = Site::start().await;
        for host in HOSTS {
            for (end, reads_bytes) in EarlyEnd::REGULAR
                .iter()
                .flat_map(|end| READ_BYTES.map(|bytes| (*end, bytes)))
            {
                let early = EarlyAnswer {
                    status: 200,
                    reads_bytes,
                    end,
                };
                site.set(early, Framing::UntilClose);
                for repeat in 0..REPEATS {
                    let id = format!("{host}-{end:?}-{reads_bytes}-{repeat}");
                    let answer = site.upload(host, &id).await;
                    let expected = match is_stream(host) {
                        true => event(1),
                        false => PART.to_owned(),
                    };
                    let received = (answer.status(), answer.text(), answer.is_whole);
                    assert_eq!(received, (200, expected, true), "{id}");
                }
            }
        }
    });
}

// Guards against a fault of the tests' own: a link that ends a connection regularly where the engine
// has reset it.
#[test]
fn a_link_passes_the_reset_of_a_connection_under_the_upload_on() {
    smol::block_on(async {
        let site = Site::start().await;
        for end in EarlyEnd::RESETS {
            for reads_bytes in READ_BYTES {
                site.set(
                    EarlyAnswer {
                        status: 200,
                        reads_bytes,
                        end,
                    },
                    Framing::UntilClose,
                );
                let link = Link::open(site.engines[0].address);
                for _ in 0..REPEATS {
                    let error = upload_until_end(&link).await.expect_err("a reset");
                    assert_eq!(error.kind(), ErrorKind::ConnectionReset, "{end:?}");
                }
            }
        }
    });
}

/// Writes an upload through a link until the connection ends.
async fn upload_until_end(link: &Link) -> std::io::Result<()> {
    let stream = TcpStream::connect(link.address).await.expect("connect");
    let mut connection = BufferedStream::new(stream);
    let mut writer = connection.writer();
    let message = caller::encode(&upload("safe.test", "r"));
    let writing = async {
        let _ = writer.write_all(&message).await;
        std::future::pending().await
    };
    let reading = async {
        while connection.fill().await? > 0 {}
        Ok(())
    };
    smol::future::or(reading, writing).await
}
