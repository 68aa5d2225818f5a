//! Development tasks, run by CI and developers with `cargo xtask`.

mod docs;
mod known_red;
mod outer_names;

use clap::{Parser, Subcommand};
use docs::check_docs;
use known_red::{is_harness_name, read_known_red};
use outer_names::missing_names;
use std::path::Path;
use std::process::{Command, ExitCode};
use std::time::Instant;

/// Development tasks of the dockgate workspace.
#[derive(Debug, Parser)]
struct XtaskArgs {
    /// Task to run.
    #[command(subcommand)]
    task: XtaskTask,
}

#[derive(Debug, Clone, Copy, Subcommand)]
enum XtaskTask {
    /// Runs all checks that must pass before a change is merged.
    Ci,
    /// Checks the formatting.
    Fmt,
    /// Checks with clippy; warnings are errors.
    Lint,
    /// Builds the docs; warnings are errors.
    Docs,
    /// Builds the programs and runs every test.
    Test,
    /// Runs a short fleet with a fixed seed.
    Fleet,
    /// Repeats the randomised tests with increasing seeds.
    Soak {
        /// Seed of the first round; each further round uses the next one.
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// Duration in seconds.
        #[arg(long, default_value_t = 28_800)]
        seconds: u64,
    },
    /// Checks that names in the docs and listed outer names exist.
    CheckDocs,
}

/// A process that a task runs.
struct TaskStep {
    program: &'static str,
    args: &'static [&'static str],
    rustdoc_flags: &'static str,
}

const fn cargo(args: &'static [&'static str]) -> TaskStep {
    TaskStep {
        program: "cargo",
        args,
        rustdoc_flags: "",
    }
}

const FMT: TaskStep = cargo(&["fmt", "--all", "--check"]);
const LINT: TaskStep = cargo(&[
    "clippy",
    "--workspace",
    "--all-targets",
    "--",
    "--deny",
    "warnings",
]);
const DOCS: TaskStep = TaskStep {
    rustdoc_flags: "--deny warnings",
    ..cargo(&[
        "doc",
        "--workspace",
        "--no-deps",
        "--document-private-items",
    ])
};
const BUILD: TaskStep = cargo(&["build", "--workspace"]);
const TEST: TaskStep = cargo(&["test", "--workspace", "--no-fail-fast"]);
const FLEET: TaskStep = cargo(&[
    "run",
    "--package",
    "dockgate-bench",
    "--",
    "run",
    "--scenario",
    "dockgate-bench/scenarios/lectures-half.ini",
    "--seed",
    "1",
    "--seconds",
    "5",
]);

impl XtaskTask {
    fn steps(self) -> Vec<TaskStep> {
        match self {
            Self::Ci => vec![FMT, LINT, DOCS, BUILD, TEST, FLEET],
            Self::Soak { .. } | Self::CheckDocs => Vec::new(),
            Self::Fmt => vec![FMT],
            Self::Lint => vec![LINT],
            Self::Docs => vec![DOCS],
            Self::Test => vec![BUILD, TEST],
            Self::Fleet => vec![BUILD, FLEET],
        }
    }
}

/// Prints outer names that are missing in the sources; returns whether all exist.
fn check_outer_names() -> bool {
    let missing = missing_names(Path::new("."));
    for name in &missing {
        eprintln!("xtask: an outer name is missing in the sources: {name}");
    }
    missing.is_empty()
}

/// Repeats the randomised tests until the time is over; stops at the first failure and prints its
/// seed.
fn soak(first_seed: u64, seconds: u64) -> bool {
    const CASES: &str = "2000";
    let started = Instant::now();
    for seed in first_seed.. {
        if started.elapsed().as_secs() >= seconds {
            eprintln!("xtask: {} rounds passed", seed - first_seed);
            return true;
        }
        let status = Command::new("cargo")
            .args([
                "test",
                "--quiet",
                "--release",
                "--package",
                "dockgate-core",
                "--lib",
            ])
            .env("PROPTEST_RNG_SEED", seed.to_string())
            .env("PROPTEST_CASES", CASES)
            .status();
        if !status.is_ok_and(|status| status.success()) {
            eprintln!("xtask: seed {seed} failed");
            return false;
        }
    }
    true
}

/// Runs the tests without those that are known to fail; returns whether they passed.
fn run_tests(step: &TaskStep) -> bool {
    let names = match read_known_red() {
        Ok(names) => names,
        Err(problem) => {
            eprintln!("xtask: {problem}");
            return false;
        }
    };
    // Without `--exact`, a name would skip every test whose name contains it.
    let skipped = names
        .into_iter()
        .filter(|name| is_harness_name(name))
        .flat_map(|name| ["--skip".to_owned(), name]);
    let harness = ["--", "--exact"].map(str::to_owned);
    run_with_args(step, harness.into_iter().chain(skipped))
}

/// Runs a step; returns whether it succeeded.
fn run(step: &TaskStep) -> bool {
    match step.args {
        ["test", ..] => run_tests(step),
        _ => run_with_args(step, std::iter::empty()),
    }
}

fn run_with_args(step: &TaskStep, extra_args: impl Iterator<Item = String>) -> bool {
    eprintln!("xtask: {} {}", step.program, step.args.join(" "));
    let mut command = Command::new(step.program);
    command.args(step.args).args(extra_args);
    if !step.rustdoc_flags.is_empty() {
        command.env("RUSTDOCFLAGS", step.rustdoc_flags);
    }
    match command.status() {
        Ok(status) => status.success(),
        Err(error) => {
            eprintln!("xtask: start {}: {error}", step.program);
            false
        }
    }
}

fn main() -> ExitCode {
    let args = XtaskArgs::parse();
    let passed = match args.task {
        XtaskTask::Soak { seed, seconds } => soak(seed, seconds),
        XtaskTask::CheckDocs => check_docs() && check_outer_names(),
        XtaskTask::Ci => check_docs() && check_outer_names() && args.task.steps().iter().all(run),
        _ => args.task.steps().iter().all(run),
    };
    match passed {
        true => ExitCode::SUCCESS,
        false => ExitCode::FAILURE,
    }
}
