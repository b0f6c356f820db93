//! A store machine freezes for 1.17 s and wakes again (`node_freeze` on the store), while clients
//! submit batch jobs. The check: every batch job that was answered 202 must be known at all edges
//! 5 s after the last disturbance (LOST: "Later than `settle_ms` after a batch job was accepted
//! .. a machine in touch answers 404 or 410 for that batch job").
//!
//! Several small deployments are played side by side, each for some freezes of its leader.

use crate::record::Record;
use brasspond_platform_standin::Store;
use brasspond_platform_standin::processes::{Cluster, Deployment, Size, call, configuration, text};
use nix::sys::signal::Signal;
use serde_json::json;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// Time after which no further round begins, in seconds.
const LAST_ROUND_S: f64 = 85.0;
/// Deployments that are played side by side.
const DEPLOYMENTS: u32 = 4;
/// Freezes of each deployment before its jobs are read.
const FREEZES: u32 = 3;
/// Duration of a freeze.
const FREEZE: Duration = Duration::from_millis(1_170);
/// Clients that submit jobs one after the other right before a freeze.
const EAGER_CLIENTS: u32 = 16;
/// Clients that submit jobs at a steady pace after a freeze began.
const STEADY_CLIENTS: u32 = 2;
const STEADY_PAUSE: Duration = Duration::from_millis(25);
/// Pause after the last disturbance before jobs are read: `contact_ms` (3 s) and `settle_ms` (1 s),
/// and a second more.
const SETTLE: Duration = Duration::from_millis(5_000);

/// Jobs that were answered 202, and the next job's number.
#[derive(Default)]
struct Jobs {
    number: AtomicU32,
    accepted: Mutex<Vec<String>>,
}

pub async fn run(record: Arc<Record>, has_trouble: bool) -> i32 {
    record.line(&format!("case frozen-leader, trouble={has_trouble}"));
    let is_shown = Arc::new(AtomicBool::new(false));
    let players = (0..DEPLOYMENTS).map(|player| {
        let (record, is_shown) = (Arc::clone(&record), Arc::clone(&is_shown));
        tokio::spawn(async move { play(player, &record, has_trouble, &is_shown).await })
    });
    let players: Vec<_> = players.collect();
    let mut lost = 0;
    let mut has_failed = false;
    // All are awaited, since each ends its processes when it returns.
    for player in players {
        match player.await {
            Ok(count) => lost += count,
            Err(_) => has_failed = true,
        }
    }
    record.line(&format!(
        "batch jobs answered 202 and unknown later: {lost}"
    ));
    match lost {
        0 if has_failed => 2,
        0 => 0,
        _ => 1,
    }
}

/// Plays rounds with new deployments until one deployment has lost jobs; returns the number of jobs
/// lost here.
async fn play(player: u32, record: &Record, has_trouble: bool, is_shown: &AtomicBool) -> usize {
    let mut lost = 0;
    let mut round = 0;
    while record.seconds() < LAST_ROUND_S && !is_shown.load(Ordering::Relaxed) {
        lost += play_round(player, round, record, has_trouble).await;
        is_shown.fetch_or(lost > 0, Ordering::Relaxed);
        round += 1;
    }
    lost
}

/// Bounds and memory as in the users' site file `llyfr-rollout`.
fn deployment() -> Deployment {
    Deployment {
        bounds: json!({
            "contact_ms": 3000, "ack_ms": 4000, "catch_up_s": 5.2, "drain_ms": 2000, "grace_s": 8,
            "config_ms": 2000, "recover_s": 12, "cancel_ms": 3000, "settle_ms": 1000,
            "fencing_enforced": true, "lease_ms": 3000, "thaw_ms": 300, "status_s": 120,
        }),
        memory_mb: Some(260),
        storage_memory_mb: Some(320),
        ..Deployment::default()
    }
}

async fn play_round(player: u32, round: u32, record: &Record, has_trouble: bool) -> usize {
    let (store, addresses) = Store::start().await;
    let size = Size {
        edges: 3,
        storage: 3,
    };
    let cluster =
        Cluster::start_deployed(configuration(1), store, addresses, size, deployment()).await;
    let cluster = Arc::new(cluster);
    let edges: Vec<SocketAddr> = cluster.edges.iter().map(|edge| edge.front).collect();
    let name = format!("{player}.{round}");
    record.line(&format!("deployment {name} runs"));
    let jobs = Arc::new(Jobs::default());
    for freeze in 0..FREEZES {
        tokio::time::sleep(Duration::from_millis(1_500)).await;
        let name = format!("{name}.{freeze}");
        let leader = cluster.leader();
        let machine = &cluster.storage[leader];
        let eager = Arc::new(AtomicBool::new(true));
        let steady = Arc::new(AtomicBool::new(true));
        let mut clients = Vec::new();
        for client in 0..EAGER_CLIENTS {
            let edge = edges[client as usize % edges.len()];
            let going = Arc::clone(&eager);
            let submitting = submit(name.clone(), edge, Arc::clone(&jobs), going, Duration::ZERO);
            clients.push(tokio::spawn(submitting));
        }
        // Varies the moment of the freeze from one to the next.
        let lead_us = 8_000 + u64::from((freeze * 7 + player * 3 + round * 5) % 11) * 437;
        tokio::time::sleep(Duration::from_micros(lead_us)).await;
        if has_trouble {
            machine.signal(Signal::SIGSTOP);
            record.line(&format!("{name}: {} stands still (SIGSTOP)", machine.name));
        }
        eager.store(false, Ordering::Relaxed);
        for client in 0..STEADY_CLIENTS {
            let edge = edges[client as usize % edges.len()];
            let going = Arc::clone(&steady);
            let submitting = submit(name.clone(), edge, Arc::clone(&jobs), going, STEADY_PAUSE);
            clients.push(tokio::spawn(submitting));
        }
        tokio::time::sleep(FREEZE).await;
        if has_trouble {
            machine.signal(Signal::SIGCONT);
            record.line(&format!("{name}: {} wakes (SIGCONT)", machine.name));
        }
        tokio::time::sleep(Duration::from_millis(100)).await;
        steady.store(false, Ordering::Relaxed);
        for client in clients {
            for line in client.await.expect("a client") {
                record.line(&line);
            }
        }
    }
    tokio::time::sleep(SETTLE).await;
    let accepted = std::mem::take(&mut *jobs.accepted.lock().expect("lock"));
    record.line(&format!(
        "deployment {name}: {} jobs were answered 202",
        accepted.len()
    ));
    let mut lost = 0;
    for job in accepted {
        if is_unknown(&job, &edges, record).await {
            let item = format!("item-{job}");
            let runs: u32 = cluster.replicas.iter().map(|one| one.runs_of(&item)).sum();
            record.line(&format!("LOST: runs of {item} at replicas: {runs}"));
            lost += 1;
        }
    }
    lost
}

/// Submits jobs one after the other while `going`; each id is sent once. Returns lines for the
/// record.
async fn submit(
    name: String,
    edge: SocketAddr,
    jobs: Arc<Jobs>,
    going: Arc<AtomicBool>,
    pause: Duration,
) -> Vec<String> {
    let mut lines = Vec::new();
    while going.load(Ordering::Relaxed) {
        let number = jobs.number.fetch_add(1, Ordering::Relaxed);
        let id = format!("job-{name}-{number}");
        let answer = call(edge, "POST", "/jobs/", &id, body(&id)).await;
        let status = answer.map(|answer| answer.status().as_u16());
        lines.push(format!("POST {id} at {edge}: {status:?}"));
        if status == Some(202) {
            jobs.accepted.lock().expect("lock").push(id);
        }
        tokio::time::sleep(pause).await;
    }
    lines
}

fn body(job: &str) -> String {
    json!({
        "step": 0, "model_id": "model", "min_version": 1, "desired": 1,
        "requests": [{
            "id": format!("item-{job}"),
            "path": format!("/jobs/run/{job}"),
            "headers": {"X-Brasspond-Model": "model"},
            "body": "AAEC",
            "token_count": 100,
            "group": "group",
        }],
    })
    .to_string()
}

/// Whether an edge answers 404 for a job. Reads at all edges, and again after a pause, so that the
/// answer is no passing one.
async fn is_unknown(job: &str, edges: &[SocketAddr], record: &Record) -> bool {
    let mut unknown = 0;
    for _ in 0..2 {
        for edge in edges {
            let path = format!("/-/lots/{job}?since_rev=0");
            let Some(answer) = call(*edge, "GET", &path, "reader", "").await else {
                continue;
            };
            let status = answer.status().as_u16();
            if status == 404 {
                unknown += 1;
                record.line(&format!("LOST: {job} was answered 202; GET at {edge}: 404"));
            } else {
                // The body is read so that the connection ends well.
                let _ = text(answer).await;
            }
        }
        if unknown == 0 {
            return false;
        }
        tokio::time::sleep(Duration::from_millis(500)).await;
    }
    true
}
