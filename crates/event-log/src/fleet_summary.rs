//! Sums the records of many schedulers by time and by worker: what none of them sees alone, such as how
//! many jobs all of them together have at one worker.
//!
//! Runs are put together by their wall clocks, which must agree: those of one machine, or of machines
//! whose clocks are kept.
use std::collections::{BTreeMap, HashMap};
use std::fmt::Write;

use hdrhistogram::Histogram;

use crate::reader::Line;
use crate::record::{Decision, EventKind, Record};

/// Longest time that is told apart: a day, in microseconds.
const LONGEST_US: u64 = 86_400_000_000;

/// What all schedulers together came to.
#[derive(Default)]
pub struct FleetSummary {
    runs: HashMap<String, Run>,
    names: std::collections::BTreeSet<String>,
    /// Seconds of wall clock to what happened in them.
    seconds: BTreeMap<u64, Window>,
    workers: BTreeMap<String, Worker>,
    /// Lines that are no records: logs, and torn ends.
    others: u64,
}

/// One start of one scheduler.
#[derive(Default)]
struct Run {
    next: u64,
    missing: u64,
    /// The estimate of each flow's last decision, until it is sent.
    estimates: HashMap<String, u64>,
    /// Schedulings that are out, with their estimates, by flow and attempt.
    out: HashMap<(String, u32), Option<u64>>,
}

#[derive(Clone)]
struct Window {
    taken: u64,
    sent: u64,
    lists: u64,
    answers: BTreeMap<String, u64>,
    refusals: BTreeMap<String, u64>,
    ends: BTreeMap<String, u64>,
    /// How long served flows took, in microseconds.
    served_us: Histogram<u64>,
}

impl Default for Window {
    fn default() -> Window {
        let served_us =
            Histogram::new_with_max(LONGEST_US, 2).unwrap_or_else(|_| unreachable!("good bounds"));
        let empty = BTreeMap::new;
        let (answers, refusals, ends) = (empty(), empty(), empty());
        Window { taken: 0, sent: 0, lists: 0, answers, refusals, ends, served_us }
    }
}

#[derive(Default)]
struct Worker {
    sent: u64,
    /// When a scheduling began (+1) or ended (-1) here.
    steps: Vec<(u64, i32)>,
    ends: BTreeMap<String, u64>,
    /// Time that served schedulings took against their estimate, in parts of a hundred.
    against: Option<Histogram<u64>>,
}

impl Worker {
    /// The most schedulings of all schedulers that were out here at once.
    fn most_out(&self) -> i32 {
        let mut steps = self.steps.clone();
        // Of one instant, ends come first.
        steps.sort_unstable();
        let (mut now, mut most) = (0, 0);
        for (_, step) in steps {
            now += step;
            most = most.max(now);
        }
        most
    }
}

impl FleetSummary {
    /// Takes a line of some scheduler's stream. Lines of one run come in the order written.
    pub fn add(&mut self, line: &Line) {
        match line {
            Line::Record(record) => self.record(record),
            Line::UnknownKind { .. } => {}
            Line::Invalid { .. } | Line::Truncated => self.others += 1,
        }
    }

    fn record(&mut self, record: &Record) {
        let run = self.runs.entry(record.run_id.clone()).or_default();
        run.missing += record.sequence.saturating_sub(run.next);
        run.next = run.next.max(record.sequence + 1);
        let now = record.unix_us;
        let second = self.seconds.entry(now / 1_000_000).or_default();
        match &record.event {
            EventKind::RunStarted { name, .. } => {
                self.names.insert(name.clone());
            }
            EventKind::RequestAccepted { .. } => second.taken += 1,
            EventKind::EndpointsChanged { form, .. } => second.lists += u64::from(form != "remembered"),
            EventKind::Decided { request_id: flow, decision: choice } => match choice {
                Decision::Send { estimate_us, .. } => {
                    run.estimates.insert(flow.clone(), *estimate_us);
                }
                Decision::Reject { reason: why, .. } => *second.refusals.entry(why.clone()).or_default() += 1,
                Decision::Fail | Decision::Cancel { .. } => {}
            },
            EventKind::AttemptSent { request_id: flow, attempt, worker: real_server } => {
                second.sent += 1;
                run.out.insert((flow.clone(), *attempt), run.estimates.remove(flow));
                let worker = self.workers.entry(real_server.clone()).or_default();
                worker.sent += 1;
                worker.steps.push((now, 1));
            }
            EventKind::AttemptEnded {
                request_id: flow,
                attempt,
                worker: real_server,
                outcome,
                elapsed_us,
                ..
            } => {
                *second.ends.entry(outcome.clone()).or_default() += 1;
                let worker = self.workers.entry(real_server.clone()).or_default();
                *worker.ends.entry(outcome.clone()).or_default() += 1;
                // One whose sending is not here was not counted as out either.
                let Some(estimate) = run.out.remove(&(flow.clone(), *attempt)) else { return };
                worker.steps.push((now, -1));
                if let Some(estimate) = estimate.filter(|_| outcome == "served") {
                    let against = worker.against.get_or_insert_with(|| Window::default().served_us);
                    against.saturating_record(elapsed_us.saturating_mul(100) / estimate.max(1));
                }
            }
            EventKind::RequestFinished { response: answer, elapsed_since_accepted_us: after_us, .. } => {
                *second.answers.entry(answer.clone()).or_default() += 1;
                if answer == "served" {
                    second.served_us.saturating_record(*after_us);
                }
            }
            EventKind::RunEnded { .. } | EventKind::CounterReached { .. } | EventKind::Gap { .. } => {}
        }
    }

    /// The sums as text: a line for each `window` seconds (at least one), then one for each worker, those
    /// with the most jobs out at once first, `workers` of them at the most.
    pub fn to_text(&self, window: u64, workers: usize) -> String {
        let mut text = String::new();
        let missing: u64 = self.runs.values().map(|run| run.missing).sum();
        let (names, runs, others) = (self.names.len(), self.runs.len(), self.others);
        let _ = writeln!(
            text,
            "{names} schedulers, {runs} runs, {missing} records missing, {others} other lines"
        );
        let list = |of: &BTreeMap<String, u64>| {
            of.iter().map(|(name, count)| format!("{name} {count}")).collect::<Vec<_>>().join(", ")
        };
        let Some((&first, _)) = self.seconds.first_key_value() else { return text };
        let mut windows: BTreeMap<u64, Window> = BTreeMap::new();
        for (second, of) in &self.seconds {
            let sum = windows.entry((second - first) / window.max(1) * window.max(1)).or_default();
            sum.taken += of.taken;
            sum.sent += of.sent;
            sum.lists += of.lists;
            for (into, from) in [
                (&mut sum.answers, &of.answers),
                (&mut sum.refusals, &of.refusals),
                (&mut sum.ends, &of.ends),
            ] {
                for (name, count) in from {
                    *into.entry(name.clone()).or_default() += count;
                }
            }
            // Both have the same bounds.
            let _ = sum.served_us.add(&of.served_us);
        }
        for (from, of) in &windows {
            let at = |quantile| of.served_us.value_at_quantile(quantile) as f64 / 1e3;
            let _ = writeln!(
                text,
                "{from:>5} s: taken {}, sent {}, lists {}; answers: {}; refused for: {}; schedulings: {}; \
                 served in {:.0} ms (median), {:.0} ms (99%)",
                of.taken,
                of.sent,
                of.lists,
                list(&of.answers),
                list(&of.refusals),
                list(&of.ends),
                at(0.5),
                at(0.99),
            );
        }
        let sent: u64 = self.workers.values().map(|worker| worker.sent).sum();
        let mut by_most: Vec<_> = self.workers.iter().map(|(name, of)| (of.most_out(), name, of)).collect();
        by_most.sort_by(|a, b| b.0.cmp(&a.0).then(a.1.cmp(b.1)));
        for (most, name, of) in by_most.iter().take(workers) {
            let share = 100.0 * of.sent as f64 / sent.max(1) as f64;
            let against = of.against.as_ref().map_or(String::new(), |of| {
                let at = |quantile| of.value_at_quantile(quantile) as f64 / 100.0;
                format!("; took {:.2} of the estimate (median), {:.2} (90%)", at(0.5), at(0.9))
            });
            let _ = writeln!(
                text,
                "worker {name}: sent {} ({share:.1} %), at most {most} out at once; {}{against}",
                of.sent,
                list(&of.ends),
            );
        }
        if by_most.len() > workers {
            let _ = writeln!(text, "{} more workers", by_most.len() - workers);
        }
        text
    }
}
