//! A list of objects that is read page by page.
//!
//! The store chooses the pages, and another writer may have chosen the names in them. So a list
//! ends only where the store says so: a page that leads nowhere, or back, is an error and never
//! the end of a shorter list.

use crate::ports::StoreObject;
use snafu::Snafu;
use std::collections::HashSet;
use xxhash_rust::xxh3::xxh3_64;

/// Maximum number of objects in a list.
pub const MAX_LISTED_OBJECTS: usize = 65_536;

/// Why a list can't be read to its end.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
pub enum ListingError {
    /// More pages follow, and no object of this one has a position.
    #[snafu(display("a page has no position after which the list continues"))]
    NoPosition,
    /// A page ends where an earlier one has been.
    #[snafu(display("a page does not go beyond the one before it"))]
    NoProgress,
    /// The list has too many objects.
    #[snafu(display("the list has over {MAX_LISTED_OBJECTS} objects"))]
    TooLong,
}

/// What follows after a page.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Following {
    /// Another page.
    Page,
    /// Nothing: the list is complete.
    Nothing,
}

/// The pages read so far.
#[derive(Clone, Debug, Default)]
pub struct Listing {
    objects: Vec<StoreObject>,
    /// Hashes of all names and positions that were read, unless the first page is the last.
    passed: HashSet<u64>,
    rejected: usize,
    position: Option<String>,
}

impl Listing {
    /// The position after which the next page begins; `None` for the first one.
    pub fn position(&self) -> Option<&str> {
        self.position.as_deref()
    }

    /// Adds a page that ends at a position; more objects, which were rejected, stood on it.
    ///
    /// # Errors
    /// When the list goes on and can't be followed. The objects of a page that repeats an earlier
    /// one are not added.
    pub fn add_page(
        &mut self,
        objects: Vec<StoreObject>,
        rejected: usize,
        end: Option<String>,
        has_more: bool,
    ) -> Result<Following, ListingError> {
        if !has_more {
            self.objects.extend(objects);
            return Ok(Following::Nothing);
        }
        let end_hash = end.as_deref().map(hash);
        if end_hash.is_some_and(|end| self.passed.contains(&end)) {
            return Err(ListingError::NoProgress);
        }
        let names = objects.iter().map(|object| hash(&object.name));
        self.passed.extend(names.chain(end_hash));
        self.objects.extend(objects);
        self.rejected += rejected;
        if self.objects.len() + self.rejected > MAX_LISTED_OBJECTS {
            return Err(ListingError::TooLong);
        }
        self.position = Some(end.ok_or(ListingError::NoPosition)?);
        Ok(Following::Page)
    }

    /// Number of objects that were read, without those that were rejected.
    pub fn len(&self) -> usize {
        self.objects.len()
    }

    /// Whether no object was read.
    pub fn is_empty(&self) -> bool {
        self.objects.is_empty()
    }

    /// All objects that were read.
    pub fn into_objects(self) -> Vec<StoreObject> {
        self.objects
    }
}

fn hash(name: &str) -> u64 {
    xxh3_64(name.as_bytes())
}
