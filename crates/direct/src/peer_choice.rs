//! Which entries an entry connects to, to pass on configurations and addresses.
//!
//! Load pattern: tens of entries. If each exchanges messages with every other one, the traffic
//! grows with the square of their number and exceeds that of the jobs. Here an entry connects to a
//! number of others that grows with the logarithm: in the order of the hashes of the addresses, to
//! those 1, 2, 4, 8, ... places after its own. Every entry reaches every other one over as many
//! links as their distance has binary digits set, and neighbours in this order are in arbitrary
//! zones, so the loss of a zone leaves the rest connected.

use std::{
    hash::{DefaultHasher, Hash, Hasher},
    net::SocketAddr,
};

/// Returns the entries that the entry at `own` connects to, out of those that are known and not
/// unreachable. The result depends only on the set of addresses, not on their order.
pub fn choose_peers(own: SocketAddr, known: &[SocketAddr]) -> Vec<SocketAddr> {
    let mut ring: Vec<SocketAddr> = known.iter().copied().filter(|addr| *addr != own).collect();
    ring.push(own);
    ring.sort_unstable_by_key(|addr| (hash(*addr), *addr));
    ring.dedup();
    let Some(start) = ring.iter().position(|addr| *addr == own) else { return Vec::new() };
    let distances = std::iter::successors(Some(1_usize), |distance| distance.checked_mul(2));
    let distances = distances.take_while(|distance| *distance < ring.len());
    distances.map(|distance| ring[(start + distance) % ring.len()]).collect()
}

fn hash(addr: SocketAddr) -> u64 {
    let mut hasher = DefaultHasher::new();
    addr.hash(&mut hasher);
    hasher.finish()
}
