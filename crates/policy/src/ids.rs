//! Newtypes for identifiers and units, so that they cannot be confused.

use serde::{Deserialize, Serialize};
use std::fmt;

macro_rules! name_type {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(transparent)]
        pub struct $name(pub String);

        impl $name {
            /// Borrows the text of the name.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl From<&str> for $name {
            fn from(text: &str) -> Self {
                Self(text.to_owned())
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
                formatter.write_str(&self.0)
            }
        }
    };
}

macro_rules! number_type {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(
            Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
        )]
        #[serde(transparent)]
        pub struct $name(pub u64);

        impl fmt::Display for $name {
            fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(formatter, "{}", self.0)
            }
        }
    };
}

name_type!(
    /// The configured name of a router node. Stable across restarts.
    NodeName
);
name_type!(
    /// The name of an engine or plain back end in the machine list.
    EngineName
);
name_type!(
    /// The object name of a tenant.
    TenantName
);
name_type!(
    /// A failure domain: the nodes of a zone can lose contact with other zones together.
    ZoneName
);
name_type!(
    /// The identifier of one caller's request (`x-request-id`).
    RequestId
);
name_type!(
    /// The scope within which prompts share cached blocks (by default, one tenant).
    CacheScope
);

number_type!(
    /// Identifies one run of a process; higher after each restart.
    Incarnation
);
number_type!(
    /// The version of a model's weights that an engine serves.
    WeightsVersion
);
number_type!(
    /// A version assigned by the object API. Never decreases.
    ResourceVersion
);
number_type!(
    /// How often a store was restored from a copy that lacks its last writes. A later era
    /// assigns revision numbers of an earlier one again.
    StoreEra
);
number_type!(
    /// The hash of one prompt block chained to all blocks before it.
    BlockHash
);
number_type!(
    /// A point in time, in milliseconds since an arbitrary origin.
    Millis
);

impl Millis {
    /// The time between `earlier` and this point; zero when `earlier` is later.
    pub fn since(self, earlier: Millis) -> u64 {
        self.0.saturating_sub(earlier.0)
    }

    /// The point `milliseconds` after this one.
    pub fn plus(self, milliseconds: u64) -> Millis {
        Millis(self.0.saturating_add(milliseconds))
    }

    /// The point `milliseconds` before this one, or the origin if that is later.
    pub fn before(self, milliseconds: u64) -> Millis {
        Millis(self.0.saturating_sub(milliseconds))
    }
}
