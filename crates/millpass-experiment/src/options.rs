//! Options of the command.

use bpaf::Bpaf;
use std::path::PathBuf;
use std::str::FromStr;

/// Compares keep-alive strategies over a deployment's workload in virtual time, and writes a
/// report with plots. The same options give the same figures.
#[derive(Bpaf, Clone, Debug)]
#[bpaf(options, generate(options))]
pub struct Options {
    /// Deployment to run: a folder that holds deployment.toml, such as examples/pnw
    #[bpaf(argument("FOLDER"))]
    pub deployment: PathBuf,
    /// Seeds of the traces, the last one left out
    #[bpaf(argument("A..B"), fallback(Seeds { first: 101, end: 104 }), display_fallback)]
    pub seeds: Seeds,
    /// Days measured, after one day to learn
    #[bpaf(argument("N"), fallback(3), display_fallback)]
    pub days: usize,
    /// Threads
    #[bpaf(argument("N"), fallback(3), display_fallback)]
    pub threads: usize,
    /// Folder to write the report, the plots and the figures to; only prints if left out
    #[bpaf(argument("FOLDER"))]
    pub output: Option<PathBuf>,
    /// Print cold starts by model for the stated weights
    pub by_model: bool,
}

/// Range of seeds, written `A..B`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Seeds {
    /// First seed.
    pub first: u64,
    /// Seed after the last one.
    pub end: u64,
}

impl std::fmt::Display for Seeds {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(formatter, "{}..{}", self.first, self.end)
    }
}

impl FromStr for Seeds {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let invalid = || format!("invalid seed range {text}; use A..B with A less than B");
        let (first, end) = text.split_once("..").ok_or_else(invalid)?;
        let seeds = Seeds {
            first: first.parse().map_err(|_| invalid())?,
            end: end.parse().map_err(|_| invalid())?,
        };
        if seeds.first >= seeds.end {
            return Err(invalid());
        }
        Ok(seeds)
    }
}
