//! The laboratory's program.
//!
//! Exit codes: 0 done, 1 a rule was broken or what was asked for cannot be done, 2 the command line is
//! wrong.
use std::io::Write;
use std::path::Path;
use std::process::ExitCode;
use std::time::Instant;

use clap::{Parser, Subcommand};
use copperspread_testbed::compare::{Row, compare, table};
use copperspread_testbed::cost;
use copperspread_testbed::emulate::program::Program;
use copperspread_testbed::emulate::{Schedulers, emulate};
use copperspread_testbed::experiment::{Plan, Watcher, agreement};
use copperspread_testbed::load::load;
use copperspread_testbed::outcome::Outcome;
use copperspread_testbed::policy::PolicyKind;
use copperspread_testbed::report::html;
use copperspread_testbed::scenario::Scenario;
use copperspread_testbed::simulation::simulate;
use copperspread_testbed::trace::record;
use indicatif::{ProgressBar, ProgressStyle};

/// Longest load that is sent, in seconds: it stops by itself.
const LONGEST: f64 = 3_600.0;

/// Plays scenarios of workers, clients and failures against the scheduler's decisions.
#[derive(Debug, Parser)]
#[command(name = "copperspread-testbed", version)]
struct Line {
    #[command(subcommand)]
    command: Command,
}

#[derive(Debug, Subcommand)]
enum Command {
    /// List the scenarios that come with the program
    Scenarios,
    /// Print one of them, as a file to start from
    Show {
        /// Its name
        name: String,
    },
    /// Play a scenario once in virtual time
    Sim {
        /// A scenario's name, or a file
        scenario: String,
        /// What decides
        #[arg(long, default_value = "copperspread", value_parser = kind)]
        policy: PolicyKind,
        /// The seed of all chance
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// Print the whole outcome as JSON
        #[arg(long)]
        json: bool,
    },
    /// Play a scenario once in real time: the program's own processes, all else on loopback
    Emulate {
        /// A scenario's name, or a file
        scenario: String,
        /// What decides in the schedulers' node, where no program is named
        #[arg(long, default_value = "copperspread", value_parser = kind)]
        policy: PolicyKind,
        /// The program to start for each scheduler, in place of the one beside this one
        #[arg(long)]
        program: Option<std::path::PathBuf>,
        /// Its arguments
        #[arg(long = "argument", default_value = "serve", requires = "program")]
        arguments: Vec<String>,
        /// The seed of all chance
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// Print the whole outcome as JSON
        #[arg(long)]
        json: bool,
    },
    /// Print a scenario with the jobs that a scheduler's records hold in place of drawn ones
    Trace {
        /// A scenario's name, or a file: fleet, classes and faults
        scenario: String,
        /// The file of records
        records: std::path::PathBuf,
    },
    /// Measure what the whole program costs for a job, against a bare relay in the same run
    Cost {
        /// The program, in place of the one beside this one
        #[arg(long)]
        program: Option<std::path::PathBuf>,
        /// Rounds, each of both in turn
        #[arg(long, default_value_t = 5)]
        rounds: u32,
        /// Seconds of each in a round
        #[arg(long, default_value_t = 3.0)]
        seconds: f64,
        /// Clients that ask one request after the other
        #[arg(long, default_value_t = 64)]
        clients: usize,
        /// Workers
        #[arg(long, default_value_t = 8)]
        workers: u32,
        /// Print all rounds as JSON
        #[arg(long)]
        json: bool,
    },
    /// Serve as one of the emulator's schedulers, by EDGE_CONFIG
    #[command(hide = true)]
    Node {
        /// What decides
        #[arg(long, value_parser = kind)]
        policy: PolicyKind,
    },
    /// Serve as a bare relay, by EDGE_CONFIG
    #[command(hide = true)]
    Relay,
    /// Send a scenario's jobs over HTTP, in an open loop: a slow answer holds no later job back
    Load {
        /// A scenario's name, or a file: its classes, rate and bursts
        scenario: String,
        /// Where to send them
        #[arg(long, default_value = "127.0.0.1:8081")]
        target: std::net::SocketAddr,
        /// Jobs a second, in place of the scenario's
        #[arg(long)]
        rate: Option<f64>,
        /// Seconds, in place of the scenario's; an hour at most
        #[arg(long)]
        seconds: Option<f64>,
        /// Most requests that are open at once; past that, jobs are not sent, and counted
        #[arg(long, default_value_t = 1_024)]
        most_open: usize,
        /// The seed of the arrivals
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// Also to an address that is not this machine's own
        #[arg(long)]
        anywhere: bool,
        /// Print the outcome as JSON
        #[arg(long)]
        json: bool,
    },
    /// Play an experiment's file: scenarios, variants and seeds; a cut-off one goes on where it stood
    Run {
        /// The experiment, a TOML file
        experiment: std::path::PathBuf,
        /// The file that keeps the runs; the experiment's with `.runs.jsonl` if it is not named
        #[arg(long, value_name = "FILE")]
        runs: Option<std::path::PathBuf>,
        /// Print all outcomes as JSON
        #[arg(long)]
        json: bool,
        /// Write a report too: one HTML file that needs nothing else
        #[arg(long, value_name = "FILE")]
        report: Option<std::path::PathBuf>,
    },
    /// Play scenarios under the module and the baselines, in pairs of one seed
    Compare {
        /// Scenarios' names or files; none is all that come with the program but the large one
        scenarios: Vec<String>,
        /// How many seeds, from 1
        #[arg(long, default_value_t = 10)]
        seeds: u64,
        /// Only these, the first against the others
        #[arg(long, value_delimiter = ',', value_parser = kind)]
        policies: Vec<PolicyKind>,
        /// Print all outcomes as JSON
        #[arg(long)]
        json: bool,
        /// Write a report too: one HTML file that needs nothing else
        #[arg(long, value_name = "FILE")]
        report: Option<std::path::PathBuf>,
    },
}

fn kind(text: &str) -> Result<PolicyKind, String> {
    serde_json::from_value(text.into()).map_err(|_| {
        let names: Vec<_> = PolicyKind::COMPARED.iter().map(|kind| kind.name()).collect();
        format!("no such policy; one of {}", names.join(", "))
    })
}

macro_rules! shipped {
    ($($name:literal),*) => {
        /// The scenarios that come with the program.
        const SHIPPED: &[(&str, &str)] = &[$(($name, include_str!(concat!("../scenarios/", $name, ".toml")))),*];
    };
}
shipped!(
    "calm",
    "calc",
    "calc-cold",
    "slow-tenth",
    "burst",
    "heavy-tail",
    "zone-lost",
    "discovery-late",
    "rolling-drain",
    "cold-wave",
    "retry-storm",
    "large",
    "vast-release",
    "vast-replaced",
    "vast-roll",
    "vast-zone"
);
const LARGE: &str = "large";

fn scenario(name: &str) -> Result<Scenario, String> {
    let of = |text: &str| Scenario::read(text).map_err(|why| format!("{name}: {why}"));
    if let Some((_, text)) = SHIPPED.iter().find(|(known, _)| *known == name) {
        return of(text);
    }
    if !Path::new(name).exists() {
        let names: Vec<_> = SHIPPED.iter().map(|(name, _)| *name).collect();
        return Err(format!(
            "{name}: no such file, and no scenario of that name; one of {}",
            names.join(", ")
        ));
    }
    of(&std::fs::read_to_string(name).map_err(|e| format!("{name}: {e}"))?)
}

fn print(text: &str) -> Result<(), String> {
    match std::io::stdout().write_all(text.as_bytes()) {
        Err(error) if error.kind() != std::io::ErrorKind::BrokenPipe => {
            Err(format!("standard output: {error}"))
        }
        _ => Ok(()),
    }
}

fn json(value: &(impl serde::Serialize + ?Sized)) -> Result<String, String> {
    serde_json::to_string(value).map(|text| text + "\n").map_err(|e| e.to_string())
}

fn write_report(path: Option<std::path::PathBuf>, played: &[(Scenario, Vec<Row>)]) -> Result<(), String> {
    let Some(path) = path else { return Ok(()) };
    std::fs::write(&path, html(played)?).map_err(|e| format!("{}: {e}", path.display()))
}

/// A bar on standard error, where that is a terminal.
struct Bar(ProgressBar);

impl Bar {
    fn new() -> Bar {
        let style = ProgressStyle::with_template("{bar:40} {pos} of {len} runs, {elapsed} gone, {eta} left");
        Bar(ProgressBar::new(0).with_style(style.unwrap_or_else(|_| ProgressStyle::default_bar())))
    }
}

impl Watcher for Bar {
    fn begins(&self, kept: usize, all: usize, unreadable: usize) {
        if kept > 0 || unreadable > 0 {
            let _ = writeln!(
                std::io::stderr(),
                "{kept} of {all} runs are kept from before; lines that cannot be read: {unreadable}"
            );
        }
        self.0.set_length(all as u64);
        self.0.set_position(kept as u64);
        // So that the time left is reckoned from what is played now.
        self.0.reset_eta();
    }

    fn ended(&self) {
        self.0.inc(1);
    }
}

/// An outcome in words.
fn told(outcome: &Outcome) -> String {
    let share = |worth: f64| worth / outcome.worth.asked;
    let mut text = format!(
        "{} under {}, seed {}: {:.3} of the worth served in time; late {:.3}, refused {:.3}, failed {:.3}, lost \
         {:.3}\n{:.2} attempts a job, {:.3} of them to another zone; {} workers fell over\n",
        outcome.scenario,
        outcome.policy,
        outcome.seed,
        outcome.worth.share(),
        share(outcome.worth.late),
        share(outcome.worth.refused),
        share(outcome.worth.failed),
        share(outcome.worth.lost),
        outcome.attempts,
        outcome.crossing,
        outcome.fell,
    );
    if outcome.probes > 0 {
        let each = outcome.probes as f64 / outcome.jobs.max(1) as f64;
        text += &format!("{each:.2} probes a job cost {:.4} of the worth\n", outcome.probe_cost);
    }
    for class in &outcome.classes {
        let [half, most, _] = class.served_ms;
        text += &format!(
            "  {:<12} {:>8} jobs, {:.3} in time; served in {half:.0} ms (median), {most:.0} ms (99%)\n",
            class.name,
            class.jobs,
            class.worth.share()
        );
    }
    for (rule, count) in &outcome.breaches {
        text += &format!("BROKEN {rule:?}: {count}\n");
    }
    for breach in &outcome.examples {
        text += &format!("  at {:.3} s: {:?}, {}\n", breach.at as f64 / 1e6, breach.rule, breach.what);
    }
    if let Some(of) = &outcome.measured {
        let [most, worst] = of.own_lag_ms;
        text += &format!(
            "schedulers used {:.3} cores, {:.0} us a job; this tool sent late by {most:.1} ms (99%), {worst:.1} ms \
             (most)\n",
            of.cores, of.cpu_us_a_job
        );
    }
    text
}

fn run(command: Command) -> Result<bool, String> {
    match command {
        Command::Scenarios => {
            for (name, _) in SHIPPED {
                let scenario = scenario(name)?;
                print(&format!("{name:<16} {}\n", scenario.about))?;
            }
            Ok(true)
        }
        Command::Show { name } => {
            scenario(&name)?;
            let text = SHIPPED.iter().find(|(known, _)| *known == name).map(|(_, text)| *text);
            print(text.ok_or_else(|| format!("{name} does not come with the program"))?)?;
            Ok(true)
        }
        Command::Sim { scenario: name, policy, seed, json: whole } => {
            let scenario = scenario(&name)?;
            let began = Instant::now();
            let outcome = simulate(&scenario, policy, seed)?;
            let took = began.elapsed().as_secs_f64();
            let kept = outcome.breaches.is_empty();
            if whole {
                print(&json(&outcome)?)?;
                return Ok(kept);
            }
            let rate = outcome.events as f64 / took;
            print(&told(&outcome))?;
            print(&format!(
                "{} jobs, {} events in {took:.1} s: {rate:.0} events a second\n",
                outcome.jobs, outcome.events
            ))?;
            Ok(kept)
        }
        Command::Emulate { scenario: name, policy, program, arguments, seed, json: whole } => {
            let scenario = scenario(&name)?;
            let called = program.as_ref().map_or_else(|| policy.name(), |file| file.display().to_string());
            let program = match program {
                Some(file) => Program { file, arguments },
                None => Program::of(policy)?,
            };
            let outcome = emulate(&scenario, &Schedulers::Started(program), &called, seed)?;
            let kept = outcome.breaches.is_empty();
            print(&if whole { json(&outcome)? } else { told(&outcome) })?;
            Ok(kept)
        }
        Command::Trace { scenario: name, records } => {
            let mut scenario = scenario(&name)?;
            let said = |why: &dyn std::fmt::Display| format!("{}: {why}", records.display());
            let file = std::fs::File::open(&records).map_err(|e| said(&e))?;
            let left_out = record(&mut scenario, std::io::BufReader::new(file)).map_err(|e| said(&e))?;
            let _ = writeln!(
                std::io::stderr(),
                "{} jobs; left out: {} without a hint, {} of unknown classes; {} lines cannot be read",
                scenario.clients.trace.len(),
                left_out.no_hint,
                left_out.unknown_class,
                left_out.unreadable
            );
            print(&toml::to_string(&scenario).map_err(|e| e.to_string())?)?;
            Ok(true)
        }
        Command::Cost { program, rounds, seconds, clients, workers, json: whole } => {
            let program = match program {
                Some(file) => Program { file, arguments: vec!["serve".into()] },
                None => Program::of(PolicyKind::Copperspread)?,
            };
            let own = std::env::current_exe().map_err(|e| format!("this program's own file: {e}"))?;
            let relay = Program { file: own, arguments: vec!["relay".into()] };
            let sides = [("copperspread".to_owned(), program), ("bare relay".to_owned(), relay)];
            let shown = cost::measure(&sides, cost::Terms { rounds, seconds, clients, workers })?;
            print(&if whole { json(&shown)? } else { cost::table(&shown) })?;
            Ok(true)
        }
        Command::Relay => {
            copperspread_testbed::relay::serve()?;
            Ok(true)
        }
        Command::Node { policy } => {
            copperspread_testbed::emulate::baseline::serve(policy)?;
            Ok(true)
        }
        Command::Load { scenario: name, target, rate, seconds, most_open, seed, anywhere, json: whole } => {
            if !target.ip().is_loopback() && !anywhere {
                return Err(format!(
                    "{target} is not this machine's own; --anywhere sends there all the same"
                ));
            }
            let mut scenario = scenario(&name)?;
            scenario.clients.rate = rate.unwrap_or(scenario.clients.rate);
            scenario.seconds = seconds.unwrap_or(scenario.seconds).min(LONGEST);
            scenario.check()?;
            let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
            let runtime = runtime.map_err(|e| format!("runtime: {e}"))?;
            let report = runtime.block_on(load(&scenario, seed, target, most_open));
            print(&if whole { json(&report)? } else { report.text() })?;
            Ok(true)
        }
        Command::Compare { scenarios, seeds, policies, json: whole, report } => {
            let names = match scenarios.is_empty() {
                false => scenarios,
                true => {
                    SHIPPED.iter().map(|(name, _)| (*name).to_owned()).filter(|name| name != LARGE).collect()
                }
            };
            let policies = if policies.is_empty() { PolicyKind::COMPARED.to_vec() } else { policies };
            let seeds: Vec<u64> = (1..=seeds.max(1)).collect();
            let mut played = Vec::new();
            for name in names {
                let scenario = scenario(&name)?;
                let rows = compare(&scenario, &policies, &seeds)?;
                print(&if whole { json(&rows)? } else { table(&scenario, &rows) + "\n" })?;
                played.push((scenario, rows));
            }
            write_report(report, &played)?;
            Ok(true)
        }
        Command::Run { experiment: file, runs, json: whole, report } => {
            let named = |name: &str| {
                SHIPPED.iter().find(|(known, _)| *known == name).map(|(_, text)| (*text).to_owned())
            };
            let plan = Plan::read(&file, named)?;
            let runs = runs.unwrap_or_else(|| file.with_extension("runs.jsonl"));
            let played = plan.play(&runs, &Bar::new())?;
            let mut kept = true;
            for (scenario, rows) in &played {
                kept &= rows.iter().all(|row| row.breaches == 0);
                print(&if whole { json(rows)? } else { table(scenario, rows) + "\n" })?;
            }
            let pairs = plan.pairs();
            if !pairs.is_empty() && !whole {
                print(&agreement(&pairs, &played))?;
            }
            write_report(report, &played)?;
            Ok(kept)
        }
    }
}

fn main() -> ExitCode {
    match run(Line::parse().command) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(why) => {
            let _ = writeln!(std::io::stderr(), "copperspread-testbed: {why}");
            ExitCode::FAILURE
        }
    }
}
