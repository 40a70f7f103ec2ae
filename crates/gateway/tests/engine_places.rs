//! Engines that admit a limited number of connections, and count those of machines that lost power.

mod support;

use ploverlift_gateway::assembly::RunningGateway;
use ploverlift_gateway::time::sleep;
use std::collections::HashSet;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use support::caller::{self, request};
use support::configuration;
use support::engine::{Behaviour, StandInEngine};
use support::exclusive::run_exclusively;
use support::fleet::{start_engines, start_known_nodes};
use support::store::StandInStore;

const NODES: usize = 7;
const ENGINES: usize = 4;
/// Time that an engine takes for a request, in milliseconds.
const WORK_MS: u64 = 10;
/// Callers that send one request after another.
const CALLERS: usize = 60;
/// Time for which requests are counted, in milliseconds.
const COUNTED_MS: u64 = 1_500;

struct Site {
    store: StandInStore,
    engines: Vec<StandInEngine>,
    nodes: Vec<RunningGateway>,
}

impl Site {
    /// Starts nodes beside engines that admit `limit` connections each, of which `former` are taken.
    async fn start(limit: usize, former: usize, behaviour: Behaviour) -> Self {
        let store = StandInStore::start().await;
        let mut document = configuration(1);
        document["max_connections"] = limit.into();
        store.put("Configuration", "main", document);
        let engines = start_engines(&store, "app", ENGINES, behaviour).await;
        for engine in &engines {
            engine.limit_connections(limit, former);
        }
        let nodes = start_known_nodes(&store, NODES).await;
        Self {
            store,
            engines,
            nodes,
        }
    }

    fn rejected(&self) -> usize {
        let engines = self.engines.iter();
        engines.map(StandInEngine::rejected_connections).sum()
    }

    fn arrived(&self) -> HashSet<String> {
        let engines = self.engines.iter();
        engines.flat_map(StandInEngine::arrived_ids).collect()
    }
}

/// Callers that send one request after another, on a new connection each.
struct Callers {
    answers: Arc<Mutex<Vec<(String, u16)>>>,
    goes_on: Arc<AtomicBool>,
    tasks: Vec<smol::Task<()>>,
}

impl Callers {
    fn start(nodes: &[RunningGateway], callers: usize) -> Self {
        let answers = Arc::new(Mutex::new(Vec::new()));
        let goes_on = Arc::new(AtomicBool::new(true));
        let next = Arc::new(AtomicUsize::new(0));
        let tasks = (0..callers).map(|caller| {
            let node = nodes[caller % nodes.len()].callers;
            let (answers, goes_on) = (Arc::clone(&answers), Arc::clone(&goes_on));
            let next = Arc::clone(&next);
            smol::spawn(async move {
                while goes_on.load(Ordering::Acquire) {
                    let (id, status) = ask(node, next.fetch_add(1, Ordering::AcqRel)).await;
                    answers.lock().expect("answers").push((id, status));
                    if status != 200 {
                        sleep(20).await;
                    }
                }
            })
        });
        Self {
            tasks: tasks.collect(),
            answers,
            goes_on,
        }
    }

    /// The answers since the last call.
    fn take(&self) -> Vec<(String, u16)> {
        std::mem::take(&mut *self.answers.lock().expect("answers"))
    }

    async fn stop(self) {
        self.goes_on.store(false, Ordering::Release);
        for task in self.tasks {
            task.await;
        }
    }
}

/// Sends a request, every second one of which may not be repeated.
async fn ask(node: SocketAddr, number: usize) -> (String, u16) {
    let host = match number % 2 {
        0 => "safe.test",
        _ => "unsafe.test",
    };
    let id = format!("r{number}");
    let answer = caller::send(node, &request(host, &id)).await;
    (id, answer.status())
}

fn served_share(answers: &[(String, u16)]) -> f64 {
    let served = answers.iter().filter(|(_, status)| *status == 200);
    served.count() as f64 / answers.len().max(1) as f64
}

// Guards against requests that are lost, on nodes that are new, with connections that engines do
// not admit because they still count those of a former life.
#[test]
fn new_nodes_serve_all_requests_while_engines_count_connections_of_a_former_life() {
    let _alone = run_exclusively();
    smol::block_on(async {
        for (limit, former) in [(30, 15), (60, 42)] {
            let site = Site::start(limit, former, Behaviour::KeepConnectionAfter(WORK_MS)).await;
            let callers = Callers::start(&site.nodes, CALLERS);
            sleep(COUNTED_MS).await;
            let answers = callers.take();
            callers.stop().await;
            let share = served_share(&answers);
            let context = format!(
                "{limit} connections, {former} taken: {share:.3} of {} served, {} rejected",
                answers.len(),
                site.rejected()
            );
            assert!(share >= 0.98, "{context}");
            let lost = answers.iter().filter(|(_, status)| *status == 502);
            assert_eq!(lost.count(), 0, "{context}");
        }
    });
}

// Guards against a refusal that says that a request has not run although it has, and against
// requests that are held, while no engine has any room; and against a service that does not come
// back when the engines have it again.
#[test]
fn full_engines_are_tried_seldom_and_used_again_once_they_have_room() {
    let _alone = run_exclusively();
    smol::block_on(async {
        let site = Site::start(16, 16, Behaviour::KeepConnectionAfter(WORK_MS)).await;
        // Half as many as there will be places.
        let callers = Callers::start(&site.nodes, 16 * ENGINES / 2);
        sleep(COUNTED_MS).await;
        let rejected_before = site.rejected();
        sleep(COUNTED_MS).await;
        let answers = callers.take();
        let refused = answers.iter().all(|(_, status)| *status == 503);
        assert!(refused, "{answers:?}");
        assert!(site.arrived().is_empty(), "none was read by an engine");
        let tried = site.rejected() - rejected_before;
        // Twice for each node and engine at the longest time between two trials.
        let bound = 2 * NODES * ENGINES * (COUNTED_MS as usize).div_ceil(800);
        assert!(
            tried <= bound,
            "{tried} connections rejected, {bound} allowed"
        );
        for engine in &site.engines {
            engine.limit_connections(16, 0);
        }
        sleep(1_000).await;
        callers.take();
        sleep(COUNTED_MS).await;
        let (answers, rejected) = (callers.take(), site.rejected());
        callers.stop().await;
        let (share, count) = (served_share(&answers), answers.len());
        assert!(
            share >= 0.98,
            "{share:.3} of {count} served, {rejected} rejected"
        );
        drop(site.store);
    });
}

// Guards against idle connections of the fleet that use up what an engine admits: a loss of power
// would leave no room for the nodes that return.
#[test]
fn idle_connections_of_all_nodes_leave_more_than_half_of_an_engine_free() {
    let _alone = run_exclusively();
    smol::block_on(async {
        for limit in [16, 30] {
            let site = Site::start(limit, 0, Behaviour::KeepConnection).await;
            let callers = Callers::start(&site.nodes, 2 * NODES);
            sleep(COUNTED_MS / 2).await;
            callers.stop().await;
            sleep(100).await;
            for engine in &site.engines {
                let open = engine.open_connections();
                assert!(2 * open < limit, "{open} of {limit} connections are idle");
            }
        }
    });
}
