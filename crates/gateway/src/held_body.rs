//! A body in memory, with its reservation from the budget of bytes.

use ploverlift_bytebudget::share::{Held, NoRoom, Share};
use std::sync::Arc;

/// Bytes of a body that are in memory. They count as held until it is dropped.
#[derive(Debug)]
pub struct HeldBody {
    bytes: Vec<u8>,
    held: Held,
}

impl HeldBody {
    /// An empty body that will be held from a share.
    pub fn empty(share: &Arc<Share>) -> Self {
        Self {
            bytes: Vec::new(),
            held: share.hold_none(),
        }
    }

    /// An empty body of this length at most, in bytes, once there is room for it.
    ///
    /// # Errors
    /// When there is no room, as [`Share::reserve`] tells.
    pub async fn reserve(share: &Arc<Share>, length: usize) -> Result<Self, NoRoom> {
        let held = share.reserve(length as u64).await?;
        Ok(Self {
            bytes: Vec::with_capacity(length),
            held,
        })
    }

    /// The bytes.
    pub fn bytes(&self) -> &[u8] {
        &self.bytes
    }

    /// The bytes, which no longer count as held.
    pub fn into_bytes(self) -> Vec<u8> {
        self.bytes
    }

    /// The buffer, to append to; [`Self::hold_buffer`] has to follow.
    pub fn buffer(&mut self) -> &mut Vec<u8> {
        &mut self.bytes
    }

    /// Reserves what the buffer has grown by.
    ///
    /// # Errors
    /// When there is no room for it.
    pub fn hold_buffer(&mut self) -> Result<(), NoRoom> {
        self.held.try_grow_to(self.bytes.capacity() as u64)
    }
}
