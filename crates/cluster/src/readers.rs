//! Selection of the nodes that read the object API: a few in each region, by
//! rendezvous rank over the live members, so that the platform serves few
//! readers in every state. During a network partition, each side selects its
//! own readers.

use crate::membership::Membership;
use crate::node_key::{rendezvous_top, NodeKey};
use ploverlift_policy::ids::Millis;

/// Number of readers in a region whose members are all connected.
pub const READERS_PER_REGION: usize = 2;
/// Time for which a node with seeds waits to join before it reads by itself, in
/// milliseconds.
pub const JOIN_GRACE_MS: u64 = 1_500;
/// Item of the rendezvous hash that selects readers.
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
