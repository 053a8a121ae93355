//! Child processes of a fleet, started by path and signalled by process id.

use anyhow::{Context, Result, bail};
use procfs::process::Process;
use rustix::process::{Pid, Signal, kill_process};
use std::collections::BTreeMap;
use std::fs::File;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};

/// Command line of a process, kept for restarts.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Launch {
    /// Name in the fleet.
    pub name: String,
    /// Program.
    pub program: PathBuf,
    /// Arguments.
    pub arguments: Vec<String>,
}

struct Running {
    launch: Launch,
    child: Option<Child>,
    is_stopping: bool,
}

/// Children of a fleet. Dropping it kills those that still run.
pub struct Children {
    logs: PathBuf,
    maximum: usize,
    running: BTreeMap<String, Running>,
    unexpected: Vec<String>,
}

impl Children {
    /// Creates an empty set of at most `maximum` running children, whose output goes to files in `logs`.
    pub fn new(logs: &Path, maximum: usize) -> Result<Self> {
        std::fs::create_dir_all(logs).context("cannot create the log folder")?;
        Ok(Children {
            logs: logs.to_owned(),
            maximum,
            running: BTreeMap::new(),
            unexpected: Vec::new(),
        })
    }

    /// Starts a process and returns its id.
    pub fn start(&mut self, launch: Launch) -> Result<u32> {
        if self.process_ids().len() >= self.maximum {
            bail!(
                "{} processes are running, the limit of the deployment; raise bounds.processes",
                self.maximum
            );
        }
        let child = self.spawn(&launch)?;
        let id = child.id();
        let name = launch.name.clone();
        let running = Running {
            launch,
            child: Some(child),
            is_stopping: false,
        };
        self.running.insert(name, running);
        Ok(id)
    }

    /// Restarts a process that ended, with the same command line.
    pub fn restart(&mut self, name: &str) -> Result<u32> {
        let process = self.running.get(name);
        let launch = process.map(|running| running.launch.clone());
        let launch = launch.with_context(|| format!("{name} is not a process of this fleet"))?;
        if self.process_id(name).is_some() {
            bail!("{name} is still running; kill it before restarting it");
        }
        self.start(launch)
    }

    fn spawn(&self, launch: &Launch) -> Result<Child> {
        let log = self.logs.join(format!("{}.log", launch.name));
        let output = File::options().create(true).append(true).open(&log)?;
        Command::new(&launch.program)
            .args(&launch.arguments)
            .stdin(Stdio::null())
            .stdout(output.try_clone()?)
            .stderr(output)
            .spawn()
            .with_context(|| {
                let program = launch.program.display();
                format!("cannot start {program}; build it with `cargo build --release`")
            })
    }

    /// Returns the id of a process; `None` if it is not running.
    pub fn process_id(&self, name: &str) -> Option<u32> {
        let child = self.running.get(name)?.child.as_ref()?;
        Some(child.id())
    }

    /// Returns the ids of all running processes.
    pub fn process_ids(&self) -> Vec<u32> {
        let children = self.running.values().filter_map(|one| one.child.as_ref());
        children.map(Child::id).collect()
    }

    /// Returns the names of all processes, running or not.
    pub fn names(&self) -> Vec<String> {
        self.running.keys().cloned().collect()
    }

    /// Sends a signal to one of the children.
    pub fn signal(&self, name: &str, signal: Signal) -> Result<()> {
        let id = self.process_id(name);
        let id = id.with_context(|| format!("{name} is not running"))?;
        let process = Pid::from_raw(i32::try_from(id)?).context("a process id is not zero")?;
        kill_process(process, signal).with_context(|| format!("cannot send a signal to {name}"))
    }

    /// Kills a child and reaps it.
    pub fn kill(&mut self, name: &str) -> Result<()> {
        let running = self.running.get_mut(name);
        let child = running.and_then(|running| running.child.take());
        let mut child = child.with_context(|| format!("{name} is not running"))?;
        child.kill()?;
        child.wait()?;
        Ok(())
    }

    /// Sends SIGTERM to a child; its exit then counts as expected.
    pub fn request_stop(&mut self, name: &str) -> Result<()> {
        if let Some(running) = self.running.get_mut(name) {
            running.is_stopping = true;
        }
        self.signal(name, Signal::TERM)
    }

    /// Reaps children that exited and records unexpected exits.
    pub fn reap(&mut self) {
        for (name, running) in &mut self.running {
            let Some(child) = &mut running.child else {
                continue;
            };
            if let Ok(Some(status)) = child.try_wait() {
                if !running.is_stopping {
                    self.unexpected
                        .push(format!("{name} exited unexpectedly: {status}"));
                }
                running.child = None;
            }
        }
    }

    /// Returns the children that exited without a request to stop, with their exit status.
    pub fn unexpected_exits(&self) -> &[String] {
        &self.unexpected
    }

    /// Returns the state of each child and the last line of its log.
    pub fn states(&mut self) -> Vec<String> {
        self.reap();
        let states = self.running.iter().map(|(name, running)| {
            let state = match &running.child {
                Some(_) => "is running",
                None => "does not run",
            };
            let log = std::fs::read(self.logs.join(format!("{name}.log"))).unwrap_or_default();
            let log = String::from_utf8_lossy(&log);
            let last = log.lines().last().unwrap_or("nothing");
            format!("{name} {state}; last logged: {last}")
        });
        self.unexpected.iter().cloned().chain(states).collect()
    }

    /// Returns the resident memory of all children, in bytes.
    pub fn resident_bytes(&self) -> u64 {
        self.process_ids().into_iter().map(resident_bytes).sum()
    }

    /// Returns process count and resident bytes by kind, the part of the name before the first `-`.
    pub fn resident_by_kind(&self) -> BTreeMap<String, (usize, u64)> {
        let mut kinds: BTreeMap<String, (usize, u64)> = BTreeMap::new();
        for (name, running) in &self.running {
            let Some(child) = &running.child else {
                continue;
            };
            let kind = name.split('-').next().unwrap_or(name);
            let entry = kinds.entry(kind.to_owned()).or_default();
            entry.0 += 1;
            entry.1 += resident_bytes(child.id());
        }
        kinds
    }

    /// Kills all running children.
    pub fn kill_all(&mut self) {
        for name in self.names() {
            if self.process_id(&name).is_some() {
                // Best effort: fails if the child has already exited.
                let _ = self.kill(&name);
            }
        }
    }
}

impl Drop for Children {
    fn drop(&mut self) {
        self.kill_all();
    }
}

const BYTES_PER_KIBIBYTE: u64 = 1_024;

/// Returns the resident memory of a process, in bytes; 0 if it has exited.
pub fn resident_bytes(id: u32) -> u64 {
    let status = i32::try_from(id)
        .ok()
        .and_then(|id| Process::new(id).ok())
        .and_then(|process| process.status().ok());
    let kibibytes = status.and_then(|status| status.vmrss).unwrap_or(0);
    kibibytes * BYTES_PER_KIBIBYTE
}
