//! Search for the candidates whose displacement frees enough slots at the least cost.
//!
//! The cost of a displacement is the sum of the displaced slots times their durations, in slot-milliseconds.
//! At the same cost, displacing fewer occurrences is better, then displacing those that come last in rank.
//!
//! The result is optimal for up to [`MAX_SEARCHED_CANDIDATES`] candidates if the search examines fewer than
//! [`MAX_SEARCH_WORK`] segments. Beyond these bounds, the result is the best set of candidates found so far,
//! at worst the result of a greedy search.
use std::ops::Range;

/// The maximum work of a search, in segments examined.
const MAX_SEARCH_WORK: usize = 20_000_000;
/// The number of candidates above which only the greedy search is used. This limit bounds the depth of the
/// recursion.
const MAX_SEARCHED_CANDIDATES: usize = 256;

/// An occurrence that may be displaced. Every slice of candidates is in reverse order of rank: the
/// occurrences that are the last to get slots come first.
#[derive(Clone, Debug)]
pub(crate) struct Candidate {
    /// The slot-milliseconds that the occurrence would lose.
    pub(crate) cost: u64,
    pub(crate) usages: Vec<Usage>,
}

/// The slots that a candidate occupies in a range of segments.
#[derive(Clone, Debug)]
pub(crate) struct Usage {
    pub(crate) segments: Range<usize>,
    pub(crate) slots: i64,
}

/// A set of candidates, by ascending index, whose displacement frees the missing slots.
#[derive(Clone, Debug)]
struct Cover {
    cost: u64,
    candidates: Vec<usize>,
}

/// The indices of the candidates to displace, in ascending order. `shortage` is the number of missing slots
/// in each segment; it is 0 or less where enough are free.
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

/// Greedily chooses candidates whose displacement frees the missing slots, and returns their indices in
/// ascending order. First takes, in the given order, each candidate that frees a missing slot. Then goes
/// through the taken candidates in reverse order, and drops each candidate that is not needed.
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

/// The state of a depth-first branch-and-bound search.
struct DisplacementSearch<'a> {
    candidates: &'a [Candidate],
    /// The slots that are still missing in each segment once the chosen candidates are displaced.
    shortage: &'a mut [i64],
    /// For each candidate, whether the current branch has already chosen or excluded the candidate.
    is_decided: Vec<bool>,
    chosen: Vec<usize>,
    best: Cover,
    work: usize,
}

impl DisplacementSearch<'_> {
    /// Tries each candidate that frees slots in the first segment with a shortage, and continues recursively.
    fn search_covers(&mut self, cost: u64) {
        self.work += self.shortage.len();
        let Some(segment) = self.shortage.iter().position(|&slots| slots > 0) else {
            self.consider_chosen(cost);
            return;
        };
        let candidates = self.candidates;
        let mut excluded = Vec::new();
        for (index, candidate) in candidates.iter().enumerate() {
            let covers_segment = candidate.usages.iter().any(|usage| usage.segments.contains(&segment));
            if self.is_decided[index] || !covers_segment {
                continue;
            }
            self.is_decided[index] = true;
            excluded.push(index);
            let next_cost = cost.saturating_add(candidate.cost);
            if self.may_improve(next_cost) {
                self.chosen.push(index);
                displace(self.shortage, candidate);
                self.search_covers(next_cost);
                restore(self.shortage, candidate);
                self.chosen.pop();
            }
        }
        for index in excluded {
            self.is_decided[index] = false;
        }
    }

    /// Whether a branch with one more candidate, at a total cost of `next_cost`, may lead to a better set of
    /// candidates. Returns false once [`MAX_SEARCH_WORK`] is reached, which ends the search with a result
    /// that may not be optimal.
    fn may_improve(&self, next_cost: u64) -> bool {
        let best = (self.best.cost, self.best.candidates.len());
        (next_cost, self.chosen.len() + 1) <= best && self.work < MAX_SEARCH_WORK
    }

    /// Replaces the best cover by the chosen candidates if they are better.
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
