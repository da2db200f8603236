//! What of a claim fits, and whom it displaces for that: a pure search.
//!
//! 1. What is granted is the most that fits if every candidate made room: all of it, or else what it accepts.
//! 2. For that the least is displaced: the fewest slot-milliseconds, then the fewest occurrences, then those
//!    that come last in rank.
//!
//! The search is exact among up to [`MOST_SEARCHED`] candidates and within [`WORK`] steps; beyond, the best that
//! it found stands, at the least the first cover: whoever comes first, without those that are not needed.
use crate::{Allocation, Flexibility, Interval};

/// Steps of the search for the least displacement: stretches looked at.
const MAX_SEARCH_WORK: usize = 20_000_000;
/// With more candidates than this only the first cover is taken. Guards the search's depth.
const MAX_SEARCHED_CANDIDATES: usize = 256;
/// No more than this are candidates, those that come first; the others stand.
pub(crate) const MAX_CANDIDATES: usize = 1_024;

/// A stretch within which nothing changes.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Segment {
    pub(crate) interval: Interval,
    /// Slots that nobody has; under 0 where slots went.
    pub(crate) free: i64,
    /// Under a blackout: nothing is granted.
    pub(crate) blocked: bool,
}

/// An occurrence that may be displaced.
#[derive(Clone, Debug)]
pub(crate) struct Candidate {
    /// What it has in all.
    pub(crate) cost: u64,
    /// From a stretch to before another it has so many slots.
    pub(crate) usages: Vec<(usize, usize, i64)>,
}

/// What is granted, and the candidates that make room, in order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct AllocationPlan {
    pub(crate) allocations: Vec<Allocation>,
    pub(crate) victims: Vec<usize>,
    pub(crate) is_complete: bool,
}

/// Plans a claim for `slots` over the stretches. Candidates come in order: those that make room first are first.
///
/// # Errors
/// The first stretch in which it does not fit.
pub(crate) fn plan(
    slots: u32,
    accepts: Flexibility,
    stretches: &[Segment],
    candidates: &[Candidate],
) -> Result<AllocationPlan, Interval> {
    let mut most: Vec<i64> =
        stretches.iter().map(|each| if each.blocked { 0 } else { each.free.max(i64::MIN / 4) }).collect();
    for &(from, to, has) in candidates.iter().flat_map(|each| &each.usages) {
        for index in from..to {
            most[index] += if stretches[index].blocked { 0 } else { has };
        }
    }
    let (wanted, whole) = target(slots, accepts, stretches, &most)?;
    let mut need: Vec<i64> = stretches
        .iter()
        .zip(&wanted)
        .map(|(stretch, &wanted)| if wanted == 0 { 0 } else { wanted - stretch.free })
        .collect();
    let victims = if need.iter().all(|&each| each <= 0) {
        Vec::new()
    } else {
        find_displacement(&mut need, candidates)
    };
    Ok(AllocationPlan { allocations: pieces(stretches, &wanted), victims, is_complete: whole })
}

/// The slots granted in each stretch, and whether that is all.
fn target(
    slots: u32,
    accepts: Flexibility,
    stretches: &[Segment],
    most: &[i64],
) -> Result<(Vec<i64>, bool), Interval> {
    let slots = i64::from(slots);
    let Some(blocked) = most.iter().position(|&each| each < slots) else {
        return Ok((vec![slots; most.len()], true));
    };
    let least = accepts.min_slots.map(|least| i64::from(least).min(slots));
    let wanted: Vec<i64> = match (least, accepts.allows_split) {
        (None, false) => Vec::new(),
        (None, true) => most.iter().map(|&each| if each >= slots { slots } else { 0 }).collect(),
        (Some(least), false) => {
            let level = most.iter().copied().min().unwrap_or(0).min(slots);
            if level >= least { vec![level; most.len()] } else { Vec::new() }
        }
        (Some(least), true) => {
            most.iter().map(|&each| if each >= least { each.min(slots) } else { 0 }).collect()
        }
    };
    if wanted.iter().any(|&each| each > 0) { Ok((wanted, false)) } else { Err(stretches[blocked].interval) }
}

fn pieces(stretches: &[Segment], wanted: &[i64]) -> Vec<Allocation> {
    let mut found: Vec<Allocation> = Vec::new();
    for (stretch, &wanted) in stretches.iter().zip(wanted) {
        let slots = u32::try_from(wanted).unwrap_or(0);
        match found.last_mut() {
            Some(last) if last.slots == slots && last.interval.end == stretch.interval.start => {
                last.interval.end = stretch.interval.end;
            }
            _ if slots == 0 => {}
            _ => found.push(Allocation { interval: stretch.interval, slots }),
        }
    }
    found
}

/// The candidates whose displacement covers all need at the least cost.
fn find_displacement(need: &mut [i64], candidates: &[Candidate]) -> Vec<usize> {
    let first = first_cover(need, candidates);
    if candidates.len() > MAX_SEARCHED_CANDIDATES {
        return first;
    }
    let cost = first.iter().map(|&each| candidates[each].cost).sum();
    let mut search = DisplacementSearch {
        candidates,
        need,
        decided: vec![false; candidates.len()],
        chosen: Vec::new(),
        best: (cost, first),
        work: 0,
    };
    search.step(0);
    search.best.1
}

fn change(need: &mut [i64], candidate: &Candidate, sign: i64) {
    for &(from, to, has) in &candidate.usages {
        need[from..to].iter_mut().for_each(|each| *each += sign * has);
    }
}

/// Whoever comes first and has what is needed, then without those that turned out not to be needed.
fn first_cover(need: &[i64], candidates: &[Candidate]) -> Vec<usize> {
    let mut need = need.to_vec();
    let mut taken = vec![false; candidates.len()];
    for (index, candidate) in candidates.iter().enumerate() {
        let mut takes = candidate.usages.iter();
        if takes.any(|&(from, to, _)| need[from..to].iter().any(|&each| each > 0)) {
            taken[index] = true;
            change(&mut need, candidate, -1);
        }
    }
    let mut chosen: Vec<usize> = (0..candidates.len()).filter(|&index| taken[index]).collect();
    for index in chosen.clone().into_iter().rev() {
        let needed = candidates[index]
            .usages
            .iter()
            .any(|&(from, to, has)| need[from..to].iter().any(|&each| each + has > 0));
        if !needed {
            change(&mut need, &candidates[index], 1);
            chosen.retain(|&each| each != index);
        }
    }
    chosen
}

struct DisplacementSearch<'a> {
    candidates: &'a [Candidate],
    need: &'a mut [i64],
    /// Chosen, or left out on this branch.
    decided: Vec<bool>,
    chosen: Vec<usize>,
    best: (u64, Vec<usize>),
    work: usize,
}

impl DisplacementSearch<'_> {
    fn step(&mut self, cost: u64) {
        self.work += self.need.len();
        let Some(stretch) = self.need.iter().position(|&each| each > 0) else {
            let mut victims = self.chosen.clone();
            victims.sort_unstable();
            let (best_cost, best) = &self.best;
            if (cost, victims.len(), &victims) < (*best_cost, best.len(), best) {
                self.best = (cost, victims);
            }
            return;
        };
        let candidates = self.candidates;
        let mut left_out = Vec::new();
        for (index, candidate) in candidates.iter().enumerate() {
            let covers = candidate.usages.iter().any(|&(from, to, _)| (from..to).contains(&stretch));
            if self.decided[index] || !covers {
                continue;
            }
            self.decided[index] = true;
            left_out.push(index);
            let next = cost.saturating_add(candidate.cost);
            // Guards against a search without end: what it has found is a cover, if not the least.
            if (next, self.chosen.len() + 1) <= (self.best.0, self.best.1.len())
                && self.work < MAX_SEARCH_WORK
            {
                self.chosen.push(index);
                change(self.need, candidate, -1);
                self.step(next);
                change(self.need, candidate, 1);
                self.chosen.pop();
            }
        }
        for index in left_out {
            self.decided[index] = false;
        }
    }
}
