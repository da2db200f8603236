//! The `compare` command: simulates scenarios with several dispatch policies and the same random seeds.
use std::path::PathBuf;

use clap::Args;
use copperspread_testbed::compare::{ScenarioResults, compare_policies, comparison_table};
use copperspread_testbed::policy::PolicyKind;

use super::output::{json_line, print, write_report};
use super::shipped_scenarios::{LARGE, SHIPPED, read_scenario};
use super::{CommandResult, CommandStatus};
use crate::policy_argument::parse_policy;

#[derive(Debug, Args)]
pub(crate) struct CompareArguments {
    /// Names of built-in scenarios, or paths of scenario files; if omitted, all built-in ones except `large`
    scenarios: Vec<String>,
    /// Number of simulations per scenario and policy, with seeds 1, 2, 3 and so on
    #[arg(long, default_value_t = 10)]
    seeds: u64,
    /// Dispatch policies, separated by commas; the first is compared with each of the others
    #[arg(long, value_delimiter = ',', value_parser = parse_policy)]
    policies: Vec<PolicyKind>,
    /// Print all outcomes as JSON
    #[arg(long)]
    json: bool,
    /// Also write a self-contained HTML report to this file
    #[arg(long, value_name = "FILE")]
    report: Option<PathBuf>,
}

/// Simulates each scenario with each dispatch policy and each seed. The results of a scenario are printed as
/// soon as all runs of that scenario have ended.
pub(super) fn run(arguments: CompareArguments) -> CommandResult {
    let CompareArguments { scenarios, seeds, policies, json, report } = arguments;
    let names = if scenarios.is_empty() { default_scenarios() } else { scenarios };
    let policies = if policies.is_empty() { PolicyKind::COMPARED.to_vec() } else { policies };
    let seeds: Vec<u64> = (1..=seeds.max(1)).collect();
    let mut results = Vec::new();
    for name in names {
        let scenario = read_scenario(&name)?;
        let variants = compare_policies(&scenario, &policies, &seeds)?;
        print(&if json { json_line(&variants)? } else { comparison_table(&scenario, &variants) + "\n" })?;
        results.push(ScenarioResults { scenario, variants });
    }
    write_report(report.as_deref(), &results)?;
    Ok(CommandStatus::Done)
}

fn default_scenarios() -> Vec<String> {
    SHIPPED.iter().map(|(name, _)| (*name).to_owned()).filter(|name| name != LARGE).collect()
}
