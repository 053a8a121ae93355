//! Command line options. Shell completions are printed by `millpass --bpaf-complete-style-bash` (or `zsh`,
//! `fish`, `elvish`).

use bpaf::Bpaf;
use std::path::PathBuf;

/// Parses the process arguments. Prints help or the error and exits if there is no command to run.
pub fn parse() -> Options {
    options().run()
}

/// millpass serves rarely used models to many tenants
///
/// Start with `millpass dev`: everything in one process, with small stand-ins.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options, version)]
pub enum Options {
    /// Run everything in one process with small stand-ins, over loopback
    #[bpaf(command("dev"))]
    Dev {
        /// Options
        #[bpaf(external(dev_options))]
        options: DevOptions,
    },
    /// Run or initialize a member of the control group
    #[bpaf(command("control"))]
    Control {
        /// What to do
        #[bpaf(external(control_command))]
        command: ControlCommand,
    },
    /// Run a router
    #[bpaf(command("router"))]
    Router {
        /// Settings file
        #[bpaf(long("settings"), argument("FILE"))]
        settings: PathBuf,
    },
    /// Check a settings file or a file of objects; each error names its remedy
    #[bpaf(command("check"))]
    Check {
        /// File to check
        #[bpaf(positional("FILE"))]
        file: PathBuf,
    },
    /// Print a commented settings template: `control` or `router`
    #[bpaf(command("template"))]
    Template {
        /// Kind of file
        #[bpaf(positional("KIND"))]
        kind: String,
    },
    /// Generate a key for a tenant or operator, and print it with its hash
    #[bpaf(command("key"))]
    Key,
    /// Create or change the objects of a file; objects that already match are left unchanged
    #[bpaf(command("apply"))]
    Apply {
        /// How to reach the administration API
        #[bpaf(external(administration_options))]
        administration: AdministrationOptions,
        /// File of objects (TOML)
        #[bpaf(short('f'), long("file"), argument("FILE"))]
        file: PathBuf,
        /// Only show what would change
        #[bpaf(long("dry-run"))]
        dry_run: bool,
    },
    /// Show what `apply` would change
    #[bpaf(command("diff"))]
    Diff {
        /// How to reach the administration API
        #[bpaf(external(administration_options))]
        administration: AdministrationOptions,
        /// File of objects (TOML)
        #[bpaf(short('f'), long("file"), argument("FILE"))]
        file: PathBuf,
    },
    /// Show objects of a kind, or one
    #[bpaf(command("get"))]
    Get {
        /// How to reach the administration API
        #[bpaf(external(administration_options))]
        administration: AdministrationOptions,
        /// Kind: tenant, model, version, adapter, backend-group, policy, operator
        #[bpaf(positional("KIND"))]
        kind: String,
        /// Name; without it, all objects of the kind are shown
        #[bpaf(positional("NAME"), optional)]
        name: Option<String>,
    },
    /// Delete an object
    #[bpaf(command("delete"))]
    Delete {
        /// How to reach the administration API
        #[bpaf(external(administration_options))]
        administration: AdministrationOptions,
        /// Kind
        #[bpaf(positional("KIND"))]
        kind: String,
        /// Name
        #[bpaf(positional("NAME"))]
        name: String,
    },
    /// Show leader, members, replicas, and the revision in force at each router
    #[bpaf(command("status"))]
    Status {
        /// How to reach the administration API
        #[bpaf(external(administration_options))]
        administration: AdministrationOptions,
        /// Repeat every second
        #[bpaf(long("watch"))]
        watch: bool,
    },
    /// Wait until every router has applied the newest revision; list those that lag
    #[bpaf(command("rollout"))]
    Rollout {
        /// How to reach the administration API
        #[bpaf(external(administration_options))]
        administration: AdministrationOptions,
        /// Timeout in seconds
        #[bpaf(long("timeout"), argument("SECONDS"), fallback(18))]
        timeout: u64,
    },
    /// Drain a back end: it receives no new work and finishes requests in flight
    #[bpaf(command("drain"))]
    Drain {
        /// How to reach the administration API
        #[bpaf(external(administration_options))]
        administration: AdministrationOptions,
        /// Back end
        #[bpaf(positional("BACKEND"))]
        backend: String,
    },
    /// Show quarantined requests and parts of prompts: refused because they crash instances
    #[bpaf(command("held-requests"))]
    HeldRequests {
        /// How to reach the administration API
        #[bpaf(external(administration_options))]
        administration: AdministrationOptions,
    },
    /// Lift the quarantine of a request
    #[bpaf(command("lift-request"))]
    LiftRequest {
        /// How to reach the administration API
        #[bpaf(external(administration_options))]
        administration: AdministrationOptions,
        /// Fingerprint, as `held-requests` and gateways' logs show it
        #[bpaf(positional("FINGERPRINT"))]
        fingerprint: String,
    },
    /// Release refused parts of prompts
    #[bpaf(command("lift-parts"))]
    LiftParts {
        /// How to reach the administration API
        #[bpaf(external(administration_options))]
        administration: AdministrationOptions,
        /// Tenant whose prompts are refused; none where callers need no key
        #[bpaf(long("tenant"), argument("TENANT"))]
        tenant: Option<String>,
        /// The parts are refused for all tenants
        #[bpaf(long("all-tenants"))]
        all_tenants: bool,
        /// Service, as `held-requests` shows it
        #[bpaf(positional("SERVICE"))]
        service: String,
        /// Parts in hexadecimal digits, joined by `+`, as `held-requests` shows them
        #[bpaf(positional("PARTS"))]
        parts: String,
    },
    /// Show accepted changes after a revision
    #[bpaf(command("audit"))]
    Audit {
        /// How to reach the administration API
        #[bpaf(external(administration_options))]
        administration: AdministrationOptions,
        /// Revision
        #[bpaf(long("after"), argument("REVISION"), fallback(0))]
        after: u64,
    },
    /// Explain why a request was served, queued or refused
    #[bpaf(command("explain"))]
    Explain {
        /// Metrics address of the router that received it (IP:port)
        #[bpaf(long("router"), argument("ADDRESS"))]
        router: String,
        /// Print the router's response as JSON
        #[bpaf(long("json"))]
        json: bool,
        /// Request id, as in the response's X-Request-Id
        #[bpaf(positional("REQUEST"))]
        request: String,
    },
    /// Show from log files of gateways the window in which each tenant used most of its quota
    #[bpaf(command("quota-use"))]
    QuotaUse {
        /// Length of the window in milliseconds
        #[bpaf(long("window-ms"), argument("MS"), fallback(8_000))]
        window: u64,
        /// Only this tenant
        #[bpaf(long("tenant"), argument("NAME"), optional)]
        tenant: Option<String>,
        /// Listed requests whose units were oldest when used
        #[bpaf(long("rows"), argument("COUNT"), fallback(0))]
        rows: usize,
        /// Log files of all gateways
        #[bpaf(positional("FILE"), some("give at least one log file"))]
        files: Vec<PathBuf>,
    },
    /// Show from log files of gateways which requests were lost, and why
    #[bpaf(command("losses"))]
    Losses {
        /// Rows of each table; 0 shows all
        #[bpaf(long("rows"), argument("COUNT"), fallback(20))]
        rows: usize,
        /// Milliseconds before and after a lost request within which its model counts as served elsewhere
        #[bpaf(long("window-ms"), argument("MS"), fallback(0))]
        window: u64,
        /// Also show answered requests whose response head took this many milliseconds, by instance
        #[bpaf(long("slow-ms"), argument("MS"), optional)]
        slow: Option<u64>,
        /// Log files of all gateways
        #[bpaf(positional("FILE"), some("give at least one log file"))]
        files: Vec<PathBuf>,
    },
    /// Test the policies of a file against their examples, without a server
    #[bpaf(command("policy"))]
    Policy {
        /// What to do
        #[bpaf(external(policy_command))]
        command: PolicyCommand,
    },
}

/// Options of `millpass dev`.
#[derive(Clone, Debug, Bpaf)]
pub struct DevOptions {
    /// Port of the caller API; 0 selects a free one
    #[bpaf(long("port"), argument("PORT"), fallback(8080))]
    pub port: u16,
    /// Data folder; without it, a temporary one that is removed on exit
    #[bpaf(long("data"), argument("FOLDER"))]
    pub data: Option<PathBuf>,
    /// Log level: off, error, warn, info, debug
    #[bpaf(long("log"), argument("LEVEL"), fallback("warn".to_owned()))]
    pub log: String,
}

/// `millpass control ...`.
#[derive(Clone, Debug, Bpaf)]
pub enum ControlCommand {
    /// Initialize an empty data folder for an initial member; once per member, before the first run
    #[bpaf(command("init"))]
    Init {
        /// Settings file
        #[bpaf(long("settings"), argument("FILE"))]
        settings: PathBuf,
    },
    /// Run the member; with an empty data folder it joins the group under a new identity
    #[bpaf(command("run"))]
    Run {
        /// Settings file
        #[bpaf(long("settings"), argument("FILE"))]
        settings: PathBuf,
    },
}

/// `millpass policy ...`.
#[derive(Clone, Debug, Bpaf)]
pub enum PolicyCommand {
    /// Compile the policies of a file and run their examples
    #[bpaf(command("test"))]
    Test {
        /// File of objects (TOML)
        #[bpaf(short('f'), long("file"), argument("FILE"))]
        file: PathBuf,
    },
}

/// How to reach the administration API.
#[derive(Clone, Debug, Bpaf)]
pub struct AdministrationOptions {
    /// Administration addresses of control members, separated by commas
    #[bpaf(long("control"), argument("ADDRESSES"), env("MILLPASS_CONTROL"), fallback("127.0.0.1:7101".to_owned()))]
    pub control: String,
    /// Operator key
    #[bpaf(
        long("key"),
        argument("KEY"),
        env("MILLPASS_KEY"),
        fallback(String::new())
    )]
    pub key: String,
}
