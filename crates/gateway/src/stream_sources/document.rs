//! The stored form of the register of stream sources.

use ploverlift_policy::ids::StoreEra;
use ploverlift_routing::configuration::ServiceName;
use ploverlift_routing::software::SoftwareVersion;
use ploverlift_streamorigin::sources::{Generation, RouteKey, SourceLink, SourceRegister};
use serde::{Deserialize, Serialize};
use serde_json::{json, Value};
use std::collections::BTreeMap;

/// Mark of a link that is not to be removed.
const UNMARKED: u64 = 0;

/// The register as it is stored. Marks are the numbers of the writes that set them.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
struct SourcesDocument {
    era: u64,
    generation: u64,
    #[serde(default)]
    incomplete_since: Option<u64>,
    /// Marks by service and route.
    targets: BTreeMap<String, BTreeMap<String, u64>>,
    /// Marks by service and software version.
    software: BTreeMap<String, BTreeMap<String, u64>>,
}

/// The content of the store object for a register.
pub fn to_content(register: &SourceRegister) -> Value {
    let mut document = SourcesDocument {
        era: register.era.0,
        generation: register.generation.0,
        incomplete_since: register.incomplete_since.map(|mark| mark.0),
        ..SourcesDocument::default()
    };
    for (link, mark) in &register.links {
        let (part, service, name) = match link {
            SourceLink::Target(route, service) => {
                (&mut document.targets, service, route_text(*route))
            }
            SourceLink::Software(service, software) => {
                (&mut document.software, service, software.0.clone())
            }
        };
        let marks = part.entry(service.0.clone()).or_default();
        marks.insert(name, mark.map_or(UNMARKED, |mark| mark.0));
    }
    json!(document)
}

/// Reads the content of the store object; `None` if it is malformed.
pub fn read(content: &Value) -> Option<SourceRegister> {
    let document = SourcesDocument::deserialize(content).ok()?;
    let mark = |mark: u64| (mark != UNMARKED).then_some(Generation(mark));
    let mut links = BTreeMap::new();
    for (service, routes) in document.targets {
        for (route, marked) in routes {
            let service = ServiceName(service.clone());
            links.insert(
                SourceLink::Target(read_route(&route)?, service),
                mark(marked),
            );
        }
    }
    for (service, versions) in document.software {
        for (software, marked) in versions {
            let service = ServiceName(service.clone());
            let link = SourceLink::Software(service, SoftwareVersion(software));
            links.insert(link, mark(marked));
        }
    }
    Some(SourceRegister {
        era: StoreEra(document.era),
        generation: Generation(document.generation),
        incomplete_since: document.incomplete_since.map(Generation),
        links,
    })
}

fn route_text(route: RouteKey) -> String {
    format!("{}-{:016x}", route.prefix_bytes, route.hash)
}

fn read_route(text: &str) -> Option<RouteKey> {
    let (prefix_bytes, hash) = text.split_once('-')?;
    Some(RouteKey {
        prefix_bytes: prefix_bytes.parse().ok()?,
        hash: u64::from_str_radix(hash, 16).ok()?,
    })
}
