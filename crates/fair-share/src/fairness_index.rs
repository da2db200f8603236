//! Jain's fairness index.
use crate::FULL_SHARE_PPM;

/// The number of fractional bits of a rate. A rate is one of the amounts that [`jain_fairness_index`]
/// compares, divided by the weight of the same pair.
const RATE_FRACTION_BITS: u32 = 31;
/// The number of bits to which rates are scaled, so that the sum of the squares of a billion rates fits into
/// 128 bits.
const SCALED_RATE_BITS: u32 = 24;

/// Jain's fairness index over pairs of an amount and a weight, in parts per million. The index is 1 000 000
/// if all amounts are equal per unit of weight. It is 1 000 000 / n if only one of n pairs has an amount
/// above 0. Pairs with weight 0 are ignored. Without any pair, or if all amounts are 0, the index is 1 000
/// 000.
pub fn jain_fairness_index(amounts: &[(u64, u32)]) -> u32 {
    let weighted = amounts.iter().filter(|(_, weight)| *weight > 0);
    let rates: Vec<u128> = weighted
        .map(|&(amount, weight)| (u128::from(amount) << RATE_FRACTION_BITS) / u128::from(weight))
        .collect();
    let Some(&highest) = rates.iter().max().filter(|&&highest| highest > 0) else { return FULL_SHARE_PPM };
    let (mut sum, mut sum_of_squares) = (0_u128, 0_u128);
    for rate in rates.iter().map(|&rate| (rate << SCALED_RATE_BITS) / highest) {
        sum += rate;
        sum_of_squares += rate * rate;
    }
    (sum * sum * u128::from(FULL_SHARE_PPM) / (sum_of_squares * rates.len() as u128)) as u32
}

#[cfg(test)]
#[path = "../tests/unit/fairness_index.rs"]
mod tests;
