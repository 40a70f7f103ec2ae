//! Routing of forwarded requests: route and service, tenant, limits and cache scope.
//!
//! This crate does no I/O and reads no clock. The runtime is `ploverlift-gateway`.
//!
//! | module | purpose |
//! | --- | --- |
//! | [`configuration`] | the operator's configuration |
//! | [`table`] | route lookup by host and path |
//! | [`split`] | choice of a route's service for a request |
//! | [`tenants`] | tenant lookup by API key |
//! | [`prompt`] | the parts of a prompt, and which of them may share cache |
//! | [`freshness`] | whether the configuration is recent enough to accept keys |
//! | [`rate_limit`] | rate limits of tenants |
//! | [`software`] | which versions of an engine's software may serve a request |
//! | [`topology`] | zones, regions and the distance between them |

pub mod configuration;
pub mod freshness;
pub mod prompt;
pub mod rate_limit;
pub mod software;
pub mod split;
pub mod table;
pub mod tenants;
pub mod topology;
