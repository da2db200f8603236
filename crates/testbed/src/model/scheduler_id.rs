//! Names a scheduler of a run, and says whom its clients reach.

/// A scheduler, by its position among the scenario's schedulers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct SchedulerId(pub u32);

impl SchedulerId {
    /// So many schedulers, in order.
    pub fn first(count: u32) -> impl Iterator<Item = SchedulerId> + Clone {
        (0..count).map(SchedulerId)
    }

    /// Its position in a list of the schedulers.
    pub fn index(self) -> usize {
        self.0 as usize
    }

    /// Its zone: schedulers are dealt to the zones in turn.
    pub fn zone(self, zones: u32) -> u32 {
        self.0 % zones
    }

    /// The scheduler that its clients reach: this one, or the next of its zone that accepts requests, or the
    /// next of any zone; this one if none does.
    pub fn reachable(self, count: u32, zones: u32, accepts: impl Fn(SchedulerId) -> bool) -> SchedulerId {
        let candidates = (0..count).map(|step| SchedulerId((self.0 + step) % count));
        let mut accepting = candidates.filter(|candidate| accepts(*candidate));
        let mut in_zone = accepting.clone().filter(|candidate| candidate.zone(zones) == self.zone(zones));
        in_zone.next().or_else(|| accepting.next()).unwrap_or(self)
    }
}
