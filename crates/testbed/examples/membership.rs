//! Measures membership in virtual time, and prints a Markdown table.
//!
//! `docs/cluster.md` explains the results. Run with
//! `cargo run --release --locked -p copperspread-testbed --example membership -- death`.
use std::time::Duration;

use clap::{Parser, ValueEnum};
use copperspread_fault_injection::{Fault, FaultPlan, ProcessAction, plans};
use copperspread_membership::{Effect, Micros, SECOND, Settings};
use copperspread_testbed::membership_simulation::{MILLISECOND, SimulatedNetwork};
use rayon::prelude::*;

#[derive(Clone, Copy, PartialEq, ValueEnum)]
enum Measurement {
    /// How soon a death is known.
    Death,
    /// Members declared dead that live, while packets are lost.
    Loss,
    /// The same while processes pause.
    Pauses,
    /// Packets and bytes while nothing happens.
    Idle,
    /// How soon two halves are one view again.
    Heal,
}

#[derive(Parser)]
struct Args {
    /// What to measure.
    measurement: Measurement,
    /// Members.
    #[arg(long, value_delimiter = ',', default_values_t = [10, 30, 100, 300, 1000])]
    members: Vec<usize>,
    /// Plays of each, as many as this over the members, and one at least.
    #[arg(long = "plays", value_name = "PLAYS", default_value_t = 1000)]
    member_runs: usize,
}

fn main() {
    let Args { measurement, members, member_runs } = Args::parse();
    let header = match measurement {
        Measurement::Death => {
            "members | deaths | first suspicion: median | p99 | first down: median | p99 | down everywhere: median | p99"
        }
        Measurement::Loss => {
            "members | loss | plays | member-hours | members given up while alive | an hour of a member"
        }
        Measurement::Pauses => {
            "members | that pause | for s | plays | member-hours | given up though never paused | given up while paused"
        }
        Measurement::Idle => "members | plays | packets a second of a member | bytes a second of a member",
        Measurement::Heal => "members | plays | one view again, s: median | longest",
    };
    println!("| {header} |\n|{}", " --- |".repeat(header.matches('|').count() + 1));
    for members in members {
        let seeds = 0..(member_runs / members).max(1) as u64;
        match measurement {
            Measurement::Death => measure_deaths(members, seeds),
            Measurement::Loss => {
                [0.0, 0.1, 0.3]
                    .into_iter()
                    .for_each(|loss_rate| measure_loss(members, loss_rate, seeds.clone()));
            }
            Measurement::Pauses => {
                [1, 5, 15].into_iter().for_each(|pause_s| measure_pauses(members, pause_s, seeds.clone()));
            }
            Measurement::Idle => measure_idle_traffic(members, seeds),
            Measurement::Heal => measure_healing(members, seeds),
        }
    }
}

/// Runs a function for each seed in parallel, and returns the results in the order of the seeds.
fn for_each_seed<T: Send>(seeds: std::ops::Range<u64>, run: impl Fn(u64) -> T + Send + Sync) -> Vec<T> {
    seeds.into_par_iter().map(run).collect()
}

/// Returns the quantile at `fraction` of some durations, in seconds. `durations` must not be empty.
fn quantile(durations: &mut [Micros], fraction: f64) -> f64 {
    durations.sort_unstable();
    let rank = (fraction * durations.len() as f64).ceil() as usize;
    durations[rank.clamp(1, durations.len()) - 1] as f64 / SECOND as f64
}

/// Duration of a suspicion in a cluster with this number of members, in microseconds.
fn suspicion_duration(members: usize) -> Micros {
    let Settings { probe_interval, suspicion_multiplier, .. } = Settings::default();
    (probe_interval as f64 * suspicion_multiplier * (members as f64).log10().max(1.0)) as Micros
}

/// Times between the death of a member and its detection, in microseconds.
#[derive(Clone)]
struct DetectionTimes {
    /// Time until the first suspicion, computed from the first report and the duration of a suspicion.
    suspected: Micros,
    /// Time until the first report that the member is down.
    first_report: Micros,
    /// Time until all running members have reported it.
    last_report: Micros,
}

fn measure_deaths(members: usize, seeds: std::ops::Range<u64>) {
    // In each run some members are killed in sequence, at times that are unrelated to the probes.
    let deaths = (members / 5).min(10);
    let detections: Vec<_> = for_each_seed(seeds, |seed| {
        let mut network = SimulatedNetwork::joined(members, seed);
        let mut detections = Vec::new();
        for victim in 1..=deaths {
            network.run(10 * SECOND + (seed * 7 + victim as u64) * 137 * MILLISECOND % SECOND);
            network.effects.clear();
            let killed_at = network.now;
            network.kill(victim);
            network.run_until(120 * SECOND, SECOND, |network| {
                network.reported_failures().len() >= members - victim
            });
            assert_eq!(
                network.reported_failures().len(),
                members - victim,
                "there are as many reports as running members"
            );
            let delays =
                network.reported_failures().iter().map(|failure| failure.at - killed_at).collect::<Vec<_>>();
            let first_report = *delays.iter().min().expect("at least one member reports the death");
            let last_report = *delays.iter().max().expect("at least one member reports the death");
            let suspected = first_report.saturating_sub(suspicion_duration(members + 1 - victim));
            detections.push(DetectionTimes { suspected, first_report, last_report });
        }
        detections
    })
    .concat();
    let column = |duration: fn(&DetectionTimes) -> Micros| {
        let mut durations: Vec<_> = detections.iter().map(duration).collect();
        format!("{:.2} | {:.2}", quantile(&mut durations, 0.5), quantile(&mut durations, 0.99))
    };
    let mean = detections.iter().map(|times| times.suspected).sum::<Micros>() as f64
        / detections.len() as f64
        / SECOND as f64;
    let columns = [
        column(|times| times.suspected),
        column(|times| times.first_report),
        column(|times| times.last_report),
    ]
    .join(" | ");
    println!("| {members} | {} | (mean {mean:.2}) {columns} |", detections.len());
}

/// The distinct names of the members that were reported down or that refuted such a report, in a run without
/// deaths.
fn falsely_reported(network: &SimulatedNetwork) -> Vec<String> {
    let name = |effect: &Effect| match effect {
        Effect::MemberDown(member) | Effect::LocalMemberRejoined(member) => Some(member.name.clone()),
        _ => None,
    };
    let mut names: Vec<_> = network.effects.iter().filter_map(|recorded| name(&recorded.effect)).collect();
    names.sort_unstable();
    names.dedup();
    names
}

fn measure_loss(members: usize, loss_rate: f64, seeds: std::ops::Range<u64>) {
    let runs = seeds.end;
    let false_reports: usize = for_each_seed(seeds, |seed| {
        let mut network = SimulatedNetwork::joined(members, seed);
        let (min_delay, max_delay) = (network.links.conditions.min_delay, network.links.conditions.max_delay);
        network.run_plan(&plans::lose_packets(loss_rate, min_delay, max_delay, Duration::from_secs(60)));
        falsely_reported(&network).len()
    })
    .into_iter()
    .sum();
    let member_hours = runs as f64 * members as f64 / 60.0;
    println!(
        "| {members} | {:.0} % | {runs} | {member_hours:.1} | {false_reports} | {:.2} |",
        loss_rate * 100.0,
        false_reports as f64 / member_hours
    );
}

/// Measures false reports while a tenth of the members repeatedly pause for `pause_s` seconds and run for one
/// second, for up to 120 s.
fn measure_pauses(members: usize, pause_s: u64, seeds: std::ops::Range<u64>) {
    let (runs, pausing) = (seeds.end, (members / 10).max(1));
    let rounds = 120 / (pause_s + 1);
    let false_reports = for_each_seed(seeds, |seed| {
        let mut network = SimulatedNetwork::joined(members, seed);
        let all = |action| (1..=pausing).map(move |member| Fault::Process { member, action });
        let plan = (0..rounds).fold(FaultPlan::default(), |plan, round| {
            let at = Duration::from_secs(round * (pause_s + 1));
            let plan = all(ProcessAction::Pause).fold(plan, |plan, fault| plan.at(at, fault));
            all(ProcessAction::Resume)
                .fold(plan, |plan, fault| plan.at(at + Duration::from_secs(pause_s), fault))
        });
        network.run_plan(&plan);
        network.run(10 * SECOND);
        let names = falsely_reported(&network);
        let paused = (1..=pausing).filter(|member| names.contains(&format!("n{member}"))).count();
        (names.len() - paused, paused)
    });
    let member_hours = runs as f64 * members as f64 * (rounds * (pause_s + 1) + 10) as f64 / 3600.0;
    let (healthy, paused) = false_reports
        .iter()
        .fold((0, 0), |(healthy, paused), reports| (healthy + reports.0, paused + reports.1));
    println!(
        "| {members} | {pausing} | {pause_s} | {runs} | {member_hours:.1} | {healthy} | {paused} of {} |",
        runs as usize * pausing
    );
}

fn measure_idle_traffic(members: usize, seeds: std::ops::Range<u64>) {
    let runs = seeds.end.min(5);
    let sent = for_each_seed(0..runs, |seed| {
        let mut network = SimulatedNetwork::joined(members, seed);
        // After 120 s, members no longer gossip about the joins.
        network.run(120 * SECOND);
        (network.packets, network.bytes) = (0, 0);
        network.run(60 * SECOND);
        (network.packets, network.bytes)
    });
    let (packets, bytes) =
        sent.iter().fold((0, 0), |(packets, bytes), sent| (packets + sent.0, bytes + sent.1));
    let seconds = 60.0 * runs as f64 * members as f64;
    println!("| {members} | {runs} | {:.2} | {:.0} |", packets as f64 / seconds, bytes as f64 / seconds);
}

fn measure_healing(members: usize, seeds: std::ops::Range<u64>) {
    let runs = seeds.end.min(20);
    let mut durations = for_each_seed(0..runs, |seed| {
        let mut network = SimulatedNetwork::joined(members, seed);
        network.run_plan(&plans::partition_in_halves(members, Duration::from_secs(60)));
        let is_down = |effect: &Effect| matches!(effect, Effect::MemberDown(_));
        assert!(
            network.effects.iter().any(|recorded| is_down(&recorded.effect)),
            "a partitioned member is reported down"
        );
        network
            .run_until(600 * SECOND, 100 * MILLISECOND, |network| network.all_see(members - 1))
            .expect("all members see each other within 600 s")
    });
    println!(
        "| {members} | {runs} | {:.1} | {:.1} |",
        quantile(&mut durations, 0.5),
        quantile(&mut durations, 1.0)
    );
}
