//! Limits on the tunnels that a node carries for others: their number, the number of
//! requests for one that are being handled, and bytes per second.

use ploverlift_policy::ids::Millis;

/// Limits of one node.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TunnelLimits {
    /// Maximum number of open tunnels.
    pub max_open: usize,
    /// Maximum number of requests for a tunnel that are being handled.
    pub max_opening: usize,
    /// Maximum bytes per second over all tunnels, in both directions; `None` where the
    /// bandwidth of the node's link is not known.
    pub bytes_per_second: Option<f64>,
}

/// Time in which unused bytes accumulate, in milliseconds.
const BURST_MS: f64 = 250.0;

/// Use of the limits.
#[derive(Clone, Debug)]
pub struct TunnelUse {
    limits: TunnelLimits,
    open: usize,
    opening: usize,
    /// Bytes that may be passed on now; negative while tunnels wait.
    allowance_bytes: f64,
    updated: Millis,
}

impl TunnelUse {
    /// No tunnel is open.
    pub fn new(limits: TunnelLimits) -> Self {
        Self {
            limits,
            open: 0,
            opening: 0,
            allowance_bytes: limits.bytes_per_second.unwrap_or(0.0) * BURST_MS / 1_000.0,
            updated: Millis(0),
        }
    }

    /// Begins to handle a request for a tunnel; false when the limits are reached.
    pub fn begin_opening(&mut self) -> bool {
        let has_room = self.opening < self.limits.max_opening
            && self.open + self.opening < self.limits.max_open;
        if has_room {
            self.opening += 1;
        }
        has_room
    }

    /// The request was handled; `is_open` when there is a tunnel now.
    pub fn end_opening(&mut self, is_open: bool) {
        self.opening = self.opening.saturating_sub(1);
        self.open += usize::from(is_open);
    }

    /// A tunnel was closed.
    pub fn close(&mut self) {
        self.open = self.open.saturating_sub(1);
    }

    /// Number of open tunnels.
    pub fn open(&self) -> usize {
        self.open
    }

    /// Counts bytes that were passed on; returns the time until more may be read, in
    /// milliseconds.
    pub fn pass_bytes(&mut self, count: usize, now: Millis) -> u64 {
        let Some(bytes_per_second) = self.limits.bytes_per_second else {
            return 0;
        };
        let rate_per_ms = bytes_per_second / 1_000.0;
        let earned = now.since(self.updated) as f64 * rate_per_ms;
        let most = rate_per_ms * BURST_MS;
        self.allowance_bytes = (self.allowance_bytes + earned).min(most) - count as f64;
        self.updated = now;
        match self.allowance_bytes < 0.0 {
            true => (-self.allowance_bytes / rate_per_ms).ceil() as u64,
            false => 0,
        }
    }
}
