//! Finds the route of a request by its host and path prefix.

use crate::configuration::Route;
use std::collections::HashMap;
use std::sync::Arc;

/// Routes by host, each list sorted by path prefix, longest first.
#[derive(Clone, Debug, Default)]
pub struct RouteTable {
    by_host: HashMap<String, Vec<Arc<Route>>>,
}

impl RouteTable {
    /// Creates a table of the given routes.
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
            // The sort is stable: of two prefixes of equal length the first one stays first.
            routes.sort_by_key(|route| std::cmp::Reverse(route.path_prefix.len()));
        }
        Self { by_host }
    }

    /// The route of the host with the longest prefix of the path. A port in `host` is
    /// ignored.
    pub fn find(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let name = host.split(':').next().unwrap_or_default();
        let routes = self.by_host.get(&name.to_ascii_lowercase())?;
        routes
            .iter()
            .find(|route| path.starts_with(&route.path_prefix))
    }
}
