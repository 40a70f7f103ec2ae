//! Revisions of a store that may be restored from a copy.

use crate::ids::StoreEra;

/// Bits of a packed revision that hold the number within an era.
const NUMBER_BITS: u32 = 44;
/// The largest number within an era that a packed revision can hold.
const MAX_NUMBER: u64 = (1 << NUMBER_BITS) - 1;
/// The latest era that a packed revision can represent; later ones are packed as this one.
const MAX_ERA: u64 = (1 << (64 - NUMBER_BITS)) - 1;

/// A revision of the store, ordered across eras. After a restoration from a copy the store
/// assigns numbers again; each of them is later than all revisions of the previous era.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct StoreRevision {
    /// The era in which it was assigned; 0 if the store reports none.
    pub era: StoreEra,
    /// Its number in that era.
    pub number: u64,
}

impl StoreRevision {
    /// Packs the revision into one integer that has the same order.
    pub fn packed(self) -> u64 {
        self.era.0.min(MAX_ERA) << NUMBER_BITS | self.number.min(MAX_NUMBER)
    }

    /// Packs a number of an era.
    pub fn pack(number: u64, era: StoreEra) -> u64 {
        Self { era, number }.packed()
    }

    /// The reverse of [`StoreRevision::packed`].
    pub fn of_packed(packed: u64) -> Self {
        Self {
            era: StoreEra(packed >> NUMBER_BITS),
            number: packed & MAX_NUMBER,
        }
    }
}
