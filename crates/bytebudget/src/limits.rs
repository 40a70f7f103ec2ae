//! Sizes of the shares.

/// Bytes in a megabyte of a machine's memory.
const MEGABYTE: f64 = 1_048_576.0;
/// Part of the memory for bodies of requests.
const REQUEST_BODIES_PART: f64 = 0.3;
/// Part of the memory for engines' answers and events.
const ENGINE_ANSWERS_PART: f64 = 0.05;
/// Part of the memory for answers of the object store.
const STORE_ANSWERS_PART: f64 = 0.1;
/// Part of the memory for answers of engines and cache stores to calls other than requests.
const ENGINE_CALLS_PART: f64 = 0.1;
/// Part of a share that only small reservations may use.
const SMALL_PART: f64 = 0.125;

/// Size of one share.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ShareLimits {
    /// Bytes that may be held at once.
    pub bytes: u64,
    /// Part of these that only small reservations may use, in bytes.
    pub reserved_for_small: u64,
}

impl ShareLimits {
    /// A share of this size.
    pub fn of_bytes(bytes: u64) -> Self {
        Self {
            bytes,
            reserved_for_small: (bytes as f64 * SMALL_PART) as u64,
        }
    }

    /// Bytes that large reservations may hold, together with small ones.
    pub fn for_large(&self) -> u64 {
        self.bytes - self.reserved_for_small
    }
}

/// Sizes of all shares. Together they are little over half of the memory: the rest is for the state
/// of the process, its connections, and what the allocator can't return.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BudgetLimits {
    /// Bodies of callers' requests.
    pub request_bodies: ShareLimits,
    /// Engines' answers and events.
    pub engine_answers: ShareLimits,
    /// Answers of the object store.
    pub store_answers: ShareLimits,
    /// Answers of engines and cache stores to calls other than requests.
    pub engine_calls: ShareLimits,
}

impl BudgetLimits {
    /// Shares of a machine with this memory, in megabytes.
    pub fn for_memory_mb(memory_mb: f64) -> Self {
        let part = |part: f64| ShareLimits::of_bytes((memory_mb * MEGABYTE * part) as u64);
        Self {
            request_bodies: part(REQUEST_BODIES_PART),
            engine_answers: part(ENGINE_ANSWERS_PART),
            store_answers: part(STORE_ANSWERS_PART),
            engine_calls: part(ENGINE_CALLS_PART),
        }
    }
}
