//! Tests of the choice of peers: bounded links, every entry reached, few moves under churn.

use std::{
    collections::{HashMap, HashSet, VecDeque},
    net::{Ipv4Addr, SocketAddr},
};

use direct::choose_peers;

fn entries(n: u8) -> Vec<SocketAddr> {
    (0..n).map(|i| SocketAddr::from((Ipv4Addr::new(10, i % 5, 0, i), 7_720))).collect()
}

fn links(entries: &[SocketAddr]) -> HashMap<SocketAddr, Vec<SocketAddr>> {
    entries.iter().map(|own| (*own, choose_peers(*own, entries))).collect()
}

/// Returns the largest number of links between two entries, over links in both directions; `None`
/// if some entry is not reached.
fn diameter(links: &HashMap<SocketAddr, Vec<SocketAddr>>) -> Option<usize> {
    let mut both: HashMap<SocketAddr, HashSet<SocketAddr>> = HashMap::new();
    for (own, peers) in links {
        for peer in peers {
            both.entry(*own).or_default().insert(*peer);
            both.entry(*peer).or_default().insert(*own);
        }
    }
    let mut longest = 0;
    for start in links.keys() {
        let mut distances = HashMap::from([(*start, 0)]);
        let mut queue = VecDeque::from([*start]);
        while let Some(at) = queue.pop_front() {
            for next in both.get(&at).into_iter().flatten() {
                if !distances.contains_key(next) {
                    distances.insert(*next, distances[&at] + 1);
                    queue.push_back(*next);
                }
            }
        }
        if distances.len() < links.len() {
            return None;
        }
        longest = distances.values().copied().fold(longest, usize::max);
    }
    Some(longest)
}

types::cases! {
    fn every_entry_is_reached_over_few_links(entries_n: u8, most_peers: usize, most_hops: usize) {
        let links = links(&entries(entries_n));
        assert!(links.values().all(|peers| peers.len() <= most_peers));
        let hops = diameter(&links);
        assert!(hops.is_some_and(|hops| hops <= most_hops), "{hops:?}");
    }
    two: (2, 1, 1),
    three: (3, 2, 1),
    thirty_five: (35, 6, 3),
    two_hundred: (200, 8, 4),
}

#[test]
fn an_entry_alone_has_no_peers() {
    let all = entries(1);
    assert_eq!(choose_peers(all[0], &all), []);
    assert_eq!(choose_peers(all[0], &[]), []);
}

#[test]
fn the_order_in_which_entries_were_learned_does_not_matter() {
    let mut all = entries(40);
    let before = choose_peers(all[7], &all);
    let own = all[7];
    all.reverse();
    all.extend(entries(5));
    assert_eq!(choose_peers(own, &all), before);
}

#[test]
fn the_loss_of_a_zone_leaves_the_rest_connected() {
    let all = entries(40);
    let lost = |addr: &SocketAddr| matches!(addr, SocketAddr::V4(v4) if v4.ip().octets()[1] == 3);
    let mut links = links(&all);
    links.retain(|own, _| !lost(own));
    links.values_mut().for_each(|peers| peers.retain(|peer| !lost(peer)));
    assert!(diameter(&links).is_some());
}

#[test]
fn an_entry_that_joins_moves_few_links() {
    let all = entries(40);
    let (before, after) = (links(&all[..39]), links(&all));
    let moved: usize = before
        .iter()
        .map(|(own, peers)| peers.iter().filter(|peer| !after[own].contains(peer)).count())
        .sum();
    // Each link that spans the place of the new entry shifts by one: of the links of length 2^k,
    // 2^k - 1 do so, and the new entry has 6 of its own.
    assert!(moved <= 63, "{moved} links moved");
}
