//! Connections of all nodes to engines that admit a limited number, in virtual time.

use fastrand::Rng;
use ploverlift_balancing::connection_window::{ConnectionWindow, EnginePlace};
use ploverlift_policy::ids::Millis;

/// When engines stop counting connections of the former life, in milliseconds.
const LET_GO_MS: u64 = 14_000;
/// Time that engines take for a request, in milliseconds.
const WORK_MS: u64 = 30;
/// Longest time for which a request waits for room, in milliseconds.
const WAIT_MS: u64 = 100;

/// Engines that count connections of a former life, and nodes that learn how much room is left.
struct Site {
    nodes: usize,
    engines: usize,
    max_connections: u32,
    /// Connections of the former life at each engine, until [`LET_GO_MS`].
    former: u32,
    /// Requests of the whole fleet in a millisecond.
    requests_per_ms: f64,
}

/// What the callers and the engines saw in a second.
#[derive(Clone, Copy, Debug, Default)]
struct Second {
    requests: u32,
    served: u32,
    rejected_connections: u32,
}

struct Running {
    node: usize,
    engine: usize,
    ends_at: u64,
    place: EnginePlace,
}

/// A request that waits for room since this time.
struct Waiting {
    node: usize,
    since: u64,
}

impl Site {
    fn run(&self, seconds: usize, seed: u64) -> Vec<Second> {
        let mut rng = Rng::with_seed(seed);
        let new_window = |_| ConnectionWindow::default();
        let windows = (0..self.nodes * self.engines).map(new_window);
        let mut windows: Vec<ConnectionWindow> = windows.collect();
        let mut open = vec![0_u32; self.engines];
        let mut running: Vec<Running> = Vec::new();
        let mut waiting: Vec<Waiting> = Vec::new();
        let mut seen = vec![Second::default(); seconds];
        for at in 0..seconds as u64 * 1_000 {
            let now = Millis(at);
            let second = &mut seen[(at / 1_000) as usize];
            let former = if at < LET_GO_MS { self.former } else { 0 };
            running.retain(|request| {
                let is_over = request.ends_at <= at;
                if is_over {
                    let window = &mut windows[request.node * self.engines + request.engine];
                    window.note_answered(request.place.ordinal(), now);
                    open[request.engine] -= 1;
                    second.served += 1;
                }
                !is_over
            });
            let mut arriving = self.requests_per_ms;
            while rng.f64() < arriving {
                let node = rng.usize(0..self.nodes);
                waiting.push(Waiting { node, since: at });
                second.requests += 1;
                arriving -= 1.0;
            }
            waiting.retain(|request| {
                let first = rng.usize(0..self.engines);
                let engines = (0..self.engines).map(|step| (first + step) % self.engines);
                for engine in engines {
                    let window = &mut windows[request.node * self.engines + engine];
                    let Some(place) = window.take_place(now) else {
                        continue;
                    };
                    if open[engine] + former >= self.max_connections {
                        window.note_rejected(place, self.nodes, now);
                        second.rejected_connections += 1;
                        continue;
                    }
                    open[engine] += 1;
                    running.push(Running {
                        node: request.node,
                        engine,
                        ends_at: at + WORK_MS,
                        place,
                    });
                    return false;
                }
                at < request.since + WAIT_MS
            });
        }
        seen
    }
}

fn served_share(seconds: &[Second]) -> f64 {
    let requests: u32 = seconds.iter().map(|second| second.requests).sum();
    let served: u32 = seconds.iter().map(|second| second.served).sum();
    f64::from(served) / f64::from(requests)
}

fn rejected(seconds: &[Second]) -> u32 {
    let rejected = seconds.iter().map(|second| second.rejected_connections);
    rejected.sum()
}

// Guards against a return of all nodes after which requests are lost with connections that engines
// do not admit, though they have places.
#[test]
fn requests_are_served_while_engines_count_connections_of_a_former_life() {
    for (nodes, engines, max_connections, former) in [
        (7, 4, 30, 14),
        (7, 4, 60, 29),
        (69, 18, 230, 114),
        (69, 18, 230, 200),
    ] {
        let free = f64::from((max_connections - former) * engines as u32);
        let site = Site {
            nodes,
            engines,
            max_connections,
            former,
            // Half of the places that are free, within what a test can play.
            requests_per_ms: (free * 0.5 / WORK_MS as f64).min(4.0),
        };
        for seed in 0..3 {
            let seen = site.run(14, seed);
            let share = served_share(&seen[8..13]);
            assert!(
                share >= 0.98,
                "{nodes} nodes at {max_connections}: {share:.3}"
            );
        }
    }
}

#[test]
fn service_is_back_within_a_second_after_full_engines_let_go() {
    for (nodes, engines, max_connections) in [(7, 4, 16), (69, 6, 230), (985, 2, 4_000)] {
        let site = Site {
            nodes,
            engines,
            max_connections,
            former: max_connections,
            requests_per_ms: 0.6,
        };
        let seen = site.run(24, 7);
        let back_after = match nodes {
            985 => 6,
            _ => 1,
        };
        let first = (LET_GO_MS / 1_000) as usize + back_after;
        let share = served_share(&seen[first..23]);
        assert!(share >= 0.98, "{nodes} nodes: {share:.3}");
        // Full engines are tried at a bounded rate, however many requests there are: the time
        // between two trials of a node doubles five times, up to its longest.
        let per_node = f64::from(rejected(&seen[..14])) / (nodes * engines) as f64;
        let longest_s = (nodes as f64 * 0.006).clamp(0.8, 6.0);
        let bound = 6.0 + LET_GO_MS as f64 / 1_000.0 / longest_s;
        assert!(
            per_node <= bound,
            "{nodes} nodes: {per_node:.1} trials each"
        );
    }
}

#[test]
fn nothing_is_sent_on_connections_that_may_not_be_admitted() {
    let mut window = ConnectionWindow::default();
    assert!(
        window.is_in_doubt(Millis(0)),
        "nothing is known of the engine"
    );
    let place = window.take_place(Millis(0)).expect("room");
    window.note_answered(place.ordinal(), Millis(10));
    assert!(!window.is_in_doubt(Millis(10)));
    window.note_reset(500, Millis(600));
    assert!(
        !window.is_in_doubt(Millis(600)),
        "the reset ended an answer"
    );
    window.note_reset(3, Millis(700));
    assert!(window.is_in_doubt(Millis(5_699)));
    assert!(!window.is_in_doubt(Millis(5_700)));
    let further = window.take_place(Millis(6_000)).expect("room");
    assert_eq!(window.note_rejected(further, 7, Millis(6_000)), 1);
    assert!(window.is_in_doubt(Millis(6_001)));
    assert!(!window.has_room(Millis(6_001)));
    assert!(window.has_room(Millis(6_025)), "a connection is tried");
    drop(place);
    assert!(
        window.has_room(Millis(6_001)),
        "the place of the closed one is free"
    );
    assert_eq!(window.places(Millis(16_000)), None);
}

#[test]
fn an_idle_connection_is_room_for_a_request() {
    let mut window = ConnectionWindow::default();
    let mut kept = window.take_place(Millis(0)).expect("room");
    let rejected = window.take_place(Millis(0)).expect("room");
    window.note_rejected(rejected, 7, Millis(0));
    assert!(!window.has_room(Millis(1)));
    kept.set_idle(true);
    assert!(window.has_room(Millis(1)));
    assert!(!window.may_open(Millis(1)), "only in its place");
    drop(kept);
    assert_eq!((window.open(), window.idle()), (0, 0));
    assert!(window.may_open(Millis(1)));
}
