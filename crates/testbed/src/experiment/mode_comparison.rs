//! Compares the results of the same policies in virtual time (simulation) and in real time (emulation).
use crate::compare::ScenarioResults;

/// Largest difference between two policies at which they count as equally good. The compared value is the
/// share of the jobs' weight that was served in time. So small a difference does not show which policy is
/// better.
const MAX_TIED_DIFFERENCE: f64 = 0.01;

/// Two variants that differ only in their execution mode. Each is given by its position in the experiment's
/// list of variants.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct VariantPair {
    /// The position of the simulated variant in the experiment's list of variants.
    pub simulated: usize,
    /// The position of the emulated variant in the experiment's list of variants.
    pub emulated: usize,
}

/// The share of the jobs' weight that was served in time with one policy, in the simulation and in the
/// emulation. A job is served in time if it is served within its latency objective. The cost of load queries
/// is subtracted from the share. The weight of a job is its priority weight times its work.
#[derive(Clone, Copy)]
struct ModeShares {
    simulated: f64,
    emulated: f64,
}

impl ModeShares {
    fn difference(self) -> f64 {
        self.emulated - self.simulated
    }

    /// Returns whether the simulation and the emulation rank two policies in opposite order. The policies are
    /// ranked by the share of the jobs' weight that was served in time. The result is `true` only if, in both
    /// modes, the shares of the two policies differ by more than `MAX_TIED_DIFFERENCE`.
    fn is_ranked_differently(self, other: ModeShares) -> bool {
        let is_distinguishable = |own: f64, other: f64| (own - other).abs() > MAX_TIED_DIFFERENCE;
        let differs = (self.simulated > other.simulated) != (self.emulated > other.emulated);
        differs
            && is_distinguishable(self.simulated, other.simulated)
            && is_distinguishable(self.emulated, other.emulated)
    }
}

/// Formats a text table that compares the simulation with the emulation. Each row is for one scenario and one
/// policy. The policy was run by a pair of variants, one simulated and one emulated. The row has the share of
/// the jobs' weight that was served in time in each mode, and the difference between the two shares. It also
/// has the policy's rank among all compared policies in each mode.
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
