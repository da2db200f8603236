//! Division of an integer in proportion to weights, by the largest remainder method.
use std::cmp::Reverse;

/// Divides `total` into whole parts in proportion to weights. The parts add up to `total`. Each part is first
/// rounded down. The units that remain go one each to the parts with the largest remainders, and at equal
/// remainders to the part with the lowest index. If all weights are 0, all parts are 0.
///
/// The total times the largest weight, and the sum of the weights, must fit into 128 bits.
pub fn apportion(total: u64, weights: &[u128]) -> Vec<u64> {
    let weight_sum: u128 = weights.iter().sum();
    if weight_sum == 0 {
        return vec![0; weights.len()];
    }
    let products = weights.iter().map(|&weight| u128::from(total) * weight);
    let mut parts: Vec<u64> = products.clone().map(|product| (product / weight_sum) as u64).collect();
    let remaining_units = total - parts.iter().sum::<u64>();
    let mut remainders: Vec<(u128, usize)> =
        products.enumerate().map(|(index, product)| (product % weight_sum, index)).collect();
    remainders.sort_unstable_by_key(|&(remainder, index)| (Reverse(remainder), index));
    for &(_, index) in remainders.iter().take(remaining_units as usize) {
        parts[index] += 1;
    }
    parts
}

#[cfg(test)]
#[path = "../tests/unit/apportionment.rs"]
mod tests;
