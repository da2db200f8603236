//! The rules that tests replicate: a limit on slots, and a set of closed request classes.
use std::collections::BTreeSet;

use copperspread_consensus::Rules;
use serde::{Deserialize, Serialize};

/// The number of request classes, numbered from 0.
const CLASSES: u8 = 8;
/// The largest limit of a numbered document.
const MAX_LIMIT: u32 = 8;

/// The rules that the tests replicate.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct TestRules {
    /// The largest number of slots that is allowed, at least 1 in every version.
    pub(crate) limit: u32,
    pub(crate) closed_classes: BTreeSet<u8>,
}

impl Rules for TestRules {
    fn intersection(&self, other: &TestRules) -> TestRules {
        let closed_classes = self.closed_classes.union(&other.closed_classes).copied().collect();
        TestRules { limit: self.limit.min(other.limit), closed_classes }
    }

    fn without_lease(&self) -> TestRules {
        TestRules { limit: self.limit.min(1), closed_classes: (0..CLASSES).collect() }
    }
}

/// A request that a decision allows or forbids.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Request {
    Slots(u32),
    Class(u8),
}

impl Request {
    /// All requests on which the rules can decide.
    pub(crate) fn all() -> impl Iterator<Item = Request> {
        (1..=MAX_LIMIT).map(Request::Slots).chain((0..CLASSES).map(Request::Class))
    }
}

impl TestRules {
    pub(crate) fn new(limit: u32, closed_classes: &[u8]) -> TestRules {
        TestRules { limit, closed_classes: closed_classes.iter().copied().collect() }
    }

    /// Rules that forbid something that the rules of any other number (modulo 8) allow.
    pub(crate) fn numbered(number: u64) -> TestRules {
        TestRules::new(1 + (number * 5 % 8) as u32, &[(number % 8) as u8])
    }

    pub(crate) fn allows(&self, request: Request) -> bool {
        match request {
            Request::Slots(slots) => slots <= self.limit,
            Request::Class(class) => !self.closed_classes.contains(&class),
        }
    }
}
