//! Membership's figures, in virtual time: `docs/cluster.md` says how to read them.
//! `cargo run --release --locked -p copperspread-testbed --example membership -- death`
use std::time::Duration;

use clap::{Parser, ValueEnum};
use copperspread_fault_injection::{Fault, FaultPlan, ProcessAction, plans};
use copperspread_membership::{Effect, Micros, SECOND, Settings};
use copperspread_testbed::membership_simulation::{MILLISECOND, SimulatedNetwork};
use rayon::prelude::*;

#[derive(Clone, Copy, PartialEq, ValueEnum)]
enum Part {
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
    part: Part,
    /// Members.
    #[arg(long, value_delimiter = ',', default_values_t = [10, 30, 100, 300, 1000])]
    members: Vec<usize>,
    /// Plays of each, as many as this over the members, and one at least.
    #[arg(long, default_value_t = 1000)]
    plays: usize,
}

fn main() {
    let Args { part, members, plays } = Args::parse();
    let head = match part {
        Part::Death => {
            "members | deaths | first suspicion: median | p99 | first down: median | p99 | down everywhere: median | p99"
        }
        Part::Loss => {
            "members | loss | plays | member-hours | members given up while alive | an hour of a member"
        }
        Part::Pauses => {
            "members | that pause | for s | plays | member-hours | given up though never paused | given up while paused"
        }
        Part::Idle => "members | plays | packets a second of a member | bytes a second of a member",
        Part::Heal => "members | plays | one view again, s: median | longest",
    };
    println!("| {head} |\n|{}", " --- |".repeat(head.matches('|').count() + 1));
    for members in members {
        let seeds = 0..(plays / members).max(1) as u64;
        match part {
            Part::Death => death(members, seeds),
            Part::Loss => [0.0, 0.1, 0.3].into_iter().for_each(|loss| lossy(members, loss, seeds.clone())),
            Part::Pauses => [1, 5, 15].into_iter().for_each(|span| paused(members, span, seeds.clone())),
            Part::Idle => idle(members, seeds),
            Part::Heal => heal(members, seeds),
        }
    }
}

fn each<T: Send>(seeds: std::ops::Range<u64>, play: impl Fn(u64) -> T + Send + Sync) -> Vec<T> {
    seeds.into_par_iter().map(play).collect()
}

/// The value that this share of them does not exceed, in seconds.
fn quantile(spans: &mut [Micros], share: f64) -> f64 {
    spans.sort_unstable();
    let at = (share * spans.len() as f64).ceil() as usize;
    spans[at.clamp(1, spans.len()) - 1] as f64 / SECOND as f64
}

/// How long a suspicion lasts among so many.
fn suspicion(members: usize) -> Micros {
    let Settings { probe_interval, suspicion_multiplier: suspicion, .. } = Settings::default();
    (probe_interval as f64 * suspicion * (members as f64).log10().max(1.0)) as Micros
}

fn death(members: usize, seeds: std::ops::Range<u64>) {
    // Some of each play's members die, one after another, at instants that share nothing with their probes.
    let deaths = (members / 5).min(10);
    let found: Vec<_> = each(seeds, |seed| {
        let mut network = SimulatedNetwork::joined(members, seed);
        let mut found = Vec::new();
        for whom in 1..=deaths {
            network.run(10 * SECOND + (seed * 7 + whom as u64) * 137 * MILLISECOND % SECOND);
            network.effects.clear();
            let killed = network.now;
            network.kill(whom);
            network.run_until(120 * SECOND, SECOND, |network| {
                network.reported_failures().len() >= members - whom
            });
            assert_eq!(
                network.reported_failures().len(),
                members - whom,
                "known everywhere, and nobody else is down"
            );
            let at =
                network.reported_failures().iter().map(|failure| failure.at - killed).collect::<Vec<_>>();
            let (first, last) = (at.iter().min().expect("known"), at.iter().max().expect("known"));
            found.push((first.saturating_sub(suspicion(members + 1 - whom)), *first, *last));
        }
        found
    })
    .concat();
    let column = |of: fn(&(Micros, Micros, Micros)) -> Micros| {
        let mut spans: Vec<_> = found.iter().map(of).collect();
        format!("{:.2} | {:.2}", quantile(&mut spans, 0.5), quantile(&mut spans, 0.99))
    };
    let mean = found.iter().map(|of| of.0).sum::<Micros>() as f64 / found.len() as f64 / SECOND as f64;
    let columns = [column(|of| of.0), column(|of| of.1), column(|of| of.2)].join(" | ");
    println!("| {members} | {} | (mean {mean:.2}) {columns} |", found.len());
}

/// Who was given up by anybody, or was told so, each once a play.
fn given_up(network: &SimulatedNetwork) -> Vec<String> {
    let name = |effect: &Effect| match effect {
        Effect::MemberDown(member) | Effect::SelfRefuted(member) => Some(member.name.clone()),
        _ => None,
    };
    let mut names: Vec<_> = network.effects.iter().filter_map(|recorded| name(&recorded.effect)).collect();
    names.sort_unstable();
    names.dedup();
    names
}

fn lossy(members: usize, lose: f64, seeds: std::ops::Range<u64>) {
    let plays = seeds.end;
    let given_up: usize = each(seeds, |seed| {
        let mut network = SimulatedNetwork::joined(members, seed);
        let (least, most) = (network.links.conditions.min_delay, network.links.conditions.max_delay);
        network.run_plan(&plans::lose_packets(lose, least, most, Duration::from_secs(60)));
        given_up(&network).len()
    })
    .into_iter()
    .sum();
    let hours = plays as f64 * members as f64 / 60.0;
    println!(
        "| {members} | {:.0} % | {plays} | {hours:.1} | {given_up} | {:.2} |",
        lose * 100.0,
        given_up as f64 / hours
    );
}

/// A tenth of the members pause for a span, run for a second, and so on for 120 s.
fn paused(members: usize, span: u64, seeds: std::ops::Range<u64>) {
    let (plays, pausing) = (seeds.end, (members / 10).max(1));
    let rounds = 120 / (span + 1);
    let given_up = each(seeds, |seed| {
        let mut network = SimulatedNetwork::joined(members, seed);
        let all = |action| (1..=pausing).map(move |member| Fault::Process { member, action });
        let plan = (0..rounds).fold(FaultPlan::default(), |plan, round| {
            let at = Duration::from_secs(round * (span + 1));
            let plan = all(ProcessAction::Pause).fold(plan, |plan, fault| plan.at(at, fault));
            all(ProcessAction::Resume)
                .fold(plan, |plan, fault| plan.at(at + Duration::from_secs(span), fault))
        });
        network.run_plan(&plan);
        network.run(10 * SECOND);
        let names = given_up(&network);
        let paused = (1..=pausing).filter(|whom| names.contains(&format!("n{whom}"))).count();
        (names.len() - paused, paused)
    });
    let hours = plays as f64 * members as f64 * (rounds * (span + 1) + 10) as f64 / 3600.0;
    let (healthy, paused) = given_up.iter().fold((0, 0), |sum, of| (sum.0 + of.0, sum.1 + of.1));
    println!(
        "| {members} | {pausing} | {span} | {plays} | {hours:.1} | {healthy} | {paused} of {} |",
        plays as usize * pausing
    );
}

fn idle(members: usize, seeds: std::ops::Range<u64>) {
    let plays = seeds.end.min(5);
    let sent = each(0..plays, |seed| {
        let mut network = SimulatedNetwork::joined(members, seed);
        // The news of the joining is through by then.
        network.run(120 * SECOND);
        (network.packets, network.bytes) = (0, 0);
        network.run(60 * SECOND);
        (network.packets, network.bytes)
    });
    let (packets, bytes) = sent.iter().fold((0, 0), |sum, of| (sum.0 + of.0, sum.1 + of.1));
    let seconds = 60.0 * plays as f64 * members as f64;
    println!("| {members} | {plays} | {:.2} | {:.0} |", packets as f64 / seconds, bytes as f64 / seconds);
}

fn heal(members: usize, seeds: std::ops::Range<u64>) {
    let plays = seeds.end.min(20);
    let mut took = each(0..plays, |seed| {
        let mut network = SimulatedNetwork::joined(members, seed);
        network.run_plan(&plans::partition_in_halves(members, Duration::from_secs(60)));
        let split = |effect: &Effect| matches!(effect, Effect::MemberDown(_));
        assert!(
            network.effects.iter().any(|recorded| split(&recorded.effect)),
            "the halves have given each other up"
        );
        network
            .run_until(600 * SECOND, 100 * MILLISECOND, |network| network.all_see(members - 1))
            .expect("one view in 600 s")
    });
    println!("| {members} | {plays} | {:.1} | {:.1} |", quantile(&mut took, 0.5), quantile(&mut took, 1.0));
}
