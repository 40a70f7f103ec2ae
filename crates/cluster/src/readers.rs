//! Which nodes read the object API: a few in each region, by rank over the live
//! members, so that the platform bears few readers in every state. When cut
//! apart, each side has its own few.

use crate::membership::Membership;
use crate::node_key::{rendezvous_top, NodeKey};
use ploverlift_policy::ids::Millis;

/// Readers in a region, when its members see each other.
pub const READERS_PER_REGION: usize = 2;
/// A node with seeds waits this long to join before it reads by itself, in milliseconds.
pub const JOIN_GRACE_MS: u64 = 1_500;
/// Item of the rendezvous hash for readers.
const READER_DUTY: u64 = 0x7265_6164_6572;

/// Whether this node should read the object API now.
pub fn is_reader(members: &Membership, now: Millis) -> bool {
    if members.live_count() == 0 && members.has_seeds() && now.0 < JOIN_GRACE_MS {
        return false;
    }
    let region = &members.own().region;
    let live = members.live();
    let near = live.filter(|(_, member)| member.identity.region == *region);
    let keys = near.map(|(key, _)| key);
    let all: Vec<NodeKey> = keys.chain([members.own_key()]).collect();
    let readers = rendezvous_top(READER_DUTY, all.into_iter(), READERS_PER_REGION);
    readers.contains(&members.own_key())
}
