//! The fleet's own child processes: started by path, stopped by id, never by name.

use anyhow::{Context, Result, bail};
use procfs::process::Process;
use rustix::process::{Pid, Signal, kill_process};
use std::collections::BTreeMap;
use std::fs::File;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};

/// How to start a process, the first time and again.
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

/// All children of a fleet. Dropping it kills those that still run.
pub struct Children {
    logs: PathBuf,
    maximum: usize,
    running: BTreeMap<String, Running>,
    unasked: Vec<String>,
}

impl Children {
    /// No children yet; their output goes to files in `logs`, at most `maximum` of them run.
    pub fn new(logs: &Path, maximum: usize) -> Result<Self> {
        std::fs::create_dir_all(logs).context("the folder for logs cannot be made")?;
        Ok(Children {
            logs: logs.to_owned(),
            maximum,
            running: BTreeMap::new(),
            unasked: Vec::new(),
        })
    }

    /// Starts a process and gives its id.
    pub fn start(&mut self, launch: Launch) -> Result<u32> {
        if self.process_ids().len() >= self.maximum {
            bail!(
                "{} processes run; the deployment's bound allows no more",
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

    /// Starts a process that ended, as before.
    pub fn restart(&mut self, name: &str) -> Result<u32> {
        let known = self.running.get(name);
        let launch = known.map(|running| running.launch.clone());
        let launch = launch.with_context(|| format!("{name} is no process of this fleet"))?;
        if self.process_id(name).is_some() {
            bail!("{name} still runs; kill it before it is started again");
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
                format!("{program} cannot be started; build it with `cargo build --release`")
            })
    }

    /// Id of a process that runs.
    pub fn process_id(&self, name: &str) -> Option<u32> {
        let child = self.running.get(name)?.child.as_ref()?;
        Some(child.id())
    }

    /// Ids of all processes that run.
    pub fn process_ids(&self) -> Vec<u32> {
        let children = self.running.values().filter_map(|one| one.child.as_ref());
        children.map(Child::id).collect()
    }

    /// Names of all processes, running or not.
    pub fn names(&self) -> Vec<String> {
        self.running.keys().cloned().collect()
    }

    /// Sends a signal to one of the children.
    pub fn signal(&self, name: &str, signal: Signal) -> Result<()> {
        let id = self.process_id(name);
        let id = id.with_context(|| format!("{name} does not run"))?;
        let process = Pid::from_raw(i32::try_from(id)?).context("a process id is not zero")?;
        kill_process(process, signal).with_context(|| format!("{name} took no signal"))
    }

    /// Kills a child and takes its end.
    pub fn kill(&mut self, name: &str) -> Result<()> {
        let running = self.running.get_mut(name);
        let child = running.and_then(|running| running.child.take());
        let mut child = child.with_context(|| format!("{name} does not run"))?;
        child.kill()?;
        child.wait()?;
        Ok(())
    }

    /// Asks a child to end in an orderly way.
    pub fn request_stop(&mut self, name: &str) -> Result<()> {
        if let Some(running) = self.running.get_mut(name) {
            running.is_stopping = true;
        }
        self.signal(name, Signal::TERM)
    }

    /// Takes note of children that ended.
    pub fn reap(&mut self) {
        for (name, running) in &mut self.running {
            let Some(child) = &mut running.child else {
                continue;
            };
            if let Ok(Some(status)) = child.try_wait() {
                if !running.is_stopping {
                    self.unasked
                        .push(format!("{name} ended by itself: {status}"));
                }
                running.child = None;
            }
        }
    }

    /// Children that ended without being asked to, with how.
    pub fn unexpected_exits(&self) -> &[String] {
        &self.unasked
    }

    /// Resident memory of all children, in bytes.
    pub fn resident_bytes(&self) -> u64 {
        self.process_ids().into_iter().map(resident_bytes).sum()
    }

    /// Resident memory by the kind in a name (`router-3` is a `router`): count and bytes.
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

    /// Kills every child that runs.
    pub fn kill_all(&mut self) {
        for name in self.names() {
            if self.process_id(&name).is_some() {
                // Nothing can be done about one that will not die.
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

/// Resident memory of a process; 0 if it has just ended.
pub fn resident_bytes(id: u32) -> u64 {
    let status = i32::try_from(id)
        .ok()
        .and_then(|id| Process::new(id).ok())
        .and_then(|process| process.status().ok());
    let kibibytes = status.and_then(|status| status.vmrss).unwrap_or(0);
    kibibytes * BYTES_PER_KIBIBYTE
}
