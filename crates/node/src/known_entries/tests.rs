use std::net::SocketAddr;

use super::KnownEntries;

/// Guards against an agent that says that it knows the claims of entries that have not connected to it yet, and
/// against one that never says so because of an entry that is gone.
#[test]
fn an_entry_is_awaited_until_it_connects_or_is_gone() {
    let addr = |port| SocketAddr::from(([127, 0, 0, 1], port));
    let known = KnownEntries::default();
    assert!(!known.has_unconnected());
    known.add_all(&[addr(1), addr(2)]);
    known.set_connected(addr(1), true);
    assert!(known.has_unconnected(), "the other one has not connected");
    known.set_absent(addr(2));
    assert!(!known.has_unconnected());
    known.set_connected(addr(1), false);
    assert!(!known.has_unconnected(), "the agent knows its claims");
    known.add(addr(3));
    assert!(known.has_unconnected(), "an address learned later counts too");
    known.remove(addr(3));
    assert!(!known.has_unconnected());
}
