//! Folder of one run of a fleet.

use anyhow::{Result, ensure};
use std::path::{Path, PathBuf};

/// Paths of the files of a run.
#[derive(Clone, Debug)]
pub struct WorkFolder {
    /// Root folder.
    pub root: PathBuf,
}

impl WorkFolder {
    /// Creates the folder. Fails if it holds an earlier run.
    pub fn create(root: &Path) -> Result<Self> {
        let folder = WorkFolder {
            root: root.to_owned(),
        };
        ensure!(
            !root.join("settings").exists(),
            "{} holds an earlier run; use a new folder or remove it",
            root.display()
        );
        for part in ["settings", "data", "logs", "journals"] {
            std::fs::create_dir_all(root.join(part))?;
        }
        Ok(folder)
    }

    /// Settings file of a product process.
    pub fn settings(&self, name: &str) -> PathBuf {
        self.root.join("settings").join(format!("{name}.toml"))
    }

    /// Settings file of a lab process.
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

    /// Folder of the back end journals.
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

    /// Records of the callers.
    pub fn callers_history(&self) -> PathBuf {
        self.root.join("callers.jsonl")
    }

    /// History for the checkers.
    pub fn history(&self) -> PathBuf {
        self.root.join("history.jsonl")
    }

    /// Report.
    pub fn report(&self) -> PathBuf {
        self.root.join("report.json")
    }
}
