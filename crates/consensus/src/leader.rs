//! What a leader decides in its term: leases, when versions take effect, and what to append to the log.
use std::collections::BTreeMap;

use crate::clock_comparison::ClockDrift;
use crate::member_progress::MemberProgress;
use crate::packet::LeaseRequest;
use crate::quorum_reads::{PendingLease, QuorumReads};
use crate::replicated_state::{ProposalId, ReplicatedState};
use crate::settings::Settings;
use crate::time::Micros;
use crate::versioned_document::Version;

/// Proposals that may be appended and not yet forgotten.
const MAX_APPENDED_PROPOSALS: usize = 1_024;
/// Other members that must be there before their reports on the leader's clock count.
const MIN_CLOCK_WITNESSES: usize = 2;

/// An activation that was appended to the log.
struct Activation {
    version: Version,
    appended_at: Micros,
}

/// A leader's state, for one term. Owned by its [`crate::Node`].
pub(crate) struct LeaderState {
    term: u64,
    elected_at: Micros,
    members: BTreeMap<String, MemberProgress>,
    quorum_reads: QuorumReads,
    epoch_appended_at: Option<Micros>,
    last_activation: Option<Activation>,
    /// When each proposal was appended to the log.
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

    /// Starts the next quorum read if any lease request waits for one; returns its number.
    pub(crate) fn start_quorum_read(&mut self, now: Micros, settings: &Settings) -> Option<u64> {
        self.quorum_reads.start_read(now, settings)
    }

    pub(crate) fn confirm_quorum_read(&mut self, read_id: u64, index: u64) {
        self.quorum_reads.confirm(read_id, index);
    }

    /// Grants a lease to every member whose request is confirmed, with `newest` as the newest version.
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

    /// Whether to append the start of an epoch now; if so, not again for a while.
    pub(crate) fn try_start_epoch(&mut self, now: Micros, settings: &Settings) -> bool {
        let is_due = is_due(self.epoch_appended_at, now, settings);
        if is_due {
            self.epoch_appended_at = Some(now);
        }
        is_due
    }

    /// Whether to append a proposal now; if so, not again for a while.
    pub(crate) fn try_append_proposal(&mut self, now: Micros, id: &ProposalId, settings: &Settings) -> bool {
        let wait = settings.lease_expiry_wait();
        self.appended_proposals.retain(|_, appended_at| now.saturating_sub(*appended_at) < wait);
        let is_new = !self.appended_proposals.contains_key(id)
            && self.appended_proposals.len() < MAX_APPENDED_PROPOSALS;
        if is_new {
            self.appended_proposals.insert(id.clone(), now);
        }
        is_new
    }

    /// The newest pending version that every member knows, or has lost its lease without knowing. If one is returned,
    /// it is to be activated, and is not returned again for a while.
    pub(crate) fn next_activation(
        &mut self,
        now: Micros,
        state: &ReplicatedState,
        settings: &Settings,
    ) -> Option<Version> {
        // Until then a member may hold a lease of an earlier leader, of which nothing is known here.
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

    /// The members that lack an update, and the newest version that each knows. Forgets members that are gone.
    pub(crate) fn take_members_to_update(
        &mut self,
        now: Micros,
        state: &ReplicatedState,
        known_members: &[String],
        settings: &Settings,
    ) -> Vec<(String, Version)> {
        for name in known_members {
            if !self.members.contains_key(name) {
                self.members.insert(name.clone(), MemberProgress::unheard(now));
            }
        }
        self.members.retain(|_, member| {
            member.forget_expired_grants(now, settings);
            member.is_relevant(now, settings)
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

    /// The drift of the leader's own clock, if most members report that it differs from theirs; once in a while.
    pub(crate) fn take_own_drift(&mut self, now: Micros, settings: &Settings) -> Option<ClockDrift> {
        let recent = self.members.values().filter(|member| member.is_recent(now));
        let reports: Vec<Option<ClockDrift>> = recent.map(MemberProgress::drift).collect();
        let drifts: Vec<ClockDrift> = reports.iter().copied().flatten().collect();
        // The leader itself is among them, and never reports a drift.
        let witnesses = reports.len().saturating_sub(1);
        let is_majority = witnesses >= MIN_CLOCK_WITNESSES && 2 * drifts.len() > witnesses;
        if !is_majority || !is_due(self.drift_reported_at, now, settings) {
            return None;
        }
        self.drift_reported_at = Some(now);
        let min_ppm = drifts.iter().map(|drift| drift.min_ppm).min().unwrap_or(0);
        // Their clocks are slow against the leader's: its own is fast.
        let slow_members = drifts.iter().filter(|drift| !drift.is_fast).count();
        Some(ClockDrift { is_fast: slow_members * 2 > drifts.len(), min_ppm })
    }
}

/// Whether something last done at this instant is to be done again.
fn is_due(last: Option<Micros>, now: Micros, settings: &Settings) -> bool {
    last.is_none_or(|last| now.saturating_sub(last) > settings.lease_expiry_wait())
}
