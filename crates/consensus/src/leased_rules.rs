//! The versions of the fleet's rules that a member knows, its lease, and the rules that its decisions must
//! follow.
use std::collections::BTreeMap;
use std::sync::Arc;

use crate::decision_conflict::DecisionBasis;
use crate::rules::Rules;
use crate::time::Micros;
use crate::versioned_document::{Version, VersionedDocument};

/// The rules that a member must follow when it decides whether to allow a request.
#[derive(Debug)]
pub enum EffectiveRules<'a, R> {
    /// The member must follow these rules, which are those of the version in force.
    InForce(&'a R),
    /// The member must follow these restricted rules. They allow only what all versions that may be in force
    /// allow.
    Restricted(&'a R),
}

impl<R> EffectiveRules<'_, R> {
    /// Returns the rules by which the member must decide whether to allow a request, whichever variant holds
    /// them.
    pub fn rules(&self) -> &R {
        match self {
            EffectiveRules::InForce(rules) | EffectiveRules::Restricted(rules) => rules,
        }
    }
}

/// A member's lease, and the versions of the fleet's rules that may be in force as far as the member knows.
///
/// While the lease holds, the version in force is one of the known versions. Only the member's
/// [`crate::Node`] changes the lease and the versions. A clone costs little, and serves as a snapshot for
/// another thread.
#[derive(Clone, Debug)]
pub struct LeasedRules<R> {
    /// The rules of all versions from the one that the member last knew to be in force to the newest that it
    /// knows. Never empty.
    versions: BTreeMap<Version, Arc<R>>,
    /// The rules that allow only what all known versions allow. They are computed when the known versions
    /// change, so that a decision only reads them.
    intersection: Arc<R>,
    /// The restricted rules that the member follows without a lease.
    without_lease: Arc<R>,
    lease_expires_at: Micros,
    /// Whether the member's clock is proven to drift by more than [`crate::Settings::max_drift_ppm`] permits.
    /// If so, the expiry time of the lease is not reliable, and the lease does not count.
    is_clock_suspect: bool,
    /// Whether decisions check the lease. False only in tests. These tests verify that they detect the
    /// conflicting decisions that a missing lease check causes.
    checks_lease: bool,
}

impl<R: Rules> LeasedRules<R> {
    /// Creates the state of a member that has no lease and knows only the rules of its own configuration.
    pub(crate) fn new(initial: R) -> LeasedRules<R> {
        let without_lease = Arc::new(initial.without_lease());
        let initial = Arc::new(initial);
        LeasedRules {
            versions: BTreeMap::from([(Version::default(), initial.clone())]),
            intersection: initial,
            without_lease,
            lease_expires_at: 0,
            is_clock_suspect: false,
            checks_lease: true,
        }
    }

    /// Returns the rules that a decision at the time `now` must follow.
    ///
    /// Each call checks the lease. A timer would not be enough: a process that resumes from a pause may make
    /// decisions before any of its timers has run, and would rely on a lease that has expired.
    pub fn effective_rules(&self, now: Micros) -> EffectiveRules<'_, R> {
        if self.checks_lease && !self.has_lease(now) {
            EffectiveRules::Restricted(&self.without_lease)
        } else if self.versions.len() > 1 {
            EffectiveRules::Restricted(&self.intersection)
        } else {
            EffectiveRules::InForce(&self.intersection)
        }
    }

    /// Returns which versions of the fleet's rules a decision at the time `now` is based on, if the decision
    /// follows [`LeasedRules::effective_rules`]. Event logs record the result. Tests search the recorded
    /// decisions for those that contradict each other ([`crate::decisions_conflict`]).
    pub fn basis(&self, now: Micros) -> DecisionBasis {
        let has_lease = self.has_lease(now) || !self.checks_lease;
        if has_lease && self.versions.len() == 1 {
            return DecisionBasis::InForce(self.in_force());
        }
        DecisionBasis::Restricted { in_force: self.in_force(), newest: self.newest(), has_lease }
    }

    /// Whether the member's lease holds at the time `now`.
    pub fn has_lease(&self, now: Micros) -> bool {
        now < self.lease_expires_at && !self.is_clock_suspect
    }

    /// The version of the fleet's rules that this member last knew to be in force.
    pub fn in_force(&self) -> Version {
        self.versions.first_key_value().map_or(Version::default(), |(version, _)| *version)
    }

    /// The newest committed version of the fleet's rules that this member knows.
    pub fn newest(&self) -> Version {
        self.versions.last_key_value().map_or(Version::default(), |(version, _)| *version)
    }

    /// Applies a version update from the leader. The update lists all versions of the fleet's rules from the
    /// one in force to the newest. It contains the documents of the listed versions that the leader does not
    /// expect this member to know.
    ///
    /// Returns whether this member then knows all listed versions that it needs. It does not need those that
    /// are older than the version that it knew to be in force before the update. If a needed version is not
    /// known, and its document is missing or damaged, nothing changes and the result is false. No lease may
    /// then be based on the update.
    pub(crate) fn apply_update(&mut self, versions: &[Version], documents: &[VersionedDocument]) -> bool {
        let (Some(&first), Some(&last)) = (versions.first(), versions.last()) else { return false };
        if self.is_outdated(first, last) {
            return self.versions.contains_key(&last) || last < self.in_force();
        }
        let mut known = self.versions.clone();
        for document in documents {
            if known.contains_key(&document.version) || !document.has_valid_digest() {
                continue;
            }
            let Ok(rules) = postcard::from_bytes::<R>(&document.bytes) else { continue };
            known.insert(document.version, Arc::new(rules));
        }
        let first = first.max(self.in_force());
        if versions.iter().any(|version| *version >= first && !known.contains_key(version)) {
            return false;
        }
        known.retain(|version, _| *version >= first);
        self.versions = known;
        self.update_restrictions();
        true
    }

    /// Whether an update from the leader brings this member nothing new. `first` is the version of the
    /// fleet's rules that was in force when the leader made the update, and `last` is the newest version that
    /// was committed by then. The update is outdated if neither is later than the corresponding version that
    /// this member knows.
    fn is_outdated(&self, first: Version, last: Version) -> bool {
        last < self.in_force() || (first <= self.in_force() && last <= self.newest())
    }

    fn update_restrictions(&mut self) {
        let mut versions = self.versions.values();
        let Some(first) = versions.next() else { return };
        self.intersection = match versions.len() {
            0 => first.clone(),
            _ => Arc::new(versions.fold((**first).clone(), |rules, next| rules.intersection(next))),
        };
        self.without_lease = Arc::new(self.intersection.without_lease());
    }

    /// Extends the member's lease to the time `expires_at`. The lease is never shortened.
    pub(crate) fn extend_lease(&mut self, expires_at: Micros) {
        self.lease_expires_at = self.lease_expires_at.max(expires_at);
    }

    /// Records whether the member's clock is proven to drift by more than [`crate::Settings::max_drift_ppm`]
    /// permits.
    pub(crate) fn set_clock_suspect(&mut self, is_suspect: bool) {
        self.is_clock_suspect = is_suspect;
    }

    /// Disables the lease check, for tests. These tests verify that they detect the conflicting decisions
    /// that a missing lease check causes.
    pub(crate) fn disable_lease_check(&mut self) {
        self.checks_lease = false;
    }
}
