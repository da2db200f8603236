//! What one member holds and may act on.
use std::collections::BTreeMap;
use std::sync::Arc;

use crate::{Basis, Document, Micros, Rules, Version};

/// What a decision is to act on.
#[derive(Debug)]
pub enum Acting<'a, R> {
    /// The version in force.
    Agreed(&'a R),
    /// What all versions that may be in force allow.
    Safe(&'a R),
}

impl<R> Acting<'_, R> {
    /// The rules, whichever they are.
    pub fn rules(&self) -> &R {
        match self {
            Acting::Agreed(rules) | Acting::Safe(rules) => rules,
        }
    }
}

/// The versions that may be in force as far as a member knows, and its lease: while that lives, none later than
/// the newest held here is in force, and none earlier than the first. Cheap to clone, for a snapshot that
/// another thread reads.
#[derive(Clone, Debug)]
pub struct Held<R> {
    /// From the one known to be in force to the newest, and their bytes' rules.
    chain: BTreeMap<Version, Arc<R>>,
    /// What all of them allow, worked out ahead: the decision only looks.
    joint: Arc<R>,
    /// What may be acted on without a lease.
    unheard: Arc<R>,
    /// The lease's end.
    until: Micros,
    /// The clock was proved to be off: the lease's end says nothing.
    doubted: bool,
    /// Taken away only to show that the checkers notice.
    looks: bool,
}

impl<R: Rules> Held<R> {
    /// A member that knows only its own configuration, and has no lease.
    pub(crate) fn new(own: R) -> Held<R> {
        let unheard = Arc::new(own.unheard());
        let own = Arc::new(own);
        let chain = BTreeMap::from([(Version::default(), own.clone())]);
        Held { chain, joint: own, unheard, until: 0, doubted: false, looks: true }
    }

    /// What a decision at this instant is to act on. It looks at the lease itself: a process that was stopped
    /// and wakes asks here before any timer of its own has run.
    pub fn rules(&self, now: Micros) -> Acting<'_, R> {
        if self.looks && !self.leased(now) {
            Acting::Safe(&self.unheard)
        } else if self.chain.len() > 1 {
            Acting::Safe(&self.joint)
        } else {
            Acting::Agreed(&self.joint)
        }
    }

    /// By what that is, for records and checkers.
    pub fn basis(&self, now: Micros) -> Basis {
        let heard = self.leased(now) || !self.looks;
        if heard && self.chain.len() == 1 {
            return Basis::Agreed(self.in_force());
        }
        Basis::Safe { from: self.in_force(), to: self.newest(), heard }
    }

    /// Whether the lease lives.
    pub fn leased(&self, now: Micros) -> bool {
        now < self.until && !self.doubted
    }

    /// The version that was in force last, as far as is known.
    pub fn in_force(&self) -> Version {
        self.chain.first_key_value().map_or(Version::default(), |(version, _)| *version)
    }

    /// The newest that was ordered, as far as is known.
    pub fn newest(&self) -> Version {
        self.chain.last_key_value().map_or(Version::default(), |(version, _)| *version)
    }

    /// Takes what the leader says is so: the versions from the one in force to the newest, and the documents
    /// of some. False if one is missing or broken: then nothing was learned, and no lease may rest on it.
    pub(crate) fn learn(&mut self, versions: &[Version], documents: &[Document]) -> bool {
        let (Some(&first), Some(&last)) = (versions.first(), versions.last()) else { return false };
        if last < self.in_force() || (first <= self.in_force() && last <= self.newest()) {
            // Old news; it is known already.
            return self.chain.contains_key(&last) || last < self.in_force();
        }
        let mut chain = self.chain.clone();
        for document in documents {
            if chain.contains_key(&document.version) || !document.whole() {
                continue;
            }
            let Ok(rules) = postcard::from_bytes::<R>(&document.bytes) else { continue };
            chain.insert(document.version, Arc::new(rules));
        }
        let first = first.max(self.in_force());
        if versions.iter().any(|version| *version >= first && !chain.contains_key(version)) {
            return false;
        }
        chain.retain(|version, _| *version >= first);
        self.chain = chain;
        self.join();
        true
    }

    fn join(&mut self) {
        let mut all = self.chain.values();
        let Some(first) = all.next() else { return };
        let rest: Vec<_> = all.collect();
        if rest.is_empty() {
            self.joint = first.clone();
        } else {
            let joint = rest.iter().fold((**first).clone(), |joint, next| joint.narrower(next));
            self.joint = Arc::new(joint);
        }
        self.unheard = Arc::new(self.joint.unheard());
    }

    /// The lease lives until then at least.
    pub(crate) fn extend(&mut self, until: Micros) {
        self.until = self.until.max(until);
    }

    /// The clock was proved off, or was cleared.
    pub(crate) fn doubt(&mut self, doubted: bool) {
        self.doubted = doubted;
    }

    /// Takes the look at the lease out, to show that a checker notices.
    pub(crate) fn blind(&mut self) {
        self.looks = false;
    }
}
