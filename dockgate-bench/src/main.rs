//! Command line of the bench tool.

use clap::{Parser, Subcommand};
use dockgate_bench::demo::run_demo;
use dockgate_bench::error::BenchError;
use dockgate_bench::gateway_soak::{SoakFaults, SoakOptions, run_soak};
use dockgate_bench::mixed_fleet::{MixedOptions, MixedReport, run_mixed};
use dockgate_bench::report::BenchReport;
use dockgate_bench::run::{DEFAULT_WARM_UP, RunOptions, run_scenario};
use dockgate_bench::scenario::BenchScenario;
use dockgate_bench::slopes::{SlopeReport, run_slopes};
use serde::Serialize;
use std::ops::Range;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::Duration;
use tokio::signal::unix::{SignalKind, signal};

/// Exit code of a soak or mixed run that a signal ended early.
const EXIT_SIGNALLED: u8 = 4;
/// Exit code of a run that violated a guarantee.
const EXIT_VIOLATION: u8 = 3;

/// Loads a dockgate fleet on loopback and measures it.
#[derive(Debug, Parser)]
#[command(version)]
struct BenchArgs {
    #[command(subcommand)]
    command: BenchCommand,
}

#[derive(Debug, Subcommand)]
enum BenchCommand {
    /// Runs a small demonstration fleet.
    Demo,
    /// Measures how control overhead grows with fleet size and load, and fits a line per metric.
    Slopes {
        /// Measures only these axes: boxes, endpoints, workspaces, requests-per-second,
        /// changes-per-100-seconds, domains.
        #[arg(long)]
        axis: Vec<String>,
        /// Measurement time per point, in seconds.
        #[arg(long, default_value_t = 5.0)]
        seconds: f64,
        /// Seed of arrivals and sizes.
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// File to which the report is written as JSON.
        #[arg(long)]
        report: Option<PathBuf>,
    },
    /// Injects random faults into a fleet of gateways and checks what callers and endpoints see.
    Soak {
        /// First seed.
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// Number of consecutive seeds to run.
        #[arg(long, default_value_t = 1)]
        seeds: u64,
        /// Duration of fault injection per seed, in seconds.
        #[arg(long, default_value_t = 8)]
        seconds: u64,
        /// Faults to inject.
        #[arg(long, value_enum, default_value_t)]
        faults: SoakFaults,
    },
    /// Runs a fleet with another build on half of its boxes, and checks answers and logs.
    Mixed {
        /// Path of the other build's daemon.
        #[arg(long)]
        other: PathBuf,
        /// Seed of the disturbances and the requests.
        #[arg(long, default_value_t = 1)]
        seed: u64,
    },
    /// Runs a scenario and reports its measurements.
    Run {
        /// Scenario file.
        #[arg(long)]
        scenario: PathBuf,
        /// Seed of arrivals and sizes.
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// Measurement time after the warm-up, in seconds.
        #[arg(long, default_value_t = 20.0)]
        seconds: f64,
        /// File to which the report is written as JSON.
        #[arg(long)]
        report: Option<PathBuf>,
        /// Runs only this arm.
        #[arg(long)]
        arm: Option<String>,
        /// Folder to which the daemons' logs are copied.
        #[arg(long)]
        keep_logs: Option<PathBuf>,
    },
}

fn main() -> ExitCode {
    env_logger::Builder::from_env(env_logger::Env::new().filter_or("DOCKGATE_LOG", "warn")).init();
    let args = BenchArgs::parse();
    let runtime = match tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build()
    {
        Ok(runtime) => runtime,
        Err(error) => {
            eprintln!("dockgate-bench: cannot start the async runtime: {error}");
            return ExitCode::FAILURE;
        }
    };
    match runtime.block_on(run(args.command)) {
        Ok(code) => code,
        Err(error) => {
            eprintln!("dockgate-bench: {error}");
            ExitCode::FAILURE
        }
    }
}

async fn run(command: BenchCommand) -> Result<ExitCode, BenchError> {
    match command {
        BenchCommand::Demo => run_demo().await.map(|()| ExitCode::SUCCESS),
        BenchCommand::Slopes {
            axis,
            seconds,
            seed,
            report,
        } => {
            let measured = run_slopes(&axis, seconds, seed).await?;
            measured.iter().for_each(SlopeReport::print);
            if let Some(path) = report {
                write_report(&path, &measured)?;
            }
            Ok(ExitCode::SUCCESS)
        }
        BenchCommand::Soak {
            seed,
            seeds,
            seconds,
            faults,
        } => {
            let seeds = seed..seed + seeds;
            tokio::select! {
                code = run_soak_seeds(seeds, Duration::from_secs(seconds), faults) => code,
                signal = shutdown_signal() => {
                    // Dropping the run kills the processes that it started.
                    println!("ended from outside by {}", signal?);
                    Ok(ExitCode::from(EXIT_SIGNALLED))
                }
            }
        }
        BenchCommand::Mixed { other, seed } => {
            let options = MixedOptions { other, seed };
            tokio::select! {
                reports = run_mixed(&options) => Ok(print_mixed_reports(&reports?, seed)),
                signal = shutdown_signal() => {
                    // Dropping the run kills the processes that it started.
                    println!("ended from outside by {}", signal?);
                    Ok(ExitCode::from(EXIT_SIGNALLED))
                }
            }
        }
        BenchCommand::Run {
            scenario,
            seed,
            seconds,
            report,
            arm,
            keep_logs,
        } => {
            let mut scenario = BenchScenario::load(&scenario)?;
            if let Some(arm) = arm {
                scenario.arms.retain(|known| known.name == arm);
                if scenario.arms.is_empty() {
                    let cause = "the scenario has no arm of this name".to_owned();
                    return Err(BenchError::Arm("find arm", arm, cause));
                }
            }
            let options = RunOptions {
                seed,
                seconds,
                warm_up: DEFAULT_WARM_UP,
                keep_logs,
            };
            let measured = run_scenario(&scenario, &options).await?;
            measured.print();
            if let Some(path) = report {
                write_report(&path, &measured)?;
            }
            Ok(exit_code(&measured))
        }
    }
}

/// Waits for SIGHUP, SIGTERM or SIGINT and returns the signal's name.
async fn shutdown_signal() -> Result<&'static str, BenchError> {
    let register = |kind, name: &str| {
        signal(kind).map_err(|cause| BenchError::Io("listen for", name.to_owned(), cause))
    };
    let mut hangup = register(SignalKind::hangup(), "SIGHUP")?;
    let mut terminate = register(SignalKind::terminate(), "SIGTERM")?;
    let mut interrupt = register(SignalKind::interrupt(), "SIGINT")?;
    Ok(tokio::select! {
        _ = hangup.recv() => "SIGHUP",
        _ = terminate.recv() => "SIGTERM",
        _ = interrupt.recv() => "SIGINT",
    })
}

/// Runs the soak for each seed and prints a summary of each.
async fn run_soak_seeds(
    seeds: Range<u64>,
    duration: Duration,
    faults: SoakFaults,
) -> Result<ExitCode, BenchError> {
    let mut code = ExitCode::SUCCESS;
    for seed in seeds {
        let soak_report = run_soak(SoakOptions {
            seed,
            duration,
            faults,
        })
        .await?;
        println!(
            "seed {seed}: {} faults, {} calls, {} answered, {} refused, {} left, \
             {} of {} taken up, {} promises broken",
            soak_report.faults.len(),
            soak_report.calls,
            soak_report.answered,
            soak_report.refused,
            soak_report.disconnects,
            soak_report.taken_up.1,
            soak_report.taken_up.0,
            soak_report.violations.len(),
        );
        let windows = soak_report.rejoin_windows.iter();
        windows.for_each(|window| println!("  {window}"));
        if !soak_report.rejoin_windows.is_empty() {
            println!("  refusals: {:?}", soak_report.refusals);
        }
        if !soak_report.violations.is_empty() {
            soak_report
                .faults
                .iter()
                .for_each(|fault| println!("  {fault}"));
            soak_report
                .violations
                .iter()
                .for_each(|what| println!("  broken: {what}"));
            code = ExitCode::from(EXIT_VIOLATION);
        }
    }
    Ok(code)
}

/// Prints a summary of each fleet; returns a failure code if any of them violated a guarantee.
fn print_mixed_reports(reports: &[MixedReport], seed: u64) -> ExitCode {
    println!("seed {seed}    calls  answered  unknown key  killed  broken  warnings");
    for report in reports {
        println!(
            "{:<9} {:>7} {:>9} {:>12} {:>7} {:>7} {:>9}",
            report.name,
            report.calls,
            report.answered,
            report.unknown_keys,
            report.killed,
            report.violations.len(),
            report.problems.len(),
        );
    }
    for report in reports
        .iter()
        .filter(|report| !report.violations.is_empty())
    {
        let steps = report.steps.iter();
        steps.for_each(|step| println!("{}: {step}", report.name));
        let broken = report.violations.iter();
        broken.for_each(|what| println!("{}: broken: {what}", report.name));
    }
    match reports.iter().all(|report| report.violations.is_empty()) {
        true => ExitCode::SUCCESS,
        false => ExitCode::from(EXIT_VIOLATION),
    }
}

fn write_report(path: &Path, report: &impl Serialize) -> Result<(), BenchError> {
    let text = serde_json::to_string_pretty(report).unwrap_or_default();
    std::fs::write(path, text)
        .map_err(|cause| BenchError::Io("write", path.display().to_string(), cause))
}

/// Returns a failure code, and prints the violations, if any arm violated a guarantee.
fn exit_code(report: &BenchReport) -> ExitCode {
    let arms = std::iter::once(&report.main).chain(&report.baselines);
    let mut has_violation = false;
    for arm in arms {
        for (name, count) in arm.violations().iter().filter(|(_, count)| *count > 0) {
            eprintln!(
                "dockgate-bench: arm {}: {name} is {count}, expected 0",
                arm.arm
            );
            has_violation = true;
        }
    }
    match has_violation {
        true => ExitCode::from(EXIT_VIOLATION),
        false => ExitCode::SUCCESS,
    }
}
