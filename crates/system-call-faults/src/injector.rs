//! The process-wide plan, and the log of injected faults.
use std::fs::{File, OpenOptions};
use std::os::fd::AsRawFd;
use std::sync::OnceLock;
use std::time::Instant;

use crate::call::{Call, Target};
use crate::plan::{Fault, Plan};

/// The environment variable with the path of the plan.
const PLAN_VARIABLE: &str = "SYSTEM_CALL_FAULT_PLAN";

/// The plan, its start time and the log of injected faults.
pub(crate) struct Injector {
    pub(crate) plan: Plan,
    pub(crate) started: Instant,
    log: Option<File>,
}

/// The injector, set once before the program's `main`. Until then every call passes through, including the
/// calls that read the plan.
static INJECTOR: OnceLock<Injector> = OnceLock::new();

/// Loads the plan if the environment variable names one.
pub(crate) fn load() -> Result<(), String> {
    let Some(path) = std::env::var_os(PLAN_VARIABLE) else { return Ok(()) };
    let text = std::fs::read_to_string(&path).map_err(|error| format!("{}: {error}", path.display()))?;
    let plan: Plan = text.parse().map_err(|error| format!("{}: {error}", path.display()))?;
    let open_log = |path| OpenOptions::new().append(true).create(true).open(path);
    let log = plan.log_path.as_ref().map(open_log).transpose().map_err(|error| error.to_string())?;
    let _ = INJECTOR.set(Injector { plan, started: Instant::now(), log });
    Ok(())
}

/// Returns the injector, or `None` without a plan.
pub(crate) fn injector() -> Option<&'static Injector> {
    INJECTOR.get()
}

/// Returns the injector if its plan has a rule for this call.
pub(crate) fn injector_for(call: Call) -> Option<&'static Injector> {
    injector().filter(|injector| injector.plan.has_rule_for(call))
}

impl Injector {
    /// Counts a call and returns the fault to inject into it. Does not return if the fault kills the process.
    pub(crate) fn next_fault(&self, call: Call, target: Target<'_>) -> Option<Fault> {
        let fault = self.plan.next_fault(call, target)?;
        self.log_fault(call, target, fault);
        if fault == Fault::Kill {
            // SAFETY: the call only sends a signal to this process.
            unsafe { libc::kill(libc::getpid(), libc::SIGKILL) };
        }
        Some(fault)
    }

    fn log_fault(&self, call: Call, target: Target<'_>, fault: Fault) {
        let Some(log) = &self.log else { return };
        let target = match target {
            Target::Socket(kind) => kind.name(),
            Target::File(path) => path,
            Target::Unspecific => "any",
        };
        let line = format!("{} {target} {fault}\n", call.name());
        // The log is written by a direct system call, because faults may be injected into the C library's
        // `write`.
        // SAFETY: the descriptor stays open for the lifetime of the process, and the buffer is valid for its
        // length.
        unsafe { libc::syscall(libc::SYS_write, log.as_raw_fd(), line.as_ptr(), line.len()) };
    }
}
