//! Maintenance tasks. `cargo xtask generate` writes the generated code; `cargo xtask check` fails
//! when the committed code is not what the schema gives.

mod messages;
mod settings;

use anyhow::{Context, Result, bail};
use std::path::{Path, PathBuf};

/// A generated file: its path from the workspace root, and its content.
pub struct GeneratedFile {
    /// Path from the workspace root.
    pub path: PathBuf,
    /// Whole content.
    pub content: String,
}

fn main() -> Result<()> {
    let root = Path::new(env!("CARGO_MANIFEST_DIR"))
        .parent()
        .context("workspace root")?;
    let schema = root.join("schema");
    let mut files = vec![messages::generate(&schema)?];
    files.extend(settings::generate(&schema)?);
    match std::env::args().nth(1).as_deref() {
        Some("generate") => write_all(root, &files),
        Some("check") => check_all(root, &files),
        _ => bail!("usage: cargo xtask generate | check"),
    }
}

fn write_all(root: &Path, files: &[GeneratedFile]) -> Result<()> {
    for file in files {
        let path = root.join(&file.path);
        std::fs::write(&path, &file.content)
            .with_context(|| format!("write {}", path.display()))?;
    }
    Ok(())
}

fn check_all(root: &Path, files: &[GeneratedFile]) -> Result<()> {
    for file in files {
        let found = std::fs::read_to_string(root.join(&file.path)).unwrap_or_default();
        if found != file.content {
            bail!(
                "{} is not current: run `cargo xtask generate` and commit",
                file.path.display()
            );
        }
    }
    Ok(())
}
