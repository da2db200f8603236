//! Compares dispatch policies by simulating the same scenario and seeds with each of them.
//!
//! The result for two policies is the mean difference between their runs with the same seed, with a bootstrap
//! confidence interval.
use copperspread_dispatcher::SettingsError;
use rand::RngExt;
use rayon::prelude::{IntoParallelRefIterator, ParallelIterator};
use serde::Serialize;

use crate::model::random::{StreamPurpose, random_stream};
use crate::outcome::RunOutcome;
use crate::policy::PolicyKind;
use crate::scenario::Scenario;
use crate::simulation::simulate;

/// Number of resamples from which a bootstrap interval is computed.
const BOOTSTRAP_RESAMPLES: usize = 2_000;
/// Number of resampled means that lie below the 95% interval; the same number lies above the interval.
const RESAMPLES_PER_TAIL: usize = BOOTSTRAP_RESAMPLES / 40;
/// Smallest number of pairs of runs for which a confidence interval is reported. Fewer pairs give no
/// meaningful interval.
const MIN_PAIRS_FOR_INTERVAL: usize = 3;

/// The mean difference between two variants over pairs of runs with the same seed.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct PairedDifference {
    /// Mean of the pairs' differences, in the unit of the compared value.
    pub mean: f64,
    /// Lower and upper bound of the 95% bootstrap confidence interval of the mean difference.
    pub interval: [f64; 2],
    /// Number of pairs of runs with the same seed from which the mean is computed.
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
    /// Computes the mean and the confidence interval from the difference of each pair of runs; `None` if
    /// there are no pairs.
    pub fn from_pairs(differences: &[f64]) -> Option<PairedDifference> {
        if differences.is_empty() {
            return None;
        }
        let means = resampled_means(differences);
        Some(PairedDifference {
            pairs: differences.len(),
            mean: mean(differences),
            interval: [means[RESAMPLES_PER_TAIL], means[BOOTSTRAP_RESAMPLES - 1 - RESAMPLES_PER_TAIL]],
        })
    }

    /// Returns whether there are enough pairs of runs for a confidence interval.
    pub fn has_interval(&self) -> bool {
        self.pairs >= MIN_PAIRS_FOR_INTERVAL
    }

    /// Returns whether there are enough pairs of runs for a confidence interval, and the interval excludes
    /// zero.
    pub fn excludes_zero(&self) -> bool {
        self.has_interval() && (self.interval[0] > 0.0 || self.interval[1] < 0.0)
    }
}

/// The means of bootstrap resamples of the differences, in ascending order. The random seed is fixed, so that
/// the same differences always give the same interval.
fn resampled_means(differences: &[f64]) -> Vec<f64> {
    let mut random = random_stream(1, StreamPurpose::Faults);
    let mut sample = vec![0.0; differences.len()];
    let mut resampled_mean = || {
        for value in &mut sample {
            *value = differences[random.random_range(0..differences.len())];
        }
        mean(&sample)
    };
    let mut means: Vec<f64> = (0..BOOTSTRAP_RESAMPLES).map(|_| resampled_mean()).collect();
    means.sort_by(f64::total_cmp);
    means
}

fn mean(values: &[f64]) -> f64 {
    values.iter().sum::<f64>() / values.len() as f64
}

/// How much of the weight of all jobs was not served in time, as one share from 0 to 1 for each reason. The
/// weight of a job is its priority weight times its work in core-seconds. In JSON, the shares are a list of
/// four numbers, in the order of the fields.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
#[serde(into = "[f64; 4]")]
pub struct UnservedShares {
    /// Share of the weight of all jobs that belongs to rejected jobs.
    pub rejected: f64,
    /// Share of the weight of all jobs that belongs to jobs served later than their latency objective.
    pub late: f64,
    /// Share of the weight of all jobs that belongs to jobs that ended with an error response or a broken
    /// client connection.
    pub failed: f64,
    /// Share of the weight of all jobs that belongs to jobs without a response before their deadline.
    pub unanswered: f64,
}

impl From<UnservedShares> for [f64; 4] {
    fn from(shares: UnservedShares) -> [f64; 4] {
        [shares.rejected, shares.late, shares.failed, shares.unanswered]
    }
}

impl UnservedShares {
    /// Computes the mean of each share over several runs.
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

/// The combined results of one variant's runs of a scenario.
#[derive(Clone, Debug, Serialize)]
pub struct VariantResult {
    /// The name of the variant: that of its policy, or the one given by the experiment.
    pub policy: String,
    /// The share of the jobs' weight (priority weight times work) that was served in time, minus the cost of
    /// the load queries, which is a share of the same weight; the mean over all seeds.
    #[serde(rename = "share")]
    pub in_time_share: f64,
    /// How much of the jobs' weight was not served in time, by reason; the mean over all seeds.
    #[serde(rename = "went")]
    pub unserved_shares: UnservedShares,
    /// How far this variant is behind the first variant: the `in_time_share` of the first variant minus that
    /// of this variant, paired by seed. `None` for the first variant.
    #[serde(rename = "behind")]
    pub deficit: Option<PairedDifference>,
    /// Number of rule violations in all runs.
    #[serde(rename = "breaches")]
    pub violations: u64,
    /// The outcome of each run of the variant, in the order of the seeds.
    pub runs: Vec<RunOutcome>,
}

/// The results of all variants of one scenario.
#[derive(Clone, Debug)]
pub struct ScenarioResults {
    /// The scenario that was run. In an experiment, each variant can change the scenario; this field then has
    /// the scenario as changed for the first variant.
    pub scenario: Scenario,
    /// The combined results of each variant. The first variant is the one that all others are compared with.
    pub variants: Vec<VariantResult>,
}

/// An error that prevents a comparison.
#[derive(Debug, thiserror::Error)]
#[non_exhaustive]
pub enum CompareError {
    /// A dispatch policy rejects the settings that the scenario gives it.
    #[error(transparent)]
    InvalidSettings(#[from] SettingsError),
}

/// Simulates a scenario with each policy and each seed, in parallel on all cores.
///
/// # Errors
/// Fails if a policy rejects the settings that the scenario gives it.
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

/// Combines the runs of each variant, and compares the first variant with each of the others. The runs of all
/// variants must have the same seeds in the same order.
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

/// Formats the results of one scenario as a text table.
pub fn comparison_table(scenario: &Scenario, variants: &[VariantResult]) -> String {
    let mut text = format!(
        "{}: {}\n{:<26} {:>7} {:>8} {:>6} {:>7} {:>6} {:>9}  first minus this one\n",
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
