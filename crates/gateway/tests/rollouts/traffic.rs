//! Callers that send one request after another, before and during a rollout.

use crate::support::caller::{self, request};
use crate::support::Fixture;
use crate::versions::{order, record_engines, wait_for_arrivals, Versions};
use ploverlift_gateway::assembly::RunningGateway;
use std::cell::Cell;
use std::rc::Rc;

/// Number of callers.
pub const CALLERS: usize = 8;

/// Callers that send until they are stopped, and count the answers by status.
pub struct Traffic {
    is_stopped: Rc<Cell<bool>>,
    tasks: Vec<smol::Task<(usize, usize)>>,
}

impl Traffic {
    pub fn start(executor: &Rc<smol::LocalExecutor<'static>>, node: &RunningGateway) -> Self {
        let is_stopped = Rc::new(Cell::new(false));
        let address = node.callers;
        let tasks = (0..CALLERS).map(|index| {
            let is_stopped = Rc::clone(&is_stopped);
            executor.spawn(async move {
                let (mut good, mut bad) = (0, 0);
                while !is_stopped.get() {
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
            is_stopped,
        }
    }

    /// Stops the callers; returns the numbers of successful and of other answers.
    pub async fn stop(self) -> (usize, usize) {
        self.is_stopped.set(true);
        let (mut good, mut bad) = (0, 0);
        for task in self.tasks {
            let (more_good, more_bad) = task.await;
            good += more_good;
            bad += more_bad;
        }
        (good, bad)
    }
}

/// A rollout whose target already serves some requests.
pub struct RunningCanary {
    pub versions: Versions,
    pub fixture: Fixture,
    pub traffic: Traffic,
}

impl RunningCanary {
    /// Starts the node and callers, and waits for arrivals at the target.
    pub async fn start(executor: &Rc<smol::LocalExecutor<'static>>) -> Self {
        let (versions, fixture) = Versions::with_node().await;
        let node = fixture.running();
        let traffic = Traffic::start(executor, node);
        fixture.store.put("Rollouts", "app", order("v2", 60_000));
        record_engines(&fixture.store, &versions.new);
        wait_for_arrivals(node, &versions.new, 5).await;
        Self {
            versions,
            fixture,
            traffic,
        }
    }
}

/// Runs a test with an executor for its callers.
pub fn with_callers<F>(test: impl FnOnce(Rc<smol::LocalExecutor<'static>>) -> F)
where
    F: std::future::Future<Output = ()>,
{
    let executor = Rc::new(smol::LocalExecutor::new());
    smol::block_on(executor.run(test(Rc::clone(&executor))));
}
