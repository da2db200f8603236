//! One process that the harness started, and nothing else's.
use std::fs::File;
use std::path::Path;
use std::process::{Child, Command, Stdio};

use rustix::process::{Pid, Signal, kill_process};

/// A process; it ends with this.
pub(crate) struct SchedulerProcess(Child);

impl SchedulerProcess {
    /// Starts the program by a configuration; its log goes to a file.
    pub(crate) fn start(program: &Path, config: &Path, log: File) -> SchedulerProcess {
        let mut command = Command::new(program);
        command.args(["serve", "--config"]).arg(config).env_remove("EDGE_CONFIG");
        command.stdin(Stdio::null()).stdout(Stdio::null()).stderr(log);
        SchedulerProcess(command.spawn().unwrap_or_else(|e| panic!("{}: {e}", program.display())))
    }

    pub(crate) fn pause(&self) {
        self.signal(Signal::STOP);
    }

    pub(crate) fn resume(&self) {
        self.signal(Signal::CONT);
    }

    fn signal(&self, signal: Signal) {
        // Not waited for yet, so the number is still this process's, even if it has ended.
        kill_process(Pid::from_child(&self.0), signal).expect("a signal to an own process");
    }

    /// Whether it has ended by itself.
    pub(crate) fn has_exited(&mut self) -> bool {
        self.0.try_wait().is_ok_and(|status| status.is_some())
    }
}

impl Drop for SchedulerProcess {
    fn drop(&mut self) {
        // SIGKILL ends one that is stopped too. Fails only where it has ended.
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}
