//! Weighted max-min division by water-filling, with a minimum and a maximum for each claimant.
use crate::apportionment::apportion;

/// Participant in a division of shares: a federation in the division of the fleet, or a tenant in the
/// division of its federation's share.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Claimant {
    /// Weight of the claimant relative to the other claimants, from 1 to 10^18.
    pub(crate) weight: u64,
    /// Minimum part of the capacity that the claimant gets, at most `maximum`. The minimum is reduced only if
    /// the minimums of all claimants together exceed the capacity.
    pub(crate) minimum: u32,
    /// Maximum part of the capacity that the claimant gets, even if capacity remains.
    pub(crate) maximum: u32,
}

/// Level at which the part of a claimant starts or stops growing. The level is `part / weight`.
struct Breakpoint {
    /// Part of the capacity that the claimant has at this level, which is its minimum or its maximum.
    part: u32,
    weight: u64,
    is_maximum: bool,
    claimant: usize,
}

/// Divides the capacity by weighted max-min. Each claimant gets `weight * level`, bounded by its minimum and
/// maximum, where the level is the same for all claimants and such that the parts use the whole capacity. If
/// the minimums do not fit, they are reduced in proportion; if all maximums fit, each claimant gets its
/// maximum and the rest is not allocated.
pub(crate) fn water_fill(capacity: u32, claimants: &[Claimant]) -> Vec<u32> {
    let capacity = u64::from(capacity);
    let minimum_sum: u64 = claimants.iter().map(|claimant| u64::from(claimant.minimum)).sum();
    let maximum_sum: u64 = claimants.iter().map(|claimant| u64::from(claimant.maximum)).sum();
    if minimum_sum >= capacity {
        let minimums: Vec<u128> = claimants.iter().map(|claimant| claimant.minimum.into()).collect();
        return apportion(capacity, &minimums).into_iter().map(|part| part as u32).collect();
    }
    if maximum_sum <= capacity {
        return claimants.iter().map(|claimant| claimant.maximum).collect();
    }
    raise_level(capacity, minimum_sum, claimants)
}

/// Raises the level from breakpoint to breakpoint, as long as the capacity is not used up. Claimants whose
/// parts do not grow at the last level get their minimum or maximum. The capacity that remains is divided, in
/// proportion to weight, over the claimants whose parts still grow.
fn raise_level(capacity: u64, minimum_sum: u64, claimants: &[Claimant]) -> Vec<u32> {
    let mut fixed_sum = minimum_sum;
    let mut growing_weight = 0_u128;
    let mut is_growing = vec![false; claimants.len()];
    let mut parts: Vec<u32> = claimants.iter().map(|claimant| claimant.minimum).collect();
    for breakpoint in sorted_breakpoints(claimants) {
        let weight = u128::from(breakpoint.weight);
        let needed = u128::from(fixed_sum) * weight + growing_weight * u128::from(breakpoint.part);
        if needed >= u128::from(capacity) * weight {
            break;
        }
        is_growing[breakpoint.claimant] = !breakpoint.is_maximum;
        if breakpoint.is_maximum {
            fixed_sum += u64::from(breakpoint.part);
            growing_weight -= weight;
            parts[breakpoint.claimant] = breakpoint.part;
        } else {
            fixed_sum -= u64::from(breakpoint.part);
            growing_weight += weight;
        }
    }
    let growing: Vec<usize> = (0..claimants.len()).filter(|&index| is_growing[index]).collect();
    let weights: Vec<u128> = growing.iter().map(|&index| claimants[index].weight.into()).collect();
    for (index, part) in growing.into_iter().zip(apportion(capacity - fixed_sum, &weights)) {
        parts[index] = part as u32;
    }
    parts
}

/// Returns both breakpoints of each claimant, sorted by level. At equal levels those at which a part starts
/// to grow come first.
fn sorted_breakpoints(claimants: &[Claimant]) -> Vec<Breakpoint> {
    let mut breakpoints = Vec::with_capacity(2 * claimants.len());
    for (index, claimant) in claimants.iter().enumerate() {
        for (part, is_maximum) in [(claimant.minimum, false), (claimant.maximum, true)] {
            breakpoints.push(Breakpoint { part, weight: claimant.weight, is_maximum, claimant: index });
        }
    }
    breakpoints.sort_unstable_by(|a, b| {
        let a_scaled = u128::from(a.part) * u128::from(b.weight);
        let b_scaled = u128::from(b.part) * u128::from(a.weight);
        a_scaled.cmp(&b_scaled).then((a.is_maximum, a.claimant).cmp(&(b.is_maximum, b.claimant)))
    });
    breakpoints
}

#[cfg(test)]
#[path = "../tests/unit/water_filling.rs"]
mod tests;
