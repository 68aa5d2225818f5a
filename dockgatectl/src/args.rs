//! The command line.

use clap::{Args, Parser, Subcommand, ValueEnum};
use std::net::SocketAddr;
use std::path::PathBuf;

/// Drives a dockgate fleet: states intents, reviews plans, confirms them.
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
    /// Name that stands in the history; the login name by default.
    #[arg(long, env = "DOCKGATE_AUTHOR", global = true)]
    author: Option<String>,
    /// What to do.
    #[command(subcommand)]
    pub(crate) command: CtlCommand,
}

impl CtlArgs {
    /// Returns the name that stands in the history.
    pub(crate) fn author(&self) -> String {
        self.author
            .clone()
            .or_else(|| std::env::var("USER").ok())
            .unwrap_or_else(|| "unknown".to_owned())
    }
}

/// What to do.
#[derive(Debug, Subcommand)]
pub(crate) enum CtlCommand {
    /// Tells one request's story from the logs of the boxes.
    Explain {
        /// The request's id.
        id: String,
        /// Log files of any boxes; standard input where none is named.
        logs: Vec<PathBuf>,
    },
    /// Shows where requests were lost, and how late first events came against what was expected.
    Losses {
        /// Log files of any boxes; standard input where none is named.
        logs: Vec<PathBuf>,
    },
    /// Shows the requests that a gateway sends to no endpoint, as several have ended under them.
    ///
    /// The address is that of any gateway's `[listen] state`; no token is asked for there.
    Quarantine {
        /// Releases the request with this print, which stands in log lines.
        #[arg(long)]
        release: Option<String>,
    },
    /// Works out what a declaration file would change, and keeps the plan for `confirm`.
    Plan {
        /// The declaration file.
        #[arg(short, long)]
        file: PathBuf,
    },
    /// Plans a declaration file; commits it at once with --yes.
    Apply {
        /// The declaration file.
        #[arg(short, long)]
        file: PathBuf,
        /// Commits without a further question.
        #[arg(long)]
        yes: bool,
    },
    /// Commits a plan that has been reviewed.
    Confirm {
        /// The plan's id.
        plan: String,
    },
    /// Shows the configuration in force.
    Show {
        /// Only one part of it.
        subject: Option<ShowSubject>,
    },
    /// Shows the state of the daemon's box and its peers.
    Status,
    /// Shows the last changes, newest first.
    History {
        /// How many at most.
        #[arg(long, default_value_t = 20)]
        limit: usize,
    },
    /// Adds, changes or retires a workspace.
    Workspace {
        /// What to do with it.
        #[command(subcommand)]
        verb: WorkspaceVerb,
        /// Commits without a further question.
        #[arg(long, global = true)]
        yes: bool,
    },
    /// Adds, changes or retires a pool.
    Pool {
        /// What to do with it.
        #[command(subcommand)]
        verb: PoolVerb,
        /// Commits without a further question.
        #[arg(long, global = true)]
        yes: bool,
    },
    /// Adds, changes or retires an endpoint.
    Endpoint {
        /// What to do with it.
        #[command(subcommand)]
        verb: EndpointVerb,
        /// Commits without a further question.
        #[arg(long, global = true)]
        yes: bool,
    },
    /// Adds, changes or retires a kind of request.
    Kind {
        /// What to do with it.
        #[command(subcommand)]
        verb: KindVerb,
        /// Commits without a further question.
        #[arg(long, global = true)]
        yes: bool,
    },
    /// Prints the hash of a workspace key, for a declaration.
    HashKey {
        /// The key.
        key: String,
    },
    /// Prints a completion script.
    Completions {
        /// The shell.
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

/// What to do with a workspace.
#[derive(Debug, Subcommand)]
pub(crate) enum WorkspaceVerb {
    /// Adds one.
    Add(WorkspaceFlags),
    /// Changes one; what is not named stays.
    Set(WorkspaceFlags),
    /// Retires one.
    Retire(NameFlag),
}

/// What to do with a pool.
#[derive(Debug, Subcommand)]
pub(crate) enum PoolVerb {
    /// Adds one.
    Add(PoolFlags),
    /// Changes one; what is not named stays.
    Set(PoolFlags),
    /// Retires one.
    Retire(NameFlag),
}

/// What to do with an endpoint.
#[derive(Debug, Subcommand)]
pub(crate) enum EndpointVerb {
    /// Adds one.
    Add(EndpointFlags),
    /// Changes one; what is not named stays.
    Set(EndpointFlags),
    /// Retires one: it gets no new work and finishes what it has.
    Retire(NameFlag),
}

/// What to do with a kind of request.
#[derive(Debug, Subcommand)]
pub(crate) enum KindVerb {
    /// Adds one.
    Add(KindFlags),
    /// Changes one.
    Set(KindFlags),
    /// Retires one.
    Retire(NameFlag),
}

/// The name of a thing.
#[derive(Debug, Args)]
pub(crate) struct NameFlag {
    /// The name.
    pub(crate) name: String,
}

/// The fields of a workspace.
#[derive(Debug, Args)]
pub(crate) struct WorkspaceFlags {
    /// The name.
    pub(crate) name: String,
    /// The weight against other workspaces, 1 to 10000.
    #[arg(long)]
    pub(crate) share: Option<String>,
    /// The priority of its requests, 0 to 9.
    #[arg(long)]
    pub(crate) priority: Option<String>,
    /// Hash of an API key, as `hash-key` prints; may be given several times.
    #[arg(long)]
    pub(crate) key: Vec<String>,
    /// How many requests may wait at one box.
    #[arg(long)]
    pub(crate) queue_limit: Option<String>,
}

/// The fields of a pool.
#[derive(Debug, Args)]
pub(crate) struct PoolFlags {
    /// The name.
    pub(crate) name: String,
    /// What stands behind it: engine or service.
    #[arg(long)]
    pub(crate) kind: Option<String>,
    /// A model that it serves; may be given several times.
    #[arg(long)]
    pub(crate) model: Vec<String>,
    /// Whether its engines resume streams: yes or no.
    #[arg(long)]
    pub(crate) resumes: Option<String>,
    /// Service units for a token of the prompt.
    #[arg(long)]
    pub(crate) input_weight: Option<String>,
    /// Service units for a token of the answer.
    #[arg(long)]
    pub(crate) output_weight: Option<String>,
    /// Service units for a millisecond of slot time.
    #[arg(long)]
    pub(crate) slot_ms_weight: Option<String>,
}

/// The fields of an endpoint.
#[derive(Debug, Args)]
pub(crate) struct EndpointFlags {
    /// The name.
    pub(crate) name: String,
    /// Its pool.
    #[arg(long)]
    pub(crate) pool: Option<String>,
    /// Its failure domain.
    #[arg(long)]
    pub(crate) domain: Option<String>,
    /// Its address, by IP number.
    #[arg(long)]
    pub(crate) address: Option<String>,
    /// Another address for one domain's boxes, as DOMAIN=ADDRESS; may be given several times.
    #[arg(long)]
    pub(crate) address_from: Vec<String>,
    /// How many requests it runs at once.
    #[arg(long)]
    pub(crate) slots: Option<String>,
    /// Whether its refusals mean that it has not started: yes or no.
    #[arg(long)]
    pub(crate) honest_refusal: Option<String>,
}

/// The fields of a kind of request.
#[derive(Debug, Args)]
pub(crate) struct KindFlags {
    /// The name.
    pub(crate) name: String,
    /// Whether a request of it may be sent to a second endpoint: yes or no.
    #[arg(long)]
    pub(crate) repeatable: Option<String>,
}
