//! Command line arguments.

use clap::{Args, Parser, Subcommand, ValueEnum};
use std::net::SocketAddr;
use std::path::PathBuf;

/// Operates a dockgate fleet: plans, reviews and confirms changes of its configuration.
#[derive(Debug, Parser)]
#[command(
    version,
    after_help = "Exit codes: 0 done; 1 refused as invalid; 2 wrong usage or an \
    unreadable file; 3 the plan is stale or unknown; 4 the daemon or the platform's service cannot \
    be reached."
)]
pub(crate) struct CtlArgs {
    /// Operator address of any daemon.
    #[arg(
        long,
        env = "DOCKGATE_OPERATOR",
        default_value = "127.0.0.1:7003",
        global = true
    )]
    pub(crate) operator: SocketAddr,
    /// File that holds the operator token.
    #[arg(
        long,
        env = "DOCKGATE_TOKEN_FILE",
        default_value = "operator.token",
        global = true
    )]
    pub(crate) token_file: PathBuf,
    /// Prints JSON instead of tables.
    #[arg(long, global = true)]
    pub(crate) json: bool,
    /// Seconds to wait for the daemon.
    #[arg(long, default_value_t = 30, global = true)]
    pub(crate) timeout_s: u64,
    /// Author recorded in the history; the login name by default.
    #[arg(long, env = "DOCKGATE_AUTHOR", global = true)]
    author: Option<String>,
    /// Command to run.
    #[command(subcommand)]
    pub(crate) command: CtlCommand,
}

impl CtlArgs {
    /// Returns the author to be recorded in the history.
    pub(crate) fn author(&self) -> String {
        self.author
            .clone()
            .or_else(|| std::env::var("USER").ok())
            .unwrap_or_else(|| "unknown".to_owned())
    }
}

/// Command to run.
#[derive(Debug, Subcommand)]
pub(crate) enum CtlCommand {
    /// Shows the timeline of a request from the logs of the boxes.
    Explain {
        /// Id of the request.
        id: String,
        /// Log files of any boxes; standard input if none is given.
        logs: Vec<PathBuf>,
    },
    /// Shows where requests were lost, and how late first events were compared to the estimate.
    Losses {
        /// Log files of any boxes; standard input if none is given.
        logs: Vec<PathBuf>,
    },
    /// Shows the requests and parts of prompts in quarantine, which crashed several endpoints and are
    /// sent only in trials.
    ///
    /// `--operator` is the `[listen] state` address of any gateway; no token is needed.
    Quarantine {
        /// Releases the request or part that log lines show with this `print`.
        #[arg(long)]
        release: Option<String>,
    },
    /// Shows what a declaration file would change, and keeps the plan for `confirm`.
    Plan {
        /// Declaration file.
        #[arg(short, long)]
        file: PathBuf,
    },
    /// Plans a declaration file; commits it at once with --yes.
    Apply {
        /// Declaration file.
        #[arg(short, long)]
        file: PathBuf,
        /// Commits the change instead of only showing its plan.
        #[arg(long)]
        yes: bool,
    },
    /// Commits a reviewed plan.
    Confirm {
        /// Id of the plan.
        plan: String,
    },
    /// Shows the configuration in force.
    Show {
        /// Part to show; all parts by default.
        subject: Option<ShowSubject>,
    },
    /// Shows the state of the daemon's box and its peers.
    Status,
    /// Shows the last changes, newest first.
    History {
        /// Maximum number of changes.
        #[arg(long, default_value_t = 20)]
        limit: usize,
    },
    /// Adds, changes or retires a workspace.
    Workspace {
        /// Action to take.
        #[command(subcommand)]
        verb: WorkspaceVerb,
        /// Commits the change instead of only showing its plan.
        #[arg(long, global = true)]
        yes: bool,
    },
    /// Adds, changes or retires a pool.
    Pool {
        /// Action to take.
        #[command(subcommand)]
        verb: PoolVerb,
        /// Commits the change instead of only showing its plan.
        #[arg(long, global = true)]
        yes: bool,
    },
    /// Adds, changes or retires an endpoint.
    Endpoint {
        /// Action to take.
        #[command(subcommand)]
        verb: EndpointVerb,
        /// Commits the change instead of only showing its plan.
        #[arg(long, global = true)]
        yes: bool,
    },
    /// Adds, changes or retires a kind of request.
    Kind {
        /// Action to take.
        #[command(subcommand)]
        verb: KindVerb,
        /// Commits the change instead of only showing its plan.
        #[arg(long, global = true)]
        yes: bool,
    },
    /// Prints the hash of a workspace key, for a declaration.
    HashKey {
        /// Key to hash.
        key: String,
    },
    /// Prints a completion script.
    Completions {
        /// Shell that uses the script.
        shell: clap_complete::Shell,
    },
}

/// A part of the configuration.
#[derive(Debug, Clone, Copy, PartialEq, Eq, ValueEnum)]
pub(crate) enum ShowSubject {
    /// The workspaces.
    Workspaces,
    /// The pools.
    Pools,
    /// The endpoints.
    Endpoints,
    /// The kinds of request.
    Kinds,
}

/// Action on a workspace.
#[derive(Debug, Subcommand)]
pub(crate) enum WorkspaceVerb {
    /// Adds a workspace.
    Add(WorkspaceFlags),
    /// Changes a workspace; fields that are not given keep their value.
    Set(WorkspaceFlags),
    /// Retires a workspace.
    Retire(NameArg),
}

/// Action on a pool.
#[derive(Debug, Subcommand)]
pub(crate) enum PoolVerb {
    /// Adds a pool.
    Add(PoolFlags),
    /// Changes a pool; fields that are not given keep their value.
    Set(PoolFlags),
    /// Retires a pool.
    Retire(NameArg),
}

/// Action on an endpoint.
#[derive(Debug, Subcommand)]
pub(crate) enum EndpointVerb {
    /// Adds an endpoint.
    Add(EndpointFlags),
    /// Changes an endpoint; fields that are not given keep their value.
    Set(EndpointFlags),
    /// Retires an endpoint, which gets no new requests and finishes those it runs.
    Retire(NameArg),
}

/// Action on a kind of request.
#[derive(Debug, Subcommand)]
pub(crate) enum KindVerb {
    /// Adds a kind of request.
    Add(KindFlags),
    /// Changes a kind of request.
    Set(KindFlags),
    /// Retires a kind of request.
    Retire(NameArg),
}

/// The name of an item.
#[derive(Debug, Args)]
pub(crate) struct NameArg {
    /// Name of the item.
    pub(crate) name: String,
}

/// The fields of a workspace.
#[derive(Debug, Args)]
pub(crate) struct WorkspaceFlags {
    /// Name of the workspace.
    pub(crate) name: String,
    /// Weight relative to other workspaces, from 1 to 10000.
    #[arg(long)]
    pub(crate) share: Option<String>,
    /// Priority of its requests, from 0 to 9.
    #[arg(long)]
    pub(crate) priority: Option<String>,
    /// Hash of an API key, as `hash-key` prints; may be given several times.
    #[arg(long)]
    pub(crate) key: Vec<String>,
    /// Maximum number of its requests that wait at a box.
    #[arg(long)]
    pub(crate) queue_limit: Option<String>,
}

/// The fields of a pool.
#[derive(Debug, Args)]
pub(crate) struct PoolFlags {
    /// Name of the pool.
    pub(crate) name: String,
    /// Type of its endpoints: engine or service.
    #[arg(long)]
    pub(crate) kind: Option<String>,
    /// Model that it serves; may be given several times.
    #[arg(long)]
    pub(crate) model: Vec<String>,
    /// Whether its engines resume streams: yes or no.
    #[arg(long)]
    pub(crate) resumes: Option<String>,
    /// Service units per token of the prompt.
    #[arg(long)]
    pub(crate) input_weight: Option<String>,
    /// Service units per token of the answer.
    #[arg(long)]
    pub(crate) output_weight: Option<String>,
    /// Service units per millisecond of slot time.
    #[arg(long)]
    pub(crate) slot_ms_weight: Option<String>,
}

/// The fields of an endpoint.
#[derive(Debug, Args)]
pub(crate) struct EndpointFlags {
    /// Name of the endpoint.
    pub(crate) name: String,
    /// Its pool.
    #[arg(long)]
    pub(crate) pool: Option<String>,
    /// Its failure domain.
    #[arg(long)]
    pub(crate) domain: Option<String>,
    /// Its IP address and port.
    #[arg(long)]
    pub(crate) address: Option<String>,
    /// Address for the boxes of one failure domain, as DOMAIN=ADDRESS; may be given several times.
    #[arg(long)]
    pub(crate) address_from: Vec<String>,
    /// Maximum number of concurrent requests.
    #[arg(long)]
    pub(crate) slots: Option<String>,
    /// Whether a refusal guarantees that the request was not run: yes or no.
    #[arg(long)]
    pub(crate) honest_refusal: Option<String>,
}

/// The fields of a kind of request.
#[derive(Debug, Args)]
pub(crate) struct KindFlags {
    /// Name of the kind of request.
    pub(crate) name: String,
    /// Whether its requests may be retried at another endpoint: yes or no.
    #[arg(long)]
    pub(crate) repeatable: Option<String>,
}
