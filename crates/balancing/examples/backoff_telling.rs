//! What a fleet loses by keeping or telling that an engine wants nothing for a time.
//!
//! Virtual time; 985 nodes, each with one request a second for one engine. The engine turns
//! requests away beyond what it can do, or all of them, and names a second each time. Either
//! each node keeps that for itself, or whoever hears it tells all others as a bar.
//!
//! Run with `cargo run -p ploverlift-balancing --example backoff_telling`.

use ploverlift_balancing::catalogue::Heartbeat;
use ploverlift_balancing::engine_notices::{EngineLife, EngineNotices};
use ploverlift_balancing::names::EngineTag;
use ploverlift_policy::ids::Millis;

const NODES: usize = 985;
const SECONDS: u64 = 60;
const BACKOFF_MS: u64 = 1_000;
/// Time until all nodes know what one was told, in milliseconds.
const BROADCAST_DELAY_MS: u64 = 20;
const LIFE: EngineLife = EngineLife {
    engine: EngineTag(1),
    born_ms: 0,
};

struct Outcome {
    served: usize,
    turned_away: usize,
}

/// Plays requests at random moments; the engine takes so many a second.
fn simulate(capacity: usize, is_broadcast: bool) -> Outcome {
    let mut random = fastrand::Rng::with_seed(1);
    let mut nodes = vec![EngineNotices::default(); NODES];
    let mut pending_broadcasts: Vec<(Millis, u64)> = Vec::new();
    let mut taken = 0;
    let mut outcome = Outcome {
        served: 0,
        turned_away: 0,
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
            // Its slots are free again at an even pace.
            let available = capacity * (at_ms % 1_000 + 1) as usize / 1_000;
            if taken < available {
                taken += 1;
                outcome.served += 1;
                continue;
            }
            outcome.turned_away += 1;
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
    println!("capacity/s  told    served/s  turned away/s");
    for capacity in [0, 200, 500, 900] {
        for is_broadcast in [false, true] {
            let outcome = simulate(capacity, is_broadcast);
            let per_second = |count: usize| count as f64 / SECONDS as f64;
            println!(
                "{capacity:10}  {is_broadcast:5}  {:9.1}  {:13.1}",
                per_second(outcome.served),
                per_second(outcome.turned_away)
            );
        }
    }
}
