//! The commands of the program, each in its own file.
pub(crate) mod compare;
pub(crate) mod cost;
pub(crate) mod emulate;
pub(crate) mod load;
mod outcome_text;
mod output;
pub(crate) mod run;
mod shipped_scenarios;
mod show;
pub(crate) mod sim;
pub(crate) mod trace;

use std::error::Error;

use copperspread_testbed::emulation::baseline;
use copperspread_testbed::relay;

use crate::cli::Command;

/// The status of a command that returned no error: whether a run violated a rule of the rule checker. The
/// rule checker checks that schedulers keep certain rules, such as one final response for each request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum CommandStatus {
    /// The command succeeded, and no run of `sim`, `emulate` or `run` violated a rule of the rule checker.
    /// The `compare` command returns this status even if a run violated a rule. Only its printed results then
    /// show the violations.
    Done,
    /// A run of the `sim`, `emulate` or `run` command violated a rule of the rule checker.
    RulesViolated,
}

impl CommandStatus {
    fn from_violations(are_rules_violated: bool) -> CommandStatus {
        if are_rules_violated { CommandStatus::RulesViolated } else { CommandStatus::Done }
    }
}

/// The result of a command. The type of the error does not matter, because the error is only printed.
pub(crate) type CommandResult = Result<CommandStatus, Box<dyn Error>>;

/// Executes the command that the command line names. For `sim`, `emulate` and `run`, the returned status says
/// whether a run violated a rule of the rule checker.
pub(crate) fn run(command: Command) -> CommandResult {
    match command {
        Command::Scenarios => show::list_scenarios(),
        Command::Show { name } => show::show_scenario(&name),
        Command::Sim(arguments) => sim::run(&arguments),
        Command::Emulate(arguments) => emulate::run(arguments),
        Command::Trace(arguments) => trace::run(&arguments),
        Command::Cost(arguments) => cost::run(arguments),
        Command::Node { policy } => {
            baseline::serve_policy(policy)?;
            Ok(CommandStatus::Done)
        }
        Command::Relay => {
            relay::serve_relay()?;
            Ok(CommandStatus::Done)
        }
        Command::Load(arguments) => load::run(&arguments),
        Command::Run(arguments) => run::run(arguments),
        Command::Compare(arguments) => compare::run(arguments),
    }
}
