//! The scheduler process of a member. The harness signals only processes that it has started.
use std::fs::File;
use std::path::Path;
use std::process::{Child, Command, Stdio};

use rustix::process::{Pid, Signal, kill_process};

/// A running or paused scheduler process. Dropping it kills the process and waits for its exit.
pub(crate) struct SchedulerProcess(Child);

impl SchedulerProcess {
    /// Starts the scheduler with a configuration file and writes its log to a file.
    ///
    /// # Panics
    /// Panics if the program cannot be started.
    pub(crate) fn start(program: &Path, config: &Path, log: File) -> SchedulerProcess {
        let mut command = Command::new(program);
        // `EDGE_CONFIG` names the configuration file of the hosting platform, which must not take effect in
        // tests.
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
        // The signal cannot reach another process than the child. The system does not reuse the child's
        // process id before the harness has waited for the child, even if the child has exited.
        kill_process(Pid::from_child(&self.0), signal).expect("the child process can be signalled");
    }

    /// Whether the process has exited without being killed by the harness.
    pub(crate) fn has_exited(&mut self) -> bool {
        self.0.try_wait().is_ok_and(|status| status.is_some())
    }
}

impl Drop for SchedulerProcess {
    fn drop(&mut self) {
        // SIGKILL ends a paused process too. The error is ignored, because the call fails only if the process
        // has exited already.
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}
