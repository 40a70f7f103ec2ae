//! Which service a forwarded request belongs to, for whom, and on what terms.
//!
//! Pure: no I/O, no clock. The runtime is `ploverlift-gateway`.
//!
//! | module | question it answers |
//! | --- | --- |
//! | [`configuration`] | what did the operator configure? |
//! | [`table`] | which route does a host and path belong to? |
//! | [`split`] | which service of the route takes this request? |
//! | [`tenants`] | whose key is this? |
//! | [`prompt`] | which parts does the prompt have, and which may be shared? |
//! | [`freshness`] | may the configuration still be relied on? |
//! | [`rate_limit`] | what may a tenant use? |
//! | [`software`] | which versions of an engine's software may serve? |
//! | [`topology`] | how far apart are two places? |

pub mod configuration;
pub mod freshness;
pub mod prompt;
pub mod rate_limit;
pub mod software;
pub mod split;
pub mod table;
pub mod tenants;
pub mod topology;
