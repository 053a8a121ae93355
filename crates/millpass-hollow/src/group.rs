//! The members' processes: started, ended and read by their ids.

use crate::options::MeasureOptions;
use crate::usage::{self, Usage};
use anyhow::{Context, Result};
use std::net::{SocketAddr, TcpListener};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::time::{Duration as Length, Instant};

/// Longest wait for a member's answer.
const PATIENCE: Length = Length::from_secs(60);

/// One member.
struct Place {
    peer: String,
    administration: String,
    folder: PathBuf,
    child: Option<Child>,
}

/// A group of members, each in a process of its own.
pub struct Group {
    places: Vec<Place>,
    platform: String,
    store_loads: u32,
    // Removed with everything in it when the group is dropped.
    folder: tempfile::TempDir,
}

impl Group {
    /// Starts a new group.
    pub fn start(options: &MeasureOptions, platform: String) -> Result<Self> {
        let folder = tempfile::tempdir()?;
        let places: Result<Vec<Place>> = (0..options.members)
            .map(|place| {
                Ok(Place {
                    peer: free_address()?,
                    administration: free_address()?,
                    folder: folder.path().join(place.to_string()),
                    child: None,
                })
            })
            .collect();
        let mut group = Group {
            places: places?,
            platform,
            store_loads: options.store_loads,
            folder,
        };
        for place in 0..options.members {
            group.start_member(place, true)?;
        }
        Ok(group)
    }

    /// Starts a member's process; `initialize` makes its folder that of an initial member.
    pub fn start_member(&mut self, place: usize, initialize: bool) -> Result<()> {
        let mut command = Command::new(std::env::current_exe()?);
        command
            .arg("member")
            .arg("--folder")
            .arg(&self.places[place].folder)
            .args(["--place", &place.to_string()])
            .args(["--platform", &self.platform])
            .args(["--store-loads", &self.store_loads.to_string()]);
        for other in &self.places {
            command.arg("--initial");
            command.arg(format!("{},{}", other.peer, other.administration));
        }
        if initialize {
            command.arg("--initialize");
        }
        let child = command.stdin(Stdio::piped()).spawn()?;
        self.places[place].child = Some(child);
        Ok(())
    }

    /// Kills a member's process.
    pub fn kill(&mut self, place: usize) -> Result<()> {
        if let Some(mut child) = self.places[place].child.take() {
            child.kill()?;
            child.wait()?;
        }
        Ok(())
    }

    /// Removes a member's data folder.
    pub fn wipe(&self, place: usize) -> Result<()> {
        Ok(std::fs::remove_dir_all(&self.places[place].folder)?)
    }

    /// What each member has used.
    pub fn usage(&self) -> Result<Vec<Usage>> {
        let children = self.places.iter().map(|place| place.child.as_ref());
        children
            .map(|child| usage::read(child.context("not running")?.id()))
            .collect()
    }

    /// Peer addresses.
    pub fn peers(&self) -> Result<Vec<SocketAddr>> {
        let places = self.places.iter();
        places.map(|place| Ok(place.peer.parse()?)).collect()
    }

    /// Administration addresses.
    pub fn administration(&self) -> Vec<String> {
        let places = self.places.iter();
        places.map(|place| place.administration.clone()).collect()
    }

    /// The member that leads, once one does.
    pub fn leader(&self) -> Result<usize> {
        wait_for("a leader", || {
            (0..self.places.len())
                .find(|place| self.metric(*place, "millpass_control_leads") == Some(1))
        })
    }

    /// A number from a member's metrics; none when it does not answer.
    pub fn metric(&self, place: usize, name: &str) -> Option<u64> {
        let text = self.metrics(place)?;
        let line = text.lines().find(|line| {
            line.strip_prefix(name)
                .is_some_and(|rest| rest.starts_with([' ', '{']))
        })?;
        line.rsplit(' ')
            .next()?
            .parse::<f64>()
            .ok()
            .map(|value| value as u64)
    }

    /// A member's metrics.
    pub fn metrics(&self, place: usize) -> Option<String> {
        self.places[place].child.as_ref()?;
        let url = format!("http://{}/metrics", self.places[place].administration);
        ureq::get(url).call().ok()?.body_mut().read_to_string().ok()
    }

    /// Size of a member's data folder, in bytes.
    pub fn folder_bytes(&self, place: usize) -> u64 {
        let entries = std::fs::read_dir(&self.places[place].folder);
        let entries = entries.into_iter().flatten().flatten();
        let sizes = entries.filter_map(|entry| entry.metadata().ok());
        sizes.map(|metadata| metadata.len()).sum()
    }

    /// Folder of the whole group.
    pub fn folder(&self) -> &std::path::Path {
        self.folder.path()
    }
}

impl Drop for Group {
    fn drop(&mut self) {
        for place in 0..self.places.len() {
            if let Err(error) = self.kill(place) {
                eprintln!("member {place} did not end: {error}");
            }
        }
    }
}

/// Repeats until something is there.
pub fn wait_for<T>(what: &str, mut look: impl FnMut() -> Option<T>) -> Result<T> {
    let end = Instant::now() + PATIENCE;
    loop {
        if let Some(found) = look() {
            return Ok(found);
        }
        anyhow::ensure!(Instant::now() < end, "no {what} within {PATIENCE:?}");
        std::thread::sleep(Length::from_millis(10));
    }
}

fn free_address() -> Result<String> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    Ok(listener.local_addr()?.to_string())
}
