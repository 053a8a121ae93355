//! A running fleet: its processes, started in order and each stopped by id.

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

/// Time for the relay to answer after its start.
const RELAY_PATIENCE: Duration = Duration::from_secs(10);
/// Time for the product's processes to end in an orderly way at the end of a run.
const STOP_PATIENCE: Duration = Duration::from_secs(15);
/// Pause between two looks.
const POLL: Duration = Duration::from_millis(20);

/// The programs that a fleet starts.
#[derive(Clone, Debug)]
pub struct Programs {
    /// `millpass`.
    pub millpass: PathBuf,
    /// `millpass-lab`.
    pub lab: PathBuf,
}

impl Programs {
    /// This program, and the `millpass` beside it.
    pub fn beside_own() -> Result<Self> {
        let lab = std::env::current_exe().context("the path of this program is not known")?;
        let millpass = lab.with_file_name("millpass");
        ensure!(
            millpass.exists(),
            "{} does not exist; build it as this program was built, with `cargo build --release`",
            millpass.display()
        );
        Ok(Programs { millpass, lab })
    }
}

/// A running fleet. Dropping it kills its processes.
pub struct Fleet {
    /// What it is.
    pub deployment: Deployment,
    /// Names and addresses.
    pub layout: Layout,
    /// Files.
    pub folder: WorkFolder,
    /// What was done to it.
    pub events: EventLog,
    /// Cuts and delays.
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
        fleet.start_outside()?;
        fleet.start_product()?;
        Ok(fleet)
    }

    fn start_outside(&self) -> Result<()> {
        let settings = self.folder.lab_settings(RELAY);
        let arguments = ["relay".to_owned(), setting(&settings)];
        self.lock().start(self.lab_launch(RELAY, arguments))?;
        wait_until("the relay answers", RELAY_PATIENCE, || {
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
            bail!("{} could not be initialized: {errors}", place.name);
        }
        Ok(())
    }

    /// Creates the catalog, as an operator does.
    pub fn apply_catalog(&self) -> Result<()> {
        let output = Command::new(&self.programs.millpass)
            .args(["apply", "--control"])
            .arg(self.layout.administration_addresses().join(","))
            .args(["--key", super::product_files::BOOTSTRAP_KEY, "--file"])
            .arg(self.folder.objects())
            .output()?;
        if !output.status.success() {
            let errors = String::from_utf8_lossy(&output.stderr);
            bail!("the catalog was not taken: {errors}");
        }
        Ok(())
    }

    fn start_stand_in(&self, place: &Place, kind: &str) -> Result<()> {
        let settings = self.folder.lab_settings(&place.name);
        let arguments = ["stand-in".to_owned(), setting(&settings), kind.to_owned()];
        self.launch(place, self.lab_launch(&place.name, arguments))
    }

    fn start_product_process(&self, place: &Place, words: &[String]) -> Result<()> {
        let settings = self.folder.settings(&place.name);
        let mut arguments = words.to_vec();
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
        self.relay.tell(id, Some(&place.zone))?;
        let process = process(&place.name);
        self.events.push(Event::Started { process });
        Ok(())
    }

    /// The children; the lock is held for short looks only.
    pub fn lock(&self) -> MutexGuard<'_, Children> {
        self.children.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Place of a process.
    pub fn place(&self, name: &str) -> Result<&Place> {
        let mut places = self.layout.places();
        let found = places.find(|place| place.name == name);
        found.with_context(|| format!("{name} is no process of this fleet"))
    }

    /// Kills a process.
    pub fn kill(&self, name: &str) -> Result<()> {
        self.events.disturbed(format!("kill {name}"));
        let id = self.lock().process_id(name);
        self.lock().kill(name)?;
        let process = process(name);
        self.events.push(Event::Killed { process });
        id.map_or(Ok(()), |id| self.relay.tell(id, None))
    }

    /// Removes the data folder of a member that does not run.
    pub fn wipe(&self, name: &str) -> Result<()> {
        self.events.disturbed(format!("wipe {name}"));
        Ok(std::fs::remove_dir_all(self.folder.data(name))?)
    }

    /// Starts a process again that ended.
    pub fn restart(&self, name: &str) -> Result<()> {
        let place = self.place(name)?;
        let id = self.lock().restart(name)?;
        self.relay.tell(id, Some(&place.zone))?;
        let process = process(name);
        self.events.push(Event::Started { process });
        Ok(())
    }

    /// Stops a process from running, without ending it.
    pub fn freeze(&self, name: &str) -> Result<()> {
        self.events.disturbed(format!("freeze {name}"));
        self.lock().signal(name, Signal::STOP)?;
        let process = process(name);
        self.events.push(Event::Frozen { process });
        Ok(())
    }

    /// Lets a frozen process run again.
    pub fn wake(&self, name: &str) -> Result<()> {
        self.events.disturbed(format!("wake {name}"));
        let process = process(name);
        self.events.push(Event::Woken { process });
        self.lock().signal(name, Signal::CONT)
    }

    /// Stops a process as planned; false if it did not end in time.
    pub fn stop_planned(&self, name: &str, patience: Duration) -> Result<bool> {
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
        if !holds_within(patience, has_ended) {
            return Ok(false);
        }
        let process = process(name);
        self.events.push(Event::Stopped { process });
        id.map_or(Ok(()), |id| self.relay.tell(id, None))?;
        Ok(true)
    }

    /// Stops the product's processes in an orderly way, then kills what is left. Gives the names of
    /// the product's processes that had to be killed.
    pub fn stop(&self) -> Vec<String> {
        // A cut would hold up the orderly stop; without a relay there is none.
        let _ = self.relay.heal_all();
        let product = self.layout.routers.iter().chain(&self.layout.control);
        let names: Vec<&str> = product.map(|place| place.name.as_str()).collect();
        for name in &names {
            if self.lock().process_id(name).is_some() {
                // One that has just ended takes no signal, and needs none.
                let _ = self.lock().signal(name, Signal::CONT);
                let _ = self.lock().request_stop(name);
            }
        }
        let all_ended = || {
            let mut children = self.lock();
            children.reap();
            names.iter().all(|name| children.process_id(name).is_none())
        };
        holds_within(STOP_PATIENCE, all_ended);
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

/// Waits until something holds, at most for `patience`; false if it does not hold then.
pub fn holds_within(patience: Duration, mut holds: impl FnMut() -> bool) -> bool {
    let until = Instant::now() + patience;
    while !holds() {
        if Instant::now() >= until {
            return false;
        }
        thread::sleep(POLL);
    }
    true
}

/// Waits until something holds, or says what did not.
pub fn wait_until(what: &str, patience: Duration, holds: impl FnMut() -> bool) -> Result<()> {
    ensure!(
        holds_within(patience, holds),
        "{what}: not within {} s; see the logs in the run's folder",
        patience.as_secs()
    );
    Ok(())
}

fn setting(file: &Path) -> String {
    format!("--settings={}", file.display())
}
