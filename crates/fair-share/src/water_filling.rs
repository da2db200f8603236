//! Weighted max-min division by water-filling. Each claimant, which is a participant in the division, has a
//! minimum and a maximum.
use crate::apportionment::apportion;

/// A claimant, which is a participant in a division of shares: a federation in the division of the fleet, or
/// a tenant in the division of its federation's share.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Claimant {
    /// The weight of the claimant relative to the other claimants, from 1 to 10^18.
    pub(crate) weight: u64,
    /// The minimum part of the capacity that the claimant gets, at most `maximum`. The minimum is reduced
    /// only if the minimums of all claimants together exceed the capacity.
    pub(crate) minimum: u32,
    /// The maximum part of the capacity that the claimant gets, even if capacity remains.
    pub(crate) maximum: u32,
}

/// A level at which the part of a claimant starts or stops growing as the level rises. The level is the part
/// of the capacity per unit of weight: `part / weight`. One level is raised for all claimants.
struct Breakpoint {
    /// The part of the capacity that the claimant has at the level of this breakpoint. It is the claimant's
    /// minimum if the part starts to grow at this level, or its maximum if the part stops growing there.
    part: u32,
    weight: u64,
    is_maximum: bool,
    claimant: usize,
}

/// Divides the capacity by weighted max-min. Each claimant gets `weight * level`, but at least its minimum
/// and at most its maximum. The level is the same for all claimants, and is chosen so that the parts use the
/// whole capacity.
///
/// If the minimums together exceed the capacity, they are reduced in proportion. If all maximums together fit
/// into the capacity, each claimant gets its maximum, and the rest is not allocated.
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

/// Raises the level, which is the part of the capacity per unit of weight, as long as the capacity is not
/// used up. The level goes from one breakpoint to the next, where a claimant's part starts or stops growing.
///
/// At the last breakpoint reached, the parts of some claimants do not grow: these claimants get their minimum
/// or their maximum. The capacity that remains is divided among the other claimants, in proportion to weight.
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

/// Returns two breakpoints for each claimant, sorted by level, which is the part of the capacity per unit of
/// weight. At the first, the claimant's part starts to grow from its minimum. At the second, the part stops
/// growing, at its maximum. At equal levels, breakpoints where a part starts to grow come first.
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
