//! The leader's record of one member: the versions that the member knows, and the leases that it may hold.
use std::collections::BTreeMap;

use crate::clock_comparison::ClockDrift;
use crate::packet::LeaseRequest;
use crate::settings::Settings;
use crate::time::{Micros, SECOND};
use crate::versioned_document::Version;

/// Only members that were heard from within this window are sent updates and counted in clock comparisons. A
/// member that the leader knows only from the membership list counts as heard from at the time when the
/// leader adds it.
const RECENT_WINDOW: Micros = 5 * SECOND;

/// One member's progress during one leader's term.
#[derive(Default)]
pub(crate) struct MemberProgress {
    session: u64,
    last_heard: Micros,
    in_force: Version,
    newest: Version,
    drift: Option<ClockDrift>,
    /// For each version, the time of the last lease grant at which that version was the newest.
    granted_at: BTreeMap<Version, Micros>,
    /// The time at which the member was last sent an update.
    last_update: Option<Micros>,
}

impl MemberProgress {
    /// Creates the progress of a member that the leader knows only from the membership list. The member
    /// counts as heard from at `now`.
    pub(crate) fn from_membership(now: Micros) -> MemberProgress {
        MemberProgress { last_heard: now, ..MemberProgress::default() }
    }

    pub(crate) fn record_request(&mut self, now: Micros, request: &LeaseRequest) {
        if self.session == request.session {
            self.in_force = self.in_force.max(request.in_force);
            self.newest = self.newest.max(request.newest);
        } else {
            // A new session means that the member has restarted and lost the versions and leases that it had.
            // The records of earlier grants are kept, which is safe because they can only delay an
            // activation.
            self.session = request.session;
            (self.in_force, self.newest) = (request.in_force, request.newest);
        }
        (self.last_heard, self.drift) = (now, request.drift);
    }

    pub(crate) fn record_grant(&mut self, now: Micros, newest: Version, settings: &Settings) {
        self.granted_at.insert(newest, now);
        self.forget_expired_grants(now, settings);
    }

    pub(crate) fn forget_expired_grants(&mut self, now: Micros, settings: &Settings) {
        self.granted_at.retain(|_, granted_at| may_be_leased(now, *granted_at, settings));
    }

    /// Whether this member permits the activation of the version: the member knows the version, or can no
    /// longer hold a lease that was granted while an older version was the newest.
    pub(crate) fn allows_activation(&self, version: Version, now: Micros, settings: &Settings) -> bool {
        let mut earlier = self.granted_at.iter().filter(|(newest, _)| **newest < version);
        self.newest >= version || !earlier.any(|(_, granted_at)| may_be_leased(now, *granted_at, settings))
    }

    pub(crate) fn is_recent(&self, now: Micros) -> bool {
        now.saturating_sub(self.last_heard) < RECENT_WINDOW
    }

    /// Whether the leader must still track the member: it was heard from recently, or may hold a lease.
    pub(crate) fn must_be_tracked(&self, now: Micros, settings: &Settings) -> bool {
        let is_heard_from =
            now.saturating_sub(self.last_heard) < RECENT_WINDOW.max(settings.lease_expiry_wait());
        is_heard_from || !self.granted_at.is_empty()
    }

    /// Whether to send the member an update now: the member has not reported the versions `in_force` and
    /// `newest` yet, was heard from recently, and was sent no update within the last half of a maximum round
    /// trip.
    pub(crate) fn needs_update(
        &self,
        now: Micros,
        in_force: Version,
        newest: Version,
        settings: &Settings,
    ) -> bool {
        let is_up_to_date = self.newest >= newest && self.in_force >= in_force;
        let min_interval = settings.max_round_trip / 2;
        let is_due = self.last_update.is_none_or(|at| now.saturating_sub(at) >= min_interval);
        !is_up_to_date && self.is_recent(now) && is_due
    }

    pub(crate) fn record_update(&mut self, now: Micros) {
        self.last_update = Some(now);
    }

    pub(crate) fn newest(&self) -> Version {
        self.newest
    }

    /// The drift between the member's clock and the leader's that the member has proven, if any.
    pub(crate) fn drift(&self) -> Option<ClockDrift> {
        self.drift
    }
}

/// Whether a lease granted at `granted_at` may still hold by the clock of a member, if that clock is within
/// the clock bound.
fn may_be_leased(now: Micros, granted_at: Micros, settings: &Settings) -> bool {
    now.saturating_sub(granted_at) < settings.lease_expiry_wait()
}
