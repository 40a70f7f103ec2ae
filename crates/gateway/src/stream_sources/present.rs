//! The links that this node's configuration and engines contain.

use crate::beliefs::Beliefs;
use ploverlift_balancing::catalogue::EngineRecord;
use ploverlift_policy::ids::Millis;
use ploverlift_routing::configuration::{Configuration, Route, ServiceName};
use ploverlift_streamorigin::sources::{RouteKey, SourceLink};
use std::collections::BTreeSet;

/// Whether streams of a route may be taken up, as it is configured now.
pub fn is_resumable(route: &Route) -> bool {
    route.delivery.is_stream() && route.delivery.is_repeatable()
}

/// The links of all routes with streams: a later configuration may permit that those which have
/// begun by then are taken up.
fn target_links(document: &Configuration) -> BTreeSet<SourceLink> {
    let routes = document.routes.iter();
    let routes = routes.filter(|route| route.delivery.is_stream());
    let links = routes.flat_map(|route| {
        let key = RouteKey::new(&route.host, &route.path_prefix);
        let targets = route.targets_in_use();
        targets.map(move |target| SourceLink::Target(key, target.service.clone()))
    });
    links.collect()
}

/// The services to which routes with streams lead.
fn services(links: &BTreeSet<SourceLink>) -> BTreeSet<ServiceName> {
    let services = links.iter().filter_map(|link| match link {
        SourceLink::Target(_, service) => Some(service.clone()),
        SourceLink::Software(..) => None,
    });
    services.collect()
}

fn software_link(record: &EngineRecord) -> SourceLink {
    SourceLink::Software(record.service.clone(), record.software.clone())
}

impl Beliefs {
    /// Brings the present links up to date after a change of the configuration.
    pub(crate) fn note_routes_present(&mut self, now: Millis) {
        let Some(configuration) = &self.configuration else {
            return;
        };
        let mut links = target_links(&configuration.document);
        self.stream_services = services(&links);
        for service in &self.stream_services {
            let engines = self.engines.of_service(service);
            links.extend(engines.map(|engine| software_link(&engine.record)));
        }
        self.stream_sources.set_present(links, now);
    }

    /// Records that there is an engine with this record.
    pub(crate) fn note_engine_present(&mut self, record: &EngineRecord) {
        if self.stream_services.contains(&record.service) {
            self.stream_sources.note_present(software_link(record));
        }
    }

    /// Records that the engine with this record is gone.
    pub(crate) fn note_engine_gone(&mut self, record: &EngineRecord, now: Millis) {
        let mut others = self.engines.of_service(&record.service);
        if !others.any(|engine| engine.record.software == record.software) {
            let link = software_link(record);
            self.stream_sources.note_absent(&link, now);
        }
    }
}
