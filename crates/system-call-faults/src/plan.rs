//! The fault plan: parses its text, and selects the fault to inject into each call.
use std::collections::HashMap;
use std::fmt;
use std::net::SocketAddrV4;
use std::path::PathBuf;
use std::str::FromStr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use crate::call::{Call, SocketKind, Target};
use crate::errno::Errno;

/// A fault that the fault plan injects into a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Fault {
    /// The call fails with this error number.
    Fail(Errno),
    /// The call transfers at most this many bytes.
    Short(usize),
    /// The process is killed by SIGKILL before the call is carried out.
    Kill,
}

impl fmt::Display for Fault {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Fault::Fail(errno) => formatter.write_str(errno.name()),
            Fault::Short(bytes) => write!(formatter, "short {bytes}"),
            Fault::Kill => formatter.write_str("kill"),
        }
    }
}

/// The targets to which a rule of the fault plan applies.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum TargetPattern {
    Any,
    Socket(SocketKind),
    /// The rule applies to files whose path ends with this text.
    FileSuffix(String),
}

impl TargetPattern {
    fn matches(&self, target: Target<'_>) -> bool {
        match (self, target) {
            (TargetPattern::Any, _) => true,
            (TargetPattern::Socket(wanted), Target::Socket(kind)) => *wanted == kind,
            (TargetPattern::FileSuffix(suffix), Target::File(path)) => path.ends_with(suffix.as_str()),
            _ => false,
        }
    }
}

/// Which calls get the fault of a rule, by their number. All calls that match the rule are numbered from 1.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Selection {
    /// The calls with the numbers from `first` to `last`, both included, get the fault.
    Range { first: u64, last: u64 },
    /// The calls whose number is a multiple of this number get the fault.
    Every(u64),
}

impl Selection {
    fn contains(self, number: u64) -> bool {
        match self {
            Selection::Range { first, last } => (first..=last).contains(&number),
            Selection::Every(step) => number.is_multiple_of(step),
        }
    }
}

/// A rule of the fault plan. It injects a fault into the selected calls of one kind on the targets that
/// match.
#[derive(Debug)]
pub(crate) struct Rule {
    pub(crate) call: Call,
    pub(crate) pattern: TargetPattern,
    pub(crate) fault: Fault,
    pub(crate) selection: Selection,
    /// The number of calls that have matched this rule so far. The next matching call gets the next number.
    matched: AtomicU64,
}

/// An offset of the wall clock, and the time after which it applies. That time is counted from the loading of
/// the fault plan.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct ClockOffset {
    pub(crate) since_start: Duration,
    pub(crate) nanoseconds: i64,
}

/// A fault plan as parsed from its text file.
#[derive(Debug, Default)]
pub(crate) struct Plan {
    pub(crate) log_path: Option<PathBuf>,
    addresses: HashMap<SocketAddrV4, SocketKind>,
    rules: Vec<Rule>,
    clock_offsets: Vec<ClockOffset>,
}

/// The reason why the text of a fault plan is not valid.
#[derive(Debug, PartialEq, Eq)]
pub(crate) struct PlanError {
    /// The number of the invalid line in the fault plan, counted from 1.
    pub(crate) line: usize,
    pub(crate) reason: String,
}

impl fmt::Display for PlanError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "line {}: {}", self.line, self.reason)
    }
}

impl FromStr for Plan {
    type Err = PlanError;

    fn from_str(text: &str) -> Result<Plan, PlanError> {
        let mut plan = Plan::default();
        for (number, line) in (1..).zip(text.lines()) {
            let statement = line.split('#').next().unwrap_or_default();
            let words: Vec<&str> = statement.split_whitespace().collect();
            plan.add(&words).map_err(|reason| PlanError { line: number, reason })?;
        }
        plan.clock_offsets.sort_by_key(|offset| offset.since_start);
        Ok(plan)
    }
}

impl Plan {
    fn add(&mut self, words: &[&str]) -> Result<(), String> {
        match *words {
            [] => {}
            ["log", path] => self.log_path = Some(path.into()),
            ["address", kind, address] => {
                let address =
                    address.parse().map_err(|_| format!("invalid IPv4 address and port: {address}"))?;
                self.addresses.insert(address, parse_socket_kind(kind)?);
            }
            ["fail", call, pattern, errno, ref when @ ..] => {
                let errno = Errno::from_name(errno).ok_or_else(|| format!("unknown errno: {errno}"))?;
                self.rules.push(parse_rule(call, pattern, Fault::Fail(errno), when)?);
            }
            ["short", call, pattern, bytes, ref when @ ..] => {
                let bytes = parse_positive(bytes)?;
                let fault = Fault::Short(usize::try_from(bytes).unwrap_or(usize::MAX));
                let rule = parse_rule(call, pattern, fault, when)?;
                if !rule.call.transfers_bytes() {
                    return Err(format!("call transfers no bytes: {call}"));
                }
                self.rules.push(rule);
            }
            ["kill", call, pattern, ref when @ ..] => {
                self.rules.push(parse_rule(call, pattern, Fault::Kill, when)?);
            }
            ["clock", offset, "at", since_start] => {
                let nanoseconds = parse_seconds(offset)?;
                let since_start = u64::try_from(parse_seconds(since_start)?)
                    .map_err(|_| format!("time before the start: {since_start}"))?;
                let since_start = Duration::from_nanos(since_start);
                self.clock_offsets.push(ClockOffset { since_start, nanoseconds });
            }
            _ => return Err(format!("unknown statement: {}", words.join(" "))),
        }
        Ok(())
    }

    /// Returns the kind that the fault plan assigns to sockets that are bound or connected to this address.
    /// Returns `None` if the plan assigns no kind.
    pub(crate) fn kind_at(&self, address: SocketAddrV4) -> Option<SocketKind> {
        self.addresses.get(&address).copied()
    }

    /// Whether the fault plan has a rule for this kind of call.
    pub(crate) fn has_rule_for(&self, call: Call) -> bool {
        self.rules.iter().any(|rule| rule.call == call)
    }

    /// Counts a call in all rules that match it. Returns the fault of the first rule that selects the call.
    pub(crate) fn next_fault(&self, call: Call, target: Target<'_>) -> Option<Fault> {
        let matching = self.rules.iter().filter(|rule| rule.call == call && rule.pattern.matches(target));
        let mut fault = None;
        for rule in matching {
            let number = rule.matched.fetch_add(1, Ordering::Relaxed) + 1;
            if rule.selection.contains(number) {
                fault = fault.or(Some(rule.fault));
            }
        }
        fault
    }

    /// Returns the offset of the wall clock, in nanoseconds, at the time `since_start` after the fault plan
    /// was loaded.
    pub(crate) fn clock_offset(&self, since_start: Duration) -> i64 {
        let reached = self.clock_offsets.iter().take_while(|offset| offset.since_start <= since_start);
        reached.last().map_or(0, |offset| offset.nanoseconds)
    }
}

fn parse_rule(call: &str, pattern: &str, fault: Fault, when: &[&str]) -> Result<Rule, String> {
    let call = Call::from_name(call).ok_or_else(|| format!("unknown call: {call}"))?;
    let pattern = match (pattern, pattern.strip_prefix("file:")) {
        ("any", _) => TargetPattern::Any,
        (_, Some(suffix)) => TargetPattern::FileSuffix(suffix.to_owned()),
        _ => TargetPattern::Socket(parse_socket_kind(pattern)?),
    };
    Ok(Rule { call, pattern, fault, selection: parse_selection(when)?, matched: AtomicU64::new(0) })
}

fn parse_selection(words: &[&str]) -> Result<Selection, String> {
    match *words {
        ["every", step] => Ok(Selection::Every(parse_positive(step)?)),
        ["calls", range] => {
            let (first, last) = range.split_once("..").unwrap_or((range, range));
            let first = parse_positive(first)?;
            let last = if last.is_empty() { u64::MAX } else { parse_positive(last)? };
            Ok(Selection::Range { first, last })
        }
        _ => Err(format!("invalid selection of calls: {}", words.join(" "))),
    }
}

fn parse_socket_kind(name: &str) -> Result<SocketKind, String> {
    SocketKind::from_name(name).ok_or_else(|| format!("unknown kind: {name}"))
}

fn parse_positive(text: &str) -> Result<u64, String> {
    text.parse().ok().filter(|number| *number > 0).ok_or_else(|| format!("not a positive integer: {text}"))
}

/// Parses a decimal number of seconds, such as `-1.5s`, and returns it in nanoseconds. The sign is optional;
/// the suffix `s` is required.
fn parse_seconds(text: &str) -> Result<i64, String> {
    let seconds = text.strip_suffix('s').and_then(|seconds| seconds.parse::<f64>().ok());
    let seconds = seconds.filter(|seconds| seconds.is_finite());
    seconds.map(|seconds| (seconds * 1e9) as i64).ok_or_else(|| format!("invalid number of seconds: {text}"))
}

#[cfg(test)]
#[path = "../tests/unit/plan.rs"]
mod tests;
