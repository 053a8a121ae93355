//! Report of a comparison as Markdown, JSON and plots.

mod figures;
mod markdown;
mod plots;

pub use figures::{Figures, StrategyFigures};
pub use markdown::markdown;
pub use plots::{PlotError, draw};

use crate::experiment::Comparison;
use std::path::Path;

/// Error of [`write()`].
#[derive(Debug, thiserror::Error)]
pub enum ReportError {
    /// A file cannot be written.
    #[error("{file}: {source}; choose a writable folder")]
    Unwritable {
        /// File.
        file: String,
        /// Cause.
        source: std::io::Error,
    },
    /// The figures cannot be encoded as JSON.
    #[error("cannot encode the figures as JSON: {0}")]
    Figures(#[from] serde_json::Error),
    /// A plot cannot be drawn.
    #[error(transparent)]
    Plot(#[from] PlotError),
}

/// Writes `NAME.md`, `NAME.json` and the plots to a folder.
pub fn write(comparison: &Comparison, folder: &Path) -> Result<(), ReportError> {
    let figures = Figures::new(comparison);
    let name = &comparison.deployment.name;
    let json = serde_json::to_string_pretty(&figures)? + "\n";
    write_file(&folder.join(format!("{name}.json")), &json)?;
    write_file(&folder.join(format!("{name}.md")), &markdown(&figures))?;
    draw(&figures, folder)?;
    Ok(())
}

fn write_file(path: &Path, text: &str) -> Result<(), ReportError> {
    let unwritable = |source| ReportError::Unwritable {
        file: path.display().to_string(),
        source,
    };
    if let Some(folder) = path.parent() {
        std::fs::create_dir_all(folder).map_err(unwritable)?;
    }
    std::fs::write(path, text).map_err(unwritable)
}
