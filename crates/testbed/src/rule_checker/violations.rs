//! Names the rules and records their violations.
use std::collections::BTreeMap;

use copperspread_dispatcher::Micros;
use serde::{Deserialize, Serialize};

/// Violations that are kept with their descriptions; all are counted.
const MAX_EXAMPLES: usize = 20;

/// What must hold in every run, whatever the policy.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Rule {
    /// A client gets at most one final response.
    #[serde(rename = "one_answer")]
    SingleResponse,
    /// A client gets a final response before its deadline.
    #[serde(rename = "answer_in_time")]
    ResponseBeforeDeadline,
    /// A client is served only what a worker made for its request.
    #[serde(rename = "forged")]
    GenuineResult,
    /// A non-idempotent job never runs twice.
    #[serde(rename = "unsafe_twice")]
    NonIdempotentOnce,
    /// A keyed job that may have run is sent again only where, and while, workers know its key.
    #[serde(rename = "keyed_twice")]
    KeyedWithinScope,
    /// New work goes to no worker for longer than [`super::DRAIN_GRACE`] after the scheduler was notified
    /// of its drain.
    #[serde(rename = "drained")]
    NoDispatchWhileDraining,
    /// A worker that is warming up is sent no more than its budget.
    #[serde(rename = "cold_budget")]
    WithinSlowStartBudget,
}

impl std::fmt::Display for Rule {
    /// The name as printed in outcomes.
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(match self {
            Rule::SingleResponse => "OneAnswer",
            Rule::ResponseBeforeDeadline => "AnswerInTime",
            Rule::GenuineResult => "Forged",
            Rule::NonIdempotentOnce => "UnsafeTwice",
            Rule::KeyedWithinScope => "KeyedTwice",
            Rule::NoDispatchWhileDraining => "Drained",
            Rule::WithinSlowStartBudget => "ColdBudget",
        })
    }
}

/// One violation of a rule.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RuleViolation {
    /// The rule.
    pub rule: Rule,
    /// When, in microseconds from the start of the run.
    pub at: Micros,
    /// Which request, job or worker, and how.
    #[serde(rename = "what")]
    pub description: String,
}

/// The violations of one run.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Violations {
    /// How many, by rule.
    pub counts: BTreeMap<Rule, u64>,
    /// The first of them, with their descriptions.
    pub examples: Vec<RuleViolation>,
}

impl Violations {
    /// Counts a violation, and keeps it if it is one of the first.
    pub(super) fn record(&mut self, rule: Rule, at: Micros, describe: impl FnOnce() -> String) {
        *self.counts.entry(rule).or_default() += 1;
        if self.examples.len() < MAX_EXAMPLES {
            self.examples.push(RuleViolation { rule, at, description: describe() });
        }
    }
}
