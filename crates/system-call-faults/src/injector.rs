//! The process's one plan, and the record of the faults that were injected.
use std::fs::{File, OpenOptions};
use std::os::fd::AsRawFd;
use std::sync::OnceLock;
use std::time::Instant;

use crate::call::{Call, Target};
use crate::plan::{Fault, Plan};

/// The environment variable that names the plan's file.
const PLAN_VARIABLE: &str = "SYSTEM_CALL_FAULT_PLAN";

/// The plan, and since when it holds.
pub(crate) struct Injector {
    pub(crate) plan: Plan,
    pub(crate) started: Instant,
    log: Option<File>,
}

/// Set once, before the program's `main`; until then every call passes through, those that read the plan too.
static INJECTOR: OnceLock<Injector> = OnceLock::new();

/// Reads the plan, if there is one.
pub(crate) fn load() -> Result<(), String> {
    let Some(path) = std::env::var_os(PLAN_VARIABLE) else { return Ok(()) };
    let text = std::fs::read_to_string(&path).map_err(|error| format!("{}: {error}", path.display()))?;
    let plan: Plan = text.parse().map_err(|error| format!("{}: {error}", path.display()))?;
    let open_log = |path| OpenOptions::new().append(true).create(true).open(path);
    let log = plan.log_path.as_ref().map(open_log).transpose().map_err(|error| error.to_string())?;
    let _ = INJECTOR.set(Injector { plan, started: Instant::now(), log });
    Ok(())
}

/// The plan in force.
pub(crate) fn injector() -> Option<&'static Injector> {
    INJECTOR.get()
}

/// The plan in force, if a rule of it is for this call.
pub(crate) fn injector_for(call: Call) -> Option<&'static Injector> {
    injector().filter(|injector| injector.plan.concerns(call))
}

impl Injector {
    /// The fault of a call that is made now. A process that is to be killed does not return.
    pub(crate) fn next_fault(&self, call: Call, target: Target<'_>) -> Option<Fault> {
        let fault = self.plan.next_fault(call, target)?;
        self.record(call, target, fault);
        if fault == Fault::Kill {
            // SAFETY: a signal to this process itself; the call has no other effect.
            unsafe { libc::kill(libc::getpid(), libc::SIGKILL) };
        }
        Some(fault)
    }

    fn record(&self, call: Call, target: Target<'_>, fault: Fault) {
        let Some(log) = &self.log else { return };
        let target = match target {
            Target::Socket(kind) => kind.name(),
            Target::File(path) => path,
            Target::Unspecific => "any",
        };
        let line = format!("{} {target} {fault}\n", call.name());
        // Past the C library, whose `write` is the one that may fail.
        // SAFETY: the descriptor is open as long as the process lives, and the buffer is valid for its length.
        unsafe { libc::syscall(libc::SYS_write, log.as_raw_fd(), line.as_ptr(), line.len()) };
    }
}
