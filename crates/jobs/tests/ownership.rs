//! Property tests of the ownership state against a naive model, and tests of the assignment and
//! its balance.

mod common;

use std::collections::{BTreeMap, BTreeSet};

use common::{config, entry};
use jobs::{
    Claim, ClaimRecord, Member, MemberHealth, OwnershipError, OwnershipState, PartitionClaim,
    PositionedClaim, Release, plan_ownership,
};
use ports::Offset;
use proptest::prelude::*;
use rpc::{EntryIdentity, OwnedPartition};
use types::{Epoch, Partition, PartitionCount};

const COUNT: PartitionCount = PartitionCount(5);

#[derive(Clone, Debug)]
enum Step {
    Claim { entry: u8, partitions: Vec<(u16, u64)> },
    Release { entry: u8, partition: u16, epoch: u64 },
    Snapshot { lag: usize },
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        4 => (0..3u8, prop::collection::vec((0..7u16, 0..4u64), 1..4))
            .prop_map(|(entry, partitions)| Step::Claim { entry, partitions }),
        2 => (0..3u8, 0..6u16, 0..4u64)
            .prop_map(|(entry, partition, epoch)| Step::Release { entry, partition, epoch }),
        1 => (0..4usize).prop_map(|lag| Step::Snapshot { lag }),
    ]
}

/// Returns the records that the steps write; a snapshot may be older than the records before
/// it.
fn records(steps: &[Step]) -> Vec<PositionedClaim> {
    let mut states = vec![OwnershipState::new(COUNT)];
    let mut records = Vec::new();
    for (offset, step) in (0..).map(Offset).zip(steps) {
        let record = match step {
            Step::Claim { entry: n, partitions } => ClaimRecord::Claim(Claim {
                owner: entry(*n, 1),
                partitions: partitions
                    .iter()
                    .map(|(partition, epoch)| PartitionClaim {
                        partition: Partition(*partition),
                        replaces: Epoch(*epoch),
                    })
                    .collect(),
                claimed_ms: offset.0,
            }),
            Step::Release { entry: n, partition, epoch } => ClaimRecord::Release(Release {
                owner: entry(*n, 1),
                partitions: vec![OwnedPartition {
                    partition: Partition(*partition),
                    epoch: Epoch(*epoch),
                }],
            }),
            Step::Snapshot { lag } => {
                let at = states.len().saturating_sub(1 + lag);
                ClaimRecord::Snapshot(states[at].snapshot())
            }
        };
        let positioned = PositionedClaim { offset, record };
        let mut state = states.last().unwrap().clone();
        state.apply(&positioned);
        states.push(state);
        records.push(positioned);
    }
    records
}

/// Epoch, owner and whether it has released the partition, by partition number.
type Owners = BTreeMap<u16, (u64, EntryIdentity, bool)>;

fn naive_owners(records: &[PositionedClaim]) -> Owners {
    let mut owners = Owners::new();
    for positioned in records {
        match &positioned.record {
            ClaimRecord::Claim(claim) => {
                for part in claim.partitions.iter().filter(|part| part.partition.0 < COUNT.0) {
                    let epoch = owners.get(&part.partition.0).map_or(0, |owner| owner.0);
                    if epoch == part.replaces.0 {
                        owners.insert(part.partition.0, (epoch + 1, claim.owner.clone(), false));
                    }
                }
            }
            ClaimRecord::Release(release) => {
                for part in &release.partitions {
                    if let Some(owner) = owners.get_mut(&part.partition.0)
                        && owner.0 == part.epoch.0
                        && owner.1 == release.owner
                    {
                        owner.2 = true;
                    }
                }
            }
            ClaimRecord::Snapshot(_) => {}
        }
    }
    owners
}

fn owners_of(state: &OwnershipState) -> Owners {
    state
        .iter()
        .filter_map(|(partition, part)| {
            let tenure = part.current.as_ref()?;
            Some((partition.0, (tenure.epoch.0, tenure.owner.clone(), tenure.released)))
        })
        .collect()
}

fn members(healths: &[MemberHealth]) -> Vec<Member> {
    let member = |(n, health): (u8, &MemberHealth)| Member { entry: entry(n, 1), health: *health };
    (0..).zip(healths).map(member).collect()
}

/// Lets every serving or leaving entry apply its plan until nothing changes; returns the number
/// of claimed partitions.
fn settle(state: &mut OwnershipState, members: &[Member]) -> usize {
    let mut claimed = 0;
    loop {
        let mut changed = false;
        for member in members {
            if matches!(member.health, MemberHealth::Dead | MemberHealth::Unreachable) {
                continue;
            }
            let plan = plan_ownership(state, members, &member.entry);
            let owner = member.entry.clone();
            let records = [
                ClaimRecord::Release(Release { owner: owner.clone(), partitions: plan.release }),
                ClaimRecord::Claim(Claim { owner, partitions: plan.claim, claimed_ms: 0 }),
            ];
            for record in records {
                changed |= !matches!(&record, ClaimRecord::Release(r) if r.partitions.is_empty())
                    && !matches!(&record, ClaimRecord::Claim(c) if c.partitions.is_empty());
                let offset = state.next_offset();
                claimed += state.apply(&PositionedClaim { offset, record }).len();
            }
        }
        if !changed {
            return claimed;
        }
    }
}

proptest! {
    #![proptest_config(config(512))]

    #[test]
    fn ownership_equals_that_of_the_naive_model(steps in prop::collection::vec(step(), 0..40)) {
        let records = records(&steps);
        let state = OwnershipState::recover(COUNT, Offset(0), &records).unwrap();
        prop_assert_eq!(owners_of(&state), naive_owners(&records));
    }

    #[test]
    fn repeated_records_change_nothing(steps in prop::collection::vec(step(), 0..20)) {
        let records = records(&steps);
        let mut state = OwnershipState::recover(COUNT, Offset(0), &records).unwrap();
        let before = state.clone();
        records.iter().for_each(|record| { state.apply(record); });
        prop_assert_eq!(state, before);
    }

    #[test]
    fn truncated_history_recovers_from_a_snapshot(
        steps in prop::collection::vec(step(), 1..40),
        first_retained in 0..40usize,
    ) {
        let records = records(&steps);
        let first_retained = first_retained.min(records.len() - 1);
        let oldest = records[first_retained].offset;
        match OwnershipState::recover(COUNT, oldest, &records[first_retained..]) {
            Ok(state) => prop_assert_eq!(owners_of(&state), naive_owners(&records)),
            Err(e) => prop_assert_eq!(e, OwnershipError::NoSnapshot { oldest }),
        }
    }

    #[test]
    fn loads_differ_by_one_and_moves_are_fewest(
        count in 1..80u16,
        before in 1..5usize,
        health in prop::collection::vec(
            prop_oneof![
                Just(MemberHealth::Serving),
                Just(MemberHealth::Leaving),
                Just(MemberHealth::Dead),
            ],
            1..6,
        ),
    ) {
        let mut state = OwnershipState::new(PartitionCount(count));
        settle(&mut state, &members(&vec![MemberHealth::Serving; before]));
        let after = members(&health);
        let serving: Vec<_> =
            after.iter().filter(|member| member.health == MemberHealth::Serving).collect();
        prop_assume!(!serving.is_empty());
        let absent = state
            .iter()
            .filter(|(_, part)| part.owner().is_some_and(|owner| {
                after.iter().all(|member| member.entry != *owner)
            }))
            .count();
        let loads = |state: &OwnershipState| -> Vec<usize> {
            serving.iter().map(|member| state.owned_by(&member.entry).len()).collect()
        };
        let total = usize::from(count) - absent;
        let mut loads_before = loads(&state);
        loads_before.sort_unstable_by(|a, b| b.cmp(a));
        let fewest: usize = loads_before
            .iter()
            .enumerate()
            .map(|(rank, load)| {
                let share = total / serving.len() + usize::from(rank < total % serving.len());
                share.saturating_sub(*load)
            })
            .sum();
        prop_assert_eq!(settle(&mut state, &after), fewest);
        let after_loads = loads(&state);
        let spread = after_loads.iter().max().unwrap() - after_loads.iter().min().unwrap();
        prop_assert!(spread <= 1);
        prop_assert_eq!(after_loads.iter().sum::<usize>(), total);
    }
}

fn owned_by_first_of_two() -> OwnershipState {
    let mut state = OwnershipState::new(COUNT);
    settle(&mut state, &members(&[MemberHealth::Serving]));
    state
}

types::cases! {
    fn claims_of_second(health: MemberHealth, expected: usize) {
        let state = owned_by_first_of_two();
        let members = members(&[health, MemberHealth::Serving]);
        assert_eq!(plan_ownership(&state, &members, &entry(1, 1)).claim.len(), expected);
    }
    nothing_from_a_serving_owner: (MemberHealth::Serving, 0),
    nothing_from_a_leaving_owner_before_its_release: (MemberHealth::Leaving, 0),
    nothing_from_an_owner_that_others_can_reach: (MemberHealth::Unreachable, 0),
    everything_from_a_dead_owner: (MemberHealth::Dead, 5),
}

#[test]
fn restarted_owner_is_replaced_without_a_release() {
    let state = owned_by_first_of_two();
    let members = [Member { entry: entry(0, 2), health: MemberHealth::Serving }];
    assert_eq!(plan_ownership(&state, &members, &entry(0, 2)).claim.len(), 5);
}

#[test]
fn owner_that_is_not_listed_keeps_its_partitions() {
    let state = owned_by_first_of_two();
    let members = [Member { entry: entry(1, 1), health: MemberHealth::Serving }];
    assert_eq!(plan_ownership(&state, &members, &entry(1, 1)).claim, []);
}

#[test]
fn trim_removes_only_old_tenures() {
    let mut state = owned_by_first_of_two();
    let dead = members(&[MemberHealth::Dead, MemberHealth::Serving]);
    settle(&mut state, &dead);
    let owners: BTreeSet<_> = state.iter().map(|(_, part)| part.epoch()).collect();
    assert_eq!(state.previous_tenures(Partition(0)).len(), 1);
    state.trim(1);
    assert_eq!(state.previous_tenures(Partition(0)).len(), 0);
    assert_eq!(owners, BTreeSet::from([Epoch(2)]));
    assert_eq!(state.owned_by(&entry(1, 1)).len(), 5);
}
