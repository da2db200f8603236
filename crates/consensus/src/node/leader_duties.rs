//! The leader's duties besides replication: to confirm that it still leads, grant leases, put versions of the
//! rules in force, send version updates, and check its own clock.
use super::Node;
use super::role::Role;
use crate::effect::Effect;
use crate::packet::{LeaseGrant, Packet, VersionUpdate};
use crate::quorum_reads::PendingLease;
use crate::replicated_state::{Command, ReplicatedState};
use crate::rules::Rules;
use crate::time::Micros;
use crate::versioned_document::Version;

impl<R: Rules> Node<R> {
    pub(super) fn run_leader_duties(&mut self, now: Micros, effects: &mut Vec<Effect>) {
        let (Some(leader), Role::Voting(voter)) = (&mut self.leader, &mut self.role) else { return };
        // The leader waits until it has applied the log entries of earlier terms. Before that, its state may
        // lack versions that earlier leaders committed. If its state had no version yet, the leader would
        // commit its own rules as the first version, although the log already contains one.
        if !voter.has_applied_own_term() {
            return;
        }
        if let Some(read_id) = leader.start_quorum_read(now, &self.settings) {
            voter.request_quorum_read(read_id);
        }
        let applied_index = voter.applied_index();
        let mut commands = Vec::new();
        if self.state.newest() == Version::default() {
            commands.extend(self.first_epoch_command(now));
        } else {
            let grants = self.grant_leases(now, applied_index, effects);
            commands.extend(self.epoch_command_after_lost_storage(now, &grants));
            commands.extend(self.activation_command(now));
            self.send_updates(now, effects);
            self.check_own_clock(now, effects);
        }
        for command in commands {
            self.append_command(&command);
        }
    }

    /// Returns the command that adds the first version of the fleet's rules to the log. The version has the
    /// rules of this member's own configuration, and starts the first epoch ([`Version::epoch`]). Must be
    /// called only while no version exists.
    ///
    /// Returns `None` for the duration of [`crate::Settings::lease_expiry_wait`] after this leader has
    /// appended a command that starts an epoch. That command may not have been applied yet.
    fn first_epoch_command(&mut self, now: Micros) -> Option<Command> {
        let leader = self.leader.as_mut()?;
        leader.take_due_epoch_start(now, &self.settings).then(|| Command::StartEpoch {
            epoch: self.max_generation.max(1),
            bytes: self.initial_rules.clone(),
        })
    }

    /// Returns the command that starts a new epoch ([`Version::epoch`]), if a member's lease request reports
    /// a version of a later epoch than the leader's newest version. The number of the new epoch is one above
    /// the reported number.
    ///
    /// Such a report needs two things. First, all voters have lost their storage and started a first epoch
    /// again, while the member still knows a version from before the loss. Second, the epoch from before the
    /// loss has the higher number. The number of a first epoch is the largest generation of a voter that the
    /// leader knows ([`crate::MemberIdentity::generation`]). A generation is, for example, the time at which
    /// the voter's process started. The earlier epoch can thus have the higher number if the clock of a voter
    /// was ahead before the loss.
    ///
    /// Returns `None` for the duration of [`crate::Settings::lease_expiry_wait`] after this leader has
    /// appended a command that starts an epoch. That command may not have been applied yet.
    fn epoch_command_after_lost_storage(
        &mut self,
        now: Micros,
        grants: &[(String, PendingLease)],
    ) -> Option<Command> {
        let newest_epoch = self.state.newest().epoch;
        let (_, lease) = grants.iter().find(|(_, lease)| lease.newest.epoch > newest_epoch)?;
        let epoch = lease.newest.epoch.saturating_add(1);
        let leader = self.leader.as_mut()?;
        leader
            .take_due_epoch_start(now, &self.settings)
            .then(|| Command::StartEpoch { epoch, bytes: Vec::new() })
    }

    fn grant_leases(
        &mut self,
        now: Micros,
        applied_index: u64,
        effects: &mut Vec<Effect>,
    ) -> Vec<(String, PendingLease)> {
        let Some(leader) = &mut self.leader else { return Vec::new() };
        let term = leader.term();
        let grants = leader.grant_leases(now, applied_index, self.state.newest(), &self.settings);
        for (name, lease) in &grants {
            let grant = LeaseGrant {
                session: lease.session,
                sent_at: lease.sent_at,
                term,
                leader_time: now,
                update: version_update(&self.state, lease.newest),
            };
            self.send_to_member(name, Packet::LeaseGrant(grant), effects);
        }
        grants
    }

    fn activation_command(&mut self, now: Micros) -> Option<Command> {
        let leader = self.leader.as_mut()?;
        leader.next_activation(now, &self.state, &self.settings).map(Command::Activate)
    }

    fn send_updates(&mut self, now: Micros, effects: &mut Vec<Effect>) {
        let Some(leader) = &mut self.leader else { return };
        let outdated = leader.take_members_to_update(now, &self.state, &self.members, &self.settings);
        for (name, known) in outdated {
            let update = version_update(&self.state, known);
            self.send_to_member(&name, Packet::VersionUpdate(update), effects);
        }
    }

    /// Reports a drift of the leader's own clock and transfers the leadership, if most members report that
    /// the leader's clock drifts from theirs.
    fn check_own_clock(&mut self, now: Micros, effects: &mut Vec<Effect>) {
        let (Some(leader), Role::Voting(voter)) = (&mut self.leader, &mut self.role) else { return };
        if let Some(own_id) = self.voter_id
            && let Some(drift) = leader.take_own_drift(now, &self.settings)
        {
            effects.push(Effect::ClockDriftDetected(drift));
            voter.transfer_leadership(self.settings.next_voter(own_id));
        }
    }
}

/// Creates a version update for a member that already knows the versions of the fleet's rules up to `known`.
fn version_update(state: &ReplicatedState, known: Version) -> VersionUpdate {
    VersionUpdate {
        versions: state.documents().map(|document| document.version).collect(),
        documents: state.documents().filter(|document| document.version > known).cloned().collect(),
    }
}
