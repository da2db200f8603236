//! The schedulers' processes: their configuration in the platform's form, their start and their end.
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::Stdio;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Empty;
use hyper::{Request, StatusCode};
use hyper_util::client::legacy::{Client, connect::HttpConnector};
use hyper_util::rt::TokioExecutor;
use rustix::process::{Pid, Signal, kill_process};
use serde_json::{Value, json};
use tokio::net::TcpSocket;
use tokio::process::{Child, Command};
use tokio::time::{Instant, sleep, timeout};

use crate::policy::PolicyKind;
use crate::scenario::{CONNECT, Repeat, Scenario, Scope};

/// A program that does not say that it is ready by then is given up.
const READY_WITHIN: Duration = Duration::from_secs(10);
/// How often it is asked.
const ASKED_EVERY: Duration = Duration::from_millis(10);
/// A program that has not ended so long after SIGTERM is killed, past the longest deadline.
const ENDS_WITHIN: Duration = Duration::from_secs(5);

/// What is started for each scheduler: the program with its arguments. It finds its configuration by
/// `EDGE_CONFIG`, as on the platform.
#[derive(Clone, Debug, PartialEq)]
pub struct Program {
    /// The file.
    pub file: PathBuf,
    /// Its arguments.
    pub arguments: Vec<String>,
}

impl Program {
    /// What plays a policy: for the module the scheduler's own program, which lies beside this one; else
    /// this one's node with the policy in it.
    ///
    /// # Errors
    /// A program that is not there.
    pub fn of(policy: PolicyKind) -> Result<Program, String> {
        let own = std::env::current_exe().map_err(|e| format!("this program's own file: {e}"))?;
        if policy != PolicyKind::Copperspread {
            let arguments = ["node", "--policy", &policy.name()].map(str::to_owned).to_vec();
            return Ok(Program { file: own, arguments });
        }
        let file = own.with_file_name("copperspread-scheduler");
        if !file.exists() {
            return Err(format!(
                "{} is not there: build it with `cargo build --release -p copperspread-scheduler`, or name one with --program",
                file.display()
            ));
        }
        Ok(Program { file, arguments: vec!["serve".into()] })
    }
}

/// A scheduler's configuration, as the platform lays it down.
pub fn configuration(
    scenario: &Scenario,
    scheduler: u32,
    seed: u64,
    listen: SocketAddr,
    discovery: SocketAddr,
    known: Option<&Value>,
) -> Value {
    let classes: Vec<Value> = scenario
        .classes
        .iter()
        .map(|class| {
            let mut of = json!({
                "name": class.name, "aim_s": class.aim, "deadline_s": class.deadline, "importance": class.worth,
                "semantics": match class.repeat {
                    Repeat::Safe => "pure",
                    Repeat::Keyed => "token",
                    Repeat::Never => "side_effect",
                },
            });
            if class.repeat == Repeat::Keyed {
                of["key_scope"] = match class.scope {
                    Scope::All => "all",
                    Scope::Zone => "zone",
                    Scope::Cell => "cell",
                }
                .into();
                of["window_s"] = class.window.into();
            }
            of
        })
        .collect();
    let stretches: Vec<f64> = scenario.classes.iter().map(|class| class.stretch).collect();
    let zones: Vec<String> = (0..scenario.zones).map(zone).collect();
    let kinds: Vec<&str> = scenario.workers.iter().map(|group| &*group.kind).collect();
    let (cold, tuning) = (&scenario.cold, &scenario.settings);
    let mut config = json!({
        "name": format!("scheduler-{scheduler}"),
        "listen": listen.to_string(),
        "discovery": discovery.to_string(),
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        "seed": format!("{:016x}", seed.wrapping_add(u64::from(scheduler) * 7919)),
        "settings": {
            "fleet_size": scenario.schedulers, "me": scheduler, "zone": scheduler % scenario.zones, "zones": zones,
            "kinds": kinds, "classes": classes, "discovery": if scenario.discovery.on_request { "on_request" } else { "pushed" }, "worth_by": "work",
            "weights": if scenario.discovery.sizes > 0.0 { "live" } else { "silent" },
            "family_info": {"class_stretch": stretches, "tells_start": true},
            "permissions": {
                "send_cap": tuning.max_attempts, "second_copies": tuning.second_copies,
                "may_cancel": tuning.may_cancel, "connect_timeout_s": CONNECT as f64 / 1e6, "keepalive_s": 5.0,
                "retry_after": true, "max_retry_after_s": scenario.clients.heed,
            },
            "penalties": {"cross_zone": tuning.price_cross_zone},
            "safety": {
                "cold_from": cold.from, "cold_s": cold.warm_after,
                "fall_multiple": cold.fall_multiple, "fall_s": cold.fall_seconds.max(0.001),
            },
        },
    });
    if let Some(probe) = scenario.reports.probe {
        let settings = &mut config["settings"];
        settings["permissions"]["probes"] = true.into();
        settings["penalties"]["probe"] = probe.price.into();
        settings["load_info"] = json!({
            "how": "pull", "fields": ["qps", "inflight", "x0"], "period_s": scenario.reports.refresh,
            "delay_s": probe.late, "noise": scenario.reports.noise,
        });
    }
    if let Some(known) = known {
        config["known"] = known.clone();
    }
    config
}

/// A zone's name.
pub fn zone(number: u32) -> String {
    format!("zone-{number}")
}

/// One scheduler's process.
pub struct Process {
    /// Where it listens.
    pub address: SocketAddr,
    program: Program,
    config: PathBuf,
    log: PathBuf,
    child: Option<Child>,
    /// It was told to end, and may.
    ending: bool,
}

/// An address of its own for a scheduler: bound and not listening, so that the kernel gives it to
/// nobody else, while a listener that may share addresses, as Rust's do, can still take it.
///
/// # Errors
/// A socket that cannot be had.
pub fn reserve() -> std::io::Result<(TcpSocket, SocketAddr)> {
    let socket = TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
    socket.bind(SocketAddr::from(([127, 0, 0, 1], 0)))?;
    let address = socket.local_addr()?;
    Ok((socket, address))
}

impl Process {
    /// Lays its configuration down in a folder; it does not run yet.
    ///
    /// # Errors
    /// A file that cannot be written.
    pub fn new(
        program: &Program,
        folder: &Path,
        number: u32,
        address: SocketAddr,
        configuration: &Value,
    ) -> Result<Process, String> {
        let config = folder.join(format!("scheduler-{number}.json"));
        std::fs::write(&config, configuration.to_string())
            .map_err(|e| format!("{}: {e}", config.display()))?;
        let log = folder.join(format!("scheduler-{number}.log"));
        Ok(Process { address, program: program.clone(), config, log, child: None, ending: false })
    }

    /// Starts it and waits until it says that it is ready.
    ///
    /// # Errors
    /// A program that cannot be started, ends, or does not get ready.
    pub async fn start(&mut self) -> Result<(), String> {
        let file = &self.program.file;
        let said = |what: &str| format!("{}: {what}", file.display());
        let log = std::fs::File::options().create(true).append(true).open(&self.log);
        let log = log.map_err(|e| format!("{}: {e}", self.log.display()))?;
        let mut command = Command::new(file);
        command.args(&self.program.arguments).env("EDGE_CONFIG", &self.config);
        command.stdin(Stdio::null()).stdout(Stdio::null()).stderr(log).kill_on_drop(true);
        let mut child = command.spawn().map_err(|e| said(&e.to_string()))?;
        let client: Client<_, Empty<Bytes>> =
            Client::builder(TokioExecutor::new()).pool_max_idle_per_host(0).build(HttpConnector::new());
        let by = Instant::now() + READY_WITHIN;
        loop {
            let request = Request::get(format!("http://{}/-/ready", self.address)).body(Empty::new());
            let request = request.map_err(|e| e.to_string())?;
            if client.request(request).await.is_ok_and(|answer| answer.status() == StatusCode::OK) {
                break;
            }
            if let Some(status) = child.try_wait().map_err(|e| said(&e.to_string()))? {
                return Err(said(&format!("ended with {status}; it said: {}", self.last_words())));
            }
            if Instant::now() > by {
                return Err(said("was not ready in 10 s"));
            }
            sleep(ASKED_EVERY).await;
        }
        (self.child, self.ending) = (Some(child), false);
        Ok(())
    }

    fn last_words(&self) -> String {
        let text = std::fs::read_to_string(&self.log).unwrap_or_default();
        text.lines().last().unwrap_or_default().to_owned()
    }

    /// The process's id while it runs.
    pub fn pid(&self) -> Option<u32> {
        self.child.as_ref().and_then(Child::id)
    }

    /// Ends it at once, as a crash does.
    pub async fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill().await;
        }
    }

    /// Says that it ended by itself, and how.
    ///
    /// # Errors
    /// That it did.
    pub fn still_runs(&mut self) -> Result<(), String> {
        let ended = match &mut self.child {
            Some(child) => child.try_wait().map_err(|e| e.to_string())?,
            None => None,
        };
        match ended {
            Some(status) if !(self.ending && status.success()) => {
                Err(format!("a scheduler ended by itself with {status}; it said: {}", self.last_words()))
            }
            _ => Ok(()),
        }
    }

    /// Tells it to end; it answers what it took.
    pub fn terminate(&mut self) {
        self.ending = true;
        if let Some(pid) = self.pid().and_then(|id| Pid::from_raw(id as i32)) {
            let _ = kill_process(pid, Signal::TERM);
        }
    }

    /// Ends it by SIGTERM, or where that does not help, by a kill.
    ///
    /// # Errors
    /// A program that had to be killed.
    pub async fn stop(&mut self) -> Result<(), String> {
        self.terminate();
        let Some(mut child) = self.child.take() else { return Ok(()) };
        if timeout(ENDS_WITHIN, child.wait()).await.is_err() {
            let _ = child.kill().await;
            return Err("a scheduler did not end on SIGTERM and was killed".into());
        }
        Ok(())
    }
}

/// Processor time that a process has used, user and system.
pub fn cpu_time(pid: u32) -> Option<Duration> {
    let stat = procfs::process::Process::new(pid as i32).ok()?.stat().ok()?;
    Some(Duration::from_secs_f64((stat.utime + stat.stime) as f64 / procfs::ticks_per_second() as f64))
}

/// Memory that a process holds, in bytes.
pub fn resident(pid: u32) -> Option<u64> {
    let status = procfs::process::Process::new(pid as i32).ok()?.status().ok()?;
    status.vmrss.map(|kb| kb * 1024)
}
