//! The scheduler process of a member of a fleet. Only processes that this crate has started are signalled.
use std::fs::File;
use std::path::Path;
use std::process::{Child, Command, Stdio};

use rustix::process::{Pid, Signal, kill_process};

/// A scheduler process that runs or is paused. When this value is dropped, the process is killed, and the
/// drop waits for its exit.
pub(crate) struct SchedulerProcess(Child);

impl SchedulerProcess {
    /// Starts the scheduler with the given configuration file. The scheduler's log is written to the given
    /// file.
    ///
    /// # Panics
    /// Panics if the program cannot be started.
    pub(crate) fn start(program: &Path, config: &Path, log: File) -> SchedulerProcess {
        let mut command = Command::new(program);
        // `EDGE_CONFIG` contains the path of the hosting platform's configuration file, which must not be
        // used in tests.
        command.args(["serve", "--config"]).arg(config).env_remove("EDGE_CONFIG");
        command.stdin(Stdio::null()).stdout(Stdio::null()).stderr(log);
        SchedulerProcess(
            command.spawn().unwrap_or_else(|error| panic!("cannot start {}: {error}", program.display())),
        )
    }

    pub(crate) fn pause(&self) {
        self.signal(Signal::STOP);
    }

    pub(crate) fn resume(&self) {
        self.signal(Signal::CONT);
    }

    fn signal(&self, signal: Signal) {
        // The signal cannot reach another process than the child. Even if the child has exited, the system
        // does not give its process id to another process before this crate has waited for the child.
        kill_process(Pid::from_child(&self.0), signal).expect("the child process can be signalled");
    }

    /// Whether the scheduler process has exited without being killed by this crate.
    pub(crate) fn has_exited(&mut self) -> bool {
        self.0.try_wait().is_ok_and(|status| status.is_some())
    }
}

impl Drop for SchedulerProcess {
    fn drop(&mut self) {
        // SIGKILL also ends a paused process. The error is ignored, because the call fails only if the
        // process has already exited.
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}
