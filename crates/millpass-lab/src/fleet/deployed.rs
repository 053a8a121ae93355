//! A running fleet: starts, signals and stops its processes.

use super::bounds;
use super::children::{Children, Launch};
use super::events::{EventLog, process};
use super::folder::WorkFolder;
use super::lab_files::{RELAY, write_lab_files};
use super::layout::{Layout, Place};
use super::product_files::write_product_files;
use crate::deployment::Deployment;
use crate::relay::RelayClient;
use anyhow::{Context, Result, bail, ensure};
use millpass_checkers::Event;
use rustix::process::Signal;
use std::path::{Path, PathBuf};
use std::process::Command;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

/// Maximum wait for the relay to start.
const RELAY_START_TIMEOUT: Duration = Duration::from_secs(10);
/// Maximum wait for the graceful stop of the product processes at the end of a run.
const STOP_TIMEOUT: Duration = Duration::from_secs(15);
/// Polling interval.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Paths of the programs that a fleet starts.
#[derive(Clone, Debug)]
pub struct Programs {
    /// `millpass`.
    pub millpass: PathBuf,
    /// `millpass-lab`.
    pub lab: PathBuf,
}

impl Programs {
    /// Returns the current executable and the `millpass` in the same folder.
    pub fn beside_current_exe() -> Result<Self> {
        let lab = std::env::current_exe().context("cannot determine the path of this program")?;
        let millpass = lab.with_file_name("millpass");
        ensure!(
            millpass.exists(),
            "{} does not exist; build it with the same profile as this program, such as `cargo build --release`",
            millpass.display()
        );
        Ok(Programs { millpass, lab })
    }
}

/// A running fleet. Dropping it kills its processes.
pub struct Fleet {
    /// Deployment description.
    pub deployment: Deployment,
    /// Names, zones and addresses of the processes.
    pub layout: Layout,
    /// Files of the run.
    pub folder: WorkFolder,
    /// Events of the run.
    pub events: EventLog,
    /// Client of the relay that emulates the links.
    pub relay: RelayClient,
    programs: Programs,
    children: Mutex<Children>,
}

impl Fleet {
    /// Writes all files and starts every process, the relay first.
    pub fn start(deployment: Deployment, folder: WorkFolder, programs: Programs) -> Result<Self> {
        bounds::check_before(&deployment, bounds::machine_memory())?;
        let layout = Layout::new(&deployment)?;
        write_product_files(&folder, &deployment, &layout)?;
        write_lab_files(&folder, &deployment, &layout)?;
        let children = Children::new(&folder.logs(), deployment.bounds.processes)?;
        let fleet = Fleet {
            relay: RelayClient::new(layout.relay_control),
            events: EventLog::default(),
            children: Mutex::new(children),
            deployment,
            layout,
            folder,
            programs,
        };
        fleet.start_environment()?;
        fleet.start_product()?;
        Ok(fleet)
    }

    fn start_environment(&self) -> Result<()> {
        let settings = self.folder.lab_settings(RELAY);
        let arguments = ["relay".to_owned(), setting(&settings)];
        self.lock().start(self.lab_launch(RELAY, arguments))?;
        wait_until("the relay responds", RELAY_START_TIMEOUT, || {
            self.relay.status().is_ok()
        })?;
        self.start_stand_in(&self.layout.platform, "platform")?;
        self.start_stand_in(&self.layout.store, "store")?;
        for place in &self.layout.engines {
            self.start_stand_in(place, "engine")?;
        }
        for place in &self.layout.web {
            self.start_stand_in(place, "web")?;
        }
        Ok(())
    }

    fn start_product(&self) -> Result<()> {
        for place in &self.layout.control {
            self.initialize(place)?;
        }
        for place in &self.layout.control {
            let arguments = ["control", "run"].map(str::to_owned);
            self.start_product_process(place, &arguments)?;
        }
        for place in &self.layout.routers {
            self.start_product_process(place, &["router".to_owned()])?;
        }
        Ok(())
    }

    fn initialize(&self, place: &Place) -> Result<()> {
        let settings = self.folder.settings(&place.name);
        let arguments = ["control", "init", "--settings"];
        let output = Command::new(&self.programs.millpass)
            .args(arguments)
            .arg(&settings)
            .output()?;
        if !output.status.success() {
            let errors = String::from_utf8_lossy(&output.stderr);
            bail!("cannot initialize {}: {errors}", place.name);
        }
        Ok(())
    }

    /// Creates the catalog with `millpass apply`.
    pub fn apply_catalog(&self) -> Result<()> {
        let output = Command::new(&self.programs.millpass)
            .args(["apply", "--control"])
            .arg(self.layout.administration_addresses().join(","))
            .args(["--key", super::product_files::BOOTSTRAP_KEY, "--file"])
            .arg(self.folder.objects())
            .output()?;
        if !output.status.success() {
            let errors = String::from_utf8_lossy(&output.stderr);
            bail!("the catalog was rejected: {errors}");
        }
        Ok(())
    }

    fn start_stand_in(&self, place: &Place, kind: &str) -> Result<()> {
        let settings = self.folder.lab_settings(&place.name);
        let arguments = ["stand-in".to_owned(), setting(&settings), kind.to_owned()];
        self.launch(place, self.lab_launch(&place.name, arguments))
    }

    fn start_product_process(&self, place: &Place, command: &[String]) -> Result<()> {
        let settings = self.folder.settings(&place.name);
        let mut arguments = command.to_vec();
        arguments.push(setting(&settings));
        let launch = Launch {
            name: place.name.clone(),
            program: self.programs.millpass.clone(),
            arguments,
        };
        self.launch(place, launch)
    }

    fn lab_launch<const COUNT: usize>(&self, name: &str, arguments: [String; COUNT]) -> Launch {
        Launch {
            name: name.to_owned(),
            program: self.programs.lab.clone(),
            arguments: arguments.to_vec(),
        }
    }

    fn launch(&self, place: &Place, launch: Launch) -> Result<()> {
        let id = self.lock().start(launch)?;
        self.relay.set_process_zone(id, Some(&place.zone))?;
        let process = process(&place.name);
        self.events.push(Event::Started { process });
        Ok(())
    }

    /// Locks the children; hold the lock only briefly.
    pub fn lock(&self) -> MutexGuard<'_, Children> {
        self.children.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the place of a process.
    pub fn place(&self, name: &str) -> Result<&Place> {
        let mut places = self.layout.places();
        let found = places.find(|place| place.name == name);
        found.with_context(|| format!("{name} is not a process of this fleet"))
    }

    /// Kills a process.
    pub fn kill(&self, name: &str) -> Result<()> {
        self.events.disturbed(format!("kill {name}"));
        let id = self.lock().process_id(name);
        self.lock().kill(name)?;
        let process = process(name);
        self.events.push(Event::Killed { process });
        id.map_or(Ok(()), |id| self.relay.set_process_zone(id, None))
    }

    /// Removes the data folder of a stopped member.
    pub fn wipe(&self, name: &str) -> Result<()> {
        self.events.disturbed(format!("wipe {name}"));
        Ok(std::fs::remove_dir_all(self.folder.data(name))?)
    }

    /// Restarts a process that ended.
    pub fn restart(&self, name: &str) -> Result<()> {
        let place = self.place(name)?;
        let id = self.lock().restart(name)?;
        self.relay.set_process_zone(id, Some(&place.zone))?;
        let process = process(name);
        self.events.push(Event::Started { process });
        Ok(())
    }

    /// Suspends a process with SIGSTOP.
    pub fn freeze(&self, name: &str) -> Result<()> {
        self.events.disturbed(format!("freeze {name}"));
        self.lock().signal(name, Signal::STOP)?;
        let process = process(name);
        self.events.push(Event::Frozen { process });
        Ok(())
    }

    /// Resumes a suspended process with SIGCONT.
    pub fn resume(&self, name: &str) -> Result<()> {
        self.events.disturbed(format!("wake {name}"));
        let process = process(name);
        self.events.push(Event::Woken { process });
        self.lock().signal(name, Signal::CONT)
    }

    /// Stops a process gracefully. Returns false if it did not end in time.
    pub fn stop_planned(&self, name: &str, timeout: Duration) -> Result<bool> {
        let id = self.lock().process_id(name);
        self.events.push(Event::StopPlanned {
            process: process(name),
        });
        self.lock().request_stop(name)?;
        let has_ended = || {
            let mut children = self.lock();
            children.reap();
            children.process_id(name).is_none()
        };
        if !holds_within(timeout, has_ended) {
            return Ok(false);
        }
        let process = process(name);
        self.events.push(Event::Stopped { process });
        id.map_or(Ok(()), |id| self.relay.set_process_zone(id, None))?;
        Ok(true)
    }

    /// Stops the product processes gracefully, then kills all remaining processes. Returns the names
    /// of the product processes that had to be killed.
    pub fn stop(&self) -> Vec<String> {
        // A cut would block the graceful stop. Without a relay there are no cuts.
        let _ = self.relay.heal_all();
        let product = self.layout.routers.iter().chain(&self.layout.control);
        let names: Vec<&str> = product.map(|place| place.name.as_str()).collect();
        for name in &names {
            if self.lock().process_id(name).is_some() {
                // Fails if the process has just exited.
                let _ = self.lock().signal(name, Signal::CONT);
                let _ = self.lock().request_stop(name);
            }
        }
        let all_ended = || {
            let mut children = self.lock();
            children.reap();
            names.iter().all(|name| children.process_id(name).is_none())
        };
        holds_within(STOP_TIMEOUT, all_ended);
        let running = |name: &&str| self.lock().process_id(name).is_some();
        let late: Vec<String> = names
            .iter()
            .copied()
            .filter(running)
            .map(str::to_owned)
            .collect();
        self.lock().kill_all();
        late
    }
}

/// Polls a condition until it holds. Returns false if it does not within `timeout`.
pub fn holds_within(timeout: Duration, mut holds: impl FnMut() -> bool) -> bool {
    let until = Instant::now() + timeout;
    while !holds() {
        if Instant::now() >= until {
            return false;
        }
        thread::sleep(POLL_INTERVAL);
    }
    true
}

/// Polls a condition until it holds; fails with the description `what` after `timeout`.
pub fn wait_until(what: &str, timeout: Duration, holds: impl FnMut() -> bool) -> Result<()> {
    ensure!(
        holds_within(timeout, holds),
        "{what}: not within {} s; see the logs in the run's folder",
        timeout.as_secs()
    );
    Ok(())
}

fn setting(file: &Path) -> String {
    format!("--settings={}", file.display())
}
