//! Whole-number division: the largest remainder, and weighted max-min by one level for all.

/// Divides a total by weights, so that the parts add up to it: each gets its quotient, rounded down, and what is left
/// goes by ones to the largest remainders, among equal ones to the first. Without any weight all get 0.
///
/// The total times the largest weight, and the sum of the weights, must fit into 128 bits.
pub fn apportion(total: u64, weights: &[u128]) -> Vec<u64> {
    let sum: u128 = weights.iter().sum();
    if sum == 0 {
        return vec![0; weights.len()];
    }
    let products = weights.iter().map(|&weight| u128::from(total) * weight);
    let mut parts: Vec<u64> = products.clone().map(|product| (product / sum) as u64).collect();
    let left = total - parts.iter().sum::<u64>();
    let mut by_rest: Vec<(u128, usize)> =
        products.enumerate().map(|(index, product)| (product % sum, index)).collect();
    by_rest.sort_unstable_by_key(|&(rest, index)| (std::cmp::Reverse(rest), index));
    for &(_, index) in by_rest.iter().take(left as usize) {
        parts[index] += 1;
    }
    parts
}

/// One that takes part in a division.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Party {
    /// Over 0, at most 10^18.
    pub(crate) weight: u64,
    /// What it gets before anything is divided by weight; not above `most`.
    pub(crate) least: u32,
    /// Above this it gets nothing.
    pub(crate) most: u32,
}

/// Weighted max-min: each gets `weight * level`, but no less than its least and no more than its most, with the one
/// level at which all of the capacity is given out. If not even what each gets at least fits, it is cut in
/// proportion; if all can have their most, they do and the rest is left.
pub(crate) fn fill(capacity: u32, parties: &[Party]) -> Vec<u32> {
    let capacity = u64::from(capacity);
    let least: u64 = parties.iter().map(|party| u64::from(party.least)).sum();
    let most: u64 = parties.iter().map(|party| u64::from(party.most)).sum();
    if least >= capacity {
        let parts: Vec<u128> = parties.iter().map(|party| party.least.into()).collect();
        return apportion(capacity, &parts).into_iter().map(|part| part as u32).collect();
    }
    if most <= capacity {
        return parties.iter().map(|party| party.most).collect();
    }
    // Where each begins to grow with the level, and where it stops, in the order of the level.
    let mut bends: Vec<(u32, u64, bool, usize)> = Vec::with_capacity(2 * parties.len());
    for (index, party) in parties.iter().enumerate() {
        bends.push((party.least, party.weight, false, index));
        bends.push((party.most, party.weight, true, index));
    }
    bends.sort_unstable_by(|a, b| {
        let (left, right) = (u128::from(a.0) * u128::from(b.1), u128::from(b.0) * u128::from(a.1));
        left.cmp(&right).then((a.2, a.3).cmp(&(b.2, b.3)))
    });
    let (mut settled, mut growing) = (least, 0_u128);
    let mut grows = vec![false; parties.len()];
    let mut parts: Vec<u32> = parties.iter().map(|party| party.least).collect();
    for (at, weight, stops, index) in bends {
        let needed = u128::from(settled) * u128::from(weight) + growing * u128::from(at);
        if needed >= u128::from(capacity) * u128::from(weight) {
            break;
        }
        let party = parties[index];
        grows[index] = !stops;
        if stops {
            (settled, growing) = (settled + u64::from(party.most), growing - u128::from(party.weight));
            parts[index] = party.most;
        } else {
            (settled, growing) = (settled - u64::from(party.least), growing + u128::from(party.weight));
        }
    }
    let among: Vec<usize> = (0..parties.len()).filter(|&index| grows[index]).collect();
    let weights: Vec<u128> = among.iter().map(|&index| parties[index].weight.into()).collect();
    for (index, part) in among.into_iter().zip(apportion(capacity - settled, &weights)) {
        parts[index] = part as u32;
    }
    parts
}

/// Jain's index over what each got for its weight, in parts in a million: 1 000 000 where all got the same for a
/// weight of 1, a part in n where one of n got everything. Those of weight 0 do not count; nobody is 1 000 000.
pub fn jain(got: &[(u64, u32)]) -> u32 {
    let counted = got.iter().filter(|(_, weight)| *weight > 0);
    let rates: Vec<u128> =
        counted.map(|&(got, weight)| (u128::from(got) << 31) / u128::from(weight)).collect();
    let Some(&top) = rates.iter().max().filter(|&&top| top > 0) else { return crate::WHOLE };
    let (mut sum, mut squares) = (0_u128, 0_u128);
    // In parts of 2^24 of the largest, so that the squares of a billion rates fit.
    for rate in rates.iter().map(|&rate| (rate << 24) / top) {
        (sum, squares) = (sum + rate, squares + rate * rate);
    }
    (sum * sum * u128::from(crate::WHOLE) / (squares * rates.len() as u128)) as u32
}

#[cfg(test)]
mod tests {
    use proptest::prelude::*;

    use super::*;

    /// Raises one level for all by steps of 1/840 until the capacity is out: what each has, in parts of 840.
    fn raised(capacity: u32, parties: &[Party]) -> Vec<u64> {
        let at = |level: u64| -> Vec<u64> {
            let clamped = |party: &Party| {
                (level * party.weight).clamp(840 * u64::from(party.least), 840 * u64::from(party.most))
            };
            parties.iter().map(clamped).collect()
        };
        let fits = |level: &u64| at(*level).iter().sum::<u64>() <= 840 * u64::from(capacity);
        at((0..).take_while(fits).take(840 * 60).last().expect("the least fits"))
    }

    proptest! {
        #![proptest_config(ProptestConfig { rng_seed: prop::test_runner::RngSeed::Fixed(28), failure_persistence: None, ..Default::default() })]

        #[test]
        fn fill_gives_what_raising_one_level_in_small_steps_gives_and_adds_up(
            capacity in 30_u32..60,
            terms in prop::collection::vec((1_u64..6, 0_u32..8, 0_u32..40), 1..5),
        ) {
            let party = |&(weight, least, more): &(u64, u32, u32)| Party { weight, least, most: least + more };
            let parties: Vec<Party> = terms.iter().map(party).collect();
            let parts = fill(capacity, &parties);
            let most: u32 = parties.iter().map(|party| party.most).sum();
            prop_assert_eq!(parts.iter().sum::<u32>(), capacity.min(most));
            for ((part, exact), party) in parts.iter().zip(raised(capacity, &parties)).zip(&parties) {
                prop_assert!((party.least..=party.most).contains(part));
                // One part for rounding, and a step of the level.
                prop_assert!((840 * u64::from(*part)).abs_diff(exact) <= 840 + 6 * party.weight);
            }
        }
    }

    #[test]
    fn apportion_gives_what_is_left_to_the_largest_rests_and_among_equals_to_the_first() {
        let cases: [(u64, &[u128], &[u64]); 5] = [
            (10, &[1, 1, 1], &[4, 3, 3]),
            (10, &[1, 1, 4], &[2, 2, 6]),
            (7, &[5, 3], &[4, 3]),
            (3, &[0, 0], &[0, 0]),
            (1, &[1, 2], &[0, 1]),
        ];
        for (total, weights, parts) in cases {
            assert_eq!(apportion(total, weights), parts, "{total} by {weights:?}");
        }
    }

    #[test]
    fn jain_is_one_for_equal_rates_and_a_part_in_n_for_one_who_has_all() {
        let cases: [(&[(u64, u32)], u32); 6] = [
            (&[(10, 1), (20, 2), (30, 3)], 1_000_000),
            (&[(10, 1), (0, 1), (0, 1), (0, 1)], 250_000),
            (&[(u64::MAX, 1), (u64::MAX, 1)], 1_000_000),
            (&[(1, 1), (3, 1)], 800_000),
            (&[(0, 1), (0, 7)], 1_000_000),
            (&[(5, 0), (3, 1)], 1_000_000),
        ];
        for (got, index) in cases {
            assert!(jain(got).abs_diff(index) <= 1, "{got:?} gives {}", jain(got));
        }
    }
}
