//! Command line options.

use crate::programs::StandInKind;
use bpaf::{Bpaf, Parser};
use std::path::PathBuf;

/// Parses the process's arguments; prints help or the error and exits when there is nothing to
/// run.
pub fn parse() -> Options {
    options().run()
}

/// millpass-lab runs a whole deployment on this machine and judges it
///
/// `millpass-lab fleet --deployment pnw` starts each process of the deployment, sends a burst of
/// requests for cold models to all routers at once and then steady traffic, checks each answer,
/// and ends with a report. Build `millpass` first: the lab starts the one beside itself.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options, version)]
pub enum Options {
    /// Run a deployment as separate processes under load, with a fault if one is named
    ///
    /// The exit code is 0 if every check held, and 1 if one did not or the fleet could not run.
    #[bpaf(command("fleet"))]
    Fleet {
        /// Options
        #[bpaf(external(fleet_options))]
        options: FleetOptions,
    },
    /// Compare keep-alive strategies in virtual time, with report and plots
    Experiment(#[bpaf(external(experiment))] millpass_experiment::Options),
    /// Run one stand-in until SIGTERM; the fleet starts these itself
    #[bpaf(command("stand-in"))]
    StandIn {
        /// Settings file (JSON), as a fleet writes them
        #[bpaf(long("settings"), argument("FILE"))]
        settings: PathBuf,
        /// engine, web, store or platform
        #[bpaf(positional("KIND"))]
        kind: StandInKind,
    },
    /// Run the links between zones until SIGTERM; the fleet starts it itself
    #[bpaf(command("relay"))]
    Relay {
        /// Settings file (JSON), as a fleet writes it
        #[bpaf(long("settings"), argument("FILE"))]
        settings: PathBuf,
    },
}

fn experiment() -> impl Parser<millpass_experiment::Options> {
    millpass_experiment::options().command("experiment")
}

/// Fault injected while a fleet runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FaultPlan {
    /// SIGKILL to the leader of the control group; it is started again later.
    LeaderKill,
    /// The zone of the leader is partitioned from all others, and healed later.
    ZoneCut,
    /// SIGSTOP to the leader, SIGCONT later.
    LeaderFreeze,
    /// Two members lose process and disk, the second as soon as the first is replaced.
    TwoMembersLost,
    /// SIGKILL to an engine that serves; it is started again later.
    EngineKill,
    /// Each router and then each member is stopped gracefully and started again.
    RollingRestart,
}

impl FaultPlan {
    /// Every plan with its name on the command line.
    pub const ALL: [(&str, FaultPlan); 6] = [
        ("leader-kill", FaultPlan::LeaderKill),
        ("zone-cut", FaultPlan::ZoneCut),
        ("leader-freeze", FaultPlan::LeaderFreeze),
        ("two-members-lost", FaultPlan::TwoMembersLost),
        ("engine-kill", FaultPlan::EngineKill),
        ("rolling-restart", FaultPlan::RollingRestart),
    ];

    /// Returns the name on the command line.
    pub fn name(self) -> &'static str {
        let found = Self::ALL.iter().find(|(_, plan)| *plan == self);
        found.map_or("", |(name, _)| name)
    }
}

impl std::str::FromStr for FaultPlan {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        let found = Self::ALL.iter().find(|(name, _)| *name == text);
        found.map(|(_, plan)| *plan).ok_or_else(|| {
            let names = Self::ALL.map(|(name, _)| name).join(", ");
            format!("unknown fault {text}; use one of {names}")
        })
    }
}

/// Longest load phase, in seconds.
pub const MAXIMUM_SECONDS: u64 = 1_800;
/// Highest steady rate, in requests per second.
pub const MAXIMUM_RATE: u32 = 400;

fn is_run_length(seconds: &u64) -> bool {
    (5..=MAXIMUM_SECONDS).contains(seconds)
}

fn is_rate(rate: &u32) -> bool {
    (1..=MAXIMUM_RATE).contains(rate)
}

/// Options of `millpass-lab fleet`.
#[derive(Clone, Debug, Bpaf)]
pub struct FleetOptions {
    /// Deployment: pnw, sicilia, or a file such as examples/pnw/deployment.toml
    #[bpaf(long("deployment"), argument("NAME"))]
    pub deployment: String,
    /// Seconds of load, 5 to 1800; a fault starts after a third of it
    #[bpaf(
        long("seconds"),
        argument("SECONDS"),
        guard(is_run_length, "a run lasts from 5 to 1800 seconds"),
        fallback(60)
    )]
    pub seconds: u64,
    /// Mean steady requests a second over all routers, 1 to 400; without it, as the workload has it
    #[bpaf(
        long("rate"),
        argument("REQUESTS"),
        guard(is_rate, "a rate is from 1 to 400 requests a second"),
        optional
    )]
    pub rate: Option<u32>,
    /// Cold models that the burst asks for at every router at once
    #[bpaf(long("burst-models"), argument("COUNT"), fallback(6))]
    pub burst_models: usize,
    /// Seed of the traffic
    #[bpaf(long("seed"), argument("NUMBER"), fallback(1))]
    pub seed: u64,
    /// Fault: leader-kill, zone-cut, leader-freeze, two-members-lost, engine-kill, rolling-restart
    #[bpaf(long("fault"), argument("PLAN"), optional)]
    pub fault: Option<FaultPlan>,
    /// Seconds that the fault lasts
    #[bpaf(long("fault-seconds"), argument("SECONDS"), fallback(60))]
    pub fault_seconds: u64,
    /// Folder for settings, data, logs, histories and the report; must not hold an earlier run.
    /// Without it, a temporary one, removed at the end unless a check failed
    #[bpaf(long("folder"), argument("FOLDER"), optional)]
    pub folder: Option<PathBuf>,
}
