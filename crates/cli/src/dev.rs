//! `ploverlift dev`: a complete small site in one process, to try the system out.

use crate::arguments::DevArguments;
use crate::exit::Failure;
use ploverlift_lab::engine::EngineServer;
use ploverlift_lab::engine_state::EngineSettings;
use ploverlift_lab::platform::PlatformServer;
use ploverlift_node::assembly;
use ploverlift_node::logging::json_logger;
use ploverlift_node::settings::{LogLevel, Settings};
use ploverlift_policy::ids::ZoneName;
use ploverlift_policy::labels::{Labels, Selector};
use ploverlift_policy::objects::{
    Kind, MachineRole, MachineSpec, MachineState, Object, RouteMatch, RouteSpec, TenantSpec,
};
use ploverlift_policy::snapshot::hash_key;
use serde_json::json;
use std::net::SocketAddr;

const DEV_KEY: &str = "dev-key";
const DEV_MODEL: &str = "dev-model";
const DEV_ZONE: &str = "dev";
const ENGINES: [&str; 3] = ["dev-engine-1", "dev-engine-2", "dev-engine-3"];

/// Runs the site until the process is ended.
pub fn run(arguments: &DevArguments) -> Result<(), Failure> {
    let platform = PlatformServer::start(any_port(), 0)?;
    for object in [pool(), tenant(), route()] {
        platform.seed(object);
    }
    let mut engines = Vec::new();
    for name in ENGINES {
        let engine = EngineServer::start(any_port(), EngineSettings::named(name, DEV_MODEL))?;
        platform.seed(machine(name, engine.address()));
        engines.push(engine);
    }
    let mut settings = Settings::named("dev-node", DEV_ZONE);
    settings.listen.callers = arguments.listen;
    settings.listen.operators = arguments.admin;
    settings.listen.cluster = any_port();
    settings.platform.address = Some(platform.address());
    let log = json_logger("dev-node", DEV_ZONE, LogLevel::Warning);
    smol::block_on(async {
        let node = assembly::start(settings, log)?;
        print_help(node.callers_address(), node.operators_address());
        std::future::pending::<()>().await;
        Ok(())
    })
}

fn any_port() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

fn print_help(callers: SocketAddr, operators: SocketAddr) {
    println!("A small site is up: one node, three engines, one object API.");
    println!("Ask it something:\n");
    println!(
        "curl -N http://{callers}/v1/chat/completions -H 'authorization: Bearer {DEV_KEY}' \
         -H 'content-type: application/json' -d '{{\"model\":\"{DEV_MODEL}\",\"stream\":true,\
         \"messages\":[{{\"role\":\"user\",\"content\":\"hello\"}}]}}'\n"
    );
    println!("Look at it: ploverlift status --admin {operators}");
}

fn pool() -> Object {
    let spec = json!({"model": DEV_MODEL, "selector": {"matchLabels": {"pool": "dev"}}});
    Object::new(Kind::Pool, "dev", Labels::default(), spec)
}

fn tenant() -> Object {
    let spec = TenantSpec {
        key_hashes: vec![hash_key(DEV_KEY)],
        weight: 1,
        ..TenantSpec::default()
    };
    Object::new(Kind::Tenant, "dev", Labels::default(), spec)
}

fn route() -> Object {
    let spec = RouteSpec {
        r#match: RouteMatch::default(),
        pool: "dev".to_owned(),
        engine_selector: Selector::default(),
        precedence: 0,
        repeatable: true,
        deadline_ms: 30_000,
        priority: 0,
    };
    Object::new(Kind::Route, "dev", Labels::default(), spec)
}

fn machine(name: &str, address: SocketAddr) -> Object {
    let spec = MachineSpec {
        role: MachineRole::Engine,
        address: address.to_string(),
        zone: ZoneName::from(DEV_ZONE),
        state: MachineState::Live,
    };
    let labels = Labels::from_pairs([("pool", "dev")]);
    Object::new(Kind::Machine, name, labels, spec)
}
