//! Model-checks the lease and activation protocol in every order of events.
//!
//! The model has two members, one change of the rules, one election, one crash, pauses, clock drift, and
//! messages that are lost, duplicated and delayed. It assumes that Raft is correct: there is one log, and a
//! deposed leader grants no more leases (`Node` has a quorum confirm each grant). A lease lasts one tick, or
//! two by a slow clock.
use std::collections::BTreeSet;

use stateright::{Checker, Model, Property};

const LEASE_TICKS: u8 = 1;
const STRETCHED_LEASE_TICKS: u8 = 2;
/// The maximum age in ticks of a delivered message. Models `max_round_trip`, because a grant takes over the
/// age of its request.
const MAX_MESSAGE_AGE: u8 = 1;
/// The staleness bound in ticks: the stretched lease and the maximum message age.
const STALENESS_BOUND: u8 = STRETCHED_LEASE_TICKS + MAX_MESSAGE_AGE;
const NEVER: u8 = u8::MAX;
const VERSIONS: usize = 2;

#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
enum Message {
    LeaseRequest { member: usize, session: u8, age: u8, newest: u8 },
    LeaseGrant { member: usize, session: u8, age: u8, in_force: u8, newest: u8 },
}

impl Message {
    fn member(&self) -> usize {
        match self {
            Message::LeaseRequest { member, .. } | Message::LeaseGrant { member, .. } => *member,
        }
    }

    fn age(&self) -> u8 {
        match self {
            Message::LeaseRequest { age, .. } | Message::LeaseGrant { age, .. } => *age,
        }
    }

    /// The message one tick later.
    fn aged(mut self) -> Message {
        match &mut self {
            Message::LeaseRequest { age, .. } | Message::LeaseGrant { age, .. } => *age += 1,
        }
        self
    }
}

/// What the leader knows of a member: its session and its newest version.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
struct Progress {
    session: u8,
    newest: u8,
}

#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
struct Member {
    session: u8,
    in_force: u8,
    newest: u8,
    /// The ticks of true time until the lease expires.
    lease_ticks: u8,
    /// Whether the lease held when a timer last checked it; used only by decisions without the lease check.
    had_lease_at_last_check: bool,
    is_paused: bool,
    progress: Progress,
    /// For each version, the ticks since the leader last granted this member a lease with that version as the
    /// newest; `NEVER` if it did not, or more than `wait_ticks` ago. Always `NEVER` for the last version, see
    /// `normalize`.
    ticks_since_grant: [u8; VERSIONS],
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Group {
    members: [Member; 2],
    in_force: u8,
    newest: u8,
    /// The ticks since the leader was elected, at most `wait_ticks`.
    ticks_since_election: u8,
    elections: u8,
    crashes: u8,
    messages: BTreeSet<Message>,
    /// For each version, the ticks since a member first followed it; `NEVER` if none has.
    ticks_since_followed: [u8; VERSIONS],
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Action {
    Tick,
    RequestLease(usize),
    Deliver(Message),
    Update(usize),
    Commit,
    Activate(u8),
    Elect,
    Pause(usize),
    Resume(usize),
    Crash(usize),
}

/// The modeled protocol. A `wait_ticks` of at least [`STRETCHED_LEASE_TICKS`] models clocks within the clock
/// bound.
struct LeaseProtocol {
    checks_lease: bool,
    wait_ticks: u8,
}

impl LeaseProtocol {
    /// The version in force that a member follows; `None` while it is paused or follows the restricted rules.
    fn followed_version(&self, member: &Member) -> Option<u8> {
        let has_lease =
            if self.checks_lease { member.lease_ticks > 0 } else { member.had_lease_at_last_check };
        let is_unrestricted = member.in_force == member.newest;
        (!member.is_paused && has_lease && is_unrestricted).then_some(member.in_force)
    }

    fn can_activate(&self, group: &Group, version: u8) -> bool {
        let allows_activation = |member: &Member| {
            let mut without = member.ticks_since_grant[..usize::from(version)].iter();
            member.progress.newest >= version || without.all(|ticks| *ticks >= self.wait_ticks)
        };
        group.ticks_since_election >= self.wait_ticks && group.members.iter().all(allows_activation)
    }

    /// Whether a member follows a version although a later one was first followed at least `ticks` ago.
    fn follows_replaced_version(&self, group: &Group, ticks: u8) -> bool {
        let followed = group.members.iter().filter_map(|member| self.followed_version(member));
        let mut later = followed.flat_map(|version| &group.ticks_since_followed[usize::from(version) + 1..]);
        later.any(|since| *since != NEVER && *since >= ticks)
    }

    fn member_actions(group: &Group, index: usize, actions: &mut Vec<Action>) {
        let member = &group.members[index];
        if member.is_paused {
            actions.push(Action::Resume(index));
            return;
        }
        // At most one request of each member and its grant are in transit.
        if !group.messages.iter().any(|message| message.member() == index) {
            actions.push(Action::RequestLease(index));
        }
        if (member.in_force, member.newest) != (group.in_force, group.newest) {
            actions.push(Action::Update(index));
        }
        // At most one member is paused at a time, which suffices for every conflict between two members.
        if group.members.iter().all(|member| !member.is_paused) {
            actions.push(Action::Pause(index));
        }
        if group.crashes == 0 {
            actions.push(Action::Crash(index));
        }
    }

    fn tick(&self, group: &mut Group) {
        for member in &mut group.members {
            member.lease_ticks = member.lease_ticks.saturating_sub(1);
            if !member.is_paused {
                member.had_lease_at_last_check = member.lease_ticks > 0;
            }
            for ticks in &mut member.ticks_since_grant {
                *ticks = if *ticks >= self.wait_ticks { NEVER } else { *ticks + 1 };
            }
        }
        for ticks in group.ticks_since_followed.iter_mut().filter(|ticks| **ticks != NEVER) {
            *ticks = (*ticks + 1).min(STALENESS_BOUND + 1);
        }
        group.ticks_since_election = (group.ticks_since_election + 1).min(self.wait_ticks);
        let messages = std::mem::take(&mut group.messages).into_iter().map(Message::aged);
        group.messages = messages.filter(|message| message.age() <= MAX_MESSAGE_AGE).collect();
    }

    /// Delivers a message, and keeps it so that it may be delivered again; returns whether the recipient
    /// accepted it.
    fn deliver(group: &mut Group, message: Message) -> bool {
        match message {
            Message::LeaseRequest { member: index, session, age, newest } => {
                let member = &mut group.members[index];
                let is_same_process = member.progress.session == session;
                let known = if is_same_process { member.progress.newest.max(newest) } else { newest };
                member.progress = Progress { session, newest: known };
                member.ticks_since_grant[usize::from(group.newest)] = 0;
                let (in_force, newest) = (group.in_force, group.newest);
                let grant = Message::LeaseGrant { member: index, session, age, in_force, newest };
                group.messages.insert(grant);
            }
            Message::LeaseGrant { member: index, session, age, in_force, newest } => {
                let member = &mut group.members[index];
                if member.is_paused || member.session != session {
                    return false;
                }
                member.in_force = member.in_force.max(in_force);
                member.newest = member.newest.max(newest);
                // The first member's clock is slow, the other's is exact.
                let lease = if index == 0 { STRETCHED_LEASE_TICKS } else { LEASE_TICKS };
                member.lease_ticks = member.lease_ticks.max(lease.saturating_sub(age));
                member.had_lease_at_last_check = member.lease_ticks > 0;
            }
        }
        true
    }

    fn elect(group: &mut Group) {
        group.elections += 1;
        group.ticks_since_election = 0;
        for member in &mut group.members {
            member.progress = Progress::default();
            member.ticks_since_grant = [NEVER; VERSIONS];
        }
    }

    fn crash(group: &mut Group, index: usize) {
        group.crashes += 1;
        let Member { session, progress, ticks_since_grant, .. } = group.members[index];
        group.members[index] =
            Member { session: session + 1, progress, ticks_since_grant, ..Member::default() };
    }

    /// Resets values that no action or property reads, which reduces the number of states, and records the
    /// versions that members follow.
    fn normalize(&self, group: &mut Group) {
        for member in &mut group.members {
            member.had_lease_at_last_check &= !self.checks_lease;
            member.ticks_since_grant[VERSIONS - 1] = NEVER;
        }
        for index in 0..group.members.len() {
            if let Some(version) = self.followed_version(&group.members[index]) {
                let since = &mut group.ticks_since_followed[usize::from(version)];
                *since = if *since == NEVER { 0 } else { *since };
            }
        }
    }
}

impl Model for LeaseProtocol {
    type State = Group;
    type Action = Action;

    fn init_states(&self) -> Vec<Group> {
        let member = Member { ticks_since_grant: [NEVER; VERSIONS], ..Member::default() };
        vec![Group {
            members: [member.clone(), member],
            in_force: 0,
            newest: 0,
            ticks_since_election: self.wait_ticks,
            elections: 0,
            crashes: 0,
            messages: BTreeSet::new(),
            ticks_since_followed: [NEVER; VERSIONS],
        }]
    }

    fn actions(&self, group: &Group, actions: &mut Vec<Action>) {
        actions.push(Action::Tick);
        for index in 0..group.members.len() {
            LeaseProtocol::member_actions(group, index, actions);
        }
        actions.extend(group.messages.iter().cloned().map(Action::Deliver));
        if usize::from(group.newest) + 1 < VERSIONS {
            actions.push(Action::Commit);
        }
        let pending = group.in_force + 1..=group.newest;
        actions.extend(pending.filter(|version| self.can_activate(group, *version)).map(Action::Activate));
        if group.elections == 0 {
            actions.push(Action::Elect);
        }
    }

    fn next_state(&self, last: &Group, action: Action) -> Option<Group> {
        let mut group = last.clone();
        match action {
            Action::Tick => self.tick(&mut group),
            Action::RequestLease(index) => {
                let Member { session, newest, .. } = group.members[index];
                let request = Message::LeaseRequest { member: index, session, age: 0, newest };
                group.messages.insert(request);
            }
            Action::Deliver(message) => {
                if !LeaseProtocol::deliver(&mut group, message) {
                    return None;
                }
            }
            Action::Update(index) => {
                let member = &mut group.members[index];
                (member.in_force, member.newest) = (group.in_force, group.newest);
            }
            Action::Commit => group.newest += 1,
            Action::Activate(version) => group.in_force = version,
            Action::Elect => LeaseProtocol::elect(&mut group),
            Action::Pause(index) => group.members[index].is_paused = true,
            Action::Resume(index) => group.members[index].is_paused = false,
            Action::Crash(index) => LeaseProtocol::crash(&mut group, index),
        }
        self.normalize(&mut group);
        (group != *last).then_some(group)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::<Self>::always(NO_CONFLICT, |protocol, group| {
                !protocol.follows_replaced_version(group, 0)
            }),
            Property::<Self>::always(NO_CONFLICT_BEYOND_BOUND, |protocol, group| {
                !protocol.follows_replaced_version(group, STALENESS_BOUND + 1)
            }),
            Property::<Self>::sometimes(ALL_FOLLOW_LAST, |protocol, group| {
                let last = Some(VERSIONS as u8 - 1);
                group.members.iter().all(|member| protocol.followed_version(member) == last)
            }),
        ]
    }
}

const NO_CONFLICT: &str = "no two members follow different versions";
const NO_CONFLICT_BEYOND_BOUND: &str = "no member follows an older version after the staleness bound";
const ALL_FOLLOW_LAST: &str = "all members follow the last version";

/// Explores all states; returns their number and the properties for which an example or counterexample was
/// found.
fn check(checks_lease: bool, wait_ticks: u8) -> (usize, BTreeSet<&'static str>) {
    let checker = LeaseProtocol { checks_lease, wait_ticks }.checker().threads(2).spawn_bfs().join();
    (checker.unique_state_count(), checker.discoveries().into_keys().collect())
}

#[test]
fn no_order_of_events_lets_two_members_follow_different_versions_at_the_same_time() {
    let (states, found) = check(true, STRETCHED_LEASE_TICKS);
    println!("{states} states");
    assert!(states > 10_000, "{states}");
    assert_eq!(found, BTreeSet::from([ALL_FOLLOW_LAST]));
}

#[test]
fn a_leader_whose_fast_clock_shortens_its_wait_allows_conflicts_only_within_the_staleness_bound() {
    let (states, found) = check(true, 0);
    println!("{states} states");
    assert!(found.contains(NO_CONFLICT) && !found.contains(NO_CONFLICT_BEYOND_BOUND), "{found:?}");
}

#[test]
fn without_the_lease_check_a_resumed_member_follows_an_older_version_beyond_the_staleness_bound() {
    let (states, found) = check(false, STRETCHED_LEASE_TICKS);
    println!("{states} states");
    assert!(found.contains(NO_CONFLICT_BEYOND_BOUND), "{found:?}");
}
