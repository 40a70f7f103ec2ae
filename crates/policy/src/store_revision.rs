//! Revisions of a store that may come back from a copy.

use crate::ids::StoreEra;

/// Bits of a packed revision that count within an era.
const NUMBER_BITS: u32 = 44;
/// The largest number within an era.
const MAX_NUMBER: u64 = (1 << NUMBER_BITS) - 1;
/// The latest era that a packed revision can tell from others.
const MAX_ERA: u64 = (1 << (64 - NUMBER_BITS)) - 1;

/// A revision of the store, ordered over its eras: after the store has come back from a
/// copy, it gives out numbers again, and each is later than all of the era before.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct StoreRevision {
    /// The era in which it was given out; 0 where the store has none.
    pub era: StoreEra,
    /// Its number in that era.
    pub number: u64,
}

impl StoreRevision {
    /// The same as one number, in the same order.
    pub fn packed(self) -> u64 {
        self.era.0.min(MAX_ERA) << NUMBER_BITS | self.number.min(MAX_NUMBER)
    }

    /// A number of an era, packed.
    pub fn pack(number: u64, era: StoreEra) -> u64 {
        Self { era, number }.packed()
    }

    /// The revision of [`StoreRevision::packed`].
    pub fn of_packed(packed: u64) -> Self {
        Self {
            era: StoreEra(packed >> NUMBER_BITS),
            number: packed & MAX_NUMBER,
        }
    }
}
