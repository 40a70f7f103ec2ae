//! Replays the recorded schedules, each of which once found a fault, and compares
//! the violations with the stated ones.

use ploverlift_simulation::schedule::Operation;
use ploverlift_simulation::world::{Mutations, World};
use serde::Deserialize;
use std::path::Path;

/// Time after the last operation within which the site must settle, in milliseconds.
const SETTLE_MS: u64 = 30_000;

/// The first line of a trace.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Head {
    /// Seed of the simulated site.
    seed: u64,
    /// The fault that the schedule found when it was recorded.
    #[allow(dead_code)]
    found: String,
    /// Promises violated in the replay; empty when the fault is fixed.
    violated: Vec<String>,
}

fn replay(path: &Path) -> datatest_stable::Result<()> {
    let text = std::fs::read_to_string(path)?;
    let mut lines = text.lines();
    let head: Head = serde_json::from_str(lines.next().unwrap_or_default())?;
    let mut world = World::settled(head.seed, Mutations::default());
    for line in lines.filter(|line| !line.trim().is_empty()) {
        let operation: Operation = serde_json::from_str(line)?;
        world.perform(&operation);
    }
    world.recover();
    world.advance(SETTLE_MS);
    world.check_settled();
    let violated: Vec<String> = world
        .oracle
        .violations
        .iter()
        .map(|found| format!("{:?}", found.promise))
        .collect();
    if violated != head.violated {
        return Err(format!("{:?}", world.oracle.violations).into());
    }
    Ok(())
}

datatest_stable::harness! {
    { test = replay, root = "../../traces", pattern = r".*\.jsonl$" },
}
