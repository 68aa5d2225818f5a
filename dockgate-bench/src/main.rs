//! The bench tool: stand-ins, load, faults, reports.

use clap::{Parser, Subcommand};
use dockgate_bench::demo::run_demo;
use dockgate_bench::error::BenchError;
use dockgate_bench::gateway_soak::{SoakFaults, SoakOptions, run_soak};
use dockgate_bench::mixed_fleet::{MixedOptions, MixedReport, run_mixed};
use dockgate_bench::report::BenchReport;
use dockgate_bench::run::{RunOptions, WARM_UP, run_scenario};
use dockgate_bench::scenario::BenchScenario;
use dockgate_bench::slopes::{SlopeReport, run_slopes};
use serde::Serialize;
use std::ops::Range;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::Duration;
use tokio::signal::unix::{SignalKind, signal};

/// Exit code of a soak that a signal ended before its last seed.
const EXIT_ENDED: u8 = 4;
/// Exit code of a run in which a promise was broken.
const EXIT_BROKEN: u8 = 3;

/// Loads a dockgate fleet on loopback and measures it.
#[derive(Debug, Parser)]
#[command(version)]
struct BenchArgs {
    /// What to do.
    #[command(subcommand)]
    command: BenchCommand,
}

#[derive(Debug, Subcommand)]
enum BenchCommand {
    /// Runs a small fleet that a newcomer can call.
    Demo,
    /// Measures how the cost of control grows, and fits lines.
    Slopes {
        /// Only these axes: boxes, endpoints, workspaces, requests-per-second,
        /// changes-per-100-seconds, domains.
        #[arg(long)]
        axis: Vec<String>,
        /// Seconds measured at each point.
        #[arg(long, default_value_t = 5.0)]
        seconds: f64,
        /// Seed of arrivals and sizes.
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// Where the report is written.
        #[arg(long)]
        report: Option<PathBuf>,
    },
    /// Causes random faults to a fleet of gateways, and checks what callers and endpoints see.
    Soak {
        /// The first seed.
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// How many seeds, one after the other.
        #[arg(long, default_value_t = 1)]
        seeds: u64,
        /// Seconds of faults for each.
        #[arg(long, default_value_t = 8)]
        seconds: u64,
        /// Which faults are caused.
        #[arg(long, value_enum, default_value_t)]
        faults: SoakFaults,
    },
    /// Runs a fleet of which half the boxes are another build, and checks what callers and logs see.
    Mixed {
        /// The daemon of the other build.
        #[arg(long)]
        other: PathBuf,
        /// Decides what is disturbed, and the requests.
        #[arg(long, default_value_t = 1)]
        seed: u64,
    },
    /// Runs a scenario and reports what was measured.
    Run {
        /// The scenario file.
        #[arg(long)]
        scenario: PathBuf,
        /// Seed of arrivals and sizes.
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// Seconds measured, after the warm-up.
        #[arg(long, default_value_t = 20.0)]
        seconds: f64,
        /// Where the report is written.
        #[arg(long)]
        report: Option<PathBuf>,
        /// Only this arm.
        #[arg(long)]
        arm: Option<String>,
        /// Folder in which the daemons' logs are kept.
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
            eprintln!("dockgate-bench: start the runtime: {error}");
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
                code = soak(seeds, Duration::from_secs(seconds), faults) => code,
                signal = end_signal() => {
                    // What it has started ends with it.
                    println!("ended from outside by {}", signal?);
                    Ok(ExitCode::from(EXIT_ENDED))
                }
            }
        }
        BenchCommand::Mixed { other, seed } => {
            let options = MixedOptions { other, seed };
            tokio::select! {
                reports = run_mixed(&options) => Ok(print_mixed(&reports?, seed)),
                signal = end_signal() => {
                    // What it has started ends with it.
                    println!("ended from outside by {}", signal?);
                    Ok(ExitCode::from(EXIT_ENDED))
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
                    let cause = "the scenario has no such arm".to_owned();
                    return Err(BenchError::Report("find arm", arm, cause));
                }
            }
            let options = RunOptions {
                seed,
                seconds,
                warm_up: WARM_UP,
                keep_logs,
            };
            let measured = run_scenario(&scenario, &options).await?;
            measured.print();
            if let Some(path) = report {
                write_report(&path, &measured)?;
            }
            Ok(verdict(&measured))
        }
    }
}

/// Runs one seed after the other; says of each what was seen.
/// Waits for a signal that asks this process to end, such as that of a shell which ends itself, and names it.
async fn end_signal() -> Result<&'static str, BenchError> {
    let listen = |kind, name: &str| {
        signal(kind).map_err(|cause| BenchError::Io("listen for", name.to_owned(), cause))
    };
    let mut hangup = listen(SignalKind::hangup(), "SIGHUP")?;
    let mut terminate = listen(SignalKind::terminate(), "SIGTERM")?;
    let mut interrupt = listen(SignalKind::interrupt(), "SIGINT")?;
    Ok(tokio::select! {
        _ = hangup.recv() => "SIGHUP",
        _ = terminate.recv() => "SIGTERM",
        _ = interrupt.recv() => "SIGINT",
    })
}

async fn soak(
    seeds: Range<u64>,
    duration: Duration,
    faults: SoakFaults,
) -> Result<ExitCode, BenchError> {
    let mut code = ExitCode::SUCCESS;
    for seed in seeds {
        let seen = run_soak(SoakOptions {
            seed,
            duration,
            faults,
        })
        .await?;
        println!(
            "seed {seed}: {} faults, {} calls, {} answered, {} refused, {} left, {} promises broken",
            seen.faults.len(),
            seen.calls,
            seen.answered,
            seen.refused,
            seen.disconnects,
            seen.violations.len(),
        );
        if !seen.violations.is_empty() {
            seen.faults.iter().for_each(|fault| println!("  {fault}"));
            seen.violations
                .iter()
                .for_each(|what| println!("  broken: {what}"));
            code = ExitCode::from(EXIT_BROKEN);
        }
    }
    Ok(code)
}

/// Prints what came of each fleet; fails where something was broken.
fn print_mixed(reports: &[MixedReport], seed: u64) -> ExitCode {
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
        false => ExitCode::from(EXIT_BROKEN),
    }
}

fn write_report(path: &Path, report: &impl Serialize) -> Result<(), BenchError> {
    let text = serde_json::to_string_pretty(report).unwrap_or_default();
    std::fs::write(path, text)
        .map_err(|cause| BenchError::Io("write", path.display().to_string(), cause))
}

/// Fails where any arm broke a promise.
fn verdict(report: &BenchReport) -> ExitCode {
    let arms = std::iter::once(&report.main).chain(&report.baselines);
    let mut broken = false;
    for arm in arms {
        for (name, count) in arm.broken_promises().iter().filter(|(_, count)| *count > 0) {
            eprintln!(
                "dockgate-bench: arm {}: {name} is {count}, and must be 0",
                arm.arm
            );
            broken = true;
        }
    }
    match broken {
        true => ExitCode::from(EXIT_BROKEN),
        false => ExitCode::SUCCESS,
    }
}
