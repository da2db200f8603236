//! Two schedulers that are members of one cluster: the view, the end and what is refused.
#![cfg(feature = "standalone")]
mod sockets;
use std::net::SocketAddr;
use std::path::PathBuf;

use serde_json::Value;
use sockets::*;

/// A key's file, of the test's own.
fn key(name: &str, content: &str) -> PathBuf {
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("{name}-{}.key", std::process::id()));
    std::fs::write(&path, content).expect("a file");
    path
}

fn toml(name: &str, listen: SocketAddr, cluster: &str) -> String {
    format!("name = '{name}'\n[front.http]\nlisten = '{listen}'\n{cluster}")
}

/// A cluster's part, on a port that the system chooses.
fn cluster(key: &std::path::Path, seeds: &[SocketAddr]) -> String {
    let seeds: Vec<String> = seeds.iter().map(SocketAddr::to_string).collect();
    let key = key.display();
    format!("[cluster]\nbind = '127.0.0.1:0'\nkey_file = '{key}'\nregion = 'nl'\nseeds = {seeds:?}\n")
}

async fn ask(of: &Scheduler) -> Message {
    of.client().await.exchange("GET /-/cluster HTTP/1.1\r\nHost: s\r\n\r\n").await
}

async fn view(of: &Scheduler) -> Value {
    let answer = ask(of).await;
    assert_eq!((answer.status(), &*answer.headers["content-type"]), (200, "application/json"));
    serde_json::from_str(&answer.body).expect("JSON")
}

/// Asks until it sees these.
async fn sees(of: &Scheduler, names: &[&str]) {
    let seen = async {
        loop {
            let view = view(of).await;
            let members = view["members"].as_array().expect("a list");
            if members.iter().map(|of| of["name"].as_str()).eq(names.iter().copied().map(Some)) {
                return;
            }
            tokio::time::sleep(std::time::Duration::from_millis(20)).await;
        }
    };
    within("a view", seen).await;
}

#[tokio::test]
async fn two_schedulers_see_each_other_until_one_leaves() {
    let key = key("two", "a key for this test alone\n");
    let mut one = Scheduler::standalone(|at| toml("one", at, &cluster(&key, &[])), &[]).await;
    let own = view(&one).await["own"].clone();
    let address: SocketAddr = own["address"].as_str().and_then(|at| at.parse().ok()).expect("an address");
    assert_eq!((&own["name"], &own["zone"], &own["region"]), (&"one".into(), &"a".into(), &"nl".into()));
    assert!(own["generation"].as_u64() > Some(1_700_000_000_000) && own["returned"] == 0, "{own}");
    let mut two = Scheduler::standalone(|at| toml("two", at, &cluster(&key, &[address])), &[]).await;
    sees(&one, &["two"]).await;
    sees(&two, &["one"]).await;
    let seen = view(&two).await;
    assert_eq!(seen["members"][0], own);
    for count in ["packets_in", "packets_out", "bytes_in", "bytes_out"] {
        assert!(seen[count].as_u64() > Some(0), "{count}");
    }
    assert_eq!((&seen["doubt"], &seen["rejected"]["forged"]), (&0.into(), &0.into()));

    let changed = cluster(&key, &[]).replace("'nl'", "'be'");
    let lines = one.reload(&toml("one", one.address, &changed)).await;
    for part in ["member up", "new start: cluster\""] {
        assert!(lines.iter().any(|line| line.contains(part)), "{part}: {lines:?}");
    }

    two.terminate().await;
    assert!(within("the end", two.child.wait()).await.expect("it ends").success());
    sees(&one, &[]).await;
    let mut told = Vec::new();
    while let Some(line) = two.try_next_line().await {
        told.push(line);
    }
    for part in ["left the cluster", "membership ended"] {
        assert!(told.iter().any(|line| line.contains(part)), "{part}: {told:?}");
    }
}

#[tokio::test]
async fn where_it_is_off_there_is_no_view_and_what_cannot_be_does_not_start() {
    let off = Scheduler::standalone(|at| toml("off", at, ""), &[]).await;
    assert_eq!(ask(&off).await.status(), 404);

    let (short, none) = (key("short", "secret\n"), PathBuf::from("/nowhere/cluster.key"));
    for (key, said) in [(&short, "a cluster key of 6 bytes; 16 at least"), (&none, "No such file")] {
        let file = short.with_extension("toml");
        std::fs::write(&file, toml("x", off.address, &cluster(key, &[]))).expect("a file");
        let run = std::process::Command::new(env!("CARGO_BIN_EXE_copperspread-scheduler"))
            .arg("check")
            .arg(&file)
            .output();
        let (run, name) = (run.expect("it runs"), file.display());
        let why = String::from_utf8_lossy(&run.stderr);
        assert_eq!(run.status.code(), Some(1), "{why}");
        assert!(why.contains(&format!("{name}:6:12: cluster.key_file: ")) && why.contains(said), "{why}");
        assert!(!why.contains("secret"), "{why}");
    }
}
