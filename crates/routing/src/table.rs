//! Finding the route of a request by its host and the start of its path.

use crate::configuration::Route;
use std::collections::HashMap;
use std::sync::Arc;

/// Routes by host, the longest path prefix first.
#[derive(Clone, Debug, Default)]
pub struct RouteTable {
    by_host: HashMap<String, Vec<Arc<Route>>>,
}

impl RouteTable {
    /// A table of these routes.
    pub fn new(routes: &[Route]) -> Self {
        let mut by_host: HashMap<String, Vec<Arc<Route>>> = HashMap::new();
        for route in routes {
            let host = route.host.to_ascii_lowercase();
            by_host
                .entry(host)
                .or_default()
                .push(Arc::new(route.clone()));
        }
        for routes in by_host.values_mut() {
            // A stable sort: of two equal prefixes the first one stays first.
            routes.sort_by_key(|route| std::cmp::Reverse(route.path_prefix.len()));
        }
        Self { by_host }
    }

    /// The route whose prefix begins the path and is longest. A port in `host`
    /// does not count.
    pub fn find(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let name = host.split(':').next().unwrap_or_default();
        let routes = self.by_host.get(&name.to_ascii_lowercase())?;
        routes
            .iter()
            .find(|route| path.starts_with(&route.path_prefix))
    }
}
