//! The command line.

use bpaf::Bpaf;
use std::path::PathBuf;

/// What to do.
#[derive(Bpaf, Clone, Debug)]
#[bpaf(options)]
pub enum Command {
    /// Measures a control group under hollow routers and engines
    #[bpaf(command)]
    Measure(#[bpaf(external(measure_options))] MeasureOptions),
    /// Body of a member's process; started by `measure`
    #[bpaf(command, hide)]
    Member(#[bpaf(external(member_options))] MemberOptions),
}

/// Sizes and lengths of a measurement.
#[derive(Bpaf, Clone, Debug)]
pub struct MeasureOptions {
    /// Numbers of routers, one group for each, separated by commas
    #[bpaf(fallback("50,200,490".to_owned()))]
    pub routers: String,
    /// Members of the group
    #[bpaf(fallback(3))]
    pub members: usize,
    /// Engines for each router
    #[bpaf(fallback(14))]
    pub engines_per_router: usize,
    /// Models in the catalog
    #[bpaf(fallback(410))]
    pub models: usize,
    /// Adapters in the catalog
    #[bpaf(fallback(1_800))]
    pub adapters: usize,
    /// Replicas kept loaded of each model; 0 for as many as give each engine one
    #[bpaf(fallback(0))]
    pub replicas: u32,
    /// Models that each report of a router has demand for
    #[bpaf(fallback(60))]
    pub demand: usize,
    /// Checkpoints that each engine's report lists
    #[bpaf(fallback(20))]
    pub checkpoints: usize,
    /// Milliseconds an engine takes for a load
    #[bpaf(fallback(300))]
    pub load_millis: u64,
    /// Loads a second that the weight store allows
    #[bpaf(fallback(1_000))]
    pub store_loads: u32,
    /// Seconds of the steady phase
    #[bpaf(fallback(10))]
    pub steady_seconds: u64,
    /// Longest time, in seconds, for the first replicas to be loaded
    #[bpaf(fallback(60))]
    pub placing_seconds: u64,
    /// Configuration changes measured, ten a second
    #[bpaf(fallback(60))]
    pub changes: usize,
    /// Seconds of the phase of cold loads, five a second
    #[bpaf(fallback(8))]
    pub loads_seconds: u64,
    /// Claims under way at once
    #[bpaf(fallback(256))]
    pub claims: usize,
    /// Seconds of the phase of claims
    #[bpaf(fallback(4))]
    pub claims_seconds: u64,
    /// Does not end the leader, restart it or wipe a member
    pub no_faults: bool,
}

/// Settings of one member's process.
#[derive(Bpaf, Clone, Debug)]
pub struct MemberOptions {
    /// Data folder
    pub folder: PathBuf,
    /// Place in the list of initial members
    pub place: usize,
    /// Peer and administration address of each initial member, joined by a comma
    #[bpaf(argument("PEER,ADMINISTRATION"))]
    pub initial: Vec<String>,
    /// Address of the platform's list
    pub platform: String,
    /// Loads a second that the weight store allows
    pub store_loads: u32,
    /// Makes the folder that of an initial member first
    pub initialize: bool,
}

/// Reads the command line.
pub fn parse() -> Command {
    command().run()
}
