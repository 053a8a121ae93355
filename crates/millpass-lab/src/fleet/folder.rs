//! The folder of one run of a fleet.

use anyhow::{Result, ensure};
use std::path::{Path, PathBuf};

/// Where the files of a run are.
#[derive(Clone, Debug)]
pub struct WorkFolder {
    /// The folder.
    pub root: PathBuf,
}

impl WorkFolder {
    /// Makes the folder; it must not hold an earlier run.
    pub fn create(root: &Path) -> Result<Self> {
        let folder = WorkFolder {
            root: root.to_owned(),
        };
        ensure!(
            !root.join("settings").exists(),
            "{} holds an earlier run; give a new folder or remove it",
            root.display()
        );
        for part in ["settings", "data", "logs", "journals"] {
            std::fs::create_dir_all(root.join(part))?;
        }
        Ok(folder)
    }

    /// Settings file of one of the product's processes.
    pub fn settings(&self, name: &str) -> PathBuf {
        self.root.join("settings").join(format!("{name}.toml"))
    }

    /// Settings file of one of the lab's processes.
    pub fn lab_settings(&self, name: &str) -> PathBuf {
        self.root.join("settings").join(format!("{name}.json"))
    }

    /// Data folder of a control member.
    pub fn data(&self, name: &str) -> PathBuf {
        self.root.join("data").join(name)
    }

    /// Folder of logs.
    pub fn logs(&self) -> PathBuf {
        self.root.join("logs")
    }

    /// Folder of the back ends' journals.
    pub fn journals(&self) -> PathBuf {
        self.root.join("journals")
    }

    /// Journal of a back end.
    pub fn journal(&self, name: &str) -> PathBuf {
        self.journals().join(format!("{name}.jsonl"))
    }

    /// File of catalog objects.
    pub fn objects(&self) -> PathBuf {
        self.root.join("settings").join("objects.toml")
    }

    /// History of the callers.
    pub fn callers_history(&self) -> PathBuf {
        self.root.join("callers.jsonl")
    }

    /// History for the checkers.
    pub fn history(&self) -> PathBuf {
        self.root.join("history.jsonl")
    }

    /// The report.
    pub fn report(&self) -> PathBuf {
        self.root.join("report.json")
    }
}
