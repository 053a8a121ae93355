//! What a comparison came to, as text, figures and plots.

mod figures;
mod markdown;
mod plots;

pub use figures::{Figures, StrategyFigures};
pub use markdown::markdown;
pub use plots::{PlotError, draw};

use crate::experiment::Comparison;
use std::path::Path;

/// Why a report was not written.
#[derive(Debug, thiserror::Error)]
pub enum ReportError {
    /// A file was not written.
    #[error("{file}: {source}; give a folder that this process may write to")]
    Unwritable {
        /// File.
        file: String,
        /// Cause.
        source: std::io::Error,
    },
    /// The figures were not encoded.
    #[error("figures: {0}")]
    Figures(#[from] serde_json::Error),
    /// A plot was not drawn.
    #[error(transparent)]
    Plot(#[from] PlotError),
}

/// Writes `NAME.md`, `NAME.json` and the plots into a folder.
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
