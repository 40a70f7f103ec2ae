//! `ploverlift limits`: the engines that advertise a rate limit, and the rate of
//! requests granted to them.

use crate::arguments::LimitsArguments;
use crate::exit::Failure;
use crate::operator_client::{request, OperatorError};
use ploverlift_http1::Target;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;
use trillium::Method;

/// Beginnings of the lines of the metrics that are read.
const LIMIT: &str = "ploverlift_gateway_engine_limit{engine=\"";
const GRANTED: &str = "ploverlift_gateway_granted_requests_total{engine=\"";

/// Values by engine.
type ByEngine = BTreeMap<String, f64>;

/// Prints a line for each limited engine.
pub fn run(arguments: &LimitsArguments) -> Result<(), Failure> {
    let before = sample(&arguments.metrics)?;
    std::thread::sleep(Duration::from_secs(arguments.seconds));
    let after = sample(&arguments.metrics)?;
    println!("engine per_second granted_per_second");
    for (engine, limit) in &after.limits {
        let granted = |sample: &Sample| sample.granted.get(engine).copied().unwrap_or(0.0);
        let seconds = arguments.seconds.max(1) as f64;
        let used = (granted(&after) - granted(&before)).max(0.0) / seconds;
        println!("{engine} {limit} {used:.2}");
    }
    Ok(())
}

/// Metrics of all nodes together.
#[derive(Default)]
struct Sample {
    limits: ByEngine,
    granted: ByEngine,
}

fn sample(addresses: &[SocketAddr]) -> Result<Sample, OperatorError> {
    let mut sample = Sample::default();
    for address in addresses {
        let page = request(*address, Method::Get, &Target::literal("/metrics"), None)?;
        sample.limits.extend(values(&page, LIMIT));
        for (engine, granted) in values(&page, GRANTED) {
            *sample.granted.entry(engine).or_default() += granted;
        }
    }
    Ok(sample)
}

/// The lines of one metric: `NAME{engine="ID"} VALUE`.
fn values<'a>(page: &'a str, name: &'a str) -> impl Iterator<Item = (String, f64)> + 'a {
    let lines = page.lines().filter_map(move |line| line.strip_prefix(name));
    lines.filter_map(|rest| {
        let (engine, value) = rest.split_once("\"} ")?;
        Some((engine.to_owned(), value.trim().parse().ok()?))
    })
}
