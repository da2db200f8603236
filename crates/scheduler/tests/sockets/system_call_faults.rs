//! A scheduler whose system calls fail as a plan says: the library `copperspread-system-call-faults`, preloaded into
//! the scheduler's own process. That crate's documentation has the plan's statements.
#![allow(dead_code)]
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::LazyLock;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

use crate::sockets::{Scheduler, configuration_folder, within};

/// What `accept` returns where the process or the machine lacks something.
pub(crate) const SHORTAGES: [&str; 4] = ["EMFILE", "ENFILE", "ENOBUFS", "ENOMEM"];
/// What it returns of the one connection that it would have accepted.
pub(crate) const CONNECTION_ERRORS: [&str; 14] = [
    "ECONNABORTED",
    "EPROTO",
    "ENETDOWN",
    "ENOPROTOOPT",
    "EHOSTDOWN",
    "ENONET",
    "EHOSTUNREACH",
    "EOPNOTSUPP",
    "ENETUNREACH",
    "ETIMEDOUT",
    "ECONNRESET",
    "EPERM",
    "ENOSR",
    "EINTR",
];
/// What a connection that does not come up shows.
pub(crate) const CONNECT_ERRORS: [&str; 9] = [
    "EADDRNOTAVAIL",
    "ENETUNREACH",
    "EHOSTUNREACH",
    "ETIMEDOUT",
    "ENOBUFS",
    "ECONNREFUSED",
    "ENETDOWN",
    "EPERM",
    "EINTR",
];
/// What a connection that is no more shows.
pub(crate) const BROKEN_CONNECTION_ERRORS: [&str; 4] =
    ["ETIMEDOUT", "EHOSTUNREACH", "ECONNRESET", "ENETUNREACH"];

/// The library, built where cargo built this test. Cargo itself does not build it for a test of another package.
static LIBRARY: LazyLock<PathBuf> = LazyLock::new(|| {
    let executable = std::env::current_exe().expect("a path");
    let profile_folder = executable.parent().and_then(Path::parent).expect("PROFILE/deps/TEST");
    let target_folder = profile_folder.parent().expect("TARGET/PROFILE");
    let profile = match profile_folder.file_name().and_then(|name| name.to_str()).expect("a name") {
        "debug" => "dev",
        profile => profile,
    };
    let mut build = std::process::Command::new(env!("CARGO"));
    build.args(["build", "--quiet", "--offline", "--locked", "--package", "copperspread-system-call-faults"]);
    build.args(["--profile", profile, "--target-dir"]).arg(target_folder);
    build.current_dir(env!("CARGO_MANIFEST_DIR"));
    assert!(build.status().expect("cargo").success(), "the library is built");
    profile_folder.join("libcopperspread_system_call_faults.so")
});

/// A plan in a file, and the record of the faults that were injected.
pub(crate) struct FaultPlan {
    path: PathBuf,
    log_path: PathBuf,
}

impl Drop for FaultPlan {
    fn drop(&mut self) {
        let _ = std::fs::remove_file(&self.path);
        let _ = std::fs::remove_file(&self.log_path);
    }
}

impl FaultPlan {
    /// A plan of these statements.
    pub(crate) fn new(statements: &str) -> FaultPlan {
        static COUNT: AtomicU32 = AtomicU32::new(0);
        let number = COUNT.fetch_add(1, Ordering::Relaxed);
        let name = format!("copperspread-faults-{}-{number}", std::process::id());
        let path = configuration_folder().join(format!("{name}.plan"));
        let log_path = configuration_folder().join(format!("{name}.log"));
        let plan = FaultPlan { path, log_path };
        std::fs::write(&plan.log_path, "").expect("a log");
        std::fs::write(&plan.path, format!("log {}\n{statements}\n", plan.log_path.display()))
            .expect("a plan");
        plan
    }

    /// Adds a statement, before the program starts.
    pub(crate) fn add(&self, statement: &str) {
        let plan = std::fs::read_to_string(&self.path).expect("a plan");
        std::fs::write(&self.path, format!("{plan}{statement}\n")).expect("a plan");
    }

    /// The environment variables of a process that is to have the faults, and of no other.
    pub(crate) fn variables(&self) -> [(&'static str, &str); 2] {
        let library = LIBRARY.to_str().expect("UTF-8");
        let plan = self.path.to_str().expect("UTF-8");
        [("LD_PRELOAD", library), ("SYSTEM_CALL_FAULT_PLAN", plan)]
    }

    /// The shell's command that starts the program with the faults.
    pub(crate) fn command(&self) -> String {
        let variables = self.variables().map(|(name, value)| format!("{name}='{value}'")).join(" ");
        format!("exec env {variables} \"$PROGRAM\"")
    }

    /// The faults so far, one a line: call, target, and errno or `short BYTES`.
    pub(crate) fn injected(&self) -> Vec<String> {
        let log = std::fs::read_to_string(&self.log_path).expect("a log");
        log.lines().map(str::to_owned).collect()
    }

    /// How often this fault was injected.
    pub(crate) fn count(&self, fault: &str) -> usize {
        self.injected().iter().filter(|line| *line == fault).count()
    }

    /// Waits until this fault has been injected so often.
    pub(crate) async fn wait_for(&self, fault: &str, count: usize) {
        let reached = async {
            while self.count(fault) < count {
                tokio::time::sleep(Duration::from_millis(5)).await;
            }
        };
        within(fault, reached).await;
    }
}

/// Starts a scheduler under a plan, with workers that it knows from before. The plan's kind `discovery` is its
/// discovery.
pub(crate) async fn start_with_faults(statements: &str, known: &[SocketAddr]) -> (Scheduler, FaultPlan) {
    let plan = FaultPlan::new(statements);
    let name_discovery = |config: String| {
        let discovery = config.split("\"discovery\":\"").nth(1).and_then(|rest| rest.split('"').next());
        plan.add(&format!("address discovery {}", discovery.expect("an address")));
        config
    };
    let scheduler = Scheduler::start_edited(&plan.command(), known, name_discovery).await;
    (scheduler, plan)
}
