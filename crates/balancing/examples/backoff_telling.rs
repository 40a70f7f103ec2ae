//! Compares keeping an engine's back-off request on one node with broadcasting it to all
//! nodes.
//!
//! Simulated time; 985 nodes, each with one request per second for one engine. The engine
//! rejects requests beyond its capacity, or all of them, and asks for a back-off of one
//! second each time. Either each node keeps the back-off for itself, or the node that
//! receives it broadcasts it to all others.
//!
//! Run with `cargo run -p ploverlift-balancing --example backoff_telling`.

use ploverlift_balancing::catalogue::Heartbeat;
use ploverlift_balancing::engine_notices::{EngineLife, EngineNotices};
use ploverlift_balancing::names::EngineTag;
use ploverlift_policy::ids::Millis;

const NODES: usize = 985;
const SECONDS: u64 = 60;
const BACKOFF_MS: u64 = 1_000;
/// Time until all nodes have received a broadcast, in milliseconds.
const BROADCAST_DELAY_MS: u64 = 20;
const LIFE: EngineLife = EngineLife {
    engine: EngineTag(1),
    born_ms: 0,
};

struct Outcome {
    served: usize,
    rejected: usize,
}

/// Simulates requests at random moments; the engine serves `capacity` requests per
/// second.
fn simulate(capacity: usize, is_broadcast: bool) -> Outcome {
    let mut random = fastrand::Rng::with_seed(1);
    let mut nodes = vec![EngineNotices::default(); NODES];
    let mut pending_broadcasts: Vec<(Millis, u64)> = Vec::new();
    let mut taken = 0;
    let mut outcome = Outcome {
        served: 0,
        rejected: 0,
    };
    for at_ms in 0..SECONDS * 1_000 {
        let now = Millis(at_ms + 1);
        if at_ms % 1_000 == 0 {
            taken = 0;
        }
        pending_broadcasts.retain(|(due_at, left_ms)| {
            if *due_at <= now {
                for node in &mut nodes {
                    node.note_backoff(LIFE, *left_ms, random.u64(..), now);
                }
            }
            *due_at > now
        });
        for node in &mut nodes {
            let sends_request = random.u64(..1_000) == 0;
            let heartbeat = Heartbeat::default();
            if !sends_request || node.backoff(LIFE.engine, heartbeat, now).is_some() {
                continue;
            }
            // Slots become free at an even pace.
            let available = capacity * (at_ms % 1_000 + 1) as usize / 1_000;
            if taken < available {
                taken += 1;
                outcome.served += 1;
                continue;
            }
            outcome.rejected += 1;
            node.note_backoff(LIFE, BACKOFF_MS, random.u64(..), now);
            if is_broadcast {
                pending_broadcasts.push((
                    now.plus(BROADCAST_DELAY_MS),
                    BACKOFF_MS - BROADCAST_DELAY_MS,
                ));
            }
        }
    }
    outcome
}

fn main() {
    println!("capacity/s  shared  served/s     rejected/s");
    for capacity in [0, 200, 500, 900] {
        for is_broadcast in [false, true] {
            let outcome = simulate(capacity, is_broadcast);
            let per_second = |count: usize| count as f64 / SECONDS as f64;
            println!(
                "{capacity:10}  {is_broadcast:5}  {:9.1}  {:13.1}",
                per_second(outcome.served),
                per_second(outcome.rejected)
            );
        }
    }
}
