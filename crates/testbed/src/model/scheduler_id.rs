//! The ID of a scheduler, and the rule that decides to which scheduler a client sends its requests.

/// ID of a scheduler. The schedulers of a run are numbered from 0.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct SchedulerId(pub u32);

impl SchedulerId {
    /// Returns the scheduler IDs from 0 to `count - 1`.
    pub fn first(count: u32) -> impl Iterator<Item = SchedulerId> + Clone {
        (0..count).map(SchedulerId)
    }

    /// Returns the scheduler's position in a list of all schedulers.
    pub fn index(self) -> usize {
        self.0 as usize
    }

    /// Returns the index of the scheduler's zone in a scenario with `zones` zones. Schedulers are assigned to
    /// the zones in turn.
    pub fn zone(self, zones: u32) -> u32 {
        self.0 % zones
    }

    /// Returns the scheduler to which the clients of scheduler `self` send their requests.
    ///
    /// This is `self` if `self` accepts requests. Otherwise it is the next scheduler by ID that accepts
    /// requests, preferably one in the zone of `self`. After the last ID, the search continues with ID 0.
    /// Returns `self` if no scheduler accepts requests.
    pub fn reachable(self, count: u32, zones: u32, accepts: impl Fn(SchedulerId) -> bool) -> SchedulerId {
        let candidates = (0..count).map(|step| SchedulerId((self.0 + step) % count));
        let mut accepting = candidates.filter(|candidate| accepts(*candidate));
        let mut in_zone = accepting.clone().filter(|candidate| candidate.zone(zones) == self.zone(zones));
        in_zone.next().or_else(|| accepting.next()).unwrap_or(self)
    }
}
