//! Formats the outcome of one run of a scenario as text.
use copperspread_testbed::outcome::{ClassOutcome, MachineUsage, RunOutcome};

/// Formats the outcome of a run as text. The text has a summary, then one line for each request class, for
/// each violated rule and for each example of a violation. After an emulation, the last line has the
/// schedulers' CPU usage.
pub(super) fn outcome_text(outcome: &RunOutcome) -> String {
    let mut text = summary_lines(outcome);
    if outcome.load_queries > 0 {
        let queries_per_job = outcome.load_queries as f64 / outcome.jobs.max(1) as f64;
        let cost = outcome.load_query_cost;
        text += &format!("{queries_per_job:.2} load queries per job cost {cost:.4} of the jobs' weight\n");
    }
    text.extend(outcome.classes.iter().map(class_line));
    for (rule, count) in &outcome.violations {
        text += &format!("rule violated: {rule}, count {count}\n");
    }
    for violation in &outcome.violation_examples {
        let at_s = violation.at as f64 / 1e6;
        text += &format!("  at {at_s:.3} s: {}, {}\n", violation.rule, violation.description);
    }
    text.extend(outcome.machine_usage.as_ref().map(machine_line));
    text
}

fn summary_lines(outcome: &RunOutcome) -> String {
    let share = |weight: f64| weight / outcome.weight.requested;
    format!(
        "{} under {}, seed {}: {:.3} of the jobs' weight served in time; late {:.3}, refused {:.3}, \
         failed {:.3}, lost {:.3}\n{:.2} attempts per job, {:.3} of them to another zone; {} worker overloads\n",
        outcome.scenario,
        outcome.policy,
        outcome.seed,
        outcome.weight.in_time_share(),
        share(outcome.weight.late),
        share(outcome.weight.rejected),
        share(outcome.weight.failed),
        share(outcome.weight.unanswered),
        outcome.attempts_per_job,
        outcome.cross_zone_share,
        outcome.overloads,
    )
}

fn class_line(class: &ClassOutcome) -> String {
    format!(
        "  {:<12} {:>8} jobs, {:.3} in time; served in {:.0} ms (median), {:.0} ms (99%)\n",
        class.name,
        class.jobs,
        class.weight.in_time_share(),
        class.latency.median_ms,
        class.latency.p99_ms
    )
}

fn machine_line(usage: &MachineUsage) -> String {
    let [p99_ms, max_ms] = usage.send_lag_ms;
    format!(
        "schedulers used {:.3} cores, {:.0} us per job; the testbed sent jobs late by {p99_ms:.1} ms (99%), \
         {max_ms:.1} ms (maximum)\n",
        usage.cores, usage.cpu_us_per_job
    )
}
