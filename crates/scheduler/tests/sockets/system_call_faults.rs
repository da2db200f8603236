//! A scheduler whose system calls fail according to a fault plan, by preloading the library
//! `copperspread-system-call-faults` into its process. That crate documents the statements of a plan.
#![allow(dead_code)]
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::LazyLock;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

use crate::sockets::{Scheduler, configuration_folder, within};

/// The errors of `accept` when the process or the machine has run out of a resource.
pub(crate) const SHORTAGES: [&str; 4] = ["EMFILE", "ENFILE", "ENOBUFS", "ENOMEM"];
/// The errors of `accept` that concern only the connection it would have returned.
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
/// The errors of `connect` when no connection is established.
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
/// The errors of an established connection that has broken.
pub(crate) const BROKEN_CONNECTION_ERRORS: [&str; 4] =
    ["ETIMEDOUT", "EHOSTUNREACH", "ECONNRESET", "ENETUNREACH"];

/// The path of the library. It is built here, in the target folder of this test, because cargo does not build
/// it for a test of another package.
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
    assert!(build.status().expect("cargo runs").success(), "the library is built");
    profile_folder.join("libcopperspread_system_call_faults.so")
});

/// A fault plan in a file, and the log of the faults that were injected.
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
    /// Writes a plan of these statements.
    pub(crate) fn new(statements: &str) -> FaultPlan {
        static COUNT: AtomicU32 = AtomicU32::new(0);
        let number = COUNT.fetch_add(1, Ordering::Relaxed);
        let name = format!("copperspread-faults-{}-{number}", std::process::id());
        let path = configuration_folder().join(format!("{name}.plan"));
        let log_path = configuration_folder().join(format!("{name}.log"));
        let plan = FaultPlan { path, log_path };
        std::fs::write(&plan.log_path, "").expect("the log file is created");
        std::fs::write(&plan.path, format!("log {}\n{statements}\n", plan.log_path.display()))
            .expect("the plan file is accessible");
        plan
    }

    /// Adds a statement to the plan; to be called before the program starts.
    pub(crate) fn add(&self, statement: &str) {
        let plan = std::fs::read_to_string(&self.path).expect("the plan file is accessible");
        std::fs::write(&self.path, format!("{plan}{statement}\n")).expect("the plan file is accessible");
    }

    /// The environment variables that enable the faults in a process.
    pub(crate) fn variables(&self) -> [(&'static str, &str); 2] {
        let library = LIBRARY.to_str().expect("UTF-8");
        let plan = self.path.to_str().expect("UTF-8");
        [("LD_PRELOAD", library), ("SYSTEM_CALL_FAULT_PLAN", plan)]
    }

    /// The shell command that starts the program with the faults.
    pub(crate) fn command(&self) -> String {
        let variables = self.variables().map(|(name, value)| format!("{name}='{value}'")).join(" ");
        format!("exec env {variables} \"$PROGRAM\"")
    }

    /// The faults injected so far, one per element: call, target, and errno or `short BYTES`.
    pub(crate) fn injected(&self) -> Vec<String> {
        let log = std::fs::read_to_string(&self.log_path).expect("the log is readable");
        log.lines().map(str::to_owned).collect()
    }

    /// The number of times that this fault was injected.
    pub(crate) fn count(&self, fault: &str) -> usize {
        self.injected().iter().filter(|line| *line == fault).count()
    }

    /// Waits until this fault has been injected `count` times.
    pub(crate) async fn wait_for(&self, fault: &str, count: usize) {
        let reached = async {
            while self.count(fault) < count {
                tokio::time::sleep(Duration::from_millis(5)).await;
            }
        };
        within(fault, reached).await;
    }
}

/// Starts a scheduler under a fault plan, with these workers in its cached list. In the plan the address kind
/// `discovery` stands for the scheduler's discovery.
pub(crate) async fn start_with_faults(statements: &str, cached: &[SocketAddr]) -> (Scheduler, FaultPlan) {
    let plan = FaultPlan::new(statements);
    let name_discovery = |config: String| {
        let discovery = config.split("\"discovery\":\"").nth(1).and_then(|rest| rest.split('"').next());
        plan.add(&format!("address discovery {}", discovery.expect("the address of discovery")));
        config
    };
    let scheduler = Scheduler::start_edited(&plan.command(), cached, name_discovery).await;
    (scheduler, plan)
}
