//! What is granted and whom it displaces, compared with a search of all possibilities on a small grid.
mod common;

use std::cmp::Reverse;

use common::{TestLog, hours};
use copperspread_reservations::{
    Allocation, ClaimId, ClaimState, CommandBody, Flexibility, HOUR, Interval, Reason,
};
use proptest::prelude::{ProptestConfig, Strategy, any, prop, prop_assert, prop_assert_eq, proptest};
use proptest::test_runner::RngSeed;

/// Hours of the grid; all intervals are of whole hours.
const CELLS: usize = 6;
/// With the notice of the test an occurrence that starts in an earlier cell is not displaced.
const FIRST_DISPLACEABLE_CELL: usize = 2;

/// Slots in each cell.
type Grid = [u32; CELLS];

#[derive(Clone, Debug)]
struct SmallClaim {
    slots: u32,
    first_cell: usize,
    cell_count: usize,
    precedence: u32,
    flexibility: Flexibility,
    is_confirmed: bool,
}

fn small_claim() -> impl Strategy<Value = SmallClaim> {
    let flexibility = (prop::option::of(1..4_u32), any::<bool>());
    (1..5_u32, 0..CELLS, 1..4_usize, 0..4_u32, flexibility, prop::bool::weighted(0.8)).prop_map(
        |(slots, first_cell, cell_count, precedence, (min_slots, allows_split), is_confirmed)| SmallClaim {
            slots,
            first_cell,
            cell_count: cell_count.min(CELLS - first_cell),
            precedence,
            flexibility: Flexibility { min_slots, allows_split },
            is_confirmed,
        },
    )
}

impl SmallClaim {
    fn cells(&self) -> std::ops::Range<usize> {
        self.first_cell..self.first_cell + self.cell_count
    }

    fn interval(&self) -> Interval {
        hours(self.cells().start as i64, self.cells().end as i64)
    }

    /// All grants that the claim accepts, in slots for each of its cells.
    fn acceptable_grants(&self) -> Vec<Vec<u32>> {
        let min_slots = self.flexibility.min_slots.map_or(self.slots, |min_slots| min_slots.min(self.slots));
        if !self.flexibility.allows_split {
            return (min_slots..=self.slots).map(|slots| vec![slots; self.cell_count]).collect();
        }
        let mut grants: Vec<Vec<u32>> = vec![Vec::new()];
        for _ in 0..self.cell_count {
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
    std::array::from_fn(|cell| {
        let interval = hours(cell as i64, cell as i64 + 1);
        let overlapping = allocations.iter().filter(|allocation| allocation.interval.overlaps(interval));
        overlapping.map(|allocation| allocation.slots).sum()
    })
}

/// The best grant and the others, by index, that are displaced for it.
struct BestGrant {
    slots: Vec<u32>,
    displaced: Vec<usize>,
}

/// Tries every set of others and every acceptable grant: the most slots granted, then the fewest slot-hours
/// displaced, then the fewest claims, then the last in rank.
fn best_grant(claim: &SmallClaim, others: &[SmallClaim], grids: &[Grid], capacity: u32) -> Option<BestGrant> {
    let is_displaceable = |index: usize| {
        let other = &others[index];
        other.precedence < claim.precedence
            && other.first_cell >= FIRST_DISPLACEABLE_CELL
            && grids[index][claim.cells()].iter().any(|&slots| slots > 0)
    };
    // Those that are displaced first have the lower precedence, then the later rank.
    let mut order: Vec<usize> = (0..others.len()).filter(|&index| is_displaceable(index)).collect();
    order.sort_by_key(|&index| (others[index].precedence, Reverse(index)));
    let mut best = None;
    for set in 0..1_u32 << order.len() {
        let positions: Vec<usize> = (0..order.len()).filter(|position| set & 1 << position != 0).collect();
        let displaced: Vec<usize> = positions.iter().map(|&position| order[position]).collect();
        let cost: u32 = displaced.iter().map(|&index| grids[index].iter().sum::<u32>()).sum();
        let free = allocated_without(grids, &displaced).map(|slots| capacity - slots);
        for grant in claim.acceptable_grants() {
            if grant.iter().zip(&free[claim.cells()]).all(|(slots, free)| slots <= free) {
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
    std::array::from_fn(|cell| {
        let remaining = grids.iter().enumerate().filter(|(index, _)| !displaced.contains(index));
        remaining.map(|(_, grid)| grid[cell]).sum()
    })
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 600, rng_seed: RngSeed::Fixed(28), failure_persistence: None, ..ProptestConfig::default()
    })]

    #[test]
    fn granted_slots_and_displaced_claims_equal_a_brute_force_search(
        others in prop::collection::vec(small_claim(), 1..7), claim in small_claim(), capacity in 3..7_u32,
    ) {
        let mut log = TestLog::new(FIRST_DISPLACEABLE_CELL as i64 * HOUR, capacity);
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
            // A request for more than the whole pool makes no claim.
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
        prop_assert_eq!(&granted[claim.cells()], &best.slots[..]);
        let after = grids(&log);
        for (index, id) in ids.iter().enumerate() {
            prop_assert_eq!(after[index] != before[index], displaced.contains(id), "{}", id);
        }
        for cell in 0..CELLS {
            prop_assert!(after.iter().map(|grid| grid[cell]).sum::<u32>() + granted[cell] <= capacity);
        }
    }
}
