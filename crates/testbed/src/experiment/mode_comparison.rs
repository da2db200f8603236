//! Compares the results of the same policies in virtual time (simulation) and in real time (emulation).
use crate::compare::ScenarioResults;

/// Two policies count as equally good if their shares of weight served in time differ by at most this value,
/// because so small a difference does not show which policy is better.
const MAX_TIED_DIFFERENCE: f64 = 0.01;

/// The indexes of two variants that differ only in their execution mode.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct VariantPair {
    /// The index of the variant in virtual time.
    pub simulated: usize,
    /// The index of the variant in real time.
    pub emulated: usize,
}

/// The share of the jobs' weight (priority weight times work) that a policy served within the latency
/// objective, minus the cost of load queries, in the simulation and in the emulation.
#[derive(Clone, Copy)]
struct ModeShares {
    simulated: f64,
    emulated: f64,
}

impl ModeShares {
    fn difference(self) -> f64 {
        self.emulated - self.simulated
    }

    /// Returns whether simulation and emulation rank two policies in opposite order. The result is `false` if
    /// the shares of the two policies differ by at most `MAX_TIED_DIFFERENCE` in either mode.
    fn is_ranked_differently(self, other: ModeShares) -> bool {
        let is_distinguishable = |own: f64, other: f64| (own - other).abs() > MAX_TIED_DIFFERENCE;
        let differs = (self.simulated > other.simulated) != (self.emulated > other.emulated);
        differs
            && is_distinguishable(self.simulated, other.simulated)
            && is_distinguishable(self.emulated, other.emulated)
    }
}

/// Formats a text table that compares the simulation with the emulation, with a row for each scenario and
/// pair of variants. A row has the share of weight that the policy served in time in each mode, the
/// difference between the two shares, and the policy's rank in each mode.
pub fn mode_comparison_table(pairs: &[VariantPair], results: &[ScenarioResults]) -> String {
    let mut text = format!(
        "{:<16} {:<18} {:>7} {:>9} {:>11} {:>14}\n",
        "scenario", "policy", "sim", "emulate", "difference", "rank in each"
    );
    let mut largest_difference = 0.0_f64;
    let mut ranked_differently = 0;
    let mut compared = 0;
    for result in results {
        let shares: Vec<ModeShares> = pairs.iter().map(|&pair| mode_shares(result, pair)).collect();
        for (&pair, &own) in pairs.iter().zip(&shares) {
            largest_difference = largest_difference.max(own.difference().abs());
            text += &comparison_row(result, pair, own, &shares);
        }
        for (index, own) in shares.iter().enumerate() {
            let others = &shares[index + 1..];
            compared += others.len();
            ranked_differently += others.iter().filter(|other| own.is_ranked_differently(**other)).count();
        }
    }
    text + &format!(
        "largest difference {largest_difference:.3}; of {compared} pairs of policies {ranked_differently} are ranked \
         differently by sim and emulate, with shares more than {MAX_TIED_DIFFERENCE} apart in both\n"
    )
}

fn mode_shares(result: &ScenarioResults, pair: VariantPair) -> ModeShares {
    ModeShares {
        simulated: result.variants[pair.simulated].in_time_share,
        emulated: result.variants[pair.emulated].in_time_share,
    }
}

fn comparison_row(
    result: &ScenarioResults,
    pair: VariantPair,
    own: ModeShares,
    all: &[ModeShares],
) -> String {
    let variant = &result.variants[pair.simulated];
    let policy = variant.runs.first().map_or(&*variant.policy, |run| &*run.policy);
    let simulated_rank = 1 + all.iter().filter(|shares| shares.simulated > own.simulated).count();
    let emulated_rank = 1 + all.iter().filter(|shares| shares.emulated > own.emulated).count();
    format!(
        "{:<16} {policy:<18} {:>7.3} {:>9.3} {:>+11.3} {:>14}\n",
        result.scenario.name,
        own.simulated,
        own.emulated,
        own.difference(),
        format!("{simulated_rank} and {emulated_rank}")
    )
}
