//! A scheduler process that the harness started. It signals no other process.
use std::fs::File;
use std::path::Path;
use std::process::{Child, Command, Stdio};

use rustix::process::{Pid, Signal, kill_process};

/// A running or paused process. Dropped, it is killed and waited for.
pub(crate) struct SchedulerProcess(Child);

impl SchedulerProcess {
    /// Starts the program with a configuration file; its log goes to a file.
    ///
    /// # Panics
    /// The program cannot be started.
    pub(crate) fn start(program: &Path, config: &Path, log: File) -> SchedulerProcess {
        let mut command = Command::new(program);
        command.args(["serve", "--config"]).arg(config).env_remove("EDGE_CONFIG");
        command.stdin(Stdio::null()).stdout(Stdio::null()).stderr(log);
        SchedulerProcess(command.spawn().unwrap_or_else(|error| panic!("{}: {error}", program.display())))
    }

    pub(crate) fn pause(&self) {
        self.signal(Signal::STOP);
    }

    pub(crate) fn resume(&self) {
        self.signal(Signal::CONT);
    }

    fn signal(&self, signal: Signal) {
        // The child is not waited for yet, so that its id is still its own, even if it has exited.
        kill_process(Pid::from_child(&self.0), signal).expect("a signal to an own process");
    }

    /// Whether it has exited by itself.
    pub(crate) fn has_exited(&mut self) -> bool {
        self.0.try_wait().is_ok_and(|status| status.is_some())
    }
}

impl Drop for SchedulerProcess {
    fn drop(&mut self) {
        // SIGKILL ends a paused process too. It fails only where the process has exited.
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}
