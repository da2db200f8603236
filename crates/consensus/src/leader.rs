//! What the leader knows of the members: who asked, who was granted what, who knows what.
use std::collections::{BTreeMap, VecDeque};

use crate::{ClockDrift, Micros, ProposalId, ReplicatedState, SECOND, Settings, Version};

/// Questions to the majority that may be under way.
const MAX_PENDING_QUORUM_READS: usize = 16;
/// Members that were heard within this count as there when clocks are compared, and are told news.
const RECENT_WINDOW: Micros = 5 * SECOND;

/// A member's question for its lease.
#[derive(Clone, Debug)]
pub(crate) struct LeaseRequest {
    pub session: u64,
    pub sent: Micros,
    pub newest: Version,
}

#[derive(Default)]
struct MemberProgress {
    session: u64,
    heard: Micros,
    in_force: Version,
    newest: Version,
    drift: Option<ClockDrift>,
    /// When it was last granted a lease with a version as the newest.
    granted: BTreeMap<Version, Micros>,
    told: Micros,
}

pub(crate) struct LeaderState {
    pub term: u64,
    since: Micros,
    seen: BTreeMap<String, MemberProgress>,
    /// Asked since the last question to the majority.
    asked: BTreeMap<String, LeaseRequest>,
    /// Questions under way: number, instant, who waits for it.
    questions: VecDeque<(u64, Micros, BTreeMap<String, LeaseRequest>)>,
    /// Confirmed, and up to where the log must be applied.
    confirmed: Vec<(u64, BTreeMap<String, LeaseRequest>)>,
    next: u64,
    founded: Option<Micros>,
    activated: Option<(Version, Micros)>,
    put: BTreeMap<ProposalId, Micros>,
    distrusted: Option<Micros>,
}

impl LeaderState {
    pub fn new(term: u64, now: Micros) -> LeaderState {
        LeaderState {
            term,
            since: now,
            seen: BTreeMap::new(),
            asked: BTreeMap::new(),
            questions: VecDeque::new(),
            confirmed: Vec::new(),
            next: 0,
            founded: None,
            activated: None,
            put: BTreeMap::new(),
            distrusted: None,
        }
    }

    pub fn asked(
        &mut self,
        now: Micros,
        from: &str,
        session: u64,
        sent: Micros,
        (in_force, newest): (Version, Version),
        drift: Option<ClockDrift>,
    ) {
        let seen = self.seen.entry(from.to_owned()).or_default();
        if seen.session == session {
            (seen.in_force, seen.newest) = (seen.in_force.max(in_force), seen.newest.max(newest));
        } else {
            // Another process: what the one before knew is gone, its leases too; the instants stay.
            (seen.session, seen.in_force, seen.newest) = (session, in_force, newest);
        }
        (seen.heard, seen.drift) = (now, drift);
        let asked = self.asked.entry(from.to_owned());
        asked
            .and_modify(|of| {
                // The latest: an older one that comes again would only give a shorter lease.
                if of.session != session || of.sent < sent {
                    (of.session, of.sent) = (session, sent);
                }
                of.newest = newest;
            })
            .or_insert(LeaseRequest { session, sent, newest });
    }

    /// The next question to the majority, if anybody waits for one.
    pub fn question(&mut self, now: Micros, settings: &Settings) -> Option<u64> {
        while self
            .questions
            .front()
            .is_some_and(|(_, at, _)| now.saturating_sub(*at) > settings.max_round_trip)
        {
            self.questions.pop_front();
        }
        if self.asked.is_empty() || self.questions.len() >= MAX_PENDING_QUORUM_READS {
            return None;
        }
        // One a tick at most, if others are under way.
        if self
            .questions
            .back()
            .is_some_and(|(_, at, _)| now.saturating_sub(*at) < settings.tick_interval / 4)
        {
            return None;
        }
        self.next += 1;
        self.questions.push_back((self.next, now, std::mem::take(&mut self.asked)));
        Some(self.next)
    }

    pub fn confirmed(&mut self, question: u64, index: u64) {
        // What confirms a question confirms all before it.
        while self.questions.front().is_some_and(|(number, ..)| *number <= question) {
            if let Some((_, _, who)) = self.questions.pop_front() {
                self.confirmed.push((index, who));
            }
        }
    }

    /// Who is granted a lease now, with this as the newest version.
    pub fn grants(
        &mut self,
        now: Micros,
        applied: u64,
        newest: Version,
        settings: &Settings,
    ) -> Vec<(String, LeaseRequest)> {
        let mut grants = Vec::new();
        let wait = settings.lease_expiry_wait();
        self.confirmed.retain_mut(|(index, who)| {
            if *index <= applied {
                grants.extend(std::mem::take(who));
            }
            *index > applied
        });
        for (name, _) in &grants {
            let seen = self.seen.entry(name.clone()).or_default();
            seen.granted.insert(newest, now);
            seen.granted.retain(|_, at| now.saturating_sub(*at) < wait);
        }
        grants
    }

    /// Whether a founding is to be put into the log, again after a while.
    pub fn founds(&mut self, now: Micros, settings: &Settings) -> bool {
        let again = self.founded.is_none_or(|at| now.saturating_sub(at) > settings.lease_expiry_wait());
        if again {
            self.founded = Some(now);
        }
        again
    }

    /// Whether a proposal is to be put into the log: not while it is on the way there already.
    pub fn puts(&mut self, now: Micros, id: &ProposalId, settings: &Settings) -> bool {
        self.put.retain(|_, at| now.saturating_sub(*at) < settings.lease_expiry_wait());
        let new = !self.put.contains_key(id) && self.put.len() < 1_024;
        if new {
            self.put.insert(id.clone(), now);
        }
        new
    }

    /// The newest version that every member knows or has lost its lease without knowing; it may take effect.
    pub fn activates(
        &mut self,
        now: Micros,
        state: &ReplicatedState,
        settings: &Settings,
    ) -> Option<Version> {
        let wait = settings.lease_expiry_wait();
        // Leases of earlier leaders, of whom nothing is known here.
        if now.saturating_sub(self.since) < wait {
            return None;
        }
        let free = |version: Version| {
            self.seen.values().all(|seen| {
                let live =
                    |(newest, at): (&Version, &Micros)| *newest < version && now.saturating_sub(*at) < wait;
                seen.newest >= version || !seen.granted.iter().any(live)
            })
        };
        let waiting = state.chain.iter().skip(1).map(|document| document.version);
        let version = waiting.take_while(|version| free(*version)).last()?;
        let again = self
            .activated
            .is_none_or(|(of, at)| of < version || now.saturating_sub(at) > settings.lease_expiry_wait());
        if again {
            self.activated = Some((version, now));
        }
        again.then_some(version)
    }

    /// Members that lack news, and up to where they know; each once in a while.
    pub fn uninformed(
        &mut self,
        now: Micros,
        state: &ReplicatedState,
        members: &[String],
        settings: &Settings,
    ) -> Vec<(String, Version)> {
        let (in_force, newest) = (state.in_force(), state.newest());
        for name in members {
            if !self.seen.contains_key(name) {
                // Not heard yet: told at once, and counted as there only when heard.
                self.seen.insert(name.clone(), MemberProgress { heard: now, ..MemberProgress::default() });
            }
        }
        self.seen.retain(|_, seen| {
            let lately = now.saturating_sub(seen.heard) < RECENT_WINDOW.max(settings.lease_expiry_wait());
            seen.granted.retain(|_, at| now.saturating_sub(*at) < settings.lease_expiry_wait());
            lately || !seen.granted.is_empty()
        });
        let mut tell = Vec::new();
        for (name, seen) in &mut self.seen {
            let knows = seen.newest >= newest && seen.in_force >= in_force;
            let heard = now.saturating_sub(seen.heard) < RECENT_WINDOW;
            if !knows
                && heard
                && (seen.told == 0 || now.saturating_sub(seen.told) >= settings.max_round_trip / 2)
            {
                seen.told = now.max(1);
                tell.push((name.clone(), seen.newest));
            }
        }
        tell
    }

    /// Whether most members say that this leader's clock is off: how, seen from here; once a lease.
    pub fn distrusted(&mut self, now: Micros, settings: &Settings) -> Option<ClockDrift> {
        let lately = || self.seen.values().filter(|seen| now.saturating_sub(seen.heard) < RECENT_WINDOW);
        let doubting: Vec<ClockDrift> = lately().filter_map(|seen| seen.drift).collect();
        // The leader itself is among those heard, and never doubts itself.
        let others = lately().count().saturating_sub(1);
        let again = self.distrusted.is_none_or(|at| now.saturating_sub(at) > settings.lease_expiry_wait());
        if others < 2 || 2 * doubting.len() <= others || !again {
            return None;
        }
        self.distrusted = Some(now);
        let least = doubting.iter().map(|drift| drift.min_ppm).min().unwrap_or(0);
        let fast = doubting.iter().filter(|drift| !drift.is_fast).count() * 2 > doubting.len();
        Some(ClockDrift { is_fast: fast, min_ppm: least })
    }
}
