//! The state that a leader keeps during one term, and its decisions on leases, on versions of the fleet's
//! rules that take effect, and on commands to append to the log.
use std::collections::BTreeMap;

use crate::clock_comparison::ClockDrift;
use crate::member_progress::MemberProgress;
use crate::packet::LeaseRequest;
use crate::quorum_reads::{PendingLease, QuorumReads};
use crate::replicated_state::{ProposalId, ReplicatedState};
use crate::settings::Settings;
use crate::time::Micros;
use crate::versioned_document::Version;

/// The maximum number of proposals for the fleet's rules that the leader remembers after it has appended them
/// to the log. If a member resends a remembered proposal, the leader does not append the proposal a second
/// time. The leader forgets a proposal after [`Settings::lease_expiry_wait`]. While the leader remembers this
/// many proposals, it appends no other proposal.
const MAX_APPENDED_PROPOSALS: usize = 1_024;
/// The minimum number of other members that must count as heard from recently before the leader acts on their
/// reports about its clock. A member is heard from when its lease request arrives. A member that is only on
/// the membership list counts as heard from at the time when the leader starts to track it.
const MIN_CLOCK_REPORTERS: usize = 2;

/// The leader's last command that puts a version of the fleet's rules in force: the version, and the time at
/// which the leader appended the command to the log.
struct Activation {
    version: Version,
    appended_at: Micros,
}

/// The state that a leader keeps during one term. Owned by the leader's [`crate::Node`].
pub(crate) struct LeaderState {
    term: u64,
    elected_at: Micros,
    members: BTreeMap<String, MemberProgress>,
    quorum_reads: QuorumReads,
    epoch_appended_at: Option<Micros>,
    last_activation: Option<Activation>,
    /// The members' proposals for the fleet's rules that this leader has appended to the log, each with the
    /// time of the append. A proposal is forgotten after [`Settings::lease_expiry_wait`].
    appended_proposals: BTreeMap<ProposalId, Micros>,
    drift_reported_at: Option<Micros>,
}

impl LeaderState {
    pub(crate) fn new(term: u64, now: Micros) -> LeaderState {
        LeaderState {
            term,
            elected_at: now,
            members: BTreeMap::new(),
            quorum_reads: QuorumReads::default(),
            epoch_appended_at: None,
            last_activation: None,
            appended_proposals: BTreeMap::new(),
            drift_reported_at: None,
        }
    }

    pub(crate) fn term(&self) -> u64 {
        self.term
    }

    pub(crate) fn record_lease_request(&mut self, now: Micros, from: &str, request: &LeaseRequest) {
        let member = self.members.entry(from.to_owned()).or_default();
        member.record_request(now, request);
        let LeaseRequest { session, sent_at, newest, .. } = *request;
        self.quorum_reads.add(from, PendingLease { session, sent_at, newest });
    }

    /// Starts a quorum read if one is due, and returns the ID of the read. A quorum read asks the voters to
    /// confirm that this member still leads.
    pub(crate) fn start_quorum_read(&mut self, now: Micros, settings: &Settings) -> Option<u64> {
        self.quorum_reads.start_read(now, settings)
    }

    pub(crate) fn confirm_quorum_read(&mut self, read_id: u64, index: u64) {
        self.quorum_reads.confirm(read_id, index);
    }

    /// Grants a lease for every request that a confirmed quorum read covers, and returns these requests with
    /// the names of the members.
    ///
    /// `newest` is the newest committed version of the fleet's rules. Records `newest` and the time for each
    /// grant. A version later than `newest` takes effect only once the lease has ended, or once the member
    /// has reported that it knows that version.
    pub(crate) fn grant_leases(
        &mut self,
        now: Micros,
        applied_index: u64,
        newest: Version,
        settings: &Settings,
    ) -> Vec<(String, PendingLease)> {
        let grants = self.quorum_reads.take_grantable(applied_index);
        for (name, _) in &grants {
            let member = self.members.entry(name.clone()).or_default();
            member.record_grant(now, newest, settings);
        }
        grants
    }

    /// Returns whether the leader may now append a command that starts an epoch ([`Version::epoch`]) to the
    /// log. The caller has checked that a new epoch is needed. If the result is true, records the time, and
    /// further calls return false until [`Settings::lease_expiry_wait`] has passed.
    pub(crate) fn take_due_epoch_start(&mut self, now: Micros, settings: &Settings) -> bool {
        let is_due = is_due(self.epoch_appended_at, now, settings);
        if is_due {
            self.epoch_appended_at = Some(now);
        }
        is_due
    }

    /// Returns whether the leader must now append a member's proposal for the fleet's rules to the log. If
    /// so, remembers the proposal in `appended_proposals` for the duration of
    /// [`Settings::lease_expiry_wait`].
    ///
    /// Returns false for a remembered proposal, because the member may resend a proposal that is still being
    /// replicated. After that duration, a proposal without a result may be appended again, because Raft may
    /// have dropped the command. Also returns false while [`MAX_APPENDED_PROPOSALS`] proposals are
    /// remembered.
    pub(crate) fn take_due_proposal(&mut self, now: Micros, id: &ProposalId, settings: &Settings) -> bool {
        let wait = settings.lease_expiry_wait();
        self.appended_proposals.retain(|_, appended_at| now.saturating_sub(*appended_at) < wait);
        let is_new = !self.appended_proposals.contains_key(id)
            && self.appended_proposals.len() < MAX_APPENDED_PROPOSALS;
        if is_new {
            self.appended_proposals.insert(id.clone(), now);
        }
        is_new
    }

    /// Returns the newest pending version of the fleet's rules that may take effect now. A pending version is
    /// committed, but not in force yet. For each member, one of two conditions must hold: the member knows
    /// the version, or it can no longer hold a lease that was granted while an older version was the newest.
    ///
    /// The caller appends a command that puts the version in force. Raft can drop the command, and the
    /// version then stays pending. A version that is still pending is therefore returned again, but only
    /// after [`Settings::lease_expiry_wait`].
    pub(crate) fn next_activation(
        &mut self,
        now: Micros,
        state: &ReplicatedState,
        settings: &Settings,
    ) -> Option<Version> {
        // For the duration of the lease expiry wait after the election, a member may still hold a lease from
        // an earlier leader. Under such a lease, the member may follow an older version of the fleet's rules,
        // and not know the new one. This leader does not know of such leases, so it puts no new version in
        // force during that time.
        if now.saturating_sub(self.elected_at) < settings.lease_expiry_wait() {
            return None;
        }
        let can_activate = |version: &Version| {
            self.members.values().all(|member| member.allows_activation(*version, now, settings))
        };
        let pending = state.documents().skip(1).map(|document| document.version);
        let version = pending.take_while(can_activate).last()?;
        let is_repeated = self
            .last_activation
            .as_ref()
            .is_some_and(|last| last.version >= version && !is_due(Some(last.appended_at), now, settings));
        if is_repeated {
            return None;
        }
        self.last_activation = Some(Activation { version, appended_at: now });
        Some(version)
    }

    /// Returns the members that the leader must now tell which versions of the fleet's rules are committed,
    /// each with the newest version that the member has reported. Records the time of sending. Before that,
    /// starts to track the members in `known_members`, and stops tracking members that no longer need to be
    /// tracked ([`MemberProgress::must_be_tracked`]).
    pub(crate) fn take_members_to_update(
        &mut self,
        now: Micros,
        state: &ReplicatedState,
        known_members: &[String],
        settings: &Settings,
    ) -> Vec<(String, Version)> {
        for name in known_members {
            if !self.members.contains_key(name) {
                self.members.insert(name.clone(), MemberProgress::from_membership(now));
            }
        }
        self.members.retain(|_, member| {
            member.forget_expired_grants(now, settings);
            member.must_be_tracked(now, settings)
        });
        let (in_force, newest) = (state.in_force(), state.newest());
        let mut outdated = Vec::new();
        for (name, member) in &mut self.members {
            if member.needs_update(now, in_force, newest, settings) {
                member.record_update(now);
                outdated.push((name.clone(), member.newest()));
            }
        }
        outdated
    }

    /// Returns the drift of the leader's own clock, if most of the other members that were heard from
    /// recently report a drift from the leader's clock. Returns `None` if fewer than [`MIN_CLOCK_REPORTERS`]
    /// other members were heard from recently. Also returns `None` until [`Settings::lease_expiry_wait`] has
    /// passed since a drift was last returned.
    pub(crate) fn take_own_drift(&mut self, now: Micros, settings: &Settings) -> Option<ClockDrift> {
        let recent = self.members.values().filter(|member| member.is_recent(now));
        let reports: Vec<Option<ClockDrift>> = recent.map(MemberProgress::drift).collect();
        let drifts: Vec<ClockDrift> = reports.iter().copied().flatten().collect();
        // The leader also requests leases from itself, so one of the `reports` is the leader's own. The
        // leader does not count as a reporter. Its own report normally contains no drift, because the leader
        // compares its clock with itself. Only a request that the leader sent before its first grant to
        // itself may contain a drift, which is then a drift from an earlier leader's clock.
        let reporters = reports.len().saturating_sub(1);
        let is_majority = reporters >= MIN_CLOCK_REPORTERS && 2 * drifts.len() > reporters;
        if !is_majority || !is_due(self.drift_reported_at, now, settings) {
            return None;
        }
        self.drift_reported_at = Some(now);
        let min_ppm = drifts.iter().map(|drift| drift.min_ppm).min().unwrap_or(0);
        // Each report says whether the reporting member's clock is fast or slow compared with the leader's.
        // The leader's clock counts as fast if most of the reported drifts say that the member's clock is
        // slow.
        let slow_members = drifts.iter().filter(|drift| !drift.is_fast).count();
        Some(ClockDrift { is_fast: slow_members * 2 > drifts.len(), min_ppm })
    }
}

/// Whether the leader may take an action that it last took at `last`: it never took the action (`last` is
/// `None`), or more than [`Settings::lease_expiry_wait`] has passed since.
fn is_due(last: Option<Micros>, now: Micros, settings: &Settings) -> bool {
    last.is_none_or(|last| now.saturating_sub(last) > settings.lease_expiry_wait())
}
