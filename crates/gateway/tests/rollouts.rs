//! Rollouts of engines' software: a version that is ordered gets a small share, and
//! then everything or nothing, whatever fails halfway.

mod support;

use ploverlift_gateway::assembly::RunningGateway;
use serde_json::{json, Value};
use std::cell::Cell;
use std::rc::Rc;
use support::caller::{self, request};
use support::engine::{Behaviour, StandInEngine};
use support::store::{StandInStore, StoreFault};
use support::{configuration, settings, Fixture};

/// Bounds under which a rollout ends within seconds.
const BRISK: &str = "[bounds]\ncanary_share = 0.6\ncanary_slack = 400\n";
/// Callers that send one request after another.
const CALLERS: usize = 8;

/// Engines of the version that serves, and of the one that is ordered.
struct Versions {
    old: Vec<StandInEngine>,
    new: Vec<StandInEngine>,
}

impl Versions {
    async fn of_service(service: &str) -> Self {
        let mut versions = Self {
            old: Vec::new(),
            new: Vec::new(),
        };
        for index in 0..2 {
            let (old, new) = (format!("old-{index}"), format!("new-{index}"));
            let old = StandInEngine::of_software(&old, service, "v1").await;
            versions.old.push(old);
            let new = StandInEngine::of_software(&new, service, "v2").await;
            versions.new.push(new);
        }
        versions
    }

    fn arrivals(engines: &[StandInEngine]) -> usize {
        engines.iter().map(|engine| engine.heads().len()).sum()
    }

    fn set_new(&self, behaviour: Behaviour) {
        for engine in &self.new {
            engine.set(behaviour.clone());
        }
    }
}

fn order(target: &str, duration_ms: u64) -> Value {
    json!({"service": "app", "to": target, "ms": duration_ms})
}

fn record_engines(store: &StandInStore, engines: &[StandInEngine]) {
    for engine in engines {
        store.put("Engines", &engine.instance, engine.record());
    }
}

fn state(store: &StandInStore) -> Option<String> {
    let status = store.status("Rollouts", "app")?;
    Some(status["state"].as_str().unwrap_or_default().to_owned())
}

async fn wait_for_state(store: &StandInStore, node: &RunningGateway, wanted: &str) {
    while state(store).as_deref() != Some(wanted) {
        // Asking the node lets its tasks run.
        caller::get_status(node.readiness).await;
    }
}

/// Callers that send until they are told to stop; counts the answers by status.
struct Traffic {
    is_over: Rc<Cell<bool>>,
    tasks: Vec<smol::Task<(usize, usize)>>,
}

impl Traffic {
    fn start(executor: &Rc<smol::LocalExecutor<'static>>, node: &RunningGateway) -> Self {
        let is_over = Rc::new(Cell::new(false));
        let address = node.callers;
        let tasks = (0..CALLERS).map(|index| {
            let is_over = Rc::clone(&is_over);
            executor.spawn(async move {
                let (mut good, mut bad) = (0, 0);
                while !is_over.get() {
                    let id = format!("{index}-{}", good + bad);
                    match caller::send(address, &request("safe.test", &id))
                        .await
                        .status()
                    {
                        200 => good += 1,
                        _ => bad += 1,
                    }
                }
                (good, bad)
            })
        });
        Self {
            tasks: tasks.collect(),
            is_over,
        }
    }

    /// Answers with success and others.
    async fn stop(self) -> (usize, usize) {
        self.is_over.set(true);
        let (mut good, mut bad) = (0, 0);
        for task in self.tasks {
            let (more_good, more_bad) = task.await;
            good += more_good;
            bad += more_bad;
        }
        (good, bad)
    }
}

/// Runs a test with an executor for its callers.
fn with_callers<F>(test: impl FnOnce(Rc<smol::LocalExecutor<'static>>) -> F)
where
    F: std::future::Future<Output = ()>,
{
    let executor = Rc::new(smol::LocalExecutor::new());
    smol::block_on(executor.run(test(Rc::clone(&executor))));
}

#[test]
fn a_bad_version_is_rolled_back_and_gets_nothing_afterwards() {
    with_callers(|executor| async move {
        let versions = Versions::of_service("app").await;
        let old: Vec<&StandInEngine> = versions.old.iter().collect();
        let fixture = Fixture::with(&old, configuration(1), BRISK).await;
        let traffic = Traffic::start(&executor, fixture.running());
        versions.set_new(Behaviour::Fail);
        fixture.store.put("Rollouts", "app", order("v2", 20_000));
        record_engines(&fixture.store, &versions.new);
        wait_for_state(&fixture.store, fixture.running(), "rolled-back").await;
        let at_the_end = Versions::arrivals(&versions.new);
        let old_at_the_end = Versions::arrivals(&versions.old);
        while Versions::arrivals(&versions.old) < old_at_the_end + 200 {
            caller::get_status(fixture.running().readiness).await;
        }
        let (good, bad) = traffic.stop().await;
        assert!(at_the_end > 0);
        // Those that were on their way.
        assert!(Versions::arrivals(&versions.new) <= at_the_end + CALLERS);
        assert!(good > 200);
        // A caller notices only what the retry budget did not cover.
        assert!(bad <= good / 20, "{bad} of {good}");
    });
}

#[test]
fn a_good_version_is_completed_once_nothing_goes_to_the_established_engines() {
    with_callers(|executor| async move {
        let versions = Versions::of_service("app").await;
        let old: Vec<&StandInEngine> = versions.old.iter().collect();
        let fixture = Fixture::with(&old, configuration(1), BRISK).await;
        let traffic = Traffic::start(&executor, fixture.running());
        fixture.store.put("Rollouts", "app", order("v2", 6_000));
        record_engines(&fixture.store, &versions.new);
        wait_for_state(&fixture.store, fixture.running(), "completed").await;
        let old_at_the_end = Versions::arrivals(&versions.old);
        // They stop at once, undrained.
        versions
            .old
            .iter()
            .for_each(|engine| engine.set(Behaviour::Reset));
        let new_at_the_end = Versions::arrivals(&versions.new);
        while Versions::arrivals(&versions.new) < new_at_the_end + 200 {
            caller::get_status(fixture.running().readiness).await;
        }
        let (good, bad) = traffic.stop().await;
        assert_eq!(Versions::arrivals(&versions.old), old_at_the_end);
        assert!(good > 200);
        assert_eq!(bad, 0);
    });
}
