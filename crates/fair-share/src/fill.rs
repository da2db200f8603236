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
pub fn jain_fairness_index(got: &[(u64, u32)]) -> u32 {
    let counted = got.iter().filter(|(_, weight)| *weight > 0);
    let rates: Vec<u128> =
        counted.map(|&(got, weight)| (u128::from(got) << 31) / u128::from(weight)).collect();
    let Some(&top) = rates.iter().max().filter(|&&top| top > 0) else { return crate::FULL_SHARE_PPM };
    let (mut sum, mut squares) = (0_u128, 0_u128);
    // In parts of 2^24 of the largest, so that the squares of a billion rates fit.
    for rate in rates.iter().map(|&rate| (rate << 24) / top) {
        (sum, squares) = (sum + rate, squares + rate * rate);
    }
    (sum * sum * u128::from(crate::FULL_SHARE_PPM) / (squares * rates.len() as u128)) as u32
}

#[cfg(test)]
#[path = "../tests/unit/fill.rs"]
mod tests;
