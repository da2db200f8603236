//! Rules of a run and the record of their violations.
use std::collections::BTreeMap;

use copperspread_dispatcher::Micros;
use serde::{Deserialize, Serialize};

/// Number of violations that are kept with their descriptions; the others are only counted.
const MAX_EXAMPLES: usize = 20;

/// A rule that must hold in every run with every policy.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Rule {
    /// A client gets at most one final response.
    #[serde(rename = "one_answer")]
    SingleResponse,
    /// A client gets a final response before its deadline, or within the scenario's grace period after the
    /// deadline.
    #[serde(rename = "answer_in_time")]
    ResponseBeforeDeadline,
    /// A served response contains only what a worker produced for the request.
    #[serde(rename = "forged")]
    GenuineResult,
    /// A non-idempotent job never runs twice.
    #[serde(rename = "unsafe_twice")]
    NonIdempotentOnce,
    /// A job with an idempotency key that may have run is sent again only to workers that still know the key.
    #[serde(rename = "keyed_twice")]
    KeyedWithinScope,
    /// No new work goes to a worker later than [`super::DRAIN_GRACE`] after the scheduler was notified of the
    /// worker's drain.
    #[serde(rename = "drained")]
    NoDispatchWhileDraining,
    /// Schedulers send no more load to a worker in slow start than its slow-start budget allows.
    #[serde(rename = "cold_budget")]
    WithinSlowStartBudget,
}

impl std::fmt::Display for Rule {
    /// Writes the rule's name as printed with outcomes. The printed name, and the serialized name in JSON
    /// outcomes, stay the same when the enum variant of a rule is renamed.
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

/// A single violation of a rule during a run, with its time and description.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RuleViolation {
    /// Rule that the run violated.
    pub rule: Rule,
    /// Time of the violation, in microseconds from the start of the run.
    pub at: Micros,
    /// Description of the request, job or worker involved and of the violation.
    #[serde(rename = "what")]
    pub description: String,
}

/// The violations of one run: their number by rule, and descriptions of the first violations.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Violations {
    /// Number of violations of each rule.
    pub counts: BTreeMap<Rule, u64>,
    /// The first violations of the run, at most `MAX_EXAMPLES`, with their descriptions.
    pub examples: Vec<RuleViolation>,
}

impl Violations {
    /// Counts a violation, and keeps its description if fewer than `MAX_EXAMPLES` descriptions are kept so
    /// far.
    pub(super) fn record(&mut self, rule: Rule, at: Micros, describe: impl FnOnce() -> String) {
        *self.counts.entry(rule).or_default() += 1;
        if self.examples.len() < MAX_EXAMPLES {
            self.examples.push(RuleViolation { rule, at, description: describe() });
        }
    }
}
