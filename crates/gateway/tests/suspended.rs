//! After a suspension of the machine, the age of a node's state includes the suspension,
//! although no timer ran.
//!
//! The monotonic clock of a suspended machine stops. A node that used it treated a proof from
//! before ten seconds of suspension as two seconds old: it accepted revoked keys, sent
//! requests to engines that had left, sent orders under a lease that another node held, and
//! served requests after their deadlines. These tests advance the clock without the timers.

mod support;

use ploverlift_clock::{Clock, Suspension};
use ploverlift_gateway::assembly::{start_with_clock, RunningGateway};
use ploverlift_gateway::engines_proof::EnginesProof;
use ploverlift_gateway::leases::{LeaseHolder, LeaseName};
use ploverlift_gateway::logging::silent_logger;
use ploverlift_gateway::reliance::{reliance, Reliance};
use ploverlift_gateway::time::sleep;
use ploverlift_policy::ids::Millis;
use serde_json::json;
use std::sync::Arc;
use support::caller::{self, prompt, request};
use support::engine::{Behaviour, StandInEngine};
use support::site::StandInSite;
use support::store::{StandInStore, StoreFault};
use support::{configuration, settings};

/// Durations of suspensions, in milliseconds, shorter and longer than each bound below.
const SUSPENSIONS_MS: [u64; 3] = [4_000, 10_000, 30_000];
/// Polling period of conditions that a test waits for, in milliseconds.
const POLL_PERIOD_MS: u64 = 2;
/// Bounds of the site: each is exceeded after any of the suspensions.
const BOUNDS: &str = "engine_heartbeat_ms = 400\n[bounds]\nkey_revocation_ms = 3000\n\
    revoke_when_cut = true\nleaving_engine_ms = 2000\nweights_ms = 3000\nlease_ms = 1000\n";

/// A node on a machine that can be suspended.
struct Machine {
    store: StandInStore,
    node: RunningGateway,
    suspension: Suspension,
}

impl Machine {
    async fn start(engines: &[&StandInEngine], more: &str) -> Self {
        let store = StandInStore::start().await;
        store.put("Configuration", "main", configuration(1));
        store.put("Weights", "m", json!({"version": 1}));
        for engine in engines {
            store.put("Engines", &engine.instance, engine.record());
        }
        let (clock, suspension) = Clock::suspendable();
        let settings = settings(&store, "node", more);
        let site = Arc::new(StandInSite);
        let node = start_with_clock(settings, site, silent_logger(), clock).expect("start");
        while caller::get_status(node.readiness).await != 200 {
            sleep(POLL_PERIOD_MS).await;
        }
        Self {
            store,
            node,
            suspension,
        }
    }

    /// Suspends the machine while the store does not answer.
    async fn suspend_without_store(&self, sleep_ms: u64) {
        self.store.set_fault(StoreFault::Silent);
        // Wait until running calls have ended.
        sleep(60).await;
        self.suspension.sleep(sleep_ms);
    }
}

#[test]
fn keys_are_not_accepted_by_a_proof_from_before_the_suspension() {
    smol::block_on(async {
        for sleep_ms in SUSPENSIONS_MS {
            let app = StandInEngine::start("app-1", "app", Behaviour::Answer).await;
            let machine = Machine::start(&[&app], BOUNDS).await;
            let call = request("unsafe.test", "r1");
            assert_eq!(
                caller::send(machine.node.callers, &call).await.status(),
                200
            );
            machine.suspend_without_store(sleep_ms).await;
            let call = request("unsafe.test", "r2");
            assert_eq!(
                caller::send(machine.node.callers, &call).await.status(),
                503
            );
            assert_eq!(app.arrivals(), 1);
        }
    });
}

#[test]
fn a_revoked_key_is_not_accepted_for_a_request_that_waited_through_the_suspension() {
    smol::block_on(async {
        let mut app = StandInEngine::start("app-1", "app", Behaviour::Answer).await;
        let bounds = format!("{BOUNDS}[attempts]\nconnect_timeout_ms = 2000\n");
        let machine = Machine::start(&[&app], &bounds).await;
        app.lose_power().await;
        let waiting = request("patient.test", "r1");
        let mut connection = caller::open(machine.node.callers, &waiting).await;
        sleep(50).await;
        machine.suspend_without_store(10_000).await;
        app.regain_power();
        let answer = caller::read(&mut connection).await.expect("an answer");
        assert_eq!(answer.status(), 503);
        assert_eq!(app.arrivals(), 0);
    });
}

#[test]
fn a_request_whose_deadline_passed_in_the_suspension_is_sent_to_no_engine() {
    smol::block_on(async {
        let mut app = StandInEngine::start("app-1", "app", Behaviour::Answer).await;
        let machine = Machine::start(&[&app], "[attempts]\nconnect_timeout_ms = 2000\n").await;
        app.lose_power().await;
        let mut waiting = request("unsafe.test", "r1");
        waiting.head.headers.push(support::site::DEADLINE, "2500");
        let mut connection = caller::open(machine.node.callers, &waiting).await;
        sleep(50).await;
        machine.suspension.sleep(10_000);
        app.regain_power();
        let answer = caller::read(&mut connection).await.expect("an answer");
        assert_eq!(answer.status(), 503);
        assert_eq!(app.arrivals(), 0);
    });
}

#[test]
fn an_engine_that_left_during_the_suspension_gets_no_request() {
    smol::block_on(async {
        let app = StandInEngine::start("app-1", "app", Behaviour::Answer).await;
        let other = StandInEngine::start("app-2", "app", Behaviour::Answer).await;
        let machine = Machine::start(&[&app, &other], BOUNDS).await;
        // The open watch receives no events of changes during the suspension.
        machine.store.set_fault(StoreFault::DeafWatches);
        sleep(600).await;
        machine.store.remove("Engines", "app-1");
        machine.suspension.sleep(10_000);
        machine.store.set_fault(StoreFault::None);
        for number in 0..6 {
            let call = request("unsafe.test", &format!("r{number}"));
            caller::send(machine.node.callers, &call).await;
        }
        // Requests are refused until the proof of the keys is renewed, then they are served.
        while other.arrivals() == 0 {
            let call = request("unsafe.test", "later");
            caller::send(machine.node.callers, &call).await;
            sleep(POLL_PERIOD_MS).await;
        }
        assert_eq!(app.arrivals(), 0);
    });
}

#[test]
fn an_answer_read_after_a_suspension_proves_the_state_at_its_request() {
    smol::block_on(async {
        let app = StandInEngine::start("app-1", "app", Behaviour::Answer).await;
        let machine = Machine::start(&[&app], BOUNDS).await;
        machine.suspend_without_store(10_000).await;
        let gateway = &machine.node.gateway;
        let now = gateway.clock.now();
        let before = Millis(now.0 - 10_200);
        let mut proof = EnginesProof::default();
        proof.note_store_read(before, now, 1_000);
        gateway.beliefs().engines_proof = proof;
        assert_ne!(reliance(gateway, now), Reliance::Recent);
    });
}

#[test]
fn no_prompt_begins_on_weights_proven_before_the_suspension() {
    smol::block_on(async {
        let llm = StandInEngine::start("llm-1", "llm", Behaviour::Answer).await;
        let bounds = BOUNDS.replace("revoke_when_cut = true\n", "revoke_when_cut = false\n");
        let machine = Machine::start(&[&llm], &bounds).await;
        let call = prompt("stream.test", "r1");
        assert_eq!(
            caller::send(machine.node.callers, &call).await.status(),
            200
        );
        machine.suspend_without_store(10_000).await;
        let call = prompt("stream.test", "r2");
        assert_eq!(
            caller::send(machine.node.callers, &call).await.status(),
            503
        );
        assert_eq!(llm.arrivals(), 1);
    });
}

#[test]
fn a_lease_expires_during_a_suspension() {
    smol::block_on(async {
        let machine = Machine::start(&[], BOUNDS).await;
        let lease = LeaseHolder::new(&machine.node.gateway, LeaseName::Weights);
        while !lease.renew_or_acquire().await {
            sleep(POLL_PERIOD_MS).await;
        }
        assert!(lease.token().is_some());
        machine.suspension.sleep(4_000);
        assert!(lease.token().is_none());
    });
}

#[test]
fn backoff_and_leaving_of_an_engine_count_through_a_suspension() {
    smol::block_on(async {
        let refusing = StandInEngine::start("app-1", "app", Behaviour::Refuse).await;
        let bounds = "[bounds]\nrevoke_when_cut = false\n";
        let machine = Machine::start(&[&refusing], bounds).await;
        let send = |id: &'static str| {
            let callers = machine.node.callers;
            async move {
                let answer = caller::send(callers, &request("safe.test", id)).await;
                answer.status()
            }
        };
        refusing.name_backoff(Some("10000"));
        assert_eq!((send("r1").await, refusing.arrivals()), (503, 1));
        refusing.set(Behaviour::Answer);
        // The rest of the node's state ages too.
        machine.suspension.sleep(4_000);
        sleep(POLL_PERIOD_MS).await;
        assert_eq!((send("r2").await, refusing.arrivals()), (503, 1));
        machine.suspension.sleep(10_000);
        while send("r3").await != 200 {
            sleep(POLL_PERIOD_MS).await;
        }
        refusing.name_leaving(Some("1"));
        assert_eq!(send("r4").await, 200);
        let before = refusing.arrivals();
        machine.suspension.sleep(10_000);
        assert_eq!((send("r5").await, refusing.arrivals()), (503, before));
    });
}
