//! Tenant limits on running nodes: which requests are refused and how, what is charged, and
//! how nodes report usage to each other.

mod support;

use ploverlift_balancing::peer_loads::{PeerId, ZoneTag};
use ploverlift_gateway::assembly::{start, RunningGateway};
use ploverlift_gateway::logging::silent_logger;
use ploverlift_gateway::peers::address_book::{Capacity, ListedNode};
use ploverlift_gateway::peers::limit_messages::{UseMessage, MAX_TENANTS};
use ploverlift_gateway::peers::limits::{handle_level_report, handle_use_report};
use ploverlift_gateway::peers::messages::{decode, encode, PeerMessage};
use ploverlift_gateway::peers::roles::{membership, role, Role};
use ploverlift_gateway::state::Gateway;
use ploverlift_policy::ids::ZoneName;
use ploverlift_ratelimit::reports::{LevelReport, TenantLevel, TenantUse, UseReport};
use ploverlift_ratelimit::standing::{Basis, Standing};
use ploverlift_routing::rate_limit::TenantTag;
use serde_json::{json, Value};
use std::net::SocketAddr;
use std::sync::Arc;
use support::caller::{self, request, Request};
use support::engine::{Behaviour, StandInEngine};
use support::store::StandInStore;
use support::{configuration, settings, site, Fixture};

const TENANT: &str = "tenant-a";

fn limited(per_second: f64, burst: f64) -> Value {
    let mut configuration = configuration(1);
    configuration["limit"] = json!({"per_second": per_second, "burst": burst});
    configuration
}

fn request_of(host: &str, tokens: u64) -> Request {
    let mut request = request(host, "r");
    let headers = &mut request.head.headers;
    headers.set(site::TOKENS, tokens);
    request
}

/// Starts a node that reports its usage to others.
fn start_in_fleet(store: &StandInStore, name: &str) -> RunningGateway {
    let mut settings = settings(store, name, "");
    settings.listen.peers = Some(SocketAddr::from(([127, 0, 0, 1], 0)));
    start(settings, Arc::new(site::StandInSite), silent_logger()).expect("start")
}

fn standing(gateway: &Gateway) -> Standing {
    let now = gateway.clock.now();
    let membership = membership(gateway, now);
    let mut beliefs = gateway.beliefs();
    let limiter = &mut beliefs.limiter;
    let tenant = TenantTag::of(TENANT);
    let limit = limiter.limit(tenant).expect("the tenant has a limit");
    limiter.standing(tenant, 1, &limit, &membership, now)
}

async fn fixture(configuration: Value, engines: &[&StandInEngine]) -> Fixture {
    let fixture = Fixture::with(engines, configuration, "").await;
    // As far as the node knows it has just started for the first time: its bucket fills.
    while standing(&fixture.gateway).allowance.available < 1.0 {
        smol::future::yield_now().await;
    }
    fixture
}

#[test]
fn a_request_over_the_limit_is_refused_at_once_with_a_retry_time() {
    smol::block_on(async {
        let app = StandInEngine::start("app-1", "app", Behaviour::Answer).await;
        let fixture = fixture(limited(1_000.0, 1_000.0), &[&app]).await;
        let large = request_of("safe.test", 60_000);
        assert_eq!(fixture.send(&large).await.status(), 200);
        // The tenant is now 60 s over its limit.
        let refused = fixture.send(&request_of("safe.test", 500)).await;
        assert_eq!(refused.status(), 429);
        let headers = &refused.head.headers;
        let wait_ms = headers.get("retry-after-ms").expect("a retry time");
        let wait_ms: u64 = wait_ms.parse().expect("a number");
        assert!((55_000..=60_000).contains(&wait_ms), "{wait_ms}");
        // The connection of the caller stays open: another node would give the same answer.
        assert_ne!(headers.get("connection"), Some("close"));
        assert_eq!(app.heads().len(), 1);
        let page = fixture.gateway.metrics.page();
        let decided = "decision=\"over_limit\"";
        assert!(page.contains(decided), "{page}");
    });
}

#[test]
fn a_tenant_without_a_limit_is_not_counted() {
    smol::block_on(async {
        let app = StandInEngine::start("app-1", "app", Behaviour::Answer).await;
        let fixture = Fixture::new(&[&app]).await;
        for _ in 0..3 {
            let large = request_of("safe.test", 1 << 40);
            assert_eq!(fixture.send(&large).await.status(), 200);
        }
    });
}

#[test]
fn a_request_that_no_engine_ran_is_refunded() {
    smol::block_on(async {
        let busy = StandInEngine::start("app-1", "app", Behaviour::Refuse).await;
        let fixture = fixture(limited(1.0, 1.0), &[&busy]).await;
        let before = standing(&fixture.gateway).allowance.available;
        let large = request_of("safe.test", 60_000);
        assert_eq!(fixture.send(&large).await.status(), 503);
        let after = standing(&fixture.gateway).allowance.available;
        assert!(after >= before, "{before} to {after}");
    });
}

#[test]
fn each_engine_that_may_have_run_a_request_is_charged() {
    smol::block_on(async {
        let broken = StandInEngine::start("app-1", "app", Behaviour::Reset).await;
        let other = StandInEngine::start("app-2", "app", Behaviour::Reset).await;
        let fixture = fixture(limited(1.0, 1.0), &[&broken, &other]).await;
        let large = request_of("safe.test", 60_000);
        fixture.send(&large).await;
        let seen = broken.heads().len() + other.heads().len();
        let owed = -standing(&fixture.gateway).allowance.available;
        let expected = 60_000.0 * seen as f64;
        assert!((owed - expected).abs() < 20.0, "{owed} of {expected}");
    });
}

/// An attempt that was lost on a kept-alive connection is charged, though the engine
/// refused the next one.
#[test]
fn a_request_that_may_have_run_on_a_kept_connection_is_not_refunded() {
    smol::block_on(async {
        let app = StandInEngine::start("app-1", "app", Behaviour::KeepConnection).await;
        let fixture = fixture(limited(1.0, 1.0), &[&app]).await;
        assert_eq!(
            fixture.send(&request_of("safe.test", 1)).await.status(),
            200
        );
        app.set(Behaviour::CloseKeptThenRefuse);
        while standing(&fixture.gateway).allowance.available < 1.0 {
            smol::future::yield_now().await;
        }
        fixture.send(&request_of("safe.test", 60_000)).await;
        assert_eq!(app.arrivals(), 3);
        let owed = -standing(&fixture.gateway).allowance.available;
        assert!((owed - 60_000.0).abs() < 20.0, "{owed}");
    });
}

fn use_report(sender: u64, sequence: u64, admitted: u64) -> UseReport {
    UseReport {
        sender: PeerId(sender),
        life: 1,
        sequence,
        nodes: 1,
        uses: vec![TenantUse {
            tenant: TenantTag::of(TENANT),
            admitted,
            asked: admitted,
        }],
    }
}

#[test]
fn admissions_of_another_node_are_charged_to_the_same_bucket() {
    smol::block_on(async {
        let app = StandInEngine::start("app-1", "app", Behaviour::Answer).await;
        let fixture = fixture(limited(1_000.0, 1_000.0), &[&app]).await;
        let gateway = &fixture.gateway;
        for (sequence, admitted) in [(1, 500), (3, 60_500), (2, 400)] {
            let report = use_report(9, sequence, admitted);
            let zone_sum = None;
            handle_use_report(gateway, &UseMessage { report, zone_sum });
        }
        assert!(standing(gateway).allowance.available < -50_000.0);
        let refused = fixture.send(&request_of("safe.test", 1)).await;
        assert_eq!(refused.status(), 429);
    });
}

// Guards against use in tokens that counts against a limit in requests once the unit changes.
#[test]
fn use_in_a_former_unit_does_not_count_against_a_limit_in_another_one() {
    smol::block_on(async {
        let app = StandInEngine::start("app-1", "app", Behaviour::Answer).await;
        let fixture = fixture(limited(1_000.0, 1_000.0), &[&app]).await;
        let large = request_of("safe.test", 60_000);
        assert_eq!(fixture.send(&large).await.status(), 200);
        let mut in_requests = limited(100.0, 100.0);
        in_requests["version"] = json!(2);
        in_requests["limit"]["unit"] = json!("requests");
        fixture.store.put("Configuration", "main", in_requests);
        while fixture.gateway.beliefs().configuration_version() != Some(2) {
            smol::future::yield_now().await;
        }
        // Another node still reports what it had admitted under the former unit.
        let report = use_report(9, 1, 50_000);
        let zone_sum = None;
        handle_use_report(&fixture.gateway, &UseMessage { report, zone_sum });
        assert_eq!(fixture.send(&large).await.status(), 200);
    });
}

#[test]
fn two_nodes_share_one_limit() {
    smol::block_on(async {
        let store = StandInStore::start().await;
        let app = StandInEngine::start("app-1", "app", Behaviour::Answer).await;
        store.put("Configuration", "main", limited(1_000.0, 1_000.0));
        store.put("Engines", "app-1", app.record());
        let nodes: Vec<RunningGateway> = ["first", "second"]
            .iter()
            .map(|name| start_in_fleet(&store, name))
            .collect();
        for node in &nodes {
            while caller::get_status(node.readiness).await != 200 {}
            while node.gateway.beliefs().peer_loads.peer_count() == 0 {
                smol::future::yield_now().await;
            }
            while standing(&node.gateway).allowance.available < 1.0 {
                smol::future::yield_now().await;
            }
        }
        // Requests over the usage of the first node are refused by the second once that
        // usage is reported. On a busy machine a node may be suspended, and its accounts
        // then start again: the first node is therefore charged until the second has
        // received its report.
        let tenant = TenantTag::of(TENANT);
        let small = request_of("safe.test", 1);
        loop {
            let first = &nodes[0].gateway;
            let now = first.clock.now();
            first.beliefs().limiter.charge(tenant, 90_000, now);
            let answer = caller::send(nodes[1].callers, &small).await;
            if answer.status() == 429 {
                break;
            }
        }
    });
}

#[test]
fn a_single_node_keeps_its_accounts_through_a_pause() {
    smol::block_on(async {
        let app = StandInEngine::start("app-1", "app", Behaviour::Answer).await;
        let fixture = fixture(limited(1.0, 1.0), &[&app]).await;
        let large = request_of("safe.test", 60_000);
        assert_eq!(fixture.send(&large).await.status(), 200);
        let gateway = &fixture.gateway;
        let paused_at = gateway.clock.now();
        while gateway.clock.now().since(paused_at) < 700 {
            smol::future::yield_now().await;
        }
        assert!(standing(gateway).allowance.available < -50_000.0);
    });
}

/// Applies a list of a fleet in which this node follows the relays with ports 9 and 8.
fn make_follower(gateway: &Gateway) {
    let listed = |port: u16, cpu_thousandths| ListedNode {
        tunnels: None,
        id: PeerId(u64::from(port)),
        address: SocketAddr::from(([127, 0, 0, 1], port)),
        zone: ZoneTag::of(&ZoneName::from("z")),
        capacity: Capacity {
            cpu_thousandths,
            link_mbps: 1,
        },
    };
    let mut book = gateway.address_book();
    let mut own = listed(1, 0);
    own.id = PeerId::of(&gateway.settings().node.name);
    book.set_own(own);
    let nodes: Vec<ListedNode> = (2..=40)
        .map(|port| listed(port, u32::from(port <= 9) * u32::from(port)))
        .collect();
    let now = gateway.clock.now();
    (0..3).for_each(|_| book.apply_list(&nodes, now));
}

fn level_report(sequence: u64, level: i64, counted: u64) -> LevelReport {
    LevelReport {
        sender: PeerId(9),
        life: 1,
        sequence,
        nodes: 40,
        accounts_age_ms: 60_000,
        levels: vec![TenantLevel {
            tenant: TenantTag::of(TENANT),
            level,
            fleet_rate: 2_000,
            fleet_demand: 2_000,
            counted,
        }],
    }
}

#[test]
fn a_follower_admits_by_relayed_levels_and_its_own_use_since() {
    smol::block_on(async {
        let app = StandInEngine::start("app-1", "app", Behaviour::Answer).await;
        let store = StandInStore::start().await;
        store.put("Configuration", "main", limited(1_000.0, 1_000_000.0));
        store.put("Engines", "app-1", app.record());
        let node = start_in_fleet(&store, "node");
        while caller::get_status(node.readiness).await != 200 {}
        let gateway = &node.gateway;
        make_follower(gateway);
        assert_eq!(role(gateway, gateway.clock.now()), Role::Follower);
        // No report was received yet: this node must not use the whole limit.
        assert_eq!(standing(gateway).basis, Basis::OwnShare);
        handle_level_report(gateway, &level_report(1, 500_000, 0));
        let first = standing(gateway);
        assert_eq!(first.basis, Basis::Relays);
        let admitted = caller::send(node.callers, &request_of("safe.test", 400_000)).await;
        assert_eq!(admitted.status(), 200);
        // A report that does not include the request yet.
        handle_level_report(gateway, &level_report(2, 499_000, 0));
        let available = standing(gateway).allowance.available;
        assert!((90_000.0..110_000.0).contains(&available), "{available}");
        // A report that includes it.
        handle_level_report(gateway, &level_report(3, 99_000, 400_000));
        let available = standing(gateway).allowance.available;
        assert!((90_000.0..110_000.0).contains(&available), "{available}");
        // Half a second after its start the node reads the list of its fleet itself, which
        // replaces the one of this test.
        make_follower(gateway);
        handle_level_report(gateway, &level_report(4, -5_000, 400_000));
        let refused = caller::send(node.callers, &request_of("safe.test", 1)).await;
        assert_eq!(refused.status(), 429);
    });
}

#[test]
fn a_follower_without_a_live_relay_sends_callers_elsewhere() {
    smol::block_on(async {
        let app = StandInEngine::start("app-1", "app", Behaviour::Answer).await;
        let fixture = fixture(limited(1_000.0, 1_000.0), &[&app]).await;
        let gateway = &fixture.gateway;
        let mut settings = (*gateway.settings()).clone();
        settings.listen.peers = Some(SocketAddr::from(([127, 0, 0, 1], 1)));
        gateway.replace_settings(settings);
        make_follower(gateway);
        let refused = fixture.send(&request_of("safe.test", 500)).await;
        assert_eq!(refused.status(), 503);
        assert_eq!(refused.head.headers.get("connection"), Some("close"));
    });
}

#[test]
fn reports_of_use_and_of_levels_fit_one_datagram_and_survive_the_wire() {
    let uses = (0..MAX_TENANTS as u64).map(|tenant| TenantUse {
        tenant: TenantTag(u64::MAX - tenant),
        admitted: 1 << 34,
        asked: 1 << 34,
    });
    let report = UseReport {
        sender: PeerId(u64::MAX),
        life: u64::MAX >> 20,
        sequence: 1 << 40,
        nodes: 780,
        uses: uses.collect(),
    };
    let zone_sum = Some(ZoneTag(u32::MAX));
    let message = PeerMessage::Use(UseMessage { report, zone_sum });
    let datagram = encode(&message);
    assert!(datagram.len() <= 1_200, "{} bytes", datagram.len());
    assert_eq!(decode(&datagram).expect("a message"), Some(message));
    let mut report = level_report(1 << 40, 0, 0);
    report.levels = (0..MAX_TENANTS as u64)
        .map(|tenant| TenantLevel {
            tenant: TenantTag(u64::MAX - tenant),
            level: -(1 << 20),
            fleet_rate: 1 << 20,
            fleet_demand: 1 << 20,
            counted: 1 << 26,
        })
        .collect();
    let message = PeerMessage::Levels(report);
    let datagram = encode(&message);
    assert!(datagram.len() <= 1_200, "{} bytes", datagram.len());
    assert_eq!(decode(&datagram).expect("a message"), Some(message));
}
