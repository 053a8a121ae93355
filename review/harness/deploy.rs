//! The platform of a case: fills the project's templates of settings, starts its programs with the
//! commands of the deploy file, and ends them.

use crate::http;
use std::fs::{self, File};
use std::net::{SocketAddr, TcpListener};
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

pub const SIGKILL: i32 = 9;

unsafe extern "C" {
    fn kill(process: i32, signal: i32) -> i32;
    fn prctl(option: i32, argument: u64, ...) -> i32;
}

/// Lets a process end with this one, so that nothing is left if a case is ended from outside.
pub fn ends_with_this(command: &mut Command) -> &mut Command {
    const PR_SET_PDEATHSIG: i32 = 1;
    let bind = || {
        // SAFETY: a system call with plain arguments.
        unsafe { prctl(PR_SET_PDEATHSIG, SIGKILL as u64) };
        Ok(())
    };
    // SAFETY: the closure makes one system call.
    unsafe { command.pre_exec(bind) }
}

/// What was sent, answered and run.
#[derive(Clone)]
pub struct Record {
    started: Instant,
    file: Arc<Mutex<File>>,
}

impl Record {
    pub fn create(folder: &Path) -> Record {
        let file = File::create(folder.join("record.txt")).expect("record.txt");
        Record {
            started: Instant::now(),
            file: Arc::new(Mutex::new(file)),
        }
    }

    pub fn line(&self, text: impl AsRef<str>) {
        use std::io::Write;
        let seconds = self.started.elapsed().as_secs_f64();
        let line = format!("{seconds:8.3} {}\n", text.as_ref());
        let _ = self.file.lock().expect("record").write_all(line.as_bytes());
        print!("{line}");
    }
}

/// One process of the system.
pub struct Node {
    pub name: String,
    pub role: &'static str,
    pub ip: String,
    pub folder: PathBuf,
    child: Option<Child>,
}

impl Node {
    pub fn pid(&self) -> Option<u32> {
        self.child.as_ref().map(Child::id)
    }
}

/// Ports, alike on all machines.
#[derive(Clone, Copy)]
pub struct Ports {
    pub control: u16,
    pub front: u16,
    pub ready: u16,
    /// First and last of the range for the system's own use.
    pub own: (u16, u16),
}

/// A deployment of the project's own programs on loopback addresses.
pub struct Deployment {
    pub nodes: Vec<Node>,
    pub ports: Ports,
    pub record: Record,
    folder: PathBuf,
    cores: usize,
    bootstrap: bool,
}

/// Address of a core machine.
pub fn core_ip(number: usize) -> String {
    format!("127.41.0.{}", number + 1)
}

/// Address of a front machine.
pub fn front_ip(number: usize) -> String {
    format!("127.41.1.{}", number + 1)
}

fn free_port(ips: &[String], taken: &[u16]) -> u16 {
    for _ in 0..200 {
        let probe = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let port = probe.local_addr().expect("address").port();
        let is_free = |ip: &String| TcpListener::bind((ip.as_str(), port)).is_ok();
        if !taken.contains(&port) && ips.iter().all(is_free) {
            return port;
        }
    }
    panic!("no free port");
}

impl Deployment {
    pub fn new(record: Record, folder: &Path, cores: usize, fronts: usize) -> Deployment {
        let ips: Vec<String> = (0..cores)
            .map(core_ip)
            .chain((0..fronts).map(front_ip))
            .collect();
        let mut taken = Vec::new();
        let mut next = || {
            let port = free_port(&ips, &taken);
            taken.push(port);
            port
        };
        let ports = Ports {
            control: next(),
            front: next(),
            ready: next(),
            own: (next(), next()),
        };
        let node = |role, name: String, ip: String| Node {
            folder: folder.join(&name),
            role,
            ip,
            name,
            child: None,
        };
        let controls = (0..cores).map(|it| node("control", format!("core-{it}"), core_ip(it)));
        let gateways = (0..fronts).map(|it| node("gateway", format!("front-{it}"), front_ip(it)));
        Deployment {
            nodes: controls.chain(gateways).collect(),
            ports,
            record,
            folder: folder.to_owned(),
            cores,
            bootstrap: true,
        }
    }

    pub fn controls(&self) -> Vec<SocketAddr> {
        (0..self.cores).map(|it| self.control(it)).collect()
    }

    pub fn control(&self, number: usize) -> SocketAddr {
        format!("{}:{}", core_ip(number), self.ports.control)
            .parse()
            .expect("address")
    }

    pub fn front(&self, number: usize) -> SocketAddr {
        format!("{}:{}", front_ip(number), self.ports.front)
            .parse()
            .expect("address")
    }

    /// Starts every process, as at the first start of the whole system.
    pub fn start_all(&mut self) {
        for number in 0..self.nodes.len() {
            self.start(number);
        }
        self.bootstrap = false;
    }

    /// Starts one process with the settings of this time.
    pub fn start(&mut self, number: usize) {
        let text = self.settings(number);
        let node = &mut self.nodes[number];
        fs::create_dir_all(node.folder.join("data")).expect("folder");
        let file = node.folder.join("node.toml");
        fs::write(&file, text).expect("settings");
        let log = File::options()
            .create(true)
            .append(true)
            .open(node.folder.join("log"))
            .expect("log");
        // The `run` of the deploy file; the platform names the settings file in the environment.
        let mut command = Command::new("target/release/millpass-node");
        let command = command
            .arg(node.role)
            .env("MILLPASS_NODE_FILE", &file)
            .stdin(Stdio::null())
            .stdout(log.try_clone().expect("log"))
            .stderr(log);
        let child = ends_with_this(command)
            .spawn()
            .expect("target/release/millpass-node; build it with the build of the deploy file");
        self.record
            .line(format!("start {} pid {}", node.name, child.id()));
        node.child = Some(child);
    }

    /// Sends a signal to a process that this case started.
    pub fn signal(&self, number: usize, signal: i32) {
        let node = &self.nodes[number];
        if let Some(id) = node.pid() {
            self.record
                .line(format!("signal {signal} to {}", node.name));
            // SAFETY: the process was started here and not yet waited for.
            unsafe { kill(id as i32, signal) };
        }
    }

    /// Kills a process and waits for its end.
    pub fn kill(&mut self, number: usize) {
        self.signal(number, SIGKILL);
        if let Some(mut child) = self.nodes[number].child.take() {
            let _ = child.wait();
        }
    }

    /// Loses the disk of a machine whose process does not run.
    pub fn wipe(&self, number: usize) {
        let node = &self.nodes[number];
        self.record.line(format!("disk of {} is lost", node.name));
        fs::remove_dir_all(node.folder.join("data")).expect("data");
    }

    /// Memory of a process in MB: what it has resident.
    pub fn memory_mb(&self, number: usize) -> f64 {
        let Some(id) = self.nodes[number].pid() else {
            return 0.0;
        };
        memory_mb(id)
    }

    pub fn log(&self, number: usize) -> String {
        fs::read_to_string(self.nodes[number].folder.join("log")).unwrap_or_default()
    }

    fn settings(&self, number: usize) -> String {
        let node = &self.nodes[number];
        let template = match node.role {
            "control" => "deploy/control.toml",
            _ => "deploy/gateway.toml",
        };
        let template = fs::read_to_string(template).expect("template");
        let seeds: Vec<String> = (0..self.cores.min(3))
            .map(|it| format!("\"{}\"", self.control(it)))
            .collect();
        let address = |port: u16| format!("{}:{port}", node.ip);
        let fields = [
            ("node", node.name.clone()),
            ("zone", "pnw-a".to_owned()),
            ("ip", node.ip.clone()),
            ("listen.control", address(self.ports.control)),
            ("listen.front", address(self.ports.front)),
            ("listen.ready", address(self.ports.ready)),
            ("port_range.0", self.ports.own.0.to_string()),
            ("port_range.1", self.ports.own.1.to_string()),
            ("seeds|json", format!("[{}]", seeds.join(", "))),
            ("data_dir", node.folder.join("data").display().to_string()),
            ("heartbeat_ms", "1200".to_owned()),
            ("limits.disk_mb", "128".to_owned()),
            ("tolerate.machines", "1".to_owned()),
            ("bounds.lease_ms", "3000".to_owned()),
            ("bounds.config_apply_ms", "2000".to_owned()),
            ("bounds.drain_ms", "2000".to_owned()),
            ("bounds.grace_s", "8".to_owned()),
            ("bounds.retry_budget_ratio", "0.2".to_owned()),
            ("bounds.retry_slack", "54".to_owned()),
            ("bounds.retry_window_s", "10".to_owned()),
            (
                "bootstrap",
                if self.bootstrap { "true" } else { "" }.to_owned(),
            ),
        ];
        fill(&template, &fields)
    }

    /// Ends every process of the case.
    pub fn stop(&mut self) {
        for number in 0..self.nodes.len() {
            if let Some(mut child) = self.nodes[number].child.take() {
                let _ = child.kill();
                let _ = child.wait();
            }
        }
    }
}

impl Drop for Deployment {
    fn drop(&mut self) {
        self.stop();
        if std::env::var_os("KEEP").is_none() {
            let _ = fs::remove_dir_all(&self.folder);
        }
    }
}

pub fn memory_mb(id: u32) -> f64 {
    let status = fs::read_to_string(format!("/proc/{id}/status")).unwrap_or_default();
    let resident = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let kilobytes = resident.and_then(|text| text.split_whitespace().next()?.parse::<f64>().ok());
    kilobytes.unwrap_or(0.0) * 1024.0 / 1e6
}

/// Fills a template as the DEPLOY page says, with the few forms that the project uses.
fn fill(template: &str, fields: &[(&str, String)]) -> String {
    let value = |name: &str| {
        let found = fields.iter().find(|(field, _)| *field == name);
        found.map_or(String::new(), |(_, value)| value.clone())
    };
    let mut text = template.to_owned();
    while let Some(begin) = ["{{#", "{{^"].iter().filter_map(|it| text.find(it)).min() {
        let is_negated = text[begin..].starts_with("{{^");
        let name_end = begin + text[begin..].find("}}").expect("gap");
        let name = text[begin + 3..name_end].to_owned();
        let close = format!("{{{{/{name}}}}}");
        let end = begin + text[begin..].find(&close).expect("end of section");
        let inner = text[name_end + 2..end].to_owned();
        let found = value(&name);
        let kept = match (found.is_empty(), is_negated) {
            (false, false) => inner.replace("{{.}}", &found),
            (true, true) => inner,
            _ => String::new(),
        };
        text.replace_range(begin..end + close.len(), &kept);
    }
    for (name, value) in fields {
        text = text.replace(&format!("{{{{{name}}}}}"), value);
    }
    assert!(!text.contains("{{"), "a gap is left: {text}");
    text
}

/// The operator: sends whole configurations and reads them back.
#[derive(Clone)]
pub struct Operator {
    pub controls: Vec<SocketAddr>,
    pub record: Record,
}

impl Operator {
    /// Sends a call to one node and follows 307 twice.
    fn call(
        &self,
        first: SocketAddr,
        method: &str,
        path: &str,
        body: &[u8],
    ) -> Option<http::Response> {
        let mut address = first;
        for _ in 0..3 {
            let limit = Duration::from_secs(4);
            let headers = [
                ("Host", address.to_string()),
                ("Content-Type", "application/json".to_owned()),
                ("Connection", "close".to_owned()),
            ];
            let response = http::call(address, method, path, &headers, body, limit).ok()?;
            if response.status != 307 {
                return Some(response);
            }
            let location = response.header("location").to_owned();
            let host = location
                .strip_prefix("http://")?
                .split('/')
                .next()?
                .to_owned();
            address = host.parse().ok()?;
        }
        None
    }

    /// Sends a configuration to the nodes in turn until it gets a clear answer or the time is up.
    /// Returns the status and the time it took.
    pub fn put(&self, version: u64, body: &str, limit: Duration) -> Option<(u16, Duration)> {
        let started = Instant::now();
        let mut number = version as usize;
        while started.elapsed() < limit {
            let address = self.controls[number % self.controls.len()];
            number += 1;
            let answer = self.call(address, "POST", "/millpass/config/put", body.as_bytes());
            if let Some(answer) = answer
                && [200, 400, 409, 412, 413, 422].contains(&answer.status)
            {
                let took = started.elapsed();
                self.record.line(format!(
                    "put version {version} ({} bytes): {} after {} ms",
                    body.len(),
                    answer.status,
                    took.as_millis()
                ));
                return Some((answer.status, took));
            }
            thread::sleep(Duration::from_millis(100));
        }
        self.record.line(format!(
            "put version {version} ({} bytes): no clear answer in {} ms",
            body.len(),
            started.elapsed().as_millis()
        ));
        None
    }

    /// Reads the configuration back at any node, again and again; returns its version.
    pub fn get(&self, limit: Duration) -> Option<u64> {
        let started = Instant::now();
        let mut number = 0;
        let mut statuses = Vec::new();
        while started.elapsed() < limit {
            let address = self.controls[number % self.controls.len()];
            number += 1;
            let answer = self.call(address, "GET", "/millpass/config/get", b"");
            statuses.push(answer.as_ref().map_or(0, |answer| answer.status));
            if let Some(answer) = answer.filter(|answer| answer.status == 200) {
                let version = version_of(&answer.text());
                self.record.line(format!("get: 200, version {version:?}"));
                return version;
            }
            thread::sleep(Duration::from_millis(100));
        }
        let tail = &statuses[statuses.len().saturating_sub(6)..];
        self.record.line(format!(
            "get: no 200 in {} ms; last of {} statuses: {tail:?} (0: no response)",
            started.elapsed().as_millis(),
            statuses.len(),
        ));
        None
    }
}

fn version_of(text: &str) -> Option<u64> {
    let rest = &text[text.find("\"version\":")? + 10..];
    let digits: String = rest.chars().take_while(char::is_ascii_digit).collect();
    digits.parse().ok()
}

/// Waits until something holds; returns whether it did.
pub fn eventually(limit: Duration, mut holds: impl FnMut() -> bool) -> bool {
    let started = Instant::now();
    while started.elapsed() < limit {
        if holds() {
            return true;
        }
        thread::sleep(Duration::from_millis(50));
    }
    false
}
