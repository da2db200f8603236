//! The search for the candidates whose displacement frees enough slots at the least cost: the fewest
//! slot-milliseconds, then the fewest occurrences, then those that come last in rank.
//!
//! It is exact among up to [`MAX_SEARCHED_CANDIDATES`] candidates and within [`MAX_SEARCH_WORK`] steps.
//! Beyond these bounds the best cover found so far is taken, at worst the greedy one.
use std::ops::Range;

/// Steps of a search, counted in segments looked at.
const MAX_SEARCH_WORK: usize = 20_000_000;
/// With more candidates only the greedy cover is taken. This bounds the depth of the recursion.
const MAX_SEARCHED_CANDIDATES: usize = 256;

/// An occurrence that may be displaced.
#[derive(Clone, Debug)]
pub(crate) struct Candidate {
    /// The slot-milliseconds that it loses.
    pub(crate) cost: u64,
    pub(crate) usages: Vec<Usage>,
}

/// The slots that a candidate has in a range of segments.
#[derive(Clone, Debug)]
pub(crate) struct Usage {
    pub(crate) segments: Range<usize>,
    pub(crate) slots: i64,
}

/// Candidates whose displacement covers the shortage, by index in ascending order.
#[derive(Clone, Debug)]
struct Cover {
    cost: u64,
    candidates: Vec<usize>,
}

/// The candidates to displace for a shortage, given in slots for each segment; none where nothing is short.
pub(crate) fn find_displacement(mut shortage: Vec<i64>, candidates: &[Candidate]) -> Vec<usize> {
    if shortage.iter().all(|&slots| slots <= 0) {
        return Vec::new();
    }
    let greedy = greedy_cover(&shortage, candidates);
    if candidates.len() > MAX_SEARCHED_CANDIDATES {
        return greedy;
    }
    let cost = greedy.iter().map(|&index| candidates[index].cost).sum();
    let mut search = DisplacementSearch {
        candidates,
        shortage: &mut shortage,
        is_decided: vec![false; candidates.len()],
        chosen: Vec::new(),
        best: Cover { cost, candidates: greedy },
        work: 0,
    };
    search.search_covers(0);
    search.best.candidates
}

fn displace(shortage: &mut [i64], candidate: &Candidate) {
    for usage in &candidate.usages {
        shortage[usage.segments.clone()].iter_mut().for_each(|slots| *slots -= usage.slots);
    }
}

fn restore(shortage: &mut [i64], candidate: &Candidate) {
    for usage in &candidate.usages {
        shortage[usage.segments.clone()].iter_mut().for_each(|slots| *slots += usage.slots);
    }
}

/// The first candidates that have what is short, without those that turn out not to be needed.
fn greedy_cover(shortage: &[i64], candidates: &[Candidate]) -> Vec<usize> {
    let mut shortage = shortage.to_vec();
    let mut chosen = Vec::new();
    for (index, candidate) in candidates.iter().enumerate() {
        let is_short = |usage: &Usage| shortage[usage.segments.clone()].iter().any(|&slots| slots > 0);
        if candidate.usages.iter().any(is_short) {
            chosen.push(index);
            displace(&mut shortage, candidate);
        }
    }
    for index in chosen.clone().into_iter().rev() {
        let candidate = &candidates[index];
        let is_needed =
            |usage: &Usage| shortage[usage.segments.clone()].iter().any(|&slots| slots + usage.slots > 0);
        if !candidate.usages.iter().any(is_needed) {
            restore(&mut shortage, candidate);
            chosen.retain(|&each| each != index);
        }
    }
    chosen
}

/// A depth-first search with branch and bound.
struct DisplacementSearch<'a> {
    candidates: &'a [Candidate],
    /// What is still short after the chosen candidates.
    shortage: &'a mut [i64],
    /// Chosen, or left out on this branch.
    is_decided: Vec<bool>,
    chosen: Vec<usize>,
    best: Cover,
    work: usize,
}

impl DisplacementSearch<'_> {
    /// Covers the first segment that is short by each candidate in turn, and searches on from there.
    fn search_covers(&mut self, cost: u64) {
        self.work += self.shortage.len();
        let Some(segment) = self.shortage.iter().position(|&slots| slots > 0) else {
            self.consider_chosen(cost);
            return;
        };
        let candidates = self.candidates;
        let mut left_out = Vec::new();
        for (index, candidate) in candidates.iter().enumerate() {
            let covers_segment = candidate.usages.iter().any(|usage| usage.segments.contains(&segment));
            if self.is_decided[index] || !covers_segment {
                continue;
            }
            self.is_decided[index] = true;
            left_out.push(index);
            let next_cost = cost.saturating_add(candidate.cost);
            if self.may_improve(next_cost) {
                self.chosen.push(index);
                displace(self.shortage, candidate);
                self.search_covers(next_cost);
                restore(self.shortage, candidate);
                self.chosen.pop();
            }
        }
        for index in left_out {
            self.is_decided[index] = false;
        }
    }

    /// Whether one more candidate may lead to a better cover. It may not when the work is used up: then the
    /// best cover so far stands, which may not be the least.
    fn may_improve(&self, next_cost: u64) -> bool {
        let best = (self.best.cost, self.best.candidates.len());
        (next_cost, self.chosen.len() + 1) <= best && self.work < MAX_SEARCH_WORK
    }

    /// Takes the chosen candidates as the best cover if they are better.
    fn consider_chosen(&mut self, cost: u64) {
        let mut candidates = self.chosen.clone();
        candidates.sort_unstable();
        let best = &self.best;
        let best_key = (best.cost, best.candidates.len(), &best.candidates);
        if (cost, candidates.len(), &candidates) < best_key {
            self.best = Cover { cost, candidates };
        }
    }
}
