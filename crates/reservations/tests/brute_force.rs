//! Compares the granted slots and the displaced claims with an exhaustive search on a small grid of hours.
mod common;

use std::cmp::Reverse;

use common::{TestLog, hours};
use copperspread_reservations::{
    Allocation, ClaimId, ClaimState, CommandBody, Flexibility, HOUR, Interval, Reason,
};
use proptest::prelude::{ProptestConfig, Strategy, any, prop, prop_assert, prop_assert_eq, proptest};
use proptest::test_runner::RngSeed;

/// The number of hours in the grid. All intervals consist of whole hours.
const GRID_HOURS: usize = 6;
/// The earliest hour at which an occurrence must start to be displaceable under the notice of the test.
const FIRST_DISPLACEABLE_HOUR: usize = 2;

/// A number of slots for each hour of the grid.
type Grid = [u32; GRID_HOURS];

#[derive(Clone, Debug)]
struct TestClaim {
    slots: u32,
    first_hour: usize,
    hour_count: usize,
    precedence: u32,
    flexibility: Flexibility,
    is_confirmed: bool,
}

fn test_claim() -> impl Strategy<Value = TestClaim> {
    let flexibility = (prop::option::of(1..4_u32), any::<bool>());
    (1..5_u32, 0..GRID_HOURS, 1..4_usize, 0..4_u32, flexibility, prop::bool::weighted(0.8)).prop_map(
        |(slots, first_hour, hour_count, precedence, (min_slots, allows_split), is_confirmed)| TestClaim {
            slots,
            first_hour,
            hour_count: hour_count.min(GRID_HOURS - first_hour),
            precedence,
            flexibility: Flexibility { min_slots, allows_split },
            is_confirmed,
        },
    )
}

impl TestClaim {
    fn hour_range(&self) -> std::ops::Range<usize> {
        self.first_hour..self.first_hour + self.hour_count
    }

    fn interval(&self) -> Interval {
        hours(self.hour_range().start as i64, self.hour_range().end as i64)
    }

    /// All grants that the claim accepts, as slots for each of its hours.
    fn acceptable_grants(&self) -> Vec<Vec<u32>> {
        let min_slots = self.flexibility.min_slots.map_or(self.slots, |min_slots| min_slots.min(self.slots));
        if !self.flexibility.allows_split {
            return (min_slots..=self.slots).map(|slots| vec![slots; self.hour_count]).collect();
        }
        let mut grants: Vec<Vec<u32>> = vec![Vec::new()];
        for _ in 0..self.hour_count {
            let choices = || std::iter::once(0).chain(min_slots..=self.slots);
            let extend =
                |grant: &Vec<u32>| choices().map(|slots| [&grant[..], &[slots]].concat()).collect::<Vec<_>>();
            grants = grants.iter().flat_map(extend).collect();
        }
        grants.retain(|grant| grant.iter().any(|&slots| slots > 0));
        grants
    }
}

fn grid(allocations: &[Allocation]) -> Grid {
    std::array::from_fn(|hour| {
        let interval = hours(hour as i64, hour as i64 + 1);
        let overlapping = allocations.iter().filter(|allocation| allocation.interval.overlaps(interval));
        overlapping.map(|allocation| allocation.slots).sum()
    })
}

/// The best grant, with the indices of the other claims that are displaced for it.
struct BestGrant {
    slots: Vec<u32>,
    displaced: Vec<usize>,
}

/// Tries every set of displaced claims with every acceptable grant. The best has the most slots granted, then
/// the fewest slot-hours displaced, then the fewest claims displaced, then those that come last in rank.
fn best_grant(claim: &TestClaim, others: &[TestClaim], grids: &[Grid], capacity: u32) -> Option<BestGrant> {
    let is_displaceable = |index: usize| {
        let other = &others[index];
        other.precedence < claim.precedence
            && other.first_hour >= FIRST_DISPLACEABLE_HOUR
            && grids[index][claim.hour_range()].iter().any(|&slots| slots > 0)
    };
    // Claims of lower precedence are displaced first, then those that were ranked later.
    let mut order: Vec<usize> = (0..others.len()).filter(|&index| is_displaceable(index)).collect();
    order.sort_by_key(|&index| (others[index].precedence, Reverse(index)));
    let mut best = None;
    for set in 0..1_u32 << order.len() {
        let positions: Vec<usize> = (0..order.len()).filter(|position| set & 1 << position != 0).collect();
        let displaced: Vec<usize> = positions.iter().map(|&position| order[position]).collect();
        let cost: u32 = displaced.iter().map(|&index| grids[index].iter().sum::<u32>()).sum();
        let free = allocated_without(grids, &displaced).map(|slots| capacity - slots);
        for grant in claim.acceptable_grants() {
            if grant.iter().zip(&free[claim.hour_range()]).all(|(slots, free)| slots <= free) {
                let granted = grant.iter().sum::<u32>();
                let key = (Reverse(granted), cost, positions.len(), positions.clone());
                if best.as_ref().is_none_or(|(best_key, _)| key < *best_key) {
                    best = Some((key, BestGrant { slots: grant, displaced: displaced.clone() }));
                }
            }
        }
    }
    best.map(|(_, grant)| grant)
}

fn allocated_without(grids: &[Grid], displaced: &[usize]) -> Grid {
    std::array::from_fn(|hour| {
        let remaining = grids.iter().enumerate().filter(|(index, _)| !displaced.contains(index));
        remaining.map(|(_, grid)| grid[hour]).sum()
    })
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 600, rng_seed: RngSeed::Fixed(28), failure_persistence: None, ..ProptestConfig::default()
    })]

    #[test]
    fn granted_slots_and_displaced_claims_equal_those_of_an_exhaustive_search(
        others in prop::collection::vec(test_claim(), 1..7), claim in test_claim(), capacity in 3..7_u32,
    ) {
        let mut log = TestLog::new(FIRST_DISPLACEABLE_HOUR as i64 * HOUR, capacity);
        let mut ids = Vec::new();
        for other in &others {
            let id = log.propose(other.slots, other.interval(), other.precedence, other.flexibility);
            if other.is_confirmed {
                log.append(CommandBody::Confirm(id.clone()));
            }
            ids.push(id);
        }
        let grids = |log: &TestLog| -> Vec<Grid> {
            ids.iter().map(|id| grid(&log.calendar.allocations_of(id))).collect()
        };
        let before = grids(&log);
        prop_assert!(allocated_without(&before, &[]).iter().all(|&slots| slots <= capacity));
        let best = best_grant(&claim, &others, &before, capacity);

        let id = log.propose(claim.slots, claim.interval(), claim.precedence, claim.flexibility);
        let Some(best) = best else {
            // A request for more slots than the pool has creates no claim, unless it accepts fewer.
            let is_claim = claim.slots <= capacity || claim.flexibility.min_slots.is_some();
            prop_assert_eq!(log.calendar.state_of(&id), is_claim.then_some(ClaimState::Rejected));
            return Ok(());
        };
        let mut displaced: Vec<ClaimId> = best.displaced.iter().map(|&index| ids[index].clone()).collect();
        displaced.sort();
        if displaced.is_empty() {
            prop_assert_eq!(log.state_of(&id), ClaimState::Held);
        } else {
            prop_assert_eq!(log.last_reason(&id), Reason::RequiresDisplacement(displaced.clone()));
            log.append(CommandBody::Confirm(id.clone()));
        }
        let granted = grid(&log.calendar.allocations_of(&id));
        prop_assert_eq!(&granted[claim.hour_range()], &best.slots[..]);
        let after = grids(&log);
        for (index, id) in ids.iter().enumerate() {
            prop_assert_eq!(after[index] != before[index], displaced.contains(id), "{}", id);
        }
        for hour in 0..GRID_HOURS {
            prop_assert!(after.iter().map(|grid| grid[hour]).sum::<u32>() + granted[hour] <= capacity);
        }
    }
}
