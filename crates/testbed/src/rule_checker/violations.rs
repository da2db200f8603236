//! The rules that every run must keep, and the record of their violations.
use std::collections::BTreeMap;

use copperspread_dispatcher::Micros;
use serde::{Deserialize, Serialize};

/// Number of violations of a run that are kept with their descriptions. All others are only counted.
const MAX_EXAMPLES: usize = 20;

/// A rule that must hold in every run with every policy.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Rule {
    /// A client gets at most one final response.
    #[serde(rename = "one_answer")]
    SingleResponse,
    /// A client gets a final response before its deadline, or within the grace period that the scenario
    /// allows after the deadline.
    #[serde(rename = "answer_in_time")]
    ResponseBeforeDeadline,
    /// A served response contains only what a worker produced for the request.
    #[serde(rename = "forged")]
    GenuineResult,
    /// A non-idempotent job never runs twice.
    #[serde(rename = "unsafe_twice")]
    NonIdempotentOnce,
    /// If a job with an idempotency key may have run, the job is sent again only to workers that still know
    /// the key.
    #[serde(rename = "keyed_twice")]
    KeyedWithinScope,
    /// No attempt is sent to a draining or removed worker later than [`super::DRAIN_GRACE`] after the
    /// scheduler was notified of the drain or removal.
    #[serde(rename = "drained")]
    NoDispatchWhileDraining,
    /// Schedulers send no more load to a worker in slow start than its slow-start budget allows.
    #[serde(rename = "cold_budget")]
    WithinSlowStartBudget,
}

impl std::fmt::Display for Rule {
    /// Writes the rule's name as it is printed with the outcome of a run. This name, and the rule's name in
    /// JSON outcomes, stay the same when the enum variant of the rule is renamed.
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
    /// The rule that was violated.
    pub rule: Rule,
    /// Time at which the rule was violated, in microseconds from the start of the run.
    pub at: Micros,
    /// Description of the violation, which names the request, job or worker involved.
    #[serde(rename = "what")]
    pub description: String,
}

/// The violations of one run: their number for each rule, and descriptions of the first violations.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Violations {
    /// For each rule that was violated, the number of its violations.
    pub counts: BTreeMap<Rule, u64>,
    /// The first violations of the run, at most `MAX_EXAMPLES`, with their descriptions.
    pub examples: Vec<RuleViolation>,
}

impl Violations {
    /// Counts a violation. Its description is kept only if fewer than `MAX_EXAMPLES` descriptions have been
    /// kept so far.
    pub(super) fn record(&mut self, rule: Rule, at: Micros, describe: impl FnOnce() -> String) {
        *self.counts.entry(rule).or_default() += 1;
        if self.examples.len() < MAX_EXAMPLES {
            self.examples.push(RuleViolation { rule, at, description: describe() });
        }
    }
}
