//! Starts, stops and inspects the member processes.

use crate::options::MeasureOptions;
use crate::usage::{self, Usage};
use anyhow::{Context, Result};
use std::net::{SocketAddr, TcpListener};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::time::{Duration as StdDuration, Instant};

/// Maximum wait for a condition of the group.
const WAIT_TIMEOUT: StdDuration = StdDuration::from_secs(60);

/// Addresses, data folder and process of a member.
struct MemberProcess {
    peer: String,
    administration: String,
    folder: PathBuf,
    child: Option<Child>,
}

/// A control group with one process per member.
pub struct Group {
    members: Vec<MemberProcess>,
    platform: String,
    store_loads: u32,
    // Deleted when the group is dropped.
    folder: tempfile::TempDir,
}

impl Group {
    /// Starts a new group.
    pub fn start(options: &MeasureOptions, platform: String) -> Result<Self> {
        let folder = tempfile::tempdir()?;
        let members: Result<Vec<MemberProcess>> = (0..options.members)
            .map(|place| {
                Ok(MemberProcess {
                    peer: free_address()?,
                    administration: free_address()?,
                    folder: folder.path().join(place.to_string()),
                    child: None,
                })
            })
            .collect();
        let mut group = Group {
            members: members?,
            platform,
            store_loads: options.store_loads,
            folder,
        };
        for place in 0..options.members {
            group.start_member(place, true)?;
        }
        Ok(group)
    }

    /// Starts a member process; `initialize` first initializes its folder as an initial member.
    pub fn start_member(&mut self, place: usize, initialize: bool) -> Result<()> {
        let mut command = Command::new(std::env::current_exe()?);
        command
            .arg("member")
            .arg("--folder")
            .arg(&self.members[place].folder)
            .args(["--place", &place.to_string()])
            .args(["--platform", &self.platform])
            .args(["--store-loads", &self.store_loads.to_string()]);
        for other in &self.members {
            command.arg("--initial");
            command.arg(format!("{},{}", other.peer, other.administration));
        }
        if initialize {
            command.arg("--initialize");
        }
        let child = command.stdin(Stdio::piped()).spawn()?;
        self.members[place].child = Some(child);
        Ok(())
    }

    /// Kills a member process.
    pub fn kill(&mut self, place: usize) -> Result<()> {
        if let Some(mut child) = self.members[place].child.take() {
            child.kill()?;
            child.wait()?;
        }
        Ok(())
    }

    /// Removes the data folder of a member.
    pub fn wipe(&self, place: usize) -> Result<()> {
        Ok(std::fs::remove_dir_all(&self.members[place].folder)?)
    }

    /// Returns the resource usage of each member.
    pub fn usage(&self) -> Result<Vec<Usage>> {
        let children = self.members.iter().map(|place| place.child.as_ref());
        children
            .map(|child| usage::read(child.context("member is not running")?.id()))
            .collect()
    }

    /// Returns the peer addresses.
    pub fn peers(&self) -> Result<Vec<SocketAddr>> {
        let members = self.members.iter();
        members.map(|place| Ok(place.peer.parse()?)).collect()
    }

    /// Returns the administration addresses.
    pub fn administration(&self) -> Vec<String> {
        let members = self.members.iter();
        members.map(|place| place.administration.clone()).collect()
    }

    /// Waits for a leader and returns its index.
    pub fn leader(&self) -> Result<usize> {
        wait_for("a leader", || {
            (0..self.members.len())
                .find(|place| self.metric(*place, "millpass_control_leads") == Some(1))
        })
    }

    /// Reads a metric of a member; `None` if the member does not respond.
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

    /// Reads the metrics of a member; `None` if it does not respond.
    pub fn metrics(&self, place: usize) -> Option<String> {
        self.members[place].child.as_ref()?;
        let url = format!("http://{}/metrics", self.members[place].administration);
        ureq::get(url).call().ok()?.body_mut().read_to_string().ok()
    }

    /// Returns the size of the data folder of a member, in bytes.
    pub fn folder_bytes(&self, place: usize) -> u64 {
        let entries = std::fs::read_dir(&self.members[place].folder);
        let entries = entries.into_iter().flatten().flatten();
        let sizes = entries.filter_map(|entry| entry.metadata().ok());
        sizes.map(|metadata| metadata.len()).sum()
    }

    /// Returns the folder of the group.
    pub fn folder(&self) -> &std::path::Path {
        self.folder.path()
    }
}

impl Drop for Group {
    fn drop(&mut self) {
        for place in 0..self.members.len() {
            if let Err(error) = self.kill(place) {
                eprintln!("cannot kill member {place}: {error}");
            }
        }
    }
}

/// Polls until a value is available.
pub fn wait_for<T>(what: &str, mut poll: impl FnMut() -> Option<T>) -> Result<T> {
    let end = Instant::now() + WAIT_TIMEOUT;
    loop {
        if let Some(found) = poll() {
            return Ok(found);
        }
        anyhow::ensure!(Instant::now() < end, "no {what} within {WAIT_TIMEOUT:?}");
        std::thread::sleep(StdDuration::from_millis(10));
    }
}

fn free_address() -> Result<String> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    Ok(listener.local_addr()?.to_string())
}
