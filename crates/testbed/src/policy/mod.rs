//! Dispatch policies for comparison: the dispatcher, textbook baselines and deliberately broken policies.
mod baseline;
mod broken;

use copperspread_dispatcher::{DiscoveryMode, DispatchPolicy, Dispatcher, Settings, SettingsError};
use serde::{Deserialize, Serialize};

use self::baseline::{Baseline, SelectionRule};
use self::broken::{BrokenPolicy, Defect};
use crate::model::random::RandomStream;
use crate::model::worker::TrueState;

/// A dispatch policy that runs in one scheduler of a testbed run.
pub trait Policy: DispatchPolicy {
    /// Returns whether the policy must get the workers' true states before each request.
    fn needs_true_state(&self) -> bool {
        false
    }

    /// Gives the policy the true state of each worker, which a real scheduler cannot know.
    fn observe_true_state(&mut self, _states: &[TrueState]) {}
}

impl Policy for Dispatcher {}

/// The kind of a dispatch policy, whose name is in snake case on the command line, in experiment files and in
/// results.
// The serde attribute keeps the type's earlier name in error messages.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename = "Kind", rename_all = "snake_case", expecting = "enum Kind")]
pub enum PolicyKind {
    /// The dispatcher that the scheduler uses.
    Copperspread,
    /// Selects a ready worker at random.
    Random,
    /// Selects the ready workers in turn.
    RoundRobin,
    /// Selects the worker with the fewest outstanding requests of this scheduler.
    LeastOutstanding,
    /// Selects two workers at random, and of these the one with fewer outstanding requests of this scheduler.
    TwoChoices,
    /// Selects the worker with the least outstanding work of this scheduler by cost hints, divided by the
    /// worker's learned speed. It rejects a request only if no untried worker is ready.
    LeastCost,
    /// Selects the worker with the earliest true finish time, and rejects requests that would miss their
    /// deadline.
    Oracle,
    /// Broken: the dispatcher, but some requests get two final responses.
    AnswersTwice,
    /// Broken: the dispatcher, but some requests get no final response.
    NeverAnswers,
    /// Broken: the dispatcher, but attempts that may have run are retried in another zone.
    Resends,
    /// Broken: the dispatcher, but draining and removed workers count as ready.
    IgnoresDrains,
    /// Broken: every request goes to the worker that started last.
    #[serde(rename = "floods_the_new")]
    NewestWorker,
}

impl PolicyKind {
    /// The policies that a comparison runs by default.
    pub const COMPARED: [PolicyKind; 7] = [
        PolicyKind::Copperspread,
        PolicyKind::Random,
        PolicyKind::RoundRobin,
        PolicyKind::LeastOutstanding,
        PolicyKind::TwoChoices,
        PolicyKind::LeastCost,
        PolicyKind::Oracle,
    ];

    /// Returns the policy's name as written on the command line, in experiment files and in results.
    pub fn name(self) -> String {
        serde_json::to_value(self).ok().and_then(|name| name.as_str().map(str::to_owned)).unwrap_or_default()
    }

    /// Builds the policy for one scheduler. The dispatcher draws its random numbers from `seed`, baselines
    /// from `random`.
    ///
    /// # Errors
    /// Fails if the dispatcher does not accept the settings.
    pub fn build(
        self,
        settings: Settings,
        seed: u64,
        random: RandomStream,
    ) -> Result<Box<dyn Policy>, SettingsError> {
        let must_subscribe = settings.discovery == DiscoveryMode::Polled;
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
            PolicyKind::NewestWorker => baseline(SelectionRule::Newest),
            PolicyKind::AnswersTwice => broken(Defect::AnswersTwice)?,
            PolicyKind::NeverAnswers => broken(Defect::NeverAnswers)?,
            PolicyKind::Resends => broken(Defect::Resends)?,
            PolicyKind::IgnoresDrains => broken(Defect::IgnoresDrains)?,
        })
    }
}
