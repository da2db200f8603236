//! Compares dispatch policies: each policy is simulated in the same scenario with the same random seeds.
//!
//! For each seed, the difference between the results of two policies is computed. The comparison of the two
//! policies is the mean of these differences, with a bootstrap confidence interval.
use copperspread_dispatcher::SettingsError;
use rand::RngExt;
use rayon::prelude::{IntoParallelRefIterator, ParallelIterator};
use serde::Serialize;

use crate::model::random::{StreamPurpose, random_stream};
use crate::outcome::RunOutcome;
use crate::policy::PolicyKind;
use crate::scenario::Scenario;
use crate::simulation::simulate;

/// Number of bootstrap resamples from which a confidence interval is computed.
const BOOTSTRAP_RESAMPLES: usize = 2_000;
/// Number of resampled means that lie below the 95% confidence interval. The same number lies above the
/// interval.
const RESAMPLES_PER_TAIL: usize = BOOTSTRAP_RESAMPLES / 40;
/// Smallest number of pairs of runs for which a confidence interval is reported. A pair is two runs with the
/// same seed. An interval from fewer pairs would not be meaningful.
const MIN_PAIRS_FOR_INTERVAL: usize = 3;

/// The mean difference in a measured value between two compared alternatives, such as two dispatch policies.
/// Each difference is taken between two runs with the same seed, one run of each alternative.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct PairedDifference {
    /// Mean of the differences between the paired runs, in the unit of the compared value.
    pub mean: f64,
    /// Lower and upper bound of the 95% bootstrap confidence interval of the mean difference.
    pub interval: [f64; 2],
    /// Number of pairs of runs from which the mean is computed. A pair is two runs with the same seed.
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
    /// Computes the mean difference and its confidence interval. `differences` has one value for each pair of
    /// runs with the same seed. Returns `None` if `differences` is empty.
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

/// Returns the means of all bootstrap resamples, in ascending order. Each resample consists of values that
/// are drawn from `differences` at random, with repetition. The random seed is fixed, so that the same
/// differences always give the same confidence interval.
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

/// The shares of all jobs' weight that were not served in time, one share from 0 to 1 for each reason. The
/// weight of a job is its priority weight times its work in core-seconds. In JSON, the shares are a list of
/// four numbers, in the order of the fields.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
#[serde(into = "[f64; 4]")]
pub struct UnservedShares {
    /// The weight of the rejected jobs, as a share of the weight of all jobs.
    pub rejected: f64,
    /// The weight of the jobs that were served later than their latency objective, as a share of the weight
    /// of all jobs.
    pub late: f64,
    /// The weight of the jobs that ended with an error response or a broken client connection, as a share of
    /// the weight of all jobs.
    pub failed: f64,
    /// The weight of the jobs that got no response before their deadline, as a share of the weight of all
    /// jobs.
    pub unanswered: f64,
}

impl From<UnservedShares> for [f64; 4] {
    fn from(shares: UnservedShares) -> [f64; 4] {
        [shares.rejected, shares.late, shares.failed, shares.unanswered]
    }
}

impl UnservedShares {
    /// Computes the shares of the jobs' weight that were rejected, late, failed or unanswered. Each share is
    /// the mean over `runs`.
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

/// The results of one variant in one scenario. A variant is one of the compared alternatives, such as a
/// dispatch policy.
#[derive(Clone, Debug, Serialize)]
pub struct VariantResult {
    /// The name of the variant: that of its policy, or the one given by the experiment.
    pub policy: String,
    /// The share of the jobs' weight (priority weight times work) that was served in time, less the cost of
    /// the load queries. The cost is a share of the same weight. The value is the mean over all seeds.
    #[serde(rename = "share")]
    pub in_time_share: f64,
    /// The shares of the jobs' weight that were not served in time, one share for each reason. Each share is
    /// the mean over all seeds.
    #[serde(rename = "went")]
    pub unserved_shares: UnservedShares,
    /// How much larger the `in_time_share` of the first variant is than that of this variant. The difference
    /// is taken for each seed, and then averaged. `None` for the first variant itself.
    #[serde(rename = "behind")]
    pub deficit: Option<PairedDifference>,
    /// Number of rule violations that the rule checker found in the variant's runs. The rule checker observes
    /// a run and checks that the schedulers keep certain rules, such as one final response for each request.
    #[serde(rename = "breaches")]
    pub violations: u64,
    /// The outcome of each run of the variant, in the order of the seeds.
    pub runs: Vec<RunOutcome>,
}

/// The results of all variants of one scenario.
#[derive(Clone, Debug)]
pub struct ScenarioResults {
    /// The scenario that the variants ran. An experiment can change settings of the scenario for each
    /// variant. In that case, this field has the scenario as the first variant ran it.
    pub scenario: Scenario,
    /// The results of each variant. The first variant is compared with each of the others.
    pub variants: Vec<VariantResult>,
}

/// An error because of which dispatch policies cannot be compared.
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

/// Combines the runs of each variant into one result, and compares the first variant with each of the others.
/// The runs of all variants must have the same seeds in the same order.
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

/// Formats the results of all variants in one scenario as a text table.
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
