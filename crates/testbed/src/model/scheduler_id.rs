//! IDs of the schedulers of a run, and which scheduler a client reaches.

/// ID of a scheduler: its index among the scenario's schedulers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct SchedulerId(pub u32);

impl SchedulerId {
    /// Returns the IDs of the first `count` schedulers, in order.
    pub fn first(count: u32) -> impl Iterator<Item = SchedulerId> + Clone {
        (0..count).map(SchedulerId)
    }

    /// Returns the scheduler's index in a list of all schedulers.
    pub fn index(self) -> usize {
        self.0 as usize
    }

    /// Returns the scheduler's zone; schedulers are assigned to the zones in turn.
    pub fn zone(self, zones: u32) -> u32 {
        self.0 % zones
    }

    /// Returns the scheduler to which the clients of `self` send requests: `self` if it accepts requests,
    /// otherwise the next accepting scheduler in the zone of `self`, otherwise the next accepting scheduler
    /// in any zone. The order is by ID, and wraps around. Returns `self` if no scheduler accepts requests.
    pub fn reachable(self, count: u32, zones: u32, accepts: impl Fn(SchedulerId) -> bool) -> SchedulerId {
        let candidates = (0..count).map(|step| SchedulerId((self.0 + step) % count));
        let mut accepting = candidates.filter(|candidate| accepts(*candidate));
        let mut in_zone = accepting.clone().filter(|candidate| candidate.zone(zones) == self.zone(zones));
        in_zone.next().or_else(|| accepting.next()).unwrap_or(self)
    }
}
