//! Builds the dispatch policies that can be compared: the dispatcher, textbook baselines, and broken ones.
mod baseline;
mod broken;

use copperspread_dispatcher::{Discovery, DispatchPolicy, Dispatcher, Settings, SettingsError};
use serde::{Deserialize, Serialize};

use self::baseline::{Baseline, SelectionRule};
use self::broken::{BrokenPolicy, Defect};
use crate::model::random::RandomStream;
use crate::model::worker::TrueState;

/// The dispatch policy of one scheduler.
pub trait Policy: DispatchPolicy {
    /// Whether it must be shown the workers' true state before each request.
    fn needs_true_state(&self) -> bool {
        false
    }

    /// Shows it the true state of each worker, which no real scheduler knows.
    fn observe_true_state(&mut self, _states: &[TrueState]) {}
}

impl Policy for Dispatcher {}

/// Which policy. Texts and files name it in snake case.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename = "Kind", rename_all = "snake_case", expecting = "enum Kind")]
pub enum PolicyKind {
    /// The dispatcher.
    Copperspread,
    /// A ready worker at random.
    Random,
    /// The ready workers in turn.
    RoundRobin,
    /// The worker with the fewest outstanding requests of this scheduler.
    LeastOutstanding,
    /// The worker with fewer outstanding requests of this scheduler, of two at random.
    TwoChoices,
    /// The worker with the least outstanding work of this scheduler by cost hints, divided by the worker's
    /// learned speed. Rejects nothing.
    LeastCost,
    /// The worker with the earliest true finish time. Rejects what would be late.
    Oracle,
    /// Broken: the dispatcher, but some requests get two final responses.
    AnswersTwice,
    /// Broken: the dispatcher, but some requests get no final response.
    NeverAnswers,
    /// Broken: the dispatcher, but attempts that may have run are retried, also in another zone.
    Resends,
    /// Broken: the dispatcher, but draining workers count as ready.
    IgnoresDrains,
    /// Broken: every request goes to the worker that started last.
    FloodsTheNew,
}

impl PolicyKind {
    /// The policies that a comparison runs.
    pub const COMPARED: [PolicyKind; 7] = [
        PolicyKind::Copperspread,
        PolicyKind::Random,
        PolicyKind::RoundRobin,
        PolicyKind::LeastOutstanding,
        PolicyKind::TwoChoices,
        PolicyKind::LeastCost,
        PolicyKind::Oracle,
    ];

    /// Its name as texts and files write it.
    pub fn name(self) -> String {
        serde_json::to_value(self).ok().and_then(|name| name.as_str().map(str::to_owned)).unwrap_or_default()
    }

    /// Builds the policy for one scheduler. The dispatcher takes its randomness from the seed, baselines take
    /// it from the stream.
    ///
    /// # Errors
    /// Settings that the dispatcher does not accept.
    pub fn build(
        self,
        settings: Settings,
        seed: u64,
        random: RandomStream,
    ) -> Result<Box<dyn Policy>, SettingsError> {
        let must_subscribe = settings.discovery == Discovery::Polled;
        let dispatcher = |settings| Dispatcher::new(settings, seed);
        let baseline = |rule| Box::new(Baseline::new(rule, random, must_subscribe));
        let broken = |defect| -> Result<Box<dyn Policy>, SettingsError> {
            Ok(Box::new(BrokenPolicy::new(dispatcher(settings.clone())?, defect)))
        };
        Ok(match self {
            PolicyKind::Copperspread => Box::new(dispatcher(settings)?),
            PolicyKind::Random => baseline(SelectionRule::Random),
            PolicyKind::RoundRobin => baseline(SelectionRule::RoundRobin),
            PolicyKind::LeastOutstanding => baseline(SelectionRule::LeastOutstanding),
            PolicyKind::TwoChoices => baseline(SelectionRule::TwoChoices),
            PolicyKind::LeastCost => baseline(SelectionRule::LeastCost),
            PolicyKind::Oracle => baseline(SelectionRule::EarliestTrueFinish),
            PolicyKind::FloodsTheNew => baseline(SelectionRule::Newest),
            PolicyKind::AnswersTwice => broken(Defect::AnswersTwice)?,
            PolicyKind::NeverAnswers => broken(Defect::NeverAnswers)?,
            PolicyKind::Resends => broken(Defect::Resends)?,
            PolicyKind::IgnoresDrains => broken(Defect::IgnoresDrains)?,
        })
    }
}
