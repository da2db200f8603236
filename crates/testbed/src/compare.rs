//! Compares policies on the same seeds: differences in pairs, with a bootstrap interval.
use copperspread_dispatcher::SettingsError;
use rand::RngExt;
use rayon::prelude::{IntoParallelRefIterator, ParallelIterator};
use serde::Serialize;

use crate::model::random::{StreamPurpose, random_stream};
use crate::outcome::RunOutcome;
use crate::policy::PolicyKind;
use crate::scenario::Scenario;
use crate::simulation::simulate;

/// Resampled means of a bootstrap interval.
const BOOTSTRAP_DRAWS: usize = 2_000;
/// The interval leaves out this many resampled means at each end: it holds 95%.
const DRAWS_OUTSIDE_EACH_END: usize = BOOTSTRAP_DRAWS / 40;
/// With fewer pairs an interval shows nothing.
const MIN_PAIRS_FOR_INTERVAL: usize = 3;

/// A mean difference to the first policy, over pairs of one seed.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct PairedDifference {
    /// The mean.
    pub mean: f64,
    /// The interval that holds 95% of the resampled means.
    pub interval: [f64; 2],
    /// Number of pairs.
    pub pairs: usize,
}

impl std::fmt::Display for PairedDifference {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let (mean, [low, high]) = (self.mean, self.interval);
        if !self.has_interval() {
            write!(f, "{mean:+.3} (too few seeds for an interval)")
        } else if self.excludes_zero() {
            write!(f, "{mean:+.3} [{low:+.3}, {high:+.3}]")
        } else {
            write!(f, "no difference shown [{low:+.3}, {high:+.3}]")
        }
    }
}

impl PairedDifference {
    /// From the difference of each pair; `None` without pairs.
    pub fn from_pairs(differences: &[f64]) -> Option<PairedDifference> {
        if differences.is_empty() {
            return None;
        }
        let means = resampled_means(differences);
        Some(PairedDifference {
            pairs: differences.len(),
            mean: mean(differences),
            interval: [means[DRAWS_OUTSIDE_EACH_END], means[BOOTSTRAP_DRAWS - 1 - DRAWS_OUTSIDE_EACH_END]],
        })
    }

    /// Whether there are enough pairs for the interval to show anything.
    pub fn has_interval(&self) -> bool {
        self.pairs >= MIN_PAIRS_FOR_INTERVAL
    }

    /// Whether there are enough pairs, and their interval leaves zero out.
    pub fn excludes_zero(&self) -> bool {
        self.has_interval() && (self.interval[0] > 0.0 || self.interval[1] < 0.0)
    }
}

/// Sorted means of samples that are drawn with replacement.
fn resampled_means(differences: &[f64]) -> Vec<f64> {
    let mut random = random_stream(1, StreamPurpose::Faults);
    let mut sample = vec![0.0; differences.len()];
    let mut draw_mean = || {
        for value in &mut sample {
            *value = differences[random.random_range(0..differences.len())];
        }
        mean(&sample)
    };
    let mut means: Vec<f64> = (0..BOOTSTRAP_DRAWS).map(|_| draw_mean()).collect();
    means.sort_by(f64::total_cmp);
    means
}

fn mean(values: &[f64]) -> f64 {
    values.iter().sum::<f64>() / values.len() as f64
}

/// Shares of the weight that were not served in time; in JSON a list of the four.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
#[serde(into = "[f64; 4]")]
pub struct UnservedShares {
    /// Rejected.
    pub rejected: f64,
    /// Served late.
    pub late: f64,
    /// Failed.
    pub failed: f64,
    /// Without a response.
    pub unanswered: f64,
}

impl From<UnservedShares> for [f64; 4] {
    fn from(shares: UnservedShares) -> [f64; 4] {
        [shares.rejected, shares.late, shares.failed, shares.unanswered]
    }
}

impl UnservedShares {
    /// Mean shares over runs.
    fn mean_of(runs: &[RunOutcome]) -> UnservedShares {
        let mean_share = |weight: fn(&RunOutcome) -> f64| {
            runs.iter().map(|run| weight(run) / run.weight.requested.max(1e-12)).sum::<f64>()
                / runs.len().max(1) as f64
        };
        UnservedShares {
            rejected: mean_share(|run| run.weight.rejected),
            late: mean_share(|run| run.weight.late),
            failed: mean_share(|run| run.weight.failed),
            unanswered: mean_share(|run| run.weight.unanswered),
        }
    }
}

/// One variant's runs of a scenario, summed up.
#[derive(Clone, Debug, Serialize)]
pub struct VariantResult {
    /// The variant: a policy, or the name that an experiment gives it.
    pub policy: String,
    /// The share of weight served in time, less the cost of load queries: the mean over seeds.
    #[serde(rename = "share")]
    pub in_time_share: f64,
    /// The shares that were not served in time.
    #[serde(rename = "went")]
    pub unserved_shares: UnservedShares,
    /// The first variant's share less this one's, in pairs; `None` for the first.
    #[serde(rename = "behind")]
    pub deficit: Option<PairedDifference>,
    /// Violations of rules in all runs.
    #[serde(rename = "breaches")]
    pub violations: u64,
    /// The runs.
    pub runs: Vec<RunOutcome>,
}

/// A scenario with the results of its variants.
#[derive(Clone, Debug)]
pub struct ScenarioResults {
    /// The scenario; of an experiment, as the first variant plays it.
    pub scenario: Scenario,
    /// The variants' results.
    pub variants: Vec<VariantResult>,
}

/// A comparison that could not be made.
#[derive(Debug, thiserror::Error)]
#[non_exhaustive]
pub enum CompareError {
    /// A policy does not accept its settings.
    #[error(transparent)]
    InvalidSettings(#[from] SettingsError),
}

/// Plays a scenario under policies and seeds, on all cores.
///
/// # Errors
/// A policy that cannot be made.
pub fn compare_policies(
    scenario: &Scenario,
    policies: &[PolicyKind],
    seeds: &[u64],
) -> Result<Vec<VariantResult>, CompareError> {
    let pairs: Vec<(PolicyKind, u64)> =
        policies.iter().flat_map(|&policy| seeds.iter().map(move |&seed| (policy, seed))).collect();
    let run = |&(policy, seed): &(PolicyKind, u64)| {
        simulate(scenario, policy, seed).map_err(CompareError::InvalidSettings)
    };
    let runs: Vec<RunOutcome> = pairs.par_iter().map(run).collect::<Result<_, CompareError>>()?;
    let names = policies.iter().map(|policy| policy.name());
    let runs_by_policy = runs.chunks(seeds.len().max(1)).map(<[_]>::to_vec);
    Ok(variant_results(names.zip(runs_by_policy).collect()))
}

/// Sums up variants with their runs, which are of the same seeds in the same order. The first variant is
/// compared with each other one.
pub fn variant_results(variants: Vec<(String, Vec<RunOutcome>)>) -> Vec<VariantResult> {
    let scores = |runs: &[RunOutcome]| runs.iter().map(RunOutcome::score).collect::<Vec<f64>>();
    let first_scores = variants.first().map_or_else(Vec::new, |(_, runs)| scores(runs));
    let mut results: Vec<VariantResult> =
        variants.into_iter().map(|(policy, runs)| variant_result(policy, runs, &first_scores)).collect();
    if let Some(first) = results.first_mut() {
        first.deficit = None;
    }
    results
}

fn variant_result(policy: String, runs: Vec<RunOutcome>, first_scores: &[f64]) -> VariantResult {
    let scores: Vec<f64> = runs.iter().map(RunOutcome::score).collect();
    let differences: Vec<f64> = first_scores.iter().zip(&scores).map(|(first, own)| first - own).collect();
    VariantResult {
        policy,
        in_time_share: scores.iter().sum::<f64>() / scores.len().max(1) as f64,
        unserved_shares: UnservedShares::mean_of(&runs),
        deficit: PairedDifference::from_pairs(&differences),
        violations: runs.iter().flat_map(|run| run.violations.values()).sum(),
        runs,
    }
}

/// The results as a table of text.
pub fn comparison_table(scenario: &Scenario, variants: &[VariantResult]) -> String {
    let mut text = format!(
        "{}: {}\n{:<26} {:>7} {:>8} {:>6} {:>7} {:>6} {:>9}  first less this one\n",
        scenario.name,
        scenario.description,
        "variant",
        "served",
        "refused",
        "late",
        "failed",
        "lost",
        "breaches"
    );
    for variant in variants {
        let UnservedShares { rejected, late, failed, unanswered } = variant.unserved_shares;
        let deficit = variant.deficit.map(|deficit| deficit.to_string()).unwrap_or_default();
        text += &format!(
            "{:<26} {:>7.3} {rejected:>8.3} {late:>6.3} {failed:>7.3} {unanswered:>6.3} {:>9}  {deficit}\n",
            variant.policy, variant.in_time_share, variant.violations
        );
    }
    text
}
