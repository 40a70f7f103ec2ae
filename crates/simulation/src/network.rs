//! The simulated network between zones.

use ploverlift_policy::ids::ZoneName;
use std::collections::BTreeSet;

/// Faults of the network, set by the schedule.
#[derive(Clone, Debug, Default)]
pub struct Network {
    /// Share of messages that are lost, from 0 to 1.
    pub loss: f64,
    /// Share of messages that arrive twice, from 0 to 1.
    pub duplication: f64,
    /// Upper limit of an additional random delay, in milliseconds.
    pub jitter_ms: u64,
    cuts: BTreeSet<(ZoneName, ZoneName)>,
}

/// One-way delay inside a zone, in milliseconds.
const INTRA_ZONE_DELAY_MS: u64 = 1;
/// One-way delay between zones, in milliseconds.
const INTER_ZONE_DELAY_MS: u64 = 2;

fn pair(a: &ZoneName, b: &ZoneName) -> (ZoneName, ZoneName) {
    if a <= b {
        (a.clone(), b.clone())
    } else {
        (b.clone(), a.clone())
    }
}

impl Network {
    /// Cuts two zones off from each other.
    pub fn cut(&mut self, a: &ZoneName, b: &ZoneName) {
        if a != b {
            self.cuts.insert(pair(a, b));
        }
    }

    /// Ends every fault.
    pub fn heal(&mut self) {
        *self = Self::default();
    }

    /// Ends every cut and leaves the other faults.
    pub fn heal_cuts(&mut self) {
        self.cuts.clear();
    }

    /// Whether two zones are not cut off from each other.
    pub fn connected(&self, a: &ZoneName, b: &ZoneName) -> bool {
        !self.cuts.contains(&pair(a, b))
    }

    /// Delay of one message, in milliseconds; random when there is jitter.
    pub fn delay(&self, a: &ZoneName, b: &ZoneName, random: &mut fastrand::Rng) -> u64 {
        let base = if a == b {
            INTRA_ZONE_DELAY_MS
        } else {
            INTER_ZONE_DELAY_MS
        };
        base + random.u64(..=self.jitter_ms)
    }

    /// Delays of the deliveries of one message, in milliseconds: none when it is
    /// lost, two when it is duplicated.
    pub fn deliveries(&self, a: &ZoneName, b: &ZoneName, random: &mut fastrand::Rng) -> Vec<u64> {
        if !self.connected(a, b) || random.f64() < self.loss {
            return Vec::new();
        }
        let mut delays = vec![self.delay(a, b, random)];
        if random.f64() < self.duplication {
            delays.push(self.delay(a, b, random) + INTER_ZONE_DELAY_MS);
        }
        delays
    }
}
