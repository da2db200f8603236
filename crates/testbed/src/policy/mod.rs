//! The dispatch policies that the testbed can run: the scheduler's dispatcher, textbook policies for
//! comparison, and deliberately faulty policies that test the rule checker.
mod baseline;
mod broken;

use copperspread_dispatcher::{DiscoveryMode, DispatchPolicy, Dispatcher, Settings, SettingsError};
use serde::{Deserialize, Serialize};

use self::baseline::{Baseline, SelectionRule};
use self::broken::{BrokenPolicy, Defect};
use crate::model::random::RandomStream;
use crate::model::worker::TrueState;

/// A dispatch policy that runs in one scheduler of the testbed.
pub trait Policy: DispatchPolicy {
    /// Returns whether the policy must be given the true states of the workers before each request.
    fn needs_true_state(&self) -> bool {
        false
    }

    /// Gives the policy the true state of each worker. A real scheduler cannot know these states.
    fn observe_true_state(&mut self, _states: &[TrueState]) {}
}

impl Policy for Dispatcher {}

/// The kinds of dispatch policies. The name of a kind is written in snake case on the command line, in
/// experiment files and in results.
// Serde writes the type's name into error messages. The attributes keep the earlier name `Kind` there, so
// that a rename of the type does not change the messages.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename = "Kind", rename_all = "snake_case", expecting = "enum Kind")]
pub enum PolicyKind {
    /// The dispatcher that a real scheduler uses.
    Copperspread,
    /// A policy that selects a ready worker at random.
    Random,
    /// A policy that selects the ready workers in turn.
    RoundRobin,
    /// A policy that selects the worker at which the fewest requests of this scheduler are outstanding.
    LeastOutstanding,
    /// A policy that draws two workers at random, and selects the one with fewer outstanding requests of this
    /// scheduler.
    TwoChoices,
    /// A policy that selects the worker with the lowest ratio of outstanding work to learned speed. The
    /// outstanding work is that of this scheduler's requests at the worker, taken from their cost hints. The
    /// policy rejects a request only if the request has been sent to all ready workers.
    LeastCost,
    /// A policy that knows the true states of the workers, and selects the worker that would finish a request
    /// first. It rejects a request that would miss its deadline.
    Oracle,
    /// A deliberately faulty policy that tests the rule checker. It acts like the dispatcher, except that
    /// some requests get two final responses.
    AnswersTwice,
    /// A deliberately faulty policy that tests the rule checker. It acts like the dispatcher, except that
    /// some requests get no final response.
    NeverAnswers,
    /// A deliberately faulty policy that tests the rule checker. It acts like the dispatcher, with one
    /// exception: if an attempt may have run, the policy sends the request again to a worker in another zone.
    Resends,
    /// A deliberately faulty policy that tests the rule checker. It acts like the dispatcher, except that
    /// draining and removed workers count as ready.
    IgnoresDrains,
    /// A deliberately faulty policy that tests the rule checker. It sends every request to the worker that
    /// started last.
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

    /// Returns the policy's name as it is written on the command line, in experiment files and in results.
    pub fn name(self) -> String {
        serde_json::to_value(self).ok().and_then(|name| name.as_str().map(str::to_owned)).unwrap_or_default()
    }

    /// Builds the policy for one scheduler. The dispatcher draws its random numbers from a generator with the
    /// seed `seed`. Baseline policies draw theirs from `random`.
    ///
    /// # Errors
    /// Fails if the dispatcher does not accept `settings`.
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
