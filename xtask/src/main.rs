//! Maintenance tasks. `cargo xtask generate` writes the generated files; `cargo xtask check` fails if
//! the committed files differ from the generator's output.

mod messages;
mod settings;

use anyhow::{Context, Result, bail};
use std::path::{Path, PathBuf};

/// A generated file.
pub struct GeneratedFile {
    /// Path relative to the workspace root.
    pub path: PathBuf,
    /// Content.
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
        let committed = std::fs::read_to_string(root.join(&file.path)).unwrap_or_default();
        if committed != file.content {
            bail!(
                "{} is out of date: run `cargo xtask generate` and commit",
                file.path.display()
            );
        }
    }
    Ok(())
}
