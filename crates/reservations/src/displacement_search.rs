//! Search for the occurrences to displace, so that enough slots become free at the least cost. An occurrence
//! is one interval of a reservation; a candidate is an occurrence that may be displaced.
//!
//! The cost of a displacement is the sum over all displaced allocations of slots times duration, in
//! slot-milliseconds. Among displacements of equal cost, the one with fewer occurrences is better. If these
//! numbers are equal too, it is better to displace the occurrences that would be later to get slots, in the
//! order of [`Rank`](crate::claim::Rank).
//!
//! The interval for which slots are needed is divided into segments, within which the number of free slots is
//! constant. The result is optimal for up to [`MAX_SEARCHED_CANDIDATES`] candidates if the search examines
//! fewer than [`MAX_SEARCH_WORK`] segments. Beyond these bounds, the result is the best set of candidates
//! found so far. It is never worse than the result of a greedy search.
use std::ops::Range;

/// The maximum number of segments that one displacement search examines. A segment is a part of the requested
/// interval within which the number of free slots is constant. If a segment is examined several times, each
/// time counts.
const MAX_SEARCH_WORK: usize = 20_000_000;
/// The largest number of candidates for which the branch-and-bound search is used. A candidate is an interval
/// of a reservation that may be displaced. The recursion of the search is at most as deep as there are
/// candidates. For a larger number, only the greedy search is used.
const MAX_SEARCHED_CANDIDATES: usize = 256;

/// An occurrence that may be displaced; an occurrence is one interval of a reservation. A slice of candidates
/// is always ordered by [`Rank`](crate::claim::Rank): the occurrence that would be the last to get slots
/// comes first.
#[derive(Clone, Debug)]
pub(crate) struct Candidate {
    /// The cost of displacing the occurrence: the slot-milliseconds that it would lose.
    pub(crate) cost: u64,
    pub(crate) usages: Vec<Usage>,
}

/// The slots that one allocation of a candidate occupies, and the range of segments over which it occupies
/// them. A segment is a part of the requested interval within which the number of free slots is constant.
#[derive(Clone, Debug)]
pub(crate) struct Usage {
    pub(crate) segments: Range<usize>,
    pub(crate) slots: i64,
}

/// A set of occurrences whose displacement frees all missing slots. They are given by their indices in the
/// list of candidates, in ascending order.
#[derive(Clone, Debug)]
struct Cover {
    cost: u64,
    candidates: Vec<usize>,
}

/// Returns the indices of the candidates to displace, in ascending order. A candidate is an occurrence that
/// may be displaced. `shortage` lists the number of missing slots for each segment, which is a part of the
/// requested interval; the number is 0 or less where enough slots are free.
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

/// Greedily chooses occurrences whose displacement frees the missing slots, and returns their indices in
/// `candidates`, in ascending order. First, goes through the candidates in the given order and takes each one
/// that frees a missing slot. Then goes through the taken candidates in reverse order and drops each one that
/// is not needed.
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

/// The state of the branch-and-bound search for the occurrences to displace. The search starts from the set
/// that the greedy search has found, and tries other sets depth-first to find a better one.
struct DisplacementSearch<'a> {
    candidates: &'a [Candidate],
    /// The number of slots that are still missing in each part of the requested interval, once the chosen
    /// occurrences are displaced.
    shortage: &'a mut [i64],
    /// For each occurrence that may be displaced, whether the current branch of the search skips it, because
    /// it is already chosen or was already tried.
    is_decided: Vec<bool>,
    chosen: Vec<usize>,
    best: Cover,
    work: usize,
}

impl DisplacementSearch<'_> {
    /// Searches for a better set of candidates whose displacement frees all missing slots, and stores it as
    /// the best set. Candidates are occurrences of reservations that may be displaced.
    ///
    /// Takes the first part of the requested interval in which slots are missing, and chooses in turn each
    /// candidate that occupies slots there. With each choice, continues recursively until no slots are
    /// missing. `cost` is the cost of the candidates chosen so far, in slot-milliseconds.
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

    /// Whether it can be useful to displace one more occurrence, which makes the total cost `next_cost`, in
    /// slot-milliseconds. Returns false if the result could not be better than the best set found so far.
    /// Also returns false once [`MAX_SEARCH_WORK`] is reached; the search then ends, and its result may not
    /// be optimal.
    fn may_improve(&self, next_cost: u64) -> bool {
        let best = (self.best.cost, self.best.candidates.len());
        (next_cost, self.chosen.len() + 1) <= best && self.work < MAX_SEARCH_WORK
    }

    /// Stores the candidates in `self.chosen`, which are to be displaced, as the best set found so far if
    /// they are better than that set. A set of lower cost is better. At equal cost, the set with fewer
    /// candidates is better, and else the set whose sorted list of indices is lexicographically smaller.
    /// `cost` is the cost of `self.chosen`.
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
