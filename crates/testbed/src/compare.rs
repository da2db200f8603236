//! Policies against one another on the same seeds: differences in pairs, with a bootstrap interval.
use rand::RngExt;
use rayon::prelude::*;
use serde::Serialize;

use crate::model::random::{StreamPurpose, random_stream};
use crate::outcome::Outcome;
use crate::policy::PolicyKind;
use crate::scenario::Scenario;
use crate::simulation::simulate;

/// A mean difference against the first policy, over pairs of one seed.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Difference {
    /// The mean.
    pub mean: f64,
    /// The interval that holds 95% of the resampled means.
    pub interval: [f64; 2],
    /// How many pairs.
    pub pairs: usize,
}

/// Of fewer pairs an interval says nothing.
const FEWEST: usize = 3;

impl std::fmt::Display for Difference {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let (mean, [low, high]) = (self.mean, self.interval);
        if !self.has_interval() {
            write!(f, "{mean:+.3} (too few seeds for an interval)")
        } else if self.shown() {
            write!(f, "{mean:+.3} [{low:+.3}, {high:+.3}]")
        } else {
            write!(f, "no difference shown [{low:+.3}, {high:+.3}]")
        }
    }
}

impl Difference {
    /// From the differences of each pair. `None` of no pairs.
    pub fn of(pairs: &[f64]) -> Option<Difference> {
        const DRAWS: usize = 2_000;
        if pairs.is_empty() {
            return None;
        }
        let mean = |of: &[f64]| of.iter().sum::<f64>() / of.len() as f64;
        let mut chance = random_stream(1, StreamPurpose::Faults);
        let mut drawn = vec![0.0; pairs.len()];
        let mut means: Vec<f64> = (0..DRAWS)
            .map(|_| {
                drawn.iter_mut().for_each(|one| *one = pairs[chance.random_range(0..pairs.len())]);
                mean(&drawn)
            })
            .collect();
        means.sort_by(f64::total_cmp);
        let count = pairs.len();
        Some(Difference {
            pairs: count,
            mean: mean(pairs),
            interval: [means[DRAWS / 40], means[DRAWS - 1 - DRAWS / 40]],
        })
    }

    /// Whether there are pairs enough for the interval to say anything.
    pub fn has_interval(&self) -> bool {
        self.pairs >= FEWEST
    }

    /// Whether the interval leaves zero out. Fewer than three pairs show nothing.
    pub fn shown(&self) -> bool {
        self.has_interval() && (self.interval[0] > 0.0 || self.interval[1] < 0.0)
    }
}

/// One variant's runs of a scenario.
#[derive(Clone, Debug, Serialize)]
pub struct Row {
    /// The variant: a policy, or the name that an experiment gives it.
    pub policy: String,
    /// The share of worth served in time, the mean over seeds.
    pub share: f64,
    /// The shares refused, late, failed and lost.
    pub went: [f64; 4],
    /// The first policy's share less this one's, in pairs.
    pub behind: Option<Difference>,
    /// Breaches of rules in all runs.
    pub breaches: u64,
    /// The runs.
    pub runs: Vec<Outcome>,
}

/// Plays a scenario under policies and seeds, on all cores.
///
/// # Errors
/// A policy that cannot be made.
pub fn compare(scenario: &Scenario, kinds: &[PolicyKind], seeds: &[u64]) -> Result<Vec<Row>, String> {
    let pairs: Vec<(PolicyKind, u64)> =
        kinds.iter().flat_map(|&kind| seeds.iter().map(move |&seed| (kind, seed))).collect();
    let runs: Vec<Outcome> = pairs
        .par_iter()
        .map(|&(kind, seed)| simulate(scenario, kind, seed))
        .collect::<Result<_, String>>()?;
    let names: Vec<String> = kinds.iter().map(|kind| kind.name()).collect();
    let each = seeds.len().max(1);
    Ok(rows(names.into_iter().zip(runs.chunks(each).map(<[_]>::to_vec)).collect()))
}

/// Variants with their runs, of the same seeds in the same order, as rows; the first is compared with
/// each other one.
pub fn rows(variants: Vec<(String, Vec<Outcome>)>) -> Vec<Row> {
    let shares = |runs: &[Outcome]| runs.iter().map(|run| run.score()).collect::<Vec<f64>>();
    let first: Vec<f64> = variants.first().map_or_else(Vec::new, |(_, runs)| shares(runs));
    let row = |(at, (policy, runs)): (usize, (String, Vec<Outcome>))| {
        let shares = shares(&runs);
        let behind: Vec<f64> = first.iter().zip(&shares).map(|(first, own)| first - own).collect();
        let part = |of: fn(&Outcome) -> f64| {
            runs.iter().map(|run| of(run) / run.worth.asked.max(1e-12)).sum::<f64>()
                / runs.len().max(1) as f64
        };
        Row {
            policy,
            share: shares.iter().sum::<f64>() / shares.len().max(1) as f64,
            went: [
                part(|run| run.worth.refused),
                part(|run| run.worth.late),
                part(|run| run.worth.failed),
                part(|run| run.worth.lost),
            ],
            behind: if at == 0 { None } else { Difference::of(&behind) },
            breaches: runs.iter().flat_map(|run| run.breaches.values()).sum(),
            runs,
        }
    };
    variants.into_iter().enumerate().map(row).collect()
}

/// The rows as a table.
pub fn table(scenario: &Scenario, rows: &[Row]) -> String {
    let mut text = format!(
        "{}: {}\n{:<26} {:>7} {:>8} {:>6} {:>7} {:>6} {:>9}  first less this one\n",
        scenario.name, scenario.about, "variant", "served", "refused", "late", "failed", "lost", "breaches"
    );
    for row in rows {
        let [refused, late, failed, lost] = row.went;
        let behind = row.behind.map(|of| of.to_string()).unwrap_or_default();
        text += &format!(
            "{:<26} {:>7.3} {refused:>8.3} {late:>6.3} {failed:>7.3} {lost:>6.3} {:>9}  {behind}\n",
            row.policy, row.share, row.breaches
        );
    }
    text
}
