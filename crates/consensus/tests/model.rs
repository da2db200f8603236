//! The rules of activation and leases as a model of its own, in which every order of events is tried:
//! two members, one change, one election, one crash, pauses, loss, doubles, delay and drift.
//!
//! Consensus is taken as given: one log, and a leader that is deposed grants nothing more (`Node` has a majority
//! confirm each grant). A tick is a lease; a slow clock makes it last 2.
use std::collections::BTreeSet;

use stateright::{Checker, Model, Property};

const LEASE: u8 = 1;
const STRETCHED: u8 = 2;
/// A member's grants count up to an age of one tick.
const WAY: u8 = 1;
/// T in ticks: the lease stretched, and a way.
const BOUND: u8 = STRETCHED + WAY;
const NEVER: u8 = u8::MAX;
const VERSIONS: usize = 2;

#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
enum Message {
    Ask { of: usize, session: u8, age: u8, newest: u8 },
    Grant { of: usize, session: u8, age: u8, in_force: u8, newest: u8 },
}

#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
struct Member {
    session: u8,
    in_force: u8,
    newest: u8,
    /// True ticks until the lease ends.
    left: u8,
    /// What a timer last found of the lease; only the blind decision goes by it.
    believes: bool,
    paused: bool,
    /// What the leader knows: session, newest, and ticks since a grant with each version as the newest.
    known: (u8, u8),
    granted: [u8; VERSIONS],
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Fleet {
    members: [Member; 2],
    in_force: u8,
    newest: u8,
    /// Ticks since the leader was elected, up to the wait.
    since: u8,
    elections: u8,
    crashes: u8,
    messages: BTreeSet<Message>,
    /// Ticks since a member first acted by each version.
    first: [u8; VERSIONS],
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Action {
    Tick,
    Ask(usize),
    Take(Message),
    News(usize),
    Order,
    Activate(u8),
    Elect,
    Pause(usize),
    Wake(usize),
    Crash(usize),
}

/// The clocks' bound holds if the leader waits as long as a slow member's lease lasts.
struct Rules {
    looks: bool,
    wait: u8,
}

impl Rules {
    fn acts(&self, member: &Member) -> Option<u8> {
        let leased = if self.looks { member.left > 0 } else { member.believes };
        (!member.paused && leased && member.in_force == member.newest).then_some(member.in_force)
    }

    fn free(&self, fleet: &Fleet, version: u8) -> bool {
        let free = |member: &Member| {
            let without = &member.granted[..usize::from(version)];
            member.known.1 >= version || without.iter().all(|ticks| *ticks >= self.wait)
        };
        fleet.since >= self.wait && fleet.members.iter().all(free)
    }
}

impl Model for Rules {
    type State = Fleet;
    type Action = Action;

    fn init_states(&self) -> Vec<Fleet> {
        let member = Member { granted: [NEVER; VERSIONS], ..Member::default() };
        let members = [member.clone(), member];
        let (messages, first) = (BTreeSet::new(), [NEVER; VERSIONS]);
        let since = self.wait;
        vec![Fleet { members, in_force: 0, newest: 0, since, elections: 0, crashes: 0, messages, first }]
    }

    fn actions(&self, fleet: &Fleet, actions: &mut Vec<Action>) {
        actions.push(Action::Tick);
        for (of, member) in fleet.members.iter().enumerate() {
            if member.paused {
                actions.push(Action::Wake(of));
                continue;
            }
            // One question of each under way, and its grant.
            let its = |message: &Message| matches!(message, Message::Ask { of: by, .. } | Message::Grant { of: by, .. } if *by == of);
            if !fleet.messages.iter().any(its) {
                actions.push(Action::Ask(of));
            }
            if (member.in_force, member.newest) != (fleet.in_force, fleet.newest) {
                actions.push(Action::News(of));
            }
            // Either may be stopped; one of them is enough for every contradiction of two.
            if fleet.members.iter().all(|member| !member.paused) {
                actions.push(Action::Pause(of));
            }
            if fleet.crashes == 0 {
                actions.push(Action::Crash(of));
            }
        }
        actions.extend(fleet.messages.iter().cloned().map(Action::Take));
        if usize::from(fleet.newest) + 1 < VERSIONS {
            actions.push(Action::Order);
        }
        let waiting = fleet.in_force + 1..=fleet.newest;
        actions.extend(waiting.filter(|version| self.free(fleet, *version)).map(Action::Activate));
        if fleet.elections == 0 {
            actions.push(Action::Elect);
        }
    }

    fn next_state(&self, last: &Fleet, action: Action) -> Option<Fleet> {
        let mut fleet = last.clone();
        match action {
            Action::Tick => {
                for member in &mut fleet.members {
                    member.left = member.left.saturating_sub(1);
                    if !member.paused {
                        member.believes = member.left > 0;
                    }
                    for ticks in &mut member.granted {
                        *ticks = if *ticks >= self.wait { NEVER } else { *ticks + 1 };
                    }
                }
                for ticks in fleet.first.iter_mut().filter(|ticks| **ticks != NEVER) {
                    *ticks = (*ticks + 1).min(BOUND + 1);
                }
                fleet.since = (fleet.since + 1).min(self.wait);
                let aged = |message: Message| match message {
                    Message::Ask { of, session, age, newest } => {
                        Message::Ask { of, session, age: age + 1, newest }
                    }
                    Message::Grant { of, session, age, in_force, newest } => {
                        Message::Grant { of, session, age: age + 1, in_force, newest }
                    }
                };
                let young = |message: &Message| matches!(message, Message::Ask { age, .. } | Message::Grant { age, .. } if *age <= WAY);
                fleet.messages = fleet.messages.into_iter().map(aged).filter(young).collect();
            }
            Action::Ask(of) => {
                let Member { session, newest, .. } = fleet.members[of];
                fleet.messages.insert(Message::Ask { of, session, age: 0, newest });
            }
            // What was taken stays, and may come again.
            Action::Take(Message::Ask { of, session, age, newest }) => {
                let member = &mut fleet.members[of];
                let known = if member.known.0 == session { member.known.1.max(newest) } else { newest };
                member.known = (session, known);
                member.granted[usize::from(fleet.newest)] = 0;
                let (in_force, newest) = (fleet.in_force, fleet.newest);
                fleet.messages.insert(Message::Grant { of, session, age, in_force, newest });
            }
            Action::Take(Message::Grant { of, session, age, in_force, newest }) => {
                let member = &mut fleet.members[of];
                if member.paused || member.session != session {
                    return None;
                }
                (member.in_force, member.newest) = (member.in_force.max(in_force), member.newest.max(newest));
                // The first member's clock is slow, the other's is right.
                let lease = if of == 0 { STRETCHED } else { LEASE };
                member.left = member.left.max(lease.saturating_sub(age));
                member.believes = member.left > 0;
            }
            Action::News(of) => {
                let member = &mut fleet.members[of];
                (member.in_force, member.newest) = (fleet.in_force, fleet.newest);
            }
            Action::Order => fleet.newest += 1,
            Action::Activate(version) => fleet.in_force = version,
            Action::Elect => {
                fleet.elections += 1;
                fleet.since = 0;
                for member in &mut fleet.members {
                    (member.known, member.granted) = ((0, 0), [NEVER; VERSIONS]);
                }
            }
            Action::Pause(of) => fleet.members[of].paused = true,
            Action::Wake(of) => fleet.members[of].paused = false,
            Action::Crash(of) => {
                fleet.crashes += 1;
                let Member { session, known, granted, .. } = fleet.members[of].clone();
                fleet.members[of] = Member { session: session + 1, known, granted, ..Member::default() };
            }
        }
        for member in &mut fleet.members {
            // What nothing looks at makes no other state.
            member.believes &= !self.looks;
            member.granted[VERSIONS - 1] = NEVER;
        }
        for version in fleet.members.clone().iter().filter_map(|member| self.acts(member)) {
            let first = &mut fleet.first[usize::from(version)];
            *first = if *first == NEVER { 0 } else { *first };
        }
        (fleet != *last).then_some(fleet)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        fn older_acts_after(rules: &Rules, fleet: &Fleet, ticks: u8) -> bool {
            let acting = fleet.members.iter().filter_map(|member| rules.acts(member));
            let mut later = acting.flat_map(|version| &fleet.first[usize::from(version) + 1..]);
            later.any(|first| *first != NEVER && *first >= ticks)
        }
        vec![
            Property::<Self>::always("no two act by different versions", |rules, fleet| {
                !older_acts_after(rules, fleet, 0)
            }),
            Property::<Self>::always("none acts by an older version after T", |rules, fleet| {
                !older_acts_after(rules, fleet, BOUND + 1)
            }),
            Property::<Self>::sometimes("all act by the last version", |rules, fleet| {
                fleet.members.iter().all(|member| rules.acts(member) == Some(VERSIONS as u8 - 1))
            }),
        ]
    }
}

const NONE_AT_ALL: &str = "no two act by different versions";
const NONE_BEYOND: &str = "none acts by an older version after T";

fn check(looks: bool, wait: u8) -> (usize, BTreeSet<&'static str>) {
    let checker = Rules { looks, wait }.checker().threads(2).spawn_bfs().join();
    (checker.unique_state_count(), checker.discoveries().into_keys().collect())
}

#[test]
fn no_order_of_pauses_loss_crash_election_and_drift_lets_two_act_by_different_versions() {
    let (states, found) = check(true, STRETCHED);
    println!("{states} states");
    assert!(states > 10_000, "{states}");
    assert_eq!(found, BTreeSet::from(["all act by the last version"]));
}

#[test]
fn a_leader_that_waits_too_short_by_a_fast_clock_lets_two_contradict_but_not_beyond_the_bound() {
    let (states, found) = check(true, 0);
    println!("{states} states");
    assert!(found.contains(NONE_AT_ALL) && !found.contains(NONE_BEYOND), "{found:?}");
}

#[test]
fn without_the_look_at_the_lease_a_member_that_wakes_acts_by_an_older_version_beyond_the_bound() {
    let (states, found) = check(false, STRETCHED);
    println!("{states} states");
    assert!(found.contains(NONE_BEYOND), "{found:?}");
}
