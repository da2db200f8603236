//! The fault plan of this process, and the log of the faults that were injected.
use std::fs::{File, OpenOptions};
use std::os::fd::AsRawFd;
use std::sync::OnceLock;
use std::time::Instant;

use crate::call::{Call, Target};
use crate::plan::{Fault, Plan};

/// The environment variable that contains the path of the fault plan.
const PLAN_VARIABLE: &str = "SYSTEM_CALL_FAULT_PLAN";

/// The fault plan, the time at which it was loaded, and the log of injected faults.
pub(crate) struct Injector {
    pub(crate) plan: Plan,
    pub(crate) started: Instant,
    log: Option<File>,
}

/// The injector of this process, set before the program's `main`. Until then, no fault is injected into any
/// call; this includes the calls that read the plan.
static INJECTOR: OnceLock<Injector> = OnceLock::new();

/// Loads the fault plan from the path in the environment variable `SYSTEM_CALL_FAULT_PLAN`. Does nothing if
/// the variable is not set.
pub(crate) fn load() -> Result<(), String> {
    let Some(path) = std::env::var_os(PLAN_VARIABLE) else { return Ok(()) };
    let text = std::fs::read_to_string(&path).map_err(|error| format!("{}: {error}", path.display()))?;
    let plan: Plan = text.parse().map_err(|error| format!("{}: {error}", path.display()))?;
    let open_log = |path| OpenOptions::new().append(true).create(true).open(path);
    let log = plan.log_path.as_ref().map(open_log).transpose().map_err(|error| error.to_string())?;
    let _ = INJECTOR.set(Injector { plan, started: Instant::now(), log });
    Ok(())
}

/// Returns the injector of this process, or `None` if no fault plan was loaded.
pub(crate) fn injector() -> Option<&'static Injector> {
    INJECTOR.get()
}

/// Returns the injector of this process if its fault plan has a rule for this kind of call.
pub(crate) fn injector_for(call: Call) -> Option<&'static Injector> {
    injector().filter(|injector| injector.plan.has_rule_for(call))
}

impl Injector {
    /// Counts a call in the rules of the fault plan, logs the fault to inject into the call and returns it.
    /// If the fault is to kill the process, this function does not return.
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
