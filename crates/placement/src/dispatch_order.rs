use std::cmp::Reverse;

/// Returns the indices of a job's tasks in the order of dispatch, longest expected run time
/// first, so that the longest tasks get the fastest slots.  Tasks with equal run times keep
/// their order.
pub fn longest_first(expected_us: &[u64]) -> Vec<u32> {
    let mut order: Vec<u32> = (0..expected_us.len() as u32).collect();
    order.sort_by_key(|i| Reverse(expected_us[*i as usize]));
    order
}
