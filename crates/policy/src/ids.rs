//! Newtypes for identifiers and units, so that two of them cannot be mixed up.

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
    /// A node of the router, by its configured name. Stable over restarts.
    NodeName
);
name_type!(
    /// An engine or plain back end, by its name in the machine list.
    EngineName
);
name_type!(
    /// A tenant, by its object name.
    TenantName
);
name_type!(
    /// A failure domain: nodes of one zone can be cut off from other zones.
    ZoneName
);
name_type!(
    /// The identifier of one caller's request (`x-request-id`).
    RequestId
);
name_type!(
    /// Prompts share cached blocks only inside one scope (by default, one tenant).
    CacheScope
);

number_type!(
    /// Counts the lives of a process: a restart has a higher one.
    Incarnation
);
number_type!(
    /// The version of a model's weights that an engine serves.
    WeightsVersion
);
number_type!(
    /// A version given by the object API. Only rises.
    ResourceVersion
);
number_type!(
    /// How often a store has come back from a copy that lacks its last writes. Revisions
    /// of an earlier era are given out again in a later one.
    StoreEra
);
number_type!(
    /// The hash of one prompt block chained to all blocks before it.
    BlockHash
);
number_type!(
    /// A point in time, in milliseconds since an arbitrary start.
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

    /// The point `milliseconds` before this one, or the first point of all.
    pub fn before(self, milliseconds: u64) -> Millis {
        Millis(self.0.saturating_sub(milliseconds))
    }
}
