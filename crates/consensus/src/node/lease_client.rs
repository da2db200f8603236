//! How a member gets its lease, which is the right to follow the fleet's rules in force for a limited time.
//! The member sends lease requests, and handles the leader's grants and the updates on versions of these
//! rules.
use super::Node;
use crate::clock_comparison::ClockComparison;
use crate::effect::Effect;
use crate::packet::{LeaseGrant, LeaseRequest, Packet, VersionUpdate};
use crate::rules::Rules;
use crate::time::Micros;
use crate::versioned_document::Version;
use crate::voter_id::VoterId;

/// The number of lease requests that a voter may leave unanswered before the member asks the next voter.
const MAX_UNANSWERED_REQUESTS: u32 = 2;

/// A leader, and the term in which it leads.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct LeaderTerm {
    leader_id: VoterId,
    term: u64,
}

/// The part of a member that requests and renews its lease. Owned by the member's [`Node`].
pub(super) struct LeaseClient {
    /// The voter to which this member sends lease requests and proposals: the leader, as far as this member
    /// knows.
    target_voter: VoterId,
    unanswered_requests: u32,
    next_request_at: Micros,
    /// The comparison of this member's clock with the clock of the leader that sent the last grant.
    clock: ClockComparison,
    granted_by: Option<LeaderTerm>,
    is_clock_suspect: bool,
    /// Whether [`Effect::LeaseExpired`] was reported, and [`Effect::LeaseRestored`] has not been reported
    /// since.
    is_expiry_reported: bool,
}

impl LeaseClient {
    pub(super) fn new(target_voter: VoterId) -> LeaseClient {
        LeaseClient {
            target_voter,
            unanswered_requests: 0,
            next_request_at: 0,
            clock: ClockComparison::default(),
            granted_by: None,
            is_clock_suspect: false,
            is_expiry_reported: false,
        }
    }

    pub(super) fn target_voter(&self) -> VoterId {
        self.target_voter
    }

    /// Sets the voter to which this member sends lease requests and proposals, and resets the count of
    /// unanswered lease requests.
    fn set_target(&mut self, voter_id: VoterId) {
        self.target_voter = voter_id;
        self.unanswered_requests = 0;
    }
}

impl<R: Rules> Node<R> {
    /// Reports that this member's lease has expired or holds again, once for each change.
    pub(super) fn report_lease_expiry(&mut self, now: Micros, effects: &mut Vec<Effect>) {
        let is_reported = self.lease.is_expiry_reported;
        let had_lease = self.leased_rules.newest() > Version::default() || is_reported;
        let is_expired = had_lease && !self.leased_rules.has_lease(now);
        if is_expired != is_reported {
            self.lease.is_expiry_reported = is_expired;
            effects.push(if is_expired { Effect::LeaseExpired } else { Effect::LeaseRestored });
        }
    }

    pub(super) fn renew_lease_if_due(&mut self, now: Micros, effects: &mut Vec<Effect>) {
        if now >= self.lease.next_request_at {
            self.lease.unanswered_requests += 1;
            self.request_lease(now, effects);
        }
    }

    /// Requests a lease from the leader, or from a voter that may know the leader.
    fn request_lease(&mut self, now: Micros, effects: &mut Vec<Effect>) {
        // Prefers the leader that this member's own Raft state names. If that state names no leader, the
        // member tries the next voter after several unanswered requests.
        if let Some(leader_id) = self.role.leader_id() {
            self.lease.target_voter = leader_id;
        } else if self.lease.unanswered_requests > MAX_UNANSWERED_REQUESTS {
            let next_voter = self.settings.next_voter(self.lease.target_voter);
            self.lease.set_target(next_voter);
        }
        self.lease.next_request_at = now.saturating_add(self.settings.retry_interval());
        let request = LeaseRequest {
            session: self.session,
            sent_at: now,
            in_force: self.leased_rules.in_force(),
            newest: self.leased_rules.newest(),
            drift: self.lease.clock.drift(),
        };
        self.send_to_voter(self.lease.target_voter, Packet::LeaseRequest(request), effects);
    }

    /// Handles a member's lease request. The leader adds the request to the next quorum read. Any other voter
    /// responds with the ID of the leader, if it knows the leader.
    pub(super) fn on_lease_request(
        &mut self,
        now: Micros,
        from: &str,
        request: &LeaseRequest,
        effects: &mut Vec<Effect>,
    ) {
        if let Some(leader) = &mut self.leader {
            leader.record_lease_request(now, from, request);
            return;
        }
        if let Some(leader_id) = self.role.leader_id()
            && from != self.identity.name
        {
            let hint = Packet::LeaderHint { session: request.session, leader_id };
            self.send_to_member(from, hint, effects);
        }
    }

    /// Handles a lease grant. An accepted lease begins at the time at which this member sent the request.
    pub(super) fn on_lease_grant(
        &mut self,
        now: Micros,
        leader_id: VoterId,
        grant: LeaseGrant,
        effects: &mut Vec<Effect>,
    ) {
        let LeaseGrant { session, sent_at, term, leader_time, update } = grant;
        // Ignores three kinds of grants: those to an earlier process of this member, those that arrive later
        // than the maximum round trip after the request, and those of a leader that was replaced.
        let is_late = sent_at > now || now - sent_at > self.settings.max_round_trip;
        let is_replaced = self.lease.granted_by.is_some_and(|leader| term < leader.term);
        if session != self.session || is_late || is_replaced {
            return;
        }
        self.compare_clocks(now, LeaderTerm { leader_id, term }, sent_at, leader_time, effects);
        if !self.apply_update(&update, effects) {
            return;
        }
        self.lease.set_target(leader_id);
        self.lease.next_request_at = sent_at.saturating_add(self.settings.renewal_interval()).max(now);
        self.leased_rules.extend_lease(sent_at.saturating_add(self.settings.lease_duration));
        if self.lease.is_expiry_reported && self.leased_rules.has_lease(now) {
            self.lease.is_expiry_reported = false;
            effects.push(Effect::LeaseRestored);
        }
    }

    /// Compares this member's clock with the leader's. Reports when a drift is first proven, and when the
    /// drift is cleared.
    fn compare_clocks(
        &mut self,
        now: Micros,
        leader: LeaderTerm,
        sent_at: Micros,
        leader_time: Micros,
        effects: &mut Vec<Effect>,
    ) {
        let lease = &mut self.lease;
        if lease.granted_by != Some(leader) {
            lease.granted_by = Some(leader);
            lease.clock = ClockComparison::default();
        }
        if let Some(drift) = lease.clock.record_sample(&self.settings, sent_at, now, leader_time) {
            if !lease.is_clock_suspect {
                lease.is_clock_suspect = true;
                effects.push(Effect::ClockDriftDetected(drift));
            }
        } else if lease.is_clock_suspect && lease.clock.is_cleared(now) {
            lease.is_clock_suspect = false;
            effects.push(Effect::ClockDriftCleared);
        }
        self.leased_rules.set_clock_suspect(lease.is_clock_suspect);
    }

    /// Applies a version update that grants no lease. If the update changed anything, the member sends a new
    /// lease request, because the request tells the leader which versions of the fleet's rules the member
    /// knows.
    pub(super) fn on_version_update(
        &mut self,
        now: Micros,
        voter_id: VoterId,
        update: &VersionUpdate,
        effects: &mut Vec<Effect>,
    ) {
        let before = (self.leased_rules.in_force(), self.leased_rules.newest());
        if self.apply_update(update, effects) {
            self.lease.target_voter = voter_id;
        }
        if before != (self.leased_rules.in_force(), self.leased_rules.newest()) {
            self.request_lease(now, effects);
        }
    }

    /// Sends a lease request to the voter that another voter has named as the leader.
    pub(super) fn on_leader_hint(
        &mut self,
        now: Micros,
        session: u64,
        leader_id: VoterId,
        effects: &mut Vec<Effect>,
    ) {
        let is_voter = self.settings.voter_name(leader_id).is_some();
        if session == self.session && is_voter && leader_id != self.lease.target_voter {
            self.lease.set_target(leader_id);
            self.request_lease(now, effects);
        }
    }

    /// Applies a version update from the leader. Reports a new committed version and a new version in force,
    /// if there are any. Returns whether this member then knows every version that the update lists. Versions
    /// older than the member's version in force do not count, because the member no longer needs them.
    fn apply_update(&mut self, update: &VersionUpdate, effects: &mut Vec<Effect>) -> bool {
        let (in_force, newest) = (self.leased_rules.in_force(), self.leased_rules.newest());
        let is_known = self.leased_rules.apply_update(&update.versions, &update.documents);
        if self.leased_rules.newest() > newest {
            effects.push(Effect::VersionCommitted(self.leased_rules.newest()));
        }
        if self.leased_rules.in_force() > in_force {
            effects.push(Effect::VersionInForce(self.leased_rules.in_force()));
        }
        is_known
    }
}
