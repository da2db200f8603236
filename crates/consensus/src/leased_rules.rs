//! What one member holds and may act on.
use std::collections::BTreeMap;
use std::sync::Arc;

use crate::{DecisionBasis, Micros, Rules, Version, VersionedDocument};

/// What a decision is to act on.
#[derive(Debug)]
pub enum EffectiveRules<'a, R> {
    /// The version in force.
    InForce(&'a R),
    /// What all versions that may be in force allow.
    Restricted(&'a R),
}

impl<R> EffectiveRules<'_, R> {
    /// The rules, whichever they are.
    pub fn rules(&self) -> &R {
        match self {
            EffectiveRules::InForce(rules) | EffectiveRules::Restricted(rules) => rules,
        }
    }
}

/// The versions that may be in force as far as a member knows, and its lease: while that lives, none later than
/// the newest held here is in force, and none earlier than the first. Cheap to clone, for a snapshot that
/// another thread reads.
#[derive(Clone, Debug)]
pub struct LeasedRules<R> {
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

impl<R: Rules> LeasedRules<R> {
    /// A member that knows only its own configuration, and has no lease.
    pub(crate) fn new(own: R) -> LeasedRules<R> {
        let unheard = Arc::new(own.without_lease());
        let own = Arc::new(own);
        let chain = BTreeMap::from([(Version::default(), own.clone())]);
        LeasedRules { chain, joint: own, unheard, until: 0, doubted: false, looks: true }
    }

    /// What a decision at this instant is to act on. It looks at the lease itself: a process that was stopped
    /// and wakes asks here before any timer of its own has run.
    pub fn effective_rules(&self, now: Micros) -> EffectiveRules<'_, R> {
        if self.looks && !self.has_lease(now) {
            EffectiveRules::Restricted(&self.unheard)
        } else if self.chain.len() > 1 {
            EffectiveRules::Restricted(&self.joint)
        } else {
            EffectiveRules::InForce(&self.joint)
        }
    }

    /// By what that is, for records and checkers.
    pub fn basis(&self, now: Micros) -> DecisionBasis {
        let heard = self.has_lease(now) || !self.looks;
        if heard && self.chain.len() == 1 {
            return DecisionBasis::InForce(self.in_force());
        }
        DecisionBasis::Restricted { in_force: self.in_force(), newest: self.newest(), has_lease: heard }
    }

    /// Whether the lease lives.
    pub fn has_lease(&self, now: Micros) -> bool {
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
    pub(crate) fn learn(&mut self, versions: &[Version], documents: &[VersionedDocument]) -> bool {
        let (Some(&first), Some(&last)) = (versions.first(), versions.last()) else { return false };
        if last < self.in_force() || (first <= self.in_force() && last <= self.newest()) {
            // Old news; it is known already.
            return self.chain.contains_key(&last) || last < self.in_force();
        }
        let mut chain = self.chain.clone();
        for document in documents {
            if chain.contains_key(&document.version) || !document.has_valid_digest() {
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
            let joint = rest.iter().fold((**first).clone(), |joint, next| joint.intersection(next));
            self.joint = Arc::new(joint);
        }
        self.unheard = Arc::new(self.joint.without_lease());
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
