//! Machines of a small deployment, each with a loopback address of its own, and the part of the
//! platform that restarts processes and ends those that exceed their memory.

use std::fs::{File, OpenOptions};
use std::io::Write;
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Lines of what was sent, answered and run.
pub struct Record {
    file: Mutex<File>,
    started: Instant,
}

impl Record {
    pub fn create(path: &Path) -> Arc<Self> {
        let file = File::create(path).expect("a record");
        Arc::new(Self {
            file: Mutex::new(file),
            started: Instant::now(),
        })
    }

    pub fn line(&self, text: &str) {
        let ms = self.started.elapsed().as_millis();
        let mut file = self.file.lock().expect("lock");
        let _ = writeln!(file, "{ms:>7} ms  {text}");
    }
}

/// Figures of the deployment that a scenario chooses.
#[derive(Clone)]
pub struct Plan {
    pub edges: usize,
    pub storage: usize,
    pub status_s: u64,
    pub edge_memory_mb: u64,
    pub storage_memory_mb: u64,
}

/// A machine with its process.
pub struct Machine {
    pub name: String,
    pub role: &'static str,
    pub ip: String,
    pub front: SocketAddr,
    pub ready: SocketAddr,
    pub folder: PathBuf,
    pub memory_mb: u64,
    command: Vec<String>,
    process: Mutex<Option<Child>>,
    /// Number of times that the platform ended the process for its memory.
    pub memory_kills: Mutex<u32>,
    /// Greatest resident memory seen, in KB.
    pub peak_kb: Mutex<u64>,
}

/// The words of a role's `run` in the deploy file.
fn deploy_command(role: &str) -> Vec<String> {
    let text = std::fs::read_to_string("deploy/system.toml").expect("the deploy file");
    let section = text
        .split(&format!("[roles.{role}]"))
        .nth(1)
        .expect("the role");
    let line = section
        .lines()
        .find(|line| line.starts_with("run"))
        .expect("its command");
    let words = line.split('"').nth(1).expect("its words");
    words.split(' ').map(str::to_string).collect()
}

/// A prefix `127.X.Y` of loopback addresses on which nothing listens.
pub fn free_network() -> String {
    let seed = std::process::id();
    for step in 0..200 {
        let value = seed.wrapping_mul(2654435761).wrapping_add(step * 7919);
        let prefix = format!("127.{}.{}", 10 + (value >> 8) % 200, (value >> 16) % 250);
        let taken = (1..40).any(|host| {
            let ports = [7720, 8161, 8166, 8167, 9100];
            ports
                .iter()
                .any(|port| TcpListener::bind((format!("{prefix}.{host}"), *port)).is_err())
        });
        if !taken {
            return prefix;
        }
    }
    panic!("no free loopback addresses");
}

impl Machine {
    fn settings(&self, plan: &Plan, network: &str, store: SocketAddr, bootstrap: bool) -> String {
        let is_edge = self.role == "edge";
        let (ip, name) = (&self.ip, &self.name);
        let serves = if is_edge {
            "[\"edge\", \"control_plane\"]"
        } else {
            "[\"storage\"]"
        };
        let listen = if is_edge {
            format!("{{front: \"{ip}:8161\", ready: \"{ip}:8167\", control: \"{ip}:8166\"}}")
        } else {
            "{}".to_string()
        };
        let data = self.folder.join("data");
        let data = if is_edge {
            "null".to_string()
        } else {
            format!("\"{}\"", data.display())
        };
        let zone = name
            .rsplit('-')
            .next()
            .and_then(|number| number.parse::<usize>().ok());
        let zone = ["zone-a", "zone-b", "zone-c"][zone.unwrap_or(0) % 3];
        format!(
            "node: \"{name}\"\nrole: \"{role}\"\nmachine_class: \"{role}\"\nserves: {serves}\n\
             ip: \"{ip}\"\nzone: \"{zone}\"\nregion: \"region\"\n\
             zones: {{zone-a: \"region\", zone-b: \"region\", zone-c: \"region\"}}\n\
             listen: {listen}\ninternal_ports: [7720, 7735]\n\
             seeds: [\"{network}.1:8166\", \"{network}.2:8166\"]\n\
             bootstrap: {bootstrap}\nfault_counted: {counted}\n\
             limits: {{cpu_share: 0.5, cores: 1, memory_mb: {memory}, max_fds: 4100, link_mbps: 1000.0, disk_mb: {disk}}}\n\
             data_dir: {data}\ndiscovery: \"platform\"\nentry: \"vip\"\nheartbeat_ms: 1200\n\
             contracts: [base, drain, config, cost, recover, samples, stream, engine, batch, platform]\n\
             fault_tolerance: {{machines: 1, zones: 0, regions: 0}}\n\
             bounds: {{seed_lag_s: 3, reuse_after_s: 2, contact_ms: 3000, ack_ms: 4000, catch_up_s: 5.2, \
             drain_ms: 2000, grace_s: 8, loss_slack_ms: 200, config_ms: 2000, rollback_slack_ms: 250, \
             outer_ms: 5000, recover_s: 12, pass_ms: 120, retry_after_s: 0, finish_s: 10, \
             status_s: {status}, cancel_ms: 3000, settle_ms: 1000, quota_overshoot: 0.1, \
             fencing_enforced: true, lease_ms: 3000, thaw_ms: 300}}\n\
             platform: {{address: \"{store}\", form: \"objects\", writes_per_s: 400, reads_per_s: 2000, \
             history_s: 20, value_bytes: 1048576, ttl_min_ms: 1000}}\n",
            role = self.role,
            counted = !is_edge,
            memory = self.memory_mb,
            disk = if is_edge { 0 } else { 620 },
            status = plan.status_s,
        )
    }

    fn settings_path(&self) -> PathBuf {
        self.folder.join("settings.yaml")
    }

    /// Starts the process with the settings as they are now.
    pub fn start(&self) {
        let log = OpenOptions::new()
            .create(true)
            .append(true)
            .open(self.folder.join("log"));
        let log = log.expect("a log");
        let child = Command::new(&self.command[0])
            .args(&self.command[1..])
            .env("BRASSPOND_NODE_FILE", self.settings_path())
            .stdin(Stdio::null())
            .stdout(Stdio::from(log.try_clone().expect("a log")))
            .stderr(Stdio::from(log))
            .spawn()
            .expect("the program starts");
        // The script ends what is left if this program is stopped.
        if let Some(folder) = self.folder.parent() {
            let pids = OpenOptions::new()
                .create(true)
                .append(true)
                .open(folder.join("pids"));
            let _ = writeln!(pids.expect("a list of processes"), "{}", child.id());
        }
        *self.process.lock().expect("lock") = Some(child);
    }

    /// Kills the process and waits for its end.
    pub fn kill(&self) {
        if let Some(mut child) = self.process.lock().expect("lock").take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Resident memory of the process in KB, if it runs.
    pub fn resident_kb(&self) -> Option<u64> {
        let process = self.process.lock().expect("lock");
        let id = process.as_ref()?.id();
        let text = std::fs::read_to_string(format!("/proc/{id}/status")).ok()?;
        let line = text.lines().find(|line| line.starts_with("VmRSS:"))?;
        line.split_whitespace().nth(1)?.parse().ok()
    }

    /// Whether the process ended by itself.
    pub fn has_ended(&self) -> bool {
        let mut process = self.process.lock().expect("lock");
        let child = process.as_mut();
        child.is_some_and(|child| matches!(child.try_wait(), Ok(Some(_))))
    }

    pub fn log(&self) -> String {
        std::fs::read_to_string(self.folder.join("log")).unwrap_or_default()
    }
}

/// All machines of a deployment.
pub struct Cluster {
    pub machines: Vec<Arc<Machine>>,
    pub network: String,
    store: SocketAddr,
    plan: Plan,
}

impl Cluster {
    /// Makes the machines and starts their processes.
    pub fn start(plan: &Plan, network: &str, store: SocketAddr, folder: &Path) -> Self {
        let mut machines = Vec::new();
        let roles = [("edge", plan.edges, 0), ("storage", plan.storage, 20)];
        for (role, count, offset) in roles {
            for number in 1..=count {
                let ip = format!("{network}.{}", offset + number);
                let name = format!("{role}-{number}");
                let own = folder.join(&name);
                std::fs::create_dir_all(&own).expect("a folder");
                let memory_mb = if role == "edge" {
                    plan.edge_memory_mb
                } else {
                    plan.storage_memory_mb
                };
                machines.push(Arc::new(Machine {
                    front: format!("{ip}:8161").parse().expect("an address"),
                    ready: format!("{ip}:8167").parse().expect("an address"),
                    command: deploy_command(role),
                    process: Mutex::new(None),
                    memory_kills: Mutex::new(0),
                    peak_kb: Mutex::new(0),
                    folder: own,
                    memory_mb,
                    name,
                    role,
                    ip,
                }));
            }
        }
        let cluster = Self {
            machines,
            network: network.to_string(),
            store,
            plan: plan.clone(),
        };
        cluster.write_settings(true);
        for machine in &cluster.machines {
            machine.start();
        }
        cluster.write_settings(false);
        cluster
    }

    /// Writes the settings files. Processes read them at their start, so the first ones get
    /// `bootstrap: true` if the files are changed only after that.
    pub fn write_settings(&self, bootstrap: bool) {
        if !bootstrap {
            std::thread::sleep(Duration::from_millis(700));
        }
        for machine in &self.machines {
            let text = machine.settings(&self.plan, &self.network, self.store, bootstrap);
            std::fs::write(machine.settings_path(), text).expect("settings");
        }
    }

    pub fn edges(&self) -> Vec<Arc<Machine>> {
        self.machines
            .iter()
            .filter(|one| one.role == "edge")
            .cloned()
            .collect()
    }

    pub fn storage(&self) -> Vec<Arc<Machine>> {
        self.machines
            .iter()
            .filter(|one| one.role == "storage")
            .cloned()
            .collect()
    }

    /// Ends and restarts processes as the platform does: one that exceeds `memory_mb` is killed, and
    /// one that ended is started again after a short delay. Runs until the program ends.
    pub fn watch_processes(&self, record: &Arc<Record>, enforce_memory: bool) {
        for machine in self.machines.clone() {
            let record = Arc::clone(record);
            std::thread::spawn(move || {
                loop {
                    std::thread::sleep(Duration::from_millis(10));
                    let resident = machine.resident_kb().unwrap_or(0);
                    let mut peak = machine.peak_kb.lock().expect("lock");
                    *peak = (*peak).max(resident);
                    drop(peak);
                    if enforce_memory && resident > machine.memory_mb * 1_024 {
                        record.line(&format!(
                            "platform: {} holds {} MiB, over memory_mb {}, and is killed",
                            machine.name,
                            resident / 1_024,
                            machine.memory_mb
                        ));
                        *machine.memory_kills.lock().expect("lock") += 1;
                        machine.kill();
                        std::thread::sleep(Duration::from_millis(500));
                        machine.start();
                    } else if machine.has_ended() {
                        record.line(&format!("platform: {} ended by itself", machine.name));
                        machine.kill();
                        std::thread::sleep(Duration::from_millis(500));
                        machine.start();
                    }
                }
            });
        }
    }
}

impl Drop for Cluster {
    fn drop(&mut self) {
        for machine in &self.machines {
            machine.kill();
        }
    }
}
