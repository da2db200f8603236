//! The leader's record of one member: the versions of the fleet's rules that the member knows, and its
//! leases. The fleet's rules allow or forbid requests, and one version of them is in force at a time. Only
//! under a lease may a member follow that version; without a lease, it follows restricted rules, which allow
//! less.
use std::collections::BTreeMap;

use crate::clock_comparison::ClockDrift;
use crate::packet::LeaseRequest;
use crate::settings::Settings;
use crate::time::{Micros, SECOND};
use crate::versioned_document::Version;

/// How long a member counts as recently heard from after it sent a lease request to the leader. The leader
/// sends updates on the fleet's rules only to such members. When the leader checks whether its own clock
/// drifts, it counts only the reports of such members. A member that is only on the membership list counts as
/// heard from at the time when the leader starts to track it.
const RECENT_WINDOW: Micros = 5 * SECOND;

/// What the leader has recorded about one member during its term.
#[derive(Default)]
pub(crate) struct MemberProgress {
    session: u64,
    last_heard: Micros,
    in_force: Version,
    newest: Version,
    drift: Option<ClockDrift>,
    /// For each version of the fleet's rules, the time at which the leader last granted the member a lease
    /// while that version was the newest.
    granted_at: BTreeMap<Version, Micros>,
    /// The time at which the leader last sent the member a message, apart from lease grants, that tells which
    /// versions of the fleet's rules are committed.
    last_update: Option<Micros>,
}

impl MemberProgress {
    /// Creates the record of a member that the leader knows only from the membership list. The member counts
    /// as heard from at `now`.
    pub(crate) fn from_membership(now: Micros) -> MemberProgress {
        MemberProgress { last_heard: now, ..MemberProgress::default() }
    }

    pub(crate) fn record_request(&mut self, now: Micros, request: &LeaseRequest) {
        if self.session == request.session {
            self.in_force = self.in_force.max(request.in_force);
            self.newest = self.newest.max(request.newest);
        } else {
            // A new session means that the member has restarted. It has lost its leases, and the versions of
            // the fleet's rules that it knew. The records of its earlier leases are kept, although a new
            // version waits until recorded leases have ended. This is safe, because it only delays the time
            // at which a version takes effect.
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

    /// Whether `version` of the fleet's rules may take effect as far as this member is concerned. Either the
    /// member must know `version`, or it must no longer be able to hold a lease that was granted while an
    /// older version was the newest. Under such a lease, a member that does not know `version` would still
    /// follow the older version.
    pub(crate) fn allows_activation(&self, version: Version, now: Micros, settings: &Settings) -> bool {
        let mut earlier = self.granted_at.iter().filter(|(newest, _)| **newest < version);
        self.newest >= version || !earlier.any(|(_, granted_at)| may_be_leased(now, *granted_at, settings))
    }

    pub(crate) fn is_recent(&self, now: Micros) -> bool {
        now.saturating_sub(self.last_heard) < RECENT_WINDOW
    }

    /// Whether the leader must still track this member. That is so if the member may hold a lease, or was
    /// heard from within [`RECENT_WINDOW`] or the lease expiry wait, whichever is longer.
    pub(crate) fn must_be_tracked(&self, now: Micros, settings: &Settings) -> bool {
        let is_heard_from =
            now.saturating_sub(self.last_heard) < RECENT_WINDOW.max(settings.lease_expiry_wait());
        is_heard_from || !self.granted_at.is_empty()
    }

    /// Whether the leader must now tell this member which versions of the fleet's rules are committed. The
    /// member must have been heard from recently, and must not have reported both versions, `in_force` and
    /// `newest`, yet. The last update to the member, if any, must have been sent at least half a maximum
    /// round trip ago.
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

    /// The drift that this member has proven between its own clock and the leader's, if any.
    pub(crate) fn drift(&self) -> Option<ClockDrift> {
        self.drift
    }
}

/// Whether a member may still hold a lease that was granted at `granted_at`, if no clock drifts by more than
/// [`Settings::max_drift_ppm`].
fn may_be_leased(now: Micros, granted_at: Micros, settings: &Settings) -> bool {
    now.saturating_sub(granted_at) < settings.lease_expiry_wait()
}
